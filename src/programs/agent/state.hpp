/// All state of the agent, owned by its deciding thread, and the events that reach it.
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

/// Part of an answer's body from the target. `call` numbers the HTTP call: pieces of a former one are void.
struct target_data {
    std::uint64_t request = 0;
    std::uint64_t call = 0;
    int status = 0;
    std::string data;
};
struct target_done {
    std::uint64_t request = 0;
    std::uint64_t call = 0;
    edge::client_result result;
};

/// What a look at the target's /state (engine) or /healthz (plain service) found.
enum class probe_outcome { up, gone, silent };
struct probe_done {
    probe_outcome outcome = probe_outcome::silent;
    core::memory::engine_view view; // of an engine
    bool cold = false;
    core::memory::read_mark mark; // taken when it was asked
    std::uint64_t number = 0;     // of the probe
};

enum class order_kind { load, unload, adapter_load, adapter_unload };
struct order_done {
    order_kind kind = order_kind::load;
    core::memory::adapter_key key; // name empty unless an adapter's order
    core::memory::order_outcome outcome = core::memory::order_outcome::lost;
    int status = 0;
};

using event = std::variant<edge::link_event, target_data, target_done, probe_done, order_done>;

// ---- state ---------------------------------------------------------------------------------------

/// A request between its acceptance and its end.
/// A router's link that gets an attempt's answer: the router that sent it, and those that collect it for a
/// repeat of the same call.
struct listener {
    edge::link_id link = 0;
    std::int64_t call = 0; // call number that the messages to it carry
};

struct request {
    std::uint64_t id = 0;
    attempt_key key;
    wire::run_request message;
    time_point arrived;
    time_point deadline;
    std::vector<listener> listeners; // one for each link; none: the answer is only kept
    bool alone = false;              // must run with nothing beside it
    bool holds_model = false;        // acquired in the ledger
    bool holds_adapter = false;      // acquired in the ledger
    bool running = false;            // started at the target
    bool settling = false;           // its call broke; a later probe will tell what that means
    bool stream_lost = false;        // the engine doesn't know the stream any more
    std::uint64_t broke_at = 0;      // last probe that had been sent when its call broke
    std::uint64_t target_call = 0;   // number of its present HTTP call
    edge::client_call http = 0;
    time_point started;
    bool any_data = false;    // the target answered something
    std::string partial_line; // of an engine's stream
    int next_index = 0;       // of the next token
    std::int64_t tokens = 0;  // that the engine says it made
    bool done_line = false;   // the engine's stream is complete
    int resumes = 0;
};

/// Someone who waits for the end of an order.
struct order_waiter {
    edge::link_id link = 0;
    std::int64_t call = 0;
    std::string model;
    std::int64_t decision = 0;
    bool wants_loaded = true; // false: an unload order
};

struct state {
    state(const agent_settings& from, edge::program_context& context, edge::link_hub& links,
          edge::http_client& client, edge::ring<event>& events, std::int64_t boot_number, time_point now);

    // Given.
    const agent_settings& settings;
    edge::program_context& program;
    edge::link_hub& hub;
    edge::http_client& http;
    edge::ring<event>& ring;
    std::int64_t boot; // of this agent process
    edge::logger log;
    agent_metrics metrics;

    // Requests.
    core::answers::store answers;
    core::fairness::fair_queue queue;
    core::admission::ramp ramp;
    core::quarantine::record quarantine;
    std::unordered_map<std::uint64_t, request> requests; // waiting and running
    std::map<attempt_key, std::uint64_t> by_key;         // into `requests`
    std::vector<std::uint64_t> awaiting_adapter;         // of `requests`, in order of arrival
    std::uint64_t last_request = 0;
    std::uint64_t last_target_call = 0;
    int running = 0;
    bool running_alone = false;
    double service_ms = 0; // moving average of a request's time at the target; 0: not known

    // Target.
    core::memory::ledger ledger;
    std::vector<order_waiter> order_waiters;
    std::map<std::string, wire::refusal::type> failures; // why a model's last order failed
    std::int64_t last_fencing = 0;                       // shown to engines; rises with each order
    bool probing = false;
    std::uint64_t last_probe = 0; // number of the latest probe sent
    bool probe_soon = true;
    time_point next_probe;
    bool target_up = false;
    bool fencing_raised = false; // the engine has seen this process's first number

    // Watchers.
    std::set<edge::link_id> watchers;
    bool report_due = false;
    time_point next_report;
    std::int64_t report_sequence = 0;

    // Configuration.
    core::config::replica config;
    std::map<edge::link_id, std::vector<wire::config_update>> feeds; // parts of a snapshot so far, by link

    [[nodiscard]] bool draining() const { return program.stopping; }
    [[nodiscard]] bool data_centre_out() const;
};

} // namespace waxwinglb::programs::agent
