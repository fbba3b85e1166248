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
constexpr int most_resumes = 100; // of one stream; each needs a stall or a broken connection

request* find(state& all, std::uint64_t id, std::uint64_t call) {
    const auto found = all.requests.find(id);
    return found == all.requests.end() || found->second.target_call != call ? nullptr : &found->second;
}

run_status started_truth(const request& one) {
    return one.any_data ? run_status::run : run_status::unknown;
}

void first_data(state& all, request& one, time_point now) {
    if (one.any_data)
        return;
    one.any_data = true;
    all.ramp.succeeded(now - one.started, now);
}

/// Keeps a piece of the answer and passes it on; false if the answer has outgrown its limit.
bool deliver(state& all, request& one, std::string_view data) {
    const std::int64_t offset = all.answers.find(one.key)->length;
    if (!all.answers.append(one.key, data))
        return false;
    for (const listener& to : one.listeners)
        send_chunk(all, to, one.key, offset, data);
    return true;
}

enum class line_use { take, skip, broken };

/// Judges one complete line of an engine's stream: repeated ones are skipped, a gap breaks the stream.
line_use judge_line(request& one, std::string_view line) {
    const auto parsed = nlohmann::json::parse(line, nullptr, false);
    if (!parsed.is_object())
        return line_use::broken;
    if (parsed.value("done", false)) {
        one.done_line = true;
        one.tokens = parsed.value("tokens", std::int64_t{one.next_index});
        return line_use::take;
    }
    const int index = parsed.value("index", -1);
    if (index < one.next_index)
        return index < 0 ? line_use::broken : line_use::skip;
    if (index > one.next_index)
        return line_use::broken;
    ++one.next_index;
    return line_use::take;
}

/// The target's stream stopped without an end: a probe will tell whether the target crashed.
void break_off(state& all, request& one) {
    one.settling = true;
    one.broke_at = all.last_probe;
    one.target_call = ++all.last_target_call;
    all.probe_soon = true;
}

void take_lines(state& all, request& one, std::string_view data, time_point now) {
    first_data(all, one, now);
    one.partial_line += data;
    std::string whole;
    std::size_t start = 0;
    for (std::size_t end = 0; (end = one.partial_line.find('\n', start)) != std::string::npos;
         start = end + 1) {
        const std::string_view line{one.partial_line.data() + start, end - start};
        const line_use use = one.done_line ? line_use::skip : judge_line(one, line);
        if (use == line_use::broken) {
            all.http.cancel(one.http);
            break_off(all, one);
            break;
        }
        if (use == line_use::take)
            whole.append(line).push_back('\n');
    }
    one.partial_line.erase(0, start);
    if (!whole.empty() && !deliver(all, one, whole))
        refuse(all, one, make_refusal(reason::target_failed, run_status::run, "The answer is too large."),
               now);
}

void answered_by_engine(state& all, request& one, const edge::client_result& result, time_point now) {
    if (result.status == status_ok && one.done_line)
        return finish(all, one, status_ok, result.headers, now);
    if (result.status == status_ok)
        return break_off(all, one);
    if (result.status == status_not_found && one.resumes > 0) {
        one.stream_lost = true; // perhaps by a crash
        return break_off(all, one);
    }
    if (result.status == status_not_found) {
        all.probe_soon = true;
        return refuse(all, one,
                      make_refusal(reason::model_not_loaded, run_status::not_run,
                                   "The engine has not loaded it.", retry_soon),
                      now);
    }
    if (result.status == status_too_many || result.status == status_unavailable)
        return refuse(
            all, one,
            make_refusal(reason::overloaded, run_status::not_run, "The engine takes no more.", retry_soon),
            now);
    if (result.status >= first_server_error)
        return refuse(
            all, one,
            make_refusal(reason::target_failed, started_truth(one), "The engine failed.", retry_soon), now);
    const std::string body = std::move(one.partial_line);
    deliver(all, one, body);
    finish(all, one, result.status, result.headers, now);
}

} // namespace

void take_data(state& all, target_data&& data, time_point now) {
    request* one = find(all, data.request, data.call);
    if (one == nullptr)
        return;
    if (all.settings.kind == target_kind::model && data.status == status_ok)
        return take_lines(all, *one, data.data, now);
    if (all.settings.kind == target_kind::model) {
        one->partial_line += data.data; // body of an error
        return;
    }
    first_data(all, *one, now);
    if (!deliver(all, *one, data.data))
        refuse(all, *one, make_refusal(reason::target_failed, run_status::run, "The answer is too large."),
               now);
}

void take_done(state& all, target_done&& done, time_point now) {
    request* one = find(all, done.request, done.call);
    if (one == nullptr)
        return;
    const edge::client_result& result = done.result;
    if (result.outcome == edge::client_outcome::not_sent && one->resumes == 0) {
        all.probe_soon = true;
        return refuse(all, *one,
                      make_refusal(reason::target_failed, run_status::not_run, "The target does not answer.",
                                   retry_soon),
                      now);
    }
    if (result.outcome != edge::client_outcome::answered)
        return break_off(all, *one);
    if (all.settings.kind == target_kind::model)
        return answered_by_engine(all, *one, result, now);
    first_data(all, *one, now);
    finish(all, *one, result.status, result.headers, now);
}

void settle_broken(state& all, std::uint64_t probe, time_point now) {
    std::vector<std::uint64_t> broken;
    for (const auto& [id, one] : all.requests)
        if (one.settling && one.broke_at < probe)
            broken.push_back(id);
    for (const std::uint64_t id : broken) {
        request& one = all.requests.at(id);
        if (all.settings.kind == target_kind::model && !one.stream_lost && one.resumes < most_resumes) {
            resume_call(all, one, now);
            continue;
        }
        refuse(all, one,
               make_refusal(reason::target_failed, started_truth(one), "The target broke off its answer.",
                            retry_soon),
               now);
    }
}

} // namespace waxwinglb::programs::agent
