#include "standins/platform/fault_table.hpp"

#include <array>

namespace waxwinglb::standins::platform {
namespace {

constexpr std::string_view objects_path = "/objects/";
constexpr std::array<std::pair<std::string_view, fault_kind>, 5> kinds{
    {{"down", fault_kind::down},
     {"slow", fault_kind::slow},
     {"lose_answer", fault_kind::lose_answer},
     {"weights_slow", fault_kind::weights_slow},
     {"reject", fault_kind::reject}}};

} // namespace

std::optional<fault_kind> fault_kind_of(std::string_view name) {
    for (const auto& [known, kind] : kinds)
        if (known == name)
            return kind;
    return std::nullopt;
}

const char* name_of(fault_kind kind) {
    for (const auto& [name, known] : kinds)
        if (known == kind)
            return name.data();
    return "unknown";
}

bool covers(const std::string& match, const std::string& path) {
    if (match.starts_with('/'))
        return path.starts_with(match);
    if (path == "/objects") // lists keys
        return match.empty();
    return path.starts_with(objects_path) && path.substr(objects_path.size()).starts_with(match);
}

std::optional<fault_rule> fault_table::take(fault_kind kind, const std::string& path) {
    for (fault_rule& rule : rules_) {
        const bool matches_any_path = kind == fault_kind::weights_slow && rule.match.empty();
        if (rule.kind != kind || rule.count == 0 || !(matches_any_path || covers(rule.match, path)))
            continue;
        if (rule.count > 0)
            --rule.count;
        return rule;
    }
    return std::nullopt;
}

} // namespace waxwinglb::standins::platform
