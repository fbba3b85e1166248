/// The router's side of a customer's rate: grants drawn from the holder, and reservations against them.
///
/// A request reserves its tokens before it is sent. `reserve` answers at once: served, or wait for the draw
/// that is in flight (or due: ask `next_draw`), or refused with the time to come back. A grant ends by this
/// router's clock, counted from before the draw was sent; its tokens are spent before that or never.
#pragma once

#include "core/common/time.hpp"
#include "core/limits/bucket.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::core::limits {

using reservation_id = std::int64_t;
using draw_id = std::int64_t;

enum class reserve_outcome {
    served,  // the tokens are reserved
    wait,    // a draw is in flight or due; reserve again when it is answered or has failed
    refused, // the holder had not enough; come back after retry_after
};

struct reserve_result {
    reserve_outcome outcome = reserve_outcome::refused;
    reservation_id reservation = 0; // if served
    common::duration
        retry_after{}; // if refused; `never`: the rate is 0. (Amounts above the burst: the caller refuses)
};

/// A draw to send to the customer's holder.
struct draw_order {
    draw_id id = 0;
    std::int64_t wanted = 0; // 0: only settles
    std::vector<settlement> settled;
};

class grant_cache {
public:
    /// Reserves `tokens` for a request, or says why not.
    reserve_result reserve(common::time_point now, std::int64_t tokens);

    /// Ends a reservation: `used` tokens are spent, the rest goes back. Unknown reservations change nothing.
    void settle(common::time_point now, reservation_id reservation, std::int64_t used);

    /// The draw to send now, if one is due: for waiting requests, ahead of demand, or to return unspent
    /// tokens. At most one is in flight.
    std::optional<draw_order> next_draw(common::time_point now);

    /// The holder's answer to a draw. Answers to draws that were given up are ignored.
    void draw_answered(common::time_point now, draw_id id, const draw_answer& answer);

    /// No answer will be taken for this draw any more (link lost, timeout, not the holder).
    void draw_failed(common::time_point now, draw_id id);

    /// When next_draw may next have something to do without a further reserve or settle.
    [[nodiscard]] std::optional<common::time_point> next_due(common::time_point now) const;

    [[nodiscard]] std::int64_t available(common::time_point now) const; // spendable tokens
    [[nodiscard]] bool draw_in_flight() const { return flight_.has_value(); }
    [[nodiscard]] bool unused(common::time_point now) const; // holds nothing: may be dropped

private:
    struct grant {
        std::int64_t tokens = 0;   // free + counts.spent + counts.returned
        std::int64_t free = 0;     // can be reserved until `expires`
        settlement counts{};       // as of now
        settlement reported{};     // highest counts sent: what was reported as spent isn't free again
        settlement confirmed{};    // of a draw that was answered
        std::int64_t reserved = 0; // by requests that still run
        common::time_point expires{};
    };
    struct part {
        grant_id grant = 0;
        std::int64_t tokens = 0;
    };
    struct reservation {
        std::vector<part> parts;
    };
    struct flight {
        draw_id id = 0;
        common::time_point sent{};
        std::int64_t wanted = 0;
        std::vector<settlement> settled;
    };

    void expire(common::time_point now);
    void note_demand(common::time_point now, std::int64_t tokens);
    void release(common::time_point now, const part& one, std::int64_t used);
    static void give_up(grant& one);
    [[nodiscard]] static bool unsettled(const grant& one);
    void give_up_ending(common::time_point now);
    [[nodiscard]] double demand(common::time_point now) const; // tokens a second
    [[nodiscard]] std::int64_t amount_to_draw(common::time_point now) const;
    [[nodiscard]] std::vector<settlement> settlements() const;

    std::map<grant_id, grant> grants_; // oldest first, so spent first
    std::map<reservation_id, reservation> reservations_;
    std::optional<flight> flight_;
    std::int64_t waiting_ = 0;        // tokens of requests told to wait since the last answer
    common::time_point hold_until_{}; // no draw before: the holder had too little
    common::duration hold_retry_{};   // when it would have had `hold_missing_` more
    std::int64_t hold_missing_ = 0;
    common::time_point settle_after_{}; // no draw that only settles before
    double demand_ = 0;                 // tokens a second at `demand_at_`
    common::time_point demand_at_{};
    std::int64_t last_id_ = 0; // of reservations and draws
};

} // namespace waxwinglb::core::limits
