#include "programs/steward/feed_service.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwinglb::programs::steward {

using core::common::time_point;
using kind = wire::message_kind;

namespace {

constexpr std::size_t max_open_requests = 16; // per link; older unanswered requests are forgotten

wire::config_update to_wire(const core::feed::feed_update& update) {
    wire::config_update out;
    out.__set_from_revision(update.from);
    out.__set_revision(update.to);
    out.__set_part(update.part);
    out.__set_parts(update.parts);
    for (const core::config::change& change : update.entries) {
        wire::config_entry entry;
        entry.__set_revision(change.revision);
        entry.__set_key(change.key);
        entry.__set_value(change.value);
        out.entries.push_back(std::move(entry));
    }
    return out;
}

} // namespace

void feed_service::tick(time_point now) {
    if (!watching_ && now >= next_watch_)
        watch_head(now);
    if (now - store_answered_at_ > peer_feed_delay && now >= next_poll_)
        poll_peers(now);
    for (auto& [link, entry] : subscribers_)
        if (now - entry.served_at >= fresh_interval)
            serve(link, entry, now);
    context_.program.ready = context_.config.fresh(now);
}

void feed_service::watch_head(time_point now) {
    watching_ = true;
    store_event tag;
    tag.call = store_call::config_head;
    tag.asked_at = now;
    context_.platform.watch(std::move(tag), core::feed::head_key(), head_version_, head_watch_timeout);
}

void feed_service::take(const store_event& event, time_point now) {
    if (event.call == store_call::config_part)
        return take_part(event, now);
    watching_ = false;
    if (!event.answer.store_answered()) {
        next_watch_ = now + head_retry_delay;
        return;
    }
    store_answered_at_ = now;
    take_head(event, now);
}

void feed_service::take_head(const store_event& event, time_point now) {
    if (event.answer.outcome == edge::store_outcome::unchanged)
        return context_.config.confirm_from_store(head_revision_, event.asked_at);
    if (event.answer.outcome == edge::store_outcome::absent) {
        next_watch_ = now + head_retry_delay;
        return context_.config.confirm_from_store(0, event.asked_at);
    }
    const auto head = core::feed::decode_head(event.answer.body);
    if (!head) {
        next_watch_ = now + head_watch_timeout;
        log_->error("configuration head from the store is malformed");
        return;
    }
    head_version_ = event.answer.version;
    head_revision_ = head->revision;
    const std::int64_t before = context_.config.revision();
    const auto result = context_.config.take_head(*head);
    if (result == core::feed::head_result::needs_snapshot)
        return fetch_snapshot(*head, event.asked_at);
    if (result == core::feed::head_result::malformed)
        log_->error("configuration head from the store has entries after revision {} that can't be applied",
                    before);
    context_.config.confirm_from_store(head->revision, event.asked_at);
    if (context_.config.revision() > before)
        on_config_changed("store");
}

void feed_service::fetch_snapshot(core::feed::config_head head, time_point asked_at) {
    fetch_ = snapshot_fetch{head.base, {}, std::move(head), asked_at};
    fetch_->parts.resize(static_cast<std::size_t>(std::max(0, fetch_->head.parts)));
    for (int part = 0; part < fetch_->head.parts; ++part) {
        store_event tag;
        tag.call = store_call::config_part;
        tag.shard = part;
        tag.number = fetch_->base;
        tag.asked_at = asked_at;
        context_.platform.read(std::move(tag), core::feed::part_key(fetch_->base, part));
    }
}

void feed_service::take_part(const store_event& event, time_point now) {
    if (!fetch_ || fetch_->base != event.number)
        return;
    auto entries = event.answer.outcome == edge::store_outcome::ok
                       ? core::feed::decode_part(event.answer.body)
                       : std::nullopt;
    if (!entries) {
        fetch_.reset(); // the head is read again from the start
        head_version_ = {};
        next_watch_ = now + head_retry_delay;
        return;
    }
    fetch_->parts[static_cast<std::size_t>(event.shard)] = std::move(entries);
    if (std::any_of(fetch_->parts.begin(), fetch_->parts.end(), [](const auto& part) { return !part; }))
        return;
    std::vector<core::config::change> changes;
    for (auto& part : fetch_->parts)
        changes.insert(changes.end(), part->begin(), part->end());
    const std::int64_t before = context_.config.revision();
    if (!context_.config.take_snapshot(fetch_->base, changes))
        log_->error("configuration snapshot {} from the store can't be applied", fetch_->base);
    context_.config.take_head(fetch_->head);
    context_.config.confirm_from_store(fetch_->head.revision, fetch_->head_asked_at);
    fetch_.reset();
    if (context_.config.revision() > before)
        on_config_changed("store");
}

