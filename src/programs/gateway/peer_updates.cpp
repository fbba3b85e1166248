#include "programs/gateway/peer_updates.hpp"

#include "core/common/hash.hpp"
#include "core/exchange/groups.hpp"
#include "programs/gateway/peer_codec.hpp"

#include <algorithm>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using core::membership::stored_kind;

constexpr milliseconds origin_repetition{1'100};      // three messages announce a stream: one may be lost
constexpr std::size_t max_new_origins = 500;          // streams in one message
constexpr std::size_t max_all_origins = 1'000;        // in a message to a gateway that has just started
constexpr std::size_t max_versions = 1'000;           // of targets, in such a message
constexpr milliseconds max_remaining{31'536'000'000}; // a year, as in registrations
constexpr double no_limit = -1;                       // on the wire: the target has no limit any more
constexpr milliseconds adopted_retention{
    1'000}; // registrations from another group are passed on for that long

std::int64_t wire_ms(core::common::duration value) {
    return core::common::to_wire_ms(value);
}

/// The same time is announced again and again: rounding it down would move it a bit each time.
std::int64_t rounded_up_ms(core::common::duration value) {
    return std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(value).count());
}

std::uint64_t hash_of_content(const wire::target_holding& holding) {
    std::string content = std::to_string(holding.born).append(" ").append(std::to_string(holding.sequence));
    for (const std::string& model : holding.models)
        content.append(" ").append(model);
    for (const auto& load : holding.coming)
        content.append(" +").append(load.model);
    return core::common::hash_of(content);
}

std::uint64_t hash_of_content(const wire::target_registration& start) {
    return core::common::hash_of(std::to_string(start.born) + start.address +
                                 (start.cold_ms > 0 ? " cold" : ""));
}

std::vector<wire::stream_origins> encode_origins(const core::streams::attempts_by_version& from) {
    std::vector<wire::stream_origins> out;
    for (const auto& [version, attempts] : from) {
        wire::stream_origins entry;
        entry.software_version = version.software;
        if (version.weights)
            entry.__set_weights(*version.weights);
        if (!version.adapter.empty())
            entry.__set_adapter_version(version.adapter);
        entry.attempts.assign(attempts.begin(), attempts.end());
        out.push_back(std::move(entry));
    }
    return out;
}

core::fleet::serving_version decode_version(const wire::stream_origins& from) {
    core::fleet::serving_version out;
    out.software = from.software_version;
    if (from.__isset.weights)
        out.weights = from.weights;
    out.adapter = from.adapter_version;
    return out;
}

/// Moves what is due of `all`, which is ordered by target, to `out`, beginning at target `next`. Returns true
/// if more may be due than fits into one message; the next call then begins there.
template<class update_type, class predicate>
bool take_due(std::vector<update_type>&& all, std::string& next, const predicate& due,
              std::vector<update_type>& out) {
    const auto before_next = [&](const update_type& update) { return update.target < next; };
    std::rotate(all.begin(), std::partition_point(all.begin(), all.end(), before_next), all.end());
    for (update_type& update : all) {
        if (out.size() == max_updates) {
            next = update.target;
            return true;
        }
        if (due(update))
            out.push_back(std::move(update));
    }
    return false;
}

} // namespace

// ---- sending ---------------------------------------------------------------------------------------

void peer_updates::add_to(wire::peer_status& message) const {
    message.config_version = context_.config ? context_.config->version : 0;
    message.config_address = context_.settings.metrics;
    message.centres_era = context_.centres.known_at().era;
    message.centres_revision = context_.centres.known_at().revision;
    message.centres_out.assign(context_.centres.listed().begin(), context_.centres.listed().end());
    for (const auto& [centre, until] : context_.centres.held()) {
        wire::held_centre hold;
        hold.data_centre = centre;
        hold.left_ms = wire_ms(until - context_.loop.now());
        message.centres_held.push_back(std::move(hold));
    }
    message.informed = context_.informed();
    add_departures_to(message);
    message.__set_view(encode_view(context_.view, context_.directory.read_at(), context_.loop.now()));
    add_limits_to(message);
    add_suspects_to(message);
}

void peer_updates::add_limits_to(wire::peer_status& message) const {
    for (const auto& known : context_.target_limits.statements()) {
        wire::target_limit entry;
        entry.target = known.target.id;
        entry.born = known.target.born;
        entry.per_second = known.per_second.value_or(no_limit);
        entry.age_ms = wire_ms(context_.loop.now() - known.said_at);
        message.target_limits.push_back(std::move(entry));
    }
}

void peer_updates::add_departures_to(wire::peer_status& message) const {
    const auto now = context_.loop.now();
    for (const auto& departure : context_.directory.departures_known(now)) {
        wire::leaving_target entry = encode_departure(departure);
        const auto* known = context_.directory.find(departure.start.id);
        if (known != nullptr && known->entry.born == departure.start.born && known->gone_at)
            entry.__set_remaining_ms(rounded_up_ms(*known->gone_at - now));
        message.leaving_targets.push_back(std::move(entry));
    }
}

void peer_updates::add_suspects_to(wire::peer_status& message) const {
    const auto now = context_.loop.now();
    for (const auto& report : dependencies_.forward.suspects().reports(now))
        message.suspect_parts.push_back(encode_part(report));
    for (const auto& report : dependencies_.forward.suspect_requests().reports(now))
        message.suspect_requests.push_back(encode_part(report));
}

std::vector<wire::stream_origins> peer_updates::recent_origins() const {
    return encode_origins(
        context_.origins.own_since(context_.loop.now() - origin_repetition, max_new_origins));
}

std::vector<wire::stream_origins> peer_updates::all_origins() const {
    return encode_origins(context_.origins.all(max_all_origins));
}

/// Versions that came to an end after the sender's latest reading and before the receiver's first one would
/// be known to neither, so that reading must be recent.
void peer_updates::add_versions_to(wire::peer_status& message) const {
    const auto now = context_.loop.now();
    const auto age = context_.view.age(stored_kind::departures, now);
    const bool reads = context_.reads_store_closely && dependencies_.watch.reads_targets();
    if (!reads || !age || *age > core::streams::shortest_registration || !context_.versions.is_complete(now))
        return;
    const auto versions = context_.versions.all(now);
    std::size_t count = 0;
    for (const auto& [service, of_service] : versions)
        count += of_service.size();
    if (count <= max_versions)
        message.__set_versions(encode_versions(versions, now));
}

/// Targets' models and starts (also of targets that became cold) that changed or are due for resending.
peer_updates::target_updates peer_updates::due_updates() {
    const auto now = context_.loop.now();
    target_updates out;
    const auto holding_due = [&](const wire::target_holding& holding) {
        return holdings_updates_.due(holding.target, hash_of_content(holding), now);
    };
    const auto start_due = [&](const wire::target_registration& start) {
        return !start.draining && starts_updates_.due(start.target, hash_of_content(start), now);
    };
    const bool holdings_left = take_due(dependencies_.holdings(), next_holding_, holding_due, out.holdings);
    const bool starts_left = take_due(registrations(), next_start_, start_due, out.starts);
    updates_left_ = holdings_left || starts_left;
    return out;
}

peer_updates::target_updates peer_updates::take_relayed() {
    return {relayed_holdings_.take(max_updates), relayed_starts_.take(max_updates)};
}

bool peer_updates::has_more(bool announces) const {
    return (announces && updates_left_) || !relayed_holdings_.empty() || !relayed_starts_.empty();
}

std::vector<wire::target_registration> peer_updates::registrations() const {
    const auto now = context_.loop.now();
    std::vector<wire::target_registration> out;
    for (const auto& [id, target] : context_.directory.targets())
        out.push_back(encode_registration(target, now));
    return out;
}

bool peer_updates::has_registrations(core::common::time_point now) const {
    return dependencies_.watch.reads_targets() || now - adopted_outside_at_ <= adopted_retention;
}

bool peer_updates::urgent_updates_changed() {
    std::string text;
    for (const auto& departure : context_.directory.departures_known(context_.loop.now()))
        text.append(departure.start.id).append(" ").append(std::to_string(departure.start.born)).append(" ");
    for (const std::string& centre : context_.centres.out())
        text.append(centre).append(" ");
    for (const auto& known : context_.target_limits.statements())
        text.append(known.target.id)
            .append(" ")
            .append(std::to_string(known.per_second.value_or(no_limit)))
            .append(" ");
    const std::uint64_t urgent = core::common::hash_of(text);
    return std::exchange(announced_urgent_updates_, urgent) != urgent;
}

void peer_updates::forget_old() {
    holdings_updates_.forget_old(context_.loop.now());
    starts_updates_.forget_old(context_.loop.now());
    dependencies_.forward.suspects().expire(context_.loop.now());
    dependencies_.forward.suspect_requests().expire(context_.loop.now());
    context_.target_limits.expire(context_.loop.now());
    context_.versions.update(context_.directory.targets(), context_.loop.now());
    context_.origins.expire(context_.loop.now());
}

// ---- receiving -------------------------------------------------------------------------------------

peer_updates::applied peer_updates::apply(const wire::peer_status& message,
                                          const std::optional<std::vector<std::string>>& own_speakers) {
    for (const auto& part : message.suspect_parts)
        dependencies_.forward.suspects().merge(decode_part(part), context_.loop.now());
    for (const auto& request : message.suspect_requests)
        dependencies_.forward.suspect_requests().merge(decode_part(request), context_.loop.now());
    if (own_speakers && !message.registrations.empty() && !dependencies_.watch.reads_targets())
        adopted_outside_at_ = context_.loop.now();
    apply_centres(message);
    const bool departures = apply_departures(message);
    const bool limits = apply_limits(message);
    for (const auto& same_version : message.origins)
        for (const std::int64_t attempt : same_version.attempts)
            context_.origins.note(static_cast<std::uint64_t>(attempt), decode_version(same_version),
                                  core::streams::origin_source::peer, context_.loop.now());
    apply_versions(message);
    apply_store_state(message);
    apply_holdings(message);
    confirm_view(message);
    if (!own_speakers)
        return {false, departures || limits};
    const auto pass_on = [&](const auto& updates, auto& to) {
        for (const auto& update : updates)
            to.put(update.target, hash_of_content(update),
                   core::exchange::repeats(update.target, context_.settings.name, *own_speakers), update);
    };
    pass_on(message.holdings, relayed_holdings_);
    pass_on(message.starts, relayed_starts_);
    return {!relayed_holdings_.empty() || !relayed_starts_.empty(), departures || limits};
}

bool peer_updates::apply_limits(const wire::peer_status& message) {
    bool any_new = false;
    for (const auto& entry : message.target_limits) {
        core::limits::limit_statement statement{
            {entry.target, entry.born}, std::nullopt, context_.loop.now() - milliseconds{entry.age_ms}};
        if (entry.per_second >= 0)
            statement.per_second = entry.per_second;
        if (!context_.target_limits.note(statement))
            continue;
        any_new = true;
        dependencies_.dispatch.log_limit(statement.target, statement.per_second, message.process);
    }
    if (any_new)
        dependencies_.dispatch.schedule_dispatch();
    return any_new;
}

bool peer_updates::apply_departures(const wire::peer_status& message) {
    bool any_new = false;
    const auto now = context_.loop.now();
    for (const auto& target : message.leaving_targets) {
        const auto departure = decode_departure(target);
        if (context_.directory.note_departure(departure, now)) {
            any_new = true;
            context_.log.write(edge::events::target_leaving, departure.start.id,
                               {{"born", departure.start.born},
                                {"at", core::common::to_text(departure.at)},
                                {"age_ms", wire_ms(departure.age)},
                                {"source", message.process}});
        }
        if (target.__isset.remaining_ms && target.remaining_ms >= 0 &&
            target.remaining_ms <= max_remaining.count())
            any_new =
                context_.directory.note_removal(departure.start, milliseconds{target.remaining_ms}, now) ||
                any_new;
    }
    return any_new;
}

/// The sender's departures are all applied; its configuration and data centres out may still be on their way.
void peer_updates::confirm_view(const wire::peer_status& message) {
    const auto now = context_.loop.now();
    if (!message.__isset.view)
        return;
    const auto confirm = [&](stored_kind kind, std::int64_t age_ms) {
        if (age_ms >= 0)
            context_.view.confirm(kind, now - milliseconds{age_ms});
    };
    // Messages name the departures of the last while only.
    const auto own_age = context_.view.age(stored_kind::departures, now);
    if (own_age && *own_age <= core::fleet::departure_retention)
        confirm(stored_kind::departures, message.view.departures_ms);
    if (context_.config && context_.config->version >= message.config_version)
        confirm(stored_kind::configuration, message.view.configuration_ms);
    if (context_.centres.known_at() >=
        core::common::store_position{message.centres_era, message.centres_revision})
        confirm(stored_kind::data_centres, message.view.data_centres_ms);
}

void peer_updates::apply_centres(const wire::peer_status& message) {
    const auto now = context_.loop.now();
    const core::common::store_position at{message.centres_era, message.centres_revision};
    bool changed =
        context_.centres.merge_from_peer({message.centres_out.begin(), message.centres_out.end()}, at, now);
    for (const auto& hold : message.centres_held)
        changed = context_.centres.hold(hold.data_centre, milliseconds{hold.left_ms}, now) || changed;
    if (changed)
        dependencies_.watch.centres_changed(at, message.process);
}

bool peer_updates::knows_all_of(const wire::peer_status& message) const {
    const core::common::store_position centres_at{message.centres_era, message.centres_revision};
    return context_.config && context_.config->version >= message.config_version &&
           context_.centres.known_at() >= centres_at;
}

void peer_updates::apply_store_state(const wire::peer_status& message) {
    for (const auto& start : message.starts)
        context_.directory.merge_from_peer(decode_registration(start), context_.loop.now());
    if (!message.registrations.empty() && !dependencies_.watch.reads_targets())
        adopt_registrations(message);
    if (message.informed && message.for_start && knows_all_of(message) && context_.directory.loaded())
        context_.start.informed_by_peer();
    config_reader_.follow(message.config_version, message.config_address);
}

void peer_updates::adopt_registrations(const wire::peer_status& message) {
    core::fleet::target_list list;
    for (const auto& registration : message.registrations)
        list.entries.push_back(decode_registration(registration));
    if (message.__isset.view)
        list.at = {message.view.era, message.view.revision};
    context_.directory.adopt(list, context_.loop.now());
    if (message.__isset.view && message.view.departures_ms >= 0)
        context_.view.confirm(stored_kind::departures,
                              context_.loop.now() - milliseconds{message.view.departures_ms});
    dependencies_.dispatch.schedule_dispatch();
}

void peer_updates::apply_versions(const wire::peer_status& message) {
    if (!message.__isset.versions || !context_.directory.loaded())
        return;
    for (const auto& [service, versions] : decode_versions(message.versions, context_.loop.now()))
        context_.versions.merge(service, versions);
    context_.versions.mark_complete();
}

void peer_updates::apply_holdings(const wire::peer_status& message) {
    for (const auto& holding : message.holdings) {
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
    if (!message.holdings.empty())
        dependencies_.dispatch.schedule_dispatch();
}

} // namespace waxwinglb::programs::gateway
