#include "programs/gateway/peers.hpp"

#include "core/common/hash.hpp"

#include <array>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;

constexpr milliseconds least_pause{15};  // between two messages that events cause
constexpr milliseconds fetch_pause{400}; // between two reads of a configuration from a peer
constexpr milliseconds fetch_timeout{1'500};
constexpr std::size_t max_datagram = 65'000; // bytes
constexpr std::size_t length_prefix = 4;     // of a frame; a datagram tells its own length
constexpr std::size_t most_demands = 200;    // in one message, the busiest first come by name
constexpr double least_rate = 0.01;          // arrivals a second worth telling
constexpr milliseconds order_giver_memory{
    10'000}; // a peer that gave orders is told in detail so long unheard

std::int64_t ms_of(core::common::duration value) {
    return core::common::to_wire_ms(value);
}

core::fleet::target_entry decode(const wire::target_registration& one) {
    core::fleet::target_entry out;
    out.id = one.target;
    out.born = one.born;
    out.service = one.service_name;
    out.address = one.address;
    out.data_centre = one.data_centre;
    out.slots = one.slots;
    out.draining = one.draining;
    out.cold_left = milliseconds{one.cold_ms};
    return out;
}

} // namespace

peers::peers(gateway_context& context, parts with, std::int64_t boot)
    : context_(context), parts_(std::move(with)), boot_(boot) {}

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
    report_silent();
    told_holdings_.forget_old(context_.loop.now());
    told_starts_.forget_old(context_.loop.now());
    tell(audience::everybody);
    const auto period = core::membership::announcement_period(addresses_.size() + 1);
    context_.loop.schedule(context_.loop.now() + period, [this] { tick(); });
}

void peers::tell_soon(audience to) {
    if (to == audience::everybody)
        planned_to_ = to;
    if (tell_planned_)
        return;
    tell_planned_ = true;
    context_.loop.schedule(std::max(context_.loop.now(), told_at_ + least_pause), [this] {
        tell_planned_ = false;
        tell(std::exchange(planned_to_, audience::order_giver));
    });
}

void peers::tell_everybody() {
    tell_soon(audience::everybody);
}

void peers::tell_order_giver() {
    tell_soon(audience::order_giver);
}

void peers::tell_of_departures() {
    std::string all;
    for (const auto& start : context_.directory.leaving_targets())
        all.append(start.id).append(" ").append(std::to_string(start.born)).append(" ");
    for (const std::string& centre : context_.centres_out)
        all.append(centre).append(" ");
    const std::uint64_t now_told = core::common::hash_of(all);
    if (std::exchange(told_departures_, now_told) != now_told)
        tell_everybody();
}

void peers::say_leaving() {
    leaving_ = true;
    tell(audience::everybody);
}

void peers::send_to(const std::string& peer, const std::string& frame) {
    if (const auto known = addresses_.find(peer); known != addresses_.end())
        send(known->second, frame);
}

std::vector<std::string> peers::gateways_in_contact() const {
    const auto now = context_.loop.now();
    std::vector<std::string> out{context_.settings.name};
    for (const auto& [name, peer] : heard_) {
        const auto& heard = peer.status.heard;
        const bool mutual = std::find(heard.begin(), heard.end(), context_.settings.name) != heard.end();
        if (mutual && peer.in_contact(now) && !peer.status.leaving)
            out.push_back(name);
    }
    return out;
}

bool peers::gives_orders(const std::string& peer) const {
    const auto known = heard_.find(peer);
    return known != heard_.end() && known->second.status.gives_orders &&
           context_.loop.now() - known->second.heard_at <= order_giver_memory;
}

