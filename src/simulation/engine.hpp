/// Simulates a model engine with an explicit clock and without a network, to evaluate policies.
///
/// The engine works in steps. Each step makes the next token of every running request and reads (prefills)
/// waiting prompts, oldest first, up to a limit. The more tokens it reads, the longer the step takes, and so
/// the pause of every stream in the batch. Not modelled: memory, cached prefixes, preemption, model loads.
#pragma once

#include "core/common/time.hpp"

#include <deque>
#include <vector>

namespace waxwinglb::simulation {

/// Speeds of the engine; the defaults are from the users' data sheets.
struct engine_speed {
    double step_ms = 6.8;               // base duration of a step
    double request_ms = 0.034;          // added for each running request
    double prompt_tokens_per_ms = 22.1; // reading rate
    int tokens_per_step = 4'096;        // limit on prompt tokens read
    int tokens_per_event = 4;           // tokens in each event of a stream
    int slots = 64;                     // limit on requests in the batch
};

struct generation {
    int number = 0;        // chosen by the caller
    int prompt_tokens = 0; // length of the prompt
    int events = 1;        // length of the answer
};

/// An event of a stream, sent at the end of the step that made it.
struct engine_event {
    int number = 0;
    int event = 0; // index in the stream
    bool last = false;
};

class engine {
public:
    using time_point = core::common::time_point;
    explicit engine(engine_speed speed) : speed_(speed) {}

    void submit(const generation& request) { waiting_.push_back({request, request.prompt_tokens}); }
    /// Begins a step at `now` and returns its end, or time_point::max() if there is nothing to do.
    time_point begin_step(time_point now);
    /// Ends the current step and returns the events that it made.
    std::vector<engine_event> end_step();
    [[nodiscard]] bool busy() const { return busy_; }

private:
    struct unread_prompt {
        generation request;
        int left = 0; // unread tokens
    };
    struct running_stream {
        generation request;
        int tokens = 0; // made so far
    };
    int read_prompts();

    engine_speed speed_;
    std::deque<unread_prompt> waiting_;
    std::vector<running_stream> running_;
    bool busy_ = false;
};

} // namespace waxwinglb::simulation
