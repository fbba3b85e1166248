#include "core/dispatch/short_notice.hpp"

#include <algorithm>

namespace waxwinglb::core::dispatch {
namespace {

using common::duration;
using common::milliseconds;
using common::time_point;

constexpr double learning_rate = 0.1;  // weight of the newest answer
constexpr int min_events_for_pace = 3; // received after the first ones; fewer give a poor estimate
constexpr double margin_share = 0.1;   // of the time that an answer still needs, for errors of the estimate
constexpr duration longest_answer = std::chrono::hours{24};
// An answer that has taken longer than usual needs at least this share of the usual time more.
constexpr double overdue_share = 0.25;

void learn(std::optional<double>& value, double seen) {
    value = value ? *value + learning_rate * (seen - *value) : seen;
}

void learn(std::optional<duration>& value, duration seen) {
    value = value ? *value + std::chrono::duration_cast<duration>(learning_rate * (seen - *value)) : seen;
}

/// Cut to a bound, since stated tokens may be any number.
duration scaled(duration value, double factor) {
    const auto product = std::chrono::duration<double, duration::period>{value} * factor;
    return std::chrono::duration_cast<duration>(
        std::clamp<std::chrono::duration<double, duration::period>>(product, duration{0}, longest_answer));
}

} // namespace

void stream_progress::begin_answer() {
    events_here = first_events = 0;
    first_here = last_here = time_point{};
}

void stream_progress::note(int received, time_point sent_at, time_point now) {
    if (received <= 0)
        return;
    if (events == 0) {
        until_first = now - sent_at;
        stream_begun = now;
    }
    if (events_here == 0) {
        first_here = now;
        first_events = received;
    }
    events += received;
    events_here += received;
    last_here = now;
}

std::optional<duration> stream_progress::pace() const {
    const int later = events_here - first_events;
    if (later < min_events_for_pace)
        return std::nullopt;
    return (last_here - first_here) / later;
}

void usual_answers::note_stream(int stated_tokens, const stream_progress& progress) {
    if (progress.events <= 0)
        return;
    learn(events_, progress.events);
    if (stated_tokens > 0)
        learn(events_per_token_, static_cast<double>(progress.events) / stated_tokens);
    learn(until_first_, progress.until_first);
    if (const auto pace = progress.pace())
        learn(pace_, *pace);
}

void usual_answers::note_plain(duration took) {
    learn(plain_, took);
}

std::optional<double> usual_answers::events_of(int stated_tokens) const {
    if (stated_tokens > 0 && events_per_token_)
        return *events_per_token_ * stated_tokens;
    return events_;
}

std::optional<time_point> expected_end(const running_answer& answer, const usual_answers& usual,
                                       time_point now) {
    if (!answer.is_stream) {
        if (!usual.plain())
            return std::nullopt;
        const time_point end = answer.sent_at + *usual.plain();
        return end > now ? end : now + scaled(*usual.plain(), overdue_share);
    }
    const auto events = usual.events_of(answer.stated_tokens);
    const auto own_pace = answer.progress.pace();
    const auto pace = own_pace ? own_pace : usual.pace();
    if (!events || !pace)
        return std::nullopt;
    const double due = *events - answer.events_before - answer.progress.events;
    const duration rest = scaled(*pace, due > 0 ? due : overdue_share * *events);
    if (answer.progress.events_here > 0)
        return now + rest;
    return std::max(now, answer.sent_at + usual.until_first().value_or(duration{0})) + rest;
}

const char* name_of(notice_decision decision) {
    switch (decision) {
    case notice_decision::ends_in_time:
        return "ends_in_time";
    case notice_decision::move_now:
        return "cannot_end_in_time";
    case notice_decision::wait_for_room:
        return "no_room_elsewhere";
    case notice_decision::move_at_last:
        return "last_moment";
    }
    return "unknown";
}

notice_decision decide_on_notice(const std::optional<time_point>& expected_end, time_point gone_at,
                                 bool room_elsewhere, time_point now) {
    if (now >= gone_at - notice_delay)
        return notice_decision::move_at_last;
    if (!expected_end)
        return notice_decision::ends_in_time;
    const duration margin = notice_delay + scaled(*expected_end - now, margin_share);
    if (*expected_end + margin <= gone_at)
        return notice_decision::ends_in_time;
    return room_elsewhere ? notice_decision::move_now : notice_decision::wait_for_room;
}

} // namespace waxwinglb::core::dispatch
