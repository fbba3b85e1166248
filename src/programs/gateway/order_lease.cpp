#include "programs/gateway/order_lease.hpp"

#include "programs/gateway/peers.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using core::common::time_point;
using core::membership::write_result;
using platform::store_result;

constexpr milliseconds term{1'500}; // of one write of the lease
constexpr milliseconds renewal{500};
constexpr milliseconds margin{300}; // for clocks that run at different rates
constexpr milliseconds read_while_holder_speaks{8'000};
constexpr milliseconds read_while_silent{400};
constexpr milliseconds fresh_record{600};    // a record read longer ago says nothing of whether it is renewed
constexpr milliseconds shortest_outage{800}; // of the store; calls that fail for less end no term
constexpr milliseconds comeback{1'000};      // holders renew within that after an outage
constexpr milliseconds holder_silence{1'000}; // without its message, the holder may be gone
constexpr const char* orders_under =
    "orders_under"; // in the record: fencing number under which orders were given

} // namespace

order_lease::order_lease(gateway_context& context, platform::store_client& store, edge::http_client& client,
                         std::int64_t boot, std::function<void()> on_lost)
    : context_(context), leases_(context, store, client), on_lost_(std::move(on_lost)),
      lease_({context.settings.name, context.settings.peers, boot, true}, {term, margin, renewal}),
      contact_({shortest_outage, comeback}) {}

void order_lease::step() {
    const auto now = context_.loop.now();
    if (lease_.writing()) {
        // an answer or its timeout comes
    } else if (lease_.needs_read() && !reading_) {
        read();
    } else if (lease_.renewal_due(now) && !lease_.releasing()) {
        if (const auto due = lease_.write(state_to_write(now), now))
            write(*due);
    } else if (may_take(now)) {
        if (const auto taking = lease_.take(now))
            write(*taking);
    } else if (!lease_.mine() && !reading_) {
        if (now - checked_at_ > (holder_speaks(now) ? read_while_holder_speaks : read_while_silent))
            read();
    }
    note(now);
}

/// A holder that speaks is asked for seldom, so its record is old and seems to have run out.
bool order_lease::may_take(time_point now) const {
    if (lease_.mine() || context_.ending || !context_.config || !lease_.takeable(now))
        return false;
    if (lease_.record().holder.empty() || lease_.held_by_previous_start())
        return true;
    return now - read_at_ <= fresh_record && contact_.may_take_over(now);
}

/// What a call tells of the store: counted, and whether it answers.
void order_lease::note_call(const char* call, const platform::store_reply& reply) {
    const auto now = context_.loop.now();
    context_.numbers.count_store_call(call, reply.store_answered() ? "heard" : "lost");
    if (reply.store_answered())
        contact_.answered(now);
    else
        contact_.failed(now);
}

bool order_lease::holder_speaks(time_point now) const {
    const auto& heard = peers_->heard();
    const auto holder = heard.find(lease_.record().holder);
    return holder != heard.end() && now - holder->second.heard_at < holder_silence &&
           holder->second.status.gives_orders && !holder->second.status.wants_registrations;
}

void order_lease::read() {
    reading_ = true;
    checked_at_ = context_.loop.now();
    leases_.read([this](platform::store_reply&& reply) {
        reading_ = false;
        const auto now = context_.loop.now();
        note_call("read_lease", reply);
        if (reply.store_answered())
            read_at_ = now;
        if (reply.result == store_result::absent)
            lease_.observe_record(0, std::nullopt, now);
        else if (reply.result == store_result::ok && !reply.objects.empty())
            lease_.observe_record(reply.objects.front().revision,
                                  core::membership::decode_lease(reply.objects.front().spec.dump()), now);
        note(now);
    });
}

/// What a reply says about a conditional write of the lease.
write_result order_lease::result_of(const platform::store_reply& reply) {
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
                  [this, sequence = change.sequence](platform::store_reply&& reply) {
                      const auto now = context_.loop.now();
                      note_call("write_lease", reply);
                      const auto result = result_of(reply);
                      const bool stored = result == write_result::stored;
                      lease_.written(sequence, result, stored ? reply.objects.front().revision : 0, now);
                      note(now);
                  });
}

/// Tells a later start of this gateway whether orders were given under this holding of the lease.
std::string order_lease::state_to_write(time_point now) const {
    if (!may_order(now))
        return lease_.record().state;
    return nlohmann::json{{orders_under, lease_.fencing()}}.dump();
}

/// An earlier start of this gateway held the lease and had waited for its predecessor.
bool order_lease::gave_orders_before() const {
    if (!lease_.held_by_previous_start())
        return false;
    const auto state = nlohmann::json::parse(lease_.record().state, nullptr, false);
    if (!state.is_object() || !state.contains(orders_under))
        return false;
    const auto& fencing = state[orders_under];
    return fencing.is_number_integer() && fencing.get<std::int64_t>() == lease_.record().fencing;
}

/// Follows who may give orders, and until when another holder may have.
void order_lease::note(time_point now) {
    if (lease_.known() && lease_.version() != seen_version_) {
        seen_version_ = lease_.version();
        const auto& record = lease_.record();
        if (!lease_.mine() && record.fencing > 0 && !gave_orders_before())
            other_until_ = now + (record.holder.empty() ? milliseconds{0} : record.term);
    }
    const bool held = lease_.held(now);
    if (held == held_)
        return;
    held_ = held;
    context_.numbers.lease_held.Set(held ? 1 : 0);
    if (!held) {
        context_.log.write(edge::events::lease_lost, "order_giver", {{"fencing", lease_.fencing()}});
        on_lost_();
        return;
    }
    orders_from_ = other_until_ == time_point{} ? now : other_until_ + context_.settings.lease_term + margin;
    context_.log.write(
        edge::events::lease_taken, "order_giver",
        {{"fencing", lease_.fencing()}, {"orders_in_ms", core::common::to_wire_ms(orders_from_ - now)}});
}

bool order_lease::may_order(time_point now) const {
    return lease_.held(now) && now >= orders_from_;
}

void order_lease::release() {
    if (const auto last = lease_.release(lease_.record().state, context_.loop.now()))
        write(*last);
}

} // namespace waxwinglb::programs::gateway
