/// Checks that the events of one stream follow each other, also where answers of several targets are joined.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace waxwinglb::core::streams {

enum class event_fault {
    none,
    malformed,    // text that is no event with an id
    out_of_order, // the id isn't above the one before
    missing,      // ids went up by one until one that leaves some out
};

class event_sequence {
public:
    struct result {
        std::size_t sound = 0; // bytes of the events before the first fault
        int events = 0;        // in them
        event_fault fault = event_fault::none;
        std::optional<std::uint64_t> version; // the last one that the first line of a sound event names
    };

    /// `version_field`: name of the field by which an event's first line says that the version of the weights
    /// changes; empty: none.
    explicit event_sequence(std::string_view version_field = {}) : version_field_(version_field) {}

    void continue_after(std::string_view id); // the caller has the events up to this one
    void begin_answer();                      // the events that follow are those of another answer
    [[nodiscard]] bool answer_has_event() const { return answer_has_event_; }
    /// Each id so far was one above the id before, the first one of a stream 1.
    [[nodiscard]] bool consecutive() const { return consecutive_; }

    /// Checks whole events in the order of their arrival. Blocks that hold only comments are no events.
    [[nodiscard]] result check(std::string_view events);

private:
    [[nodiscard]] event_fault check_id(std::uint64_t id);

    std::string_view version_field_;
    std::optional<std::uint64_t> last_;
    bool consecutive_ = false; // each id so far was one above the id before
    int events_seen_ = 0;
    bool answer_has_event_ = false;
};

[[nodiscard]] const char* name_of(event_fault fault);

} // namespace waxwinglb::core::streams
