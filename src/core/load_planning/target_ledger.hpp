/// The order giver's view of what one target holds; stays correct when answers to orders are lost.
///
/// Every order carries the number of orders that the target has accepted so far (its sequence number), and
/// the target rejects an order with another number. An order without an answer was therefore either carried
/// out under that number or never will be: it is settled once a higher number is seen or another order is
/// accepted under the same number. Until then the target is asked for reports, and any further order to it
/// carries the same number.
#pragma once

#include "core/load_planning/planner.hpp"

namespace waxwinglb::core::load_planning {

constexpr common::milliseconds busy_pause{50};    // until a target that was busy gets its next order
constexpr common::milliseconds busy_limit{600};   // the longest unload; a rejection later needs a report
constexpr common::milliseconds report_delay{800}; // maximum age of a target's report

constexpr common::milliseconds answer_time{50};    // typical time until an order is answered
constexpr common::milliseconds settle_time{1'000}; // typical time until a report settles an unanswered order

// The store may be slower than expected, so a report must confirm loads that should take at least this long.
constexpr common::milliseconds long_load{2'000};
constexpr common::milliseconds overdue_step{1'000}; // postpones a late load's expected end

/// A long load that a report has shown to be finished.
struct finished_load {
    common::milliseconds expected_time{0};
    common::milliseconds taken{0}; // from the accepted order to the report; up to its age too long
};

class target_ledger {
public:
    /// Takes over a report's description of the target, at least as recent as `as_of`. Ignored if older than
    /// what is known. `born` identifies the start of the target, `sequence` counts its accepted orders.
    void describe(std::int64_t born, std::int64_t sequence,
                  const std::map<std::string, std::vector<std::string>>& models, common::time_point as_of);

    /// Marks the models that a report lists as loaded. Returns the long loads that this shows to be finished.
    std::vector<finished_load> confirm(const std::map<std::string, std::vector<std::string>>& models,
                                       common::time_point now);
    /// Takes over a report, at least as recent as `as_of`, that the target is still carrying out an order.
    /// Models that should have been loaded by then but aren't listed stay unready until a report lists them.
    void note_busy(const std::map<std::string, std::vector<std::string>>& models, common::time_point as_of,
                   common::time_point now);

    /// Records a sent order. `number` is unique to it, even among orders sent before this ledger was reset.
    void note_sent(std::int64_t number, const planned_order& order, common::milliseconds load_time,
                   common::time_point now);
    enum class answer { accepted, holds_already, rejected, unknown };
    /// Takes over the answer to the order `number`; ignored unless that order is pending.
    void note_answer(std::int64_t number, answer what, common::time_point now);

    [[nodiscard]] bool
    takes_orders(common::time_point now) const; // known, no order pending or unsettled, not loading
    /// The expected time from which it takes orders.
    [[nodiscard]] common::time_point takes_orders_at(common::time_point now) const;
    [[nodiscard]] bool
    needs_report(common::time_point now) const; // an order is unsettled, or a load is late and unconfirmed
    [[nodiscard]] std::int64_t sequence() const { return sequence_; }
    [[nodiscard]] std::int64_t born() const { return born_; }
    [[nodiscard]] bool known() const { return known_; }
    /// True until a report shows that the load has ended: it may take longer than expected.
    [[nodiscard]] bool store_load_under_way(common::time_point now) const;
    /// Models and adapters that take up memory; those in `loading(now)` aren't ready yet.
    [[nodiscard]] const std::map<std::string, std::set<std::string>>& models() const { return models_; }
    [[nodiscard]] std::set<std::string> loading(common::time_point now) const;
    [[nodiscard]] std::map<std::string, common::time_point>
    coming(common::time_point now) const; // and when they should be ready
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
    std::map<std::string, common::time_point> ready_at_; // of models loaded by orders of this ledger
    struct long_load_record {
        common::time_point accepted_at{};
        common::milliseconds expected_time{0};
        bool from_weight_store = false;
        bool overdue = false; // a report has shown that it takes longer than expected
    };
    std::map<std::string, long_load_record> unconfirmed_; // long loads that no report lists yet, by model
    std::optional<pending> pending_;
    common::time_point accepted_at_{}; // newest order
    common::time_point not_before_{};  // the target is still carrying out an order
    bool unsettled_ = false;           // the newest order's answer was lost, or the order rejected
    common::time_point unsettled_at_{};
    common::time_point store_load_until_{};
};

} // namespace waxwinglb::core::load_planning
