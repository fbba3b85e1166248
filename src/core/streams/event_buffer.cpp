#include "core/streams/event_buffer.hpp"

#include <algorithm>
#include <utility>

namespace waxwinglb::core::streams {
namespace {

constexpr std::size_t longest_end = 3; // "\n\r\n": an event ends with an empty line

/// Position after the last event's end in `bytes`, looked for from `from` on; npos if there is none.
std::size_t find_last_end(std::string_view bytes, std::size_t from) {
    const std::string_view searched = bytes.substr(from);
    std::size_t last = std::string_view::npos;
    for (const std::string_view end : {std::string_view{"\n\n"}, std::string_view{"\n\r\n"}})
        if (const auto at = searched.rfind(end); at != std::string_view::npos) {
            const std::size_t after = from + at + end.size();
            last = last == std::string_view::npos ? after : std::max(last, after);
        }
    return last;
}

} // namespace

void event_buffer::add(std::string_view bytes) {
    // An end may have begun in the bytes before.
    const std::size_t unsearched = bytes_.size() - std::min(bytes_.size(), longest_end - 1);
    bytes_.append(bytes);
    if (const auto end = find_last_end(bytes_, std::max(complete_, unsearched));
        end != std::string_view::npos)
        complete_ = end;
}

std::string event_buffer::take_complete() {
    std::string out = bytes_.substr(0, complete_);
    bytes_.erase(0, complete_);
    complete_ = 0;
    any_taken_ = any_taken_ || !out.empty();
    return out;
}

void event_buffer::clear() {
    *this = {};
}

std::string last_event_id(std::string_view events) {
    std::size_t at = events.rfind("\nid:");
    if (at == std::string_view::npos)
        at = events.starts_with("id:") ? 0 : events.npos;
    else
        ++at;
    if (at == events.npos)
        return {};
    std::string_view value = events.substr(at + 3, events.find('\n', at) - at - 3);
    while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    while (!value.empty() && value.back() == '\r')
        value.remove_suffix(1);
    return std::string{value};
}

int count_events(std::string_view events) {
    int count = 0;
    for (std::size_t at = events.find('\n'); at != events.npos; at = events.find('\n', at + 1)) {
        const std::string_view rest = events.substr(at + 1);
        count += rest.starts_with('\n') || rest.starts_with("\r\n") ? 1 : 0;
    }
    return count;
}

} // namespace waxwinglb::core::streams
