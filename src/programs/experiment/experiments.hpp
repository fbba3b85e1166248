/// Experiments with the core's policies alone, with an explicit clock and seeded random arrivals.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace waxwinglb::programs::experiment {

/// Result of one policy with one seed.
struct outcome {
    std::string policy;
    std::vector<std::pair<std::string, double>> measures; // name and value, in a fixed order
};

/// Idle replicas over a day: keep-alive times from each model's own request gaps, compared with fixed ones.
/// Request rates of the models follow a Zipf distribution; each model becomes active and idle independently,
/// and all models together get `requests_per_s` while all are active. A load takes 20 s; memory and slots are
/// unlimited.
[[nodiscard]] std::vector<outcome> run_idle(std::uint64_t seed, double requests_per_s);

/// A customer within its rate with skewed demand at four routers: grants drawn from a holder, compared with
/// an equal static split. A refusal is wrongful if a single exact bucket for all routers would have admitted
/// the request.
[[nodiscard]] std::vector<outcome> run_rates(std::uint64_t seed);

/// Five gateways that send prompts to the one engine that holds a model: at once, with a limit on unread
/// prompts, and in turns granted by one of the gateways. The measures are shares of all requests.
[[nodiscard]] std::vector<outcome> run_reading(std::uint64_t seed, double arrivals_per_s);

} // namespace waxwinglb::programs::experiment
