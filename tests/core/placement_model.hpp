/// Simulation for the property tests of replica sets: one model, agents that follow the protocol, changing
/// holders, and messages that are lost, duplicated or late.
#pragma once

#include "core/placement/replica_set.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace waxwinglb::tests {

using namespace std::chrono_literals;
namespace placement = core::placement;
using core::common::duration;
using core::common::time_point;

class placement_simulation {
public:
    explicit placement_simulation(int max_replicas) : max_replicas_(max_replicas) {
        for (std::size_t i = 0; i < agents_.size(); ++i)
            agents_[i].centre = "c" + std::to_string(i % 3);
        holders_[0].emplace(holder{placement::replica_set{}, 1});
    }

    void step(std::uint32_t draw) {
        const std::uint32_t kind = draw % 100;
        const std::uint32_t choice = (draw / 100) % 64;
        const std::uint32_t value = (draw / 6400) % 4096;
        advance(std::chrono::milliseconds(value % 16 == 0 ? 2 * value : value % 200));
        agent& chosen = agents_[choice % agents_.size()];
        auto& holder = holders_[choice % holders_.size()];
        if (kind < 25 && holder)
            holder->set.note_waiting(now_, "r" + std::to_string(value % 5),
                                     {static_cast<int>(value % 12), 10, 5s});
        else if (kind < 60)
            decide(choice % holders_.size(), value);
        else if (kind < 80)
            report(choice % agents_.size(), value);
        else if (kind < 85)
            chosen.engine_busy = value % 2 == 0;
        else if (kind < 88)
            restart(chosen, value % 3 == 0);
        else if (kind < 90)
            chosen.silent_until = now_ + std::chrono::milliseconds(value * 3);
        else if (kind < 92)
            chosen.centre_out = !chosen.centre_out;
        else if (kind < 94)
            chosen.leaving = value % 2 == 0;
        else if (kind < 95)
            reclaim(chosen);
        else if (kind < 98)
            take_over(choice % holders_.size());
        else
            version_ = "v" + std::to_string(value % 3);
    }

    /// True if every engine that holds or loads the model is in the stored decision.
    [[nodiscard]] bool only_decided() const {
        for (std::size_t i = 0; i < agents_.size(); ++i) {
            const auto& members = stored_.members;
            const bool decided =
                std::any_of(members.begin(), members.end(),
                            [&](const placement::member& entry) { return entry.target == name(i); });
            if (!agents_[i].gone && agents_[i].holds && !decided)
                return false;
        }
        return true;
    }

    [[nodiscard]] bool numbers_rise() const { return numbers_rise_; }
    [[nodiscard]] int most_serving() const { return most_serving_; }
    [[nodiscard]] int loads() const { return loads_; }

private:
    struct agent {
        std::string centre;
        std::int64_t boot = 1;
        std::int64_t seen_fencing = 0; // highest order number seen by this process
        std::int64_t seen_decision = 0;
        bool holds = false; // its engine holds or loads the model; unchanged by a restart of the agent
        bool engine_busy = false;
        bool centre_out = false;
        bool leaving = false;
        bool gone = false;
        time_point silent_until{};
    };
    struct holder {
        placement::replica_set set;
        std::int64_t fencing = 1;
    };
    struct message {
        time_point at{};
        std::function<void()> deliver;
    };

    static std::string name(std::size_t i) { return "t" + std::to_string(i); }

    void advance(duration by) {
        const time_point until = now_ + by;
        for (;;) {
            auto next = std::min_element(messages_.begin(), messages_.end(),
                                         [](const message& x, const message& y) { return x.at < y.at; });
            if (next == messages_.end() || next->at > until)
                break;
            now_ = std::max(now_, next->at);
            const auto deliver = std::move(next->deliver);
            messages_.erase(next);
            deliver();
        }
        now_ = until;
    }

    void send(std::uint32_t draw, const std::function<void()>& deliver) {
        if (draw % 8 == 0)
            return;
        const duration late = std::chrono::milliseconds(draw % 5 == 0 ? 2 * draw : draw % 50);
        messages_.push_back({now_ + late, deliver});
        if (draw % 8 == 1)
            messages_.push_back({now_ + late * 4, deliver});
    }

    [[nodiscard]] std::vector<placement::target_view> views() const {
        std::vector<placement::target_view> result;
        for (std::size_t i = 0; i < agents_.size(); ++i) {
            const agent& target = agents_[i];
            placement::target_view view;
            view.target = view.vm = name(i);
            view.data_centre = target.centre;
            view.boot = target.boot;
            view.memory_bytes = 100;
            view.free_bytes = target.holds ? 0 : 50;
            view.reachable = !target.gone && now_ >= target.silent_until;
            view.leaving = target.leaving;
            view.vm_removed = target.gone;
            view.centre_out = target.centre_out;
            result.push_back(view);
        }
        return result;
    }

