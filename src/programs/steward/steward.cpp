#include "programs/steward/steward.hpp"

#include "core/membership/shard.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::programs::steward {

using core::common::time_point;
using kind = wire::message_kind;
using nlohmann::json;

namespace names = core::membership;

steward::steward(steward_context& context, event_ring& events)
    : context_(context), events_(events), feed_(context), targets_(context), slots_(context),
      own_slots_(context, slots_), buckets_(context, targets_), quarantine_(context, targets_),
      replicas_(context, targets_, own_slots_, quarantine_), claims_(context),
      keeper_(
          context.settings, context.self, context.platform,
          [this](int shard) { return encode_state(shard, false, core::common::clock::now()); },
          [this](int shard) { return encode_state(shard, true, core::common::clock::now()); }),
      slots_shard_(names::shard_of(names::weight_slots_name(), context.settings.control_shards)) {}

void steward::run() {
    time_point next_tick = core::common::clock::now();
    time_point stop_by = time_point::max();
    for (;;) {
        if (auto event = events_.pop_until(next_tick)) {
            const time_point now = core::common::clock::now();
            std::visit([&](auto&& one) { take(std::forward<decltype(one)>(one), now); }, std::move(*event));
            take_changes(now);
        }
        const time_point now = core::common::clock::now();
        if (now < next_tick)
            continue;
        next_tick = now + tick_every;
        if (context_.program.stopping && stop_by == time_point::max()) {
            stop_by = now + stop_within;
            log_->info("handing over {} shards", keeper_.held_count(now));
        }
        if (context_.program.stopping)
            keeper_.hand_over_all(now);
        tick(now);
        if (context_.program.stopping && (keeper_.all_handed_over() || now >= stop_by))
            return;
    }
}

void steward::tick(time_point now) {
    feed_.tick(now);
    targets_.tick(now);
    keeper_.tick(live_stewards(), now);
    take_changes(now);
    connect_stewards();
    tell_stood_down(now);
    if (feed_.take_changed())
        targets_.watch_services(replicas_.services());
    slots_.tick(now);
    own_slots_.tick(now);
    claims_.tick(now);
    quarantine_.tick(now);
    store_changes(now);
}

/// Decisions of this round go into the shards' objects; orders follow once they stand there.
void steward::store_changes(time_point now) {
    for (const int shard : buckets_.tick(now))
        buckets_.awaiting(shard, keeper_.mark_changed(shard, now));
    const auto may_decide = [&](int shard) {
        return keeper_.holds(shard, now) && context_.config.fresh(now) && !context_.program.stopping;
    };
    for (const set_name& name : replicas_.tick(may_decide, now))
        replicas_.awaiting(name, keeper_.mark_changed(replicas_.shard_of(name), now));
}

// ---- shards --------------------------------------------------------------------------------------

void steward::take_changes(time_point now) {
    for (const shard_change& change : keeper_.take_changes())
        take_change(change, now);
}

void steward::take_change(const shard_change& change, time_point now) {
    const int shard = change.shard;
    const std::string subject = "shard " + std::to_string(shard);
    const std::string fencing = "fencing " + std::to_string(keeper_.lease(shard).fencing());
    const auto note = [&](const char* what) {
        context_.program.timeline.add(edge::event_kind::lease, subject, what, fencing);
        log_->info("{} {}, {}", subject, what, fencing);
    };
    switch (change.kind) {
    case shard_change_kind::acquired: {
        note("acquired");
        deposed_.erase(shard);
        const json state = json::parse(change.state, nullptr, false);
        const json known = state.is_object() ? state : json::object();
        buckets_.acquired(shard, known, keeper_.lease(shard).fencing(), now);
        replicas_.acquired(shard, known, keeper_.lease(shard).fencing());
        quarantine_.acquired(shard, known, now);
        claims_.acquired(shard);
        if (shard == slots_shard_)
            slots_.acquired(keeper_.lease(shard).fencing() == 1, now);
        keeper_.opened(shard);
        buckets_.awaiting(shard, keeper_.mark_changed(shard, now));
        targets_.watch_services(replicas_.services());
        return announce(shard);
    }
    case shard_change_kind::written:
        return buckets_.written(shard, now);
    case shard_change_kind::stored:
        buckets_.stored(shard, change.generation, now);
        return replicas_.stored(shard, change.generation, now);
    case shard_change_kind::lapsed:
        note("term ended");
        return buckets_.lapsed(shard, now);
    case shard_change_kind::regained:
        note("regained");
        return buckets_.regained(shard, now);
    case shard_change_kind::freed:
        return announce(shard);
    case shard_change_kind::released:
    case shard_change_kind::lost:
        note(change.kind == shard_change_kind::lost ? "lost" : "handed over");
        break;
    }
    if (change.kind == shard_change_kind::lost)
        deposed_[shard] = {buckets_.fencing(shard), now};
    buckets_.deposed(shard, now);
    replicas_.lost(shard, now);
    quarantine_.lost(shard);
    claims_.lost(shard);
    if (shard == slots_shard_)
        slots_.lost();
    targets_.watch_services(replicas_.services());
}

