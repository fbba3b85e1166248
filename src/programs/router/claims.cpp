#include "programs/router/claims.hpp"

#include "core/membership/shard.hpp"

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds claim_resend_interval{
    300}; // claims are idempotent by request id, so a resend is harmless
constexpr milliseconds outcome_resend_interval{500};

} // namespace

claim_tracker::claim_tracker(edge::link_hub& links, steward_directory& stewards, agent_links& agents,
                             const router_settings& settings)
    : links_(links), stewards_(stewards), agents_(agents), settings_(settings) {}

std::optional<edge::link_id> claim_tracker::holder_of(const std::string& key, time_point now) {
    return stewards_.holder(core::membership::shard_of(key, settings_.control_shards), now);
}

void claim_tracker::request_claim(call_id call, const wire::claim_record& record, time_point deadline,
                                  time_point now) {
    pending_claim& pending = pending_claims_[call];
    pending.request.__set_record(record);
    pending.deadline = deadline;
    send_claim_request(call, pending, now);
}

bool claim_tracker::send_claim_request(call_id call, pending_claim& pending, time_point now) {
    const auto holder = holder_of(pending.request.record.key, now);
    if (!holder)
        return false;
    pending.sent = now;
    pending.request.__set_remaining_ms(core::common::to_wire_ms(pending.deadline - now));
    links_.send(*holder, wire::message_kind::claim_request, call, pending.request);
    return true;
}

void claim_tracker::report_outcome(const wire::claim_record& record, retained_answer retained,
                                   time_point until, time_point now) {
    pending_outcome& pending = pending_outcomes_[record.key];
    pending.message.__set_record(record);
    pending.retained = std::move(retained);
    pending.until = until;
    send_outcome(pending, now);
}

bool claim_tracker::send_outcome(pending_outcome& pending, time_point now) {
    const auto holder = holder_of(pending.message.record.key, now);
    if (!holder)
        return false;
    pending.sent = now;
    links_.send(*holder, wire::message_kind::claim_outcome, 0, pending.message);
    return true;
}

void claim_tracker::handle_outcome_ack(const std::string& key, bool stored) {
    const auto found = pending_outcomes_.find(key);
    if (found == pending_outcomes_.end() || !stored)
        return; // sent again at the next tick
    const retained_answer& retained = found->second.retained;
    if (!retained.address.empty())
        agents_.send(retained.address, wire::message_kind::ack_request, 0, retained.ack);
    pending_outcomes_.erase(found);
}

void claim_tracker::tick(time_point now) {
    for (auto& [call, pending] : pending_claims_)
        if (now - pending.sent >= claim_resend_interval)
            send_claim_request(call, pending, now);
    for (auto next = pending_outcomes_.begin(); next != pending_outcomes_.end();) {
        pending_outcome& pending = next->second;
        if (now >= pending.until) {
            next = pending_outcomes_.erase(next);
            continue;
        }
        if (now - pending.sent >= outcome_resend_interval)
            send_outcome(pending, now);
        ++next;
    }
}

} // namespace waxwinglb::programs::router
