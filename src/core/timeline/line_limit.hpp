/// Rate limit for log lines about requests, separate for each event, with a count of the suppressed lines.
///
/// Without it, a flood of requests that are refused at once would write far more lines than requests that
/// run, and displace the lines about lost peers and leases from the log's bounded queue.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglb::core::timeline {

class line_limit {
public:
    struct suppressed {
        std::string event;
        std::int64_t lines = 0;
    };

    explicit line_limit(int lines_per_second) : max_lines_(lines_per_second) {}

    [[nodiscard]] bool admit(std::string_view event, common::time_point now);
    /// Lines suppressed in windows that have ended; each is reported once.
    [[nodiscard]] std::vector<suppressed> take_suppressed(common::time_point now);
    [[nodiscard]] std::vector<suppressed> take_all_suppressed(); // also of windows that have not ended

    void change(int lines_per_second) { max_lines_ = lines_per_second; }
    [[nodiscard]] int lines_per_second() const { return max_lines_; }

private:
    /// The current one-second window of one event.
    struct window {
        common::time_point started_at{};
        int admitted = 0;
        std::int64_t suppressed = 0;
        [[nodiscard]] bool expired(common::time_point now) const;
    };

    int max_lines_;
    std::map<std::string, window, std::less<>> windows_; // by event
};

} // namespace waxwinglb::core::timeline
