/// What one target holds, as the giver of its orders believes, through orders whose answers are lost.
///
/// Every order names the number of orders that the target has accepted. So an order without an answer is
/// either carried out at that number or never: once a later number is seen or another order is accepted under
/// the same one, it is settled. Until then the target is asked again and gets no other order than under the
/// same number.
#pragma once

#include "core/load_planning/planner.hpp"

namespace waxwinglb::core::load_planning {

constexpr common::milliseconds busy_pause{
    50}; // until a target that still carries out an order is asked again
constexpr common::milliseconds busy_limit{600};   // an unload lasts no longer; then a report must tell
constexpr common::milliseconds report_delay{800}; // a target's report may be as old as that

constexpr common::milliseconds answer_time{50}; // an order's answer comes in about so long
constexpr common::milliseconds settle_time{
    1'000}; // a report settles an order without an answer about so late

constexpr common::milliseconds long_load{
    2'000}; // the weight store may be slower than foretold: a report must confirm it
constexpr common::milliseconds overdue_step{1'000}; // a load that is late is expected so much later each time

/// A load from the weight store that a report has shown to be over.
struct finished_load {
    common::milliseconds expected_time{0};
    common::milliseconds taken{0}; // from the accepted order to the report; up to a report's age too long
};

class target_ledger {
public:
    /// A description of the target, at least as new as `as_of`. Ignored if it is older than what is known.
    void describe(std::int64_t born, std::int64_t sequence,
                  const std::map<std::string, std::vector<std::string>>& models, common::time_point as_of);

    /// A report lists these models as loaded, whatever else it says. Returns the long loads that it ends.
    std::vector<finished_load> confirm(const std::map<std::string, std::vector<std::string>>& models,
                                       common::time_point now);
    /// A report, at least as new as `as_of`, says that the target is still at an order and doesn't list what
    /// was foretold to be loaded by then: that isn't ready until a report lists it.
    void note_busy(const std::map<std::string, std::vector<std::string>>& models, common::time_point as_of,
                   common::time_point now);

    /// `number` is this order's alone, also among the orders of a ledger that was forgotten meanwhile.
    void note_sent(std::int64_t number, const planned_order& order, common::milliseconds load_time,
                   common::time_point now);
    enum class answer { accepted, holds_already, rejected, unknown };
    /// The answer to the order of that number; one to an order that isn't awaited any more tells nothing.
    void note_answer(std::int64_t number, answer what, common::time_point now);

    [[nodiscard]] bool
    takes_orders(common::time_point now) const; // none under way, none unsettled, not loading
    /// When it will, as far as can be foretold.
    [[nodiscard]] common::time_point takes_orders_at(common::time_point now) const;
    [[nodiscard]] bool needs_report(common::time_point now) const; // something is unsettled or unconfirmed
    [[nodiscard]] std::int64_t sequence() const { return sequence_; }
    [[nodiscard]] std::int64_t born() const { return born_; }
    [[nodiscard]] bool known() const { return known_; }
    /// Until a report shows its end: the weight store may be at it for longer than foretold.
    [[nodiscard]] bool store_load_under_way(common::time_point now) const;
    /// Models and adapters that count for memory; those in `loading(now)` aren't ready yet.
    [[nodiscard]] const std::map<std::string, std::set<std::string>>& models() const { return models_; }
    [[nodiscard]] std::set<std::string> loading(common::time_point now) const;
    [[nodiscard]] std::map<std::string, common::time_point> coming(common::time_point now) const; // and when
    [[nodiscard]] common::time_point loaded_at(const std::string& model) const;

private:
    struct pending {
        std::int64_t number = 0;
        planned_order order;
        common::milliseconds load_time{0};
        common::time_point sent_at{};
    };
    void drop_failed_loads(const std::map<std::string, std::vector<std::string>>& models,
                           common::time_point as_of);
    void apply(const pending& one, common::time_point now);

    bool known_ = false;
    std::int64_t born_ = 0;
    std::int64_t sequence_ = 0;
    std::map<std::string, std::set<std::string>> models_;
    std::map<std::string, common::time_point> ready_at_; // of models loaded by orders
    struct long_load_record {
        common::time_point accepted_at{};
        common::milliseconds expected_time{0};
        bool from_weight_store = false;
        bool overdue = false; // a report has shown that it takes longer than foretold
    };
    std::map<std::string, long_load_record> unconfirmed_; // long loads that no report lists yet, by model
    std::optional<pending> pending_;
    common::time_point accepted_at_{}; // of the newest order
    common::time_point not_before_{};  // the target is still at it
    bool unsettled_ = false;           // the newest order's answer is lost
    common::time_point unsettled_at_{};
    common::time_point store_load_until_{};
};

} // namespace waxwinglb::core::load_planning
