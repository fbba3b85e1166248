#include "programs/steward/buckets.hpp"

#include "core/membership/shard.hpp"

#include <prometheus/counter.h>

#include <algorithm>

namespace waxwinglb::programs::steward {

using core::common::time_point;
using core::limits::bucket;
using core::limits::bucket_balance;
using core::limits::bucket_limits;
using core::limits::predecessor;
using nlohmann::json;

namespace {

constexpr core::common::milliseconds retry_if_not_ready{200}; // a new holder is storing its shares
constexpr core::common::milliseconds write_wait{300};         // longest wait of a draw for a write

prometheus::Counter& make_counter(steward_context& context) {
    return prometheus::BuildCounter()
        .Name("waxwing_steward_granted_tokens_total")
        .Help("Tokens granted to routers")
        .Register(*context.program.metrics)
        .Add({});
}

/// The former holder as it wrote itself into the shard's state; nullopt if there was none.
std::optional<predecessor> read_decider(const json& state) {
    const auto found = state.find("decider");
    if (found == state.end() || !found->is_object())
        return std::nullopt;
    predecessor out;
    out.holder = found->value("holder", std::string{});
    out.vm = found->value("vm", std::string{});
    out.boot = found->value("boot", std::int64_t{0});
    out.fencing = found->value("fencing", std::int64_t{0});
    out.share = found->value("share", 1.0);
    return out;
}

} // namespace

bucket_service::bucket_service(steward_context& context, target_table& targets)
    : context_(context), targets_(targets), granted_tokens_(make_counter(context)) {}

void bucket_service::acquired(int shard, const json& state, std::int64_t fencing, time_point now) {
    shard_buckets& one = shards_[shard] = shard_buckets{};
    one.fencing = fencing;
    one.since = now;
    const auto stored = core::limits::shares::decode(state.value("shares", json::array()));
    const bool stopped = state.value("stopped", false);
    one.pending = stored.value_or(core::limits::shares{});
    if (const auto last = read_decider(state))
        one.pending = one.pending->after(*last, stopped);
    // This process dropped its buckets when it was deposed: as a predecessor it has stopped.
    one.pending->confirm_stopped(context_.self.holder, context_.self.boot, now);
    const json reserves = state.value("buckets", json::object());
    for (const auto& [customer, value] : reserves.items()) {
        const double reserve = value.value("reserve", 0.0);
        one.inherited[customer] = {reserve, value.value("burst", 0.0) - reserve};
    }
    const json balances = stopped ? state.value("balances", json::object()) : json::object();
    for (const auto& [customer, value] : balances.items())
        one.balances[customer] = {{value.value("tokens", 0.0), value.value("outstanding", std::int64_t{0})},
                                  value.value("fencing", std::int64_t{0})};
    make_buckets(shard, now);
}

/// Buckets of all configured customers at once, so that the first write frees tokens for each of them.
void bucket_service::make_buckets(int shard, time_point now) {
    const int count = context_.settings.control_shards;
    for (const auto& [name, customer] : context_.state().customers)
        if (core::membership::shard_of(core::membership::bucket_name(name), count) == shard)
            find(shards_[shard], name, now);
}

void bucket_service::written(int shard, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    for (auto& [customer, held] : found->second.buckets)
        held.confirm_reserve(now);
    if (!found->second.ready)
        return;
    for (const waiting_draw& one : std::exchange(found->second.waiting, {}))
        grant(found->second, one, now);
}

void bucket_service::awaiting(int shard, std::int64_t generation) {
    const auto found = shards_.find(shard);
    if (found != shards_.end() && found->second.pending)
        found->second.awaited = generation;
}

void bucket_service::stored(int shard, std::int64_t generation, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end() || !found->second.pending || generation < found->second.awaited)
        return;
    shard_buckets& one = found->second;
    one.shares = *std::exchange(one.pending, std::nullopt);
    if (!one.ready)
        one.since = now;
    one.ready = true;
    apply_limits(one, now);
}

void bucket_service::lapsed(int shard, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    found->second.lease_valid = false;
    apply_limits(found->second, now);
}

