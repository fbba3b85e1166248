#include "programs/gateway/peers.hpp"

#include "core/membership/store_readers.hpp"
#include "programs/gateway/peer_codec.hpp"
#include "programs/gateway/usage_reports.hpp"

#include <algorithm>
#include <array>

namespace waxwinglb::programs::gateway {
namespace {

constexpr std::size_t max_datagram = 65'000; // bytes
constexpr std::size_t length_prefix = 4;     // of a frame; not sent, since a datagram has its own length
constexpr const char* outside_load = "";     // in the place of a gateway's name: all other groups together

} // namespace

peers::peers(gateway_context& context, dependencies used, peer_updates& updates, std::int64_t boot)
    : context_(context), dependencies_(std::move(used)), updates_(updates),
      exchange_({context.settings.name, context.settings.data_centre, context.settings.peers, boot,
                 context.settings.processor_share},
                context.settings.single_group) {}

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

void peers::change_members(const std::map<std::string, store_watch::member>& members) {
    core::exchange::gateway_places places;
    for (const auto& [name, member] : members) {
        places[name] = member.data_centre;
        addresses_[name] = member.address;
    }
    addresses_.erase(context_.settings.name);
    exchange_.change_members(std::move(places), context_.quota, context_.loop.now());
}

void peers::tick() {
    const auto now = context_.loop.now();
    exchange_.expire(context_.quota, now);
    log_lost_peers();
    dependencies_.dispatch.set_peer_load(outside_load, exchange_.outside_running(now));
    updates_.forget_old();
    send_status(audience::all_peers);
    context_.loop.schedule(now + exchange_.period(now), [this] { tick(); });
}

void peers::notify_all() {
    schedule_status(audience::all_peers);
}

void peers::notify_order_giver() {
    schedule_status(audience::order_givers);
}

void peers::notify_urgent_updates() {
    if (updates_.urgent_updates_changed())
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

void peers::send(const std::string& address, const std::string& frame) {
    if (frame.size() > max_datagram)
        return context_.log.write(edge::events::lines_dropped, "peer_status", {{"bytes", frame.size()}});
    const ACE_INET_Addr to{address.c_str()};
    socket_.send(frame.data() + length_prefix, frame.size() - length_prefix, to);
    context_.metrics.peer_bytes.Increment(static_cast<double>(frame.size()));
}

// ---- what is known ---------------------------------------------------------------------------------

std::vector<std::string> peers::coordinators() const {
    return exchange_.coordinators(context_.loop.now());
}

bool peers::is_coordinator() const {
    const auto names = coordinators();
    return std::find(names.begin(), names.end(), context_.settings.name) != names.end();
}

bool peers::has_order_giver() const {
    return exchange_.order_giver(context_.loop.now()).has_value();
}

bool peers::is_active_holder(const std::string& holder) const {
    const auto seen = exchange_.order_giver(context_.loop.now());
    return seen && seen->name == holder && seen->reads_store;
}

bool peers::reads_store_closely(bool gives_orders) const {
    const auto now = context_.loop.now();
    const auto order_giver = exchange_.order_giver(now);
    core::membership::reader_view view;
    view.gives_orders = gives_orders;
    view.hears_order_giver = order_giver && order_giver->reads_store;
    view.hears_other_reader = exchange_.has_reader_in_contact(now);
    if (!view.gives_orders && !view.hears_order_giver)
        view.is_substitute = is_coordinator() &&
                             core::membership::is_substitute_reader(context_.settings.name, coordinators());
    return core::membership::reads_closely(view);
}

int peers::in_contact() const {
    return exchange_.in_contact(context_.loop.now());
}

double peers::largest_processor_share() const {
    double largest = 0;
    for (const auto& [name, peer] : exchange_.peers())
        if (exchange_.is_in_contact(name, context_.loop.now()))
            largest = std::max(largest, peer.last.processor_share);
    return largest;
}

std::string peers::reader_address() const {
    for (const auto& [name, peer] : exchange_.peers()) {
        const auto details = details_.find(name);
        if (exchange_.is_in_contact(name, context_.loop.now()) && peer.last.reads_targets &&
            !peer.last.leaving && details != details_.end())
            return details->second.config_address;
    }
    return {};
}

std::map<std::string, const peer_details*> peers::fresh_details() const {
    const auto limit = core::limits::contact_limit + 2 * details_period();
    std::map<std::string, const peer_details*> out;
    for (const auto& [name, details] : details_)
        if (details.reported_at != core::common::time_point{} &&
            context_.loop.now() - details.reported_at <= limit)
            out[name] = &details;
    return out;
}

std::set<std::string> peers::reporting_details() const {
    std::set<std::string> out;
    const auto& known = exchange_.peers();
    for (const auto& [name, details] : fresh_details())
        if (const auto found = known.find(name); found == known.end() || !found->second.last.leaving)
            out.insert(name);
    return out;
}

// ---- receiving -------------------------------------------------------------------------------------

int peers::handle_input(ACE_HANDLE) {
    std::array<char, max_datagram> bytes;
    for (;;) {
        ACE_INET_Addr from;
        const auto count = socket_.recv(bytes.data(), bytes.size(), from);
        if (count <= 0)
            return 0;
        handle({bytes.data(), static_cast<std::size_t>(count)});
    }
}

/// A malformed datagram, or one of an unknown kind, costs a log line.
void peers::handle(std::string_view datagram) {
    const auto frame = edge::decode_frame(datagram);
    const auto dispatch = [&]<class body_type>(const auto& handler) {
        const auto body = edge::decode_body<body_type>(frame->body);
        if (body)
            handler(*body);
        return body.has_value();
    };
    bool known = false;
    if (frame && frame->header.kind == wire::message_kind::peer_status)
        known = dispatch.operator()<wire::peer_status>([this](const auto& status) { handle(status); });
    else if (frame && frame->header.kind == wire::message_kind::turn_request)
        known =
            dispatch.operator()<wire::turn_request>([this](const auto& request) { turns_->handle(request); });
    else if (frame && frame->header.kind == wire::message_kind::turn_answer)
        known =
            dispatch.operator()<wire::turn_answer>([this](const auto& answer) { turns_->handle(answer); });
    else if (frame && frame->header.kind == wire::message_kind::turn_use)
        known = dispatch.operator()<wire::turn_use>([this](const auto& use) { turns_->handle(use); });
    if (!known)
        context_.log.write(edge::events::datagram_ignored, context_.settings.peers,
                           {{"bytes", datagram.size()}, {"step", frame ? "decode body" : "decode header"}});
}

void peers::handle(const wire::peer_status& status) {
    const auto now = context_.loop.now();
    const auto report = decode_report(status);
    const auto taken = exchange_.take(report, context_.quota, now);
    if (!taken.newest)
        return;
    if (!status.address.empty()) // the only source of addresses while the store can't be read
        addresses_[status.process] = status.address;
    if (silent_peers_.erase(status.process) > 0)
        context_.log.write(edge::events::peer_regained, status.process);
    usage_->take(status);
    peer_details& details = details_[status.process];
    details.config_address = status.config_address;
    if (std::exchange(details.boot, status.boot) != status.boot)
        details.boot_seen_at = now;
    if (status.has_details ||
        status.data_centre.empty()) { // earlier versions state details to order givers only
        details.uses = status.uses;
        details.demands = status.demands;
        details.reported_at = now;
    }
    if (report.own)
        dependencies_.dispatch.set_peer_load(status.process, report.own->running);
    if (taken.outside)
        dependencies_.dispatch.set_peer_load(outside_load, exchange_.outside_running(now));
    if (const auto order_giver = exchange_.order_giver(now);
        order_giver && dependencies_.watch.reads_targets())
        context_.directory.note_order_giver_store_access(order_giver->reads_store, now);
    std::optional<std::vector<std::string>> own_speakers; // set if the message comes from another group
    if (exchange_.grouped() && !report.own && report.group != exchange_.group())
        own_speakers = exchange_.own_speakers(now);
    take_speeds(status);
    const auto applied = updates_.apply(status, own_speakers);
    if (applied.updates)
        schedule_status(audience::all_peers);
    if (applied.urgent && exchange_.grouped())
        notify_urgent_updates();
}

/// Speeds of targets that this gateway doesn't know are left out: they may not be of this start.
void peers::take_speeds(const wire::peer_status& status) {
    if (!context_.settings.learn_speeds || !status.__isset.speeds)
        return;
    int malformed = 0;
    for (const auto& entry : status.speeds) {
        const auto received = decode_speed(entry);
        malformed += received ? 0 : 1;
        const auto* target = received ? context_.directory.find(received->target.id) : nullptr;
        if (target != nullptr && target->entry.born == received->target.born)
            context_.speeds.note_reported(*received, context_.loop.now());
    }
    if (malformed > 0)
        context_.log.write(edge::events::datagram_ignored, status.process,
                           {{"step", "decode speeds"}, {"entries", malformed}});
}

void peers::log_lost_peers() {
    const auto now = context_.loop.now();
    for (const auto& [name, peer] : exchange_.peers())
        if (exchange_.members().contains(name) && !exchange_.is_in_contact(name, now) &&
            silent_peers_.insert(name).second) {
            context_.log.write(edge::events::peer_lost, name,
                               {{"silent_ms", core::common::to_wire_ms(now - peer.at)},
                                {"said_leaving", peer.last.leaving}});
            dependencies_.dispatch.set_peer_load(name, {});
        }
    std::set<std::string> groups =
        exchange_.speaks(now) ? exchange_.groups_in_contact(now) : std::set<std::string>{};
    for (const std::string& group : groups_in_contact_)
        if (exchange_.speaks(now) && !groups.contains(group))
            context_.log.write(edge::events::peer_lost, "group " + group);
    for (const std::string& group : groups)
        if (!groups_in_contact_.contains(group))
            context_.log.write(edge::events::peer_regained, "group " + group);
    groups_in_contact_ = std::move(groups);
}

} // namespace waxwinglb::programs::gateway
