#include "programs/agent/agent.hpp"

#include "programs/agent/config_feed.hpp"
#include "programs/agent/orders.hpp"
#include "programs/agent/reports.hpp"
#include "programs/agent/requests.hpp"
#include "programs/agent/streams.hpp"
#include "programs/agent/target.hpp"

#include <algorithm>

namespace waxwinglb::programs::agent {
namespace {

using core::common::milliseconds;
using kind = wire::message_kind;

constexpr std::size_t ring_capacity = 100'000;
constexpr milliseconds busy_tick{20};        // while requests or orders are under way
constexpr milliseconds idle_tick{100};       // otherwise
constexpr milliseconds collect_grace{3'000}; // after the last request: routers may still collect kept answers
constexpr milliseconds flush_grace{200};     // time for links to send queued messages

std::int64_t boot_number() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// Calls the handler of each event. Used by the event thread only.
class event_dispatcher {
public:
    explicit event_dispatcher(agent_state& state) : state_(state) {}

    void operator()(edge::link_event& event, time_point now) {
        if (event.kind == edge::link_event_kind::opened && event.peer.role == "steward")
            return subscribe(state_, event.link);
        if (event.kind == edge::link_event_kind::closed)
            return close(event.link);
        if (event.kind == edge::link_event_kind::message && !handle_message(event, now)) {
            state_.log->warn("malformed message from {}, link closed", event.address);
            state_.hub.disconnect(event.link);
            close(event.link);
        }
    }
    void operator()(call_data& data, time_point now) { handle_call_data(state_, std::move(data), now); }
    void operator()(call_ended& ended, time_point now) { handle_call_ended(state_, std::move(ended), now); }
    void operator()(probe_result& probe, time_point now) { handle_probe(state_, probe, now); }
    void operator()(order_response& response, time_point now) {
        handle_order_response(state_, response, now);
    }

private:
    void close(edge::link_id link) {
        state_.watchers.erase(link);
        unsubscribe(state_, link);
        detach_link(state_, link);
        std::erase_if(state_.order_waiters, [&](const order_waiter& waiter) { return waiter.link == link; });
    }

    template<class body_type, class action>
    bool decode_and(const edge::frame& frame, const action& act) {
        auto body = edge::decode_body<body_type>(frame.body);
        if (!body)
            return false;
        act(std::move(*body));
        return true;
    }

    /// Returns false if the message is malformed; message kinds that agents don't handle are ignored.
    bool handle_message(const edge::link_event& event, time_point now) {
        const edge::frame& frame = event.frame;
        const edge::link_id link = event.link;
        const std::int64_t call = frame.header.call;
        switch (frame.header.kind) {
        case kind::run_request:
            return decode_and<wire::run_request>(frame, [&](wire::run_request&& body) {
                handle_run(state_, link, call, std::move(body), now);
            });
        case kind::resume_request:
            return decode_and<wire::resume_request>(
                frame, [&](const auto& body) { handle_resume(state_, link, call, body); });
        case kind::cancel_request:
            return decode_and<wire::cancel_request>(
                frame, [&](const auto& body) { handle_cancel(state_, link, call, body, now); });
        case kind::ack_request:
            return decode_and<wire::ack_request>(frame, [&](const auto& body) { handle_ack(state_, body); });
        case kind::watch_target:
            return decode_and<wire::watch_target>(frame, [&](const auto&) { handle_watch(state_, link); });
        case kind::load_order:
            return decode_and<wire::load_order>(
                frame, [&](const auto& body) { handle_load_order(state_, link, call, body, now); });
        case kind::unload_order:
            return decode_and<wire::unload_order>(
                frame, [&](const auto& body) { handle_unload_order(state_, link, call, body, now); });
        case kind::quarantine_notice:
            return decode_and<wire::quarantine_notice>(frame, [&](const auto& body) { merge(body, now); });
        case kind::config_update:
            return decode_and<wire::config_update>(frame, [&](wire::config_update&& body) {
                handle_config_update(state_, link, std::move(body));
            });
        case kind::config_fresh:
            return decode_and<wire::config_fresh>(
                frame, [&](const auto& body) { handle_config_fresh(state_, body, now); });
        default:
            return true;
        }
    }

    void merge(const wire::quarantine_notice& notice, time_point now) {
        constexpr std::int64_t max_term_ms = 86'400'000; // longer terms are cut to one day
        for (const wire::quarantine& entry : notice.entries) {
            const milliseconds term{std::clamp<std::int64_t>(entry.remaining_ms, 0, max_term_ms)};
            state_.quarantine.merge({entry.fingerprint, entry.crashes, entry.condemned, now + term}, now);
        }
    }

    agent_state& state_;
};

void publish_metrics(agent_state& state) {
    const auto& replicas = state.ledger.replicas();
    state.metrics.running.Set(state.running);
    state.metrics.waiting.Set(static_cast<double>(state.queue.size()));
    state.metrics.limit.Set(state.ramp.limit());
    state.metrics.used_bytes.Set(static_cast<double>(state.ledger.used()));
    state.metrics.kept_bytes.Set(static_cast<double>(state.answers.body_bytes()));
    state.metrics.loaded_models.Set(
        static_cast<double>(std::count_if(replicas.begin(), replicas.end(), [](auto& entry) {
            return entry.second.state == core::memory::replica_state::loaded;
        })));
}

bool is_busy(const agent_state& state) {
    return !state.requests.empty() || !state.order_waiters.empty() || state.probe_requested ||
           !state.ledger.settled();
}

} // namespace

agent::agent(agent_settings settings, edge::program_context& context)
    : settings_(std::move(settings)), context_(context), boot_(boot_number()), ring_(ring_capacity) {}

agent::~agent() {
    ended_ = true;
    ring_.close();
    if (thread_.joinable())
        thread_.join();
    http_.reset();
    hub_.reset();
}

bool agent::start() {
    edge::link_options options;
    options.self.process = context_.name;
    options.self.role = "agent";
    options.self.data_centre = settings_.data_centre;
    options.self.boot = boot_;
    hub_ = std::make_unique<edge::link_hub>(options, [this](edge::link_event&& event) {
        const edge::link_id link = event.link;
        if (!ring_.try_push(std::move(event)) && !ended_)
            hub_->disconnect(link); // queue full: the peer reconnects and repeats its messages
    });
    http_ = std::make_unique<edge::http_client>();
    port_ = hub_->listen(settings_.listen);
    if (port_ == 0)
        return false;
    hub_->start();
    for (const std::string& steward : settings_.stewards)
        hub_->connect(steward);
    thread_ = std::thread{[this] { run(); }};
    return true;
}

void agent::join() {
    if (thread_.joinable())
        thread_.join();
}

void agent::run() {
    time_point now = core::common::clock::now();
    agent_state state{settings_, context_, *hub_, *http_, ring_, boot_, now};
    event_dispatcher dispatch{state};
    time_point next_tick = now;
    time_point idle_since = time_point::max(); // end of the last request while draining
    bool drain_announced = false;
    state.log->info("serving {} at {}", settings_.service, settings_.engine);
    while (!ended_) {
        auto event = ring_.pop_until(next_tick);
        now = core::common::clock::now();
        const bool is_data = event && std::holds_alternative<call_data>(*event);
        if (event)
            std::visit([&](auto& payload) { dispatch(payload, now); }, *event);
        if (is_data && now < next_tick)
            continue; // response data doesn't affect the steps below
        if (state.draining() && !drain_announced) {
            drain_announced = true;
            state.report_due = true;
            state.log->info("draining, {} requests left", state.requests.size());
        }
        if (now >= next_tick) {
            expire_requests(state, now);
            publish_metrics(state);
            next_tick = now + (is_busy(state) ? busy_tick : idle_tick);
        }
        probe_target(state, now);
        continue_orders(state, now);
        start_waiting(state, now);
        report_if_due(state, now);
        if (!state.draining() || !state.requests.empty()) {
            idle_since = time_point::max();
            continue;
        }
        idle_since = std::min(idle_since, now);
        const bool collected = state.answers.unread(now) == 0 && now - idle_since >= flush_grace;
        if (collected || now - idle_since >= collect_grace)
            break;
    }
    state.log->info("ended");
}

} // namespace waxwinglb::programs::agent
