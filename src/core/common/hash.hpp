/// XXH3 hashes; their values are the same in every process and version.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace waxwinglb::core::common {

/// `seed`: hash of a preceding text, to combine several texts; 0 for a single text.
[[nodiscard]] inline std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Rank of `candidate` for `key` in rendezvous hashing: each key orders the candidates differently.
[[nodiscard]] inline std::uint64_t rendezvous_rank(std::string_view candidate, std::string_view key) {
    return hash_of(candidate, hash_of(key));
}

} // namespace waxwinglb::core::common
