/// Chooses the target that a request is sent to, among the targets of its service, or reports the obstacle.
/// (core/placement/replica_target.hpp chooses the target that a model is loaded to.)
#pragma once

#include "core/fleet/directory.hpp"
#include "core/fleet/serving_version.hpp"

#include <set>
#include <span>

namespace waxwinglb::core::dispatch {

/// A target as the dispatcher sees it at one moment.
struct candidate {
    const fleet::target* target = nullptr;
    int load = 0;                 // requests at the target, of all gateways as far as known
    int limit = 1;                // requests that may be at the target at once
    double failure_rate = 0;      // share of its latest answers that failed, 0 to 1
    bool reachable = true;        // false: connections to it failed recently
    bool cold_allowance = true;   // false: it is cold and its rate while cold is used up
    bool lacks_model = false;     // it reported recently that it has not loaded what is requested
    bool near = false;            // in the gateway's own data centre
    int unread_tokens = 0;        // prompt tokens of requests sent there that have no first event yet
    int unread_limit = 0;         // of unread_tokens; 0: no limit
    bool turn_queued = false;     // this gateway's turn to send it a request has not come yet
    bool limited = false;         // it has named the rate that it takes; turns keep it
    common::time_point turn_at{}; // if queued: when the turn is expected
    bool place_by_turn = false;   // a turn is only granted while it has a place: may be asked at its limit
    double capacity = 0;          // requests at once that it serves as fast as usual; 0: as many as the limit
};

/// How one gateway spreads its requests while others choose by the same figures. Not active by default: then
/// the target with the lowest cost is chosen, and the expected time to answer counts no prompt to be read.
struct choice_spread {
    bool active = false;
    std::uint64_t salt = 0; // of this gateway and request; choices with other salts differ
    double unseen = 0;      // requests that others may have sent since their last reports
};

/// What one request needs of its target.
struct target_criteria {
    fleet::model_ref model;    // empty model: a service without models
    std::uint64_t session = 0; // requests of one session go to one target if possible; 0: none
    const std::set<std::string>* tried = nullptr;       // targets that the request was sent to before
    const std::set<std::string>* centres_out = nullptr; // data centres taken out of service
    const std::set<std::string>* only =
        nullptr;           // if set: the only targets allowed (no attempts are left for others)
    int prompt_tokens = 0; // of the request, if it goes to an engine
    const fleet::serving_version* begun_at = nullptr; // if set: a stream goes on, only where it may
    choice_spread spread{};
};

/// Why no target could take a request, mildest first.
enum class obstacle {
    none,
    reading,       // a target could serve it but has enough prompts to read, or the turn has not come
    full,          // a target could serve it but is at its limit
    cold,          // the targets that could serve it are cold and their rate is used up
    limited,       // the targets that could serve it have named a rate, which others use up for now
    paused,        // the targets that could serve it want no requests for some time
    no_adapter,    // the model is loaded, the adapter on no target
    loading,       // the model is being loaded
    no_model,      // the model is loaded on no target
    unreachable,   // targets exist but connections to them fail
    other_version, // a stream goes on, and the usable targets have other versions than the one that began it
    no_target,     // no usable target of the service is known
};
[[nodiscard]] const char* name_of(obstacle reason);

/// When the target can be used again, as far as `why` (limited or paused) tells.
[[nodiscard]] common::time_point back_at(const candidate& option, obstacle why);

struct choice {
    const candidate* chosen = nullptr;
    obstacle why = obstacle::no_target;    // valid if `chosen` is null
    const candidate* first_back = nullptr; // if `why` is limited or paused: the target that is usable first
};

/// The limit on requests at a target of this speed: `usual`, scaled, between 1 and `most`.
[[nodiscard]] int scaled_limit(int usual, double speed, int most);

[[nodiscard]] choice choose(std::span<const candidate> candidates, const target_criteria& criteria,
                            common::time_point now);

} // namespace waxwinglb::core::dispatch
