/// Cuts log lines about requests to a rate, each kind of line for itself, and counts those left out.
///
/// The load that it answers: a flood of requests that are refused at once would write far more lines than
/// requests that run, and push the lines about lost peers and leases out of the log's bounded queue.
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

    explicit line_limit(int lines_per_second) : most_(lines_per_second) {}

    [[nodiscard]] bool admit(std::string_view event, common::time_point now);
    /// What was left out in seconds that are over, told once.
    [[nodiscard]] std::vector<suppressed> take_suppressed(common::time_point now);
    [[nodiscard]] std::vector<suppressed> take_all_suppressed(); // also of the second under way

    void change(int lines_per_second) { most_ = lines_per_second; }
    [[nodiscard]] int lines_per_second() const { return most_; }

private:
    /// The second under way of one kind of line.
    struct window {
        common::time_point begun{};
        int admitted = 0;
        std::int64_t suppressed = 0;
        [[nodiscard]] bool over(common::time_point now) const;
    };

    int most_;
    std::map<std::string, window, std::less<>> windows_; // by event
};

} // namespace waxwinglb::core::timeline
