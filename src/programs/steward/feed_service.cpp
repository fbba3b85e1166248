#include "programs/steward/feed_service.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace waxwinglb::programs::steward {

using core::common::time_point;
using kind = wire::message_kind;

namespace {

constexpr std::size_t max_asked = 16; // unanswered questions kept for one link

wire::config_update to_wire(const core::feed::feed_update& update) {
    wire::config_update out;
    out.__set_from_revision(update.from);
    out.__set_revision(update.to);
    out.__set_part(update.part);
    out.__set_parts(update.parts);
    for (const core::config::change& one : update.entries) {
        wire::config_entry entry;
        entry.__set_revision(one.revision);
        entry.__set_key(one.key);
        entry.__set_value(one.value);
        out.entries.push_back(std::move(entry));
    }
    return out;
}

} // namespace

void feed_service::tick(time_point now) {
    if (!watching_ && now >= next_watch_)
        watch_head(now);
    if (now - store_heard_at_ > peer_feed_after && now >= next_ask_)
        ask_peers(now);
    for (auto& [link, one] : subscribers_)
        if (now - one.told_at >= fresh_every)
            serve(link, one, now);
    context_.program.ready = context_.config.fresh(now);
}

void feed_service::watch_head(time_point now) {
    watching_ = true;
    store_event tag;
    tag.call = store_call::config_head;
    tag.asked_at = now;
    context_.platform.watch(std::move(tag), core::feed::head_key(), head_version_, head_watch_wait);
}

void feed_service::take(const store_event& event, time_point now) {
    if (event.call == store_call::config_part)
        return take_part(event, now);
    watching_ = false;
    if (!event.answer.store_answered()) {
        next_watch_ = now + head_retry_after;
        return;
    }
    store_heard_at_ = now;
    take_head(event, now);
}

void feed_service::take_head(const store_event& event, time_point now) {
    if (event.answer.outcome == edge::store_outcome::unchanged)
        return context_.config.confirm_from_store(head_revision_, event.asked_at);
    if (event.answer.outcome == edge::store_outcome::absent) {
        next_watch_ = now + head_retry_after;
        return context_.config.confirm_from_store(0, event.asked_at);
    }
    const auto head = core::feed::decode_head(event.answer.body);
    if (!head) {
        next_watch_ = now + head_watch_wait;
        log_->error("configuration head can't be read");
        return;
    }
    head_version_ = event.answer.version;
    head_revision_ = head->revision;
    const std::int64_t before = context_.config.revision();
    const auto result = context_.config.take_head(*head);
    if (result == core::feed::head_result::needs_snapshot)
        return fetch_snapshot(*head, event.asked_at);
    if (result == core::feed::head_result::malformed)
        log_->error("configuration entries after revision {} can't be applied", before);
    context_.config.confirm_from_store(head->revision, event.asked_at);
    if (context_.config.revision() > before)
        changed("store");
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
        fetch_.reset(); // the head is read again from scratch
        head_version_ = 0;
        next_watch_ = now + head_retry_after;
        return;
    }
    fetch_->parts[static_cast<std::size_t>(event.shard)] = std::move(entries);
    if (std::any_of(fetch_->parts.begin(), fetch_->parts.end(), [](const auto& one) { return !one; }))
        return;
    std::vector<core::config::change> all;
    for (auto& part : fetch_->parts)
        all.insert(all.end(), part->begin(), part->end());
    const std::int64_t before = context_.config.revision();
    if (!context_.config.take_snapshot(fetch_->base, all))
        log_->error("configuration snapshot {} can't be applied", fetch_->base);
    context_.config.take_head(fetch_->head);
    context_.config.confirm_from_store(fetch_->head.revision, fetch_->head_asked_at);
    fetch_.reset();
    if (context_.config.revision() > before)
        changed("store");
}

void feed_service::changed(const std::string& source) {
    changed_ = true;
    const std::string revision = std::to_string(context_.config.revision());
    context_.program.timeline.add(edge::event_kind::configuration, revision, "in force here, from " + source);
    log_->info("revision {} is in force, from {}", revision, source);
    const time_point now = core::common::clock::now();
    applied_[context_.self.holder] = {context_.config.revision(), now};
    for (auto& [link, one] : subscribers_)
        serve(link, one, now);
}

void feed_service::subscribe(const edge::link_event& event, const wire::subscribe_config& request,
                             time_point now) {
    const bool known = subscribers_.contains(event.link);
    if (!known && static_cast<int>(subscribers_.size()) >= context_.settings.max_subscribers) {
        wire::feed_elsewhere answer;
        answer.__set_addresses(other_stewards());
        return context_.links.send(event.link, kind::feed_elsewhere, event.frame.header.call, answer);
    }
    subscriber& one = subscribers_[event.link];
    one.have = std::max<std::int64_t>(0, request.have_revision);
    one.call = event.frame.header.call;
    serve(event.link, one, now);
}

/// Sends what is missing, then for how long the copy may be trusted. Counted from the question `call` by
/// subscribers that know it.
void feed_service::serve(edge::link_id link, subscriber& one, time_point now) {
    for (const core::feed::feed_update& update : context_.config.updates_since(one.have))
        context_.links.send(link, kind::config_update, one.call, to_wire(update));
    one.have = std::max(one.have, context_.config.revision());
    one.told_at = now;
    wire::config_fresh fresh;
    fresh.__set_revision(context_.config.revision());
    fresh.__set_fresh_ms(core::common::to_wire_ms(context_.config.fresh_until() - now));
    context_.links.send(link, kind::config_fresh, one.call, fresh);
}

void feed_service::ask_peers(time_point now) {
    next_ask_ = now + peer_feed_every;
    wire::subscribe_config request;
    request.__set_have_revision(context_.config.revision());
    for (const auto& [link, name] : stewards_) {
        const std::int64_t call = context_.next_call();
        auto& asked = asked_[link];
        asked[call] = now;
        if (asked.size() > max_asked)
            asked.erase(asked.begin());
        context_.links.send(link, kind::subscribe_config, call, request);
    }
}

void feed_service::update(edge::link_id link, const wire::config_update& update, time_point now) {
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
        changed("a peer");
}

void feed_service::vouched(edge::link_id link, std::int64_t call, const wire::config_fresh& message) {
    auto& asked = asked_[link];
    const auto found = asked.find(call);
    if (found != asked.end())
        context_.config.confirm_from_peer(message.revision, core::common::milliseconds{message.fresh_ms},
                                          found->second);
}

void feed_service::acceptor(const wire::hello& peer, const wire::acceptor_status& status, time_point now) {
    core::feed::acceptor_report report;
    report.boot = peer.boot;
    report.accepted_revision = status.accepted_revision;
    report.store_unreachable = status.store_unreachable_ms > 0;
    context_.config.update_acceptor(status.acceptor, report, now);
}

void feed_service::applied(const wire::apply_report& report, time_point now) {
    applied_[report.process] = {report.revision, now};
}

void feed_service::link_opened(edge::link_id link, const wire::hello& peer) {
    if (peer.role == "steward" && peer.process != context_.self.holder)
        stewards_[link] = peer.process;
}

void feed_service::link_closed(edge::link_id link) {
    subscribers_.erase(link);
    stewards_.erase(link);
    asked_.erase(link);
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
