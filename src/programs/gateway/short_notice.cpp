#include "programs/gateway/short_notice.hpp"

#include "platform/headers.hpp"

#include <algorithm>
#include <charconv>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using core::common::time_point;
using core::dispatch::decide_on_notice;
using core::dispatch::notice_decision;

constexpr milliseconds notice_retention{5'000}; // after the end: its last requests are moved or have failed

std::int64_t signed_ms(core::common::duration value) {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

/// Events that the caller of a resumed stream had before. Where ids go up by one they begin at 1.
int events_before(const caller_request& request) {
    const std::string* id = edge::find_field(request.received.fields, platform::resume_header);
    int out = 0;
    if (id == nullptr || !request.sequence.consecutive() ||
        std::from_chars(id->data(), id->data() + id->size(), out).ec != std::errc{})
        return 0;
    return std::max(0, out);
}

core::dispatch::running_answer running_answer_of(const caller_request& request) {
    return {request.is_stream(), request.output_tokens, events_before(request), request.progress,
            request.sent_at};
}

/// The most urgent requests first: the retry budget and the room elsewhere may not do for all.
bool more_urgent(const caller_request_ptr& a, const caller_request_ptr& b) {
    return std::tie(a->priority, a->arrival_number) < std::tie(b->priority, b->arrival_number);
}

} // namespace

void short_notice::follow_directory() {
    for (const auto& [id, target] : context_.directory.targets()) {
        if (!target.gone_at || !target.leaving())
            continue;
        const auto known = notices_.find(id);
        const bool is_new = known == notices_.end() || known->second.born != target.entry.born;
        notices_[id] = {target.entry.born, *target.gone_at};
        if (!is_new)
            continue;
        context_.log.write(edge::events::target_ending, id,
                           {{"born", target.entry.born},
                            {"remaining_ms", signed_ms(*target.gone_at - context_.loop.now())},
                            {"running", admission_.running_at(id).size()},
                            {"load", dispatcher_.load_of(id)}});
    }
}

void short_notice::step() {
    const time_point now = context_.loop.now();
    if (std::exchange(followed_, context_.directory.removals_noted()) != followed_ || !notices_.empty())
        follow_directory();
    std::erase_if(notices_, [&](const auto& entry) {
        return now >= entry.second.gone_at + notice_retention &&
               context_.directory.find(entry.first) == nullptr;
    });
    full_groups_.clear();
    const auto notices = notices_;
    for (const auto& [id, known] : notices)
        look_at(id, known);
}

void short_notice::look_at(const std::string& target, const notice& known) {
    auto running = admission_.running_at(target);
    std::sort(running.begin(), running.end(), more_urgent);
    for (const caller_request_ptr& request : running) {
        // Moving one may have ended or sent others.
        const bool still_there = !request->finished && request->target == target;
        if (still_there && request->target_start.born == known.born)
            consider(request, known.gone_at);
    }
}

notice_decision short_notice::decide(const caller_request& request, const std::optional<time_point>& end,
                                     time_point gone_at) {
    const time_point now = context_.loop.now();
    const auto without_room = decide_on_notice(end, gone_at, false, now);
    if (without_room != notice_decision::wait_for_room || !request.repeatable() ||
        !request.has_attempts_left())
        return without_room;
    const group_key group{request.service, request.model, request.begun_at};
    if (full_groups_.contains(group))
        return without_room;
    if (!dispatcher_.has_room_for(request))
        full_groups_.insert(group);
    return decide_on_notice(end, gone_at, !full_groups_.contains(group), now);
}

void short_notice::consider(const caller_request_ptr& request, time_point gone_at) {
    const time_point now = context_.loop.now();
    request->target_gone_at = gone_at;
    const auto end =
        expected_end(running_answer_of(*request), forwarder_.usual_answers(request->service), now);
    const auto decision = decide(*request, end, gone_at);
    const bool changed = std::exchange(request->on_notice, decision) != decision;
    edge::decision_log::fields line{{"target", request->target},
                                    {"decision", name_of(decision)},
                                    {"gone_in_ms", signed_ms(gone_at - now)},
                                    {"ends_in_ms", end ? signed_ms(*end - now) : -1},
                                    {"events", request->progress.events},
                                    {"after_event", request->last_event}};
    const bool moves = decision == notice_decision::move_now || decision == notice_decision::move_at_last;
    const bool moved = moves && forwarder_.move_elsewhere(request);
    if (!moved && !changed)
        return;
    line["result"] = moved ? "moved" : "stays";
    context_.metrics.count_on_notice(name_of(decision), moved ? "moved" : "stays");
    context_.log.write(edge::events::request_on_notice, request->request_id, line);
}

} // namespace waxwinglb::programs::gateway
