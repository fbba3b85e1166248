#include "programs/ctl/yaml_json.hpp"

#include <yaml-cpp/yaml.h>

#include <set>

namespace waxwinglb::programs::ctl {
namespace {

using nlohmann::json;

json scalar_to_json(const YAML::Node& node) {
    const std::string& text = node.Scalar();
    if (node.Tag() == "!") // quoted
        return text;
    if (text == "true" || text == "false")
        return text == "true";
    if (text == "null" || text == "~" || text.empty())
        return nullptr;
    const json number = json::parse(text, nullptr, false);
    return number.is_number() ? number : json(text);
}

json to_json(const YAML::Node& node) {
    if (node.IsScalar())
        return scalar_to_json(node);
    if (node.IsSequence()) {
        json out = json::array();
        for (const auto& item : node)
            out.push_back(to_json(item));
        return out;
    }
    if (!node.IsMap())
        return nullptr;
    json out = json::object();
    for (const auto& entry : node) {
        const std::string name = entry.first.Scalar();
        if (out.contains(name))
            throw YAML::ParserException(entry.first.Mark(), name + " appears more than once");
        out[name] = to_json(entry.second);
    }
    return out;
}

YAML::Node to_yaml(const json& value) {
    YAML::Node out;
    if (value.is_object()) {
        for (const auto& [name, member] : value.items())
            out[name] = to_yaml(member);
        return out.IsMap() ? out : YAML::Node{YAML::NodeType::Map};
    }
    if (value.is_array()) {
        out = YAML::Node{YAML::NodeType::Sequence};
        for (const json& item : value)
            out.push_back(to_yaml(item));
        return out;
    }
    out = YAML::Node{value.is_string() ? value.get<std::string>() : value.dump()};
    if (value.is_string() && !json::parse(value.get<std::string>(), nullptr, false).is_discarded())
        out.SetTag("!"); // quoted, as the plain text would not be read back as a string
    return out;
}

} // namespace

yaml_result read_yaml(const std::string& text) {
    try {
        return {to_json(YAML::Load(text)), {}};
    } catch (const YAML::Exception& e) {
        return {nullptr, "line " + std::to_string(e.mark.line + 1) + ": " + e.msg};
    }
}

std::string write_yaml(const json& value) {
    YAML::Emitter out;
    out << to_yaml(value);
    return std::string(out.c_str()) + "\n";
}

} // namespace waxwinglb::programs::ctl
