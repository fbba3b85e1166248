/// Generates configurations of a given size for the benchmarks.
#pragma once

#include "core/config/codec.hpp"
#include "core/config/replica.hpp"
#include "core/keys/access.hpp"

#include <string>
#include <vector>

namespace waxwinglb::bench {

/// Planned size of the fleet (docs/CAPACITY.md).
constexpr int planned_models = 530;
constexpr int planned_adapters = 84'000;
constexpr int planned_customers = 5'000;

inline std::string numbered(const char* prefix, int i) {
    return prefix + std::to_string(i);
}

inline std::string key_text(int i) {
    return "wxk_k" + std::to_string(i) + "_0123456789abcdef0123456789abcdef";
}

inline core::config::model make_model(int i, int adapters) {
    core::config::model out;
    out.name = numbered("model-", i);
    out.service = "assistant";
    out.version = "2026-11-03";
    out.bytes = 16'000'000'000;
    for (int a = 0; a < adapters; ++a)
        out.adapters.push_back({numbered("adapter-", i) + numbered("-", a), 40'000'000});
    return out;
}

/// All entries of a fleet: one service, models with evenly spread adapters, and customers with one key each.
inline std::vector<core::config::change> make_changes(int models, int adapters, int customers) {
    namespace config = core::config;
    std::vector<config::change> out;
    const auto add = [&out](std::string key, std::string value) {
        out.push_back({static_cast<std::int64_t>(out.size()) + 1, std::move(key), std::move(value)});
    };
    config::service service;
    service.name = "assistant";
    add("service/assistant", config::encode(service));
    for (int i = 0; i < models; ++i) {
        const auto model = make_model(i, adapters / std::max(models, 1));
        add("model/assistant/" + model.name, config::encode(model));
    }
    for (int i = 0; i < customers; ++i) {
        const std::string name = numbered("customer-", i);
        add("customer/" + name, config::encode(config::customer{name, 1000, 2000, 1}));
        const config::access_key key{numbered("k", i), name, core::keys::digest_of(key_text(i))};
        add("key/" + key.id, config::encode(key));
    }
    return out;
}

} // namespace waxwinglb::bench
