// Ends of requests that are not answered by a target: retries, refusals, cut answers, and the line about
// each.
#include "core/common/hash.hpp"
#include "platform/headers.hpp"
#include "programs/gateway/forwarder.hpp"

#include <algorithm>
#include <cstdio>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::duration;
using core::common::milliseconds;
using core::common::time_point;

constexpr int max_sends = 5;                   // of one request, including sends that targets rejected
constexpr milliseconds rejection_backoff{150}; // models being loaded and slots of full targets get ready soon
constexpr milliseconds unsent_retry_after{500};
constexpr milliseconds min_useful_time{20}; // no retry with less time to the deadline

std::string seconds_text(duration value) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(value).count());
    return text.data();
}

std::string text_of(const std::optional<std::int64_t>& weights) {
    return weights ? std::to_string(*weights) : std::string{};
}

/// Parts of a stream as "TARGET BORN SOFTWARE/WEIGHTS/ADAPTER_VERSION FRAMING to LAST_EVENT", separated by
/// semicolons.
std::string text_of(const std::vector<stream_part>& parts) {
    std::string out;
    for (const stream_part& part : parts) {
        const std::string version =
            part.version.software + "/" + text_of(part.version.weights) + "/" + part.version.adapter;
        out.append(out.empty() ? "" : "; ")
            .append(part.target.id + " " + std::to_string(part.target.born) + " " + version + " ")
            .append(part.framing)
            .append(" to " + part.last_event);
    }
    return out;
}

/// A connection that breaks when its target is removed says nothing against the request.
bool ended_with_its_target(const caller_request& request, time_point now) {
    return request.target_gone_at && now >= *request.target_gone_at - core::dispatch::notice_delay;
}

/// Time since the target last sent something to forward; 0 while the request waits for a target.
milliseconds silence_duration(const caller_request& request, time_point now) {
    if (request.send_count == 0 || request.sent_at < request.waiting_since)
        return milliseconds{0};
    return std::chrono::duration_cast<milliseconds>(now - std::max(request.sent_at, request.last_chunk_at));
}

} // namespace

void forwarder::on_failed(const caller_request_ptr& request, exchange_failure failure) {
    if (request->finished)
        return;
    if (failure == exchange_failure::not_sent)
        return handle_unsent(request, dispatcher::attempt_outcome::unreachable, "target_unreachable");
    if (failure == exchange_failure::withdrawn)
        return handle_unsent(request, dispatcher::attempt_outcome::abandoned, "target_left");
    if (failure == exchange_failure::broken)
        return handle_broken_answer(request, "connection_broken");
    request->may_have_run = true;
    if (failure == exchange_failure::silent)
        note_broken_run(*request);
    handle_lost_answer(request,
                       failure == exchange_failure::silent ? "connection_timed_out" : "answer_malformed");
}

void forwarder::handle_unsent(const caller_request_ptr& request, dispatcher::attempt_outcome outcome,
                              const char* reason) {
    const std::string chosen = request->target;
    request->not_before = {};
    request->unsettled = false;
    close_exchange(request, outcome);
    if (!request->came_before)
        request->sent_to.erase(chosen);
    if (!retry(request, reason, false))
        refuse(request, 503, reason, unsent_retry_after);
}

void forwarder::handle_broken_answer(const caller_request_ptr& request, const char* reason) {
    request->may_have_run = true;
    note_broken_run(*request);
    note_crash(*request);
    handle_lost_answer(request, reason);
}

/// Each attempt is evidence of its own: a target may break the connection and go on. But equal requests that
/// were under way together broke off for one reason.
void forwarder::note_broken_run(const caller_request& request) {
    if (ended_with_its_target(request, context_.loop.now()))
        return;
    if (const auto latest = suspect_requests_.latest_crash(request.fingerprint);
        latest && request.sent_at < *latest)
        return;
    const auto attempt =
        core::common::hash_of(request.request_id, static_cast<std::uint64_t>(request.send_count));
    suspect_requests_.add_crash({&request.fingerprint, 1}, attempt, context_.loop.now());
}

void forwarder::note_sound(const caller_request& request) {
    const time_point now = context_.loop.now();
    suspects_.add_sound(request.shared_parts, now);
    suspect_requests_.add_sound({&request.fingerprint, 1}, now);
}

