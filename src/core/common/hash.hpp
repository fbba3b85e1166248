/// Hashes that are the same in every process and version: XXH3.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace waxwinglb::core::common {

/// `seed`: another hash, to hash several texts together; 0 for the plain hash.
[[nodiscard]] inline std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Rank of `candidate` for `key`: each key orders the candidates in its own way (rendezvous hashing).
[[nodiscard]] inline std::uint64_t rendezvous_rank(std::string_view candidate, std::string_view key) {
    return hash_of(candidate, hash_of(key));
}

} // namespace waxwinglb::core::common
