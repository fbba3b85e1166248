#include "simulation/reading.hpp"

#include "programs/experiment/experiments.hpp"

namespace waxwinglb::programs::experiment {
namespace {

using namespace std::chrono_literals;

outcome shares(const char* policy, const simulation::reading_result& result) {
    const double all = std::max(1, result.asked);
    return {policy,
            {{"on time", result.on_time / all},
             {"late", result.late_first / all},
             {"paused", result.paused / all},
             {"refused", result.refused / all}}};
}

} // namespace

std::vector<outcome> run_reading(std::uint64_t seed, double arrivals_per_s) {
    simulation::reading_load load;
    load.arrivals_per_s = arrivals_per_s;
    const auto run_policy = [&]<simulation::sending_policy policy_type>(std::function<policy_type()> make) {
        return simulation::reading_run<policy_type>{load, seed, std::move(make)}.run();
    };
    const auto exchange = std::make_shared<simulation::turn_taking::exchange>();
    const auto take_turns = [&] { return simulation::turn_taking{exchange}; };
    return {shares("at once", run_policy(std::function{[] { return simulation::no_bound{}; }})),
            shares("2,000 tokens unread", run_policy(std::function{[] { return simulation::own_window{}; }})),
            shares("turns", run_policy(std::function{take_turns}))};
}

} // namespace waxwinglb::programs::experiment