/// What everybody is told.
wire::peer_status peers::status() const {
    wire::peer_status out;
    out.process = context_.settings.name;
    out.address = context_.settings.peers;
    out.boot = boot_;
    out.sequence = sequence_;
    out.leaving = leaving_;
    out.gives_orders = parts_.gives_orders();
    for (const auto& [name, peer] : heard_)
        if (peer.in_contact(context_.loop.now()))
            out.heard.push_back(name);
    out.config_version = context_.config ? context_.config->version : 0;
    out.config_address = context_.settings.metrics;
    out.centres_revision = context_.centres_revision;
    out.centres_out.assign(context_.centres_out.begin(), context_.centres_out.end());
    for (const auto& [target, running] : parts_.dispatch.own_loads()) {
        wire::target_load one;
        one.target = target;
        one.running = running;
        out.loads.push_back(std::move(one));
    }
    for (const auto& [customer, tokens] : context_.quota.taken()) {
        wire::customer_use one;
        one.customer = customer;
        one.tokens = tokens;
        out.customers.push_back(std::move(one));
    }
    for (const auto& start : context_.directory.leaving_targets()) {
        wire::leaving_target one;
        one.target = start.id;
        one.born = start.born;
        out.leaving_targets.push_back(std::move(one));
    }
    out.wants_registrations = !parts_.watch.reads_targets();
    for (const auto& [fingerprint, count] : parts_.forward.breaks())
        if (count > 1) { // one broken run is common
            wire::quarantine one;
            one.fingerprint = std::to_string(fingerprint);
            one.crashes = count;
            out.suspects.push_back(std::move(one));
        }
    return out;
}

/// What targets hold, and which started or became cold, as far as it is worth telling now.
void peers::add_news(wire::peer_status& to) {
    const auto now = context_.loop.now();
    for (auto& one : parts_.holdings()) {
        std::string content = std::to_string(one.born).append(" ").append(std::to_string(one.sequence));
        for (const std::string& model : one.models)
            content.append(" ").append(model);
        for (const auto& load : one.coming)
            content.append(" +").append(load.model);
        if (told_holdings_.due(one.target, core::common::hash_of(content), now))
            to.holdings.push_back(std::move(one));
    }
    for (auto& one : registrations()) {
        const std::string content = std::to_string(one.born) + one.address + (one.cold_ms > 0 ? " cold" : "");
        if (!one.draining && told_starts_.due(one.target, core::common::hash_of(content), now))
            to.starts.push_back(std::move(one));
    }
}

/// What the gateway that gives orders needs to plan.
void peers::add_details(wire::peer_status& to) const {
    const auto now = context_.loop.now();
    for (const auto& [key, use] : parts_.dispatch.usage()) {
        wire::target_use one;
        one.target = key.first;
        one.model = core::fleet::to_text(key.second);
        one.running = use.running;
        one.idle_ms = ms_of(now - use.last_used);
        to.uses.push_back(std::move(one));
    }
    const auto waiting = parts_.dispatch.waiting_by_model();
    for (const auto& [wish, rate] : parts_.dispatch.arrival_rates()) {
        const auto sum = waiting.find(wish);
        if ((rate.per_second < least_rate && sum == waiting.end()) || to.demands.size() >= most_demands)
            continue;
        wire::model_demand one;
        one.service_name = rate.service;
        one.model = core::fleet::to_text(wish);
        one.per_second = rate.per_second;
        if (sum != waiting.end()) {
            one.waiting = sum->second.count;
            one.oldest_ms = ms_of(now - sum->second.oldest);
            one.priority = sum->second.priority;
        }
        to.demands.push_back(std::move(one));
    }
}

/// One message in the shapes that different peers get; each is encoded when the first peer needs it.
struct peers::frames {
    const wire::peer_status base;
    std::map<std::pair<bool, bool>, std::string> made; // by (details, registrations)

    const std::string& find(const peers& from, bool details, bool registrations) {
        std::string& frame = made[{details, registrations}];
        if (!frame.empty())
            return frame;
        wire::peer_status full = base;
        if (details)
            from.add_details(full);
        if (registrations)
            full.registrations = from.registrations();
        frame = edge::encode_frame(wire::message_kind::peer_status, full.sequence, full);
        return frame;
    }
};

