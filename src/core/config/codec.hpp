/// JSON form of configuration entries, as stored in the platform's service and sent on the feed.
///
/// An entry's key is "<kind>/<name>": service/NAME, model/SERVICE/NAME, customer/NAME, key/ID, preset/NAME,
/// data-centre/NAME, acceptor/NAME; "preset-in-force" has no name. An empty value deletes the entry.
#pragma once

#include "core/config/model.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace waxwinglb::core::config {

/// One fault of a value: `pointer` is a JSON pointer into it, `expected` says what would be accepted.
struct fault {
    std::string pointer;
    std::string expected;
};

/// Checks the value that `key` would take; returns every fault, none if it is acceptable by itself.
[[nodiscard]] std::vector<fault> check_entry(std::string_view key, std::string_view value);

/// Applies one entry whose revision must follow `state.revision`; false (state unchanged) if it is malformed.
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
