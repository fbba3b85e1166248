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

constexpr milliseconds retry_soon{500};      // the cause is expected to pass quickly
constexpr milliseconds retry_elsewhere{100}; // another target can serve the request at once
constexpr std::size_t max_waiting_alone = 8;
constexpr double average_weight = 0.1; // weight of a new sample in the average service time

/// Returns why a new request is refused; nullopt if it may be accepted.
std::optional<core::answers::refusal> find_refusal(const agent_state& state, const wire::run_request& message,
                                                   time_point now) {
    const auto not_run = [](reason::type why, const char* detail, milliseconds retry_after) {
        return make_refusal(why, run_status::not_run, detail, retry_after);
    };
    if (message.remaining_ms <= 0)
        return not_run(reason::deadline_too_short, "The deadline has passed.", milliseconds{0});
    if (state.draining())
        return not_run(reason::draining, "The target is leaving.", retry_elsewhere);
    if (state.data_centre_out())
        return not_run(reason::data_centre_out, "The data centre is taken out.", retry_elsewhere);
    if (state.quarantine.judge(message.fingerprint, now) == core::quarantine::verdict::condemned)
        return not_run(reason::quarantined, "This request crashed its targets.",
                       state.quarantine.remaining(message.fingerprint, now));
    if (state.settings.kind == target_kind::model && !prompt_of(message.body))
        return not_run(reason::bad_message, "The body is not a chat request.", milliseconds{0});
    if (!state.target_up)
        return not_run(reason::target_failed, "The target does not answer.", retry_soon);
    if (state.queue.size() + state.awaiting_adapter.size() >=
        static_cast<std::size_t>(state.settings.max_waiting))
        return not_run(reason::overloaded, "The queue is full.", estimate_wait(state, message.customer));
    const milliseconds wait = estimate_wait(state, message.customer);
    if (wait.count() > message.remaining_ms)
        return not_run(reason::overloaded, "The wait would exceed the deadline.", wait);
    return std::nullopt;
}

bool runs_alone(const agent_state& state, const active_request& request, time_point now) {
    return request.message.isolate ||
           state.quarantine.judge(request.message.fingerprint, now) == core::quarantine::verdict::alone;
}

std::size_t count_alone(const agent_state& state) {
    return static_cast<std::size_t>(
        std::count_if(state.requests.begin(), state.requests.end(),
                      [](const auto& entry) { return entry.second.alone && !entry.second.running; }));
}

void push_waiting(agent_state& state, const active_request& request) {
    core::fairness::waiting_request waiting;
    waiting.id = request.id;
    waiting.customer = request.message.customer;
    waiting.weight = request.message.weight > 0 ? request.message.weight : 1.0;
    waiting.tokens = std::max<std::int64_t>(1, request.message.prompt_tokens + request.message.max_tokens);
    waiting.deadline = request.deadline;
    state.queue.push(waiting);
}

std::int64_t adapter_bytes(const agent_state& state, const active_request& request) {
    const auto& models = state.config.state().models;
    const auto model = models.find(state.settings.service + "/" + request.message.model);
    if (model == models.end())
        return 0;
    for (const auto& adapter : model->second.adapters)
        if (adapter.name == request.message.adapter)
            return adapter.bytes;
    return 0;
}

/// Queues a request that holds its model; an adapter that is not loaded is ordered first.
void queue_with_adapter(agent_state& state, active_request& request, time_point now) {
    const core::memory::adapter_key key{request.message.model, request.message.adapter};
    if (request.message.adapter.empty() || state.ledger.acquire_adapter(key, now)) {
        request.holds_adapter = !request.message.adapter.empty();
        return push_waiting(state, request);
    }
    const std::int64_t bytes = adapter_bytes(state, request);
    if (bytes <= 0)
        return refuse(
            state, request,
            make_refusal(reason::bad_message, run_status::not_run, "The adapter is not configured."), now);
    if (!request_adapter(state, key, bytes, now))
        return refuse(
            state, request,
            make_refusal(reason::no_memory, run_status::not_run, "No memory for the adapter.", retry_soon),
            now);
    state.awaiting_adapter.push_back(request.id);
}