void peers::tell(audience to) {
    told_at_ = context_.loop.now();
    const bool heard_by_anyone = to == audience::everybody
                                     ? !addresses_.empty()
                                     : std::any_of(addresses_.begin(), addresses_.end(),
                                                   [&](const auto& one) { return gives_orders(one.first); });
    if (!heard_by_anyone)
        return;
    ++sequence_;
    wire::peer_status base = status();
    if (to == audience::everybody && base.gives_orders)
        add_news(base);
    frames shapes{std::move(base), {}};
    for (const auto& [name, address] : addresses_) {
        const bool details = gives_orders(name);
        if (details || to == audience::everybody)
            send(address, shapes.find(*this, details, sends_registrations_to(name)));
    }
}

void peers::send(const std::string& address, const std::string& frame) {
    if (frame.size() > max_datagram)
        return context_.log.write(edge::events::lines_dropped, "peer_status", {{"bytes", frame.size()}});
    const ACE_INET_Addr to{address.c_str()};
    socket_.send(frame.data() + length_prefix, frame.size() - length_prefix, to);
    context_.numbers.peer_bytes.Increment(static_cast<double>(frame.size()));
}

int peers::handle_input(ACE_HANDLE) {
    std::array<char, max_datagram> bytes;
    for (;;) {
        ACE_INET_Addr from;
        const auto count = socket_.recv(bytes.data(), bytes.size(), from);
        if (count <= 0)
            return 0;
        if (const auto frame = edge::decode_frame({bytes.data(), static_cast<std::size_t>(count)}))
            take(*frame);
    }
}

/// Datagrams that are malformed or of an unknown kind are left out.
void peers::take(const edge::frame& frame) {
    switch (frame.header.kind) {
    case wire::message_kind::peer_status:
        if (const auto status = edge::decode_body<wire::peer_status>(frame.body))
            take(*status);
        return;
    case wire::message_kind::turn_request:
        if (const auto question = edge::decode_body<wire::turn_request>(frame.body))
            turns_->take(*question);
        return;
    case wire::message_kind::turn_answer:
        if (const auto answer = edge::decode_body<wire::turn_answer>(frame.body))
            turns_->take(*answer);
        return;
    case wire::message_kind::turn_use:
        if (const auto use = edge::decode_body<wire::turn_use>(frame.body))
            turns_->take(*use);
        return;
    default:
        return;
    }
}

void peers::take(const wire::peer_status& status) {
    if (status.process == context_.settings.name)
        return;
    const auto now = context_.loop.now();
    peer_state& known = heard_[status.process];
    if (known.status.boot == status.boot && status.sequence <= known.status.sequence)
        return;                  // overtaken
    if (!status.address.empty()) // one that can't read the store knows no other way to it
        addresses_[status.process] = status.address;
    if (silent_.erase(status.process) > 0)
        context_.log.write(edge::events::peer_regained, status.process);
    known = {status, now};
    core::limits::taken_tokens taken;
    for (const auto& one : status.customers)
        taken[one.customer] = one.tokens;
    const bool hears_us =
        std::find(status.heard.begin(), status.heard.end(), context_.settings.name) != status.heard.end();
    context_.quota.merge_report(status.process, status.boot, std::move(taken), hears_us, now);
    if (status.leaving)
        context_.quota.mark_departed(status.process);
    std::map<std::string, int> running;
    for (const auto& one : status.loads)
        running[one.target] = one.running;
    parts_.dispatch.peer_load(status.process, std::move(running));
    for (const auto& one : status.suspects)
        parts_.forward.heard_breaks(std::strtoull(one.fingerprint.c_str(), nullptr, 10), one.crashes);
    if (status.gives_orders && parts_.watch.reads_targets())
        context_.directory.note_order_giver_store_access(!status.wants_registrations, now);
    take_store_news(status);
    take_holdings(status);
}

