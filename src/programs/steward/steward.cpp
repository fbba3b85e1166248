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
      slot_client_(context, slots_), buckets_(context, targets_), quarantine_(context, targets_),
      replicas_(context, targets_, slot_client_, quarantine_), claims_(context),
      shard_manager_(
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
            std::visit([&](auto&& content) { take(std::forward<decltype(content)>(content), now); },
                       std::move(*event));
            take_changes(now);
        }
        const time_point now = core::common::clock::now();
        if (now < next_tick)
            continue;
        next_tick = now + tick_interval;
        if (context_.program.stopping && stop_by == time_point::max()) {
            stop_by = now + max_stop_time;
            log_->info("handing over {} shards", shard_manager_.held_count(now));
        }
        if (context_.program.stopping)
            shard_manager_.hand_over_all(now);
        tick(now);
        if (context_.program.stopping && (shard_manager_.all_handed_over() || now >= stop_by))
            return;
    }
}

void steward::tick(time_point now) {
    feed_.tick(now);
    targets_.tick(now);
    shard_manager_.tick(live_stewards(), now);
    take_changes(now);
    connect_stewards();
    send_stood_down(now);
    if (feed_.take_changed())
        targets_.watch_services(replicas_.services(), now);
    slots_.tick(now);
    slot_client_.tick(now);
    claims_.tick(now);
    quarantine_.tick(now);
    store_changes(now);
}

/// Starts writing this tick's decisions to the shards' objects. Orders are sent once the decisions are
/// stored.
void steward::store_changes(time_point now) {
    for (const int shard : buckets_.tick(now))
        buckets_.await_stored(shard, shard_manager_.mark_changed(shard, now));
    const auto may_decide = [&](int shard) {
        return shard_manager_.holds(shard, now) && context_.config.fresh(now) && !context_.program.stopping;
    };
    for (const set_name& name : replicas_.tick(may_decide, now))
        replicas_.await_stored(name, shard_manager_.mark_changed(replicas_.shard_of(name), now));
}

// ---- shards --------------------------------------------------------------------------------------

void steward::take_changes(time_point now) {
    for (const shard_change& change : shard_manager_.take_changes())
        take_change(change, now);
}

void steward::take_change(const shard_change& change, time_point now) {
    const int shard = change.shard;
    const std::string subject = "shard " + std::to_string(shard);
    const std::string fencing = "fencing " + std::to_string(shard_manager_.lease(shard).fencing());
    const auto note = [&](const char* what) {
        context_.program.timeline.add(edge::event_kind::lease, subject, what, fencing);
        log_->info("{} {}, {}", subject, what, fencing);
    };
    switch (change.kind) {
    case shard_change_kind::acquired: {
        note("acquired");
        deposed_.erase(shard);
        const json state = json::parse(change.state, nullptr, false);
        const json valid_state = state.is_object() ? state : json::object();
        buckets_.on_acquired(shard, valid_state, shard_manager_.lease(shard).fencing(), now);
        replicas_.on_acquired(shard, valid_state, shard_manager_.lease(shard).fencing());
        quarantine_.on_acquired(shard, valid_state, now);
        claims_.on_acquired(shard);
        if (shard == slots_shard_)
            slots_.on_acquired(shard_manager_.lease(shard).fencing() == 1, now);
        shard_manager_.mark_adopted(shard);
        buckets_.await_stored(shard, shard_manager_.mark_changed(shard, now));
        targets_.watch_services(replicas_.services(), now);
        return announce_holder(shard);
    }
    case shard_change_kind::written:
        return buckets_.on_written(shard, now);
    case shard_change_kind::stored:
        buckets_.on_stored(shard, change.generation, now);
        return replicas_.on_stored(shard, change.generation, now);
    case shard_change_kind::lapsed:
        note("term ended");
        return buckets_.on_lapsed(shard, now);
    case shard_change_kind::regained:
        note("regained");
        return buckets_.on_regained(shard, now);
    case shard_change_kind::freed:
        return announce_holder(shard);
    case shard_change_kind::released:
    case shard_change_kind::lost:
        note(change.kind == shard_change_kind::lost ? "lost" : "handed over");
        break;
    }
    if (change.kind == shard_change_kind::lost)
        deposed_[shard] = {buckets_.fencing(shard), now};
    buckets_.on_deposed(shard, now);
    replicas_.on_lost(shard, now);
    quarantine_.on_lost(shard);
    claims_.on_lost(shard);
    if (shard == slots_shard_)
        slots_.on_lost();
    targets_.watch_services(replicas_.services(), now);
}

