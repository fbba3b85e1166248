#include "core/feed/head.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::core::feed {
namespace {

using nlohmann::json;

std::vector<config::change> read_entries(const json& list) {
    std::vector<config::change> out;
    for (const json& entry : list)
        out.push_back({entry.at("revision").get<std::int64_t>(), entry.at("key").get<std::string>(),
                       entry.at("value").get<std::string>()});
    return out;
}

/// True if the entries are base + 1, base + 2, ... revision.
bool contiguous(const config_head& head) {
    std::int64_t expected = head.base;
    for (const config::change& entry : head.entries)
        if (entry.revision != ++expected)
            return false;
    return expected == head.revision;
}

} // namespace

std::optional<config_head> decode_head(std::string_view text) {
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    try {
        config_head out;
        out.revision = parsed.at("revision").get<std::int64_t>();
        out.base = parsed.value("base", std::int64_t{0});
        out.parts = parsed.value("parts", 0);
        out.entries = read_entries(parsed.at("entries"));
        return contiguous(out) ? std::optional{std::move(out)} : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<std::vector<config::change>> decode_part(std::string_view text) {
    const json parsed = json::parse(text, nullptr, false);
    try {
        if (parsed.is_object())
            return read_entries(parsed.at("entries"));
        if (parsed.is_array())
            return read_entries(parsed);
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

std::string head_key() {
    return "config/head";
}
std::string part_key(std::int64_t base, int part) {
    return "config/snapshot/" + std::to_string(base) + "/" + std::to_string(part);
}

} // namespace waxwinglb::core::feed
