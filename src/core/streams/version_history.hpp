/// Versions that the targets of a service state, also those that were stated until lately: a stream whose
/// origin isn't known may have begun at any of them.
#pragma once

#include "core/common/time.hpp"
#include "core/fleet/directory.hpp"
#include "core/fleet/serving_version.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace waxwinglb::core::streams {

constexpr common::milliseconds version_retention{60'000}; // longer than callers wait for a stream
// No target comes and goes within it: one that leaves serves on for as long, one that ends is missed later.
constexpr common::milliseconds shortest_registration{2'000};

/// What the targets that may have written a stream state.
struct stated_versions {
    std::set<std::string> software;
    std::set<std::int64_t> weights;
    std::set<std::string> adapters;

    [[nodiscard]] bool several() const {
        return software.size() > 1 || weights.size() > 1 || adapters.size() > 1;
    }
    /// The only version that they state; nullopt if there are several, or no targets.
    [[nodiscard]] std::optional<fleet::serving_version> only() const;
};

/// Versions that targets of one service have stated, each with the time until which one did.
struct dated_versions {
    std::map<std::string, common::time_point> software;
    std::map<std::pair<std::string, std::int64_t>, common::time_point> weights; // by model, weights
    std::map<std::pair<fleet::model_ref, std::string>, common::time_point> adapters;

    void expire(common::time_point now);
    [[nodiscard]] std::size_t size() const { return software.size() + weights.size() + adapters.size(); }
};

class version_history {
public:
    /// What targets stated before then isn't known; to be called when they are first listed, too.
    void begin(common::time_point at);
    /// A target states this, or did until lately.
    void note(const fleet::target_entry& target, common::time_point now);
    /// What another gateway knows of a service.
    void merge(const std::string& service, const dated_versions& known);
    /// All that was stated since streams began has been noted, here or by another gateway.
    void mark_complete() { is_whole_ = true; }
    /// Whether all versions are known at which a stream can have begun that is still taken up, as of the last
    /// update.
    [[nodiscard]] bool is_complete(common::time_point now) const;
    /// Takes note of what the targets state now; to be called regularly.
    void update(const std::map<std::string, fleet::target>& targets, common::time_point now);
    /// Versions that targets of the service had for this model within the retention.
    [[nodiscard]] stated_versions versions_of(const std::string& service, const fleet::model_ref& ref) const;
    /// All versions, as of the last update, by service.
    [[nodiscard]] std::map<std::string, dated_versions> all(common::time_point now) const;

private:
    struct statement {
        std::string service;
        std::string software;
        fleet::held_versions held;

        [[nodiscard]] bool is_of(const fleet::target_entry& target) const;
    };
    static void date(dated_versions& to, const statement& stated, common::time_point until);
    void retire(const statement& past, common::time_point now);
    static void add(stated_versions& to, const statement& from, const fleet::model_ref& ref);
    static void add(stated_versions& to, const dated_versions& from, const fleet::model_ref& ref);

    std::optional<common::time_point> begun_;    // nullopt: nothing is read yet
    bool is_whole_ = false;                      // what was stated before is known, too
    std::map<std::string, statement> current_;   // by target
    std::map<std::string, dated_versions> past_; // by service
};

} // namespace waxwinglb::core::streams
