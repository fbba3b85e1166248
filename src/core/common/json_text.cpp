#include "core/common/json_text.hpp"

namespace waxwinglb::core::common {
namespace {

using nlohmann::json;

constexpr std::string_view blanks = " \t\r\n";

std::string_view trimmed(std::string_view text) {
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

/// The position behind the string that begins at `at`; nullopt if it doesn't end.
std::optional<std::size_t> end_of_string(std::string_view text, std::size_t at) {
    for (++at; at < text.size() && text[at] != '"'; ++at)
        if (text[at] == '\\')
            ++at;
    return at < text.size() ? std::optional{at + 1} : std::nullopt;
}

/// Splits at each `separator` that stands in no string and no bracket; nullopt if a bracket or a string is
/// left open.
std::optional<std::vector<std::string_view>> split(std::string_view text, char separator) {
    std::vector<std::string_view> out;
    std::size_t begin = 0;
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text.size();) {
        const char each = text[at];
        if (each == '"') {
            const auto end = end_of_string(text, at);
            if (!end)
                return std::nullopt;
            at = *end;
            continue;
        }
        if (each == '[' || each == '{')
            ++depth;
        if ((each == ']' || each == '}') && depth-- == 0)
            return std::nullopt;
        if (each == separator && depth == 0) {
            out.push_back(trimmed(text.substr(begin, at - begin)));
            begin = at + 1;
        }
        ++at;
    }
    if (depth != 0)
        return std::nullopt;
    out.push_back(trimmed(text.substr(begin)));
    return out;
}

/// The parts between an opening and a closing bracket, separated by commas.
std::optional<std::vector<std::string_view>> parts(std::string_view text, char open, char close) {
    text = trimmed(text);
    if (text.size() < 2 || text.front() != open || text.back() != close)
        return std::nullopt;
    text = trimmed(text.substr(1, text.size() - 2));
    if (text.empty())
        return std::vector<std::string_view>{};
    return split(text, ',');
}

std::optional<json_member> cut_member(std::string_view text) {
    if (text.empty() || text.front() != '"')
        return std::nullopt;
    const auto end = end_of_string(text, 0);
    if (!end)
        return std::nullopt;
    const auto colon = text.find_first_not_of(blanks, *end);
    if (colon == std::string_view::npos || text[colon] != ':')
        return std::nullopt;
    const json name = json::parse(text.substr(0, *end), nullptr, false);
    // A member whose name can't be read is none that a caller asks for.
    return json_member{name.is_string() ? name.get<std::string>() : std::string{},
                       trimmed(text.substr(colon + 1))};
}

} // namespace

bool is_nested_too_deeply(std::string_view text) {
    int depth = 0;
    for (std::size_t at = 0; at < text.size();) {
        if (text[at] == '"') {
            at = end_of_string(text, at).value_or(text.size());
            continue;
        }
        if ((text[at] == '[' || text[at] == '{') && ++depth > max_json_depth)
            return true;
        if (text[at] == ']' || text[at] == '}')
            --depth;
        ++at;
    }
    return false;
}

json parse_json(std::string_view text) {
    if (is_nested_too_deeply(text))
        return json(json::value_t::discarded);
    return json::parse(text, nullptr, false);
}

std::optional<std::vector<json_member>> cut_object(std::string_view text) {
    const auto members = parts(text, '{', '}');
    if (!members)
        return std::nullopt;
    std::vector<json_member> out;
    for (const std::string_view each : *members) {
        auto member = cut_member(each);
        if (!member)
            return std::nullopt;
        out.push_back(std::move(*member));
    }
    return out;
}

std::optional<std::vector<std::string_view>> cut_array(std::string_view text) {
    return parts(text, '[', ']');
}

} // namespace waxwinglb::core::common
