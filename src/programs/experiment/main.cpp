/// waxwing-experiment: measures the core's policies against baselines, over several seeds.
#include "programs/experiment/experiments.hpp"

#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

namespace {

using namespace waxwinglb::programs::experiment;

void print(const char* title, const std::vector<std::vector<outcome>>& by_seed) {
    std::printf("%s, %zu seeds: mean (least ... most)\n", title, by_seed.size());
    for (std::size_t policy = 0; policy < by_seed.front().size(); ++policy) {
        std::printf("%-22s", by_seed.front()[policy].policy.c_str());
        for (std::size_t measure = 0; measure < by_seed.front()[policy].measures.size(); ++measure) {
            double sum = 0;
            double least = by_seed.front()[policy].measures[measure].second;
            double most = least;
            for (const auto& one : by_seed) {
                const double value = one[policy].measures[measure].second;
                sum += value;
                least = std::min(least, value);
                most = std::max(most, value);
            }
            std::printf("  %s %.4g (%.4g ... %.4g)", by_seed.front()[policy].measures[measure].first.c_str(),
                        sum / static_cast<double>(by_seed.size()), least, most);
        }
        std::printf("\n");
    }
}

constexpr int exit_usage = 2;

int usage(const char* message, int code) {
    std::fprintf(code == 0 ? stdout : stderr,
                 "%swaxwing-experiment [--seeds N] [--first SEED]: measures the policy alone\n", message);
    return code;
}

} // namespace

int main(int argc, char** argv) {
    const option options[] = {{"seeds", required_argument, nullptr, 's'},
                              {"first", required_argument, nullptr, 'f'},
                              {"version", no_argument, nullptr, 'v'},
                              {"help", no_argument, nullptr, 'h'},
                              {nullptr, 0, nullptr, 0}};
    long seeds = 5;
    unsigned long first = 1;
    for (int chosen = 0; (chosen = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
        if (chosen == 's')
            seeds = std::strtol(optarg, nullptr, 10);
        else if (chosen == 'f')
            first = std::strtoul(optarg, nullptr, 10);
        else if (chosen == 'v')
            return std::puts("waxwing-experiment " WAXWING_VERSION) < 0 ? 1 : 0;
        else
            return usage("", chosen == 'h' ? 0 : exit_usage);
    }
    if (seeds < 1 || optind != argc)
        return usage("--seeds: expected a positive number\n", exit_usage);
    constexpr double high_per_s = 5;
    constexpr double low_per_s = 0.2;
    std::vector<std::vector<outcome>> high_rate;
    std::vector<std::vector<outcome>> low_rate;
    std::vector<std::vector<outcome>> rates;
    for (unsigned long seed = first; seed < first + static_cast<unsigned long>(seeds); ++seed) {
        high_rate.push_back(run_idle(seed, high_per_s));
        low_rate.push_back(run_idle(seed, low_per_s));
        rates.push_back(run_rates(seed));
    }
    for (const double arrivals_per_s : {6.0, 9.0, 12.0, 16.0, 24.0}) {
        std::vector<std::vector<outcome>> reading;
        for (unsigned long seed = first; seed < first + static_cast<unsigned long>(seeds); ++seed)
            reading.push_back(run_reading(seed, arrivals_per_s));
        const auto title = std::to_string(static_cast<int>(arrivals_per_s)) + " prompts/s for one engine";
        print(title.c_str(), reading);
    }
    print("idle replicas over a day, 5 requests/s", high_rate);
    print("idle replicas over a day, 0.2 requests/s", low_rate);
    print("a customer at 80 % of its rate, 70 % of it at one of four routers", rates);
    return 0;
}
