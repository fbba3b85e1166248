/// A small world for the properties of replica sets: one model, agents that obey the protocol, holders that
/// come and go, and messages that are lost, doubled and late.
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

class placement_world {
public:
    explicit placement_world(int max_replicas) : max_replicas_(max_replicas) {
        for (std::size_t i = 0; i < agents_.size(); ++i)
            agents_[i].centre = "c" + std::to_string(i % 3);
        holders_[0].emplace(holder{placement::replica_set{}, 1});
    }

    void step(std::uint32_t word) {
        const std::uint32_t kind = word % 100;
        const std::uint32_t a = (word / 100) % 64;
        const std::uint32_t b = (word / 6400) % 4096;
        advance(std::chrono::milliseconds(b % 16 == 0 ? 2 * b : b % 200));
        agent& at = agents_[a % agents_.size()];
        auto& holder = holders_[a % holders_.size()];
        if (kind < 25 && holder)
            holder->set.note_waiting(now_, "r" + std::to_string(b % 5), {static_cast<int>(b % 12), 10, 5s});
        else if (kind < 60)
            decide(a % holders_.size(), b);
        else if (kind < 80)
            report(a % agents_.size(), b);
        else if (kind < 85)
            at.engine_busy = b % 2 == 0;
        else if (kind < 88)
            restart(at, b % 3 == 0);
        else if (kind < 90)
            at.silent_until = now_ + std::chrono::milliseconds(b * 3);
        else if (kind < 92)
            at.out = !at.out;
        else if (kind < 94)
            at.leaving = b % 2 == 0;
        else if (kind < 95)
            reclaim(at);
        else if (kind < 98)
            take_over(a % holders_.size());
        else
            version_ = "v" + std::to_string(b % 3);
    }

    /// Every engine that holds or loads the model is in the stored decision.
    [[nodiscard]] bool only_decided() const {
        for (std::size_t i = 0; i < agents_.size(); ++i) {
            const auto& members = stored_.members;
            const bool decided =
                std::any_of(members.begin(), members.end(),
                            [&](const placement::member& one) { return one.target == name(i); });
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
        bool holds = false; // its engine holds or loads the model; survives the agent
        bool engine_busy = false;
        bool out = false;
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
            auto next = std::min_element(mail_.begin(), mail_.end(),
                                         [](const message& x, const message& y) { return x.at < y.at; });
            if (next == mail_.end() || next->at > until)
                break;
            now_ = std::max(now_, next->at);
            const auto deliver = std::move(next->deliver);
            mail_.erase(next);
            deliver();
        }
        now_ = until;
    }

    void send(std::uint32_t luck, const std::function<void()>& deliver) {
        if (luck % 8 == 0)
            return;
        const duration late = std::chrono::milliseconds(luck % 5 == 0 ? 2 * luck : luck % 50);
        mail_.push_back({now_ + late, deliver});
        if (luck % 8 == 1)
            mail_.push_back({now_ + late * 4, deliver});
    }

    [[nodiscard]] std::vector<placement::target_view> views() const {
        std::vector<placement::target_view> out;
        for (std::size_t i = 0; i < agents_.size(); ++i) {
            const agent& at = agents_[i];
            placement::target_view view;
            view.target = view.vm = name(i);
            view.data_centre = at.centre;
            view.boot = at.boot;
            view.memory_bytes = 100;
            view.free_bytes = at.holds ? 0 : 50;
            view.reachable = !at.gone && now_ >= at.silent_until;
            view.leaving = at.leaving;
            view.vm_removed = at.gone;
            view.centre_out = at.out;
            out.push_back(view);
        }
        return out;
    }

