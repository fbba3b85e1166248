#include "programs/router/claims.hpp"

#include "core/membership/shard.hpp"

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds ask_again{300}; // a claim is by request id: asking twice is harmless
constexpr milliseconds tell_again{500};

} // namespace

claim_book::claim_book(edge::link_hub& links, steward_directory& stewards, agent_links& agents,
                       const router_settings& settings)
    : links_(links), stewards_(stewards), agents_(agents), settings_(settings) {}

std::optional<edge::link_id> claim_book::holder_of(const std::string& key, time_point now) {
    return stewards_.holder(core::membership::shard_of(key, settings_.control_shards), now);
}

void claim_book::ask(call_id call, const wire::claim_record& record, time_point deadline, time_point now) {
    question& one = asked_[call];
    one.request.__set_record(record);
    one.deadline = deadline;
    send_question(call, one, now);
}

bool claim_book::send_question(call_id call, question& one, time_point now) {
    const auto holder = holder_of(one.request.record.key, now);
    if (!holder)
        return false;
    one.sent = now;
    one.request.__set_remaining_ms(core::common::to_wire_ms(one.deadline - now));
    links_.send(*holder, wire::message_kind::claim_request, call, one.request);
    return true;
}

void claim_book::settle(const wire::claim_record& record, kept_answer kept, time_point until,
                        time_point now) {
    outcome& one = outcomes_[record.key];
    one.message.__set_record(record);
    one.kept = std::move(kept);
    one.until = until;
    send_outcome(one, now);
}

bool claim_book::send_outcome(outcome& one, time_point now) {
    const auto holder = holder_of(one.message.record.key, now);
    if (!holder)
        return false;
    one.sent = now;
    links_.send(*holder, wire::message_kind::claim_outcome, 0, one.message);
    return true;
}

void claim_book::stored(const std::string& key, bool stored) {
    const auto found = outcomes_.find(key);
    if (found == outcomes_.end() || !stored)
        return; // told again at the next tick
    const kept_answer& kept = found->second.kept;
    if (!kept.address.empty())
        agents_.send(kept.address, wire::message_kind::ack_request, 0, kept.ack);
    outcomes_.erase(found);
}

void claim_book::tick(time_point now) {
    for (auto& [call, one] : asked_)
        if (now - one.sent >= ask_again)
            send_question(call, one, now);
    for (auto next = outcomes_.begin(); next != outcomes_.end();) {
        outcome& one = next->second;
        if (now >= one.until) {
            next = outcomes_.erase(next);
            continue;
        }
        if (now - one.sent >= tell_again)
            send_outcome(one, now);
        ++next;
    }
}

} // namespace waxwinglb::programs::router
