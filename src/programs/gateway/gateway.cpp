#include "programs/gateway/gateway.hpp"

#include "edge/boot_clock.hpp"
#include "edge/log.hpp"
#include "platform/headers.hpp"

#include <xxhash.h>

#include <charconv>

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
constexpr milliseconds drain_least{2'600};     // the balancer needs two unready answers to notice
constexpr milliseconds drain_accepts{2'200};   // then new requests are refused
constexpr milliseconds drain_retry_after{100}; // other gateways serve already
constexpr milliseconds drain_reserve{400};     // of the allowed time, for the end itself
constexpr milliseconds later{1'000};           // Retry-After of a gateway that knows no configuration yet
constexpr std::size_t max_sessions = 900;      // the select reactor serves 1,024 descriptors

std::int64_t unix_ms() {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::uint64_t hash_of(std::string_view text, std::uint64_t seed = 0) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// The last part of a prompt's prefix names its session.
std::uint64_t session_of(const std::string& prefix) {
    const auto comma = prefix.rfind(',');
    const std::string_view last = std::string_view{prefix}.substr(comma == std::string::npos ? 0 : comma + 1);
    return hash_of(last.substr(0, last.find(':')));
}

/// Sum of "PROMPT,MOST_OUTPUT"; nullopt if malformed.
std::optional<double> tokens_of(const std::string& text) {
    const auto comma = text.find(',');
    std::int64_t first = 0;
    std::int64_t second = 0;
    if (comma == std::string::npos)
        return std::nullopt;
    const auto one = std::from_chars(text.data(), text.data() + comma, first);
    const auto two = std::from_chars(text.data() + comma + 1, text.data() + text.size(), second);
    if (one.ec != std::errc{} || two.ec != std::errc{} || first < 0 || second < 0)
        return std::nullopt;
    return static_cast<double>(first + second);
}

} // namespace

gateway::gateway(edge::program_context& program, const gateway_settings& settings)
    : program_(program), settings_(settings), log_(settings.name),
      context_(settings_, loop_, log_, *program.metrics), store_(client_, settings.store, store_timeout),
      lease_calls_(client_, settings.store, lease_timeout),
      forwarder_(context_, [this](const call_ptr& one) { finished(one); }),
      dispatcher_(context_,
                  {[this](const call_ptr& one, const std::string& target) { forwarder_.send(one, target); },
                   [this](const call_ptr& one, core::dispatch::obstacle why, duration retry_after) {
                       forwarder_.refuse(one, 503, core::dispatch::name_of(why), retry_after);
                   },
                   [this] { peers_.tell_order_giver(); }}),
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
      acceptor_(loop_, [this](int socket) { accept(socket); }) {
    forwarder_.attach(dispatcher_);
    order_giver_.attach(peers_);
    session_owner_.on_request = [this](const auto& session, edge::wire_request&& request) {
        on_request(session, std::move(request));
    };
    session_owner_.on_gone = [this](caller_session& session) {
        const auto found = calls_.find(&session);
        if (found != calls_.end())
            forwarder_.abandon(call_ptr{found->second});
    };
    session_owner_.on_drained = [this](caller_session& session) {
        const auto found = calls_.find(&session);
        if (found != calls_.end())
            forwarder_.caller_drained(found->second);
    };
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
    order_giver_.start();
    housekeeping();
    return true;
}

void gateway::run() {
    loop_.run();
    log_.write(edge::events::process_stopped, settings_.name, {{"open_requests", calls_.size()}});
}

// ---- admission -------------------------------------------------------------------------------------

void gateway::on_request(const std::shared_ptr<caller_session>& session, edge::wire_request&& request) {
    static const core::fleet::route no_route;
    auto one = std::make_shared<call>();
    one->session = session;
    one->request = std::move(request);
    one->config = context_.config;
    one->route = &no_route;
    one->arrived = loop_.now();
    one->deadline = one->arrived + later;
    calls_[session.get()] = one;
    if (const std::string* id = edge::find_field(one->request.fields, platform::request_id_header))
        one->request_id = *id;
    if (!one->config) {
        one->config = std::make_shared<const core::fleet::config>();
        return reject(one, 503, "no_configuration", later);
    }
    if (one->request_id.empty())
        return reject(one, 400, "no_request_id");
    // A request that comes late in a drain might outlast the process.
    if (context_.ending && loop_.now() - drain_began_ > drain_accepts)
        return reject(one, 503, "ending", drain_retry_after);
    if (!find_route(one) || !identify_caller(one) || !read_deadline(one) || !charge(one))
        return;
    one->timer = loop_.schedule(one->deadline, [this, one] { forwarder_.deadline_passed(one); });
    dispatcher_.submit(one);
}

bool gateway::find_route(const call_ptr& one) {
    const std::string* host = edge::find_field(one->request.fields, "Host");
    const auto* route = host == nullptr ? nullptr : one->config->find_route(*host, one->request.path());
    if (route == nullptr || route->destinations.empty()) {
        reject(one, 404, "no_route");
        return false;
    }
    one->route = route;
    one->priority = route->priority;
    int sum = 0;
    for (const auto& destination : route->destinations)
        sum += std::max(0, destination.weight);
    int place = sum > 0 ? static_cast<int>(hash_of(one->request_id) % static_cast<std::uint64_t>(sum)) : 0;
    for (const auto& destination : route->destinations) {
        place -= std::max(0, destination.weight);
        if (place < 0 || sum == 0) {
            one->service = destination.service;
            break;
        }
    }
    return true;
}

bool gateway::identify_caller(const call_ptr& one) {
    if (one->route->open || one->config->customers.empty())
        return true;
    const std::string* key = edge::find_field(one->request.fields, platform::key_header);
    const auto* customer = key == nullptr ? nullptr : one->config->owner_of(*key);
    if (customer == nullptr) {
        reject(one, 401, key == nullptr ? "no_key" : "unknown_key");
        return false;
    }
    one->customer = customer->name;
    one->priority = customer->priority.value_or(one->priority);
    one->tokens = customer->tokens_without_count;
    return true;
}

bool gateway::read_deadline(const call_ptr& one) {
    auto left = one->route->timeout;
    if (const std::string* text = edge::find_field(one->request.fields, platform::deadline_header)) {
        std::int64_t value = 0;
        const auto [end, failure] = std::from_chars(text->data(), text->data() + text->size(), value);
        if (failure != std::errc{} || end != text->data() + text->size()) {
            reject(one, 400, "malformed_deadline");
            return false;
        }
        left = std::min(left, milliseconds{value});
    }
    one->deadline = one->arrived + left;
    if (left.count() > 0)
        return true;
    reject(one, 503, "deadline_passed");
    return false;
}

/// Reads what the request asks for and takes its tokens from the customer's rate.
bool gateway::charge(const call_ptr& one) {
    const auto& fields = one->request.fields;
    if (const std::string* model = edge::find_field(fields, platform::model_header))
        one->model = core::fleet::parse_model_wish(*model);
    const auto* service = one->config->find_service(one->service);
    if (service == nullptr || !service->engine)
        one->model = {};
    else if (!one->model.model.empty() && !core::fleet::offers(*service->engine, one->model)) {
        reject(one, 503, "unknown_model");
        return false;
    }
    if (const std::string* text = edge::find_field(fields, platform::tokens_header)) {
        const auto tokens = tokens_of(*text);
        if (!tokens) {
            reject(one, 400, "malformed_token_count");
            return false;
        }
        one->tokens = *tokens;
    }
    if (const std::string* prefix = edge::find_field(fields, platform::prefix_header);
        prefix && one->route->sticky)
        one->sticky_session = session_of(*prefix);
    one->fingerprint = hash_of(one->request.body, hash_of(one->request.target, hash_of(one->customer)));
    if (forwarder_.condemned(one->fingerprint)) {
        reject(one, 503, "condemned");
        return false;
    }
    if (one->customer.empty())
        return true;
    const auto quota = context_.quota.take(one->customer, one->tokens, loop_.now());
    if (!quota.granted) {
        log_.write(edge::events::rate_refused, one->request_id,
                   {{"customer", one->customer},
                    {"tokens", one->tokens},
                    {"level", context_.quota.level(one->customer)},
                    {"available_part", context_.quota.available_part(loop_.now())},
                    {"retry_ms", core::common::to_wire_ms(quota.retry_after)}});
        reject(one, 429, "over_rate", quota.retry_after);
    }
    return quota.granted;
}

void gateway::reject(const call_ptr& one, int status, const std::string& reason, duration retry_after) {
    one->tokens = 0;
    forwarder_.refuse(one, status, reason, retry_after);
}

void gateway::finished(const call_ptr& one) {
    if (one->sends == 0 && one->tokens > 0)
        context_.quota.give_back(one->customer, one->tokens);
    calls_.erase(one->session.get());
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
    context_.numbers.connections_opened.Set(static_cast<double>(dispatcher_.connections().opened));
    context_.numbers.connections_reused.Set(static_cast<double>(dispatcher_.connections().reused));
    reload_if_changed();
    if (program_.stopping && !context_.ending)
        begin_drain();
    if (context_.ending)
        drain_step();
    loop_.schedule(now + housekeeping_every, [this] { housekeeping(); });
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
    forwarder_.change_members();
    log_.write(edge::events::settings_reloaded, program_.config, {{"addresses_need_restart", needs_restart}});
}

void gateway::begin_drain() {
    context_.ending = true;
    drain_began_ = loop_.now();
    log_.write(edge::events::process_stopping, settings_.name, {{"open_requests", calls_.size()}});
    order_giver_.lease().release();
}

void gateway::drain_step() {
    const auto lasted = loop_.now() - drain_began_;
    if (lasted > drain_accepts)
        dispatcher_.refuse_all(drain_retry_after);
    const bool out_of_time = lasted > settings_.drain - drain_reserve;
    if (!out_of_time && (lasted < drain_least || !calls_.empty()))
        return;
    peers_.say_leaving();
    const auto open = sessions_;
    for (const auto& session : open)
        session->close_if_idle();
    loop_.stop();
}

} // namespace waxwinglb::programs::gateway
