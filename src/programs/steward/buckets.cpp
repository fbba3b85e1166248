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

constexpr core::common::milliseconds retry_if_not_ready{200}; // while a new holder stores its shares
constexpr core::common::milliseconds max_write_wait{300};     // of a draw for a write of the shard's object

prometheus::Counter& make_counter(steward_context& context) {
    return prometheus::BuildCounter()
        .Name("waxwing_steward_granted_tokens_total")
        .Help("Tokens granted to routers")
        .Register(*context.program.metrics)
        .Add({});
}

/// Reads the previous holder's entry from the shard's state; nullopt if there is none.
std::optional<predecessor> decode_predecessor(const json& state) {
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

void bucket_service::on_acquired(int shard, const json& state, std::int64_t fencing, time_point now) {
    shard_buckets& buckets = shards_[shard] = shard_buckets{};
    buckets.fencing = fencing;
    buckets.since = now;
    const auto stored = core::limits::shares::decode(state.value("shares", json::array()));
    const bool stopped = state.value("stopped", false);
    buckets.pending = stored.value_or(core::limits::shares{});
    if (const auto last = decode_predecessor(state))
        buckets.pending = buckets.pending->after(*last, stopped);
    // This process discards its buckets when it is deposed. If it is listed as a predecessor, it has
    // therefore stopped granting.
    buckets.pending->confirm_stopped(context_.self.holder, context_.self.boot, now);
    const json reserves = state.value("buckets", json::object());
    for (const auto& [customer, value] : reserves.items()) {
        const double reserve = value.value("reserve", 0.0);
        buckets.inherited[customer] = {reserve, value.value("burst", 0.0) - reserve};
    }
    const json balances = stopped ? state.value("balances", json::object()) : json::object();
    for (const auto& [customer, value] : balances.items())
        buckets.balances[customer] = {
            {value.value("tokens", 0.0), value.value("outstanding", std::int64_t{0})},
            value.value("fencing", std::int64_t{0})};
    make_buckets(shard, now);
}

/// Creates the buckets of all configured customers at once: the first write of the shard's object then
/// makes tokens available to each of them.
void bucket_service::make_buckets(int shard, time_point now) {
    const int count = context_.settings.control_shards;
    for (const auto& [name, customer] : context_.state().customers)
        if (core::membership::shard_of(core::membership::bucket_name(name), count) == shard)
            find_or_add(shards_[shard], name, now);
}

void bucket_service::on_written(int shard, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    for (auto& [customer, customer_bucket] : found->second.buckets)
        customer_bucket.confirm_reserve(now);
    if (!found->second.ready)
        return;
    for (const waiting_draw& draw : std::exchange(found->second.waiting, {}))
        grant(found->second, draw, now);
}

void bucket_service::await_stored(int shard, std::int64_t generation) {
    const auto found = shards_.find(shard);
    if (found != shards_.end() && found->second.pending)
        found->second.awaited_generation = generation;
}

void bucket_service::on_stored(int shard, std::int64_t generation, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end() || !found->second.pending || generation < found->second.awaited_generation)
        return;
    shard_buckets& buckets = found->second;
    buckets.shares = *std::exchange(buckets.pending, std::nullopt);
    if (!buckets.ready)
        buckets.since = now;
    buckets.ready = true;
    apply_limits(buckets, now);
}

void bucket_service::on_lapsed(int shard, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    found->second.lease_valid = false;
    apply_limits(found->second, now);
}

void bucket_service::on_regained(int shard, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    found->second.lease_valid = true;
    apply_limits(found->second, now);
}

void bucket_service::on_deposed(int shard, time_point now) {
    (void)now;
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    for (const waiting_draw& draw : found->second.waiting)
        refuse(draw, wire::refusal::store_unavailable);
    shards_.erase(found);
}

