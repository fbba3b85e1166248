#include "core/routing/chat_request.hpp"

#include <nlohmann/json.hpp>

#include <charconv>
#include <optional>

namespace waxwinglb::core::routing {
namespace {

using nlohmann::json;

constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t max_messages = 4'096;
constexpr std::size_t max_model_length = 256;
constexpr int max_depth = 64; // nesting of a body; bounds the stack that parsing takes
constexpr std::int64_t max_timeout_ms = 24LL * 3600 * 1000;

const json* find_member(const json& object, const char* name) {
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

/// Appends a message's content: a string, or a list of parts of type "text".
bool append_content(const json& content, std::string& prompt) {
    if (content.is_string()) {
        prompt += content.get_ref<const std::string&>();
        return true;
    }
    if (!content.is_array())
        return false;
    for (const json& part : content) {
        if (!part.is_object())
            return false;
        const json* type = find_member(part, "type");
        const json* text = find_member(part, "text");
        if (type == nullptr || *type != "text" || text == nullptr || !text->is_string())
            return false;
        prompt += text->get_ref<const std::string&>();
    }
    return true;
}

std::optional<bad_request> read_messages(const json& body, std::string& prompt) {
    const json* messages = find_member(body, "messages");
    if (messages == nullptr || !messages->is_array() || messages->empty() || messages->size() > max_messages)
        return bad_request{"messages: expected a non-empty list"};
    for (const json& message : *messages) {
        const json* role = message.is_object() ? find_member(message, "role") : nullptr;
        if (role == nullptr || !role->is_string())
            return bad_request{"messages: expected objects with a role"};
        const json* content = find_member(message, "content");
        if (content == nullptr || !append_content(*content, prompt))
            return bad_request{"messages: expected content as a string or a list of text parts"};
        prompt += '\n';
    }
    return std::nullopt;
}

std::optional<bad_request> read_model(const json& body, chat_request& out) {
    const json* model = find_member(body, "model");
    if (model == nullptr || !model->is_string())
        return bad_request{"model: expected a string"};
    const auto& text = model->get_ref<const std::string&>();
    if (text.empty() || text.size() > max_model_length)
        return bad_request{"model: expected 1 to 256 bytes"};
    const auto colon = text.find(':');
    out.model = text.substr(0, colon);
    if (colon != std::string::npos)
        out.adapter = text.substr(colon + 1);
    if (out.model.empty() || (colon != std::string::npos && out.adapter.empty()))
        return bad_request{"model: expected MODEL, SERVICE/MODEL or MODEL:ADAPTER"};
    return std::nullopt;
}

std::optional<bad_request> read_integer(const json& body, const char* name, std::int64_t low,
                                        std::int64_t high, std::int64_t& out) {
    const json* value = find_member(body, name);
    if (value == nullptr)
        return std::nullopt;
    const bool is_integer =
        value->is_number_integer() &&
        (!value->is_number_unsigned() || value->get<std::uint64_t>() <= std::uint64_t(INT64_MAX));
    if (!is_integer || value->get<std::int64_t>() < low || value->get<std::int64_t>() > high)
        return bad_request{std::string(name) + ": expected a whole number from " + std::to_string(low) +
                           " to " + std::to_string(high)};
    out = value->get<std::int64_t>();
    return std::nullopt;
}

std::optional<bad_request> read_options(const json& body, chat_request& out) {
    out.max_tokens = default_max_tokens;
    for (const char* name : {"max_tokens", "max_completion_tokens"})
        if (auto bad = read_integer(body, name, 1, max_max_tokens, out.max_tokens))
            return bad;
    std::int64_t choices = 1;
    if (auto bad = read_integer(body, "n", 1, 1, choices))
        return bad;
    std::int64_t priority = 0;
    if (auto bad = read_integer(body, "priority", 0, max_priority, priority))
        return bad;
    out.priority = static_cast<int>(priority);
    const json* stream = find_member(body, "stream");
    if (stream != nullptr && !stream->is_boolean())
        return bad_request{"stream: expected true or false"};
    out.stream = stream != nullptr && stream->get<bool>();
    return std::nullopt;
}

/// Parses with a bound on nesting; nullopt if the text is no JSON or nested too deeply.
std::optional<json> parse_bounded(std::string_view text) {
    bool too_deep = false;
    const json::parser_callback_t bound = [&](int depth, json::parse_event_t event, json& value) {
        (void)event;
        (void)value;
        too_deep = too_deep || depth > max_depth;
        return !too_deep;
    };
    json parsed = json::parse(text, bound, false);
    if (too_deep || parsed.is_discarded())
        return std::nullopt;
    return parsed;
}

} // namespace

std::variant<chat_request, bad_request> read_chat_request(std::string_view body) {
    const auto parsed = parse_bounded(body);
    if (!parsed)
        return bad_request{"body: expected JSON"};
    if (!parsed->is_object())
        return bad_request{"body: expected a JSON object"};
    chat_request out;
    if (auto bad = read_model(*parsed, out))
        return *bad;
    if (auto bad = read_messages(*parsed, out.prompt))
        return *bad;
    if (auto bad = read_options(*parsed, out))
        return *bad;
    out.prompt_tokens = estimate_tokens(out.prompt);
    return out;
}

std::int64_t estimate_tokens(std::string_view text) {
    return static_cast<std::int64_t>(1 + text.size() / bytes_per_token);
}

std::int64_t read_timeout_ms(std::string_view text) {
    std::int64_t out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc{} || end != text.data() + text.size() || out <= 0 || out > max_timeout_ms)
        return 0;
    return out;
}

} // namespace waxwinglb::core::routing
