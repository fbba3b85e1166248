/// Experiments that drive the policy of the core alone, with an explicit clock and seeded arrivals.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace waxwinglb::programs::experiment {

/// One policy under one seed.
struct outcome {
    std::string policy;
    std::vector<std::pair<std::string, double>> measures; // name and value, in a fixed order
};

/// Idle replicas over a day: the model's own gaps against fixed keep-alives. Models by Zipf, each waking and
/// falling idle by itself, `requests_per_s` together if all are awake; loads of 20 s; memory and slots are
/// not scarce.
[[nodiscard]] std::vector<outcome> run_idle(std::uint64_t seed, double requests_per_s);

/// A customer within its rate at four routers with skewed demand: drawn grants against an equal static split.
/// A refusal is wrongful if one exact bucket over all routers would have admitted the request.
[[nodiscard]] std::vector<outcome> run_rates(std::uint64_t seed);

/// Five gateways that send prompts to the one engine that holds a model: sent at once, with few prompts
/// unread, and in turns that one of them gives. Shares of all requests.
[[nodiscard]] std::vector<outcome> run_reading(std::uint64_t seed, double arrivals_per_s);

} // namespace waxwinglb::programs::experiment
