/// A model engine as its users describe it, without a network and by an explicit clock: for trying policies.
///
/// It works in steps. Each step gives every running request its next token and reads prompts that wait,
/// oldest first, up to a bound; the more it reads, the longer the step, and so the pause of every stream in
/// the batch. Not modelled: memory, cached prefixes, preemption, loads of models.
#pragma once

#include "core/common/time.hpp"

#include <deque>
#include <vector>

namespace waxwinglb::simulation {

/// Speeds of the engine; the defaults are those of the users' sheets.
struct engine_speed {
    double step_ms = 6.8;               // of a step that does nothing else
    double request_ms = 0.034;          // more for each running request
    double prompt_tokens_per_ms = 22.1; // read
    int tokens_per_step = 4'096;        // of prompts, at most
    int tokens_per_event = 4;           // of a stream
    int slots = 64;                     // requests in one batch
};

struct generation {
    int number = 0;        // the caller's
    int prompt_tokens = 0; //
    int events = 1;        // until it is complete
};

/// An event of a stream, at the end of the step that made it.
struct engine_event {
    int number = 0;
    int event = 0; // 0 is the first
    bool last = false;
};

class engine {
public:
    using time_point = core::common::time_point;
    explicit engine(engine_speed speed) : speed_(speed) {}

    void submit(const generation& one) { waiting_.push_back({one, one.prompt_tokens}); }
    /// Begins a step at `now`, if there is anything to do, and returns its end; else time_point::max().
    time_point begin_step(time_point now);
    /// What the step made that ends now.
    std::vector<engine_event> end_step();
    [[nodiscard]] bool busy() const { return busy_; }

private:
    struct unread_prompt {
        generation request;
        int left = 0; // tokens
    };
    struct running_stream {
        generation request;
        int tokens = 0; // made
    };
    int read_prompts();

    engine_speed speed_;
    std::deque<unread_prompt> waiting_;
    std::vector<running_stream> running_;
    bool busy_ = false;
};

} // namespace waxwinglb::simulation
