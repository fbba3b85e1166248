/// Reading of JSON texts that other processes wrote: parsing with a bound on nesting, and cutting a text into
/// its parts without parsing them. Nothing here recurses over the text.
///
/// Copying, comparing and dumping a JSON value take stack for each level of nesting, so values from outside
/// the process are parsed with parse_json().
#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglb::core::common {

constexpr int max_json_depth = 64; // levels of arrays and objects

/// True if the text has more than max_json_depth levels. Exact for JSON; any answer for other texts.
[[nodiscard]] bool is_nested_too_deeply(std::string_view text);

/// Parses the text; a discarded value if it is no JSON or nested too deeply.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

struct json_member {
    std::string name;
    std::string_view value; // its text, within that of the object
};

/// Cuts an object's text into its members; nullopt if that can't be done. The members' texts need not be
/// JSON.
[[nodiscard]] std::optional<std::vector<json_member>> cut_object(std::string_view text);

/// Cuts an array's text into its elements; nullopt if that can't be done. The elements' texts need not be
/// JSON.
[[nodiscard]] std::optional<std::vector<std::string_view>> cut_array(std::string_view text);

} // namespace waxwinglb::core::common
