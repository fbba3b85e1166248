#include "simulation/engine.hpp"

#include <algorithm>

namespace waxwinglb::simulation {

engine::time_point engine::begin_step(time_point now) {
    if (running_.empty() && waiting_.empty())
        return time_point::max();
    busy_ = true;
    const double batch_ms = speed_.step_ms + speed_.request_ms * static_cast<double>(running_.size());
    const double reading_ms = read_prompts() / speed_.prompt_tokens_per_ms;
    return now + std::chrono::duration_cast<core::common::duration>(
                     std::chrono::duration<double, std::milli>(batch_ms + reading_ms));
}

/// Reads what this step may read; requests whose prompts are read join the batch. Returns the tokens read.
int engine::read_prompts() {
    int budget = speed_.tokens_per_step;
    int sum = 0;
    while (!waiting_.empty() && budget > 0 && static_cast<int>(running_.size()) < speed_.slots) {
        unread_prompt& first = waiting_.front();
        const int part = std::min(first.left, budget);
        first.left -= part;
        budget -= part;
        sum += part;
        if (first.left > 0)
            break;
        running_.push_back({first.request, 0});
        waiting_.pop_front();
    }
    return sum;
}

std::vector<engine_event> engine::end_step() {
    busy_ = false;
    std::vector<engine_event> out;
    for (running_stream& one : running_) {
        // The first token goes out by itself.
        if (one.tokens % speed_.tokens_per_event == 0) {
            const int event = one.tokens / speed_.tokens_per_event;
            out.push_back({one.request.number, event, event + 1 >= one.request.events});
        }
        ++one.tokens;
    }
    std::erase_if(running_, [&](const running_stream& one) {
        return (one.tokens - 1) / speed_.tokens_per_event + 1 >= one.request.events &&
               (one.tokens - 1) % speed_.tokens_per_event == 0;
    });
    return out;
}

} // namespace waxwinglb::simulation
