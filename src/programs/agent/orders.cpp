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

constexpr milliseconds default_load_time{60'000}; // if an order names none
constexpr milliseconds probe_again{20};           // after a silent probe that broken calls wait for
constexpr const char* probe_model = "waxwing-agent-started"; // never loaded; carries the first fencing number

void send_result(state& all, const order_waiter& to, reason::type why, const std::string& at,
                 const char* detail = "") {
    wire::order_result out;
    out.target = all.settings.target;
    out.model = to.model;
    out.decision = to.decision;
    out.reason = why;
    out.state = at;
    out.free_bytes = all.ledger.free_bytes();
    out.detail = detail;
    all.hub.send(to.link, wire::message_kind::order_result, to.call, out);
}

std::string state_of(const state& all, const std::string& model) {
    const auto found = all.ledger.replicas().find(model);
    return found == all.ledger.replicas().end() ? "absent" : core::memory::name_of(found->second.state);
}

core::memory::order to_order(const state& all, const std::string& model, const std::string& version,
                             std::int64_t decision, std::int64_t fencing) {
    core::memory::order out;
    out.model = model;
    out.version = version;
    out.decision = decision;
    out.fencing = fencing;
    out.shard = core::membership::shard_of(core::membership::replica_set_name(all.settings.service, model),
                                           all.settings.control_shards);
    return out;
}

void note(state& all, const std::string& model, const std::string& what, std::int64_t decision) {
    all.log->info("model {}: {}", model, what);
    all.program.timeline.add(edge::event_kind::load, all.settings.service + "/" + model,
                             all.settings.target + ": " + what, std::to_string(decision));
}

/// Answers an order that needs no waiting, or remembers who waits for its end.
void answer_or_wait(state& all, const order_waiter& waiter, order_answer answer) {
    switch (answer) {
    case order_answer::stale:
        return send_result(all, waiter, reason::old_fencing, state_of(all, waiter.model),
                           "a newer order was seen");
    case order_answer::no_memory:
        return send_result(all, waiter, reason::no_memory, state_of(all, waiter.model), "does not fit");
    case order_answer::unsettled:
        return send_result(all, waiter, reason::overloaded, "unknown", "the engine's state is not known yet");
    case order_answer::busy:
        return send_result(all, waiter, reason::overloaded, state_of(all, waiter.model),
                           "another order is under way");
    case order_answer::done:
    case order_answer::start:
    case order_answer::wait:
    case order_answer::under_way:
        all.order_waiters.push_back(waiter);
    }
}

/// True if the waiter's order has come to an end, which it is told.
bool answer_waiter(state& all, const order_waiter& waiter) {
    const std::string at = state_of(all, waiter.model);
    if (at == "loading" || at == "unloading" || at == "unknown")
        return false;
    const bool is_loaded = at == "loaded";
    if (is_loaded == waiter.wants_loaded) {
        send_result(all, waiter, reason::none, at);
        return true;
    }
    const auto why = all.failures.find(waiter.model);
    send_result(all, waiter, why == all.failures.end() ? reason::no_memory : why->second, at,
                "the order failed");
    return true;
}

/// An engine that checks fencing numbers learns this process's first one before any order of a former
/// process can still arrive.
void raise_fencing(state& all) {
    if (all.fencing_raised)
        return;
    all.fencing_raised = true;
    send_unload(all, probe_model);
}

bool any_settling(const state& all) {
    return std::any_of(all.requests.begin(), all.requests.end(),
                       [](const auto& entry) { return entry.second.settling; });
}

void take_engine_up(state& all, const probe_done& probe, time_point now) {
    const std::int64_t free_before = all.ledger.free_bytes();
    const std::size_t held_before = all.ledger.replicas().size();
    const bool restarted = all.ledger.adopt(probe.view, probe.mark, now);
    if (free_before != all.ledger.free_bytes() || held_before != all.ledger.replicas().size())
        all.report_due = true;
    if (restarted)
        target_crashed(all, now);
    all.ramp.observe_boot(probe.view.boot, now);
    all.ramp.observe_cold(probe.cold, now);
    raise_fencing(all);
}

} // namespace