/// Tells the other stewards that this process has stopped granting for shards that it lost. The current
/// holders can then use the share of the rates that they had left to it.
void steward::send_stood_down(time_point now) {
    if (deposed_.empty() || now - stood_down_sent_at_ < stood_down_interval)
        return;
    stood_down_sent_at_ = now;
    std::erase_if(deposed_, [&](const auto& entry) { return now - entry.second.at > stood_down_duration; });
    for (const auto& [shard, lost] : deposed_) {
        wire::stood_down message;
        message.__set_shard(shard);
        message.__set_holder(context_.self.holder);
        message.__set_boot(context_.self.boot);
        message.__set_fencing(lost.fencing);
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
    return shard_manager_.lease(shard).record().address;
}

/// Sends a shard's location to linked stewards and routers, which would otherwise learn it from refusals.
void steward::announce_holder(int shard) {
    wire::locate_result out;
    out.__set_shard(shard);
    const auto& record = shard_manager_.lease(shard).record();
    out.__set_holder(record.holder);
    out.__set_address(record.address);
    out.__set_fencing(record.fencing);
    out.__set_valid_ms(record.holder.empty() ? 0 : location_validity.count());
    for (const auto& [link, peer] : peers_)
        if (peer.role == "steward" || (peer.role == "router" && !record.holder.empty()))
            context_.links.send(link, kind::locate_result, 0, out);
}

void steward::locate(const edge::link_event& event, const wire::locate_request& request, time_point now) {
    (void)now;
    if (request.shard < 0 || request.shard >= shard_manager_.count())
        return;
    const auto& record = shard_manager_.lease(request.shard).record();
    wire::locate_result out;
    out.__set_shard(request.shard);
    out.__set_holder(record.holder);
    out.__set_address(record.address);
    out.__set_fencing(record.fencing);
    out.__set_valid_ms(record.holder.empty() ? 0 : location_validity.count());
    context_.links.send(event.link, kind::locate_result, event.frame.header.call, out);
}

void steward::refuse_not_holder(const edge::link_event& event, int shard) {
    const auto& record = shard_manager_.lease(shard).record();
    wire::not_holder out;
    out.__set_shard(shard);
    out.__set_holder(record.holder);
    out.__set_address(record.address);
    out.__set_fencing(record.fencing);
    context_.links.send(event.link, kind::not_holder, event.frame.header.call, out);
}

// ---- other stewards ------------------------------------------------------------------------------

void steward::connect_stewards() {
    const auto connect = [&](const std::string& address) {
        if (!address.empty() && address != context_.self.address && !steward_links_.contains(address))
            steward_links_[address] = context_.links.connect(address);
    };
    for (const std::string& address : context_.settings.stewards)
        connect(address);
    for (const edge::listed_vm& vm : targets_.stewards())
        connect(vm.address);
    const auto holder = steward_links_.find(holder_address(slots_shard_));
    slot_client_.set_holder_link(holder == steward_links_.end() ? 0 : holder->second);
}

/// Counts this steward and those with an open link. The VM list can't be used: it may contain dead ones.
int steward::live_stewards() const {
    return 1 + static_cast<int>(connected_stewards_.size());
}

// ---- events --------------------------------------------------------------------------------------

void steward::take(store_event&& event, time_point now) {
    switch (event.call) {
    case store_call::lease_list:
    case store_call::lease_read:
    case store_call::lease_write:
        return shard_manager_.take(event, now);
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
                                      [&](const auto& outgoing) { return outgoing.second == event.link; });
    if (event.kind == edge::link_event_kind::opened) {
        peers_[event.link] = event.peer;
        if (outbound && event.peer.process != context_.self.holder)
            connected_stewards_.insert(event.link);
        feed_.on_link_opened(event.link, event.peer);
        targets_.on_link_opened(event.link);
        return;
    }
    peers_.erase(event.link);
    connected_stewards_.erase(event.link);
    feed_.on_link_closed(event.link);
    targets_.on_link_closed(event.link);
    replicas_.on_link_closed(event.link);
}

template<class body_type, class handler>
bool steward::dispatch(const edge::link_event& event, handler&& handle) {
    const auto body = edge::decode_body<body_type>(event.frame.body);
    if (body)
        handle(*body);
    else
        log_->warn("malformed message of kind {} from {}", static_cast<int>(event.frame.header.kind),
                   event.peer.process);
    return true;
}

template<class body_type, class naming, class handler>
bool steward::dispatch_to_holder(const edge::link_event& event, naming&& name_of, handler&& handle) {
    return dispatch<body_type>(event, [&](const body_type& body) {
        const int shard = names::shard_of(name_of(body), shard_manager_.count());
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
        return dispatch<wire::locate_request>(event, [&](const auto& body) { locate(event, body, now); });
    case kind::locate_result: // announcement of another steward, verified by reading the store
        return dispatch<wire::locate_result>(
            event, [&](const auto& body) { shard_manager_.request_read(body.shard); });
    case kind::view_request:
        return dispatch_to_holder<wire::view_request>(
            event, [](const auto& body) { return names::replica_set_name(body.service_name, body.model); },
            [&](const auto& body, int shard) { replicas_.on_view_request(event, body, shard, now); });
    case kind::draw_request:
        return dispatch_to_holder<wire::draw_request>(
            event, [](const auto& body) { return names::bucket_name(body.customer); },
            [&](const auto& body, int shard) {
                buckets_.on_draw_request(event, body, shard, shard_manager_.lease(shard).held(now), now);
            });
    case kind::crash_report:
        return dispatch<wire::crash_report>(event, [&](const auto& body) {
            const int shard = replicas_.shard_of({body.service_name, body.model});
            if (!buckets_.decides(shard))
                return; // agents report to every steward that watches them
            quarantine_.on_crash_report(body, shard, now);
            replicas_.on_quarantine_changed(body.service_name, body.model);
            shard_manager_.mark_changed(shard, now);
        });
    case kind::claim_request:
        return dispatch_to_holder<wire::claim_request>(
            event, [](const auto& body) { return body.record.key; },
            [&](const auto& body, int shard) { claims_.on_claim_request(event, body, shard, now); });
    case kind::claim_outcome:
        return dispatch_to_holder<wire::claim_outcome>(
            event, [](const auto& body) { return body.record.key; },
            [&](const auto& body, int shard) { claims_.on_claim_outcome(event, body, shard, now); });
    case kind::slot_request:
        return dispatch<wire::slot_request>(event, [&](const auto& body) {
            slots_.on_request(event.link, event.frame.header.call, event.peer.process, body, now);
        });
    case kind::slot_result:
        return dispatch<wire::slot_result>(event, [&](const auto& body) { slot_client_.on_result(body); });
    case kind::stood_down:
        return dispatch<wire::stood_down>(event,
                                          [&](const auto& body) { buckets_.on_stood_down(body, now); });
    default:
        return false;
    }
}

bool steward::take_config_message(const edge::link_event& event, time_point now) {
    switch (event.frame.header.kind) {
    case kind::subscribe_config:
        return dispatch<wire::subscribe_config>(
            event, [&](const auto& body) { feed_.on_subscribe(event, body, now); });
    case kind::config_update:
        return dispatch<wire::config_update>(
            event, [&](const auto& body) { feed_.on_config_update(event.link, body, now); });
    case kind::config_fresh:
        return dispatch<wire::config_fresh>(event, [&](const auto& body) {
            feed_.on_config_fresh(event.link, event.frame.header.call, body);
        });
    case kind::feed_elsewhere:
        return true; // all other stewards are asked anyway
    case kind::acceptor_status:
        return dispatch<wire::acceptor_status>(
            event, [&](const auto& body) { feed_.on_acceptor_status(event.peer, body, now); });
    case kind::apply_report:
        return dispatch<wire::apply_report>(event,
                                            [&](const auto& body) { feed_.on_apply_report(body, now); });
    default:
        return false;
    }
}

bool steward::take_agent_message(const edge::link_event& event, time_point now) {
    switch (event.frame.header.kind) {
    case kind::target_report:
        return dispatch<wire::target_report>(event, [&](const auto& body) {
            if (const target_entry* target = targets_.on_report(event.link, body, now))
                replicas_.on_report(*target, now);
        });
    case kind::order_result:
        return dispatch<wire::order_result>(event, [&](const auto& body) {
            if (const target_entry* target = targets_.find_by_link(event.link))
                replicas_.on_order_result(body, target->listed.service, now);
        });
    default:
        return false;
    }
}

} // namespace waxwinglb::programs::steward
