#include "programs/router/router.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds tick_interval{20};             // checks for due draws, views and claims
constexpr milliseconds outcome_flush_timeout{3'000};  // of a drain, for claims' outcomes to be stored
constexpr milliseconds response_flush_timeout{2'000}; // of a drain, for callers to read their last bytes

std::string read_file(const std::string& name) {
    std::ifstream in{name};
    std::ostringstream out;
    out << in.rdbuf();
    return in ? out.str() : std::string{};
}

edge::link_options make_link_options(const edge::program_context& context, const router_settings& settings) {
    edge::link_options out;
    out.self.__set_process(context.name);
    out.self.__set_role("router");
    out.self.__set_data_centre(settings.data_centre);
    out.self.__set_boot(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
    return out;
}

/// The sink runs on the reactor's thread, which must not block. A full ring drops messages, which are resent
/// or requested again, but never the events that a link opened or closed.
edge::link_sink make_link_sink(event_ring& events) {
    return [&events](edge::link_event&& event) {
        if (event.kind == edge::link_event_kind::message && events.size() >= ring_message_limit)
            return;
        events.try_push(std::move(event));
    };
}

} // namespace

router::router(edge::program_context& context, router_settings settings)
    : context_(context), settings_(std::move(settings)),
      links_(make_link_options(context, settings_), make_link_sink(events_)),
      parts_(context, settings_, links_), calls_(parts_), front_(context, events_) {}

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
            log_->error("TLS certificate or its key: the file is missing, unreadable or empty.");
            return false;
        }
    }
    server_ = std::make_unique<edge::http_server>(
        std::move(options), [this](const edge::exchange_ptr& exchange) { front_.handle(exchange); });
    if (!server_->start()) {
        log_->error("Cannot listen on {}: the address is unavailable or the certificate is invalid.",
                    settings_.http);
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
        const time_point until = std::min(before + tick_interval, calls_.next_wake());
        auto event = events_.pop_until(until);
        const time_point now = core::common::clock::now();
        if (event)
            std::visit([&](auto& payload) { handle_event(std::move(payload), now); }, *event);
        if (calls_.next_wake() <= now || now - last_tick_ >= tick_interval)
            tick(now);
        if (context_.stopping && drained(now))
            return;
    }
}

void router::handle_event(arrival&& request, time_point now) {
    calls_.admit(std::move(request), now);
}

void router::handle_event(edge::link_event&& event, time_point now) {
    const bool agent = parts_.agents.owns(event.link);
    const bool steward = parts_.stewards.owns(event.link);
    switch (event.kind) {
    case edge::link_event_kind::opened:
        if (agent)
            calls_.handle_agent_opened(parts_.agents.handle_opened(event), now);
        if (steward)
            parts_.stewards.handle_opened(event);
        break;
    case edge::link_event_kind::closed:
        if (agent)
            calls_.handle_agent_closed(parts_.agents.handle_closed(event.link), now);
        if (steward) {
            parts_.stewards.handle_closed(event.link);
            parts_.config.handle_link_closed(event.link);
            parts_.rates.handle_link_closed(event.link, now);
        }
        break;
    case edge::link_event_kind::message:
        if (agent)
            calls_.handle_agent_message(parts_.agents.address_of(event.link), event.frame, now);
        if (steward)
            handle_steward_message(event, now);
        break;
    }
}

void router::handle_steward_message(const edge::link_event& event, time_point now) {
    const edge::frame& frame = event.frame;
    const auto handle_body = [&]<class body_type>(const body_type* tag, auto&& handler) {
        (void)tag;
        if (const auto body = edge::decode_body<body_type>(frame.body))
            handler(*body);
        else
            log_->warn("Ignoring a malformed message from {}.", event.peer.process);
    };
    constexpr auto type_tag = []<class body_type>() -> const body_type* { return nullptr; };
    switch (frame.header.kind) {
    case wire::message_kind::config_update:
        handle_body(type_tag.operator()<wire::config_update>(), [&](const auto& body) {
            if (!parts_.config.handle_update(event.link, body))
                return;
            parts_.metrics.revision(parts_.config.state().revision);
            calls_.handle_config_applied(now);
        });
        break;
    case wire::message_kind::config_fresh:
        handle_body(type_tag.operator()<wire::config_fresh>(), [&](const auto& body) {
            parts_.config.handle_fresh(event.link, frame.header.call, body, now);
        });
        break;
    case wire::message_kind::feed_elsewhere:
        handle_body(type_tag.operator()<wire::feed_elsewhere>(),
                    [&](const auto& body) { parts_.config.handle_feed_elsewhere(event.link, body); });
        break;
    case wire::message_kind::locate_result:
        handle_body(type_tag.operator()<wire::locate_result>(),
                    [&](const auto& body) { parts_.stewards.handle_locate_result(body, now); });
        break;
    case wire::message_kind::not_holder:
        handle_body(type_tag.operator()<wire::not_holder>(), [&](const auto& body) {
            parts_.stewards.handle_not_holder(body, now);
            parts_.rates.handle_not_holder(body, now);
        });
        break;
    case wire::message_kind::draw_result:
        handle_body(type_tag.operator()<wire::draw_result>(),
                    [&](const auto& body) { parts_.rates.handle_draw_result(frame.header.call, body, now); });
        break;
    case wire::message_kind::replica_view:
        handle_body(type_tag.operator()<wire::replica_view>(),
                    [&](const auto& body) { calls_.handle_view(body, now); });
        break;
    case wire::message_kind::claim_result:
        handle_body(type_tag.operator()<wire::claim_result>(),
                    [&](const auto& body) { calls_.handle_claim_result(frame.header.call, body, now); });
        break;
    case wire::message_kind::claim_outcome_ack:
        handle_body(type_tag.operator()<wire::claim_outcome_ack>(),
                    [&](const auto& body) { parts_.claims.handle_outcome_ack(body.key, body.stored); });
        break;
    default:
        break;
    }
    calls_.retry_reservations(now);
}

void router::tick(time_point now) {
    last_tick_ = now;
    parts_.config.tick(now);
    parts_.rates.tick(now);
    parts_.views.tick(now);
    parts_.claims.tick(now);
    parts_.agents.tick(now);
    calls_.retry_reservations(now);
    calls_.tick(now);
    const bool fresh = parts_.config.fresh(now);
    parts_.metrics.fresh(fresh);
    context_.ready = fresh && !context_.stopping;
    if (context_.stopping && draining_since_ == time_point{}) {
        draining_since_ = now;
        log_->info("Draining: {} requests are open.", calls_.size());
    }
}

bool router::drained(time_point now) {
    if (draining_since_ == time_point{} || calls_.size() > 0) {
        idle_since_ = {};
        return false;
    }
    if (idle_since_ == time_point{})
        idle_since_ = now;
    const bool settled = parts_.claims.all_settled() || now - idle_since_ >= outcome_flush_timeout;
    const bool flushed = server_->open_exchanges() == 0 || now - idle_since_ >= response_flush_timeout;
    return settled && flushed;
}

} // namespace waxwinglb::programs::router
