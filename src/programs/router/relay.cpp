// Passes agents' messages to open calls, and answers to callers.
#include "programs/router/calls.hpp"

#include <algorithm>

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;
using core::routing::end_reason;
using core::routing::run_state;

run_state from_wire(wire::run_state::type ran) {
    switch (ran) {
    case wire::run_state::not_run:
        return run_state::not_run;
    case wire::run_state::run:
        return run_state::run;
    case wire::run_state::unknown:
        return run_state::unknown;
    }
    return run_state::unknown;
}

core::routing::refusal from_wire(wire::refusal::type reason) {
    using core::routing::refusal;
    switch (reason) {
    case wire::refusal::overloaded:
    case wire::refusal::rate_limited:
        return refusal::overloaded;
    case wire::refusal::deadline_too_short:
        return refusal::deadline_too_short;
    case wire::refusal::draining:
    case wire::refusal::data_centre_out:
    case wire::refusal::model_not_loaded:
    case wire::refusal::no_memory:
    case wire::refusal::old_fencing:
    case wire::refusal::not_fresh:
        return refusal::not_here;
    case wire::refusal::quarantined:
        return refusal::quarantined;
    case wire::refusal::unknown_request:
        return refusal::unknown_request;
    case wire::refusal::isolation_busy:
        return refusal::isolation_busy;
    default:
        return refusal::failed;
    }
}

core::routing::ending from_wire(const wire::run_finished& message) {
    core::routing::ending out;
    out.status = message.status;
    out.used_tokens = message.used_tokens;
    for (const wire::header_field& field : message.headers) {
        std::string name = field.name;
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        out.headers.push_back({std::move(name), field.value});
    }
    return out;
}

/// True for headers of a plain service's answer that are returned to the caller.
bool is_returned(const std::string& name) {
    return name == "content-type" || name == "location" || name == "etag" || name == "cache-control" ||
           name == "content-language";
}

} // namespace

template<class step_type>
void call_table::apply_to_calls(const std::string& request_id, const std::string& address, time_point now,
                                step_type&& step) {
    std::vector<call_id> ids;
    const auto [first, last] = calls_by_request_id_.equal_range(request_id);
    for (auto next = first; next != last; ++next)
        ids.push_back(next->second);
    bool handled = false;
    for (const call_id id : ids) {
        live_call* call = find(id);
        if (call == nullptr || call->address != address)
            continue; // the message comes from an agent that does not run this request
        handled = true;
        execute_actions(*call, step(*call), now);
    }
    if (!handled)
        parts_.metrics.count_dropped();
}

void call_table::handle_agent_message(const std::string& address, const edge::frame& frame, time_point now) {
    switch (frame.header.kind) {
    case wire::message_kind::run_accepted:
        on_accepted(address, frame, now);
        break;
    case wire::message_kind::run_chunk:
        on_chunk(address, frame, now);
        break;
    case wire::message_kind::run_finished:
        on_finished(address, frame, now);
        break;
    case wire::message_kind::run_refused:
        on_refused(address, frame, now);
        break;
    case wire::message_kind::cancel_result:
        on_cancel_result(address, frame, now);
        break;
    default:
        parts_.metrics.count_dropped();
        break;
    }
    remove_ended_calls();
}

void call_table::on_accepted(const std::string& address, const edge::frame& frame, time_point now) {
    const auto message = edge::decode_body<wire::run_accepted>(frame.body);
    if (!message)
        return parts_.metrics.count_dropped();
    apply_to_calls(message->request_id, address, now, [&](live_call& call) {
        return call.state_machine.accepted(message->request_id, message->attempt, now);
    });
}

void call_table::on_chunk(const std::string& address, const edge::frame& frame, time_point now) {
    const auto message = edge::decode_body<wire::run_chunk>(frame.body);
    if (!message)
        return parts_.metrics.count_dropped();
    apply_to_calls(message->request_id, address, now, [&](live_call& call) {
        return call.state_machine.chunk(message->request_id, message->attempt, message->offset, message->data,
                                        now);
    });
}

void call_table::on_finished(const std::string& address, const edge::frame& frame, time_point now) {
    const auto message = edge::decode_body<wire::run_finished>(frame.body);
    if (!message)
        return parts_.metrics.count_dropped();
    apply_to_calls(message->request_id, address, now, [&](live_call& call) {
        release_load(call);
        parts_.views.apply_load(call.service, call.model, call.state_machine.target(), message->load);
        return call.state_machine.finished(message->request_id, message->attempt, message->length,
                                           from_wire(*message), now);
    });
}

