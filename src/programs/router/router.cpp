#include "programs/router/router.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds tick_every{20};      // draws, views and claims that are due
constexpr milliseconds settle_limit{3'000}; // at a stop, longest wait for claims' outcomes to be stored
constexpr milliseconds flush_limit{2'000};  // and for callers to take their last bytes

std::string read_file(const std::string& name) {
    std::ifstream in{name};
    std::ostringstream out;
    out << in.rdbuf();
    return in ? out.str() : std::string{};
}

edge::link_options options_of(const edge::program_context& context, const router_settings& settings) {
    edge::link_options out;
    out.self.__set_process(context.name);
    out.self.__set_role("router");
    out.self.__set_data_centre(settings.data_centre);
    out.self.__set_boot(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    return out;
}

/// On the reactor's thread, which must not wait: a full ring drops messages, which their senders or askers
/// repeat, but never the news that a link opened or closed.
edge::link_sink push_into(event_ring& events) {
    return [&events](edge::link_event&& event) {
        if (event.kind == edge::link_event_kind::message && events.size() >= ring_message_limit)
            return;
        events.try_push(std::move(event));
    };
}

} // namespace

router::router(edge::program_context& context, router_settings settings)
    : context_(context), settings_(std::move(settings)),
      links_(options_of(context, settings_), push_into(events_)), parts_(context, settings_, links_),
      calls_(parts_), front_(context, events_) {}

router::~router() {
    server_.reset();
    events_.close();
}

bool router::start() {
    edge::http_server_options options;
    options.address = settings_.http;
    options.max_body = static_cast<std::size_t>(settings_.max_body);
    if (!settings_.certificate_file.empty()) {
        options.certificate = read_file(settings_.certificate_file);
        options.key = read_file(settings_.key_file);
        if (options.certificate.empty() || options.key.empty()) {
            log_->error("The certificate or its key can't be read.");
            return false;
        }
    }
    server_ = std::make_unique<edge::http_server>(
        std::move(options), [this](const edge::exchange_ptr& exchange) { front_.handle(exchange); });
    if (!server_->start()) {
        log_->error("The address {} can't be had, or the certificate is bad.", settings_.http);
        return false;
    }
    links_.start();
    parts_.stewards.start();
    log_->info("Callers are served at port {}.", server_->port());
    return true;
}

void router::run() {
    for (;;) {
        const time_point before = core::common::clock::now();
        const time_point until = std::min(before + tick_every, calls_.next_wake());
        auto event = events_.pop_until(until);
        const time_point now = core::common::clock::now();
        if (event)
            std::visit([&](auto& one) { take(std::move(one), now); }, *event);
        if (calls_.next_wake() <= now || now - last_tick_ >= tick_every)
            tick(now);
        if (context_.stopping && drained(now))
            return;
    }
}

void router::take(arrival&& request, time_point now) {
    calls_.admit(std::move(request), now);
}

void router::take(edge::link_event&& event, time_point now) {
    const bool agent = parts_.agents.owns(event.link);
    const bool steward = parts_.stewards.owns(event.link);
    switch (event.kind) {
    case edge::link_event_kind::opened:
        if (agent)
            calls_.agent_opened(parts_.agents.opened(event), now);
        if (steward)
            parts_.stewards.opened(event);
        break;
    case edge::link_event_kind::closed:
        if (agent)
            calls_.agent_closed(parts_.agents.closed(event.link), now);
        if (steward) {
            parts_.stewards.closed(event.link);
            parts_.config.link_closed(event.link);
            parts_.rates.link_closed(event.link, now);
        }
        break;
    case edge::link_event_kind::message:
        if (agent)
            calls_.from_agent(parts_.agents.address_of(event.link), event.frame, now);
        if (steward)
            take_from_steward(event, now);
        break;
    }
}

void router::take_from_steward(const edge::link_event& event, time_point now) {
    const edge::frame& frame = event.frame;
    const auto with = [&]<class body_type>(const body_type* kind, auto&& step) {
        (void)kind;
        if (const auto body = edge::decode_body<body_type>(frame.body))
            step(*body);
        else
            log_->warn("A malformed message came from {}.", event.peer.process);
    };
    constexpr auto of = []<class body_type>() -> const body_type* { return nullptr; };
    switch (frame.header.kind) {
    case wire::message_kind::config_update:
        with(of.operator()<wire::config_update>(), [&](const auto& body) {
            if (!parts_.config.updated(event.link, body))
                return;
            parts_.metrics.revision(parts_.config.state().revision);
            calls_.config_applied(now);
        });
        break;
    case wire::message_kind::config_fresh:
        with(of.operator()<wire::config_fresh>(),
             [&](const auto& body) { parts_.config.vouched(event.link, frame.header.call, body, now); });
        break;
    case wire::message_kind::feed_elsewhere:
        with(of.operator()<wire::feed_elsewhere>(),
             [&](const auto& body) { parts_.config.refused(event.link, body); });
        break;
    case wire::message_kind::locate_result:
        with(of.operator()<wire::locate_result>(),
             [&](const auto& body) { parts_.stewards.located(body, now); });
        break;
    case wire::message_kind::not_holder:
        with(of.operator()<wire::not_holder>(), [&](const auto& body) {
            parts_.stewards.moved(body, now);
            parts_.rates.moved(body, now);
        });
        break;
    case wire::message_kind::draw_result:
        with(of.operator()<wire::draw_result>(),
             [&](const auto& body) { parts_.rates.drawn(frame.header.call, body, now); });
        break;
    case wire::message_kind::replica_view:
        with(of.operator()<wire::replica_view>(), [&](const auto& body) { calls_.view_updated(body, now); });
        break;
    case wire::message_kind::claim_result:
        with(of.operator()<wire::claim_result>(),
             [&](const auto& body) { calls_.claimed(frame.header.call, body, now); });
        break;
    case wire::message_kind::claim_outcome_ack:
        with(of.operator()<wire::claim_outcome_ack>(),
             [&](const auto& body) { parts_.claims.stored(body.key, body.stored); });
        break;
    default:
        break;
    }
    calls_.rates_changed(now);
}

void router::tick(time_point now) {
    last_tick_ = now;
    parts_.config.tick(now);
    parts_.rates.tick(now);
    parts_.views.tick(now);
    parts_.claims.tick(now);
    parts_.agents.tick(now);
    calls_.rates_changed(now);
    calls_.tick(now);
    const bool fresh = parts_.config.fresh(now);
    parts_.metrics.fresh(fresh);
    context_.ready = fresh && !context_.stopping;
    if (context_.stopping && stopped_ == time_point{}) {
        stopped_ = now;
        log_->info("Draining: {} requests are open.", calls_.size());
    }
}

bool router::drained(time_point now) {
    if (stopped_ == time_point{} || calls_.size() > 0) {
        idle_ = {};
        return false;
    }
    if (idle_ == time_point{})
        idle_ = now;
    const bool settled = parts_.claims.all_settled() || now - idle_ >= settle_limit;
    const bool flushed = server_->open_exchanges() == 0 || now - idle_ >= flush_limit;
    return settled && flushed;
}

} // namespace waxwinglb::programs::router
