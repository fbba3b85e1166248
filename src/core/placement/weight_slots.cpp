#include "core/placement/weight_slots.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwinglb::core::placement {

using namespace std::chrono_literals;

slot_answer weight_slots::request(common::time_point now, const slot_claim& claim) {
    if (const auto mine = held_.find(claim.requester); mine != held_.end()) {
        mine->second.until = now + limits_.max_hold_time;
        return {true, {}};
    }
    auto [place, added] = queue_.try_emplace(claim.requester);
    if (added) {
        place->second.order = ++arrivals_;
        // Start-time fair queuing: a customer's next load starts at the virtual finish of its last one.
        double& finish = finish_[claim.customer];
        place->second.start = std::max(virtual_time_, finish);
        finish = place->second.start + 1.0 / std::max(claim.weight, 0.001);
    }
    place->second.claim = claim;
    place->second.renewed_at = now;
    admit(now);
    if (held_.contains(claim.requester)) {
        std::erase(granted_, claim.requester); // this answer reports the grant
        return {true, {}};
    }
    return {false, estimate(now)};
}

void weight_slots::release(common::time_point now, const std::string& requester) {
    held_.erase(requester);
    queue_.erase(requester);
    std::erase(granted_, requester);
    admit(now);
}

std::vector<std::string> weight_slots::granted(common::time_point now) {
    admit(now);
    return std::exchange(granted_, {});
}

common::duration weight_slots::estimate(common::time_point now) const {
    const auto ahead = static_cast<double>(std::count_if(
        queue_.begin(), queue_.end(), [](const auto& entry) { return entry.second.claim.adapters == 0; }));
    const int loads = loading();
    if (ahead == 0 && loads < limits_.max_parallel_loads && has_room(now, {}))
        return {};
    const double load_seconds = std::chrono::duration<double>(limits_.load_time).count();
    const double by_slots = load_seconds / limits_.max_parallel_loads;
    const double each = std::max(by_slots, 1.0 / limits_.loads_per_second);
    const double busy = loads >= limits_.max_parallel_loads ? load_seconds / limits_.max_parallel_loads : 0.0;
    const double wait = busy + ahead * each;
    return std::chrono::ceil<common::milliseconds>(std::chrono::duration<double>(wait));
}

int weight_slots::loading() const {
    return static_cast<int>(std::count_if(held_.begin(), held_.end(),
                                          [](const auto& entry) { return entry.second.adapters == 0; }));
}

void weight_slots::admit(common::time_point now) {
    std::erase_if(held_, [now](const auto& entry) { return now >= entry.second.until; });
    std::erase_if(queue_,
                  [&](const auto& entry) { return now - entry.second.renewed_at >= limits_.claim_ttl; });
    while (!started_.empty() && now - started_.front() >= 1s)
        started_.pop_front();
    for (auto queued = next_claim(now); queued != queue_.end(); queued = next_claim(now)) {
        const slot_claim& claim = queued->second.claim;
        virtual_time_ = std::max(virtual_time_, queued->second.start);
        held_[claim.requester] = {now + limits_.max_hold_time, claim.adapters};
        if (claim.adapters == 0)
            started_.push_back(now);
        granted_.push_back(claim.requester);
        queue_.erase(queued);
    }
    std::erase_if(finish_, [this](const auto& entry) { return entry.second <= virtual_time_; });
}

std::map<std::string, weight_slots::queued_claim>::iterator weight_slots::next_claim(common::time_point now) {
    const auto before = [](const queued_claim& a, const queued_claim& b) {
        if (a.start != b.start)
            return a.start < b.start; // fair share first, then the earlier deadline
        if (a.claim.deadline != b.claim.deadline)
            return a.claim.deadline < b.claim.deadline;
        return a.order < b.order;
    };
    auto best = queue_.end();
    for (auto queued = queue_.begin(); queued != queue_.end(); ++queued)
        if (has_room(now, queued->second.claim) &&
            (best == queue_.end() || before(queued->second, best->second)))
            best = queued;
    return best;
}

bool weight_slots::has_room(common::time_point now, const slot_claim& claim) const {
    if (claim.adapters > 0) {
        int in_flight = 0;
        for (const auto& [requester, slot] : held_)
            in_flight += slot.adapters;
        return in_flight + claim.adapters <= limits_.adapters_in_flight || in_flight == 0;
    }
    if (loading() >= limits_.max_parallel_loads)
        return false;
    const auto recent = std::count_if(started_.begin(), started_.end(),
                                      [now](common::time_point at) { return now - at < 1s; });
    return static_cast<double>(recent) < limits_.loads_per_second;
}

} // namespace waxwinglb::core::placement
