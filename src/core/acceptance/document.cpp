#include "core/acceptance/document.hpp"

#include <nlohmann/json.hpp>

#include <cstdio>

namespace waxwinglb::core::acceptance {
namespace {

using nlohmann::json;

constexpr std::size_t entry_overhead = 200; // bytes of member names and punctuation in one encoded entry

json to_json(const accepted_entry& entry) {
    json out{{"revision", entry.change.revision}, {"key", entry.change.key}, {"value", entry.change.value},
             {"by", entry.from.operator_name},    {"team", entry.from.team}, {"at_ms", entry.from.unix_ms}};
    if (!entry.from.creation.empty())
        out["creation"] = entry.from.creation;
    return out;
}

accepted_entry entry_from(const json& from) {
    accepted_entry out;
    out.change.revision = from.at("revision").get<std::int64_t>();
    out.change.key = from.at("key").get<std::string>();
    out.change.value = from.at("value").get<std::string>();
    out.from.operator_name = from.value("by", std::string{});
    out.from.team = from.value("team", std::string{});
    out.from.unix_ms = from.value("at_ms", std::int64_t{0});
    out.from.creation = from.value("creation", std::string{});
    return out;
}

std::vector<accepted_entry> entries_from(const json& list) {
    std::vector<accepted_entry> out;
    for (const json& entry : list)
        out.push_back(entry_from(entry));
    return out;
}

json to_json(const snapshot_location& location) {
    return {{"base", location.base}, {"parts", location.parts}};
}

std::size_t size_of(const accepted_entry& entry) {
    return entry.change.key.size() + entry.change.value.size() + entry_overhead;
}

bool contiguous(const head_document& head) {
    std::int64_t expected = head.snapshot.base;
    for (const accepted_entry& entry : head.entries)
        if (entry.change.revision != ++expected)
            return false;
    return expected == head.revision;
}

json to_json(const audit_record& record, bool with_before) {
    json out = to_json(record.entry);
    if (with_before)
        out["before"] = record.before;
    return out;
}

std::string encode_records(const std::vector<audit_record>& records, bool with_before) {
    json out = json::array();
    for (const audit_record& record : records)
        out.push_back(to_json(record, with_before));
    return out.dump();
}

} // namespace

std::string encode(const head_document& document) {
    json entries = json::array();
    for (const accepted_entry& entry : document.entries)
        entries.push_back(to_json(entry));
    return json{{"revision", document.revision},    {"base", document.snapshot.base},
                {"parts", document.snapshot.parts}, {"previous", to_json(document.previous)},
                {"batches", document.batches},      {"entries", std::move(entries)}}
        .dump();
}

std::optional<head_document> decode_head(std::string_view text) {
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    try {
        head_document out;
        out.revision = parsed.at("revision").get<std::int64_t>();
        out.snapshot = {parsed.value("base", std::int64_t{0}), parsed.value("parts", 0)};
        if (const auto previous = parsed.find("previous"); previous != parsed.end())
            out.previous = {previous->value("base", std::int64_t{0}), previous->value("parts", 0)};
        out.batches = parsed.value("batches", std::map<std::string, std::int64_t>{});
        out.entries = entries_from(parsed.at("entries"));
        return contiguous(out) ? std::optional{std::move(out)} : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::vector<std::string> encode_parts(const std::vector<accepted_entry>& entries) {
    std::vector<json> parts{json::array()};
    std::size_t size = 0;
    for (const accepted_entry& entry : entries) {
        if (size > 0 && size + size_of(entry) > max_part_bytes) {
            parts.push_back(json::array());
            size = 0;
        }
        parts.back().push_back(to_json(entry));
        size += size_of(entry);
    }
    std::vector<std::string> out;
    for (json& part : parts)
        out.push_back(json{{"entries", std::move(part)}}.dump());
    return out;
}

std::optional<std::vector<accepted_entry>> decode_part(std::string_view text) {
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    try {
        return entries_from(parsed.at("entries"));
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_audit(const std::vector<audit_record>& records) {
    std::string out = encode_records(records, true);
    return out.size() <= max_object_bytes ? out : encode_records(records, false);
}

std::string head_key() {
    return "config/head";
}

std::string part_key(std::int64_t base, int part) {
    return "config/snapshot/" + std::to_string(base) + "/" + std::to_string(part);
}

std::string audit_key(std::int64_t first, std::int64_t last) {
    constexpr int width = 12; // digits; zero padding makes keys sort by revision
    std::string digits(64, '\0');
    const int length = std::snprintf(digits.data(), digits.size(), "audit/%0*lld-%0*lld", width,
                                     static_cast<long long>(first), width, static_cast<long long>(last));
    digits.resize(static_cast<std::size_t>(length));
    return digits;
}

bool needs_compaction(const head_document& document) {
    std::size_t size = 0;
    for (const accepted_entry& entry : document.entries)
        size += size_of(entry);
    return document.entries.size() >= max_tail_entries || size >= max_tail_bytes;
}

} // namespace waxwinglb::core::acceptance
