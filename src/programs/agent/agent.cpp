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
constexpr milliseconds collect_grace{3'000}; // after the last request, for routers to collect kept answers
constexpr milliseconds flush_grace{200};     // for links to send what is queued

std::int64_t boot_number() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// The deciding thread: routes events to the modules that own them.
class decider {
public:
    explicit decider(state& all) : all_(all) {}

    void operator()(edge::link_event& event, time_point now) {
        if (event.kind == edge::link_event_kind::opened && event.peer.role == "steward")
            return subscribe(all_, event.link);
        if (event.kind == edge::link_event_kind::closed)
            return close(event.link);
        if (event.kind == edge::link_event_kind::message && !take(event, now)) {
            all_.log->warn("malformed message from {}, link closed", event.address);
            all_.hub.disconnect(event.link);
            close(event.link);
        }
    }
    void operator()(target_data& data, time_point now) { take_data(all_, std::move(data), now); }
    void operator()(target_done& done, time_point now) { take_done(all_, std::move(done), now); }
    void operator()(probe_done& probe, time_point now) { take_probe(all_, probe, now); }
    void operator()(order_done& done, time_point now) { take_order_done(all_, done, now); }

private:
    void close(edge::link_id link) {
        all_.watchers.erase(link);
        unsubscribe(all_, link);
        forget_link(all_, link);
        std::erase_if(all_.order_waiters, [&](const order_waiter& one) { return one.link == link; });
    }

    template<class body_type, class action>
    bool with(const edge::frame& frame, const action& act) {
        auto body = edge::decode_body<body_type>(frame.body);
        if (!body)
            return false;
        act(std::move(*body));
        return true;
    }

    /// False if the message is malformed; kinds that an agent doesn't take are ignored.
    bool take(const edge::link_event& event, time_point now) {
        const edge::frame& frame = event.frame;
        const edge::link_id link = event.link;
        const std::int64_t call = frame.header.call;
        switch (frame.header.kind) {
        case kind::run_request:
            return with<wire::run_request>(
                frame, [&](wire::run_request&& body) { take_run(all_, link, call, std::move(body), now); });
        case kind::resume_request:
            return with<wire::resume_request>(frame,
                                              [&](const auto& body) { take_resume(all_, link, call, body); });
        case kind::cancel_request:
            return with<wire::cancel_request>(
                frame, [&](const auto& body) { take_cancel(all_, link, call, body, now); });
        case kind::ack_request:
            return with<wire::ack_request>(frame, [&](const auto& body) { take_ack(all_, body); });
        case kind::watch_target:
            return with<wire::watch_target>(frame, [&](const auto&) { take_watch(all_, link); });
        case kind::load_order:
            return with<wire::load_order>(
                frame, [&](const auto& body) { take_load_order(all_, link, call, body, now); });
        case kind::unload_order:
            return with<wire::unload_order>(
                frame, [&](const auto& body) { take_unload_order(all_, link, call, body, now); });
        case kind::quarantine_notice:
            return with<wire::quarantine_notice>(frame, [&](const auto& body) { merge(body, now); });
        case kind::config_update:
            return with<wire::config_update>(
                frame, [&](wire::config_update&& body) { take_update(all_, link, std::move(body)); });
        case kind::config_fresh:
            return with<wire::config_fresh>(frame, [&](const auto& body) { take_fresh(all_, body, now); });
        default:
            return true;
        }
    }

    void merge(const wire::quarantine_notice& notice, time_point now) {
        constexpr std::int64_t longest_ms = 86'400'000; // a longer term is cut to a day
        for (const wire::quarantine& one : notice.entries) {
            const milliseconds term{std::clamp<std::int64_t>(one.remaining_ms, 0, longest_ms)};
            all_.quarantine.merge({one.fingerprint, one.crashes, one.condemned, now + term}, now);
        }
    }

    state& all_;
};

void publish_metrics(state& all) {
    const auto& replicas = all.ledger.replicas();
    all.metrics.running.Set(all.running);
    all.metrics.waiting.Set(static_cast<double>(all.queue.size()));
    all.metrics.limit.Set(all.ramp.limit());
    all.metrics.used_bytes.Set(static_cast<double>(all.ledger.used()));
    all.metrics.kept_bytes.Set(static_cast<double>(all.answers.body_bytes()));
    all.metrics.loaded_models.Set(
        static_cast<double>(std::count_if(replicas.begin(), replicas.end(), [](auto& one) {
            return one.second.state == core::memory::replica_state::loaded;
        })));
}

bool is_busy(const state& all) {
    return !all.requests.empty() || !all.order_waiters.empty() || all.probe_soon || !all.ledger.settled();
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
            hub_->disconnect(link); // overloaded: the peer asks again over a new link
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
    state all{settings_, context_, *hub_, *http_, ring_, boot_, now};
    decider decide{all};
    time_point next_tick = now;
    time_point drained = time_point::max(); // when the last request had ended after the order to stop
    bool told = false;
    all.log->info("serving {} at {}", settings_.service, settings_.engine);
    while (!ended_) {
        auto event = ring_.pop_until(next_tick);
        now = core::common::clock::now();
        const bool is_piece = event && std::holds_alternative<target_data>(*event);
        if (event)
            std::visit([&](auto& one) { decide(one, now); }, *event);
        if (is_piece && now < next_tick)
            continue; // pieces of answers change nothing below
        if (all.draining() && !told) {
            told = true;
            all.report_due = true;
            all.log->info("draining, {} requests left", all.requests.size());
        }
        if (now >= next_tick) {
            expire_requests(all, now);
            publish_metrics(all);
            next_tick = now + (is_busy(all) ? busy_tick : idle_tick);
        }
        probe_target(all, now);
        continue_orders(all, now);
        start_waiting(all, now);
        report_if_due(all, now);
        if (!all.draining() || !all.requests.empty()) {
            drained = time_point::max();
            continue;
        }
        drained = std::min(drained, now);
        const bool collected = all.answers.unread(now) == 0 && now - drained >= flush_grace;
        if (collected || now - drained >= collect_grace)
            break;
    }
    all.log->info("ended");
}

} // namespace waxwinglb::programs::agent