/// A part crashes the target that begins to answer it: an answer of which an event came has none. A kept
/// connection that broke before any answer may have been closed before the request came.
void forwarder::note_crash(const caller_request& request) {
    const bool answered = request.ended_by[0] != '\0';
    const bool maybe_stale =
        !answered && request.target_exchange && request.target_exchange->reused_connection();
    if (request.held || request.events.any_taken() || request.shared_parts.empty() || maybe_stale ||
        ended_with_its_target(request, context_.loop.now()))
        return;
    const auto& start = request.target_start;
    context_.log.write(edge::events::prompt_suspected, request.request_id,
                       {{"target", start.id}, {"born", start.born}, {"parts", request.shared_parts}});
    const auto run = core::common::hash_of(start.id, static_cast<std::uint64_t>(start.born));
    suspects_.add_crash(request.shared_parts, run, context_.loop.now());
}

void forwarder::handle_rejection(const caller_request_ptr& request, dispatcher::attempt_outcome outcome) {
    const char* reason = outcome == dispatcher::attempt_outcome::lacks_model ? "wrong_target" : "target_full";
    close_exchange(request, outcome);
    request->unsettled = false;
    request->not_before = context_.loop.now() + rejection_backoff;
    if (retry(request, reason, true))
        return;
    if (request->streaming)
        return fail(request, 502, reason); // the answer has begun, so the stream can only be cut
    refuse(request, 503, reason, dispatcher_->retry_after_for(*request));
}

/// Other requests may still be sent to the target: it refused only to go on what other weights began.
void forwarder::handle_other_version(const caller_request_ptr& request) {
    constexpr const char* reason = "other_version";
    request->failed_targets.insert(request->target);
    close_exchange(request, dispatcher::attempt_outcome::not_run);
    request->unsettled = false;
    if (request->has_attempts_left() && retry(request, reason, true))
        return;
    refuse(request, 503, reason, dispatcher_->retry_after_for(*request)); // cuts an answer that has begun
}

void forwarder::handle_lost_answer(const caller_request_ptr& request, const char* reason) {
    request->failed_targets.insert(request->target);
    close_exchange(request, dispatcher::attempt_outcome::failed);
    if (request->repeatable() && request->has_attempts_left() && retry(request, reason, true))
        return;
    fail(request, 502, reason);
}

/// Submits the request again. Returns false if it may not be retried.
bool forwarder::retry(const caller_request_ptr& request, const char* reason, bool spend_budget,
                      dispatcher::attempt_outcome outcome) {
    const time_point now = context_.loop.now();
    if (request->send_count >= max_sends || is_blocked(*request) ||
        suspects_.suspected(request->shared_parts, now) || request->deadline - now < min_useful_time)
        return false;
    if (request->streaming && request->last_event.empty() && request->session->answer_begun())
        return false;
    if (spend_budget && !budget(request->service).take(now))
        return false;
    close_exchange(request, outcome);
    context_.log.write(
        edge::events::request_retried, request->request_id,
        {{"reason", reason}, {"sends", request->send_count}, {"after_event", request->last_event}});
    dispatcher_->submit(request);
    return true;
}

bool forwarder::move_elsewhere(const caller_request_ptr& request) {
    return !request->confirming_end && request->repeatable() && request->has_attempts_left() &&
           retry(request, "target_ending", true, dispatcher::attempt_outcome::abandoned);
}

/// Answers that came from several targets, or only in part from here, say nothing of the usual duration.
void forwarder::note_duration(const caller_request& request) {
    const bool resumed = edge::find_field(request.received.fields, platform::resume_header) != nullptr;
    if (request.send_count != 1 || resumed)
        return;
    core::dispatch::usual_answers& usual = usual_answers_[request.service];
    if (request.streaming)
        usual.note_stream(request.output_tokens, request.progress);
    else
        usual.note_plain(context_.loop.now() - request.sent_at);
}

