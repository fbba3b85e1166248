#include "programs/gateway/gateway.hpp"

#include "core/common/hash.hpp"
#include "edge/boot_clock.hpp"
#include "edge/log.hpp"
#include "platform/documents.hpp"
#include "platform/headers.hpp"

#include <algorithm>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::duration;
using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds lease_call_timeout{400}; // of a lease call; leaves time to retry through a peer
constexpr milliseconds store_call_timeout{600}; // of one call, in addition to a watch's wait
constexpr milliseconds housekeeping_interval{100};
constexpr milliseconds settings_check_interval{1'000};
constexpr milliseconds register_retry_delay{500};
constexpr milliseconds register_spread{
    1'000}; // over which gateways register again after a restore of the store
constexpr milliseconds min_drain_time{2'600}; // the load balancer notices after two unready answers
constexpr milliseconds drain_reserve{400};    // part of the drain time kept for the shutdown itself
// Of the readiness and metrics pages. Their requests have short heads; bodies come from peers alone.
constexpr std::size_t page_memory = 16U << 10U;   // bytes, of a connection: head and answer's head
constexpr std::size_t max_page_body = 64U << 10U; // bytes, of the metrics page: a peer's call to the store
constexpr unsigned page_timeout_s = 5;            // of a connection without a byte in either direction

std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

gateway::gateway(edge::program_context& program, const gateway_settings& settings)
    : program_(program), settings_(settings), log_(settings.name, settings.request_lines),
      context_(settings_, loop_, log_, *program.metrics), store_(client_, settings.store, store_call_timeout),
      lease_store_client_(client_, settings.store, lease_call_timeout),
      forwarder_(context_, client_,
                 [this](const caller_request_ptr& request) { admission_.on_request_finished(request); }),
      dispatcher_(
          context_,
          {[this](const caller_request_ptr& request, const std::string& target) {
               forwarder_.send(request, target);
           },
           [this](const caller_request_ptr& request, core::dispatch::obstacle why, duration retry_after) {
               forwarder_.refuse(request, 503, core::dispatch::name_of(why), retry_after);
           },
           [this] { peers_.notify_order_giver(); }, [this] { peers_.notify_urgent_updates(); }}),
      admission_(context_, forwarder_, dispatcher_,
                 [this](std::function<void(bool)> on_done) { watch_.confirm_targets(std::move(on_done)); }),
      notices_(context_, dispatcher_, forwarder_, admission_), guard_(context_),
      watch_(context_, store_,
             {[this](std::string text) {
                  config_page_.change(std::move(text));
                  update_readiness();
                  dispatcher_.schedule_dispatch();
              },
              [this] {
                  update_readiness();
                  dispatcher_.schedule_dispatch();
                  peers_.notify_urgent_updates();
              },
              [this](const std::map<std::string, store_watch::member>& members) {
                  context_.gateway_count =
                      static_cast<int>(members.size()) + (members.contains(settings_.name) ? 0 : 1);
                  peers_.change_members(members);
                  scaling_.change_members(members);
                  forwarder_.update_budgets();
              }}),
      boot_(unix_ms()), order_giver_(context_, lease_store_client_, client_, dispatcher_, boot_),
      duties_(context_, client_, order_giver_.lease()),
      usage_(context_, duties_, lease_store_client_, client_, boot_),
      updates_(context_,
               {dispatcher_, forwarder_, watch_, client_, [this] { return order_giver_.holdings(); }}),
      peers_(context_, {dispatcher_, watch_, [this] { return order_giver_.gives_orders(); }}, updates_,
             boot_),
      turns_(context_,
             {[this](const std::string& to, const std::string& frame) { peers_.send_to(to, frame); },
              [this] { return peers_.coordinators(); }, [this] { dispatcher_.dispatch_waiting(); },
              [this](const std::string& target) { return dispatcher_.room_at(target); },
              [this](const std::string& from, const std::string& target, int running) {
                  dispatcher_.set_peer_load_at(from, target, running);
              }}),
      scaling_(context_, {dispatcher_, peers_, order_giver_, duties_}),
      acceptor_(loop_, [this](int socket) { accept(socket); }) {
    forwarder_.attach(dispatcher_);
    dispatcher_.attach(turns_);
    peers_.attach(turns_);
    order_giver_.attach(peers_);
    peers_.attach(usage_);
    usage_.attach(peers_);
    context_.history.attach({[this] {
                                 order_giver_.lease().enter_era(context_.history.era());
                                 usage_.enter_era(context_.history.era());
                                 register_self();
                             },
                             [this] { on_store_restored(); }});
    session_callbacks_.on_request = [this](const auto& session, edge::wire_request&& request) {
        admission_.handle_request(session, std::move(request));
    };
    session_callbacks_.on_disconnected = [this](caller_session& session) {
        admission_.on_caller_disconnected(session);
    };
    session_callbacks_.on_drained = [this](caller_session& session) {
        admission_.on_caller_drained(session);
    };
    session_callbacks_.on_closed = [this](caller_session& session) {
        guard_.remove(session);
        sessions_.erase(session.shared_from_this());
    };
    session_callbacks_.ledger = &guard_.ledger();
    session_callbacks_.on_room = [this] { guard_.grant_soon(); };
    session_callbacks_.on_limited = [this](const caller_session& session, const char* action,
                                           const char* reason) { guard_.report(session, action, reason); };
    session_callbacks_.draining = [this] { return context_.draining; };
    session_callbacks_.limits = [this] {
        return context_.config ? context_.config->limits : core::fleet::ingress_limits{};
    };
}

/// Ends the other threads, whose callbacks refer to all parts, then drops the tasks, which hold requests and
/// connections; the parts are destroyed afterwards.
gateway::~gateway() {
    readiness_.reset();
    metrics_.reset();
    client_.stop();
    loop_.discard_tasks();
}

bool gateway::start() {
    log_.write(
        edge::events::process_started, settings_.name,
        {{"version", program_.name}, {"boot", boot_}, {"http", settings_.http}, {"store", settings_.store}});
    if (!acceptor_.listen(settings_.http) || !peers_.start())
        return false;
    const auto serve = [this](const std::string& address, std::size_t max_body, auto handler) {
        edge::http_server_options options;
        options.address = address;
        options.threads = 1;
        options.max_body = max_body;
        options.connection_memory = page_memory;
        options.timeout_s = page_timeout_s;
        options.kept_connections = static_cast<unsigned>(settings_.ingress.page_connections);
        auto created = std::make_unique<edge::http_server>(std::move(options), handler);
        return created->start() ? std::move(created) : nullptr;
    };
    readiness_ = serve(settings_.readiness, 0,
                       [this](const edge::exchange_ptr& exchange) { serve_readiness(exchange); });
    metrics_ = serve(settings_.metrics, max_page_body,
                     [this](const edge::exchange_ptr& exchange) { serve_metrics(exchange); });
    if (!readiness_ || !metrics_)
        return false;
    watch_.start();
    order_giver_.start([this] { watch_.watch_closely(); });
    duties_.start();
    usage_.start();
    housekeeping();
    return true;
}

void gateway::run() {
    loop_.run();
    log_.write(edge::events::process_stopped, settings_.name, {{"open_requests", cut_at_stop_}});
}

// ---- process ---------------------------------------------------------------------------------------

void gateway::accept(int socket) {
    if (!guard_.make_place(socket)) {
        ::close(socket);
        return;
    }
    auto created = std::make_shared<caller_session>(loop_, session_callbacks_);
    sessions_.insert(created);
    created->start(socket);
    guard_.add(*created);
}

void gateway::serve_readiness(const edge::exchange_ptr& exchange) {
    const bool known = exchange->request().path == platform::readiness_path;
    const bool ready = program_.ready && !program_.stopping;
    exchange->respond({!known ? 404 : ready ? 200 : 503, {}, ""});
}

void gateway::serve_metrics(const edge::exchange_ptr& exchange) {
    if (exchange->request().path == peer_config_path)
        return config_page_.serve(exchange);
    if (exchange->request().path == "/peer/lease")
        return order_giver_.lease().store().serve(exchange);
    if (usage_.due() && exchange->request().path == "/peer/duties")
        return usage_.store().serve(exchange);
    if (!edge::answer_operations(exchange, program_))
        exchange->respond({404, {}, ""});
}

void gateway::update_readiness() {
    program_.ready = context_.informed() && context_.directory.loaded();
}

void gateway::schedule_registration(duration after) {
    loop_.schedule(loop_.now() + after, [this] { register_self(); });
}

/// Registers this gateway's peer address in the store. Retries until it is stored.
void gateway::register_self() {
    const nlohmann::json spec =
        platform::encode_registration({settings_.peers, boot_, context_.history.era(),
                                       context_.history.first_era(), settings_.data_centre});
    store_.create(platform::routers_kind, settings_.name, spec, [this, spec](platform::store_reply&& reply) {
        loop_.post([this, spec, reply = std::move(reply)]() mutable {
            context_.history.note(reply, "register");
            if (reply.result == platform::store_result::ok)
                return;
            if (reply.result != platform::store_result::conflict || reply.objects.empty())
                return schedule_registration(register_retry_delay);
            if (reply.objects.front().spec == spec)
                return; // stored by an earlier attempt whose answer was lost
            // A condition that hits another change of the own object by chance does no harm.
            store_.replace(platform::routers_kind, settings_.name, reply.objects.front().changed, spec,
                           [this](platform::store_reply&& second) {
                               loop_.post([this, second = std::move(second)]() mutable {
                                   context_.history.note(second, "register");
                                   if (second.result != platform::store_result::ok)
                                       schedule_registration(register_retry_delay);
                               });
                           });
        });
    });
}

/// All gateways learn of a restore at about the same time: their registrations are spread over a short time.
void gateway::on_store_restored() {
    order_giver_.lease().enter_era(context_.history.era());
    usage_.enter_era(context_.history.era());
    watch_.list_again();
    const auto spread =
        core::common::hash_of(settings_.name, boot_) % static_cast<std::uint64_t>(register_spread.count());
    schedule_registration(milliseconds{static_cast<std::int64_t>(spread)});
}

void gateway::housekeeping() {
    const auto now = loop_.now();
    for (const std::string& id : context_.directory.expire(now)) {
        log_.write(edge::events::target_changed, id, {{"change", "lapsed"}});
    }
    if (context_.centres.expire(now))
        watch_.centres_changed(context_.centres.known_at(), "hold");
    update_readiness();
    watch_.read_if_old(now);
    dispatcher_.remove_missing_targets();
    turns_.remove_missing_targets();
    notices_.step();
    scaling_.step();
    dispatcher_.update_speeds();
    turns_.tick();
    update_metrics(now);
    guard_.sweep();
    report_pages();
    reload_if_changed();
    if (program_.stopping && !context_.draining)
        begin_drain();
    if (context_.draining)
        drain_step();
    loop_.schedule(now + housekeeping_interval, [this] { housekeeping(); });
}

void gateway::update_metrics(time_point now) {
    context_.metrics.connections_opened.Set(static_cast<double>(dispatcher_.connection_counters().opened));
    context_.metrics.connections_reused.Set(static_cast<double>(dispatcher_.connection_counters().reused));
    context_.metrics.gateways_heard.Set(peers_.in_contact());
    context_.metrics.rate_part.Set(context_.quota.available_part(now));
    watch_.report_ages(now);
}

void gateway::report_pages() {
    const auto closed_at_readiness = readiness_->take_evicted();
    if (closed_at_readiness.connections > 0)
        guard_.report_page("readiness_page", closed_at_readiness.peer, closed_at_readiness.connections);
    const auto closed_at_metrics = metrics_->take_evicted();
    if (closed_at_metrics.connections > 0)
        guard_.report_page("metrics_page", closed_at_metrics.peer, closed_at_metrics.connections);
}

/// Reloads on SIGHUP and when the settings file was modified.
void gateway::reload_if_changed() {
    const auto now = loop_.now();
    const int reloads = program_.reloads;
    if (reloads == reloads_seen_ && now - settings_checked_at_ < settings_check_interval)
        return;
    std::error_code failure;
    const auto modified = std::filesystem::last_write_time(program_.config, failure);
    const bool changed = !failure && modified != settings_modified_;
    const bool first = settings_checked_at_ == time_point{};
    settings_checked_at_ = now;
    settings_modified_ = failure ? settings_modified_ : modified;
    if (reloads != reloads_seen_ || (changed && !first))
        reload();
    reloads_seen_ = reloads;
}

/// Applies the settings that can change at run time. Invalid settings are refused as a whole.
void gateway::reload() {
    gateway_settings new_settings;
    const auto faults = edge::settings_file::load(program_.config, [&](edge::settings_section& top) {
        new_settings.name = top.text("name");
        edge::set_log_level(top.text("log_level", "info"));
        read_settings(top, new_settings);
    });
    if (!faults.empty())
        return log_.write(edge::events::settings_refused, program_.config,
                          {{"why", edge::describe(program_.config, faults)}});
    const bool needs_restart =
        new_settings.http != settings_.http || new_settings.readiness != settings_.readiness ||
        new_settings.metrics != settings_.metrics || new_settings.peers != settings_.peers ||
        new_settings.store != settings_.store || new_settings.name != settings_.name;
    settings_.lease_term = new_settings.lease_term;
    settings_.drain = new_settings.drain;
    settings_.retries = new_settings.retries;
    settings_.placing = new_settings.placing;
    settings_.request_lines = new_settings.request_lines;
    settings_.prompt_tokens_at_once = new_settings.prompt_tokens_at_once;
    settings_.prompt_tokens_per_second = new_settings.prompt_tokens_per_second;
    settings_.learn_speeds = new_settings.learn_speeds;
    settings_.shared_room = new_settings.shared_room;
    settings_.view_limits = new_settings.view_limits;
    settings_.ingress = new_settings.ingress;
    guard_.change_settings();
    log_.limit_request_lines(new_settings.request_lines);
    forwarder_.update_budgets();
    log_.write(edge::events::settings_reloaded, program_.config, {{"addresses_need_restart", needs_restart}});
}

void gateway::begin_drain() {
    context_.draining = true;
    context_.drain_started = loop_.now();
    log_.write(edge::events::process_stopping, settings_.name,
               {{"open_requests", admission_.open_requests()}});
    order_giver_.lease().release();
}

void gateway::drain_step() {
    const auto lasted = loop_.now() - context_.drain_started;
    if (lasted > drain_accept_period)
        dispatcher_.refuse_all(drain_retry_after);
    const bool out_of_time = lasted > settings_.drain - drain_reserve;
    const bool unsent = std::any_of(sessions_.begin(), sessions_.end(),
                                    [](const auto& session) { return session->unsent() > 0; });
    if (!out_of_time && (lasted < min_drain_time || admission_.open_requests() > 0 || unsent))
        return;
    if (admission_.open_requests() > 0) {
        cut_at_stop_ = admission_.open_requests();
        return admission_.end_open_requests(); // their answers are sent until the next step
    }
    peers_.announce_leaving();
    if (usage_.due()) // once more: the totals in it would be lost with the datagram
        peers_.announce_leaving();
    const auto open = sessions_;
    for (const auto& session : open)
        session->close_if_idle();
    loop_.stop();
}

} // namespace waxwinglb::programs::gateway
