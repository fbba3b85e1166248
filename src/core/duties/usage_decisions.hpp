/// Decides, at the holder of the duty, the counts of each window that are reported, and which windows to
/// report.
///
/// Counts are decided by a conditional write to one object of the platform's store; they are reported only
/// after the store has acknowledged them. So two gateways that both believe that they hold the duty report
/// the same, and a successor repeats what its predecessor decided.
///
/// The windows of the object are decided in order: one that is missing below the newest was left out on
/// purpose. A restore of the store may have lost the object, and with it decisions. Windows that ended before
/// this process learned of the store's era are therefore not decided while the object is missing; those that
/// this process itself knows to be decided are reported as they are.
#pragma once

#include "core/common/store_position.hpp"
#include "core/duties/true_time.hpp"
#include "core/duties/usage_counts.hpp"
#include "core/membership/lease.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::core::duties {

constexpr std::size_t kept_windows = 8; // in the stored object

/// What a holder knows of the gateways when it decides.
struct usage_sources {
    const usage_totals& totals;
    std::set<std::string> in_contact; // gateways whose totals are waited for
    /// Since when the gateways may know that their totals are needed here. A process that has just started
    /// has heard nothing yet, and must not take that for the counts.
    common::time_point gathered_since{};
};

/// A conditional write of the stored object.
struct usage_write {
    std::int64_t sequence = 0;
    common::store_position if_version; // revision 0: the object must be absent
    window_counts windows;             // the new content
    std::vector<std::int64_t> decided; // the windows that it adds
    std::set<std::string> missing;     // gateways in contact without final totals of one of them
};

/// A window that will not be reported by this holder.
struct given_up_window {
    std::int64_t window = 0;
    const char* why = "";
};

class usage_decisions {
public:
    struct options {
        usage_windows windows;
        common::milliseconds late{10'000}; // after a window's end, its report is late
        common::milliseconds wait{4'000};  // longest wait for totals after a window's end
        common::milliseconds settle{
            1'000}; // totals made later hold the plain calls that still ran at the end
    };
    explicit usage_decisions(options chosen) : options_(chosen) {}

    /// The store's era became known, or the store was restored.
    void enter_era(std::int64_t era, common::time_point now);
    /// Sets the fencing token of this holder; nullopt: it may not act. A new holder reads the object first.
    void hold(std::optional<std::int64_t> token, common::time_point now);

    // ---- the stored object ---------------------------------------------------------------------------
    [[nodiscard]] bool read_due() const { return token_ && !known_ && !writing_; }
    /// The write that is due, if any. Its result must be reported to written().
    std::optional<usage_write> write_due(const usage_sources& sources, const true_time& clock,
                                         common::time_point now);
    /// The object as it was read; nullopt: absent.
    void observe(common::store_position version, const std::optional<window_counts>& windows,
                 const true_time& clock, common::time_point now);
    /// The object was read, but its content can't be used: what was decided is not known.
    void observe_malformed(common::store_position version, common::time_point now);
    void written(std::int64_t sequence, membership::write_result result, common::store_position version);

    // ---- reports -------------------------------------------------------------------------------------
    struct report {
        std::int64_t window = 0;
        customer_counts counts;
    };
    /// The oldest decided window that has not been answered yet.
    [[nodiscard]] std::optional<report> report_due() const;
    void answered(std::int64_t window) { reported_.insert(window); }
    [[nodiscard]] bool is_late(std::int64_t window, common::milliseconds true_ms) const {
        return true_ms > options_.windows.end_of(window) + options_.late;
    }
    /// Windows given up since the last call.
    std::vector<given_up_window> take_given_up(const true_time& clock, common::time_point now);

private:
    [[nodiscard]] bool ready(std::int64_t window, const usage_sources& sources,
                             common::milliseconds true_now) const;
    void give_up(std::int64_t window, const char* why);
    void adopt(const window_counts& windows);

    options options_;
    std::optional<std::int64_t> token_;
    common::store_position version_;
    common::time_point held_since_{};
    bool known_ = false;   // object_ is the content of version_
    window_counts object_; // empty if absent or malformed
    bool lost_ = true;     // the object is absent or malformed: earlier decisions may not be known
    common::time_point certain_from_{}; // windows that ended earlier may have been decided while lost_
    bool first_read_ = false;           // the object has not been read under this token yet
    bool writing_ = false;
    std::int64_t last_sequence_ = 0;
    window_counts in_flight_;         // content of the write under way
    window_counts decided_;           // known to be decided; also from earlier eras
    std::set<std::int64_t> reported_; // answered, or not to be reported by this process
    std::vector<given_up_window> given_up_;
    std::int64_t newest_given_up_ = 0;
};

} // namespace waxwinglb::core::duties
