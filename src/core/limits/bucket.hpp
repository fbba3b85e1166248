/// Token bucket of one customer at the shard's holder: grants the fleet-wide rate and burst to routers for a
/// short term.
///
/// Invariant: `tokens + outstanding grants <= burst`. A grant is outstanding from its issue until it is
/// settled or has lapsed. In any window the routers together therefore spend at most burst + rate x window:
/// all that they can spend is outstanding at the start of the window or issued within it. Tokens count as
/// spent when a router reserves them.
///
/// Part of the tokens is set aside as a reserve, so that a successor need not start with an empty bucket. The
/// shard's object in the store holds the amount. This holder never grants tokens below the highest amount
/// that may be stored, so a successor may start with the amount that it reads. Each write of the object
/// proposes a new amount; if that is lower, the difference becomes free once the write has taken effect.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <span>

namespace waxwinglb::core::limits {

using grant_id = std::int64_t; // fencing number << 32, plus a counter: never used twice

constexpr common::milliseconds grant_term{
    2'000}; // after sending a draw a router may spend its grant this long
constexpr common::milliseconds lapse_margin{250}; // extra wait at the holder, since clock rates differ
constexpr common::milliseconds corrected_within{130'000};   // a grant is forgotten this long after its lapse
constexpr std::size_t grants_kept = 4096;                   // per customer; beyond, the oldest are forgotten
constexpr common::duration never = common::duration::max(); // retry_after while the rate is 0

/// A router's report on a grant. The counts are totals since the grant's issue, so that lost, repeated and
/// reordered reports do no harm.
struct settlement {
    grant_id grant = 0;
    std::int64_t spent = 0;     // reserved by requests, whether used or not
    std::int64_t returned = 0;  // not reserved, and never will be
    std::int64_t corrected = 0; // part of `spent` that the requests did not use
};

/// Answer to a draw; grants nothing if `tokens` is 0.
struct draw_answer {
    grant_id grant = 0;
    std::int64_t tokens = 0;      // at most the amount requested and the amount available
    common::duration valid_for{}; // counted by the router from before it sent the draw
    common::duration
        retry_after{}; // until `requested` (at most the burst) is available: 0 if it is, or `never`
};

/// State that a holder passes to its successor at a planned handover.
struct bucket_balance {
    double tokens = 0;            // free for grants
    std::int64_t outstanding = 0; // granted and neither settled nor lapsed
};

/// Rate and burst of a customer, and the share of both that this holder may grant.
struct bucket_limits {
    double tokens_per_second = 0;
    double burst_tokens = 0;
    double share = 1;    // see shares.hpp
    bool lapsed = false; // the lease has expired: the reserve belongs to a successor, if there is one

    bool operator==(const bucket_limits&) const = default;
};

/// What a new holder knows of its predecessors' tokens. By default the worst case: no reserve, and all tokens
/// may be outstanding. For a customer that no holder has served yet: the whole burst as reserve, nothing
/// outstanding.
struct predecessor_state {
    double reserve = 0;                                      // amount in the shard's object
    double outstanding = std::numeric_limits<double>::max(); // may be granted and not have lapsed yet
};

class bucket {
public:
    /// Tokens accrue once the predecessor's grants must have lapsed. `fencing` is the shard's fencing number.
    bucket(common::time_point taken_over, std::int64_t fencing, bucket_limits limits,
           predecessor_state left = {});

    /// Applies the settlements, then grants up to `requested` tokens; 0: only settles.
    draw_answer draw(common::time_point now, std::int64_t requested, std::span<const settlement> settled);

    /// Changes rate, burst or share; a lower burst takes effect at once.
    void change_limits(common::time_point now, bucket_limits limits);

    /// Takes over the predecessor's balance. Returns false and changes nothing if a balance was taken over
    /// before, the initial wait is over, or the predecessor's fencing number isn't lower than this one's.
    bool adopt(common::time_point now, const bucket_balance& balance, std::int64_t from_fencing);

    /// Closes this bucket for a handover: from now on it grants nothing.
    bucket_balance hand_over(common::time_point now);

    /// Reserve for the next write of the shard's object. If it is higher than before, it takes effect at
    /// once.
    double propose_reserve(common::time_point now);
    /// The write with the newest proposal has taken effect: a lower reserve frees tokens.
    void confirm_reserve(common::time_point now);
    /// True if a draw of `requested` exceeds the free tokens and part of the reserve could serve it: the next
    /// proposal then lowers the reserve.
    [[nodiscard]] bool needs_write(common::time_point now, std::int64_t requested);
    [[nodiscard]] double reserved() const { return reserved_; } // set aside

    [[nodiscard]] double tokens(common::time_point now); // free for grants
    [[nodiscard]] std::int64_t outstanding(common::time_point now);
    [[nodiscard]] const bucket_limits& limits() const { return limits_; }

private:
    struct grant {
        std::int64_t tokens = 0;
        std::int64_t spent = 0;
        std::int64_t returned = 0;
        std::int64_t corrected = 0;
        common::time_point lapses{};
        std::int64_t first_spent = 0; // value of events_ when `spent` became positive
        [[nodiscard]] std::int64_t open() const { return tokens - spent - returned; }
    };
    /// Minimum headroom below the burst from this event until that of the next entry.
    struct headroom_entry {
        std::int64_t event = 0;
        double headroom = 0; // plus corrections_ at that time
    };

    void advance(common::time_point now); // lets grants lapse and tokens accrue
    void accrue_until(common::time_point until);
    void settle(const settlement& report);
    void spend(grant& held, std::int64_t amount);
    void correct(grant& held, std::int64_t amount);
    void forget_old();
    void record_headroom();
    void clip(); // restores tokens + outstanding <= burst
    [[nodiscard]] double headroom() const;
    [[nodiscard]] double burst() const { return limits_.burst_tokens * limits_.share; }
    [[nodiscard]] double rate() const { return limits_.tokens_per_second * limits_.share; }
    [[nodiscard]] common::duration wait_for(double amount) const;

    bucket_limits limits_;
    std::int64_t fencing_;
    common::time_point at_;            // state is as of this instant; never falls
    common::time_point assumed_until_; // the predecessor's grants count as outstanding until then
    double assumed_;                   // tokens of these grants
    double tokens_ = 0;
    double reserved_ = 0;              // highest reserve that may be in the store
    double proposed_ = 0;              // reserve of the newest write
    double recent_demand_ = 0;         // granted, or requested and not granted, since the last proposal
    std::int64_t outstanding_ = 0;     // sum of open() over grants_
    std::map<grant_id, grant> grants_; // in order of issue, hence of lapse
    grant_id last_lapsed_ = 0;
    std::int64_t issued_ = 0;
    std::deque<headroom_entry> headrooms_; // headroom rises from front to back
    std::int64_t events_ = 0;
    double corrections_ = 0; // sum of all corrections: lowers the headroom of every earlier entry
    bool adopted_ = false;
    bool closed_ = false;
};

} // namespace waxwinglb::core::limits
