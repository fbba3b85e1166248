/// Reads an engine's answer as agents pass it on: JSON lines {"index":N,"text":T} and a last one
/// {"done":true,"tokens":N,"finish_reason":R}. Pieces may end anywhere.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwinglb::core::routing {

class engine_answer {
public:
    /// Takes the next piece; returns the text of the lines that it completed.
    std::string take(std::string_view piece);

    [[nodiscard]] bool done() const { return done_; }           // the last line was read
    [[nodiscard]] bool malformed() const { return malformed_; } // a line had another form
    [[nodiscard]] const std::string& finish_reason() const { return finish_reason_; }

private:
    void take_line(std::string_view line, std::string& text);

    std::string partial_; // start of a line whose end has not come yet
    std::string finish_reason_ = "stop";
    bool done_ = false;
    bool malformed_ = false;
};

} // namespace waxwinglb::core::routing