void bucket_service::regained(int shard, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    found->second.lease_valid = true;
    apply_limits(found->second, now);
}

void bucket_service::deposed(int shard, time_point now) {
    (void)now;
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    for (const waiting_draw& one : found->second.waiting)
        refuse(one, wire::refusal::store_unavailable);
    shards_.erase(found);
}

void bucket_service::encode(int shard, bool stopping, json& state, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    shard_buckets& one = found->second;
    const core::limits::shares& next = one.pending ? *one.pending : one.shares;
    state["shares"] = next.encode();
    state["decider"] = {{"holder", context_.self.holder},
                        {"vm", context_.settings.vm},
                        {"boot", context_.self.boot},
                        {"fencing", one.fencing},
                        {"share", next.share(true)}};
    json& reserves = state["buckets"] = json::object();
    for (const auto& [customer, left] : one.inherited)
        reserves[customer] = {{"reserve", left.reserve}, {"burst", left.reserve + left.outstanding}};
    for (auto& [customer, held] : one.buckets)
        reserves[customer] = {{"reserve", held.propose_reserve(now)}, {"burst", held.limits().burst_tokens}};
    if (!stopping)
        return;
    state["stopped"] = true;
    for (auto& [customer, held] : one.buckets) {
        const bucket_balance balance = held.hand_over(now);
        reserves[customer]["reserve"] = balance.tokens;
        state["balances"][customer] = {
            {"tokens", balance.tokens}, {"outstanding", balance.outstanding}, {"fencing", one.fencing}};
    }
}

std::int64_t bucket_service::fencing(int shard) const {
    const auto found = shards_.find(shard);
    return found == shards_.end() ? 0 : found->second.fencing;
}

bool bucket_service::decides(int shard) const {
    const auto found = shards_.find(shard);
    return found != shards_.end() && found->second.ready;
}

bucket_limits bucket_service::limits_of(const shard_buckets& shard,
                                        const core::config::customer& customer) const {
    return {customer.tokens_per_second, customer.burst_tokens, shard.shares.share(shard.lease_valid),
            !shard.lease_valid};
}

void bucket_service::apply_limits(shard_buckets& shard, time_point now) {
    for (auto& [name, held] : shard.buckets) {
        const auto customer = context_.state().customers.find(name);
        const bool known = customer != context_.state().customers.end();
        held.change_limits(now, known ? limits_of(shard, customer->second) : bucket_limits{});
    }
}

bucket* bucket_service::find(shard_buckets& shard, const std::string& customer, time_point now) {
    const auto found = shard.buckets.find(customer);
    if (found != shard.buckets.end())
        return &found->second;
    const auto configured = context_.state().customers.find(customer);
    if (configured == context_.state().customers.end())
        return nullptr;
    // A customer that no holder ever wrote into the shard's object has never been served.
    const double burst = configured->second.burst_tokens;
    core::limits::predecessor_state left{burst, 0};
    if (const auto known = shard.inherited.find(customer); known != shard.inherited.end()) {
        left = known->second;
        left.outstanding = std::max(left.outstanding, burst - left.reserve);
    }
    // The predecessor's grants are counted from when this steward began to hold the shard.
    bucket made{shard.since, shard.fencing, limits_of(shard, configured->second), left};
    const auto balance = shard.balances.find(customer);
    if (balance != shard.balances.end())
        made.adopt(now, balance->second.balance, balance->second.fencing);
    shard.write_wanted = true;
    return &shard.buckets.emplace(customer, std::move(made)).first->second;
}

void bucket_service::draw(const edge::link_event& event, const wire::draw_request& request, int shard,
                          bool lease_held, time_point now) {
    const waiting_draw asked{event.link, event.frame.header.call, request, now + write_wait};
    const auto held = shards_.find(shard);
    if (held == shards_.end() || !held->second.ready)
        return refuse(asked, wire::refusal::store_unavailable);
    shard_buckets& mine = held->second;
    if (lease_held != mine.lease_valid) {
        mine.lease_valid = lease_held;
        apply_limits(mine, now);
    }
    bucket* one = find(mine, request.customer, now);
    if (one == nullptr) // this copy of the configuration doesn't know the customer
        return refuse(asked, wire::refusal::not_fresh);
    if (one->needs_write(now, request.wanted)) {
        mine.waiting.push_back(asked);
        mine.write_wanted = true;
        return;
    }
    grant(mine, asked, now);
}

