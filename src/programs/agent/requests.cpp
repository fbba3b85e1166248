#include "programs/agent/requests.hpp"

#include "programs/agent/orders.hpp"
#include "programs/agent/reports.hpp"
#include "programs/agent/target.hpp"

#include <algorithm>

namespace waxwinglb::programs::agent {
namespace {

using core::answers::begin_result;
using core::answers::phase;
using core::answers::run_status;
using core::common::milliseconds;
using reason = wire::refusal;

constexpr milliseconds retry_soon{500};      // after short-lived obstacles
constexpr milliseconds retry_elsewhere{100}; // where another target can serve at once
constexpr std::size_t most_waiting_alone = 8;
constexpr double average_share = 0.1; // weight of a new sample in moving averages

/// What speaks against taking a new request on; nullopt if nothing does.
std::optional<core::answers::refusal> objection(const state& all, const wire::run_request& message,
                                                time_point now) {
    const auto not_run = [](reason::type why, const char* detail, milliseconds retry_after) {
        return make_refusal(why, run_status::not_run, detail, retry_after);
    };
    if (message.remaining_ms <= 0)
        return not_run(reason::deadline_too_short, "The deadline has passed.", milliseconds{0});
    if (all.draining())
        return not_run(reason::draining, "The target is leaving.", retry_elsewhere);
    if (all.data_centre_out())
        return not_run(reason::data_centre_out, "The data centre is taken out.", retry_elsewhere);
    if (all.quarantine.judge(message.fingerprint, now) == core::quarantine::verdict::condemned)
        return not_run(reason::quarantined, "This request crashed its targets.",
                       all.quarantine.remaining(message.fingerprint, now));
    if (all.settings.kind == target_kind::model && !prompt_of(message.body))
        return not_run(reason::bad_message, "The body is not a chat request.", milliseconds{0});
    if (!all.target_up)
        return not_run(reason::target_failed, "The target does not answer.", retry_soon);
    if (all.queue.size() + all.awaiting_adapter.size() >= static_cast<std::size_t>(all.settings.max_waiting))
        return not_run(reason::overloaded, "The queue is full.", estimate_wait(all, message.customer));
    const milliseconds wait = estimate_wait(all, message.customer);
    if (wait.count() > message.remaining_ms)
        return not_run(reason::overloaded, "The wait would exceed the deadline.", wait);
    return std::nullopt;
}

bool runs_alone(const state& all, const request& one, time_point now) {
    return one.message.isolate ||
           all.quarantine.judge(one.message.fingerprint, now) == core::quarantine::verdict::alone;
}

std::size_t count_alone(const state& all) {
    return static_cast<std::size_t>(
        std::count_if(all.requests.begin(), all.requests.end(),
                      [](const auto& entry) { return entry.second.alone && !entry.second.running; }));
}

void push_waiting(state& all, const request& one) {
    core::fairness::waiting_request waiting;
    waiting.id = one.id;
    waiting.customer = one.message.customer;
    waiting.weight = one.message.weight > 0 ? one.message.weight : 1.0;
    waiting.tokens = std::max<std::int64_t>(1, one.message.prompt_tokens + one.message.max_tokens);
    waiting.deadline = one.deadline;
    all.queue.push(waiting);
}

std::int64_t adapter_bytes(const state& all, const request& one) {
    const auto& models = all.config.state().models;
    const auto model = models.find(all.settings.service + "/" + one.message.model);
    if (model == models.end())
        return 0;
    for (const auto& adapter : model->second.adapters)
        if (adapter.name == one.message.adapter)
            return adapter.bytes;
    return 0;
}

/// Queues a request whose model is held; its adapter may have to be loaded first.
void queue_with_adapter(state& all, request& one, time_point now) {
    const core::memory::adapter_key key{one.message.model, one.message.adapter};
    if (one.message.adapter.empty() || all.ledger.acquire_adapter(key, now)) {
        one.holds_adapter = !one.message.adapter.empty();
        return push_waiting(all, one);
    }
    const std::int64_t bytes = adapter_bytes(all, one);
    if (bytes <= 0)
        return refuse(
            all, one,
            make_refusal(reason::bad_message, run_status::not_run, "The adapter is not configured."), now);
    if (!request_adapter(all, key, bytes, now))
        return refuse(
            all, one,
            make_refusal(reason::no_memory, run_status::not_run, "No memory for the adapter.", retry_soon),
            now);
    all.awaiting_adapter.push_back(one.id);
}

void tell_accepted(state& all, const request& one) {
    for (const listener& to : one.listeners)
        send_accepted(all, to, one.key);
}

void admit(state& all, request& one, time_point now) {
    one.alone = runs_alone(all, one, now);
    if (one.alone && count_alone(all) > most_waiting_alone)
        return refuse(all, one,
                      make_refusal(reason::isolation_busy, run_status::not_run,
                                   "Too many requests wait to run alone.", retry_soon),
                      now);
    if (all.settings.kind == target_kind::plain) {
        tell_accepted(all, one);
        return push_waiting(all, one);
    }
    one.holds_model = all.ledger.acquire(one.message.model, now);
    if (!one.holds_model)
        return refuse(all, one,
                      make_refusal(reason::model_not_loaded, run_status::not_run, "The model is not loaded.",
                                   retry_elsewhere),
                      now);
    tell_accepted(all, one);
    queue_with_adapter(all, one, now);
}

/// Sends what is kept of an attempt from an offset on, and its end if it has one.
void send_kept(state& all, const listener& to, const attempt_key& key, std::int64_t offset,
               const core::answers::answer& kept) {
    if (kept.at == phase::refused || kept.at == phase::cancelled) {
        auto why = kept.why;
        if (kept.at == phase::cancelled)
            why = make_refusal(reason::tombstoned, run_status::not_run, "The attempt was cancelled.");
        return send_refused(all, to, key, why);
    }
    if (kept.body_dropped || offset < 0 || offset > kept.length)
        return send_refused(
            all, to, key,
            make_refusal(reason::unknown_request, run_status::run, "The answer is no longer kept."));
    send_chunk(all, to, key, offset, std::string_view{kept.body}.substr(static_cast<std::size_t>(offset)));
    if (kept.at == phase::finished)
        send_finished(all, to, key, kept);
}

/// Sends a live request's answer to this link too. The others keep getting it: the call that began the run
/// still waits at its own router.
void add_listener(state& all, const attempt_key& key, const listener& added) {
    const auto found = all.by_key.find(key);
    if (found == all.by_key.end())
        return;
    request& one = all.requests.at(found->second);
    std::erase_if(one.listeners, [&](const listener& known) { return known.link == added.link; });
    one.listeners.push_back(added);
    send_accepted(all, added, key);
}

void forget_listener(request& one, edge::link_id link) {
    std::erase_if(one.listeners, [&](const listener& known) { return known.link == link; });
}

/// Gives back everything that the request held.
void remove(state& all, request& one, time_point now) {
    const std::uint64_t id = one.id;
    if (one.holds_adapter)
        all.ledger.release_adapter({one.message.model, one.message.adapter}, now);
    if (one.holds_model)
        all.ledger.release(one.message.model, now);
    if (one.running) {
        --all.running;
        all.running_alone = all.running_alone && !one.alone;
    }
    all.queue.remove(id);
    std::erase(all.awaiting_adapter, id);
    all.by_key.erase(one.key);
    all.requests.erase(id);
}

void start(state& all, request& one, time_point now) {
    one.running = true;
    ++all.running;
    all.running_alone = one.alone;
    all.answers.run(one.key);
    all.program.timeline.add(edge::event_kind::attempt, one.key.request_id, "started at the target");
    start_call(all, one, now);
}

/// False if the request at the head of the queue has to wait; refuses one that was condemned meanwhile.
bool start_next(state& all, request& one, time_point now) {
    if (all.quarantine.judge(one.message.fingerprint, now) == core::quarantine::verdict::condemned) {
        refuse(all, one,
               make_refusal(reason::quarantined, run_status::not_run, "This request crashed its targets.",
                            all.quarantine.remaining(one.message.fingerprint, now)),
               now);
        return true;
    }
    one.alone = runs_alone(all, one, now);
    if (one.alone && all.running > 0)
        return false;
    all.queue.pop();
    start(all, one, now);
    return true;
}

} // namespace

core::answers::refusal make_refusal(wire::refusal::type why, run_status ran, std::string detail,
                                    milliseconds retry_after) {
    return {static_cast<int>(why), ran, retry_after, std::move(detail), false};
}

void take_run(state& all, edge::link_id link, std::int64_t call, wire::run_request&& message,
              time_point now) {
    const attempt_key key{message.request_id, message.attempt};
    const auto deadline = now + milliseconds{std::clamp<std::int64_t>(message.remaining_ms, 0, 3'600'000)};
    const auto begun = all.answers.begin(key, deadline, now);
    const listener from{link, call};
    if (begun == begin_result::duplicate || begun == begin_result::cancelled) {
        add_listener(all, key, from);
        return send_kept(all, from, key, 0, *all.answers.find(key));
    }
    if (begun == begin_result::evicted)
        return send_refused(
            all, from, key,
            make_refusal(reason::duplicate, run_status::unknown, "The attempt was here before."));
    if (begun == begin_result::full)
        return send_refused(
            all, from, key,
            make_refusal(reason::overloaded, run_status::not_run, "Too many answers are kept.", retry_soon));
    request& one = all.requests[++all.last_request];
    one.id = all.last_request;
    one.key = key;
    one.message = std::move(message);
    one.arrived = now;
    one.deadline = deadline;
    one.listeners = {from};
    all.by_key[key] = one.id;
    if (auto why = objection(all, one.message, now))
        return refuse(all, one, *why, now);
    admit(all, one, now);
}

void take_resume(state& all, edge::link_id link, std::int64_t call, const wire::resume_request& message) {
    const attempt_key key{message.request_id, message.attempt};
    const listener from{link, call};
    const auto* kept = all.answers.find(key);
    if (kept == nullptr)
        return send_refused(
            all, from, key,
            make_refusal(reason::unknown_request, run_status::unknown, "Nothing is known of the attempt."));
    add_listener(all, key, from);
    send_kept(all, from, key, message.offset, *kept);
}

void take_cancel(state& all, edge::link_id link, std::int64_t call, const wire::cancel_request& message,
                 time_point now) {
    const attempt_key key{message.request_id, message.attempt};
    const bool sent_to_this_boot = message.agent_boot == all.boot;
    run_status ran = all.answers.cancel(key, sent_to_this_boot, now);
    const auto live = all.by_key.find(key);
    if (live != all.by_key.end() && ran == run_status::run && !all.requests.at(live->second).any_data)
        ran = run_status::unknown; // sent to the target, but nothing came back yet
    wire::cancel_result out;
    out.request_id = key.request_id;
    out.attempt = key.attempt;
    out.ran = ran == run_status::not_run ? wire::run_state::not_run
              : ran == run_status::run   ? wire::run_state::run
                                         : wire::run_state::unknown;
    all.hub.send(link, wire::message_kind::cancel_result, call, out);
    if (live == all.by_key.end())
        return;
    request& one = all.requests.at(live->second);
    if (one.running && all.settings.kind == target_kind::plain)
        return;                 // goes on: its caller may still collect the answer
    forget_listener(one, link); // cancel_result was the answer
    refuse(all, one, make_refusal(reason::tombstoned, ran, "The attempt was cancelled."), now);
}

void take_ack(state& all, const wire::ack_request& message) {
    all.answers.acknowledge({message.request_id, message.attempt});
}

void forget_link(state& all, edge::link_id link) {
    for (auto& [id, one] : all.requests)
        forget_listener(one, link);
}

void start_waiting(state& all, time_point now) {
    while (all.target_up && !all.running_alone && all.running < all.ramp.limit()) {
        const auto* next = all.queue.front();
        if (next == nullptr || !start_next(all, all.requests.at(next->id), now))
            return;
    }
}

void expire_requests(state& all, time_point now) {
    std::vector<std::uint64_t> late;
    for (const auto& [id, one] : all.requests)
        if (one.deadline <= now)
            late.push_back(id);
    for (const std::uint64_t id : late) {
        request& one = all.requests.at(id);
        const auto ran = !one.running   ? run_status::not_run
                         : one.any_data ? run_status::run
                                        : run_status::unknown;
        refuse(all, one, make_refusal(reason::deadline_too_short, ran, "The deadline passed."), now);
    }
    all.answers.expire(now);
    all.quarantine.expire(now);
}

void retry_adapters(state& all, time_point now) {
    const auto waiting = all.awaiting_adapter;
    for (const std::uint64_t id : waiting) {
        request& one = all.requests.at(id);
        std::erase(all.awaiting_adapter, id);
        queue_with_adapter(all, one, now);
    }
}

void refuse_model(state& all, const std::string& model, time_point now) {
    std::vector<std::uint64_t> affected;
    for (const auto& [id, one] : all.requests)
        if (!one.running && one.message.model == model)
            affected.push_back(id);
    for (const std::uint64_t id : affected)
        refuse(all, all.requests.at(id),
               make_refusal(reason::model_not_loaded, run_status::not_run, "The model was unloaded.",
                            retry_elsewhere),
               now);
}

void target_crashed(state& all, time_point now) {
    std::vector<const request*> in_flight;
    std::vector<std::string> fingerprints;
    std::vector<std::uint64_t> running;
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, one] : all.requests) {
        (one.running ? running : waiting).push_back(id);
        if (!one.running)
            continue;
        in_flight.push_back(&one);
        fingerprints.push_back(one.message.fingerprint);
    }
    const bool alone = all.running_alone && in_flight.size() == 1;
    all.metrics.crashes.Increment();
    all.program.timeline.add(edge::event_kind::fault, all.settings.target,
                             "target crashed with " + std::to_string(in_flight.size()) +
                                 " requests in flight");
    all.log->warn("target crashed, {} requests in flight", in_flight.size());
    all.quarantine.crashed(fingerprints, alone, now);
    report_crash(all, in_flight, alone);
    for (const std::uint64_t id : running) {
        request& one = all.requests.at(id);
        auto why = make_refusal(reason::target_failed, one.any_data ? run_status::run : run_status::unknown,
                                "The target crashed.", retry_soon);
        why.suspect = true;
        refuse(all, one, why, now);
    }
    if (all.settings.kind == target_kind::plain)
        return; // what waits may be served when the service is back
    for (const std::uint64_t id : waiting)
        refuse(all, all.requests.at(id),
               make_refusal(reason::model_not_loaded, run_status::not_run, "The target crashed.", retry_soon),
               now);
}

