#include "programs/agent/orders.hpp"

#include "core/membership/shard.hpp"
#include "programs/agent/requests.hpp"
#include "programs/agent/streams.hpp"
#include "programs/agent/target.hpp"

#include <algorithm>

namespace waxwinglb::programs::agent {
namespace {

using core::common::milliseconds;
using core::memory::order_answer;
using core::memory::order_outcome;
using reason = wire::refusal;

constexpr milliseconds default_load_time{60'000}; // if an order has no remaining time
constexpr milliseconds probe_retry_delay{20};     // after a probe without answer while broken calls wait
constexpr const char* probe_model =
    "waxwing-agent-started"; // never loaded; unloaded only to send the first fencing number

void send_result(agent_state& state, const order_waiter& to, reason::type why, const std::string& model_state,
                 const char* detail = "") {
    wire::order_result result;
    result.target = state.settings.target;
    result.model = to.model;
    result.decision = to.decision;
    result.reason = why;
    result.state = model_state;
    result.free_bytes = state.ledger.free_bytes();
    result.detail = detail;
    state.hub.send(to.link, wire::message_kind::order_result, to.call, result);
}

std::string state_of(const agent_state& state, const std::string& model) {
    const auto found = state.ledger.replicas().find(model);
    return found == state.ledger.replicas().end() ? "absent" : core::memory::name_of(found->second.state);
}

core::memory::order to_order(const agent_state& state, const std::string& model, const std::string& version,
                             std::int64_t decision, std::int64_t fencing) {
    core::memory::order order;
    order.model = model;
    order.version = version;
    order.decision = decision;
    order.fencing = fencing;
    order.shard = core::membership::shard_of(
        core::membership::replica_set_name(state.settings.service, model), state.settings.control_shards);
    return order;
}

void record_order_event(agent_state& state, const std::string& model, const std::string& what,
                        std::int64_t decision) {
    state.log->info("model {}: {}", model, what);
    state.program.timeline.add(edge::event_kind::load, state.settings.service + "/" + model,
                               state.settings.target + ": " + what, std::to_string(decision));
}

/// Answers a rejected order at once; otherwise the waiter is answered when the order has ended.
void answer_or_wait(agent_state& state, const order_waiter& waiter, order_answer answer) {
    switch (answer) {
    case order_answer::stale:
        return send_result(state, waiter, reason::old_fencing, state_of(state, waiter.model),
                           "a newer order was seen");
    case order_answer::no_memory:
        return send_result(state, waiter, reason::no_memory, state_of(state, waiter.model), "does not fit");
    case order_answer::unsettled:
        return send_result(state, waiter, reason::overloaded, "unknown",
                           "the engine's state is not known yet");
    case order_answer::busy:
        return send_result(state, waiter, reason::overloaded, state_of(state, waiter.model),
                           "another order is under way");
    case order_answer::done:
    case order_answer::start:
    case order_answer::wait:
    case order_answer::under_way:
        state.order_waiters.push_back(waiter);
    }
}

/// Sends the result if the waiter's order has ended; false if it is still under way.
bool answer_waiter(agent_state& state, const order_waiter& waiter) {
    const std::string model_state = state_of(state, waiter.model);
    if (model_state == "loading" || model_state == "unloading" || model_state == "unknown")
        return false;
    const bool is_loaded = model_state == "loaded";
    if (is_loaded == waiter.expects_loaded) {
        send_result(state, waiter, reason::none, model_state);
        return true;
    }
    const auto why = state.failures.find(waiter.model);
    send_result(state, waiter, why == state.failures.end() ? reason::no_memory : why->second, model_state,
                "the order failed");
    return true;
}

/// Sends this process's first fencing number, so that an engine that checks fencing rejects late orders of an
/// earlier agent process.
void raise_fencing(agent_state& state) {
    if (state.fencing_raised)
        return;
    state.fencing_raised = true;
    send_unload(state, probe_model);
}

bool any_awaiting_probe(const agent_state& state) {
    return std::any_of(state.requests.begin(), state.requests.end(),
                       [](const auto& entry) { return entry.second.awaiting_probe; });
}

void handle_engine_up(agent_state& state, const probe_result& probe, time_point now) {
    const std::int64_t free_before = state.ledger.free_bytes();
    const std::size_t replicas_before = state.ledger.replicas().size();
    const bool restarted = state.ledger.adopt(probe.view, probe.mark, now);
    if (free_before != state.ledger.free_bytes() || replicas_before != state.ledger.replicas().size())
        state.report_due = true;
    if (restarted)
        handle_target_crash(state, now);
    state.ramp.observe_boot(probe.view.boot, now);
    state.ramp.observe_cold(probe.cold, now);
    raise_fencing(state);
}

} // namespace

void handle_load_order(agent_state& state, edge::link_id link, std::int64_t call,
                       const wire::load_order& message, time_point now) {
    const order_waiter waiter{link, call, message.model, message.decision, true};
    if (message.model.empty() || message.bytes <= 0 || state.settings.kind == target_kind::plain)
        return send_result(state, waiter, reason::bad_message, "absent",
                           "expected a model with bytes above 0");
    if (state.draining())
        return send_result(state, waiter, reason::draining, state_of(state, message.model),
                           "the target is leaving");
    if (state.data_centre_out())
        return send_result(state, waiter, reason::data_centre_out, state_of(state, message.model),
                           "the data centre is taken out");
    auto order = to_order(state, message.model, message.version, message.decision, message.fencing);
    order.bytes = message.bytes;
    order.load_by = now + (message.remaining_ms > 0 ? milliseconds{message.remaining_ms} : default_load_time);
    const auto planned = state.ledger.order_load(order, now);
    for (const std::string& model : planned.evict) {
        record_order_event(state, model, "evicted for " + message.model, message.decision);
        refuse_waiting_for_model(state, model, now);
        send_unload(state, model);
    }
    if (planned.answer == order_answer::start || planned.answer == order_answer::wait) {
        state.failures.erase(message.model);
        record_order_event(state, message.model, "load accepted", message.decision);
    }
    if (planned.answer == order_answer::start)
        send_load(state, message.model, now);
    answer_or_wait(state, waiter, planned.answer);
}

void handle_unload_order(agent_state& state, edge::link_id link, std::int64_t call,
                         const wire::unload_order& message, time_point now) {
    const order_waiter waiter{link, call, message.model, message.decision, false};
    if (message.model.empty() || state.settings.kind == target_kind::plain)
        return send_result(state, waiter, reason::bad_message, "absent", "expected a model");
    const auto answer = state.ledger.order_unload(
        to_order(state, message.model, message.version, message.decision, message.fencing), now);
    if (answer == order_answer::start) {
        record_order_event(state, message.model, "unload accepted", message.decision);
        send_unload(state, message.model);
    }
    answer_or_wait(state, waiter, answer);
}

void handle_order_response(agent_state& state, const order_response& response, time_point now) {
    const std::string& model = response.key.model;
    const bool confirmed = response.outcome == order_outcome::done;
    state.probe_requested = state.probe_requested || response.outcome == order_outcome::lost;
    switch (response.kind) {
    case order_kind::load:
        if (!confirmed)
            state.failures[model] = response.status == 507 ? reason::no_memory : reason::target_failed;
        state.ledger.load_finished(model, response.outcome, now);
        record_order_event(state, model, confirmed ? "loaded" : "load not confirmed", 0);
        if (confirmed)
            state.metrics.loads.Increment();
        break;
    case order_kind::unload:
        if (model == probe_model)
            return;
        if (!confirmed)
            state.failures[model] = reason::target_failed;
        state.ledger.unload_finished(model, response.outcome, now);
        record_order_event(state, model, confirmed ? "unloaded" : "unload not confirmed", 0);
        if (confirmed)
            state.metrics.unloads.Increment();
        break;
    case order_kind::adapter_load:
        state.ledger.adapter_load_finished(response.key, response.outcome, now);
        break;
    case order_kind::adapter_unload:
        state.ledger.adapter_unload_finished(response.key, response.outcome, now);
        break;
    }
    state.report_due = true;
}

void handle_probe(agent_state& state, const probe_result& probe, time_point now) {
    state.probing = false;
    if (probe.outcome == probe_outcome::no_answer) {
        // Broken calls wait for a probe. A crashed target refuses connections only until it has restarted,
        // so the next probe is sent soon.
        if (any_awaiting_probe(state))
            state.next_probe = now + probe_retry_delay;
        return;
    }
    const bool was_up = state.target_up;
    state.target_up = probe.outcome == probe_outcome::up;
    state.program.ready = state.target_up;
    state.report_due = state.report_due || was_up != state.target_up;
    if (!state.target_up) {
        if (!was_up)
            return;
        state.ledger.engine_gone(now);
        return handle_target_crash(state, now);
    }
    if (state.settings.kind == target_kind::model)
        handle_engine_up(state, probe, now);
    resolve_broken_calls(state, probe.number, now);
}

void continue_orders(agent_state& state, time_point now) {
    for (const std::string& model : state.ledger.loads_to_start(now))
        send_load(state, model, now);
    for (const std::string& model : state.ledger.unloads_to_start())
        send_unload(state, model);
    retry_adapters(state, now);
    std::erase_if(state.order_waiters,
                  [&](const order_waiter& waiter) { return answer_waiter(state, waiter); });
}

bool request_adapter(agent_state& state, const core::memory::adapter_key& key, std::int64_t bytes,
                     time_point now) {
    const auto planned = state.ledger.order_adapter(key, bytes, now);
    for (const auto& victim : planned.evict)
        send_adapter_unload(state, victim);
    if (planned.answer == order_answer::start)
        send_adapter_load(state, key, bytes);
    return planned.answer != order_answer::no_memory;
}

} // namespace waxwinglb::programs::agent
