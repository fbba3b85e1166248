/// The order in which requests get the capacity that they compete for: those that can still meet their target
/// latency first, then by priority, then fair between customers by tokens granted, then by slack.
///
/// The scheduler of a target orders the gateways' requests for turns by it, and each gateway its own queue.
/// Without a floor, sustained overload by requests that are still on time would starve all that are late:
/// these get at least one grant in ten, the one that has been late longest first.
#pragma once

#include "core/common/time.hpp"
#include "core/fairness/customer_tags.hpp"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace waxwinglb::core::dispatch {

constexpr int lowest_priority = 9;
constexpr int default_priority = 5;

struct urgency {
    int priority = default_priority; // 0 is the most urgent
    std::string customer;            // empty: unknown
    common::time_point send_by{};    // sent later, the request misses its target latency
    std::int64_t total_tokens = 1;   // of the prompt and the longest answer

    [[nodiscard]] bool late(common::time_point now) const { return now > send_by; }
};

/// Time left until a request must be sent to meet its target latency: what remains of it, less the time in
/// which the target reads the prompt. `tokens_per_ms` 0: unknown, counted as none.
[[nodiscard]] common::duration slack_of(common::time_point arrived, common::duration target_latency,
                                        int prompt_tokens, double tokens_per_ms, common::time_point now);

/// Whether a request sent now can be answered before its deadline, as far as reading its prompt tells.
[[nodiscard]] bool can_be_answered(common::time_point deadline, int prompt_tokens, double tokens_per_ms,
                                   common::time_point now);

/// Orders waiting requests by what each customer was granted. Pointers in lists must not be null.
class urgency_order {
public:
    using waiting_list = std::span<const urgency* const>;

    /// Index of the request that is next. `waiting` must not be empty.
    [[nodiscard]] std::size_t first(waiting_list waiting, common::time_point now) const;
    /// Indexes of all requests in the order in which they would be granted if no other came. Without the
    /// floor the late ones come last: for a gateway that asks for a turn. A late request in front would get
    /// the turn last, and everything that waits at the gateway with it.
    enum class late_floor { kept, left_out };
    [[nodiscard]] std::vector<std::size_t> sorted(waiting_list waiting, late_floor floor,
                                                  common::time_point now) const;
    /// Whether `before` goes before `than`, apart from the floor for late ones; for estimates of the wait.
    [[nodiscard]] bool precedes(const urgency& before, const urgency& than, common::time_point now) const;

    /// `one` is granted while `others` wait on.
    void granted(const urgency& one, waiting_list others, common::time_point now);
    void returned(const urgency& one); // the grant was not used

private:
    [[nodiscard]] bool late_one_is_due() const;
    [[nodiscard]] const fairness::customer_tags& tags_of(const urgency& one) const;

    std::array<fairness::customer_tags, lowest_priority + 1> tags_; // by priority
    int passed_over_ = 0; // grants in a row to requests on time while late ones waited
};

} // namespace waxwinglb::core::dispatch
