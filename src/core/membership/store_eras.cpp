#include "core/membership/store_eras.hpp"

namespace waxwinglb::core::membership {

store_eras::verdict store_eras::observe(std::int64_t era) {
    if (!newest_) {
        newest_ = era;
        return verdict::first;
    }
    if (era < *newest_)
        return verdict::outdated;
    if (era == *newest_)
        return verdict::current;
    newest_ = era;
    return verdict::risen;
}

} // namespace waxwinglb::core::membership
