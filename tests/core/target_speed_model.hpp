/// A small model of engines behind several gateways, for tests of the choice of targets: what callers get.
///
/// An engine works in steps; each makes one token of every running request and reads up to 4,096 tokens of
/// the prompts in the order of their arrival. A gateway counts its own requests at once and hears of the
/// others' every 250 ms; prompts for one engine are spaced by turns of one scheduler. Not modelled: models
/// and adapters, retries, callers that give up.
#pragma once

#include "core/dispatch/request_target_choice.hpp"
#include "core/target_speed/pace_meter.hpp"
#include "core/target_speed/speeds.hpp"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace waxwinglb::tests {

using namespace std::chrono_literals;
using core::common::time_point;

struct model_options {
    std::vector<double> speeds; // of the engines
    int gateways = 8;
    bool learns = true; // dispatch.learn_speeds
    double per_second = 100;
    double seconds = 40;
    double counted_from = 15; // requests that arrive earlier don't count
    /// Work that a step takes at the moment, 1 being usual, and what the engine states of it, in percent.
    std::function<double(int engine, double ms)> work = [](int, double) { return 1.0; };
    std::function<std::optional<double>(int engine, double ms)> stated = [](int, double) {
        return std::optional<double>{};
    };
    double figure_delay_ms = 0; // until a stated figure reaches the gateway
    std::uint64_t seed = 20261203;
};

/// What callers got, by engine.
struct model_result {
    struct counts {
        int requests = 0;
        int on_time = 0;
        [[nodiscard]] double share() const {
            return requests == 0 ? 1 : static_cast<double>(on_time) / requests;
        }
    };
    std::vector<counts> by_engine;
    counts all; // including those that no engine began to answer
};

