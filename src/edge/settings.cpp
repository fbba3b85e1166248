#include "edge/settings.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace waxwinglb::edge {
namespace {

using core::common::milliseconds;

constexpr std::string_view document_start = "---";
constexpr std::string_view document_end = "...";

/// Parses a number followed by one of the units; nullopt if the text has another form.
std::optional<std::int64_t>
parse_with_unit(std::string_view text, const std::vector<std::pair<std::string_view, std::int64_t>>& units) {
    double value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || value < 0)
        return std::nullopt;
    const std::string_view unit{end, static_cast<std::size_t>(text.data() + text.size() - end)};
    for (const auto& [name, factor] : units)
        if (unit == name)
            return static_cast<std::int64_t>(value * static_cast<double>(factor));
    return std::nullopt;
}

bool is_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    int port = -1;
    const auto* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data() + colon + 1, end, port);
    return failure == std::errc{} && stop == end && port >= 0 && port <= 65'535;
}

std::string read_text(const std::string& path) {
    std::ifstream file{path};
    if (!file)
        throw YAML::BadFile{path};
    std::ostringstream text;
    text << file.rdbuf();
    if (file.bad())
        throw YAML::BadFile{path};
    return text.str();
}

/// Whether a file that marks the start of its document ends before the end of that. What is left of such a
/// file can be valid by itself.
bool breaks_off(const std::string& text) {
    std::istringstream lines{text};
    bool begun = false;
    std::string last;
    for (std::string line; std::getline(lines, line);) {
        line.erase(line.find_last_not_of(" \t\r") + 1);
        begun = begun || line == document_start;
        if (!line.empty())
            last = std::move(line);
    }
    return begun && last != document_end;
}

} // namespace

struct settings_section::state {
    YAML::Node node;
    std::string path;
    std::vector<settings_fault>& faults;
    std::set<std::string> read_names;

    [[nodiscard]] std::string member_path(const std::string& name) const {
        return path.empty() ? name : path + "." + name;
    }
    void add_fault(const YAML::Node& at, const std::string& where, const std::string& expected) const {
        const int line = at.IsDefined() ? at.Mark().line + 1 : node.Mark().line + 1;
        faults.push_back({line, where, expected});
    }
    /// Returns the scalar `name`, or nullopt; adds a fault if it is required or not a scalar.
    std::optional<std::string> scalar(const std::string& name, bool required, const std::string& expected) {
        read_names.insert(name);
        const YAML::Node member = node.IsMap() ? node[name] : YAML::Node{};
        if (!member.IsDefined() || member.IsNull()) {
            if (required)
                add_fault(node, member_path(name), "is missing; expected " + expected);
            return std::nullopt;
        }
        if (!member.IsScalar()) {
            add_fault(member, member_path(name), "expected " + expected);
            return std::nullopt;
        }
        return member.Scalar();
    }
    void add_expected(const std::string& name, const std::string& expected) {
        add_fault(node[name], member_path(name), "expected " + expected);
    }
    template<class value_type>
    value_type parse_scalar(const std::string& name, bool required, const std::string& expected,
                            value_type fallback,
                            const std::function<std::optional<value_type>(const std::string&)>& parse) {
        const auto text = scalar(name, required, expected);
        if (!text)
            return fallback;
        const auto value = parse(*text);
        if (value)
            return *value;
        add_expected(name, expected);
        return fallback;
    }
    std::int64_t integer(const std::string& name, bool required, std::int64_t low, std::int64_t high,
                         std::int64_t fallback) {
        const std::string expected =
            "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
        return parse_scalar<std::int64_t>(
            name, required, expected, fallback, [&](const std::string& text) -> std::optional<std::int64_t> {
                std::int64_t value = 0;
                const auto* end = text.data() + text.size();
                const auto [stop, failure] = std::from_chars(text.data(), end, value);
                if (failure != std::errc{} || stop != end || value < low || value > high)
                    return std::nullopt;
                return value;
            });
    }
    std::string address(const std::string& name, bool required, const std::string& fallback) {
        return parse_scalar<std::string>(
            name, required, "an address \"ip:port\"", fallback,
            [](const std::string& text) { return is_address(text) ? std::optional{text} : std::nullopt; });
    }
    std::vector<std::string> string_list(const std::string& name, bool as_addresses) {
        read_names.insert(name);
        std::vector<std::string> out;
        const YAML::Node member = node.IsMap() ? node[name] : YAML::Node{};
        if (!member.IsDefined() || member.IsNull())
            return out;
        const std::string expected = as_addresses ? "a list of addresses \"ip:port\"" : "a list of strings";
        if (!member.IsSequence()) {
            add_fault(member, member_path(name), "expected " + expected);
            return out;
        }
        for (std::size_t i = 0; i < member.size(); ++i) {
            const std::string where = member_path(name) + "[" + std::to_string(i) + "]";
            if (!member[i].IsScalar() || (as_addresses && !is_address(member[i].Scalar())))
                add_fault(member[i], where, "expected " + expected);
            else if (std::find(out.begin(), out.end(), member[i].Scalar()) != out.end())
                add_fault(member[i], where, "is given twice; expected distinct values");
            else
                out.push_back(member[i].Scalar());
        }
        return out;
    }
    void finish() {
        if (!node.IsMap()) {
            add_fault(node, path, "expected a mapping");
            return;
        }
        std::set<std::string> seen;
        for (const auto& entry : node) {
            const std::string name = entry.first.Scalar();
            if (!read_names.contains(name))
                add_fault(entry.first, member_path(name), "is not a setting of this section");
            if (!seen.insert(name).second)
                add_fault(entry.first, member_path(name), "is given twice");
        }
    }
};

