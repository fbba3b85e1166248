// A fleet of gateways that exchange reports over links with delay, loss and cuts, step by step and without
// sockets. The seed decides everything.
#pragma once

#include "core/exchange/exchange.hpp"
#include "token_window.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace waxwinglb::tests {

using namespace std::chrono_literals;
using core::common::milliseconds;
using core::common::time_point;
using core::exchange::report;

inline constexpr milliseconds model_step{10};

struct model_options {
    int gateways = 103;
    int data_centres = 6;
    int large_each = 3; // larger machines in each data centre
    double loss = 0.01; // part of the messages
    milliseconds max_delay{40};
    std::uint64_t seed = 1;
    double rate = 5'000;  // tokens a second of customer "c"
    double burst = 5'000; // tokens
    std::size_t single_group = core::exchange::max_single_group;
};

class exchange_model {
public:
    struct member {
        std::string name;
        std::string data_centre;
        double processor_share = 0;
        std::int64_t boot = 1;
        double clock_rate = 1; // of its clock, relative to the model's
        bool up = true;        // false: killed
        bool frozen = false;   // neither receives nor sends; its messages wait
        bool gives_orders = false;
        std::map<std::string, int> running;
        std::unique_ptr<core::exchange::exchange> exchange;
        std::unique_ptr<core::limits::fleet_quota> quota;
        time_point next_tick{};
        std::vector<report> held; // arrived while frozen
        std::int64_t sent = 0;    // messages
        std::int64_t received = 0;
    };

    explicit exchange_model(const model_options& options) : options_(options), random_(options.seed) {
        for (int at = 0; at < options.gateways; ++at) {
            member made;
            made.data_centre = "dc" + std::to_string(at % options.data_centres);
            made.name = "g" + std::to_string(at);
            made.processor_share = at / options.data_centres < options.large_each ? 0.5 : 0.09;
            made.clock_rate = 1 + (static_cast<double>(random_() % 2'001) - 1'000) / 1e6;
            members.push_back(std::move(made));
        }
        for (member& each : members)
            start(each);
    }

    /// Begins a process of the gateway, which knows the registered ones and has heard nothing.
    void start(member& each) {
        each.up = true;
        each.frozen = false;
        each.held.clear();
        each.exchange = std::make_unique<core::exchange::exchange>(
            core::exchange::local_gateway{each.name, each.data_centre, each.name, each.boot,
                                          each.processor_share},
            options_.single_group);
        each.quota = std::make_unique<core::limits::fleet_quota>(each.name);
        each.quota->configure({{"c", customer()}}, local(each));
        core::exchange::gateway_places places;
        for (const member& other : members)
            places[other.name] = other.data_centre;
        each.exchange->change_members(places, *each.quota, local(each));
        each.next_tick = now + milliseconds{static_cast<std::int64_t>(random_() % 300)};
    }
    void restart(member& each) {
        ++each.boot;
        start(each);
    }
    void kill(member& each) { each.up = false; }
    void thaw(member& each) {
        each.frozen = false;
        for (const report& waiting : std::exchange(each.held, {}))
            deliver(each, waiting);
    }

    /// Messages from `from` to `to` are lost while this returns true.
    std::function<bool(const member& from, const member& to)> is_cut = [](const member&, const member&) {
        return false;
    };
    std::function<void(member&)> load = [](member&) {}; // called in each step for each running gateway

    void run(milliseconds duration) {
        for (const time_point end = now + duration; now < end; now += model_step)
            step();
    }

    [[nodiscard]] time_point local(const member& each) const {
        const auto passed = std::chrono::duration<double>(now - time_point{1'000s}) * each.clock_rate;
        return time_point{1'000s} + std::chrono::duration_cast<core::common::duration>(passed);
    }
    [[nodiscard]] double part(const member& each) const { return each.quota->available_part(local(each)); }
    /// Requests of all other gateways at a target, as this gateway knows.
    [[nodiscard]] int known_load(const member& each, const std::string& target) const {
        int out = 0;
        for (const auto& [name, peer] : each.exchange->peers())
            if (peer.is_member && each.exchange->is_in_contact(name, local(each)))
                if (const auto found = peer.last.own->running.find(target);
                    found != peer.last.own->running.end())
                    out += found->second;
        const auto outside = each.exchange->outside_running(local(each));
        const auto found = outside.find(target);
        return out + (found == outside.end() ? 0 : found->second);
    }
    bool take(member& each, double tokens) {
        if (!each.quota->take("c", tokens, local(each)).granted)
            return false;
        spent.emplace_back(now, tokens);
        return true;
    }
    [[nodiscard]] std::uint64_t next_random() { return random_(); }

    std::vector<member> members;
    time_point now{1'000s};
    token_grants spent; // by all gateways

private:
    struct message {
        time_point at{};
        std::size_t to = 0;
        std::shared_ptr<const report> content;
        bool operator>(const message& other) const { return at > other.at; }
    };

    [[nodiscard]] core::fleet::customer customer() const {
        core::fleet::customer out;
        out.name = "c";
        out.tokens_per_second = options_.rate;
        out.burst_tokens = options_.burst;
        return out;
    }
    void step() {
        while (!in_flight_.empty() && in_flight_.top().at <= now) {
            const message next = in_flight_.top();
            in_flight_.pop();
            member& to = members[next.to];
            if (to.up && to.frozen)
                to.held.push_back(*next.content);
            else if (to.up)
                deliver(to, *next.content);
        }
        for (member& each : members) {
            if (!each.up || each.frozen)
                continue;
            load(each);
            if (now >= each.next_tick)
                tick(each);
        }
    }
    void deliver(member& to, const report& content) {
        ++to.received;
        to.exchange->take(content, *to.quota, local(to));
    }
    void tick(member& each) {
        const auto at = local(each);
        each.exchange->expire(*each.quota, at);
        core::exchange::local_state state;
        state.gives_orders = each.gives_orders;
        state.reads_store = each.gives_orders;
        state.reads_targets = true;
        state.running = each.running;
        const auto own = std::make_shared<const report>(each.exchange->member_report(state, *each.quota, at));
        for (const std::string& name : each.exchange->members())
            send(each, name, own);
        if (each.exchange->grouped() && (each.exchange->speaks(at) || each.gives_orders)) {
            const auto sums =
                std::make_shared<const report>(each.exchange->group_report_of(state, *each.quota, at));
            for (const std::string& name : each.exchange->next_outside_receivers(at))
                send(each, name, sums);
        }
        each.next_tick = now + each.exchange->period(at);
    }
    void send(member& from, const std::string& name, const std::shared_ptr<const report>& content) {
        ++from.sent;
        const auto to = static_cast<std::size_t>(std::stoi(name.substr(1)));
        if (is_cut(from, members[to]) || static_cast<double>(random_() % 10'000) < options_.loss * 10'000)
            return;
        const auto delay = milliseconds{static_cast<std::int64_t>(
            1 + random_() % static_cast<std::uint64_t>(options_.max_delay.count()))};
        in_flight_.push({now + delay, to, content});
    }

    model_options options_;
    std::mt19937_64 random_;
    std::priority_queue<message, std::vector<message>, std::greater<>> in_flight_;
};

} // namespace waxwinglb::tests
