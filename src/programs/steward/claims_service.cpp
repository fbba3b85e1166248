#include "programs/steward/claims_service.hpp"

namespace waxwinglb::programs::steward {

using core::claims::answer_kind;
using core::claims::claim_log;
using core::claims::step;
using core::claims::step_kind;
using core::claims::store_result;
using core::common::time_point;
using kind = wire::message_kind;

namespace {

constexpr core::common::milliseconds retry_if_unavailable{1'000};

prometheus::Counter& add_counter(steward_context& context, const char* name, const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(*context.program.metrics).Add({});
}

store_result result_of(edge::store_outcome outcome) {
    switch (outcome) {
    case edge::store_outcome::ok:
        return store_result::ok;
    case edge::store_outcome::absent:
        return store_result::absent;
    case edge::store_outcome::conflict:
        return store_result::conflict;
    case edge::store_outcome::unknown:
        return store_result::unknown;
    case edge::store_outcome::unchanged:
    case edge::store_outcome::too_large:
    case edge::store_outcome::unavailable:
        return store_result::failed;
    }
    return store_result::unknown;
}

core::claims::claim from_wire(const wire::claim_record& record) {
    core::claims::claim out;
    out.key = record.key;
    out.fingerprint = record.fingerprint;
    out.request_id = record.request_id;
    out.attempt = record.attempt;
    out.target = record.target;
    out.address = record.address;
    out.state = core::claims::state_of(record.state).value_or(core::claims::claim_state::unknown);
    out.status = record.status;
    out.answer = record.answer;
    out.content_type = record.content_type;
    out.expires_unix_ms = record.expires_unix_ms;
    return out;
}

wire::claim_record to_wire(const core::claims::claim& claim) {
    wire::claim_record out;
    out.__set_key(claim.key);
    out.__set_fingerprint(claim.fingerprint);
    out.__set_request_id(claim.request_id);
    out.__set_attempt(claim.attempt);
    out.__set_target(claim.target);
    out.__set_address(claim.address);
    out.__set_state(core::claims::name_of(claim.state));
    out.__set_status(claim.status);
    out.__set_answer(claim.answer);
    out.__set_content_type(claim.content_type);
    out.__set_expires_unix_ms(claim.expires_unix_ms);
    return out;
}

} // namespace

claims_service::claims_service(steward_context& context)
    : context_(context),
      granted_(add_counter(context, "waxwing_steward_claims_granted_total", "Claims granted")),
      refused_(add_counter(context, "waxwing_steward_claims_refused_total",
                           "Claims not granted: key taken or store out of reach")),
      writes_(
          add_counter(context, "waxwing_steward_claim_writes_total", "Writes of claim heads and segments")) {}

void claims_service::on_acquired(int shard) {
    core::claims::claim_options options;
    options.retention = context_.settings.claim_retention;
    shards_.insert_or_assign(shard, shard_claims{claim_log{options}, ++last_epoch_});
}

void claims_service::on_lost(int shard) {
    shards_.erase(shard);
    for (auto it = requesters_.begin(); it != requesters_.end();) {
        if (it->second.shard != shard) {
            ++it;
            continue;
        }
        wire::not_holder out;
        out.__set_shard(shard);
        context_.links.send(it->second.link, kind::not_holder, it->second.call, out);
        it = requesters_.erase(it);
    }
}

core::claims::ticket claims_service::add_requester(const edge::link_event& event, int shard,
                                                   const std::string& key, bool outcome) {
    requesters_[++last_ticket_] = {event.link, event.frame.header.call, shard, key, outcome};
    return last_ticket_;
}

void claims_service::on_claim_request(const edge::link_event& event, const wire::claim_request& request,
                                      int shard, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    const auto ticket = add_requester(event, shard, request.record.key, false);
    const core::common::milliseconds remaining{std::max<std::int64_t>(0, request.remaining_ms)};
    found->second.log.claim_key(ticket, from_wire(request.record), remaining, now);
    advance(shard, found->second, now);
}

void claims_service::on_claim_outcome(const edge::link_event& event, const wire::claim_outcome& message,
                                      int shard, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    const auto ticket = add_requester(event, shard, message.record.key, true);
    found->second.log.record_outcome(ticket, from_wire(message.record), now);
    advance(shard, found->second, now);
}

void claims_service::tick(time_point now) {
    for (auto& [shard, claims] : shards_)
        advance(shard, claims, now);
}

void claims_service::advance(int shard, shard_claims& claims, time_point now) {
    while (const auto next = claims.log.next_step(now, std::chrono::system_clock::now()))
        execute(shard, claims, *next, now);
    for (const core::claims::answer& answer : claims.log.take_answers())
        send_answer(answer);
}

void claims_service::execute(int shard, const shard_claims& claims, const step& step, time_point now) {
    store_event tag;
    tag.shard = shard;
    tag.number = claims.epoch;
    tag.asked_at = now;
    const std::string segment = core::claims::segment_key(shard, step.segment);
    switch (step.kind) {
    case step_kind::read_head:
        tag.call = store_call::claims_head_read;
        return context_.platform.read(std::move(tag), core::claims::head_key(shard));
    case step_kind::read_segment:
        tag.call = store_call::claims_segment_read;
        return context_.platform.read(std::move(tag), segment);
    case step_kind::write_head:
        tag.call = store_call::claims_head_write;
        writes_.Increment();
        return context_.platform.put(std::move(tag), core::claims::head_key(shard), step.if_version,
                                     step.body);
    case step_kind::create_segment:
        tag.call = store_call::claims_segment_write;
        writes_.Increment();
        return context_.platform.put(std::move(tag), segment, {}, step.body);
    case step_kind::remove_segment:
        tag.call = store_call::claims_segment_remove;
        tag.key = segment;
        return context_.platform.read(std::move(tag), segment); // the removal needs its version
    }
}

void claims_service::take(const store_event& event, time_point now) {
    const edge::store_answer& answer = event.answer;
    if (event.call == store_call::claims_segment_remove) {
        // Only the answer to the read carries a key. If the removal fails, the segment stays in the store
        // without a head that refers to it.
        if (answer.outcome == edge::store_outcome::ok && !event.key.empty())
            context_.platform.remove({event.call, event.shard, 0, {}, now, {}}, event.key, answer.version);
        return;
    }
    const auto found = shards_.find(event.shard);
    if (found == shards_.end() || found->second.epoch != event.number)
        return;
    claim_log& log = found->second.log;
    const store_result result = result_of(answer.outcome);
    if (event.call == store_call::claims_head_read)
        log.head_read(result, answer.version, answer.body, now);
    else if (event.call == store_call::claims_segment_read)
        log.segment_read(result, answer.body, now);
    else if (event.call == store_call::claims_head_write)
        log.head_written(result, answer.version, now);
    else if (event.call == store_call::claims_segment_write)
        log.segment_created(result, now);
    advance(event.shard, found->second, now);
}

void claims_service::send_answer(const core::claims::answer& answer) {
    const auto found = requesters_.find(answer.to);
    if (found == requesters_.end())
        return;
    const requester to = found->second;
    requesters_.erase(found);
    if (to.outcome) {
        wire::claim_outcome_ack out;
        out.__set_key(to.key);
        out.__set_stored(answer.kind == answer_kind::outcome_stored);
        return context_.links.send(to.link, kind::claim_outcome_ack, to.call, out);
    }
    wire::claim_result out;
    out.__set_key(to.key);
    out.__set_granted(answer.kind == answer_kind::granted);
    out.__set_mismatch(answer.kind == answer_kind::mismatch);
    if (answer.kind == answer_kind::unavailable) {
        out.__set_reason(wire::refusal::store_unavailable);
        out.__set_retry_after_ms(retry_if_unavailable.count());
    } else {
        out.__set_existing(to_wire(answer.record));
        out.__set_reason(out.granted ? wire::refusal::none : wire::refusal::duplicate);
    }
    (out.granted ? granted_ : refused_).Increment();
    context_.links.send(to.link, kind::claim_result, to.call, out);
}

} // namespace waxwinglb::programs::steward
