// What a dispatcher learns of targets' speeds, and how its choice uses them.
#include "core/common/hash.hpp"
#include "programs/gateway/dispatcher.hpp"

#include <algorithm>
#include <cmath>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;

/// What other gateways sent within about this time is not in their reports yet, which come every 0.2 to
/// 0.35 s.
constexpr milliseconds unseen_time{250};
constexpr milliseconds speeds_check_interval{5'000}; // between two removals of missing targets

double remaining(core::common::duration age) {
    return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(unseen_time));
}

} // namespace

void dispatcher::note_work(const caller_request& request, core::common::duration took) {
    if (context_.settings.learn_speeds)
        context_.speeds.note_sample(request.target_start, request.service, took,
                                    load_of(request.target_start.id), context_.loop.now());
}

void dispatcher::note_load(const core::fleet::target_start& from, const platform::target_notice& notice) {
    if (!context_.settings.learn_speeds)
        return;
    if (!notice.load_not_understood.empty()) {
        context_.metrics.count_ignored_load();
        context_.log.write(edge::events::target_load_ignored, from.id,
                           {{"born", from.born}, {"fields", notice.load_not_understood}});
    }
    const auto* target = context_.directory.find(from.id);
    if (notice.load && target != nullptr && target->entry.born == from.born)
        context_.speeds.note_figure(from, target->entry.service, notice.load->work_percent,
                                    context_.loop.now());
}

void dispatcher::update_speeds() {
    if (!context_.settings.learn_speeds)
        return;
    const auto now = context_.loop.now();
    for (const auto& change : context_.speeds.update(now))
        context_.log.write(edge::events::target_speed_changed, change.target.id,
                           {{"born", change.target.born},
                            {"before", change.before},
                            {"speed", change.now},
                            {"own_samples", change.samples}});
    if (now - speeds_checked_at_ < speeds_check_interval)
        return;
    speeds_checked_at_ = now;
    context_.speeds.retain(context_.directory);
    context_.metrics.set_target_speeds(context_.speeds.extent());
    std::erase_if(recent_sends_,
                  [&](const auto& entry) { return now - entry.second.updated_at > speeds_check_interval; });
}

void dispatcher::count_send(const caller_request& request) {
    if (!context_.settings.learn_speeds)
        return;
    const auto now = context_.loop.now();
    send_counter& counter = recent_sends_[{request.service, request.model}];
    counter.sum = counter.sum * remaining(now - counter.updated_at) + 1;
    counter.updated_at = now;
}

/// Other gateways are taken to send as many requests of the group as this one.
core::dispatch::choice_spread dispatcher::spread_for(const caller_request& request) const {
    core::dispatch::choice_spread out;
    if (!context_.settings.learn_speeds)
        return out;
    out.active = true;
    out.salt = core::common::hash_of(request.request_id, core::common::hash_of(context_.settings.name));
    double sent = 1; // gateways that have sent nothing lately may all begin now
    if (const auto found = recent_sends_.find({request.service, request.model}); found != recent_sends_.end())
        sent += found->second.sum * remaining(context_.loop.now() - found->second.updated_at);
    out.unseen = sent * std::max(0, context_.gateway_count - 1);
    return out;
}

/// Scales the limits and what the choice compares. The capacity isn't cut at the slots as the limit is.
void dispatcher::scale_by_speed(core::dispatch::candidate& option) const {
    if (!context_.settings.learn_speeds)
        return;
    const auto& entry = option.target->entry;
    const auto speed = context_.speeds.of(entry.id, entry.born, context_.loop.now());
    option.capacity = option.limit * speed.lasting * speed.momentary;
    option.limit =
        core::dispatch::scaled_limit(option.limit, speed.lasting, std::max(option.limit, entry.slots));
    if (option.unread_limit > 0)
        option.unread_limit = std::max(1, static_cast<int>(option.unread_limit * speed.lasting));
}

} // namespace waxwinglb::programs::gateway
