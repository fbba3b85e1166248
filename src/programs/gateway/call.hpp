/// One request of a caller on its way through the gateway.
#pragma once

#include "core/fleet/model.hpp"
#include "programs/gateway/caller_session.hpp"
#include "programs/gateway/target_link.hpp"

#include <set>
#include <string>

namespace waxwinglb::programs::gateway {

struct call {
    // As it came.
    std::string request_id;
    std::shared_ptr<caller_session> session;
    edge::wire_request request;
    core::fleet::config_ptr config; // in force when it came; keeps `route` alive
    const core::fleet::route* route = nullptr;
    std::string customer;             // empty on open routes
    core::fleet::model_ref model;     // model empty at plain services
    double tokens = 0;                // taken from the customer's rate
    int prompt_tokens = 0;            // of these, as far as it told them apart
    std::uint64_t sticky_session = 0; // hash of the session that it belongs to; 0: none
    std::uint64_t fingerprint = 0;    // of path, customer and body: the same for a repeated request
    int priority = 5;                 // 0 is the most urgent
    core::common::time_point arrived{};
    core::common::time_point deadline{}; // of the caller and of the route, whichever is sooner

    // Where it stands.
    std::string service;
    std::set<std::string> sent_to;         // targets that it was sent to
    std::set<std::string> failed_at;       // those among them that are not asked again
    core::common::time_point not_before{}; // after a target's rejection
    int sends = 0;                         // including those that targets rejected
    bool may_have_run = false;             // no promise of "not run" any more
    core::common::time_point waiting_since{};
    core::common::time_point hold_until{}; // then it is refused if it still waits
    std::uint64_t order = 0;               // of arrival
    int reading = 0;                       // tokens of its prompt that its target counts as not yet read
    std::string target;                    // where it runs; empty: it waits
    std::unique_ptr<exchange> at_target;
    core::common::time_point sent_at{};
    edge::event_loop::timer_id timer; // its deadline

    // Its answer.
    edge::answer_head head;                 // of the target that answers
    std::string body;                       // collected: whole answers, or the incomplete event of a stream
    bool streaming = false;                 // passed on as it comes
    bool complete = false;                  // answered, refused or given up: nothing more is done
    std::string answered_by;                // target of the newest send
    core::common::time_point first_piece{}; // when the answer began to be passed on
    core::common::time_point last_piece{};
    core::common::duration longest_pause{}; // between two pieces
    std::string last_event;                 // id of the last event passed on; empty: none

    [[nodiscard]] bool attempts_left() const {
        return static_cast<int>(sent_to.size()) < route->max_attempts;
    }
    [[nodiscard]] bool is_stream() const { return route->kind == core::fleet::call_kind::stream; }
    /// May run again after a run whose answer is lost.
    [[nodiscard]] bool repeatable() const {
        return route->kind == core::fleet::call_kind::idempotent || (is_stream() && route->resumable);
    }
};
using call_ptr = std::shared_ptr<call>;

[[nodiscard]] inline const char* name_of(core::fleet::call_kind kind) {
    switch (kind) {
    case core::fleet::call_kind::idempotent:
        return "idempotent";
    case core::fleet::call_kind::non_idempotent:
        return "non_idempotent";
    case core::fleet::call_kind::stream:
        return "stream";
    }
    return "unknown";
}

} // namespace waxwinglb::programs::gateway
