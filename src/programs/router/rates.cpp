#include "programs/router/rates.hpp"

#include "core/membership/shard.hpp"

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds draw_timeout{400};            // a draw without an answer by then has failed
constexpr std::int64_t never_ms = 1'000'000'000'000; // wire form of "the amount is above the burst"

core::common::duration from_wire(std::int64_t ms) {
    if (ms < 0 || ms >= never_ms)
        return core::limits::never;
    return milliseconds{ms};
}

} // namespace

customer_rates::customer_rates(edge::link_hub& links, steward_directory& stewards,
                               const router_settings& settings, edge::program_context& context)
    : links_(links), stewards_(stewards), settings_(settings), context_(context) {}

core::limits::reserve_result customer_rates::reserve(const std::string& customer, std::int64_t tokens,
                                                     time_point now) {
    customer_entry& entry = entries_[customer];
    const auto result = entry.grant_cache.reserve(now, tokens);
    send_due_draw(customer, entry, now);
    return result;
}

void customer_rates::settle(const std::string& customer, core::limits::reservation_id reservation,
                            std::int64_t used, time_point now) {
    const auto found = entries_.find(customer);
    if (found != entries_.end())
        found->second.grant_cache.settle(now, reservation, used);
}

void customer_rates::stop_waiting(const std::string& customer, call_id call) {
    const auto found = entries_.find(customer);
    if (found != entries_.end())
        found->second.waiting.erase(call);
}

std::vector<call_id> customer_rates::take_ready() {
    return std::exchange(ready_, {});
}

void customer_rates::send_due_draw(const std::string& customer, customer_entry& entry, time_point now) {
    if (entry.draw != 0)
        return;
    const int shard =
        core::membership::shard_of(core::membership::bucket_name(customer), settings_.control_shards);
    const auto holder = stewards_.holder(shard, now);
    if (!holder)
        return;
    const auto draw = entry.grant_cache.next_draw(now);
    if (!draw)
        return;
    entry.draw = draw->id;
    entry.link = *holder;
    entry.shard = shard;
    entry.sent = now;
    wire::draw_request request;
    request.__set_customer(customer);
    request.__set_wanted(draw->requested);
    request.__set_router(context_.name);
    for (const core::limits::settlement& settled : draw->settled) {
        wire::grant_settlement settlement;
        settlement.__set_grant(settled.grant);
        settlement.__set_spent(settled.spent);
        settlement.__set_returned(settled.returned);
        settlement.__set_corrected(settled.corrected);
        request.settled.push_back(settlement);
    }
    request.__isset.settled = true;
    links_.send(*holder, wire::message_kind::draw_request, draw->id, request);
}

void customer_rates::handle_draw_result(std::int64_t draw, const wire::draw_result& result, time_point now) {
    const auto found = entries_.find(result.customer);
    if (found == entries_.end() || found->second.draw != draw)
        return;
    customer_entry& entry = found->second;
    if (result.reason != wire::refusal::none && result.reason != wire::refusal::rate_limited)
        return fail_draw(entry, now);
    core::limits::draw_answer answer;
    answer.grant = result.grant;
    answer.tokens = result.tokens;
    answer.valid_for = milliseconds{result.valid_ms};
    answer.retry_after = from_wire(result.retry_after_ms);
    entry.grant_cache.draw_answered(now, draw, answer);
    entry.draw = 0;
    notify_waiting(entry);
}

void customer_rates::handle_not_holder(const wire::not_holder& message, time_point now) {
    for (auto& [customer, entry] : entries_)
        if (entry.draw != 0 && entry.shard == message.shard)
            fail_draw(entry, now);
}

void customer_rates::handle_link_closed(edge::link_id link, time_point now) {
    for (auto& [customer, entry] : entries_)
        if (entry.draw != 0 && entry.link == link)
            fail_draw(entry, now);
}

void customer_rates::fail_draw(customer_entry& entry, time_point now) {
    entry.grant_cache.draw_failed(now, entry.draw);
    entry.draw = 0;
    notify_waiting(entry);
}

void customer_rates::notify_waiting(customer_entry& entry) {
    ready_.insert(ready_.end(), entry.waiting.begin(), entry.waiting.end());
}

void customer_rates::tick(time_point now) {
    for (auto next = entries_.begin(); next != entries_.end();) {
        customer_entry& entry = next->second;
        if (entry.draw != 0 && now - entry.sent >= draw_timeout)
            fail_draw(entry, now);
        if (entry.draw == 0 && entry.waiting.empty() && entry.grant_cache.unused(now)) {
            next = entries_.erase(next);
            continue;
        }
        send_due_draw(next->first, entry, now);
        ++next;
    }
}

} // namespace waxwinglb::programs::router
