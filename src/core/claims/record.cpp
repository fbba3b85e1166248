#include "core/claims/record.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <array>

namespace waxwinglb::core::claims {
namespace {

using nlohmann::json;

constexpr std::size_t record_overhead = 220; // bytes of member names and punctuation
constexpr std::array state_names{"running", "done", "not_run", "unknown"};

std::string to_base64(const std::string& bytes) {
    std::string out(sodium_base64_ENCODED_LEN(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                      bytes.size(), sodium_base64_VARIANT_ORIGINAL);
    out.pop_back(); // the terminator
    return out;
}

std::optional<std::string> from_base64(const std::string& text) {
    std::string out(text.size(), '\0');
    std::size_t length = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char*>(out.data()), out.size(), text.data(), text.size(),
                          nullptr, &length, nullptr, sodium_base64_VARIANT_ORIGINAL) != 0)
        return std::nullopt;
    out.resize(length);
    return out;
}

/// Keys and answers are encoded as base64, since JSON strings can't hold arbitrary bytes.
json to_json(const claim& record) {
    return {{"key", to_base64(record.key)},
            {"fingerprint", record.fingerprint},
            {"request", record.request_id},
            {"attempt", record.attempt},
            {"target", record.target},
            {"address", record.address},
            {"state", name_of(record.state)},
            {"status", record.status},
            {"content_type", record.content_type},
            {"answer", to_base64(record.answer)},
            {"expires_ms", record.expires_unix_ms},
            {"kept_until_ms", record.kept_until_unix_ms}};
}

claim from_json(const json& value) {
    claim out;
    const auto key = from_base64(value.at("key").get<std::string>());
    const auto answer = from_base64(value.at("answer").get<std::string>());
    const auto state = state_of(value.at("state").get<std::string>());
    if (!key || !answer || !state)
        throw json::other_error::create(501, "not a claim", &value);
    out.key = *key;
    out.fingerprint = value.at("fingerprint").get<std::string>();
    out.request_id = value.at("request").get<std::string>();
    out.attempt = value.at("attempt").get<int>();
    out.target = value.at("target").get<std::string>();
    out.address = value.at("address").get<std::string>();
    out.state = *state;
    out.status = value.at("status").get<int>();
    out.content_type = value.at("content_type").get<std::string>();
    out.answer = *answer;
    out.expires_unix_ms = value.at("expires_ms").get<std::int64_t>();
    out.kept_until_unix_ms = value.at("kept_until_ms").get<std::int64_t>();
    return out;
}

json records_to_json(const std::map<std::string, claim>& records) {
    json out = json::array();
    for (const auto& [key, record] : records)
        out.push_back(to_json(record));
    return out;
}

std::map<std::string, claim> records_from_json(const json& list) {
    std::map<std::string, claim> out;
    for (const json& value : list) {
        claim record = from_json(value);
        std::string key = record.key;
        out[std::move(key)] = std::move(record);
    }
    return out;
}

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

const char* name_of(claim_state state) {
    return state_names.at(static_cast<std::size_t>(state));
}

std::optional<claim_state> state_of(std::string_view name) {
    for (std::size_t i = 0; i < state_names.size(); ++i)
        if (name == state_names.at(i))
            return static_cast<claim_state>(i);
    return std::nullopt;
}

std::string encode(const log_head& head) {
    return dump({{"next_segment", head.next_segment},
                 {"segments", head.segments},
                 {"records", records_to_json(head.records)}});
}

std::optional<log_head> decode_log_head(std::string_view text) {
    const json parsed = json::parse(text, nullptr, false);
    try {
        log_head out;
        out.next_segment = parsed.at("next_segment").get<std::int64_t>();
        out.segments = parsed.at("segments").get<std::vector<std::int64_t>>();
        out.records = records_from_json(parsed.at("records"));
        return out;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_segment(const std::map<std::string, claim>& records) {
    return dump({{"records", records_to_json(records)}});
}

std::optional<std::map<std::string, claim>> decode_segment(std::string_view text) {
    const json parsed = json::parse(text, nullptr, false);
    try {
        return records_from_json(parsed.at("records"));
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::size_t size_of(const claim& record) {
    return record_overhead + record.key.size() * 4 / 3 + record.fingerprint.size() +
           record.request_id.size() + record.target.size() + record.address.size() +
           record.content_type.size() + record.answer.size() * 4 / 3;
}

std::string head_key(int shard) {
    return "claims/" + std::to_string(shard) + "/head";
}
std::string segment_key(int shard, std::int64_t segment) {
    return "claims/" + std::to_string(shard) + "/" + std::to_string(segment);
}

} // namespace waxwinglb::core::claims
