/// Simulates several gateways that send prompts to the one engine that holds a model, and measures the
/// latencies of their callers.
///
/// Arrivals are Poisson; lengths of prompts and answers follow the users' data sheets. Each gateway knows
/// only its own streams and decides by a policy when to send its next prompt.
#pragma once

#include "core/dispatch/prompt_turns.hpp"
#include "simulation/engine.hpp"

#include <algorithm>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace waxwinglb::simulation {

/// Decides when a gateway may send its next prompt to the target, given the tokens of the prompts that it has
/// sent and that are still unread.
template<class policy_type>
concept sending_policy = requires(policy_type policy, int tokens, core::common::time_point now) {
    { policy.may_send(tokens, tokens, now) } -> std::same_as<bool>; // unread, of the next prompt
    policy.sent(tokens);
};

struct reading_load {
    int gateways = 5;
    double arrivals_per_s = 10;
    core::common::milliseconds length{30'000};  // duration of the run
    core::common::milliseconds first_aim{800};  // limit for the first event to be on time
    core::common::milliseconds pause_aim{300};  // limit for the pause between two events
    core::common::milliseconds max_wait{7'200}; // a request that waits longer is refused
};

/// Numbers of requests by outcome.
struct reading_result {
    int asked = 0;
    int on_time = 0;
    int late_first = 0; // first event later than first_aim
    int paused = 0;     // first event on time, a pause longer than pause_aim
    int refused = 0;
};

/// A run of the simulation; `make_policy` makes the policy of each gateway.
template<sending_policy policy_type>
class reading_run {
public:
    reading_run(const reading_load& load, std::uint64_t seed, std::function<policy_type()> make_policy)
        : load_(load), random_(seed), engine_(engine_speed{}) {
        for (int i = 0; i < load.gateways; ++i)
            gateways_.push_back({make_policy(), {}, 0});
    }
    reading_result run();

private:
    using time_point = core::common::time_point;
    using duration = core::common::duration;
    struct request {
        generation content;
        std::size_t gateway = 0;
        time_point arrived{};
        std::optional<time_point> last_event;
        bool first_on_time = false;
        bool paused = false;
    };
    struct gateway {
        policy_type policy;
        std::vector<int> waiting; // in order of arrival
        int unread = 0;           // prompt tokens sent to the engine without a first event yet
    };
    void arrive(time_point now);
    void send_waiting(gateway& one, time_point now);
    void take_event(const engine_event& event, time_point now);
    [[nodiscard]] int length(double mean, double spread, double most);

    static constexpr time_point start{std::chrono::hours{1}};
    static constexpr core::common::milliseconds check_interval{5};
    reading_load load_;
    std::mt19937_64 random_;
    engine engine_;
    std::vector<gateway> gateways_;
    std::vector<request> requests_;
    reading_result result_;
};

template<sending_policy policy_type>
reading_result reading_run<policy_type>::run() {
    std::exponential_distribution<double> interarrival(load_.arrivals_per_s);
    const auto next_interarrival = [&] {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(interarrival(random_)));
    };
    time_point arrival = start + next_interarrival();
    time_point step_end = time_point::max();
    time_point next_check = start;
    for (time_point now = start; now < start + load_.length;
         now = std::min({arrival, step_end, next_check})) {
        if (now == step_end) {
            for (const engine_event& event : engine_.end_step())
                take_event(event, now);
            step_end = time_point::max();
        }
        if (now >= arrival) {
            arrive(now);
            arrival = now + next_interarrival();
        }
        for (gateway& one : gateways_)
            send_waiting(one, now);
        next_check = now + check_interval;
        if (!engine_.busy())
            step_end = engine_.begin_step(now);
    }
    return result_;
}

template<sending_policy policy_type>
void reading_run<policy_type>::arrive(time_point now) {
    request one;
    one.content.number = static_cast<int>(requests_.size());
    one.content.prompt_tokens = 350 + length(1'110, 1.0, 3'790); // a shared part and the request's own part
    one.content.events = length(43, 0.89, 150);
    one.gateway = std::uniform_int_distribution<std::size_t>{0, gateways_.size() - 1}(random_);
    one.arrived = now;
    gateways_[one.gateway].waiting.push_back(one.content.number);
    requests_.push_back(one);
    ++result_.asked;
}

/// Sends waiting requests as the policy allows. Those that can still be on time go first, as in the real
/// gateway.
template<sending_policy policy_type>
void reading_run<policy_type>::send_waiting(gateway& one, time_point now) {
    std::erase_if(one.waiting, [&](int number) {
        const bool overdue = now - requests_[static_cast<std::size_t>(number)].arrived >= load_.max_wait;
        result_.refused += overdue ? 1 : 0;
        return overdue;
    });
    std::stable_partition(one.waiting.begin(), one.waiting.end(), [&](int number) {
        return now - requests_[static_cast<std::size_t>(number)].arrived < load_.first_aim;
    });
    while (!one.waiting.empty()) {
        const generation& first = requests_[static_cast<std::size_t>(one.waiting.front())].content;
        if (!one.policy.may_send(one.unread, first.prompt_tokens, now))
            return;
        one.policy.sent(first.prompt_tokens);
        one.unread += first.prompt_tokens;
        engine_.submit(first);
        one.waiting.erase(one.waiting.begin());
    }
}

template<sending_policy policy_type>
void reading_run<policy_type>::take_event(const engine_event& event, time_point now) {
    request& one = requests_[static_cast<std::size_t>(event.number)];
    gateway& owner = gateways_[one.gateway];
    if (!one.last_event) {
        owner.unread -= one.content.prompt_tokens;
        one.first_on_time = now - one.arrived <= load_.first_aim;
    } else {
        const duration pause = now - *one.last_event;
        one.paused = one.paused || pause > load_.pause_aim;
    }
    one.last_event = now;
    if (!event.last)
        return;
    result_.late_first += one.first_on_time ? 0 : 1;
    result_.paused += one.first_on_time && one.paused ? 1 : 0;
    result_.on_time += one.first_on_time && !one.paused ? 1 : 0;
}

/// Log-normal length with this mean; `spread` is the standard deviation of its logarithm.
template<sending_policy policy_type>
int reading_run<policy_type>::length(double mean, double spread, double most) {
    std::lognormal_distribution<double> draw(std::log(mean) - spread * spread / 2, spread);
    return std::max(1, static_cast<int>(std::min(most, draw(random_))));
}

// ---- policies ----------------------------------------------------------------------------------------

/// Sends every prompt at once: the baseline.
struct no_bound {
    [[nodiscard]] bool may_send(int, int, core::common::time_point) const { return true; }
    void sent(int) {}
};

/// Limits the unread prompt tokens of this gateway.
struct own_window {
    int most = 2'000;
    [[nodiscard]] bool may_send(int unread, int tokens, core::common::time_point) const {
        return unread == 0 || unread + tokens <= most;
    }
    void sent(int) {}
};

/// Sends in turns granted by one of the gateways; messages between gateways arrive without delay.
class turn_taking {
public:
    /// State shared by the gateways of one run.
    struct exchange {
        core::dispatch::turn_scheduler scheduler;
        std::map<std::string, turn_taking*> gateways;
        core::dispatch::turn_pace pace{16, 0};
        int gateway_count = 0; // numbers the gateways
    };
    explicit turn_taking(std::shared_ptr<exchange> shared)
        : exchange_(std::move(shared)), name_("g" + std::to_string(exchange_->gateway_count++)) {}

    [[nodiscard]] bool may_send(int, int tokens, core::common::time_point now) {
        using step = core::dispatch::turn_client::step;
        exchange_->gateways[name_] = this;
        if (client_.next(now) == step::ask) {
            const auto number = client_.ask(tokens, now);
            const auto wait = exchange_->scheduler.ask({name_, number}, tokens, exchange_->pace, now);
            client_.queued(number, wait, now);
        }
        while (const auto turn = exchange_->scheduler.next(exchange_->pace, now))
            exchange_->gateways.at(turn->gateway)->client_.given(turn->number);
        return client_.next(now) == step::send;
    }
    void sent(int tokens) {
        if (const auto number = client_.sent(tokens))
            exchange_->scheduler.sent({name_, *number}, tokens, exchange_->pace);
    }

private:
    std::shared_ptr<exchange> exchange_;
    std::string name_;
    core::dispatch::turn_client client_;
};

} // namespace waxwinglb::simulation