/// Ends the halving of rates at whoever holds the shards now.
void steward::tell_stood_down(time_point now) {
    if (deposed_.empty() || now - stood_down_told_ < stood_down_again)
        return;
    stood_down_told_ = now;
    std::erase_if(deposed_, [&](const auto& one) { return now - one.second.at > stood_down_for; });
    for (const auto& [shard, one] : deposed_) {
        wire::stood_down message;
        message.__set_shard(shard);
        message.__set_holder(context_.self.holder);
        message.__set_boot(context_.self.boot);
        message.__set_fencing(one.fencing);
        for (const auto& [address, link] : steward_links_)
            context_.links.send(link, kind::stood_down, 0, message);
    }
}

std::string steward::encode_state(int shard, bool stopping, time_point now) {
    json state = json::object();
    buckets_.encode(shard, stopping, state, now);
    replicas_.encode(shard, state);
    quarantine_.encode(shard, state, now);
    return state.dump();
}

std::string steward::holder_address(int shard) const {
    return keeper_.lease(shard).record().address;
}

/// Tells everybody linked where a shard is now, so that they needn't find out by refusals.
void steward::announce(int shard) {
    wire::locate_result out;
    out.__set_shard(shard);
    const auto& record = keeper_.lease(shard).record();
    out.__set_holder(record.holder);
    out.__set_address(record.address);
    out.__set_fencing(record.fencing);
    out.__set_valid_ms(record.holder.empty() ? 0 : located_valid.count());
    for (const auto& [link, peer] : peers_)
        if (peer.role == "steward" || (peer.role == "router" && !record.holder.empty()))
            context_.links.send(link, kind::locate_result, 0, out);
}

void steward::locate(const edge::link_event& event, const wire::locate_request& request, time_point now) {
    (void)now;
    if (request.shard < 0 || request.shard >= keeper_.count())
        return;
    const auto& record = keeper_.lease(request.shard).record();
    wire::locate_result out;
    out.__set_shard(request.shard);
    out.__set_holder(record.holder);
    out.__set_address(record.address);
    out.__set_fencing(record.fencing);
    out.__set_valid_ms(record.holder.empty() ? 0 : located_valid.count());
    context_.links.send(event.link, kind::locate_result, event.frame.header.call, out);
}

void steward::refuse_not_holder(const edge::link_event& event, int shard) {
    const auto& record = keeper_.lease(shard).record();
    wire::not_holder out;
    out.__set_shard(shard);
    out.__set_holder(record.holder);
    out.__set_address(record.address);
    out.__set_fencing(record.fencing);
    context_.links.send(event.link, kind::not_holder, event.frame.header.call, out);
}

// ---- other stewards ------------------------------------------------------------------------------

void steward::connect_stewards() {
    const auto want = [&](const std::string& address) {
        if (!address.empty() && address != context_.self.address && !steward_links_.contains(address))
            steward_links_[address] = context_.links.connect(address);
    };
    for (const std::string& address : context_.settings.stewards)
        want(address);
    for (const edge::listed_vm& one : targets_.stewards())
        want(one.address);
    const auto holder = steward_links_.find(holder_address(slots_shard_));
    own_slots_.holder_link(holder == steward_links_.end() ? 0 : holder->second);
}

/// This one and those whose links are open; the VM list alone may name dead ones.
int steward::live_stewards() const {
    return 1 + static_cast<int>(connected_.size());
}

// ---- events --------------------------------------------------------------------------------------

void steward::take(store_event&& event, time_point now) {
    switch (event.call) {
    case store_call::lease_list:
    case store_call::lease_read:
    case store_call::lease_write:
        return keeper_.take(event, now);
    case store_call::config_head:
    case store_call::config_part:
        return feed_.take(event, now);
    case store_call::vm_list:
        return targets_.take(event, now);
    case store_call::claims_head_read:
    case store_call::claims_head_write:
    case store_call::claims_segment_read:
    case store_call::claims_segment_write:
    case store_call::claims_segment_remove:
        return claims_.take(event, now);
    }
}

void steward::take(const page_event& event, time_point now) {
    event.exchange->respond({200, {{"Content-Type", "application/json"}}, feed_.in_force(now)});
}

void steward::take(edge::link_event&& event, time_point now) {
    if (event.kind == edge::link_event_kind::message)
        return take_message(event, now);
    const bool outbound = std::any_of(steward_links_.begin(), steward_links_.end(),
                                      [&](const auto& one) { return one.second == event.link; });
    if (event.kind == edge::link_event_kind::opened) {
        peers_[event.link] = event.peer;
        if (outbound && event.peer.process != context_.self.holder)
            connected_.insert(event.link);
        feed_.link_opened(event.link, event.peer);
        targets_.link_opened(event.link);
        return;
    }
    peers_.erase(event.link);
    connected_.erase(event.link);
    feed_.link_closed(event.link);
    targets_.link_closed(event.link);
    replicas_.link_closed(event.link);
}