void bucket_service::grant(shard_buckets& shard, const waiting_draw& draw, time_point now) {
    const wire::draw_request& request = draw.request;
    bucket* one = find(shard, request.customer, now);
    if (one == nullptr)
        return refuse(draw, wire::refusal::not_fresh);
    std::vector<core::limits::settlement> settled;
    for (const wire::grant_settlement& each : request.settled)
        settled.push_back({each.grant, each.spent, each.returned, each.corrected});
    const auto drawn = one->draw(now, request.wanted, settled);
    wire::draw_result out;
    out.__set_customer(request.customer);
    out.__set_grant(drawn.grant);
    out.__set_tokens(drawn.tokens);
    out.__set_valid_ms(core::common::to_wire_ms(drawn.valid_for));
    // `never` has no finite form on the wire: the largest count stands for it.
    out.__set_retry_after_ms(core::common::to_wire_ms(drawn.retry_after));
    out.__set_fencing(shard.fencing);
    out.__set_reason(drawn.tokens > 0 || request.wanted == 0 ? wire::refusal::none
                                                             : wire::refusal::rate_limited);
    granted_tokens_.Increment(static_cast<double>(drawn.tokens));
    if (drawn.tokens > 0 && grants_++ % grants_per_event == 0)
        context_.program.timeline.add(edge::event_kind::grant, request.customer,
                                      std::to_string(drawn.tokens) + " tokens to " + request.router,
                                      "grant " + std::to_string(drawn.grant));
    answer(draw, out);
}

void bucket_service::refuse(const waiting_draw& draw, wire::refusal::type reason) {
    wire::draw_result out;
    out.__set_customer(draw.request.customer);
    out.__set_reason(reason);
    out.__set_retry_after_ms(retry_if_not_ready.count());
    answer(draw, out);
}

void bucket_service::answer(const waiting_draw& draw, const wire::draw_result& result) {
    context_.links.send(draw.link, wire::message_kind::draw_result, draw.call, result);
}

void bucket_service::stood_down(const wire::stood_down& message, time_point now) {
    const auto found = shards_.find(message.shard);
    if (found == shards_.end())
        return;
    // A late message about an earlier holding says nothing of a later one by the same process.
    for (const predecessor& former : found->second.shares.predecessors())
        if (former.holder == message.holder && former.boot == message.boot &&
            former.fencing <= message.fencing)
            return found->second.shares.confirm_stopped(message.holder, message.boot, now);
}

std::vector<int> bucket_service::tick(time_point now) {
    if (config_revision_ != context_.config.revision()) {
        config_revision_ = context_.config.revision();
        for (auto& [shard, one] : shards_)
            apply_limits(one, now);
    }
    std::vector<int> out;
    for (auto& [shard, one] : shards_) {
        const auto overdue =
            std::stable_partition(one.waiting.begin(), one.waiting.end(),
                                  [now](const waiting_draw& draw) { return now < draw.until; });
        const std::vector<waiting_draw> late(overdue, one.waiting.end());
        one.waiting.erase(overdue, one.waiting.end());
        for (const waiting_draw& draw : late)
            grant(one, draw, now);
        if (std::exchange(one.write_wanted, false))
            out.push_back(shard);
        for (const predecessor& former : one.shares.predecessors())
            if (targets_.vm_gone(former.vm, now))
                one.shares.confirm_stopped(former.holder, former.boot, now);
        if (one.pending || !one.lease_valid)
            continue;
        one.pending = one.shares.without_lapsed(now);
        if (one.pending)
            out.push_back(shard);
    }
    return out;
}

} // namespace waxwinglb::programs::steward
