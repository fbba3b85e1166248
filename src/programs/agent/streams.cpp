#include "programs/agent/streams.hpp"

#include "programs/agent/reports.hpp"
#include "programs/agent/requests.hpp"
#include "programs/agent/target.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::programs::agent {
namespace {

using core::answers::run_status;
using core::common::milliseconds;
using reason = wire::refusal;

constexpr milliseconds retry_soon{500};
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr int first_server_error = 500;
constexpr int max_resumes = 100; // of one stream; each follows a stall or a broken connection

active_request* find_request(agent_state& state, std::uint64_t id, std::uint64_t call) {
    const auto found = state.requests.find(id);
    return found == state.requests.end() || found->second.target_call != call ? nullptr : &found->second;
}

run_status started_run_status(const active_request& request) {
    return request.any_data ? run_status::run : run_status::unknown;
}

void record_first_data(agent_state& state, active_request& request, time_point now) {
    if (request.any_data)
        return;
    request.any_data = true;
    state.ramp.succeeded(now - request.started, now);
}

/// Stores a part of the answer and sends it to the listeners; false if the answer exceeds its size limit.
bool deliver(agent_state& state, active_request& request, std::string_view data) {
    const std::int64_t offset = state.answers.find(request.key)->length;
    if (!state.answers.append(request.key, data))
        return false;
    for (const listener& to : request.listeners)
        send_chunk(state, to, request.key, offset, data);
    return true;
}

enum class line_verdict { accept, skip, broken };

/// Classifies one complete line of an engine's stream: repeated lines are skipped, a gap breaks the stream.
line_verdict classify_line(active_request& request, std::string_view line) {
    const auto parsed = nlohmann::json::parse(line, nullptr, false);
    if (!parsed.is_object())
        return line_verdict::broken;
    if (parsed.value("done", false)) {
        request.done_line = true;
        request.tokens = parsed.value("tokens", std::int64_t{request.next_index});
        return line_verdict::accept;
    }
    const int index = parsed.value("index", -1);
    if (index < request.next_index)
        return index < 0 ? line_verdict::broken : line_verdict::skip;
    if (index > request.next_index)
        return line_verdict::broken;
    ++request.next_index;
    return line_verdict::accept;
}

/// Handles a stream that stopped without its end: a probe tells whether the target crashed.
void await_probe(agent_state& state, active_request& request) {
    request.awaiting_probe = true;
    request.last_probe_at_break = state.last_probe;
    request.target_call = ++state.last_target_call;
    state.probe_requested = true;
}

void handle_lines(agent_state& state, active_request& request, std::string_view data, time_point now) {
    record_first_data(state, request, now);
    request.partial_line += data;
    std::string accepted;
    std::size_t start = 0;
    for (std::size_t end = 0; (end = request.partial_line.find('\n', start)) != std::string::npos;
         start = end + 1) {
        const std::string_view line{request.partial_line.data() + start, end - start};
        const line_verdict verdict = request.done_line ? line_verdict::skip : classify_line(request, line);
        if (verdict == line_verdict::broken) {
            state.http.cancel(request.http);
            await_probe(state, request);
            break;
        }
        if (verdict == line_verdict::accept)
            accepted.append(line).push_back('\n');
    }
    request.partial_line.erase(0, start);
    if (!accepted.empty() && !deliver(state, request, accepted))
        refuse(state, request,
               make_refusal(reason::target_failed, run_status::run, "The answer is too large."), now);
}

void handle_engine_response(agent_state& state, active_request& request, const edge::client_result& result,
                            time_point now) {
    if (result.status == status_ok && request.done_line)
        return finish(state, request, status_ok, result.headers, now);
    if (result.status == status_ok)
        return await_probe(state, request);
    if (result.status == status_not_found && request.resumes > 0) {
        request.stream_lost = true; // possibly by a crash
        return await_probe(state, request);
    }
    if (result.status == status_not_found) {
        state.probe_requested = true;
        return refuse(state, request,
                      make_refusal(reason::model_not_loaded, run_status::not_run,
                                   "The engine has not loaded it.", retry_soon),
                      now);
    }
    if (result.status == status_too_many || result.status == status_unavailable)
        return refuse(
            state, request,
            make_refusal(reason::overloaded, run_status::not_run, "The engine takes no more.", retry_soon),
            now);
    if (result.status >= first_server_error)
        return refuse(state, request,
                      make_refusal(reason::target_failed, started_run_status(request), "The engine failed.",
                                   retry_soon),
                      now);
    const std::string body = std::move(request.partial_line);
    deliver(state, request, body);
    finish(state, request, result.status, result.headers, now);
}

} // namespace

void handle_call_data(agent_state& state, call_data&& data, time_point now) {
    active_request* request = find_request(state, data.request, data.call);
    if (request == nullptr)
        return;
    if (state.settings.kind == target_kind::model && data.status == status_ok)
        return handle_lines(state, *request, data.data, now);
    if (state.settings.kind == target_kind::model) {
        request->partial_line += data.data; // body of an error response
        return;
    }
    record_first_data(state, *request, now);
    if (!deliver(state, *request, data.data))
        refuse(state, *request,
               make_refusal(reason::target_failed, run_status::run, "The answer is too large."), now);
}

void handle_call_ended(agent_state& state, call_ended&& ended, time_point now) {
    active_request* request = find_request(state, ended.request, ended.call);
    if (request == nullptr)
        return;
    const edge::client_result& result = ended.result;
    if (result.outcome == edge::client_outcome::not_sent && request->resumes == 0) {
        state.probe_requested = true;
        return refuse(state, *request,
                      make_refusal(reason::target_failed, run_status::not_run, "The target does not answer.",
                                   retry_soon),
                      now);
    }
    if (result.outcome != edge::client_outcome::answered)
        return await_probe(state, *request);
    if (state.settings.kind == target_kind::model)
        return handle_engine_response(state, *request, result, now);
    record_first_data(state, *request, now);
    finish(state, *request, result.status, result.headers, now);
}

void resolve_broken_calls(agent_state& state, std::uint64_t probe, time_point now) {
    std::vector<std::uint64_t> broken;
    for (const auto& [id, request] : state.requests)
        if (request.awaiting_probe && request.last_probe_at_break < probe)
            broken.push_back(id);
    for (const std::uint64_t id : broken) {
        active_request& request = state.requests.at(id);
        if (state.settings.kind == target_kind::model && !request.stream_lost &&
            request.resumes < max_resumes) {
            resume_call(state, request, now);
            continue;
        }
        refuse(state, request,
               make_refusal(reason::target_failed, started_run_status(request),
                            "The target broke off its answer.", retry_soon),
               now);
    }
}

} // namespace waxwinglb::programs::agent
