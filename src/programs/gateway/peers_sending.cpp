/// What the gateways send to each other: contents, receivers and times of the messages.
#include "core/membership/store_readers.hpp"
#include "programs/gateway/peer_codec.hpp"
#include "programs/gateway/peers.hpp"
#include "programs/gateway/usage_reports.hpp"

#include <algorithm>
#include <tuple>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using core::common::to_wire_ms;

// Between two messages sent because of events; more in larger fleets, where each goes to more receivers.
constexpr milliseconds min_status_interval{15};
constexpr std::chrono::microseconds status_interval_per_gateway{500};
// Every gateway reports to order givers. Larger fleets send them details less often, except of what has begun
// to wait.
constexpr milliseconds details_period_per_gateway{3};
constexpr milliseconds start_period{1'000}; // for that long a new peer is sent what it has missed
constexpr std::size_t max_demands = 200;    // in one message; more are left out, in order of model name
constexpr double min_reported_rate = 0.01;  // arrivals a second; lower rates are not reported

} // namespace

// ---- contents --------------------------------------------------------------------------------------

core::exchange::local_state peers::local_state() const {
    core::exchange::local_state out;
    out.leaving = leaving_;
    out.gives_orders = dependencies_.gives_orders();
    out.reads_store = context_.reads_store_closely;
    out.reads_targets = dependencies_.watch.reads_targets();
    out.running = dependencies_.dispatch.own_loads();
    return out;
}

wire::peer_status peers::message_of(const core::exchange::report& report) const {
    wire::peer_status out;
    encode_report(report, out);
    updates_.add_to(out);
    usage_->add_time_to(out);
    if (leaving_) // all gateways keep them: the one that gives orders next has to know them
        usage_->add_totals_to(out);
    return out;
}

/// Adds use and demand of models, which the order giver needs for planning.
void peers::add_demand_details(wire::peer_status& to) const {
    const auto now = context_.loop.now();
    to.has_details = true;
    usage_->add_totals_to(to);
    for (const auto& [key, use] : dependencies_.dispatch.usage()) {
        wire::target_use entry;
        entry.target = key.first;
        entry.model = core::fleet::to_text(key.second);
        entry.running = use.running;
        entry.idle_ms = to_wire_ms(now - use.last_used);
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
            demand.oldest_ms = to_wire_ms(now - sum->second.oldest);
            demand.priority = sum->second.priority;
        }
        to.demands.push_back(std::move(demand));
    }
}

/// Members of the own group get what this gateway has learned itself, not what peers reported.
void peers::add_speeds(wire::peer_status& to) {
    if (!context_.settings.learn_speeds)
        return;
    std::vector<wire::target_speed> learned;
    for (const auto& known :
         context_.speeds.next_to_report(core::target_speed::max_reported, context_.loop.now()))
        learned.push_back(encode_speed(known));
    if (!learned.empty())
        to.__set_speeds(learned);
}

/// Encodings of one message for different receivers, each made on first use.
struct peers::frame_cache {
    const wire::peer_status base;
    std::map<std::tuple<bool, bool, bool>, std::string> encoded; // by (details, registrations, just_started)

    const std::string& find(const peers& from, bool details, bool registrations, bool just_started) {
        std::string& frame = encoded[{details, registrations, just_started}];
        if (!frame.empty())
            return frame;
        wire::peer_status full = base;
        if (details)
            from.add_demand_details(full);
        if (registrations)
            full.registrations = from.updates_.registrations();
        if (just_started) {
            full.__set_for_start(true);
            full.origins = from.updates_.all_origins();
            from.updates_.add_versions_to(full);
        }
        frame = edge::encode_frame(wire::message_kind::peer_status, full.sequence, full);
        return frame;
    }
};

// ---- receivers -------------------------------------------------------------------------------------

void peers::schedule_status(audience to) {
    if (to == audience::all_peers)
        scheduled_audience_ = to;
    if (status_scheduled_)
        return;
    status_scheduled_ = true;
    const auto interval = std::max<core::common::duration>(
        min_status_interval, status_interval_per_gateway * static_cast<int>(exchange_.fleet_size()));
    context_.loop.schedule(std::max(context_.loop.now(), status_sent_at_ + interval), [this] {
        status_scheduled_ = false;
        send_status(std::exchange(scheduled_audience_, audience::order_givers));
    });
}