void feed_service::on_config_changed(const std::string& source) {
    changed_ = true;
    const std::string revision = std::to_string(context_.config.revision());
    context_.program.timeline.add(edge::event_kind::configuration, revision, "in force here, from " + source);
    log_->info("revision {} is in force, from {}", revision, source);
    const time_point now = core::common::clock::now();
    applied_[context_.self.holder] = {context_.config.revision(), now};
    for (auto& [link, entry] : subscribers_)
        serve(link, entry, now);
}

void feed_service::on_subscribe(const edge::link_event& event, const wire::subscribe_config& request,
                                time_point now) {
    const bool known = subscribers_.contains(event.link);
    if (!known && static_cast<int>(subscribers_.size()) >= context_.settings.max_subscribers) {
        wire::feed_elsewhere answer;
        answer.__set_addresses(other_stewards());
        return context_.links.send(event.link, kind::feed_elsewhere, event.frame.header.call, answer);
    }
    subscriber& entry = subscribers_[event.link];
    entry.revision = std::max<std::int64_t>(0, request.have_revision);
    entry.call = event.frame.header.call;
    serve(event.link, entry, now);
}

/// Sends the missing updates, then how long this copy of the configuration may be trusted. A subscriber that
/// knows `call` counts that time from when it sent the request.
void feed_service::serve(edge::link_id link, subscriber& entry, time_point now) {
    for (const core::feed::feed_update& update : context_.config.updates_since(entry.revision))
        context_.links.send(link, kind::config_update, entry.call, to_wire(update));
    entry.revision = std::max(entry.revision, context_.config.revision());
    entry.served_at = now;
    wire::config_fresh fresh;
    fresh.__set_revision(context_.config.revision());
    fresh.__set_fresh_ms(core::common::to_wire_ms(context_.config.fresh_until() - now));
    context_.links.send(link, kind::config_fresh, entry.call, fresh);
}

void feed_service::poll_peers(time_point now) {
    next_poll_ = now + peer_feed_interval;
    wire::subscribe_config request;
    request.__set_have_revision(context_.config.revision());
    for (const auto& [link, name] : stewards_) {
        const std::int64_t call = context_.next_call();
        auto& requests = open_requests_[link];
        requests[call] = now;
        if (requests.size() > max_open_requests)
            requests.erase(requests.begin());
        context_.links.send(link, kind::subscribe_config, call, request);
    }
}

void feed_service::on_config_update(edge::link_id link, const wire::config_update& update, time_point now) {
    (void)now;
    auto& parts = incoming_[link];
    if (update.part == 0)
        parts.clear();
    if (update.part != static_cast<int>(parts.size()) || update.parts < 1)
        return parts.clear();
    parts.push_back(update);
    if (static_cast<int>(parts.size()) < update.parts)
        return;
    core::feed::feed_update whole;
    whole.from = update.from_revision;
    whole.to = update.revision;
    for (const wire::config_update& part : parts)
        for (const wire::config_entry& entry : part.entries)
            whole.entries.push_back({entry.revision, entry.key, entry.value});
    parts.clear();
    if (context_.config.take_update(whole) == core::config::apply_result::applied)
        on_config_changed("a peer");
}

void feed_service::on_config_fresh(edge::link_id link, std::int64_t call, const wire::config_fresh& message) {
    auto& requests = open_requests_[link];
    const auto found = requests.find(call);
    if (found != requests.end())
        context_.config.confirm_from_peer(message.revision, core::common::milliseconds{message.fresh_ms},
                                          found->second);
}

void feed_service::on_acceptor_status(const wire::hello& peer, const wire::acceptor_status& status,
                                      time_point now) {
    core::feed::acceptor_report report;
    report.boot = peer.boot;
    report.accepted_revision = status.accepted_revision;
    report.store_unreachable = status.store_unreachable_ms > 0;
    context_.config.update_acceptor(status.acceptor, report, now);
}

void feed_service::on_apply_report(const wire::apply_report& report, time_point now) {
    applied_[report.process] = {report.revision, now};
}

void feed_service::on_link_opened(edge::link_id link, const wire::hello& peer) {
    if (peer.role == "steward" && peer.process != context_.self.holder)
        stewards_[link] = peer.process;
}

void feed_service::on_link_closed(edge::link_id link) {
    subscribers_.erase(link);
    stewards_.erase(link);
    open_requests_.erase(link);
    incoming_.erase(link);
}

std::vector<std::string> feed_service::other_stewards() const {
    return context_.settings.stewards;
}

std::string feed_service::in_force(time_point now) const {
    nlohmann::json processes = nlohmann::json::array();
    for (const auto& [process, entry] : applied_)
        processes.push_back({{"process", process},
                             {"revision", entry.revision},
                             {"since_ms", core::common::to_wire_ms(now - entry.since)}});
    return nlohmann::json{{"revision", context_.config.revision()},
                          {"fresh", context_.config.fresh(now)},
                          {"processes", std::move(processes)}}
        .dump();
}

} // namespace waxwinglb::programs::steward
