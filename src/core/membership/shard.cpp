#include "core/membership/shard.hpp"

#include "core/common/hash.hpp"

namespace waxwinglb::core::membership {
namespace {

std::string join(std::string_view kind, std::initializer_list<std::string_view> parts) {
    std::string out{kind};
    for (const std::string_view part : parts) {
        out += '/';
        out += part;
    }
    return out;
}

} // namespace

int shard_of(std::string_view name, int shard_count) {
    return static_cast<int>(common::hash_of(name) % static_cast<unsigned>(shard_count));
}

std::string bucket_name(std::string_view customer) {
    return join("bucket", {customer});
}
std::string replica_set_name(std::string_view service, std::string_view model) {
    return join("replicas", {service, model});
}
std::string claim_name(std::string_view service, std::string_view customer, std::string_view key) {
    return join("claim", {service, customer, key});
}
std::string weight_slots_name() {
    return "weight-slots";
}

} // namespace waxwinglb::core::membership