class engine_fleet_model {
public:
    explicit engine_fleet_model(model_options options)
        : options_(std::move(options)), random_(options_.seed), engines_(options_.speeds.size()),
          gateways_(static_cast<std::size_t>(options_.gateways)) {
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            engines_[i].target.entry.id = "t" + std::to_string(100 + i);
            engines_[i].target.entry.slots = slots;
            engines_[i].target.entry.data_centre = "a";
            engines_[i].target.entry.born = 1;
        }
        for (gateway& one : gateways_) {
            one.running.resize(engines_.size());
            one.reported.resize(engines_.size());
            one.unread.resize(engines_.size());
        }
        result_.by_engine.resize(engines_.size());
    }

    model_result run() {
        std::exponential_distribution<double> gap{options_.per_second / 1'000};
        double next_arrival = gap(random_);
        for (ms_ = 0; ms_ < options_.seconds * 1'000; ms_ += 1) {
            for (; next_arrival <= ms_; next_arrival += gap(random_))
                arrive();
            if (static_cast<int>(ms_) % 10 == 0)
                for (std::size_t g = 0; g < gateways_.size(); ++g)
                    housekeeping(g);
            for (std::size_t e = 0; e < engines_.size(); ++e)
                advance(e);
        }
        return result_;
    }

    static constexpr int slots = 64;
    static constexpr int usual_limit = 48;
    static constexpr double turn_tokens_per_ms = 16; // prompts that all gateways send to one engine
    static constexpr double first_event_ms = 600;
    static constexpr double pause_ms = 400;

private:
    struct request {
        std::uint64_t number = 0;
        std::size_t gateway = 0;
        double arrived = 0;
        double sent = 0;
        int prompt = 0;
        int unread = 0;
        int tokens = 0; // to make
        int made = 0;
        double last_event = 0;
        bool late = false;
        core::target_speed::pace_meter pace;
    };
    struct engine {
        core::fleet::target target;
        std::deque<request> requests;
        double step_ends = 0;
        bool busy = false;
        double turn_at = 0; // of the next prompt
    };
    struct gateway {
        std::vector<int> running;
        std::vector<int> reported; // as last reported to the others
        std::vector<int> unread;   // prompt tokens
        std::deque<request> waiting;
        core::target_speed::speeds speeds;
        std::deque<std::pair<double, std::pair<std::size_t, double>>> figures; // on their way
        double sends = 0;                                                      // decaying sum
        double sends_at = 0;
    };

    [[nodiscard]] time_point now() const {
        return time_point{100s} + std::chrono::microseconds{static_cast<std::int64_t>(ms_ * 1'000)};
    }
    [[nodiscard]] core::fleet::target_start start_of(std::size_t e) const {
        return {engines_[e].target.entry.id, 1};
    }
    [[nodiscard]] double speed_seen_by(std::size_t g, std::size_t e) const {
        return options_.learns ? gateways_[g].speeds.lasting(start_of(e).id, 1) : 1;
    }
    [[nodiscard]] int load_at(std::size_t g, std::size_t e) const {
        int load = gateways_[g].running[e];
        for (std::size_t other = 0; other < gateways_.size(); ++other)
            load += other == g ? 0 : gateways_[other].reported[e];
        return load;
    }
    [[nodiscard]] bool counts(const request& one) const {
        return one.arrived >= options_.counted_from * 1'000;
    }

    void arrive() {
        std::lognormal_distribution<double> prompt{6.2, 0.7}; // median 490, mean 630
        request one;
        one.number = ++last_number_;
        one.gateway = random_() % gateways_.size();
        one.arrived = ms_;
        one.prompt = std::clamp(static_cast<int>(prompt(random_)), 20, 6'000);
        one.tokens = 40 + static_cast<int>(random_() % 160);
        if (counts(one))
            ++result_.all.requests;
        gateways_[one.gateway].waiting.push_back(one);
        dispatch(one.gateway);
    }

    void dispatch(std::size_t g) {
        gateway& from = gateways_[g];
        std::erase_if(from.waiting, [&](request& one) {
            if (ms_ - one.arrived > 2 * first_event_ms)
                return true; // refused
            return try_send(g, one);
        });
    }

    bool try_send(std::size_t g, request& one) {
        gateway& from = gateways_[g];
        std::vector<core::dispatch::candidate> candidates;
        for (std::size_t e = 0; e < engines_.size(); ++e) {
            core::dispatch::candidate seen;
            const double speed = speed_seen_by(g, e);
            seen.target = &engines_[e].target;
            seen.load = load_at(g, e);
            seen.limit = core::dispatch::scaled_limit(usual_limit, speed, slots);
            seen.near = true;
            seen.unread_tokens = from.unread[e];
            seen.unread_limit = static_cast<int>(2'000 * speed);
            seen.turn_queued = ms_ < engines_[e].turn_at;
            if (options_.learns)
                seen.capacity = usual_limit * speed * from.speeds.of(start_of(e).id, 1, now()).momentary;
            candidates.push_back(seen);
        }
        core::dispatch::target_criteria criteria;
        criteria.prompt_tokens = one.prompt;
        criteria.spread.active = options_.learns;
        criteria.spread.salt = one.number * 2'654'435'761U + g;
        const double kept = from.sends * std::exp((from.sends_at - ms_) / 250);
        criteria.spread.unseen = (1 + kept) * static_cast<double>(gateways_.size() - 1);
        const auto choice = core::dispatch::choose(candidates, criteria, now());
        if (choice.chosen == nullptr)
            return false;
        const auto e = static_cast<std::size_t>(choice.chosen - candidates.data());
        from.sends = kept + 1;
        from.sends_at = ms_;
        one.sent = ms_;
        one.unread = one.prompt;
        ++from.running[e];
        from.unread[e] += one.prompt;
        engines_[e].turn_at = ms_ + one.prompt / (turn_tokens_per_ms * speed_seen_by(g, e));
        engines_[e].requests.push_back(one);
        if (counts(one))
            ++result_.by_engine[e].requests;
        const auto figure = options_.stated(static_cast<int>(e), ms_);
        if (options_.learns && figure)
            from.figures.push_back({ms_ + options_.figure_delay_ms, {e, *figure}});
        return true;
    }

    void housekeeping(std::size_t g) {
        gateway& one = gateways_[g];
        const int at = static_cast<int>(ms_) + static_cast<int>(g) * 30;
        if (at % 250 < 10)
            one.reported = one.running;
        while (!one.figures.empty() && one.figures.front().first <= ms_) {
            const auto [e, percent] = one.figures.front().second;
            one.speeds.note_figure(start_of(e), "s", percent, now());
            one.figures.pop_front();
        }
        if (options_.learns && at % 500 < 10) {
            one.speeds.update(now());
            for (const auto& learned : one.speeds.next_to_report(core::target_speed::max_reported, now()))
                for (std::size_t other = 0; other < gateways_.size(); ++other)
                    if (other != g)
                        gateways_[other].speeds.note_reported(learned, now());
        }
        dispatch(g);
    }

    void advance(std::size_t e) {
        engine& one = engines_[e];
        if (one.busy && one.step_ends > ms_)
            return;
        if (one.busy)
            end_step(e);
        one.busy = !one.requests.empty();
        if (!one.busy)
            return;
        int left = 4'096;
        int running = 0;
        int read = 0;
        for (request& each : one.requests) {
            if (each.unread == 0) {
                ++running;
                continue;
            }
            const int part = std::min(left, each.unread);
            each.unread -= part;
            left -= part;
            read += part;
        }
        const double work = 8.9 + 0.034 * running + read / 19.1;
        one.step_ends = ms_ + work * options_.work(static_cast<int>(e), ms_) / options_.speeds[e];
    }

    void end_step(std::size_t e) {
        std::erase_if(engines_[e].requests, [&](request& one) {
            if (one.unread > 0)
                return false;
            gateway& from = gateways_[one.gateway];
            ++one.made;
            if (one.made % 4 == 0) {
                const bool first = one.made == 4;
                const double passed = first ? ms_ - one.arrived : ms_ - one.last_event;
                one.late = one.late || passed > (first ? first_event_ms : pause_ms);
                one.last_event = ms_;
                if (first)
                    from.unread[e] -= one.prompt;
                if (const auto each = one.pace.add(1, now()))
                    from.speeds.note_sample(start_of(e), "s", *each, load_at(one.gateway, e), now());
            }
            if (one.made < one.tokens)
                return false;
            if (one.made < 4)
                from.unread[e] -= one.prompt;
            --from.running[e];
            if (counts(one) && !one.late) {
                ++result_.by_engine[e].on_time;
                ++result_.all.on_time;
            }
            return true;
        });
    }

    model_options options_;
    std::mt19937_64 random_;
    std::vector<engine> engines_;
    std::vector<gateway> gateways_;
    model_result result_;
    double ms_ = 0;
    std::uint64_t last_number_ = 0;
};

} // namespace waxwinglb::tests
