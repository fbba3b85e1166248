/// Parses an engine's answer as agents forward it: JSON lines {"index":N,"text":T} and a last line
/// {"done":true,"tokens":N,"finish_reason":R}. It may be split into chunks anywhere.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwinglb::core::routing {

class engine_answer {
public:
    /// Takes the next chunk; returns the text of the lines that it completes.
    std::string take(std::string_view chunk);

    [[nodiscard]] bool done() const { return done_; }           // the last line has been read
    [[nodiscard]] bool malformed() const { return malformed_; } // a line was not of this form
    [[nodiscard]] const std::string& finish_reason() const { return finish_reason_; }

private:
    void take_line(std::string_view line, std::string& text);

    std::string partial_; // start of a line that is not complete yet
    std::string finish_reason_ = "stop";
    bool done_ = false;
    bool malformed_ = false;
};

} // namespace waxwinglb::core::routing