std::string settings_section::text(const std::string& name) {
    const auto value = state_->scalar(name, true, "a non-empty string");
    if (value && value->empty())
        state_->add_expected(name, "a non-empty string");
    return value.value_or("");
}
std::string settings_section::text(const std::string& name, const std::string& fallback) {
    return state_->scalar(name, false, "a string").value_or(fallback);
}
std::string settings_section::address(const std::string& name) {
    return state_->address(name, true, "");
}
std::string settings_section::address(const std::string& name, const std::string& fallback) {
    return state_->address(name, false, fallback);
}
std::int64_t settings_section::integer(const std::string& name, std::int64_t low, std::int64_t high) {
    return state_->integer(name, true, low, high, low);
}
std::int64_t settings_section::integer(const std::string& name, std::int64_t low, std::int64_t high,
                                       std::int64_t fallback) {
    return state_->integer(name, false, low, high, fallback);
}
double settings_section::number(const std::string& name, double low, double high, double fallback) {
    const std::string expected = "a number from " + std::to_string(low) + " to " + std::to_string(high);
    return state_->parse_scalar<double>(
        name, false, expected, fallback, [&](const std::string& text) -> std::optional<double> {
            double value = 0;
            const auto* end = text.data() + text.size();
            const auto [stop, failure] = std::from_chars(text.data(), end, value);
            if (failure != std::errc{} || stop != end || !(value >= low && value <= high))
                return std::nullopt;
            return value;
        });
}
bool settings_section::flag(const std::string& name, bool fallback) {
    return state_->parse_scalar<bool>(name, false, "true or false", fallback,
                                      [](const std::string& text) -> std::optional<bool> {
                                          if (text != "true" && text != "false")
                                              return std::nullopt;
                                          return text == "true";
                                      });
}
milliseconds settings_section::duration(const std::string& name, milliseconds fallback) {
    return state_->parse_scalar<milliseconds>(
        name, false, "a duration such as 250ms, 3s or 10m", fallback,
        [](const std::string& text) -> std::optional<milliseconds> {
            const auto count =
                parse_with_unit(text, {{"ms", 1}, {"s", 1000}, {"m", 60'000}, {"h", 3'600'000}});
            return count ? std::optional{milliseconds{*count}} : std::nullopt;
        });
}
std::int64_t settings_section::bytes(const std::string& name, std::int64_t fallback) {
    return state_->parse_scalar<std::int64_t>(
        name, false, "a size such as 64MB or 80GB", fallback, [](const std::string& text) {
            return parse_with_unit(text, {{"B", 1}, {"KB", 1'000}, {"MB", 1'000'000}, {"GB", 1'000'000'000}});
        });
}
std::vector<std::string> settings_section::addresses(const std::string& name) {
    return state_->string_list(name, true);
}
std::vector<std::string> settings_section::texts(const std::string& name) {
    return state_->string_list(name, false);
}

void settings_section::section(const std::string& name, bool required,
                               const std::function<void(settings_section&)>& read) {
    state_->read_names.insert(name);
    const YAML::Node member = state_->node.IsMap() ? state_->node[name] : YAML::Node{};
    if (!member.IsDefined() || member.IsNull()) {
        if (required)
            state_->add_fault(state_->node, state_->member_path(name), "is missing; expected a mapping");
        return;
    }
    settings_section inner;
    inner.state_ = std::make_shared<state>(state{member, state_->member_path(name), state_->faults, {}});
    read(inner);
    inner.state_->finish();
}

void settings_section::list(const std::string& name, const std::function<void(settings_section&)>& read) {
    state_->read_names.insert(name);
    const YAML::Node member = state_->node.IsMap() ? state_->node[name] : YAML::Node{};
    if (!member.IsDefined() || member.IsNull())
        return;
    if (!member.IsSequence()) {
        state_->add_fault(member, state_->member_path(name), "expected a list");
        return;
    }
    for (std::size_t i = 0; i < member.size(); ++i) {
        settings_section inner;
        const std::string where = state_->member_path(name) + "[" + std::to_string(i) + "]";
        inner.state_ = std::make_shared<state>(state{member[i], where, state_->faults, {}});
        read(inner);
        inner.state_->finish();
    }
}

void settings_section::fault(const std::string& name, const std::string& expected) {
    const YAML::Node member = state_->node.IsMap() ? state_->node[name] : YAML::Node{};
    state_->add_fault(member, state_->member_path(name), expected);
}

std::vector<settings_fault> settings_file::load(const std::string& path,
                                                const std::function<void(settings_section&)>& read) {
    std::vector<settings_fault> faults;
    try {
        const std::string text = read_text(path);
        if (breaks_off(text))
            faults.push_back({0, "", "is incomplete: expected the line \"...\" at its end"});
        settings_section top;
        top.state_ = std::make_shared<settings_section::state>(
            settings_section::state{YAML::Load(text), "", faults, {}});
        read(top);
        top.state_->finish();
    } catch (const YAML::ParserException& e) {
        faults.push_back({e.mark.line + 1, "", "expected YAML: " + e.msg});
    } catch (const YAML::Exception& e) {
        faults.push_back({0, "", std::string("can't be read: ") + e.what()});
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const settings_fault& a, const settings_fault& b) { return a.line < b.line; });
    return faults;
}

std::string describe(const std::string& file, const std::vector<settings_fault>& faults) {
    std::string out;
    for (const settings_fault& fault : faults)
        out += file + ":" + std::to_string(fault.line) + ": " + fault.path + ": " + fault.expected + "\n";
    return out;
}

} // namespace waxwinglb::edge