void call_table::on_refused(const std::string& address, const edge::frame& frame, time_point now) {
    const auto message = edge::decode_body<wire::run_refused>(frame.body);
    if (!message)
        return parts_.metrics.count_dropped();
    apply_to_calls(message->request_id, address, now, [&](live_call& call) {
        release_load(call);
        parts_.views.apply_load(call.service, call.model, call.state_machine.target(), message->load);
        if (message->reason == wire::refusal::duplicate)
            return call.state_machine.accepted(message->request_id, message->attempt, now);
        const milliseconds wait{std::max<std::int64_t>(0, message->retry_after_ms)};
        return call.state_machine.refused(message->request_id, message->attempt, from_wire(message->reason),
                                          from_wire(message->ran), message->suspect, wait, now);
    });
}

void call_table::on_cancel_result(const std::string& address, const edge::frame& frame, time_point now) {
    const auto message = edge::decode_body<wire::cancel_result>(frame.body);
    if (!message)
        return parts_.metrics.count_dropped();
    apply_to_calls(message->request_id, address, now, [&](live_call& call) {
        return call.state_machine.cancelled(message->request_id, message->attempt, from_wire(message->ran),
                                            now);
    });
}

void call_table::record_first_byte(live_call& call, time_point now) {
    if (call.first_byte_sent)
        return;
    call.first_byte_sent = true;
    parts_.metrics.first_token(now - call.request.at);
}

void call_table::execute(live_call& call, const core::routing::deliver_action& action, time_point now) {
    const std::string text = call.engine.take(action.bytes);
    if (text.empty())
        return;
    record_first_byte(call, now);
    if (!call.streaming)
        begin_stream(call);
    if (!call.request.exchange->write_stream(completion_event(call.completion_info, text)))
        execute_actions(call, call.state_machine.abandon(end_reason::caller_gone, now), now);
}

void call_table::begin_stream(live_call& call) {
    call.streaming = true;
    call.request.exchange->begin_stream(
        200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}});
}

void call_table::answer(live_call& call, const core::routing::ending& end) {
    if (end.used_tokens >= 0)
        call.completion_info.used_tokens =
            std::max<std::int64_t>(0, end.used_tokens - call.completion_info.prompt_tokens);
    const bool served = end.reason == end_reason::completed || end.reason == end_reason::kept_answer;
    if (served && call.request.kind == arrival_kind::plain)
        return answer_plain(call, end);
    if (served)
        return answer_chat(call, end);
    answer_problem(call, end);
}

void call_table::answer_problem(live_call& call, const core::routing::ending& end) {
    const edge::exchange_ptr& exchange = call.request.exchange;
    const problem failure = describe_end(end, call.state_machine.options().request_id);
    if (!call.streaming)
        return exchange->respond(to_response(failure));
    exchange->write_stream(to_event(failure));
    exchange->end_stream();
}

void call_table::answer_chat(live_call& call, const core::routing::ending& end) {
    const edge::exchange_ptr& exchange = call.request.exchange;
    const std::string text = call.engine.take(end.body); // empty if it was streamed
    call.completion_info.finish_reason = call.engine.finish_reason();
    if (end.status != 200 || !call.engine.done() || call.engine.malformed()) {
        core::routing::ending failed = end;
        failed.reason = end_reason::target_failed;
        return answer_problem(call, failed);
    }
    if (!call.state_machine.options().streamed)
        return exchange->respond(completion_response(call.completion_info, text));
    if (!call.streaming)
        begin_stream(call);
    exchange->write_stream(completion_end(call.completion_info));
    exchange->end_stream();
}

void call_table::answer_plain(live_call& call, const core::routing::ending& end) {
    edge::http_response response{end.status, {}, end.body};
    for (const core::routing::answer_field& field : end.headers)
        if (is_returned(field.name))
            response.headers.push_back({field.name, field.value});
    response.headers.push_back({"X-Request-Id", call.state_machine.options().request_id});
    if (end.reason == end_reason::kept_answer)
        response.headers.push_back({"Idempotency-Replayed", "true"});
    call.request.exchange->respond(std::move(response));
}

} // namespace waxwinglb::programs::router