void peers::send_status(audience to) {
    status_sent_at_ = context_.loop.now();
    const bool announces = to == audience::all_peers && context_.reads_store_closely;
    const auto updates = announces ? updates_.due_updates() : peer_updates::target_updates{};
    send_to_members(to, updates);
    if (exchange_.grouped())
        send_outside(to, updates);
    if (to == audience::all_peers && updates_.has_more(announces))
        schedule_status(audience::all_peers);
}

void peers::send_to_members(audience to, const peer_updates::target_updates& updates) {
    const auto now = context_.loop.now();
    const auto order_givers = exchange_.order_givers(now);
    const auto is_receiver = [&](const std::string& name) {
        return addresses_.contains(name) && (to == audience::all_peers || order_givers.contains(name));
    };
    const auto& members = exchange_.members();
    if (std::none_of(members.begin(), members.end(), is_receiver))
        return;
    wire::peer_status base = message_of(exchange_.member_report(local_state(), context_.quota, now));
    base.holdings = updates.holdings;
    base.starts = updates.starts;
    if (to == audience::all_peers) {
        const auto relayed = updates_.take_relayed();
        base.holdings.insert(base.holdings.end(), relayed.holdings.begin(), relayed.holdings.end());
        base.starts.insert(base.starts.end(), relayed.starts.begin(), relayed.starts.end());
        base.origins = updates_.recent_origins();
        usage_->add_totals_for_successor(base);
        add_speeds(base);
    }
    frame_cache cache{std::move(base), {}};
    for (const std::string& name : members)
        if (is_receiver(name))
            send(addresses_.at(name), cache.find(*this, order_givers.contains(name),
                                                 sends_registrations_to(name), has_just_started(name)));
}

/// Sends to other groups: as a speaker to their speakers, and in any case to order givers.
void peers::send_outside(audience to, const peer_updates::target_updates& updates) {
    const auto now = context_.loop.now();
    std::map<std::string, std::string> receivers; // addresses by name
    const bool announces = dependencies_.gives_orders() || context_.reads_store_closely;
    if (to == audience::all_peers && (announces || exchange_.speaks(now)))
        for (const std::string& name : exchange_.next_outside_receivers(now))
            if (const auto known = addresses_.find(name); known != addresses_.end())
                receivers[name] = known->second;
    std::map<std::string, std::string> order_givers = exchange_.order_givers(now);
    std::erase_if(order_givers, [&](const auto& known) { return exchange_.members().contains(known.first); });
    if (to == audience::order_givers || details_due(now)) {
        details_sent_at_ = now;
        receivers.insert(order_givers.begin(), order_givers.end());
    }
    if (receivers.empty())
        return;
    wire::peer_status base = message_of(exchange_.group_report_of(local_state(), context_.quota, now));
    base.holdings = updates.holdings;
    base.starts = updates.starts;
    frame_cache cache{std::move(base), {}};
    for (const auto& [name, address] : receivers)
        send(address, cache.find(*this, order_givers.contains(name), sends_registrations_to(name), false));
}

bool peers::has_just_started(const std::string& peer) const {
    const auto known = details_.find(peer);
    return known != details_.end() && context_.loop.now() - known->second.boot_seen_at <= start_period;
}

milliseconds peers::details_period() const {
    return details_period_per_gateway * static_cast<int>(exchange_.fleet_size());
}

bool peers::details_due(core::common::time_point now) const {
    return now - details_sent_at_ >= details_period();
}

/// Whether `peer` can't read the store and this gateway is one of the few that send it the registrations.
bool peers::sends_registrations_to(const std::string& peer) const {
    const auto now = context_.loop.now();
    const auto& known_peers = exchange_.peers();
    const auto requester = known_peers.find(peer);
    if (!updates_.has_registrations(now) || requester == known_peers.end() ||
        requester->second.last.reads_targets || !exchange_.is_in_contact(peer, now))
        return false;
    if (!dependencies_.watch.reads_targets()) // they came from another group, to two members at most
        return exchange_.members().contains(peer);
    std::vector<std::string> informants;
    for (const auto& [name, other] : known_peers) {
        const auto& contacts = other.last.members_in_contact;
        // Speakers of other groups don't state their contacts: all are in contact with those of a group.
        const bool knows_requester =
            !other.is_member || std::find(contacts.begin(), contacts.end(), peer) != contacts.end();
        if (name != peer && exchange_.is_in_contact(name, now) && other.last.reads_targets &&
            knows_requester && other.is_member == requester->second.is_member)
            informants.push_back(name);
    }
    return core::membership::is_informant(context_.settings.name, peer, informants);
}

} // namespace waxwinglb::programs::gateway