void peers::take_store_news(const wire::peer_status& status) {
    if (status.centres_revision > context_.centres_revision) {
        const std::set<std::string> out{status.centres_out.begin(), status.centres_out.end()};
        context_.centres_revision = status.centres_revision;
        if (out != context_.centres_out) {
            context_.centres_out = out;
            context_.log.write(
                edge::events::data_centres_out, "",
                {{"out", out}, {"revision", status.centres_revision}, {"source", status.process}});
        }
    }
    for (const auto& one : status.leaving_targets)
        context_.directory.mark_leaving(one.target, one.born);
    for (const auto& one : status.starts)
        context_.directory.merge_from_peer(decode(one), context_.loop.now());
    if (!status.registrations.empty() && !parts_.watch.reads_targets())
        adopt_registrations(status);
    const std::int64_t own = context_.config ? context_.config->version : 0;
    if (status.config_version > own && context_.loop.now() >= fetched_at_ + fetch_pause)
        fetch_config(status.config_address);
}

/// Whether `peer` can't read the store and this gateway is one of the few that tell it what the store says.
bool peers::sends_registrations_to(const std::string& peer) const {
    const auto asker = heard_.find(peer);
    if (!parts_.watch.reads_targets() || asker == heard_.end() || !asker->second.status.wants_registrations ||
        !asker->second.in_contact(context_.loop.now()))
        return false;
    std::vector<std::string> others;
    for (const auto& [name, one] : heard_) {
        const auto& heard = one.status.heard;
        if (one.in_contact(context_.loop.now()) && !one.status.wants_registrations &&
            std::find(heard.begin(), heard.end(), peer) != heard.end())
            others.push_back(name);
    }
    return core::membership::is_informant(context_.settings.name, peer, others);
}

std::vector<wire::target_registration> peers::registrations() const {
    const auto now = context_.loop.now();
    std::vector<wire::target_registration> out;
    for (const auto& [id, target] : context_.directory.targets()) {
        wire::target_registration one;
        one.target = id;
        one.born = target.entry.born;
        one.service_name = target.entry.service;
        one.address = target.entry.address;
        one.data_centre = target.entry.data_centre;
        one.slots = target.entry.slots;
        one.draining = target.leaving();
        one.cold_ms = std::max<std::int64_t>(0, ms_of(target.cold_until - now));
        out.push_back(std::move(one));
    }
    return out;
}

void peers::adopt_registrations(const wire::peer_status& status) {
    std::vector<core::fleet::target_entry> entries;
    for (const auto& one : status.registrations)
        entries.push_back(decode(one));
    context_.directory.adopt(entries, context_.loop.now());
    parts_.dispatch.pump_soon();
}

void peers::take_holdings(const wire::peer_status& status) {
    for (const auto& one : status.holdings) {
        std::map<std::string, std::vector<std::string>> models;
        for (const std::string& text : one.models) {
            const auto wish = core::fleet::parse_model_ref(text);
            auto& adapters = models[wish.model];
            if (!wish.adapter.empty())
                adapters.push_back(wish.adapter);
        }
        const auto now = context_.loop.now();
        std::map<std::string, core::common::time_point> coming;
        for (const auto& load : one.coming)
            coming[load.model] = now + milliseconds{load.ready_ms};
        context_.directory.describe(one.target, one.born, one.sequence, models, coming, now);
    }
    if (!status.holdings.empty())
        parts_.dispatch.pump_soon();
}

void peers::fetch_config(const std::string& address) {
    fetched_at_ = context_.loop.now();
    edge::client_request request;
    request.url = "http://" + address + "/peer/config";
    request.timeout = fetch_timeout;
    parts_.client.send(std::move(request), [this, address](edge::client_result&& answer) {
        context_.loop.post([this, address, answer = std::move(answer)] {
            if (answer.outcome != edge::client_outcome::answered || answer.status != 200)
                return context_.log.write(edge::events::peer_lost, address, {{"step", "read configuration"}});
            const auto document = nlohmann::json::parse(answer.body, nullptr, false);
            parts_.watch.offer_config(document, address);
        });
    });
}

void peers::report_silent() {
    const auto now = context_.loop.now();
    for (const auto& [name, peer] : heard_)
        if (!peer.in_contact(now) && silent_.insert(name).second) {
            context_.log.write(
                edge::events::peer_lost, name,
                {{"silent_ms", ms_of(now - peer.heard_at)}, {"said_leaving", peer.status.leaving}});
            parts_.dispatch.peer_load(name, {});
        }
}

} // namespace waxwinglb::programs::gateway