void refuse(state& all, request& one, const core::answers::refusal& why, time_point now) {
    all.metrics.refused.Increment();
    all.program.timeline.add(edge::event_kind::attempt, one.key.request_id, "refused: " + why.detail);
    if (one.running) {
        cancel_call(all, one);
        all.ramp.failed(now);
    }
    const auto listeners = std::move(one.listeners);
    const attempt_key key = one.key;
    all.answers.refuse(key, why, now);
    remove(all, one, now);
    for (const listener& to : listeners)
        send_refused(all, to, key, why);
}

void finish(state& all, request& one, int status, const std::vector<edge::http_field>& headers,
            time_point now) {
    all.metrics.finished.Increment();
    all.program.timeline.add(edge::event_kind::attempt, one.key.request_id,
                             "finished with status " + std::to_string(status));
    const double took_ms = std::chrono::duration<double, std::milli>(now - one.started).count();
    all.service_ms =
        all.service_ms > 0 ? all.service_ms * (1 - average_share) + took_ms * average_share : took_ms;
    if (one.alone)
        all.quarantine.succeeded_alone(one.message.fingerprint);
    auto* kept = all.answers.find(one.key);
    kept->status = status;
    kept->used_tokens = one.message.prompt_tokens + one.tokens;
    for (const edge::http_field& field : headers)
        kept->headers.emplace_back(field.name, field.value);
    all.answers.finish(one.key, now);
    const auto listeners = std::move(one.listeners);
    const attempt_key key = one.key;
    remove(all, one, now);
    for (const listener& to : listeners)
        send_finished(all, to, key, *kept);
}

} // namespace waxwinglb::programs::agent
