#include "programs/gateway/gateway.hpp"

#include "edge/boot_clock.hpp"
#include "edge/log.hpp"
#include "platform/headers.hpp"

#include <algorithm>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::duration;
using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds lease_timeout{400}; // of a call for the lease: time must be left for another way
constexpr milliseconds store_timeout{600}; // of one call, besides a watch's own wait
constexpr milliseconds housekeeping_every{100};
constexpr milliseconds settings_check_every{1'000};
constexpr milliseconds register_retry{500};
constexpr milliseconds drain_least{2'600}; // the balancer needs two unready answers to notice
constexpr milliseconds drain_reserve{400}; // of the allowed time, for the end itself
constexpr std::size_t max_sessions = 900;  // the select reactor serves 1,024 descriptors

std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

gateway::gateway(edge::program_context& program, const gateway_settings& settings)
    : program_(program), settings_(settings), log_(settings.name, settings.request_lines),
      context_(settings_, loop_, log_, *program.metrics), store_(client_, settings.store, store_timeout),
      lease_calls_(client_, settings.store, lease_timeout),
      forwarder_(context_, [this](const call_ptr& one) { admission_.finished(one); }),
      dispatcher_(context_,
                  {[this](const call_ptr& one, const std::string& target) { forwarder_.send(one, target); },
                   [this](const call_ptr& one, core::dispatch::obstacle why, duration retry_after) {
                       forwarder_.refuse(one, 503, core::dispatch::name_of(why), retry_after);
                   },
                   [this] { peers_.tell_order_giver(); }}),
      admission_(context_, forwarder_, dispatcher_),
      watch_(context_, store_,
             {[this] {
                  {
                      const std::scoped_lock hold{config_mutex_};
                      config_for_peers_ = watch_.config_text();
                  }
                  update_readiness();
                  dispatcher_.pump_soon();
              },
              [this] {
                  update_readiness();
                  dispatcher_.pump_soon();
                  peers_.tell_of_departures();
              },
              [this](const std::map<std::string, std::string>& members) {
                  std::vector<std::string> names;
                  for (const auto& [name, address] : members)
                      names.push_back(name);
                  context_.members =
                      static_cast<int>(members.size()) + (members.contains(settings_.name) ? 0 : 1);
                  context_.quota.change_members(names);
                  peers_.change_members(members);
                  forwarder_.change_members();
              }}),
      boot_(unix_ms()), order_giver_(context_, lease_calls_, client_, dispatcher_, boot_),
      peers_(context_,
             {dispatcher_, forwarder_, watch_, client_, [this] { return order_giver_.gives_orders(); },
              [this] { return order_giver_.holdings(); }},
             boot_),
      turns_(context_,
             {[this](const std::string& to, const std::string& frame) { peers_.send_to(to, frame); },
              [this] { return peers_.gateways_in_contact(); }, [this] { dispatcher_.pump(); }}),
      acceptor_(loop_, [this](int socket) { accept(socket); }) {
    forwarder_.attach(dispatcher_);
    dispatcher_.attach(turns_);
    peers_.attach(turns_);
    order_giver_.attach(peers_);
    session_owner_.on_request = [this](const auto& session, edge::wire_request&& request) {
        admission_.take(session, std::move(request));
    };
    session_owner_.on_gone = [this](caller_session& session) { admission_.caller_left(session); };
    session_owner_.on_drained = [this](caller_session& session) { admission_.caller_drained(session); };
    session_owner_.on_closed = [this](caller_session& session) {
        sessions_.erase(session.shared_from_this());
    };
    session_owner_.ending = [this] { return context_.ending; };
}

bool gateway::start() {
    log_.write(
        edge::events::process_started, settings_.name,
        {{"version", program_.name}, {"boot", boot_}, {"http", settings_.http}, {"store", settings_.store}});
    if (!acceptor_.listen(settings_.http) || !peers_.start())
        return false;
    const auto serve = [this](const std::string& address, auto handler) {
        edge::http_server_options options;
        options.address = address;
        options.threads = 1;
        auto made = std::make_unique<edge::http_server>(std::move(options), handler);
        return made->start() ? std::move(made) : nullptr;
    };
    readiness_ = serve(settings_.readiness, [this](const edge::exchange_ptr& one) { serve_readiness(one); });
    metrics_ = serve(settings_.metrics, [this](const edge::exchange_ptr& one) { serve_metrics(one); });
    if (!readiness_ || !metrics_)
        return false;
    watch_.start();
    register_self();
    order_giver_.start([this] { watch_.follow_closely(); });
    housekeeping();
    return true;
}

void gateway::run() {
    loop_.run();
    log_.write(edge::events::process_stopped, settings_.name, {{"open_requests", admission_.open_calls()}});
}

// ---- the process -----------------------------------------------------------------------------------

void gateway::accept(int socket) {
    if (sessions_.size() >= max_sessions) {
        ::close(socket);
        return;
    }
    const auto limits = context_.config ? context_.config->limits : core::fleet::ingress_limits{};
    auto made = std::make_shared<caller_session>(loop_, limits, session_owner_);
    sessions_.insert(made);
    made->start(socket);
}

void gateway::serve_readiness(const edge::exchange_ptr& exchange) {
    const bool known = exchange->request().path == platform::readiness_path;
    const bool ready = program_.ready && !program_.stopping;
    exchange->respond({!known ? 404 : ready ? 200 : 503, {}, ""});
}

void gateway::serve_metrics(const edge::exchange_ptr& exchange) {
    if (exchange->request().path == "/peer/config") {
        const std::scoped_lock hold{config_mutex_};
        exchange->respond({config_for_peers_.empty() ? 503 : 200, {}, config_for_peers_});
        return;
    }
    if (exchange->request().path == "/peer/lease")
        return order_giver_.lease().store().serve(exchange);
    if (!edge::answer_operations(exchange, program_))
        exchange->respond({404, {}, ""});
}

void gateway::update_readiness() {
    program_.ready = context_.config && context_.directory.loaded();
}

/// Tells the other gateways where this one is; tried until the store has taken it.
void gateway::register_self() {
    const nlohmann::json spec{{"address", settings_.peers}, {"boot", boot_}};
    const auto again = [this] { loop_.schedule(loop_.now() + register_retry, [this] { register_self(); }); };
    store_.create(
        platform::routers_kind, settings_.name, spec, [this, spec, again](platform::store_reply&& reply) {
            loop_.post([this, spec, again, reply = std::move(reply)] {
                if (reply.result == platform::store_result::ok)
                    return;
                if (reply.result != platform::store_result::conflict || reply.objects.empty())
                    return again();
                if (reply.objects.front().spec == spec)
                    return; // an earlier attempt that seemed lost
                store_.replace(platform::routers_kind, settings_.name, reply.objects.front().revision, spec,
                               [this, again](platform::store_reply&& second) {
                                   if (second.result != platform::store_result::ok)
                                       loop_.post(again);
                               });
            });
        });
}

void gateway::housekeeping() {
    const auto now = loop_.now();
    for (const std::string& id : context_.directory.expire(now)) {
        log_.write(edge::events::target_changed, id, {{"change", "lapsed"}});
    }
    dispatcher_.forget_missing();
    turns_.forget_missing();
    tell_metrics(now);
    reload_if_changed();
    if (program_.stopping && !context_.ending)
        begin_drain();
    if (context_.ending)
        drain_step();
    loop_.schedule(now + housekeeping_every, [this] { housekeeping(); });
}

void gateway::tell_metrics(time_point now) {
    context_.numbers.connections_opened.Set(static_cast<double>(dispatcher_.connections().opened));
    context_.numbers.connections_reused.Set(static_cast<double>(dispatcher_.connections().reused));
    const auto& peers = peers_.heard();
    const auto heard = std::count_if(peers.begin(), peers.end(),
                                     [&](const auto& one) { return one.second.in_contact(now); });
    context_.numbers.gateways_heard.Set(static_cast<double>(heard));
    context_.numbers.rate_part.Set(context_.quota.available_part(now));
    watch_.tell_ages(now);
}

/// The settings file may change with a SIGHUP or without one.
void gateway::reload_if_changed() {
    const auto now = loop_.now();
    const int asked = program_.reloads;
    if (asked == reloads_seen_ && now - settings_checked_ < settings_check_every)
        return;
    std::error_code failure;
    const auto written = std::filesystem::last_write_time(program_.config, failure);
    const bool changed = !failure && written != settings_written_;
    const bool first = settings_checked_ == time_point{};
    settings_checked_ = now;
    settings_written_ = failure ? settings_written_ : written;
    if (asked != reloads_seen_ || (changed && !first))
        reload();
    reloads_seen_ = asked;
}

/// Takes over what can change while the process runs; faulty settings change nothing.
void gateway::reload() {
    gateway_settings fresh;
    const auto faults = edge::settings_file::load(program_.config, [&](edge::settings_section& top) {
        fresh.name = top.text("name");
        edge::set_log_level(top.text("log_level", "info"));
        read_settings(top, fresh);
    });
    if (!faults.empty())
        return log_.write(edge::events::settings_refused, program_.config,
                          {{"why", edge::describe(program_.config, faults)}});
    const bool needs_restart = fresh.http != settings_.http || fresh.readiness != settings_.readiness ||
                               fresh.metrics != settings_.metrics || fresh.peers != settings_.peers ||
                               fresh.store != settings_.store || fresh.name != settings_.name;
    settings_.lease_term = fresh.lease_term;
    settings_.drain = fresh.drain;
    settings_.retries = fresh.retries;
    settings_.placing = fresh.placing;
    settings_.request_lines = fresh.request_lines;
    settings_.prompt_tokens_at_once = fresh.prompt_tokens_at_once;
    settings_.prompt_tokens_per_second = fresh.prompt_tokens_per_second;
    log_.limit_request_lines(fresh.request_lines);
    forwarder_.change_members();
    log_.write(edge::events::settings_reloaded, program_.config, {{"addresses_need_restart", needs_restart}});
}

void gateway::begin_drain() {
    context_.ending = true;
    context_.ending_since = loop_.now();
    log_.write(edge::events::process_stopping, settings_.name, {{"open_requests", admission_.open_calls()}});
    order_giver_.lease().release();
}

void gateway::drain_step() {
    const auto lasted = loop_.now() - context_.ending_since;
    if (lasted > drain_accepts)
        dispatcher_.refuse_all(drain_retry_after);
    const bool out_of_time = lasted > settings_.drain - drain_reserve;
    if (!out_of_time && (lasted < drain_least || admission_.open_calls() > 0))
        return;
    peers_.say_leaving();
    const auto open = sessions_;
    for (const auto& session : open)
        session->close_if_idle();
    loop_.stop();
}

} // namespace waxwinglb::programs::gateway
