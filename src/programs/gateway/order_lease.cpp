#include "programs/gateway/order_lease.hpp"

#include "programs/gateway/peers.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using core::common::time_point;
using core::membership::write_result;
using platform::store_result;

constexpr milliseconds write_term{1'500}; // granted by one write of the lease
constexpr milliseconds renewal{500};
constexpr milliseconds margin{300}; // for differences in clock rate
constexpr milliseconds read_interval_holder_active{8'000};
constexpr milliseconds read_interval_holder_silent{400};
constexpr milliseconds read_interval_others_active{30'000};
constexpr milliseconds read_interval_others_silent{1'600};
constexpr milliseconds max_record_age{600};  // an older record doesn't show whether the holder renews it
constexpr milliseconds min_outage{800};      // failed store calls for less than that are not an outage
constexpr milliseconds renewal_grace{1'000}; // after an outage, for holders to renew before others take over
// Planning for a large fleet takes more processor time than a small machine has beside its requests: larger
// ones take a free lease first.
constexpr milliseconds smaller_machine_delay{500};
constexpr const char* orders_under_key = "orders_under"; // record field: fencing number of the last orders

} // namespace

order_lease::order_lease(gateway_context& context, platform::store_client& store, edge::http_client& client,
                         std::int64_t boot, std::function<void()> on_lost)
    : context_(context), leases_(context, store, client), on_lost_(std::move(on_lost)),
      lease_({context.settings.name, context.settings.peers, boot, true}, {write_term, margin, renewal}),
      contact_({min_outage, renewal_grace}) {}

void order_lease::step() {
    const auto now = context_.loop.now();
    if (lease_.writing()) {
        // the write's answer or timeout is pending
    } else if (lease_.renewal_due(now) && !lease_.releasing()) {
        if (const auto due = lease_.write(state_to_write(now), now))
            write(*due);
    } else if (may_take(now)) {
        if (const auto taking = lease_.take(now))
            write(*taking);
    } else if (!reading_ && read_due(now)) {
        read();
    }
    update_state(now);
}

bool order_lease::read_due(time_point now) const {
    return lease_.needs_read() || (!lease_.mine() && now - checked_at_ > read_interval());
}

/// All gateways of a small fleet look after the lease, the coordinators of a large one; the rest is there if
/// all of those are lost.
milliseconds order_lease::read_interval() const {
    const bool active = peers_->is_active_holder(lease_.record().holder);
    if (peers_->is_coordinator())
        return active ? read_interval_holder_active : read_interval_holder_silent;
    return active ? read_interval_others_active : read_interval_others_silent;
}

/// The record of an active holder is read rarely, so it may look expired: a takeover needs a fresh read.
bool order_lease::may_take(time_point now) const {
    if (lease_.mine() || context_.draining || !context_.config || !lease_.takeable(now))
        return false;
    // Some gateway may not know of the new era yet, or may use another lease in a rolling update.
    if (peers_->has_order_giver())
        return false;
    if (lease_.held_by_previous_start())
        return true;
    const bool smaller = context_.settings.processor_share < peers_->largest_processor_share();
    if (smaller && lease_.free_for(now) < smaller_machine_delay)
        return false;
    if (lease_.record().holder.empty())
        return true;
    return now - read_at_ <= max_record_age && contact_.may_take_over(now);
}

/// Notes the store's era, counts a call and records whether the store answered it.
void order_lease::record_call(const char* call, platform::store_reply& reply) {
    const auto now = context_.loop.now();
    context_.history.note(reply, call);
    context_.metrics.count_store_call(call, reply.store_answered() ? "heard" : "lost");
    if (reply.store_answered())
        contact_.answered(now);
    else
        contact_.failed(now);
}

void order_lease::enter_era(std::int64_t era) {
    const auto now = context_.loop.now();
    lease_.enter_era(era, now);
    update_state(now); // logs the end of the old era's lease
    era_ = era;
    era_entered_at_ = now;
}

void order_lease::read() {
    reading_ = true;
    checked_at_ = context_.loop.now();
    leases_.read([this, era = era_](platform::store_reply&& reply) {
        reading_ = false;
        const auto now = context_.loop.now();
        record_call("read_lease", reply);
        if (era != era_)
            return; // the answer is about the lease of an earlier era
        if (reply.store_answered())
            read_at_ = now;
        if (reply.result == store_result::absent)
            lease_.observe_record({reply.at.era, 0}, std::nullopt, now);
        else if (reply.result == store_result::ok && !reply.objects.empty())
            lease_.observe_record(reply.objects.front().changed,
                                  core::membership::decode_lease(reply.objects.front().spec.dump()), now);
        update_state(now);
    });
}

/// Outcome of a conditional write of the lease.
write_result order_lease::to_write_result(const platform::store_reply& reply) {
    switch (reply.result) {
    case store_result::ok:
        return reply.objects.empty() ? write_result::unknown : write_result::stored;
    case store_result::refused:
        return write_result::not_sent;
    case store_result::unknown:
        return write_result::unknown;
    default:
        return write_result::conflict;
    }
}

void order_lease::write(const core::membership::lease_write& change) {
    leases_.write(change.if_version, change.value,
                  [this, era = era_, sequence = change.sequence](platform::store_reply&& reply) {
                      const auto now = context_.loop.now();
                      record_call("write_lease", reply);
                      if (era != era_)
                          return; // the write was to the lease of an earlier era
                      const auto result = to_write_result(reply);
                      const bool stored = result == write_result::stored;
                      lease_.written(sequence, result,
                                     stored ? reply.objects.front().changed : core::common::store_position{},
                                     now);
                      update_state(now);
                  });
}

/// State for the record: tells a restarted process of this gateway whether orders were given under this
/// lease.
std::string order_lease::state_to_write(time_point now) const {
    if (!may_order(now))
        return lease_.record().state;
    return nlohmann::json{{orders_under_key, lease_.fencing()}}.dump();
}

/// Whether this gateway, before a restart, held the lease and had already waited for its predecessor.
bool order_lease::gave_orders_before() const {
    if (!lease_.held_by_previous_start())
        return false;
    const auto state = nlohmann::json::parse(lease_.record().state, nullptr, false);
    if (!state.is_object() || !state.contains(orders_under_key))
        return false;
    const auto& fencing = state[orders_under_key];
    return fencing.is_number_integer() && fencing.get<std::int64_t>() == lease_.record().fencing;
}

/// Updates whether this gateway holds the lease, and until when another holder may have sent orders.
void order_lease::update_state(time_point now) {
    if (lease_.known() && lease_.version() != seen_version_) {
        seen_version_ = lease_.version();
        const auto& record = lease_.record();
        if (!lease_.mine() && record.fencing > 0 && !gave_orders_before())
            other_holder_until_ = now + (record.holder.empty() ? milliseconds{0} : record.term);
        // Nobody has held this era's lease, but somebody may have held that of the era before.
        if (lease_.version() == core::common::store_position{era_, 0} && era_ > 0 &&
            !lease_.held_before_era())
            other_holder_until_ = era_entered_at_ + write_term;
    }
    const bool held = lease_.held(now);
    if (held == held_)
        return;
    held_ = held;
    context_.metrics.lease_held.Set(held ? 1 : 0);
    if (!held) {
        context_.log.write(edge::events::lease_lost, "order_giver",
                           {{"fencing", lease_.fencing()}, {"era", era_}});
        on_lost_();
        return;
    }
    orders_from_ = other_holder_until_ == time_point{}
                       ? now
                       : other_holder_until_ + context_.settings.lease_term + margin;
    context_.log.write(edge::events::lease_taken, "order_giver",
                       {{"fencing", lease_.fencing()},
                        {"era", era_},
                        {"orders_in_ms", core::common::to_wire_ms(orders_from_ - now)}});
}

bool order_lease::may_order(time_point now) const {
    return lease_.held(now) && now >= orders_from_;
}

void order_lease::release() {
    if (const auto last = lease_.release(lease_.record().state, context_.loop.now()))
        write(*last);
}

} // namespace waxwinglb::programs::gateway