void take_load_order(state& all, edge::link_id link, std::int64_t call, const wire::load_order& message,
                     time_point now) {
    const order_waiter waiter{link, call, message.model, message.decision, true};
    if (message.model.empty() || message.bytes <= 0 || all.settings.kind == target_kind::plain)
        return send_result(all, waiter, reason::bad_message, "absent", "expected a model with bytes above 0");
    if (all.draining())
        return send_result(all, waiter, reason::draining, state_of(all, message.model),
                           "the target is leaving");
    if (all.data_centre_out())
        return send_result(all, waiter, reason::data_centre_out, state_of(all, message.model),
                           "the data centre is taken out");
    auto order = to_order(all, message.model, message.version, message.decision, message.fencing);
    order.bytes = message.bytes;
    order.load_by = now + (message.remaining_ms > 0 ? milliseconds{message.remaining_ms} : default_load_time);
    const auto planned = all.ledger.order_load(order, now);
    for (const std::string& model : planned.evict) {
        note(all, model, "evicted for " + message.model, message.decision);
        refuse_model(all, model, now);
        send_unload(all, model);
    }
    if (planned.answer == order_answer::start || planned.answer == order_answer::wait) {
        all.failures.erase(message.model);
        note(all, message.model, "load accepted", message.decision);
    }
    if (planned.answer == order_answer::start)
        send_load(all, message.model, now);
    answer_or_wait(all, waiter, planned.answer);
}

void take_unload_order(state& all, edge::link_id link, std::int64_t call, const wire::unload_order& message,
                       time_point now) {
    const order_waiter waiter{link, call, message.model, message.decision, false};
    if (message.model.empty() || all.settings.kind == target_kind::plain)
        return send_result(all, waiter, reason::bad_message, "absent", "expected a model");
    const auto answer = all.ledger.order_unload(
        to_order(all, message.model, message.version, message.decision, message.fencing), now);
    if (answer == order_answer::start) {
        note(all, message.model, "unload accepted", message.decision);
        send_unload(all, message.model);
    }
    answer_or_wait(all, waiter, answer);
}

void take_order_done(state& all, const order_done& done, time_point now) {
    const std::string& model = done.key.model;
    const bool good = done.outcome == order_outcome::done;
    all.probe_soon = all.probe_soon || done.outcome == order_outcome::lost;
    switch (done.kind) {
    case order_kind::load:
        if (!good)
            all.failures[model] = done.status == 507 ? reason::no_memory : reason::target_failed;
        all.ledger.load_finished(model, done.outcome, now);
        note(all, model, good ? "loaded" : "load not confirmed", 0);
        if (good)
            all.metrics.loads.Increment();
        break;
    case order_kind::unload:
        if (model == probe_model)
            return;
        if (!good)
            all.failures[model] = reason::target_failed;
        all.ledger.unload_finished(model, done.outcome, now);
        note(all, model, good ? "unloaded" : "unload not confirmed", 0);
        if (good)
            all.metrics.unloads.Increment();
        break;
    case order_kind::adapter_load:
        all.ledger.adapter_load_finished(done.key, done.outcome, now);
        break;
    case order_kind::adapter_unload:
        all.ledger.adapter_unload_finished(done.key, done.outcome, now);
        break;
    }
    all.report_due = true;
}

void take_probe(state& all, const probe_done& probe, time_point now) {
    all.probing = false;
    if (probe.outcome == probe_outcome::silent) {
        // Broken calls wait for the verdict; a target that dies shows it only until it is back.
        if (any_settling(all))
            all.next_probe = now + probe_again;
        return;
    }
    const bool was_up = all.target_up;
    all.target_up = probe.outcome == probe_outcome::up;
    all.program.ready = all.target_up;
    all.report_due = all.report_due || was_up != all.target_up;
    if (!all.target_up) {
        if (!was_up)
            return;
        all.ledger.engine_gone(now);
        return target_crashed(all, now);
    }
    if (all.settings.kind == target_kind::model)
        take_engine_up(all, probe, now);
    settle_broken(all, probe.number, now);
}

void continue_orders(state& all, time_point now) {
    for (const std::string& model : all.ledger.loads_to_start(now))
        send_load(all, model, now);
    for (const std::string& model : all.ledger.unloads_to_start())
        send_unload(all, model);
    retry_adapters(all, now);
    std::erase_if(all.order_waiters, [&](const order_waiter& one) { return answer_waiter(all, one); });
}

bool request_adapter(state& all, const core::memory::adapter_key& key, std::int64_t bytes, time_point now) {
    const auto planned = all.ledger.order_adapter(key, bytes, now);
    for (const auto& victim : planned.evict)
        send_adapter_unload(all, victim);
    if (planned.answer == order_answer::start)
        send_adapter_load(all, key, bytes);
    return planned.answer != order_answer::no_memory;
}

} // namespace waxwinglb::programs::agent
