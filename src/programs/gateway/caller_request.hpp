/// One caller's request while the gateway handles it.
#pragma once

#include "core/dispatch/short_notice.hpp"
#include "core/fleet/serving_version.hpp"
#include "core/streams/event_buffer.hpp"
#include "core/streams/event_sequence.hpp"
#include "core/target_speed/pace_meter.hpp"
#include "platform/headers.hpp"
#include "programs/gateway/caller_session.hpp"
#include "programs/gateway/target_link.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::programs::gateway {

/// Events of one stream that came from one target, for the log.
struct stream_part {
    core::fleet::target_start target;
    core::fleet::serving_version version;
    const char* framing = ""; // what would have marked the end of the target's body
    std::string last_event;   // id
};

struct caller_request {
    // The request as received.
    std::string request_id;
    std::shared_ptr<caller_session> session;
    edge::wire_request received;
    core::fleet::config_ptr config; // in force on arrival; keeps `route` alive
    const core::fleet::route* route = nullptr;
    std::string customer;                    // empty on routes without authentication
    core::fleet::model_ref model;            // model empty for plain services
    double tokens = 0;                       // charged to the customer's rate when it is first sent
    int prompt_tokens = 0;                   // part of `tokens`; 0 unless the request states it
    int output_tokens = 0;                   // likewise: at most
    std::uint64_t sticky_session = 0;        // hash of the session id; 0: none
    std::vector<std::uint64_t> shared_parts; // hashes of the prompt's parts but the last, which is its own
    std::string resumes;           // request id of the attempt that brought the first event; empty: none
    std::uint64_t fingerprint = 0; // hash of path, customer and body: equal for repeated requests
    int priority = 5;              // 0 is the most urgent
    core::common::time_point arrived{};
    core::common::time_point deadline{}; // the caller's or the route's, whichever is sooner

    // Dispatch state.
    std::string service;
    std::set<std::string> sent_to;         // targets that the request was sent to
    bool came_before = false;              // its target had got it before the latest send
    std::set<std::string> failed_targets;  // targets excluded from further attempts
    core::common::time_point not_before{}; // earliest next attempt, after a target rejected the request
    int send_count = 0;                    // including sends that targets rejected
    bool may_have_run = false;             // the caller can no longer be told that the request has not run
    bool charged = false;                  // its tokens were taken from the customer's rate
    bool unsettled = false;                // sent, and its target has not said that it didn't run it
    core::common::time_point waiting_since{};
    core::common::time_point wait_until{}; // refused if still waiting then
    std::string blocked_by;                // what a target said that keeps it from being sent, with its age
    std::uint64_t arrival_number = 0;      // increases with each arrival
    int unread_prompt_tokens = 0;          // prompt tokens counted as unread at the target
    std::string target;                    // where the request runs; empty: it waits
    std::unique_ptr<exchange> target_exchange;
    core::fleet::target_start target_start;      // the start of the target that it was last sent to
    std::string target_address;                  // IP:PORT of that target
    core::fleet::serving_version target_version; // of that target; its weights as its answer states them
    std::optional<core::fleet::serving_version> begun_at; // of the stream; set if it goes on
    core::common::time_point sent_at{};
    edge::event_loop::timer_id timer;                         // fires at the deadline
    std::optional<core::common::time_point> target_gone_at;   // its target is removed at short notice
    std::optional<core::dispatch::notice_decision> on_notice; // the latest decision because of that

    // The answer.
    edge::answer_head head;             // from the answering target
    std::string body;                   // of a plain answer
    core::streams::event_buffer events; // received of a stream, not yet forwarded
    core::streams::event_sequence sequence{platform::weights_event_field}; // of the events forwarded
    core::dispatch::stream_progress progress;
    bool streaming = false;        // the answer is forwarded as it arrives
    bool held = false;             // until it is known which start of the target answers
    bool ended_while_held = false; // all of it has come
    bool confirming_end = false;   // all of it has come; a later report may show that it isn't whole
    const char* ended_by = ""; // what marks the end of the target's body: "length", "chunks" or "connection"
    bool run_counted = false;  // as a request that began to run
    bool finished = false;     // answered, refused or abandoned
    std::string last_target;   // target of the latest send
    core::common::time_point first_chunk_at{}; // when the first part of the answer was forwarded
    core::common::time_point last_chunk_at{};
    core::common::duration longest_pause{}; // between two forwarded chunks
    core::target_speed::pace_meter pace;    // of the stream at its present target
    std::string last_event;                 // id of the last event forwarded; empty: none
    std::vector<stream_part> earlier_parts; // of a stream that was resumed, by targets before the last one

    [[nodiscard]] bool has_attempts_left() const {
        return static_cast<int>(sent_to.size()) < route->max_attempts;
    }
    /// Goes on a stream, which a target with other weights refuses.
    [[nodiscard]] bool expects_weights() const { return begun_at && begun_at->weights; }
    [[nodiscard]] bool is_stream() const { return route->kind == core::fleet::call_kind::stream; }
    /// May be sent again after an attempt whose answer was lost.
    [[nodiscard]] bool repeatable() const {
        return route->kind == core::fleet::call_kind::idempotent || (is_stream() && route->resumable);
    }
};
using caller_request_ptr = std::shared_ptr<caller_request>;

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
