/// State of the agent, owned by its event thread, and the events that this thread handles.
#pragma once

#include "core/admission/ramp.hpp"
#include "core/answers/store.hpp"
#include "core/config/replica.hpp"
#include "core/fairness/queue.hpp"
#include "core/memory/ledger.hpp"
#include "core/quarantine/quarantine.hpp"
#include "edge/http_client.hpp"
#include "edge/link.hpp"
#include "edge/log.hpp"
#include "edge/program.hpp"
#include "edge/ring.hpp"
#include "programs/agent/metrics.hpp"
#include "programs/agent/settings.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace waxwinglb::programs::agent {

using core::answers::attempt_key;
using core::common::time_point;

// ---- events --------------------------------------------------------------------------------------

/// Part of a response body from the target. `call` numbers the HTTP call: data of an earlier call of the same
/// request is ignored.
struct call_data {
    std::uint64_t request = 0;
    std::uint64_t call = 0;
    int status = 0;
    std::string data;
};
/// End of an HTTP call to the target.
struct call_ended {
    std::uint64_t request = 0;
    std::uint64_t call = 0;
    edge::client_result result;
};

/// Result of a GET of the target's /state (engine) or /healthz (plain service).
/// unreachable: the call could not be sent; no_answer: timeout, broken connection or invalid response.
enum class probe_outcome { up, unreachable, no_answer };
struct probe_result {
    probe_outcome outcome = probe_outcome::no_answer;
    core::memory::engine_view view; // of an engine only
    bool cold = false;
    core::memory::read_mark mark; // taken when the probe was sent
    std::uint64_t number = 0;     // of the probe
};

enum class order_kind { load, unload, adapter_load, adapter_unload };
struct order_response {
    order_kind kind = order_kind::load;
    core::memory::adapter_key key; // name is empty unless the order concerns an adapter
    core::memory::order_outcome outcome = core::memory::order_outcome::lost;
    int status = 0;
};

using event = std::variant<edge::link_event, call_data, call_ended, probe_result, order_response>;

// ---- state ---------------------------------------------------------------------------------------

/// A router's link that receives the answer of an attempt: the link that sent the request, and links that
/// collect the answer for a repeat of the same call.
struct listener {
    edge::link_id link = 0;
    std::int64_t call = 0; // call number in the messages to this link
};

/// A request between its acceptance and its end.
struct active_request {
    std::uint64_t id = 0;
    attempt_key key;
    wire::run_request message;
    time_point arrived;
    time_point deadline;
    std::vector<listener> listeners; // at most one per link; empty: the answer is only kept
    bool alone = false;              // must be the only request at the target
    bool holds_model = false;        // acquired in the ledger
    bool holds_adapter = false;      // acquired in the ledger
    bool running = false;            // started at the target
    bool awaiting_probe = false;     // its call broke off; a later probe tells whether the target crashed
    bool stream_lost = false;        // the engine answered a resume with 404
    std::uint64_t last_probe_at_break = 0; // number of the last probe sent before the call broke off
    std::uint64_t target_call = 0;         // number of its current HTTP call
    edge::client_call http = 0;
    time_point started;
    bool any_data = false;    // some response data has arrived
    std::string partial_line; // incomplete line of an engine's stream
    int next_index = 0;       // index of the next token
    std::int64_t tokens = 0;  // generated, as reported by the engine
    bool done_line = false;   // the engine's stream is complete
    int resumes = 0;
};

/// A steward's call that is answered when its order has ended.
struct order_waiter {
    edge::link_id link = 0;
    std::int64_t call = 0;
    std::string model;
    std::int64_t decision = 0;
    bool expects_loaded = true; // false: an unload order
};

struct agent_state {
    agent_state(const agent_settings& from, edge::program_context& context, edge::link_hub& links,
                edge::http_client& client, edge::ring<event>& events, std::int64_t boot_number,
                time_point now);

    // Set at construction.
    const agent_settings& settings;
    edge::program_context& program;
    edge::link_hub& hub;
    edge::http_client& http;
    edge::ring<event>& ring;
    std::int64_t boot; // of this agent process, Unix milliseconds
    edge::logger log;
    agent_metrics metrics;

    // Requests.
    core::answers::store answers;
    core::fairness::fair_queue queue;
    core::admission::ramp ramp;
    core::quarantine::record quarantine;
    std::unordered_map<std::uint64_t, active_request> requests; // waiting and running
    std::map<attempt_key, std::uint64_t> by_key;                // into `requests`
    std::vector<std::uint64_t> awaiting_adapter;                // of `requests`, in order of arrival
    std::uint64_t last_request = 0;
    std::uint64_t last_target_call = 0;
    int running = 0;
    bool running_alone = false;
    double average_service_ms = 0; // moving average of a request's time at the target; 0: no sample yet

    // Target.
    core::memory::ledger ledger;
    std::vector<order_waiter> order_waiters;
    std::map<std::string, wire::refusal::type> failures; // by model: reason of the last failed order
    std::int64_t last_fencing = 0; // fencing number of the last order sent to the engine
    bool probing = false;
    std::uint64_t last_probe = 0; // number of the latest probe sent
    bool probe_requested = true;
    time_point next_probe;
    bool target_up = false;
    bool fencing_raised = false; // this process's first fencing number has been sent to the engine

    // Watchers.
    std::set<edge::link_id> watchers;
    bool report_due = false;
    time_point next_report;
    std::int64_t report_sequence = 0;

    // Configuration.
    core::config::replica config;
    std::map<edge::link_id, std::vector<wire::config_update>> feeds; // update parts so far, by link

    [[nodiscard]] bool draining() const { return program.stopping; }
    [[nodiscard]] bool data_centre_out() const;
};

} // namespace waxwinglb::programs::agent