    // A holder plans, stores with a version check, and sends what is due. A deposed one's write fails.
    void decide(std::size_t who, std::uint32_t luck) {
        if (!holders_[who])
            return;
        holder& mine = *holders_[who];
        const auto targets = views();
        placement::plan_input input;
        input.targets = targets;
        input.version = version_;
        input.bytes = 40;
        input.max_replicas = max_replicas_;
        input.spare_replicas = luck % 2 == 0 ? 1 : 0;
        input.idle_limit = 3s;
        input.running = static_cast<int>(luck % 3);
        if (const auto next = mine.set.plan(now_, input)) {
            if (mine.fencing == fencing_) {
                numbers_rise_ = numbers_rise_ && next->number > stored_.number;
                stored_ = *next;
                mine.set.stored(next->number);
                count_serving();
            } else if (luck % 4 != 0) { // else: no answer yet
                mine.set.dropped(next->number);
            }
        }
        if (mine.fencing != fencing_)
            return; // its lease has run out before another could take over, and it looks before it sends
        for (const placement::order& one : mine.set.orders(now_, targets)) {
            mine.set.sent(now_, one);
            const auto to = static_cast<std::size_t>(one.target[1] - '0');
            send(luck_ = luck_ * 1664525 + 1013904223,
                 [this, who, to, one, fencing = mine.fencing] { obey(who, to, one, fencing); });
        }
    }

    // What the agent does: old numbers are refused, equal ones repeated, orders of another boot never arrive.
    void obey(std::size_t from, std::size_t to, const placement::order& one, std::int64_t fencing) {
        agent& at = agents_[to];
        if (at.gone || at.boot != one.boot || now_ < at.silent_until)
            return;
        using result = placement::order_result;
        if (std::pair(fencing, one.decision) < std::pair(at.seen_fencing, at.seen_decision) ||
            one.decision < at.seen_decision)
            return answer(from, to, one.decision, result::refused);
        at.seen_fencing = fencing;
        at.seen_decision = one.decision;
        if (one.kind == placement::intent::unload) {
            at.holds = false;
            return answer(from, to, one.decision, result::unloaded);
        }
        if (at.engine_busy && !at.holds)
            return answer(from, to, one.decision, result::refused);
        loads_ += at.holds ? 0 : 1;
        at.holds = true;
        answer(from, to, one.decision, result::loaded);
    }

    void answer(std::size_t to, std::size_t from, std::int64_t decision, placement::order_result result) {
        send(luck_ = luck_ * 1664525 + 1013904223, [this, to, from, decision, result] {
            if (holders_[to])
                holders_[to]->set.on_outcome(now_, {name(from), decision, result});
        });
    }

    void report(std::size_t from, std::uint32_t luck) {
        const auto state =
            agents_[from].holds ? placement::member_state::loaded : placement::member_state::unknown;
        for (std::size_t to = 0; to < holders_.size(); ++to)
            send(luck + static_cast<std::uint32_t>(to), [this, to, from, state, luck] {
                if (holders_[to])
                    holders_[to]->set.on_report(name(from), state, std::chrono::seconds(luck % 6));
            });
    }

    void restart(agent& at, bool engine_too) {
        ++at.boot;
        at.seen_fencing = at.seen_decision = 0;
        at.holds = at.holds && !engine_too;
    }

    void reclaim(agent& at) {
        at.gone = !at.gone;
        if (at.gone)
            restart(at, true);
    }

    // The new holder reads the shard's object; the old one may go on for a while without knowing.
    void take_over(std::size_t who) {
        const auto read = placement::replica_set::decode(placement::replica_set::encode(stored_));
        holders_[who] = holder{*read, ++fencing_};
    }

    void count_serving() {
        const auto serving =
            std::count_if(stored_.members.begin(), stored_.members.end(),
                          [](const placement::member& one) { return one.wanted == placement::intent::load; });
        most_serving_ = std::max(most_serving_, static_cast<int>(serving));
    }

    int max_replicas_;
    time_point now_ = time_point{} + std::chrono::hours(1);
    std::array<agent, 6> agents_;
    std::array<std::optional<holder>, 3> holders_;
    std::vector<message> mail_;
    placement::decision stored_; // in the store
    std::int64_t fencing_ = 1;   // in the store
    std::string version_ = "v0";
    std::uint32_t luck_ = 7;
    bool numbers_rise_ = true;
    int most_serving_ = 0;
    int loads_ = 0;
};

} // namespace waxwinglb::tests
