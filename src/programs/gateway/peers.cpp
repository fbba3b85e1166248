#include "programs/gateway/peers.hpp"

#include "core/common/hash.hpp"
#include "core/membership/store_readers.hpp"

#include <array>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;

constexpr milliseconds min_status_interval{15};    // between two messages sent because of events
constexpr milliseconds config_fetch_interval{400}; // between two reads of the configuration from a peer
constexpr milliseconds config_fetch_timeout{1'500};
constexpr std::size_t max_datagram = 65'000; // bytes
constexpr std::size_t length_prefix = 4;     // of a frame; not sent, since a datagram has its own length
constexpr std::size_t max_demands = 200;     // in one message; more are left out, in order of model name
constexpr double min_reported_rate = 0.01;   // arrivals a second; lower rates are not reported
constexpr milliseconds order_giver_retention{10'000}; // a silent order giver gets details for that long

std::int64_t wire_ms(core::common::duration value) {
    return core::common::to_wire_ms(value);
}

core::fleet::target_entry decode(const wire::target_registration& registration) {
    core::fleet::target_entry out;
    out.id = registration.target;
    out.born = registration.born;
    out.service = registration.service_name;
    out.address = registration.address;
    out.data_centre = registration.data_centre;
    out.slots = registration.slots;
    out.draining = registration.draining;
    out.cold_left = milliseconds{registration.cold_ms};
    return out;
}

} // namespace

peers::peers(gateway_context& context, dependencies used, std::int64_t boot)
    : context_(context), dependencies_(std::move(used)), boot_(boot) {}

peers::~peers() {
    if (socket_.get_handle() == ACE_INVALID_HANDLE)
        return;
    context_.loop.reactor().remove_handler(this, ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
    socket_.close();
}

bool peers::start() {
    const ACE_INET_Addr own{context_.settings.peers.c_str()};
    if (socket_.open(own) != 0)
        return false;
    socket_.enable(ACE_NONBLOCK);
    context_.loop.reactor().register_handler(this, ACE_Event_Handler::READ_MASK);
    tick();
    return true;
}

void peers::change_members(const std::map<std::string, std::string>& addresses) {
    addresses_ = addresses;
    addresses_.erase(context_.settings.name);
}

void peers::tick() {
    log_silent_peers();
    holdings_updates_.forget_old(context_.loop.now());
    starts_updates_.forget_old(context_.loop.now());
    send_status(audience::all_peers);
    const auto period = core::membership::announcement_period(addresses_.size() + 1);
    context_.loop.schedule(context_.loop.now() + period, [this] { tick(); });
}

void peers::schedule_status(audience to) {
    if (to == audience::all_peers)
        scheduled_audience_ = to;
    if (status_scheduled_)
        return;
    status_scheduled_ = true;
    context_.loop.schedule(std::max(context_.loop.now(), status_sent_at_ + min_status_interval), [this] {
        status_scheduled_ = false;
        send_status(std::exchange(scheduled_audience_, audience::order_giver));
    });
}

void peers::notify_all() {
    schedule_status(audience::all_peers);
}

void peers::notify_order_giver() {
    schedule_status(audience::order_giver);
}

void peers::notify_departures() {
    std::string text;
    for (const auto& target : context_.directory.leaving_targets())
        text.append(target.id).append(" ").append(std::to_string(target.born)).append(" ");
    for (const std::string& centre : context_.centres.out())
        text.append(centre).append(" ");
    const std::uint64_t departures = core::common::hash_of(text);
    if (std::exchange(announced_departures_, departures) != departures)
        notify_all();
}

void peers::announce_leaving() {
    leaving_ = true;
    send_status(audience::all_peers);
}

void peers::send_to(const std::string& peer, const std::string& frame) {
    if (const auto known = addresses_.find(peer); known != addresses_.end())
        send(known->second, frame);
}

std::vector<std::string> peers::gateways_in_contact() const {
    const auto now = context_.loop.now();
    std::vector<std::string> out{context_.settings.name};
    for (const auto& [name, peer] : known_peers_) {
        if (peer.hears_us && peer.in_contact(now) && !peer.status.leaving)
            out.push_back(name);
    }
    return out;
}

bool peers::reads_store_closely(bool gives_orders) const {
    const auto now = context_.loop.now();
    core::membership::reader_view view{gives_orders, false, false, false};
    for (const auto& [name, peer] : known_peers_) {
        const bool reads = peer.in_contact(now) && !peer.status.wants_registrations;
        view.hears_order_giver = view.hears_order_giver || (reads && peer.status.gives_orders);
        view.hears_other_reader = view.hears_other_reader || (reads && peer.status.reads_store);
    }
    if (!view.gives_orders && !view.hears_order_giver)
        view.is_substitute =
            core::membership::is_substitute_reader(context_.settings.name, gateways_in_contact());
    return core::membership::reads_closely(view);
}

bool peers::hears_order_giver() const {
    const auto now = context_.loop.now();
    return std::any_of(known_peers_.begin(), known_peers_.end(), [&](const auto& peer) {
        return peer.second.in_contact(now) && peer.second.status.gives_orders;
    });
}

bool peers::gives_orders(const std::string& peer) const {
    const auto known = known_peers_.find(peer);
    return known != known_peers_.end() && known->second.status.gives_orders &&
           context_.loop.now() - known->second.received_at <= order_giver_retention;
}

/// The status that all peers get.
wire::peer_status peers::status() const {
    wire::peer_status out;
    out.process = context_.settings.name;
    out.address = context_.settings.peers;
    out.boot = boot_;
    out.sequence = sequence_;
    out.leaving = leaving_;
    out.gives_orders = dependencies_.gives_orders();
    for (const auto& [name, peer] : known_peers_)
        if (peer.in_contact(context_.loop.now()))
            out.heard.push_back(name);
    out.config_version = context_.config ? context_.config->version : 0;
    out.config_address = context_.settings.metrics;
    out.centres_era = context_.centres.known_at().era;
    out.centres_revision = context_.centres.known_at().revision;
    out.centres_out.assign(context_.centres.listed().begin(), context_.centres.listed().end());
    for (const auto& [centre, until] : context_.centres.held()) {
        wire::held_centre hold;
        hold.data_centre = centre;
        hold.left_ms = wire_ms(until - context_.loop.now());
        out.centres_held.push_back(std::move(hold));
    }
    out.informed = context_.informed();
    for (const auto& [target, running] : dependencies_.dispatch.own_loads()) {
        wire::target_load load;
        load.target = target;
        load.running = running;
        out.loads.push_back(std::move(load));
    }
    for (const auto& [customer, tokens] : context_.quota.taken()) {
        wire::customer_use use;
        use.customer = customer;
        use.tokens = tokens;
        out.customers.push_back(std::move(use));
    }
    for (const auto& leaving : context_.directory.leaving_targets()) {
        wire::leaving_target entry;
        entry.target = leaving.id;
        entry.born = leaving.born;
        out.leaving_targets.push_back(std::move(entry));
    }
    out.reads_store = context_.reads_store_closely;
    out.wants_registrations = !dependencies_.watch.reads_targets();
    for (const auto& [fingerprint, count] : dependencies_.forward.connection_breaks())
        if (count > 1) { // a single broken connection is common
            wire::quarantine suspect;
            suspect.fingerprint = std::to_string(fingerprint);
            suspect.crashes = count;
            out.suspects.push_back(std::move(suspect));
        }
    return out;
}

/// Adds targets' models and starts (also of targets that became cold) that changed or are due for resending.
void peers::add_target_updates(wire::peer_status& to) {
    const auto now = context_.loop.now();
    for (auto& holding : dependencies_.holdings()) {
        std::string content =
            std::to_string(holding.born).append(" ").append(std::to_string(holding.sequence));
        for (const std::string& model : holding.models)
            content.append(" ").append(model);
        for (const auto& load : holding.coming)
            content.append(" +").append(load.model);
        if (holdings_updates_.due(holding.target, core::common::hash_of(content), now))
            to.holdings.push_back(std::move(holding));
    }
    for (auto& registration : registrations()) {
        const std::string content = std::to_string(registration.born) + registration.address +
                                    (registration.cold_ms > 0 ? " cold" : "");
        if (!registration.draining &&
            starts_updates_.due(registration.target, core::common::hash_of(content), now))
            to.starts.push_back(std::move(registration));
    }
}

/// Adds use and demand of models, which the order giver needs for planning.
void peers::add_demand_details(wire::peer_status& to) const {
    const auto now = context_.loop.now();
    for (const auto& [key, use] : dependencies_.dispatch.usage()) {
        wire::target_use entry;
        entry.target = key.first;
        entry.model = core::fleet::to_text(key.second);
        entry.running = use.running;
        entry.idle_ms = wire_ms(now - use.last_used);
        to.uses.push_back(std::move(entry));
    }
    const auto waiting = dependencies_.dispatch.waiting_by_model();
    for (const auto& [ref, rate] : dependencies_.dispatch.arrival_rates()) {
        const auto sum = waiting.find(ref);
        if ((rate.per_second < min_reported_rate && sum == waiting.end()) || to.demands.size() >= max_demands)
            continue;
        wire::model_demand demand;
        demand.service_name = rate.service;
        demand.model = core::fleet::to_text(ref);
        demand.per_second = rate.per_second;
        if (sum != waiting.end()) {
            demand.waiting = sum->second.count;
            demand.oldest_ms = wire_ms(now - sum->second.oldest);
            demand.priority = sum->second.priority;
        }
        to.demands.push_back(std::move(demand));
    }
}

/// Encodings of one message for different receivers, each made on first use.
struct peers::frame_cache {
    const wire::peer_status base;
    std::map<std::pair<bool, bool>, std::string> encoded; // by (details, registrations)

    const std::string& find(const peers& from, bool details, bool registrations) {
        std::string& frame = encoded[{details, registrations}];
        if (!frame.empty())
            return frame;
        wire::peer_status full = base;
        if (details)
            from.add_demand_details(full);
        if (registrations)
            full.registrations = from.registrations();
        frame = edge::encode_frame(wire::message_kind::peer_status, full.sequence, full);
        return frame;
    }
};

void peers::send_status(audience to) {
    status_sent_at_ = context_.loop.now();
    const bool has_receiver =
        to == audience::all_peers
            ? !addresses_.empty()
            : std::any_of(addresses_.begin(), addresses_.end(),
                          [&](const auto& member) { return gives_orders(member.first); });
    if (!has_receiver)
        return;
    ++sequence_;
    wire::peer_status base = status();
    if (to == audience::all_peers && base.reads_store)
        add_target_updates(base);
    frame_cache cache{std::move(base), {}};
    for (const auto& [name, address] : addresses_) {
        const bool details = gives_orders(name);
        if (details || to == audience::all_peers)
            send(address, cache.find(*this, details, sends_registrations_to(name)));
    }
}

void peers::send(const std::string& address, const std::string& frame) {
    if (frame.size() > max_datagram)
        return context_.log.write(edge::events::lines_dropped, "peer_status", {{"bytes", frame.size()}});
    const ACE_INET_Addr to{address.c_str()};
    socket_.send(frame.data() + length_prefix, frame.size() - length_prefix, to);
    context_.metrics.peer_bytes.Increment(static_cast<double>(frame.size()));
}

int peers::handle_input(ACE_HANDLE) {
    std::array<char, max_datagram> bytes;
    for (;;) {
        ACE_INET_Addr from;
        const auto count = socket_.recv(bytes.data(), bytes.size(), from);
        if (count <= 0)
            return 0;
        if (const auto frame = edge::decode_frame({bytes.data(), static_cast<std::size_t>(count)}))
            handle(*frame);
    }
}

/// Malformed datagrams and unknown kinds are ignored.
void peers::handle(const edge::frame& frame) {
    switch (frame.header.kind) {
    case wire::message_kind::peer_status:
        if (const auto status = edge::decode_body<wire::peer_status>(frame.body))
            handle(*status);
        return;
    case wire::message_kind::turn_request:
        if (const auto request = edge::decode_body<wire::turn_request>(frame.body))
            turns_->handle(*request);
        return;
    case wire::message_kind::turn_answer:
        if (const auto answer = edge::decode_body<wire::turn_answer>(frame.body))
            turns_->handle(*answer);
        return;
    case wire::message_kind::turn_use:
        if (const auto use = edge::decode_body<wire::turn_use>(frame.body))
            turns_->handle(*use);
        return;
    default:
        return;
    }
}

void peers::handle(const wire::peer_status& status) {
    if (status.process == context_.settings.name)
        return;
    const auto now = context_.loop.now();
    peer_state& known = known_peers_[status.process];
    if (known.status.boot == status.boot && status.sequence <= known.status.sequence)
        return;                  // older than the newest message
    if (!status.address.empty()) // the only source of addresses while the store can't be read
        addresses_[status.process] = status.address;
    if (silent_peers_.erase(status.process) > 0)
        context_.log.write(edge::events::peer_regained, status.process);
    const bool hears_us =
        std::find(status.heard.begin(), status.heard.end(), context_.settings.name) != status.heard.end();
    known = {status, now, hears_us};
    core::limits::taken_tokens taken;
    for (const auto& use : status.customers)
        taken[use.customer] = use.tokens;
    context_.quota.merge_report(status.process, status.boot, std::move(taken), hears_us, now);
    if (status.leaving)
        context_.quota.mark_departed(status.process);
    std::map<std::string, int> running;
    for (const auto& load : status.loads)
        running[load.target] = load.running;
    dependencies_.dispatch.set_peer_load(status.process, std::move(running));
    for (const auto& suspect : status.suspects)
        dependencies_.forward.merge_connection_breaks(std::strtoull(suspect.fingerprint.c_str(), nullptr, 10),
                                                      suspect.crashes);
    if (status.gives_orders && dependencies_.watch.reads_targets())
        context_.directory.note_order_giver_store_access(!status.wants_registrations, now);
    apply_store_state(status);
    apply_holdings(status);
}

void peers::apply_centres(const wire::peer_status& status) {
    const auto now = context_.loop.now();
    const core::common::store_position at{status.centres_era, status.centres_revision};
    bool changed =
        context_.centres.merge_from_peer({status.centres_out.begin(), status.centres_out.end()}, at, now);
    for (const auto& hold : status.centres_held)
        changed = context_.centres.hold(hold.data_centre, milliseconds{hold.left_ms}, now) || changed;
    if (changed)
        dependencies_.watch.centres_changed(at, status.process);
}

bool peers::knows_all_of(const wire::peer_status& status) const {
    const core::common::store_position centres_at{status.centres_era, status.centres_revision};
    return context_.config && context_.config->version >= status.config_version &&
           context_.centres.known_at() >= centres_at;
}

void peers::apply_store_state(const wire::peer_status& status) {
    apply_centres(status);
    for (const auto& target : status.leaving_targets)
        context_.directory.mark_leaving({target.target, target.born});
    for (const auto& start : status.starts)
        context_.directory.merge_from_peer(decode(start), context_.loop.now());
    if (!status.registrations.empty() && !dependencies_.watch.reads_targets())
        adopt_registrations(status);
    const std::int64_t own = context_.config ? context_.config->version : 0;
    if (status.informed && knows_all_of(status) && context_.directory.loaded())
        context_.start.informed_by_peer();
    if (status.config_version > own && context_.loop.now() >= config_fetched_at_ + config_fetch_interval)
        fetch_config(status.config_address);
}

/// Whether `peer` can't read the store and this gateway is one of the few that send it the registrations.
bool peers::sends_registrations_to(const std::string& peer) const {
    const auto requester = known_peers_.find(peer);
    if (!dependencies_.watch.reads_targets() || requester == known_peers_.end() ||
        !requester->second.status.wants_registrations || !requester->second.in_contact(context_.loop.now()))
        return false;
    std::vector<std::string> informers;
    for (const auto& [name, state] : known_peers_) {
        const auto& heard = state.status.heard;
        if (state.in_contact(context_.loop.now()) && !state.status.wants_registrations &&
            std::find(heard.begin(), heard.end(), peer) != heard.end())
            informers.push_back(name);
    }
    return core::membership::is_informant(context_.settings.name, peer, informers);
}

std::vector<wire::target_registration> peers::registrations() const {
    const auto now = context_.loop.now();
    std::vector<wire::target_registration> out;
    for (const auto& [id, target] : context_.directory.targets()) {
        wire::target_registration registration;
        registration.target = id;
        registration.born = target.entry.born;
        registration.service_name = target.entry.service;
        registration.address = target.entry.address;
        registration.data_centre = target.entry.data_centre;
        registration.slots = target.entry.slots;
        registration.draining = target.leaving();
        registration.cold_ms = std::max<std::int64_t>(0, wire_ms(target.cold_until - now));
        out.push_back(std::move(registration));
    }
    return out;
}

void peers::adopt_registrations(const wire::peer_status& status) {
    std::vector<core::fleet::target_entry> entries;
    for (const auto& registration : status.registrations)
        entries.push_back(decode(registration));
    context_.directory.adopt(entries, context_.loop.now());
    dependencies_.dispatch.schedule_dispatch();
}

void peers::apply_holdings(const wire::peer_status& status) {
    for (const auto& holding : status.holdings) {
        std::map<std::string, std::vector<std::string>> models;
        for (const std::string& text : holding.models) {
            const auto ref = core::fleet::parse_model_ref(text);
            auto& adapters = models[ref.model];
            if (!ref.adapter.empty())
                adapters.push_back(ref.adapter);
        }
        const auto now = context_.loop.now();
        std::map<std::string, core::common::time_point> coming;
        for (const auto& load : holding.coming)
            coming[load.model] = now + milliseconds{load.ready_ms};
        context_.directory.describe(holding.target, holding.born, holding.sequence, models, coming, now);
    }
    if (!status.holdings.empty())
        dependencies_.dispatch.schedule_dispatch();
}

void peers::fetch_config(const std::string& address) {
    config_fetched_at_ = context_.loop.now();
    edge::client_request request;
    request.url = "http://" + address + "/peer/config";
    request.timeout = config_fetch_timeout;
    dependencies_.client.send(std::move(request), [this, address](edge::client_result&& answer) {
        context_.loop.post([this, address, answer = std::move(answer)] {
            if (answer.outcome != edge::client_outcome::answered || answer.status != 200)
                return context_.log.write(edge::events::peer_lost, address, {{"step", "read configuration"}});
            const auto document = nlohmann::json::parse(answer.body, nullptr, false);
            dependencies_.watch.apply_config(document, address);
        });
    });
}

void peers::log_silent_peers() {
    const auto now = context_.loop.now();
    for (const auto& [name, peer] : known_peers_)
        if (!peer.in_contact(now) && silent_peers_.insert(name).second) {
            context_.log.write(
                edge::events::peer_lost, name,
                {{"silent_ms", wire_ms(now - peer.received_at)}, {"said_leaving", peer.status.leaving}});
            dependencies_.dispatch.set_peer_load(name, {});
        }
}

} // namespace waxwinglb::programs::gateway
