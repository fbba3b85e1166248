/// The holder's bucket of one customer: the fleet-wide rate and burst, granted to routers for a short term.
///
/// At every instant `tokens + outstanding grants <= burst`. A grant is outstanding from its issue until it is
/// settled or has lapsed, so in any window the routers together spend at most burst + rate x window: what
/// they can spend is outstanding at the window's start or issued within it. Tokens count as spent when a
/// router reserves them.
///
/// So that a successor needn't begin with nothing, part of the tokens is set aside under a number that the
/// shard's object holds: this holder never grants below the highest number that may stand in the store, so
/// whoever reads it there may begin with that many. Each write of the object proposes a new number; tokens
/// set aside beyond it become free once the write has taken effect.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <span>

namespace waxwinglb::core::limits {

using grant_id = std::int64_t; // holder's fencing number above 32 bits, then a count: never used twice

constexpr common::milliseconds grant_term{2'000}; // a router may spend a grant for this long after it asked
constexpr common::milliseconds lapse_margin{250}; // clocks' rates differ; the holder waits this much longer
constexpr common::milliseconds corrected_within{130'000};   // after its issue a grant is forgotten
constexpr std::size_t grants_kept = 4096;                   // per customer; beyond, the oldest are forgotten
constexpr common::duration never = common::duration::max(); // retry_after while the rate is 0

/// What a router says of a grant. Both counts are totals since the grant's issue, so that lost, repeated and
/// reordered messages do no harm.
struct settlement {
    grant_id grant = 0;
    std::int64_t spent = 0;     // reserved by requests, whether they used it or not
    std::int64_t returned = 0;  // never reserved, and never will be
    std::int64_t corrected = 0; // part of `spent` that the requests ended without using
};

/// Answer to a draw; grants nothing if `tokens` is 0.
struct draw_answer {
    grant_id grant = 0;
    std::int64_t tokens = 0;      // at most what was wanted and at most what is there
    common::duration valid_for{}; // counted by the router from before it sent the draw
    common::duration
        retry_after{}; // when all that was wanted (at most the burst) would be there; 0 if it is, or `never`
};

/// State that a holder passes to its successor at a planned handover.
struct bucket_balance {
    double tokens = 0;            // free for grants
    std::int64_t outstanding = 0; // granted and neither settled nor lapsed
};

/// Rate and burst of a customer and the part of both that this holder may grant.
struct bucket_limits {
    double tokens_per_second = 0;
    double burst_tokens = 0;
    double share = 1;    // see shares.hpp
    bool lapsed = false; // the lease has run out: what is set aside belongs to a successor, if there is one

    bool operator==(const bucket_limits&) const = default;
};

/// What a new holder knows of its predecessors' grants. By default nothing: none is left, all may be granted.
/// Of a customer that no holder has ever served: the whole burst is left and nothing granted.
struct predecessor_state {
    double reserve = 0;                                      // set aside in the shard's object
    double outstanding = std::numeric_limits<double>::max(); // may be granted and not lapsed yet
};

class bucket {
public:
    /// Tokens accrue once the predecessor's grants must have lapsed. `fencing` is the shard's number.
    bucket(common::time_point taken_over, std::int64_t fencing, bucket_limits limits,
           predecessor_state left = {});

    /// Grants up to `wanted` tokens after taking in the settlements; `wanted` 0 only settles.
    draw_answer draw(common::time_point now, std::int64_t wanted, std::span<const settlement> settled);

    /// Changed rate, burst or share; a lower burst takes effect at once.
    void change_limits(common::time_point now, bucket_limits limits);

    /// Takes the predecessor's balance; false (and nothing changes) if a balance was taken already, the
    /// initial wait is over, or the predecessor's number isn't lower than this one.
    bool adopt(common::time_point now, const bucket_balance& balance, std::int64_t from_fencing);

    /// Ends this bucket for a handover: from now on it grants nothing.
    bucket_balance hand_over(common::time_point now);

    /// Number for the next write of the shard's object; tokens are set aside at once if it is higher.
    double propose_reserve(common::time_point now);
    /// The write with the newest proposal has taken effect.
    void confirm_reserve(common::time_point now);
    /// True if tokens set aside would serve a draw of `wanted` that the free ones don't: the next proposal
    /// frees them.
    [[nodiscard]] bool needs_write(common::time_point now, std::int64_t wanted);
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
        std::int64_t first_spent = 0; // events_ when `spent` rose above 0
        [[nodiscard]] std::int64_t open() const { return tokens - spent - returned; }
    };
    /// Least room below the burst from an event on, until the next entry.
    struct least_room {
        std::int64_t event = 0;
        double room = 0; // corrections_ at the time included
    };

    void advance(common::time_point now); // lapses grants, then accrues
    void accrue_until(common::time_point until);
    void settle(const settlement& one);
    void spend(grant& mine, std::int64_t amount);
    void correct(grant& mine, std::int64_t amount);
    void forget_old();
    void note_room();
    void clip(); // restores tokens + outstanding <= burst
    [[nodiscard]] double room() const;
    [[nodiscard]] double burst() const { return limits_.burst_tokens * limits_.share; }
    [[nodiscard]] double rate() const { return limits_.tokens_per_second * limits_.share; }
    [[nodiscard]] common::duration wait_for(double amount) const;

    bucket_limits limits_;
    std::int64_t fencing_;
    common::time_point at_;            // state is as of this instant; never falls
    common::time_point assumed_until_; // the predecessor's grants count as outstanding until then
    double assumed_;                   // that many of them
    double tokens_ = 0;
    double reserved_ = 0;              // highest number that may stand in the store
    double proposed_ = 0;              // number of the newest write
    double wanted_lately_ = 0;         // granted or asked for in vain since the last proposal
    std::int64_t outstanding_ = 0;     // sum of open() over grants_
    std::map<grant_id, grant> grants_; // in order of issue, hence of lapse
    grant_id last_lapsed_ = 0;
    std::int64_t issued_ = 0;
    std::deque<least_room> rooms_; // rooms rise from front to back
    std::int64_t events_ = 0;
    double corrections_ = 0; // sum of all corrections: lowers every earlier room
    bool adopted_ = false;
    bool closed_ = false;
};

} // namespace waxwinglb::core::limits
