/// Splits the body of an event stream (text/event-stream) into complete events, which alone may be forwarded:
/// a stream that ends inside an event was broken off, and one resumed elsewhere must not repeat part of one.
#pragma once

#include <string>
#include <string_view>

namespace waxwinglb::core::streams {

class event_buffer {
public:
    void add(std::string_view bytes);
    [[nodiscard]] std::string take_complete(); // all complete events; empty if there are none
    void clear();                              // for the next target's answer

    [[nodiscard]] bool inside_event() const { return !bytes_.empty(); } // once the complete ones are taken
    [[nodiscard]] std::size_t size() const { return bytes_.size(); }
    [[nodiscard]] bool any_taken() const { return any_taken_; } // since the last clear()

private:
    std::string bytes_;
    std::size_t complete_ = 0; // bytes at the start that make up complete events
    bool any_taken_ = false;
};

/// Id of the last event that has one in `events`, which holds complete events; empty if none has.
[[nodiscard]] std::string last_event_id(std::string_view events);

/// Number of blocks, each of which ends with an empty line, in `events`, which holds complete events.
[[nodiscard]] int count_events(std::string_view events);

} // namespace waxwinglb::core::streams