    // A holder plans, stores with a version check, and sends the orders that are due. The write of a holder
    // that has been replaced fails.
    void decide(std::size_t who, std::uint32_t draw) {
        if (!holders_[who])
            return;
        holder& mine = *holders_[who];
        const auto targets = views();
        placement::plan_input input;
        input.targets = targets;
        input.version = version_;
        input.bytes = 40;
        input.max_replicas = max_replicas_;
        input.spare_replicas = draw % 2 == 0 ? 1 : 0;
        input.idle_limit = 3s;
        input.running = static_cast<int>(draw % 3);
        if (const auto next = mine.set.plan(now_, input)) {
            if (mine.fencing == fencing_) {
                numbers_rise_ = numbers_rise_ && next->number > stored_.number;
                stored_ = *next;
                mine.set.stored(next->number);
                count_serving();
            } else if (draw % 4 != 0) { // else: no answer yet
                mine.set.dropped(next->number);
            }
        }
        if (mine.fencing != fencing_)
            return; // its lease has expired, which it checks before sending
        for (const placement::order& order : mine.set.orders(now_, targets)) {
            mine.set.sent(now_, order);
            const auto to = static_cast<std::size_t>(order.target[1] - '0');
            send(random_state_ = random_state_ * 1664525 + 1013904223,
                 [this, who, to, order, fencing = mine.fencing] { obey(who, to, order, fencing); });
        }
    }

    // The agent refuses lower numbers and carries out equal ones again; orders to another boot never arrive.
    void obey(std::size_t from, std::size_t to, const placement::order& order, std::int64_t fencing) {
        agent& target = agents_[to];
        if (target.gone || target.boot != order.boot || now_ < target.silent_until)
            return;
        using result = placement::order_result;
        if (std::pair(fencing, order.decision) < std::pair(target.seen_fencing, target.seen_decision) ||
            order.decision < target.seen_decision)
            return answer(from, to, order.decision, result::refused);
        target.seen_fencing = fencing;
        target.seen_decision = order.decision;
        if (order.kind == placement::intent::unload) {
            target.holds = false;
            return answer(from, to, order.decision, result::unloaded);
        }
        if (target.engine_busy && !target.holds)
            return answer(from, to, order.decision, result::refused);
        loads_ += target.holds ? 0 : 1;
        target.holds = true;
        answer(from, to, order.decision, result::loaded);
    }

    void answer(std::size_t to, std::size_t from, std::int64_t decision, placement::order_result result) {
        send(random_state_ = random_state_ * 1664525 + 1013904223, [this, to, from, decision, result] {
            if (holders_[to])
                holders_[to]->set.on_outcome(now_, {name(from), decision, result});
        });
    }

    void report(std::size_t from, std::uint32_t draw) {
        const auto state =
            agents_[from].holds ? placement::member_state::loaded : placement::member_state::unknown;
        for (std::size_t to = 0; to < holders_.size(); ++to)
            send(draw + static_cast<std::uint32_t>(to), [this, to, from, state, draw] {
                if (holders_[to])
                    holders_[to]->set.on_report(name(from), state, std::chrono::seconds(draw % 6));
            });
    }

    void restart(agent& restarted, bool engine_restarts) {
        ++restarted.boot;
        restarted.seen_fencing = restarted.seen_decision = 0;
        restarted.holds = restarted.holds && !engine_restarts;
    }

    void reclaim(agent& reclaimed) {
        reclaimed.gone = !reclaimed.gone;
        if (reclaimed.gone)
            restart(reclaimed, true);
    }

    // The new holder reads the shard's object; the old one may continue for a while without knowing.
    void take_over(std::size_t who) {
        const auto read = placement::replica_set::decode(placement::replica_set::encode(stored_));
        holders_[who] = holder{*read, ++fencing_};
    }

    void count_serving() {
        const auto serving =
            std::count_if(stored_.members.begin(), stored_.members.end(), [](const placement::member& entry) {
                return entry.intended == placement::intent::load;
            });
        most_serving_ = std::max(most_serving_, static_cast<int>(serving));
    }

    int max_replicas_;
    time_point now_ = time_point{} + std::chrono::hours(1);
    std::array<agent, 6> agents_;
    std::array<std::optional<holder>, 3> holders_;
    std::vector<message> messages_;
    placement::decision stored_; // as stored
    std::int64_t fencing_ = 1;   // as stored
    std::string version_ = "v0";
    std::uint32_t random_state_ = 7;
    bool numbers_rise_ = true;
    int most_serving_ = 0;
    int loads_ = 0;
};

} // namespace waxwinglb::tests