template<class body_type, class handler>
bool steward::with(const edge::link_event& event, handler&& handle) {
    const auto body = edge::decode_body<body_type>(event.frame.body);
    if (body)
        handle(*body);
    else
        log_->warn("malformed message of kind {} from {}", static_cast<int>(event.frame.header.kind),
                   event.peer.process);
    return true;
}

template<class body_type, class naming, class handler>
bool steward::with_shard(const edge::link_event& event, naming&& name_of, handler&& handle) {
    return with<body_type>(event, [&](const body_type& body) {
        const int shard = names::shard_of(name_of(body), keeper_.count());
        if (buckets_.decides(shard))
            handle(body, shard);
        else
            refuse_not_holder(event, shard);
    });
}

void steward::take_message(const edge::link_event& event, time_point now) {
    if (take_shard_message(event, now) || take_config_message(event, now) || take_agent_message(event, now))
        return;
    log_->warn("unexpected message of kind {} from {}", static_cast<int>(event.frame.header.kind),
               event.peer.process);
}

bool steward::take_shard_message(const edge::link_event& event, time_point now) {
    switch (event.frame.header.kind) {
    case kind::locate_request:
        return with<wire::locate_request>(event, [&](const auto& body) { locate(event, body, now); });
    case kind::locate_result: // another steward's announcement; the store decides what it is worth
        return with<wire::locate_result>(event, [&](const auto& body) { keeper_.hint(body.shard); });
    case kind::view_request:
        return with_shard<wire::view_request>(
            event, [](const auto& body) { return names::replica_set_name(body.service_name, body.model); },
            [&](const auto& body, int shard) { replicas_.view(event, body, shard, now); });
    case kind::draw_request:
        return with_shard<wire::draw_request>(
            event, [](const auto& body) { return names::bucket_name(body.customer); },
            [&](const auto& body, int shard) {
                buckets_.draw(event, body, shard, keeper_.lease(shard).held(now), now);
            });
    case kind::crash_report:
        return with<wire::crash_report>(event, [&](const auto& body) {
            const int shard = replicas_.shard_of({body.service_name, body.model});
            if (!buckets_.decides(shard))
                return; // agents tell every steward that watches them
            quarantine_.crashed(body, shard, now);
            replicas_.quarantine_changed(body.service_name, body.model);
            keeper_.mark_changed(shard, now);
        });
    case kind::claim_request:
        return with_shard<wire::claim_request>(
            event, [](const auto& body) { return body.record.key; },
            [&](const auto& body, int shard) { claims_.claim(event, body, shard, now); });
    case kind::claim_outcome:
        return with_shard<wire::claim_outcome>(
            event, [](const auto& body) { return body.record.key; },
            [&](const auto& body, int shard) { claims_.outcome(event, body, shard, now); });
    case kind::slot_request:
        return with<wire::slot_request>(event, [&](const auto& body) {
            slots_.request(event.link, event.frame.header.call, event.peer.process, body, now);
        });
    case kind::slot_result:
        return with<wire::slot_result>(event, [&](const auto& body) { own_slots_.answered(body); });
    case kind::stood_down:
        return with<wire::stood_down>(event, [&](const auto& body) { buckets_.stood_down(body, now); });
    default:
        return false;
    }
}

bool steward::take_config_message(const edge::link_event& event, time_point now) {
    switch (event.frame.header.kind) {
    case kind::subscribe_config:
        return with<wire::subscribe_config>(event,
                                            [&](const auto& body) { feed_.subscribe(event, body, now); });
    case kind::config_update:
        return with<wire::config_update>(event,
                                         [&](const auto& body) { feed_.update(event.link, body, now); });
    case kind::config_fresh:
        return with<wire::config_fresh>(
            event, [&](const auto& body) { feed_.vouched(event.link, event.frame.header.call, body); });
    case kind::feed_elsewhere:
        return true; // every other steward is asked anyway
    case kind::acceptor_status:
        return with<wire::acceptor_status>(event,
                                           [&](const auto& body) { feed_.acceptor(event.peer, body, now); });
    case kind::apply_report:
        return with<wire::apply_report>(event, [&](const auto& body) { feed_.applied(body, now); });
    default:
        return false;
    }
}

bool steward::take_agent_message(const edge::link_event& event, time_point now) {
    switch (event.frame.header.kind) {
    case kind::target_report:
        return with<wire::target_report>(event, [&](const auto& body) {
            if (const target_entry* target = targets_.reported(event.link, body, now))
                replicas_.reported(*target, now);
        });
    case kind::order_result:
        return with<wire::order_result>(event, [&](const auto& body) {
            if (const target_entry* target = targets_.on_link(event.link))
                replicas_.answered(body, target->listed.service, now);
        });
    default:
        return false;
    }
}

} // namespace waxwinglb::programs::steward
