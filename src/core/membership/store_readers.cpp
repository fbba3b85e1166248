#include "core/membership/store_readers.hpp"

#include "core/common/hash.hpp"

#include <algorithm>

namespace waxwinglb::core::membership {
namespace {

constexpr std::ptrdiff_t substitute_count = 3;              // two may be lost or cut off at once
constexpr const char* substitutes_subject = "store-reader"; // ranks gateways for this duty

} // namespace

bool is_substitute_reader(const std::string& self, std::span<const std::string> others) {
    const auto own_rank = common::rendezvous_rank(self, substitutes_subject);
    const auto higher_ranked = std::count_if(others.begin(), others.end(), [&](const std::string& other) {
        return other != self && common::rendezvous_rank(other, substitutes_subject) > own_rank;
    });
    return higher_ranked < substitute_count;
}

bool reads_closely(const reader_view& view) {
    if (view.gives_orders)
        return true;
    if (view.hears_order_giver)
        return false;
    return view.is_substitute || !view.hears_other_reader;
}

} // namespace waxwinglb::core::membership
