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

/// Reads prompts up to the limit of a step; requests whose prompts are complete join the batch. Returns the
/// tokens read.
int engine::read_prompts() {
    int budget = speed_.tokens_per_step;
    int total = 0;
    while (!waiting_.empty() && budget > 0 && static_cast<int>(running_.size()) < speed_.slots) {
        unread_prompt& first = waiting_.front();
        const int tokens = std::min(first.left, budget);
        first.left -= tokens;
        budget -= tokens;
        total += tokens;
        if (first.left > 0)
            break;
        running_.push_back({first.request, 0});
        waiting_.pop_front();
    }
    return total;
}

std::vector<engine_event> engine::end_step() {
    busy_ = false;
    std::vector<engine_event> out;
    for (running_stream& stream : running_) {
        // The first token is sent in an event of its own.
        if (stream.tokens % speed_.tokens_per_event == 0) {
            const int event = stream.tokens / speed_.tokens_per_event;
            out.push_back({stream.request.number, event, event + 1 >= stream.request.events});
        }
        ++stream.tokens;
    }
    std::erase_if(running_, [&](const running_stream& stream) {
        return (stream.tokens - 1) / speed_.tokens_per_event + 1 >= stream.request.events &&
               (stream.tokens - 1) % speed_.tokens_per_event == 0;
    });
    return out;
}

} // namespace waxwinglb::simulation
