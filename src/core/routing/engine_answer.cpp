#include "core/routing/engine_answer.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::core::routing {

std::string engine_answer::take(std::string_view chunk) {
    std::string text;
    partial_ += chunk;
    std::size_t start = 0;
    for (std::size_t end = 0; (end = partial_.find('\n', start)) != std::string::npos; start = end + 1)
        take_line(std::string_view{partial_}.substr(start, end - start), text);
    partial_.erase(0, start);
    return text;
}

void engine_answer::take_line(std::string_view line, std::string& text) {
    if (line.empty())
        return;
    const auto parsed = nlohmann::json::parse(line, nullptr, false);
    if (!parsed.is_object()) {
        malformed_ = true;
        return;
    }
    const auto string_field = [&](const char* name) {
        const auto found = parsed.find(name);
        return found != parsed.end() && found->is_string() ? found->get<std::string>() : std::string{};
    };
    const auto end = parsed.find("done");
    if (end == parsed.end()) {
        malformed_ = malformed_ || !parsed.contains("text");
        text += string_field("text");
        return;
    }
    done_ = true;
    const std::string reason = string_field("finish_reason");
    if (!reason.empty())
        finish_reason_ = reason;
}

} // namespace waxwinglb::core::routing