void notify_accepted(agent_state& state, const active_request& request) {
    for (const listener& to : request.listeners)
        send_accepted(state, to, request.key);
}

void admit(agent_state& state, active_request& request, time_point now) {
    request.alone = runs_alone(state, request, now);
    if (request.alone && count_alone(state) > max_waiting_alone)
        return refuse(state, request,
                      make_refusal(reason::isolation_busy, run_status::not_run,
                                   "Too many requests wait to run alone.", retry_soon),
                      now);
    if (state.settings.kind == target_kind::plain) {
        notify_accepted(state, request);
        return push_waiting(state, request);
    }
    request.holds_model = state.ledger.acquire(request.message.model, now);
    if (!request.holds_model)
        return refuse(state, request,
                      make_refusal(reason::model_not_loaded, run_status::not_run, "The model is not loaded.",
                                   retry_elsewhere),
                      now);
    notify_accepted(state, request);
    queue_with_adapter(state, request, now);
}

/// Sends the kept part of an answer from an offset on, and its end if the attempt has ended.
void send_kept_answer(agent_state& state, const listener& to, const attempt_key& key, std::int64_t offset,
                      const core::answers::answer& kept) {
    if (kept.at == phase::refused || kept.at == phase::cancelled) {
        auto why = kept.why;
        if (kept.at == phase::cancelled)
            why = make_refusal(reason::tombstoned, run_status::not_run, "The attempt was cancelled.");
        return send_refused(state, to, key, why);
    }
    if (kept.body_dropped || offset < 0 || offset > kept.length)
        return send_refused(
            state, to, key,
            make_refusal(reason::unknown_request, run_status::run, "The answer is no longer kept."));
    send_chunk(state, to, key, offset, std::string_view{kept.body}.substr(static_cast<std::size_t>(offset)));
    if (kept.at == phase::finished)
        send_finished(state, to, key, kept);
}

/// Sends the answer of an active request to this link too. Earlier listeners stay: the call that started the
/// request is still waiting at its own router.
void add_listener(agent_state& state, const attempt_key& key, const listener& added) {
    const auto found = state.by_key.find(key);
    if (found == state.by_key.end())
        return;
    active_request& request = state.requests.at(found->second);
    std::erase_if(request.listeners, [&](const listener& known) { return known.link == added.link; });
    request.listeners.push_back(added);
    send_accepted(state, added, key);
}

void remove_listener(active_request& request, edge::link_id link) {
    std::erase_if(request.listeners, [&](const listener& known) { return known.link == link; });
}

/// Removes a request and releases everything that it holds.
void remove(agent_state& state, active_request& request, time_point now) {
    const std::uint64_t id = request.id;
    if (request.holds_adapter)
        state.ledger.release_adapter({request.message.model, request.message.adapter}, now);
    if (request.holds_model)
        state.ledger.release(request.message.model, now);
    if (request.running) {
        --state.running;
        state.running_alone = state.running_alone && !request.alone;
    }
    state.queue.remove(id);
    std::erase(state.awaiting_adapter, id);
    state.by_key.erase(request.key);
    state.requests.erase(id);
}

void start(agent_state& state, active_request& request, time_point now) {
    request.running = true;
    ++state.running;
    state.running_alone = request.alone;
    state.answers.run(request.key);
    state.program.timeline.add(edge::event_kind::attempt, request.key.request_id, "started at the target");
    start_call(state, request, now);
}

/// Starts the request at the head of the queue, or refuses it if its fingerprint was condemned meanwhile.
/// Returns false if the request has to wait because it must run alone.
bool start_next(agent_state& state, active_request& request, time_point now) {
    if (state.quarantine.judge(request.message.fingerprint, now) == core::quarantine::verdict::condemned) {
        refuse(state, request,
               make_refusal(reason::quarantined, run_status::not_run, "This request crashed its targets.",
                            state.quarantine.remaining(request.message.fingerprint, now)),
               now);
        return true;
    }
    request.alone = runs_alone(state, request, now);
    if (request.alone && state.running > 0)
        return false;
    state.queue.pop();
    start(state, request, now);
    return true;
}

} // namespace

core::answers::refusal make_refusal(wire::refusal::type why, run_status ran, std::string detail,
                                    milliseconds retry_after) {
    return {static_cast<int>(why), ran, retry_after, std::move(detail), false};
}

