/// The holder's bucket of one customer: the fleet-wide rate and burst, granted to routers for a short term.
///
/// At every instant `tokens + outstanding grants <= burst`. A grant is outstanding from its issue until it is
/// settled or has lapsed, so in any window the routers together spend at most burst + rate x window: what
/// they can spend is outstanding at the window's start or issued within it. Tokens count as spent when a
/// router reserves them.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <span>

namespace waxwinglb::core::limits {

using grant_id = std::int64_t; // holder's fencing number above 32 bits, then a count: never used twice

constexpr common::milliseconds grant_term{2'000}; // a router may spend a grant for this long after it asked
constexpr common::milliseconds lapse_margin{250}; // clocks' rates differ; the holder waits this much longer
constexpr common::duration never = common::duration::max(); // retry_after while the rate is 0

/// What a router says of a grant. Both counts are totals since the grant's issue, so that lost, repeated and
/// reordered messages do no harm.
struct settlement {
    grant_id grant = 0;
    std::int64_t spent = 0;    // reserved or used; can't be spent again
    std::int64_t returned = 0; // the router will never spend these
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
    double share = 1; // see shares.hpp
};

class bucket {
public:
    /// A new holder starts with no tokens and takes the whole burst for granted by its predecessor, until
    /// those grants must have lapsed; then tokens accrue. `fencing` is the shard's number.
    bucket(common::time_point taken_over, std::int64_t fencing, bucket_limits limits);

    /// Grants up to `wanted` tokens after taking in the settlements; `wanted` 0 only settles.
    draw_answer draw(common::time_point now, std::int64_t wanted, std::span<const settlement> settled);

    /// Changed rate, burst or share; a lower burst takes effect at once.
    void change_limits(common::time_point now, bucket_limits limits);

    /// Takes the predecessor's balance; false (and nothing changes) if a balance was taken already, the
    /// initial wait is over, or the predecessor's number isn't lower than this one.
    bool adopt(common::time_point now, const bucket_balance& balance, std::int64_t from_fencing);

    /// Ends this bucket for a handover: from now on it grants nothing.
    bucket_balance hand_over(common::time_point now);

    [[nodiscard]] double tokens(common::time_point now);
    [[nodiscard]] std::int64_t outstanding(common::time_point now);
    [[nodiscard]] const bucket_limits& limits() const { return limits_; }

private:
    struct grant {
        std::int64_t tokens = 0;
        std::int64_t spent = 0;
        std::int64_t returned = 0;
        common::time_point lapses{};
        [[nodiscard]] std::int64_t open() const { return tokens - spent - returned; }
    };

    void advance(common::time_point now); // lapses grants, then accrues
    void settle(const settlement& one);
    void clip(); // restores tokens + outstanding <= burst
    [[nodiscard]] double burst() const { return limits_.burst_tokens * limits_.share; }
    [[nodiscard]] double rate() const { return limits_.tokens_per_second * limits_.share; }
    [[nodiscard]] common::duration wait_for(double amount) const;

    bucket_limits limits_;
    std::int64_t fencing_;
    common::time_point at_;            // state is as of this instant; never falls
    common::time_point assumed_until_; // the predecessor's grants count as outstanding until then
    double assumed_;                   // that many of them
    double tokens_ = 0;
    std::int64_t outstanding_ = 0;     // sum of open() over grants_
    std::map<grant_id, grant> grants_; // in order of issue, hence of lapse
    std::int64_t issued_ = 0;
    bool adopted_ = false;
    bool closed_ = false;
};

} // namespace waxwinglb::core::limits