void bucket_service::encode(int shard, bool stopping, json& state, time_point now) {
    const auto found = shards_.find(shard);
    if (found == shards_.end())
        return;
    shard_buckets& buckets = found->second;
    const core::limits::shares& next = buckets.pending ? *buckets.pending : buckets.shares;
    state["shares"] = next.encode();
    state["decider"] = {{"holder", context_.self.holder},
                        {"vm", context_.settings.vm},
                        {"boot", context_.self.boot},
                        {"fencing", buckets.fencing},
                        {"share", next.share(true)}};
    json& reserves = state["buckets"] = json::object();
    for (const auto& [customer, left] : buckets.inherited)
        reserves[customer] = {{"reserve", left.reserve}, {"burst", left.reserve + left.outstanding}};
    for (auto& [customer, customer_bucket] : buckets.buckets)
        reserves[customer] = {{"reserve", customer_bucket.propose_reserve(now)},
                              {"burst", customer_bucket.limits().burst_tokens}};
    if (!stopping)
        return;
    state["stopped"] = true;
    for (auto& [customer, customer_bucket] : buckets.buckets) {
        const bucket_balance balance = customer_bucket.hand_over(now);
        reserves[customer]["reserve"] = balance.tokens;
        state["balances"][customer] = {
            {"tokens", balance.tokens}, {"outstanding", balance.outstanding}, {"fencing", buckets.fencing}};
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
    for (auto& [name, customer_bucket] : shard.buckets) {
        const auto customer = context_.state().customers.find(name);
        const bool known = customer != context_.state().customers.end();
        customer_bucket.change_limits(now, known ? limits_of(shard, customer->second) : bucket_limits{});
    }
}

bucket* bucket_service::find_or_add(shard_buckets& shard, const std::string& customer, time_point now) {
    const auto found = shard.buckets.find(customer);
    if (found != shard.buckets.end())
        return &found->second;
    const auto configured = context_.state().customers.find(customer);
    if (configured == context_.state().customers.end())
        return nullptr;
    // A customer without an entry in the shard's object has never been served: its burst is unused.
    const double burst = configured->second.burst_tokens;
    core::limits::predecessor_state left{burst, 0};
    if (const auto reserve = shard.inherited.find(customer); reserve != shard.inherited.end()) {
        left = reserve->second;
        left.outstanding = std::max(left.outstanding, burst - left.reserve);
    }
    // Outstanding grants of the predecessor are counted from the time at which this steward acquired the
    // shard.
    bucket added{shard.since, shard.fencing, limits_of(shard, configured->second), left};
    const auto balance = shard.balances.find(customer);
    if (balance != shard.balances.end())
        added.adopt(now, balance->second.balance, balance->second.fencing);
    shard.write_needed = true;
    return &shard.buckets.emplace(customer, std::move(added)).first->second;
}

void bucket_service::on_draw_request(const edge::link_event& event, const wire::draw_request& request,
                                     int shard, bool lease_held, time_point now) {
    const waiting_draw draw{event.link, event.frame.header.call, request, now + max_write_wait};
    const auto found = shards_.find(shard);
    if (found == shards_.end() || !found->second.ready)
        return refuse(draw, wire::refusal::store_unavailable);
    shard_buckets& buckets = found->second;
    if (lease_held != buckets.lease_valid) {
        buckets.lease_valid = lease_held;
        apply_limits(buckets, now);
    }
    bucket* customer_bucket = find_or_add(buckets, request.customer, now);
    if (customer_bucket == nullptr) // the customer is not in this copy of the configuration
        return refuse(draw, wire::refusal::not_fresh);
    if (customer_bucket->needs_write(now, request.wanted)) {
        buckets.waiting.push_back(draw);
        buckets.write_needed = true;
        return;
    }
    grant(buckets, draw, now);
}

void bucket_service::grant(shard_buckets& shard, const waiting_draw& draw, time_point now) {
    const wire::draw_request& request = draw.request;
    bucket* customer_bucket = find_or_add(shard, request.customer, now);
    if (customer_bucket == nullptr)
        return refuse(draw, wire::refusal::not_fresh);
    std::vector<core::limits::settlement> settled;
    for (const wire::grant_settlement& settlement : request.settled)
        settled.push_back({settlement.grant, settlement.spent, settlement.returned, settlement.corrected});
    const auto drawn = customer_bucket->draw(now, request.wanted, settled);
    wire::draw_result out;
    out.__set_customer(request.customer);
    out.__set_grant(drawn.grant);
    out.__set_tokens(drawn.tokens);
    out.__set_valid_ms(core::common::to_wire_ms(drawn.valid_for));
    // `never` has no finite form on the wire and is sent as the largest number.
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

void bucket_service::on_stood_down(const wire::stood_down& message, time_point now) {
    const auto found = shards_.find(message.shard);
    if (found == shards_.end())
        return;
    // A delayed message about an earlier lease says nothing about a later lease of the same process, which
    // has a higher fencing number.
    for (const predecessor& former : found->second.shares.predecessors())
        if (former.holder == message.holder && former.boot == message.boot &&
            former.fencing <= message.fencing)
            return found->second.shares.confirm_stopped(message.holder, message.boot, now);
}

std::vector<int> bucket_service::tick(time_point now) {
    if (config_revision_ != context_.config.revision()) {
        config_revision_ = context_.config.revision();
        for (auto& [shard, buckets] : shards_)
            apply_limits(buckets, now);
    }
    std::vector<int> changed;
    for (auto& [shard, buckets] : shards_) {
        const auto overdue =
            std::stable_partition(buckets.waiting.begin(), buckets.waiting.end(),
                                  [now](const waiting_draw& draw) { return now < draw.until; });
        const std::vector<waiting_draw> expired(overdue, buckets.waiting.end());
        buckets.waiting.erase(overdue, buckets.waiting.end());
        for (const waiting_draw& draw : expired)
            grant(buckets, draw, now);
        if (std::exchange(buckets.write_needed, false))
            changed.push_back(shard);
        for (const predecessor& former : buckets.shares.predecessors())
            if (targets_.vm_removed_from_list(former.vm, now))
                buckets.shares.confirm_stopped(former.holder, former.boot, now);
        if (buckets.pending || !buckets.lease_valid)
            continue;
        buckets.pending = buckets.shares.without_lapsed(now);
        if (buckets.pending)
            changed.push_back(shard);
    }
    return changed;
}

} // namespace waxwinglb::programs::steward