void handle_run(agent_state& state, edge::link_id link, std::int64_t call, wire::run_request&& message,
                time_point now) {
    const attempt_key key{message.request_id, message.attempt};
    const auto deadline = now + milliseconds{std::clamp<std::int64_t>(message.remaining_ms, 0, 3'600'000)};
    const auto begun = state.answers.begin(key, deadline, now);
    const listener from{link, call};
    if (begun == begin_result::duplicate || begun == begin_result::cancelled) {
        add_listener(state, key, from);
        return send_kept_answer(state, from, key, 0, *state.answers.find(key));
    }
    if (begun == begin_result::evicted)
        return send_refused(
            state, from, key,
            make_refusal(reason::duplicate, run_status::unknown, "The attempt was here before."));
    if (begun == begin_result::full)
        return send_refused(
            state, from, key,
            make_refusal(reason::overloaded, run_status::not_run, "Too many answers are kept.", retry_soon));
    active_request& request = state.requests[++state.last_request];
    request.id = state.last_request;
    request.key = key;
    request.message = std::move(message);
    request.arrived = now;
    request.deadline = deadline;
    request.listeners = {from};
    state.by_key[key] = request.id;
    if (auto why = find_refusal(state, request.message, now))
        return refuse(state, request, *why, now);
    admit(state, request, now);
}

void handle_resume(agent_state& state, edge::link_id link, std::int64_t call,
                   const wire::resume_request& message) {
    const attempt_key key{message.request_id, message.attempt};
    const listener from{link, call};
    const auto* kept = state.answers.find(key);
    if (kept == nullptr)
        return send_refused(
            state, from, key,
            make_refusal(reason::unknown_request, run_status::unknown, "Nothing is known of the attempt."));
    add_listener(state, key, from);
    send_kept_answer(state, from, key, message.offset, *kept);
}

void handle_cancel(agent_state& state, edge::link_id link, std::int64_t call,
                   const wire::cancel_request& message, time_point now) {
    const attempt_key key{message.request_id, message.attempt};
    const bool sent_to_this_boot = message.agent_boot == state.boot;
    run_status ran = state.answers.cancel(key, sent_to_this_boot, now);
    const auto live = state.by_key.find(key);
    if (live != state.by_key.end() && ran == run_status::run && !state.requests.at(live->second).any_data)
        ran = run_status::unknown; // sent to the target, but no part of its answer has arrived yet
    wire::cancel_result out;
    out.request_id = key.request_id;
    out.attempt = key.attempt;
    out.ran = ran == run_status::not_run ? wire::run_state::not_run
              : ran == run_status::run   ? wire::run_state::run
                                         : wire::run_state::unknown;
    state.hub.send(link, wire::message_kind::cancel_result, call, out);
    if (live == state.by_key.end())
        return;
    active_request& request = state.requests.at(live->second);
    if (request.running && state.settings.kind == target_kind::plain)
        return;                     // keeps running: its caller may still collect the answer
    remove_listener(request, link); // already answered by cancel_result
    refuse(state, request, make_refusal(reason::tombstoned, ran, "The attempt was cancelled."), now);
}

void handle_ack(agent_state& state, const wire::ack_request& message) {
    state.answers.acknowledge({message.request_id, message.attempt});
}

void detach_link(agent_state& state, edge::link_id link) {
    for (auto& [id, request] : state.requests)
        remove_listener(request, link);
}

void start_waiting(agent_state& state, time_point now) {
    while (state.target_up && !state.running_alone && state.running < state.ramp.limit()) {
        const auto* next = state.queue.front();
        if (next == nullptr || !start_next(state, state.requests.at(next->id), now))
            return;
    }
}

void expire_requests(agent_state& state, time_point now) {
    std::vector<std::uint64_t> expired;
    for (const auto& [id, request] : state.requests)
        if (request.deadline <= now)
            expired.push_back(id);
    for (const std::uint64_t id : expired) {
        active_request& request = state.requests.at(id);
        const auto ran = !request.running   ? run_status::not_run
                         : request.any_data ? run_status::run
                                            : run_status::unknown;
        refuse(state, request, make_refusal(reason::deadline_too_short, ran, "The deadline passed."), now);
    }
    state.answers.expire(now);
    state.quarantine.expire(now);
}

