/// Places in the history of a store of versioned objects.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace waxwinglb::core::common {

/// A place in a store's history: the store's own newest change, or the last change of one of its objects.
///
/// A store that is restored from an older copy gives revisions out again, so two revisions alone don't show
/// which change came first. Its era rises by one with each restore. Places are ordered by era, then revision.
struct store_position {
    std::int64_t era = 0;      // 0: the store states none
    std::int64_t revision = 0; // within the era; 0: no such object, or nothing was read yet

    bool operator==(const store_position&) const = default;
};

[[nodiscard]] inline bool operator<(const store_position& a, const store_position& b) {
    return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
}
[[nodiscard]] inline bool operator>(const store_position& a, const store_position& b) {
    return b < a;
}
[[nodiscard]] inline bool operator<=(const store_position& a, const store_position& b) {
    return !(b < a);
}
[[nodiscard]] inline bool operator>=(const store_position& a, const store_position& b) {
    return !(a < b);
}

/// "REVISION" in era 0, "ERA.REVISION" in others.
[[nodiscard]] inline std::string to_text(const store_position& position) {
    const std::string revision = std::to_string(position.revision);
    return position.era == 0 ? revision : std::to_string(position.era) + "." + revision;
}

/// The inverse of to_text; nullopt if malformed or negative.
[[nodiscard]] inline std::optional<store_position> parse_store_position(std::string_view text) {
    const auto integer = [](std::string_view digits) -> std::optional<std::int64_t> {
        std::int64_t out = 0;
        const char* end = digits.data() + digits.size();
        const auto [stopped, failure] = std::from_chars(digits.data(), end, out);
        return failure == std::errc{} && stopped == end && out >= 0 ? std::optional{out} : std::nullopt;
    };
    const auto dot = text.find('.');
    const auto era =
        dot == std::string_view::npos ? std::optional<std::int64_t>{0} : integer(text.substr(0, dot));
    const auto revision = integer(dot == std::string_view::npos ? text : text.substr(dot + 1));
    if (!era || !revision)
        return std::nullopt;
    return store_position{*era, *revision};
}

} // namespace waxwinglb::core::common