/// Answers a request that may have run, without the promise that it has not.
void forwarder::fail(const caller_request_ptr& request, int status, const std::string& reason) {
    const bool begun = request->session->answer_begun();
    const int sent_status = begun ? request->head.status : status;
    if (begun)
        request->session->abort();
    else
        request->session->answer(status, {{std::string{platform::request_id_header}, request->request_id}},
                                 "");
    finish(request, edge::events::request_cut, "cut", reason, {sent_status});
}

void forwarder::refuse(const caller_request_ptr& request, int status, const std::string& reason,
                       duration retry_after) {
    if (request->may_have_run || request->session->answer_begun())
        return fail(request, 502, reason);
    std::vector<edge::http_field> fields{{std::string{platform::request_id_header}, request->request_id}};
    if (retry_after > duration::zero())
        fields.push_back({"Retry-After", seconds_text(retry_after)});
    request->session->answer(status, fields, "");
    finish(request, edge::events::request_refused, "refused", reason, {status, retry_after});
}

void forwarder::refuse_over_rate(const caller_request_ptr& request, duration retry_after) {
    context_.log.write(edge::events::rate_refused, request->request_id,
                       {{"customer", request->customer},
                        {"tokens", request->tokens},
                        {"level", context_.quota.level(request->customer)},
                        {"available_part", context_.quota.available_part(context_.loop.now())},
                        {"retry_ms", core::common::to_wire_ms(retry_after)}});
    refuse(request, 429, "over_rate", retry_after);
}

void forwarder::abandon(const caller_request_ptr& request) {
    if (request->target.empty())
        dispatcher_->withdraw(request);
    else
        close_exchange(request, dispatcher::attempt_outcome::abandoned);
    finish(request, edge::events::request_abandoned, "abandoned", "caller_left", {request->head.status});
}

void forwarder::on_deadline(const caller_request_ptr& request) {
    if (request->target.empty()) {
        dispatcher_->withdraw(request);
        return refuse(request, 503, "deadline_passed_waiting", {}); // 502 if it may have run
    }
    request->may_have_run = true;
    close_exchange(request, dispatcher::attempt_outcome::abandoned);
    fail(request, 504, "deadline_passed_running");
}

void forwarder::on_stop(const caller_request_ptr& request) {
    if (request->target.empty()) {
        dispatcher_->withdraw(request);
        return refuse(request, 503, "ending", {});
    }
    request->may_have_run = true;
    close_exchange(request, dispatcher::attempt_outcome::abandoned);
    fail(request, 502, "ending");
}

void forwarder::finish(const caller_request_ptr& request, std::string_view event, const std::string& outcome,
                       const std::string& reason, const final_answer& sent) {
    if (request->finished)
        return;
    request->finished = true;
    context_.loop.cancel(request->timer);
    const bool begun = request->first_chunk_at != time_point{};
    const std::int64_t first_ms =
        begun ? core::common::to_wire_ms(request->first_chunk_at - request->arrived) : -1;
    const std::string kind = name_of(request->route->kind);
    context_.metrics.count_request(metric_kind(*request), outcome, reason);
    context_.log.write(event, request->request_id,
                       {{"reason", reason},
                        {"route", request->route->name},
                        {"kind", kind},
                        {"customer", request->customer},
                        {"model", request->model.model},
                        {"adapter", request->model.adapter},
                        {"status", sent.status},
                        {"retry_ms", core::common::to_wire_ms(sent.retry_after)},
                        {"sends", request->send_count},
                        {"target", request->last_target},
                        {"first_ms", first_ms},
                        {"pause_ms", core::common::to_wire_ms(request->longest_pause)},
                        {"blocked_by", request->blocked_by},
                        {"born", request->target_start.born},
                        {"software_version", request->target_version.software},
                        {"weights", text_of(request->target_version.weights)},
                        {"adapter_version", request->target_version.adapter},
                        {"last_event", request->last_event},
                        {"earlier_parts", text_of(request->earlier_parts)},
                        {"ended_by", request->ended_by},
                        {"incomplete_event_bytes", request->events.size()},
                        {"silent_ms", silence_duration(*request, context_.loop.now()).count()},
                        {"ms", core::common::to_wire_ms(context_.loop.now() - request->arrived)},
                        {"config", request->config->version}});
    on_finished_(request);
}

} // namespace waxwinglb::programs::gateway
