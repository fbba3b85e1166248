#include "core/streams/event_sequence.hpp"

#include <algorithm>
#include <charconv>

namespace waxwinglb::core::streams {
namespace {

/// What one block of lines up to an empty line is.
struct block {
    bool sound = true;
    bool is_event = false; // has a line that is no comment
    std::optional<std::uint64_t> id;
    std::optional<std::uint64_t> version; // named by its first line
};

/// Takes the first line off `rest`, with its end.
std::string_view take_line(std::string_view& rest) {
    const auto end = rest.find('\n');
    const std::size_t size = end == std::string_view::npos ? rest.size() : end + 1;
    const std::string_view line = rest.substr(0, size);
    rest.remove_prefix(size);
    return line;
}

bool ends_with_cr(std::string_view line) {
    return line.ends_with("\r\n");
}

std::string_view without_end(std::string_view line) {
    line.remove_suffix(std::min<std::size_t>(line.size(), ends_with_cr(line) ? 2 : 1));
    return line;
}

bool may_be_in_name(char letter) {
    return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-' ||
           letter == '_';
}

std::optional<std::uint64_t> number_in(std::string_view value) {
    if (value.starts_with(' '))
        value.remove_prefix(1);
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(value.data(), value.data() + value.size(), number);
    const bool whole = failure == std::errc{} && end == value.data() + value.size();
    return whole ? std::optional{number} : std::nullopt;
}

/// Adds a line without its end to what is known of its block.
void add_line(block& of, std::string_view line, std::string_view version_field) {
    if (line.starts_with(':'))
        return;
    const bool first = !of.is_event;
    of.is_event = true;
    const auto name_size = line.find(':');
    const std::string_view name = line.substr(0, name_size);
    if (name_size == std::string_view::npos || name.empty() ||
        !std::all_of(name.begin(), name.end(), may_be_in_name)) {
        of.sound = false;
        return;
    }
    if (name == "id")
        of.id = number_in(line.substr(name_size + 1));
    if (first && name == version_field)
        of.version = number_in(line.substr(name_size + 1));
}

/// Takes the first block off `rest`. All its lines end alike, or two writers have written it.
block take_block(std::string_view& rest, std::string_view version_field) {
    block out;
    std::optional<bool> with_cr;
    while (!rest.empty()) {
        const std::string_view line = take_line(rest);
        const std::string_view text = without_end(line);
        if (with_cr.value_or(ends_with_cr(line)) != ends_with_cr(line))
            out.sound = false;
        with_cr = ends_with_cr(line);
        if (text.empty())
            break;
        add_line(out, text, version_field);
    }
    return out;
}

} // namespace

void event_sequence::continue_after(std::string_view id) {
    last_ = number_in(id);
}

void event_sequence::begin_answer() {
    answer_has_event_ = false;
}

event_fault event_sequence::check_id(std::uint64_t id) {
    if (last_ && id <= *last_)
        return event_fault::out_of_order;
    const bool next = id == last_.value_or(0) + 1;
    const bool joined = events_seen_ > 0 && !answer_has_event_;
    // A first id of 1 alone doesn't show that ids within an answer go up by one.
    const bool must_be_next = consecutive_ && (joined || events_seen_ > 1);
    if (must_be_next && !next)
        return event_fault::missing;
    consecutive_ = next && (consecutive_ || events_seen_ == 0);
    ++events_seen_;
    answer_has_event_ = true;
    last_ = id;
    return event_fault::none;
}

event_sequence::result event_sequence::check(std::string_view events) {
    result out;
    for (std::string_view rest = events; !rest.empty();) {
        const block next = take_block(rest, version_field_);
        if (!next.sound || (next.is_event && !next.id))
            out.fault = event_fault::malformed;
        else if (next.is_event)
            out.fault = check_id(*next.id);
        if (out.fault != event_fault::none)
            return out;
        out.sound = events.size() - rest.size();
        out.events += next.is_event ? 1 : 0;
        if (next.version)
            out.version = next.version;
    }
    return out;
}

const char* name_of(event_fault fault) {
    switch (fault) {
    case event_fault::none:
        return "none";
    case event_fault::malformed:
        return "event_malformed";
    case event_fault::out_of_order:
        return "event_out_of_order";
    case event_fault::missing:
        return "event_missing";
    }
    return "unknown";
}

} // namespace waxwinglb::core::streams
