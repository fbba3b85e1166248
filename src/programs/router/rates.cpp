#include "programs/router/rates.hpp"

#include "core/membership/shard.hpp"

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds draw_timeout{400};            // a draw without an answer is given up
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
    entry& one = entries_[customer];
    const auto result = one.grant_cache.reserve(now, tokens);
    pump(customer, one, now);
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

void customer_rates::pump(const std::string& customer, entry& one, time_point now) {
    if (one.draw != 0)
        return;
    const int shard =
        core::membership::shard_of(core::membership::bucket_name(customer), settings_.control_shards);
    const auto holder = stewards_.holder(shard, now);
    if (!holder)
        return;
    const auto order = one.grant_cache.next_draw(now);
    if (!order)
        return;
    one.draw = order->id;
    one.link = *holder;
    one.shard = shard;
    one.sent = now;
    wire::draw_request request;
    request.__set_customer(customer);
    request.__set_wanted(order->wanted);
    request.__set_router(context_.name);
    for (const core::limits::settlement& settled : order->settled) {
        wire::grant_settlement part;
        part.__set_grant(settled.grant);
        part.__set_spent(settled.spent);
        part.__set_returned(settled.returned);
        part.__set_corrected(settled.corrected);
        request.settled.push_back(part);
    }
    request.__isset.settled = true;
    links_.send(*holder, wire::message_kind::draw_request, order->id, request);
}

void customer_rates::drawn(std::int64_t draw, const wire::draw_result& result, time_point now) {
    const auto found = entries_.find(result.customer);
    if (found == entries_.end() || found->second.draw != draw)
        return;
    entry& one = found->second;
    if (result.reason != wire::refusal::none && result.reason != wire::refusal::rate_limited)
        return fail(one, now);
    core::limits::draw_answer answer;
    answer.grant = result.grant;
    answer.tokens = result.tokens;
    answer.valid_for = milliseconds{result.valid_ms};
    answer.retry_after = from_wire(result.retry_after_ms);
    one.grant_cache.draw_answered(now, draw, answer);
    one.draw = 0;
    wake(one);
}

void customer_rates::moved(const wire::not_holder& told, time_point now) {
    for (auto& [customer, one] : entries_)
        if (one.draw != 0 && one.shard == told.shard)
            fail(one, now);
}

void customer_rates::link_closed(edge::link_id link, time_point now) {
    for (auto& [customer, one] : entries_)
        if (one.draw != 0 && one.link == link)
            fail(one, now);
}

void customer_rates::fail(entry& one, time_point now) {
    one.grant_cache.draw_failed(now, one.draw);
    one.draw = 0;
    wake(one);
}

void customer_rates::wake(entry& one) {
    ready_.insert(ready_.end(), one.waiting.begin(), one.waiting.end());
}

void customer_rates::tick(time_point now) {
    for (auto next = entries_.begin(); next != entries_.end();) {
        entry& one = next->second;
        if (one.draw != 0 && now - one.sent >= draw_timeout)
            fail(one, now);
        if (one.draw == 0 && one.waiting.empty() && one.grant_cache.unused(now)) {
            next = entries_.erase(next);
            continue;
        }
        pump(next->first, one, now);
        ++next;
    }
}

} // namespace waxwinglb::programs::router
