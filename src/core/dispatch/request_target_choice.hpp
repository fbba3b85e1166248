/// Chooses the target for one request among those of its service, or says what stands in the way.
#pragma once

#include "core/fleet/directory.hpp"

#include <set>
#include <span>

namespace waxwinglb::core::dispatch {

/// A target as the dispatcher sees it at one moment.
struct candidate {
    const fleet::target* target = nullptr;
    int load = 0;               // requests there, of all routers as far as known
    int limit = 1;              // requests that may be there at once
    double failure_rate = 0;    // of its latest answers, 0 to 1
    bool reachable = true;      // false: connections to it failed a moment ago
    bool cold_allowance = true; // false: it is cold and its rate is used up
    bool lacks_model = false;   // it said a moment ago that it doesn't hold what is wished
    bool near = false;          // in the router's own data centre
    int unread_tokens = 0;      // tokens of prompts sent there that have no first event yet
    int unread_limit = 0;       // of these tokens; 0: none
    bool turn_queued = false;   // the turn to send it a prompt is some time off
};

struct target_criteria {
    fleet::model_wish model;                            // model empty: a plain service
    std::uint64_t session = 0;                          // same session, same target if it can; 0: none
    const std::set<std::string>* tried = nullptr;       // targets not to use again
    const std::set<std::string>* centres_out = nullptr; // data centres taken out
    const std::set<std::string>* only = nullptr; // if set: no other targets (no attempts are left for them)
    int prompt_tokens = 0;                       // of a request to an engine
};

/// What kept a request from being sent, the mildest first.
enum class obstacle {
    none,
    reading,     // a target could serve it but reads the prompts of others, or is to be sent some first
    full,        // a target could serve it but has no room
    cold,        // the targets that could are cold and their rate is used up
    no_adapter,  // the model is loaded, the adapter nowhere
    loading,     // the model is being loaded
    no_model,    // the model is loaded nowhere
    unreachable, // targets exist, connections to them fail
    no_target,   // no usable target of the service is known
};
[[nodiscard]] const char* name_of(obstacle what);

struct choice {
    const candidate* chosen = nullptr;
    obstacle why = obstacle::no_target; // set if nothing was chosen
};

[[nodiscard]] choice choose(std::span<const candidate> candidates, const target_criteria& what,
                            common::time_point now);

} // namespace waxwinglb::core::dispatch
