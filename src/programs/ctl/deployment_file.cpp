#include "programs/ctl/deployment_file.hpp"

#include "programs/ctl/yaml_json.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>

namespace waxwinglb::programs::ctl {
namespace {

using nlohmann::json;

/// Lists of `configuration` and the kinds of their entries; each list follows those that it refers to.
constexpr std::array<std::pair<const char*, const char*>, 5> configuration_lists{
    {{"data_centres", "data-centre"},
     {"services", "service"},
     {"models", "model"},
     {"customers", "customer"},
     {"presets", "preset"}}};

std::string text_of(const json& from, const char* name) {
    const auto found = from.find(name);
    return found != from.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

void add_changes(const json& configuration, deployment_file& out) {
    std::set<std::string> keys;
    for (const auto& [list, kind] : configuration_lists) {
        const json entries = configuration.value(list, json::array());
        const std::string path = std::string("configuration.") + list;
        if (!entries.is_array()) {
            out.faults.push_back(path + ": expected a list");
            continue;
        }
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const std::string where = path + "[" + std::to_string(i) + "]";
            std::string name = entries[i].is_object() ? text_of(entries[i], "name") : std::string{};
            if (name.empty()) {
                out.faults.push_back(where + ": expected a mapping with a name");
                continue;
            }
            if (std::string(kind) == "model")
                name.insert(0, text_of(entries[i], "service") + "/");
            const std::string key = std::string(kind).append("/").append(name);
            if (!keys.insert(key).second)
                out.faults.push_back(
                    std::string(where).append(": ").append(name).append(" appears more than once"));
            out.changes.push_back({{"key", key}, {"value", entries[i]}});
        }
    }
    if (const auto preset = configuration.find("preset_in_force"); preset != configuration.end()) {
        if (!preset->is_string())
            out.faults.emplace_back("configuration.preset_in_force: expected a preset's name");
        out.changes.push_back({{"key", "preset-in-force"}, {"value", {{"name", *preset}}}});
    }
    for (const auto& [name, value] : configuration.items()) {
        const bool known = std::any_of(configuration_lists.begin(), configuration_lists.end(),
                                       [sought = name](const auto& list) { return list.first == sought; });
        if (!known && name != "preset_in_force")
            out.faults.push_back("configuration." + name + ": unknown setting");
    }
}

} // namespace

deployment_file read_deployment(const std::string& path) {
    deployment_file out;
    out.changes = json::array();
    std::ifstream in{path};
    if (!in) {
        out.faults.push_back(path + ": can't be read");
        return out;
    }
    std::ostringstream text;
    text << in.rdbuf();
    yaml_result parsed = read_yaml(text.str());
    if (!parsed.fault.empty() || !parsed.value.is_object()) {
        out.faults.push_back(path + ": " + (parsed.fault.empty() ? "expected a mapping" : parsed.fault));
        return out;
    }
    out.document = std::move(parsed.value);
    for (const auto& [name, value] : out.document.items())
        if (name != "deployment" && name != "layout" && name != "configuration")
            out.faults.push_back(name + ": unknown setting");
    const json configuration = out.document.value("configuration", json::object());
    if (configuration.is_object())
        add_changes(configuration, out);
    else
        out.faults.emplace_back("configuration: expected a mapping");
    for (std::string& fault : out.faults)
        fault.insert(0, path + ": ");
    return out;
}

} // namespace waxwinglb::programs::ctl
