/// Speeds of targets, as far as their answers show them: a lasting one for each start of a target, and how
/// the target's momentary figure compares with its usual one.
///
/// The lasting speed compares the time that a unit of work takes at a target (the pause before one event of a
/// stream, or a whole call of a plain service) with the median of the service's targets, after the effect of
/// the load at the time is taken out. That effect is learned from how the times of each target change with
/// its own load: a comparison between targets would confuse it with their speeds, because slow targets get
/// fewer requests. All sums are of logarithms, so that few long pauses weigh little.
///
/// The figure that a target states jumps many times a second, so it counts only while it is fresh, and only
/// against the target's own usual figure: a target that always states the same false figure gains nothing.
#pragma once

#include "core/fleet/directory.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace waxwinglb::core::target_speed {

constexpr double min_speed = 0.4; // lasting; 1 is the usual one
constexpr double max_speed = 2.5;
constexpr double min_figure = 0.25; // momentary
constexpr double max_figure = 4.0;
constexpr common::milliseconds figure_age{300}; // older figures don't count
constexpr int min_samples = 4; // own and peers' together; with fewer the target counts as usual
constexpr int max_reported_samples = 64;
constexpr common::milliseconds update_interval{500};
constexpr common::milliseconds report_interval{1'000}; // of the speed of one target
constexpr std::size_t max_reported = 64;               // speeds in one message to peers, some 40 bytes each

/// What one gateway has learned itself of a target's speed.
struct learned_speed {
    fleet::target_start target;
    double speed = 1;
    int samples = 0;
};

struct speed_change {
    fleet::target_start target;
    double before = 1;
    double now = 1;
    int samples = 0; // of this gateway
};

class speeds {
public:
    /// A unit of work took `took` at the target while `load` requests were there.
    void note_sample(const fleet::target_start& target, const std::string& service, common::duration took,
                     int load, common::time_point now);
    /// The target states how long work takes at this moment, in percent of the usual time; nullopt: it states
    /// its load without that figure.
    void note_figure(const fleet::target_start& target, const std::string& service,
                     std::optional<double> work_percent, common::time_point now);
    /// Takes over what a peer has learned. Returns false if it is malformed; then it has no effect.
    bool note_reported(const learned_speed& received, common::time_point now);

    struct factors {
        double lasting = 1;   // 1: usual, or not known
        double momentary = 1; // relative to the lasting speed; 1 unless the target's figure is fresh
    };
    [[nodiscard]] factors of(const std::string& target, std::int64_t born, common::time_point now) const;
    [[nodiscard]] double lasting(const std::string& target, std::int64_t born) const;

    /// Brings the lasting speeds up to date, once in update_interval. Returns those that have changed
    /// notably.
    std::vector<speed_change> update(common::time_point now);
    /// What this gateway has learned itself of targets that state their load, and that is to be reported
    /// to peers now: `most` at most, the others with the next calls.
    std::vector<learned_speed> next_to_report(std::size_t most, common::time_point now);
    /// Forgets targets that are not in the directory any more, and earlier starts of those that are.
    void retain(const fleet::directory& known);

    struct range {
        double lowest = 1;
        double highest = 1;
        int known = 0; // targets whose speed is learned
    };
    [[nodiscard]] const range& extent() const { return extent_; } // as of the last update

private:
    struct target_record {
        std::int64_t born = 0;
        std::string service;
        // Means over the latest samples: logarithm of the time, load, and their products.
        int samples = 0;
        double log_time = 0;
        double log_time_square = 0;
        double load = 0;
        double load_square = 0;
        double load_log_time = 0;
        common::time_point sampled_at{};
        std::optional<double> own_log_speed; // as of the last update
        // Sums of what peers reported, which decay with time.
        double received_weight = 0;
        double received_log_speed = 0; // times its weight
        common::time_point received_at{};
        double lasting = 1;
        double announced = 1; // last value in a speed_change
        common::time_point announced_at{};
        bool states_load = false;
        double log_usual_figure = 0;
        int figures = 0;
        double figure = 1;
        common::time_point figure_at{};
        common::time_point reported_at{};
    };
    struct service_record {
        double load_effect = 0;    // on the logarithm of the time, for each request
        double shrink_samples = 4; // a speed that rests on as many samples counts half
        double reference_load = 0; // median
        double reference_time = 0; // median of the logarithms, at the reference load
        bool known = false;
    };
    /// The record of this start; nullptr if a later one is known.
    target_record* record_of(const fleet::target_start& target);
    [[nodiscard]] const target_record* find(const std::string& target, std::int64_t born) const;
    [[nodiscard]] static double momentary(const target_record& record, common::time_point now);
    void update_service(const std::string& service, const std::vector<target_record*>& targets);
    void update_lasting(target_record& record, common::time_point now);

    std::unordered_map<std::string, target_record> targets_; // by id
    std::unordered_map<std::string, service_record> services_;
    common::time_point updated_at_{};
    range extent_;
};

} // namespace waxwinglb::core::target_speed
