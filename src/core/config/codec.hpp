/// JSON form of configuration entries, as kept in the platform's store and sent on the feed.
///
/// An entry's key is "<kind>/<name>": service/NAME, model/SERVICE/NAME, customer/NAME, key/ID, preset/NAME,
/// data-centre/NAME, acceptor/NAME; "preset-in-force" has no name. An empty value deletes the entry.
#pragma once

#include "core/config/model.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace waxwinglb::core::config {

/// A validation error: `pointer` is a JSON pointer into the value, `expected` describes an acceptable value.
struct fault {
    std::string pointer;
    std::string expected;
};

/// Checks `value` for `key` without regard to other entries. Returns all faults; empty if it is acceptable.
[[nodiscard]] std::vector<fault> check_entry(std::string_view key, std::string_view value);

/// Applies one entry; returns false and leaves `state` unchanged if it is malformed. Does not change
/// `state.revision`, which the entry's revision must follow.
bool apply_entry(snapshot& state, std::string_view key, std::string_view value);

/// The JSON value of each kind; `apply_entry(state, key, encode(x))` restores x.
[[nodiscard]] std::string encode(const service& value);
[[nodiscard]] std::string encode(const model& value);
[[nodiscard]] std::string encode(const customer& value);
[[nodiscard]] std::string encode(const access_key& value);
[[nodiscard]] std::string encode(const preset& value);
[[nodiscard]] std::string encode(const data_centre& value);

/// All entries of a snapshot as (key, value), sorted by key.
[[nodiscard]] std::vector<std::pair<std::string, std::string>> entries(const snapshot& state);

} // namespace waxwinglb::core::config
