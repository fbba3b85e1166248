#include "core/placement/weight_slots.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwinglb::core::placement {

using namespace std::chrono_literals;

slot_answer weight_slots::request(common::time_point now, const slot_claim& wish) {
    if (const auto mine = held_.find(wish.asker); mine != held_.end()) {
        mine->second.until = now + limits_.held_at_most;
        return {true, {}};
    }
    auto [place, added] = queue_.try_emplace(wish.asker);
    if (added) {
        place->second.order = ++arrivals_;
        // Start-time fair queuing: a customer's next load starts where its last one's share ended.
        double& finish = finish_[wish.customer];
        place->second.start = std::max(virtual_time_, finish);
        finish = place->second.start + 1.0 / std::max(wish.weight, 0.001);
    }
    place->second.wish = wish;
    place->second.asked = now;
    admit(now);
    if (held_.contains(wish.asker)) {
        std::erase(granted_, wish.asker); // told by this answer
        return {true, {}};
    }
    return {false, estimate(now)};
}

void weight_slots::release(common::time_point now, const std::string& asker) {
    held_.erase(asker);
    queue_.erase(asker);
    std::erase(granted_, asker);
    admit(now);
}

std::vector<std::string> weight_slots::granted(common::time_point now) {
    admit(now);
    return std::exchange(granted_, {});
}

common::duration weight_slots::estimate(common::time_point now) const {
    const auto ahead = static_cast<double>(std::count_if(
        queue_.begin(), queue_.end(), [](const auto& one) { return one.second.wish.adapters == 0; }));
    const int loads = loading();
    if (ahead == 0 && loads < limits_.at_once && room(now, {}))
        return {};
    const double load_seconds = std::chrono::duration<double>(limits_.load_time).count();
    const double by_slots = load_seconds / limits_.at_once;
    const double each = std::max(by_slots, 1.0 / limits_.loads_per_second);
    const double busy = loads >= limits_.at_once ? load_seconds / limits_.at_once : 0.0;
    const double wait = busy + ahead * each;
    return std::chrono::ceil<common::milliseconds>(std::chrono::duration<double>(wait));
}

int weight_slots::loading() const {
    return static_cast<int>(
        std::count_if(held_.begin(), held_.end(), [](const auto& one) { return one.second.adapters == 0; }));
}

void weight_slots::admit(common::time_point now) {
    std::erase_if(held_, [now](const auto& one) { return now >= one.second.until; });
    std::erase_if(queue_, [&](const auto& one) { return now - one.second.asked >= limits_.asked_within; });
    while (!started_.empty() && now - started_.front() >= 1s)
        started_.pop_front();
    for (auto one = next(now); one != queue_.end(); one = next(now)) {
        const slot_claim& wish = one->second.wish;
        virtual_time_ = std::max(virtual_time_, one->second.start);
        held_[wish.asker] = {now + limits_.held_at_most, wish.adapters};
        if (wish.adapters == 0)
            started_.push_back(now);
        granted_.push_back(wish.asker);
        queue_.erase(one);
    }
    std::erase_if(finish_, [this](const auto& one) { return one.second <= virtual_time_; });
}

std::map<std::string, weight_slots::wish_state>::iterator weight_slots::next(common::time_point now) {
    const auto before = [](const wish_state& a, const wish_state& b) {
        if (a.start != b.start)
            return a.start < b.start; // fair share first, then the nearer deadline
        if (a.wish.deadline != b.wish.deadline)
            return a.wish.deadline < b.wish.deadline;
        return a.order < b.order;
    };
    auto best = queue_.end();
    for (auto one = queue_.begin(); one != queue_.end(); ++one)
        if (room(now, one->second.wish) && (best == queue_.end() || before(one->second, best->second)))
            best = one;
    return best;
}

bool weight_slots::room(common::time_point now, const slot_claim& wish) const {
    if (wish.adapters > 0) {
        int flying = 0;
        for (const auto& [asker, one] : held_)
            flying += one.adapters;
        return flying + wish.adapters <= limits_.adapters_in_flight || flying == 0;
    }
    if (loading() >= limits_.at_once)
        return false;
    const auto recent = std::count_if(started_.begin(), started_.end(),
                                      [now](common::time_point at) { return now - at < 1s; });
    return static_cast<double>(recent) < limits_.loads_per_second;
}

} // namespace waxwinglb::core::placement
