/// A router's cache of token grants for one customer, drawn from the holder of the customer's bucket, and the
/// reservations against them.
///
/// A request reserves its tokens before it is sent. `reserve` returns at once: served, or wait for the draw
/// that is in flight (or due: call `next_draw`), or refused with a retry delay. A grant expires by this
/// router's clock, counted from before the draw was sent; its tokens can be spent only until then.
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
    wait,    // a draw is in flight or due; reserve again once it is answered or has failed
    refused, // the holder has too few tokens; retry after retry_after
};

struct reserve_result {
    reserve_outcome outcome = reserve_outcome::refused;
    reservation_id reservation = 0; // if served
    common::duration
        retry_after{}; // if refused; `never`: rate is 0. The caller refuses amounts above the burst
};

/// A draw to send to the customer's holder.
struct draw_order {
    draw_id id = 0;
    std::int64_t requested = 0; // tokens; 0: only settles
    std::vector<settlement> settled;
};

class grant_cache {
public:
    /// Reserves `tokens` for a request if they are available.
    reserve_result reserve(common::time_point now, std::int64_t tokens);

    /// Ends a reservation: `used` tokens are spent, the rest is returned. Unknown reservations are ignored.
    void settle(common::time_point now, reservation_id reservation, std::int64_t used);

    /// The draw to send now, if one is due: for waiting requests, for expected demand, or to return unspent
    /// tokens. At most one is in flight.
    std::optional<draw_order> next_draw(common::time_point now);

    /// Takes the holder's answer to a draw. Tokens of an answer that comes after draw_failed() are returned
    /// unused.
    void draw_answered(common::time_point now, draw_id id, const draw_answer& answer);

    /// The draw has failed (link lost, timeout, not the holder); its answer is no longer expected.
    void draw_failed(common::time_point now, draw_id id);

    /// Next time at which next_draw() may return a draw without a further reserve or settle.
    [[nodiscard]] std::optional<common::time_point> next_due(common::time_point now) const;

    [[nodiscard]] std::int64_t available(common::time_point now) const; // spendable tokens
    [[nodiscard]] bool draw_in_flight() const { return in_flight_.has_value(); }
    [[nodiscard]] bool unused(common::time_point now) const; // holds no grant or reservation: may be deleted

private:
    struct grant {
        std::int64_t tokens = 0;   // free + counts.spent + counts.returned
        std::int64_t free = 0;     // can be reserved until `expires`
        settlement counts{};       // as of now
        settlement reported{};     // highest counts sent; tokens reported as spent are never free again
        settlement confirmed{};    // counts of the newest answered draw
        std::int64_t reserved = 0; // by requests that are still running
        common::time_point expires{};
    };
    struct part {
        grant_id grant = 0;
        std::int64_t tokens = 0;
    };
    struct reservation {
        std::vector<part> parts;
    };
    struct draw_in_progress {
        draw_id id = 0;
        common::time_point sent{};
        std::int64_t requested = 0;
        std::vector<settlement> settled;
    };

    void expire(common::time_point now);
    void note_demand(common::time_point now, std::int64_t tokens);
    void release(common::time_point now, const part& entry, std::int64_t used);
    static void return_free_tokens(grant& entry);
    [[nodiscard]] static bool has_unconfirmed_counts(const grant& entry);
    void return_expiring_tokens(common::time_point now);
    [[nodiscard]] double demand(common::time_point now) const; // tokens a second
    [[nodiscard]] std::int64_t amount_to_draw(common::time_point now) const;
    [[nodiscard]] std::vector<settlement> settlements() const;

    std::map<grant_id, grant> grants_; // oldest first, so spent first
    std::map<reservation_id, reservation> reservations_;
    std::optional<draw_in_progress> in_flight_;
    std::int64_t waiting_ = 0; // tokens of requests answered with `wait` since the last draw was answered
    common::time_point draw_after_{}; // no draw before this time: the holder had too few tokens
    common::duration
        shortage_retry_after_{}; // from that answer: until the holder has `shortage_` more tokens
    std::int64_t shortage_ = 0;
    common::time_point settle_after_{}; // no draw that only settles before this time
    double demand_ = 0;                 // tokens a second at `demand_at_`
    common::time_point demand_at_{};
    std::int64_t last_id_ = 0; // of reservations and draws
};

} // namespace waxwinglb::core::limits