void retry_adapters(agent_state& state, time_point now) {
    const auto waiting = state.awaiting_adapter;
    for (const std::uint64_t id : waiting) {
        active_request& request = state.requests.at(id);
        std::erase(state.awaiting_adapter, id);
        queue_with_adapter(state, request, now);
    }
}

void refuse_waiting_for_model(agent_state& state, const std::string& model, time_point now) {
    std::vector<std::uint64_t> affected;
    for (const auto& [id, request] : state.requests)
        if (!request.running && request.message.model == model)
            affected.push_back(id);
    for (const std::uint64_t id : affected)
        refuse(state, state.requests.at(id),
               make_refusal(reason::model_not_loaded, run_status::not_run, "The model was unloaded.",
                            retry_elsewhere),
               now);
}

void handle_target_crash(agent_state& state, time_point now) {
    std::vector<const active_request*> in_flight;
    std::vector<std::string> fingerprints;
    std::vector<std::uint64_t> running;
    std::vector<std::uint64_t> waiting;
    for (const auto& [id, request] : state.requests) {
        (request.running ? running : waiting).push_back(id);
        if (!request.running)
            continue;
        in_flight.push_back(&request);
        fingerprints.push_back(request.message.fingerprint);
    }
    const bool alone = state.running_alone && in_flight.size() == 1;
    state.metrics.crashes.Increment();
    state.program.timeline.add(edge::event_kind::fault, state.settings.target,
                               "target crashed with " + std::to_string(in_flight.size()) +
                                   " requests in flight");
    state.log->warn("target crashed, {} requests in flight", in_flight.size());
    state.quarantine.crashed(fingerprints, alone, now);
    report_crash(state, in_flight, alone);
    for (const std::uint64_t id : running) {
        active_request& request = state.requests.at(id);
        auto why =
            make_refusal(reason::target_failed, request.any_data ? run_status::run : run_status::unknown,
                         "The target crashed.", retry_soon);
        why.suspect = true;
        refuse(state, request, why, now);
    }
    if (state.settings.kind == target_kind::plain)
        return; // waiting requests may be served after the restart
    for (const std::uint64_t id : waiting)
        refuse(state, state.requests.at(id),
               make_refusal(reason::model_not_loaded, run_status::not_run, "The target crashed.", retry_soon),
               now);
}

void refuse(agent_state& state, active_request& request, const core::answers::refusal& why, time_point now) {
    state.metrics.refused.Increment();
    state.program.timeline.add(edge::event_kind::attempt, request.key.request_id, "refused: " + why.detail);
    if (request.running) {
        cancel_call(state, request);
        state.ramp.failed(now);
    }
    const auto listeners = std::move(request.listeners);
    const attempt_key key = request.key;
    state.answers.refuse(key, why, now);
    remove(state, request, now);
    for (const listener& to : listeners)
        send_refused(state, to, key, why);
}

void finish(agent_state& state, active_request& request, int status,
            const std::vector<edge::http_field>& headers, time_point now) {
    state.metrics.finished.Increment();
    state.program.timeline.add(edge::event_kind::attempt, request.key.request_id,
                               "finished with status " + std::to_string(status));
    const double duration_ms = std::chrono::duration<double, std::milli>(now - request.started).count();
    state.average_service_ms =
        state.average_service_ms > 0
            ? state.average_service_ms * (1 - average_weight) + duration_ms * average_weight
            : duration_ms;
    if (request.alone)
        state.quarantine.succeeded_alone(request.message.fingerprint);
    auto* kept = state.answers.find(request.key);
    kept->status = status;
    kept->used_tokens = request.message.prompt_tokens + request.tokens;
    for (const edge::http_field& field : headers)
        kept->headers.emplace_back(field.name, field.value);
    state.answers.finish(request.key, now);
    const auto listeners = std::move(request.listeners);
    const attempt_key key = request.key;
    remove(state, request, now);
    for (const listener& to : listeners)
        send_finished(state, to, key, *kept);
}

} // namespace waxwinglb::programs::agent
