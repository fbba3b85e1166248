#include "core/scaling/autoscaler.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace waxwinglb::core::scaling {
namespace {

using common::duration;
using common::milliseconds;
using common::time_point;

// Share of the targets' room that expected demand may use. The rest takes up errors of the estimate, bursts
// and the loss of a target until it is replaced.
constexpr double planned_share = 0.8;
// The same when the number falls. It is lower, so that a number on the edge doesn't rise and fall in turn.
constexpr double kept_share = 0.7;
constexpr milliseconds reaction_time{2'000}; // from a change of demand until it is seen and called for
constexpr milliseconds burst_time{3'000};    // shorter bursts are no reason for a call
// A number that only leaves less room than planned is raised after a share of the start time, within bounds.
constexpr int confirmation_divisor = 8;
constexpr milliseconds min_confirmation{3'000};
constexpr milliseconds max_confirmation{8'000};
constexpr milliseconds min_trend_window{8'000};
constexpr milliseconds max_trend_window{60'000};
constexpr double max_growth = 2.0; // of demand within the time that a target needs; more isn't believed
constexpr milliseconds min_time_low{10'000};
constexpr int step_divisor = 4; // of the start time: the time between two steps down
constexpr milliseconds min_step_interval{3'000};
constexpr milliseconds max_step_interval{30'000};
constexpr int targets_in_step = 16; // a step is one target, in large services one of so many
// A new order giver knows neither what rises nor targets that are still starting: it waits before it confirms
// the number of targets that it sees.
constexpr milliseconds observation_time{5'000};
constexpr double work_learning_rate = 0.05;
// Arrivals are taken at most at this multiple of the requests that are there: refused callers come again.
constexpr double max_hidden_demand = 2.0;
constexpr double min_rate = 0.1;      // arrivals per second, from which the work of an arrival is learned
constexpr double min_samples = 3;     // of a line
constexpr double errors_left_out = 2; // standard errors of a slope; noise alone seldom exceeds them
constexpr int max_targets = 1'000'000;

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

int targets_for(double demand, double room) {
    if (room <= 0 || demand <= 0)
        return demand > 0 ? 1 : 0;
    return static_cast<int>(std::min<double>(max_targets, std::ceil(demand / room)));
}

duration start_time_of(const fleet::scaling_spec& limits, const observation& seen) {
    return limits.boot + seen.load_time + reaction_time;
}

} // namespace

std::vector<scale_call> autoscaler::evaluate(const fleet::scaling_spec& limits, const observation& seen,
                                             time_point now) {
    if (first_at_ == time_point{})
        first_at_ = now;
    const duration start_time = start_time_of(limits, seen);
    begin_centres(limits, seen, now);
    samples_.push_back({now, demand_of(seen), 0});
    estimate_need(seen, start_time, now);
    raise(limits, seen);
    lower(limits, seen, start_time, now);
    std::vector<scale_call> out;
    const bool observed = now - first_at_ >= observation_time;
    for (const auto& [centre, desired] : desired_) {
        const auto called = called_.find(centre);
        const bool confirms = called == called_.end();
        const auto present = seen.centres.find(centre);
        if (present == seen.centres.end() || present->second.out)
            continue;
        const int before = confirms ? present->second.targets : called->second;
        if (desired == before && (!confirms || !observed))
            continue;
        out.push_back({centre, desired, before,
                       desired > before   ? "demand needs more"
                       : desired < before ? "demand has stayed low"
                                          : "confirms the number"});
        called_[centre] = desired;
    }
    return out;
}

/// A data centre that wasn't known before begins with the targets that it has. When one was taken out or has
/// come back, nothing falls until that has lasted.
void autoscaler::begin_centres(const fleet::scaling_spec& limits, const observation& seen, time_point now) {
    for (const auto& [centre, state] : seen.centres)
        if (!state.out)
            desired_.try_emplace(centre, state.targets);
    std::set<std::string> in_service;
    for (const auto& [centre, state] : seen.centres)
        if (!state.out)
            in_service.insert(centre);
    if (in_service != in_service_)
        steady_since_ = now;
    in_service_ = std::move(in_service);
    for (auto& [centre, number] : desired_)
        number = std::clamp(number, limits.min, limits.max);
}

/// Requests at once that callers ask for. While targets are full, arrivals show more than the requests that
/// are there, since others were refused.
double autoscaler::demand_of(const observation& seen) {
    const double present = seen.running + seen.waiting;
    const bool flows = seen.waiting <= 0 && seen.running > 0 && seen.per_second >= min_rate;
    if (flows) {
        const double work = seen.running / seen.per_second;
        work_per_arrival_ = work_per_arrival_ <= 0
                                ? work
                                : work_per_arrival_ + work_learning_rate * (work - work_per_arrival_);
        return present;
    }
    return std::max(present, std::min(seen.per_second * work_per_arrival_, max_hidden_demand * present));
}

double autoscaler::mean_since(time_point since) const {
    double sum = 0;
    int count = 0;
    for (auto from = samples_.rbegin(); from != samples_.rend() && from->at >= since; ++from) {
        sum += from->demand;
        ++count;
    }
    return count > 0 ? sum / count : 0;
}

/// The line that fits the samples of a time best.
autoscaler::line autoscaler::fit(time_point from, time_point until) const {
    double n = 0;
    double t_sum = 0;
    double d_sum = 0;
    for (const sample& one : samples_)
        if (one.at >= from && one.at <= until) {
            n += 1;
            t_sum += seconds(one.at - from);
            d_sum += one.demand;
        }
    if (n < min_samples)
        return {};
    double tt = 0;
    double td = 0;
    double dd = 0;
    for (const sample& one : samples_)
        if (one.at >= from && one.at <= until) {
            const double t = seconds(one.at - from) - t_sum / n;
            const double d = one.demand - d_sum / n;
            tt += t * t;
            td += t * d;
            dd += d * d;
        }
    if (tt <= 0)
        return {};
    const double slope = td / tt;
    return {slope, std::sqrt(std::max(0.0, dd - slope * td) / (n - 2) / tt)};
}

/// A rise counts as a trend as far as it is beyond the error of the estimate and went on in both halves of
/// the window. A step lies in one of them, and it would otherwise be continued far beyond its end.
double autoscaler::trend(duration window, time_point now) const {
    if (samples_.front().at > now - window)
        return 0;
    const time_point middle = now - window / 2;
    const line whole = fit(now - window, now);
    return std::max(0.0, std::min({whole.slope - errors_left_out * whole.error,
                                   fit(now - window, middle).slope, fit(middle, now).slope}));
}

void autoscaler::estimate_need(const observation& seen, duration start_time, time_point now) {
    const duration confirmation =
        std::clamp<duration>(start_time / confirmation_divisor, min_confirmation, max_confirmation);
    const duration window = std::clamp<duration>(start_time / 2, min_trend_window, max_trend_window);
    const double rising = trend(window, now) * seconds(start_time);
    const double lasting = mean_since(now - confirmation);
    const double latest = mean_since(now - burst_time);
    estimate_.level = latest;
    estimate_.expected = std::min(lasting + rising, max_growth * std::max(lasting, seen.room));
    const int least =
        std::max(1, seen.holders_needed); // without any, the first request would wait for a boot
    estimate_.needed = std::max(
        {least, targets_for(estimate_.expected, seen.room * planned_share), targets_for(latest, seen.room)});
    samples_.back().needed_to_keep =
        std::max({least, targets_for(std::max(estimate_.expected, latest), seen.room * kept_share),
                  targets_for(samples_.back().demand, seen.room)});
    const duration memory = std::max<duration>({window, start_time, min_time_low}) + reaction_time;
    while (samples_.front().at < now - memory)
        samples_.pop_front();
}

int autoscaler::most_needed(time_point since) const {
    int out = 0;
    for (const sample& one : samples_)
        if (one.at >= since)
            out = std::max(out, one.needed_to_keep);
    return out;
}

int autoscaler::total(const observation& seen) const {
    int out = 0;
    for (const auto& [centre, number] : desired_)
        if (const auto present = seen.centres.find(centre);
            present != seen.centres.end() && !present->second.out)
            out += number;
    return out;
}

/// Adds targets where the fewest are.
void autoscaler::raise(const fleet::scaling_spec& limits, const observation& seen) {
    for (int missing = estimate_.needed - total(seen); missing > 0; --missing) {
        int* fewest = nullptr;
        for (auto& [centre, number] : desired_) {
            const auto present = seen.centres.find(centre);
            if (present == seen.centres.end() || present->second.out || number >= limits.max)
                continue;
            if (fewest == nullptr || number < *fewest)
                fewest = &number;
        }
        if (fewest == nullptr)
            return;
        ++*fewest;
    }
}

/// Takes targets away where the most are.
void autoscaler::lower(const fleet::scaling_spec& limits, const observation& seen, duration start_time,
                       time_point now) {
    const duration time_low = std::max<duration>(start_time, min_time_low);
    const duration interval =
        std::clamp<duration>(start_time / step_divisor, min_step_interval, max_step_interval);
    const int present = total(seen);
    if (now - steady_since_ < time_low || now - lowered_at_ < interval || !seen.models_placed ||
        seen.room <= 0)
        return;
    const int spare = present - most_needed(now - time_low);
    for (int step = std::min(spare, std::max(1, present / targets_in_step)); step > 0; --step) {
        int* most = nullptr;
        for (auto& [centre, number] : desired_) {
            const auto known = seen.centres.find(centre);
            if (known == seen.centres.end() || known->second.out || number <= limits.min)
                continue;
            if (most == nullptr || number > *most)
                most = &number;
        }
        if (most == nullptr)
            return;
        --*most;
        lowered_at_ = now;
    }
}

int targets_to_hold(std::vector<double> model_megabytes, double target_megabytes) {
    std::sort(model_megabytes.begin(), model_megabytes.end(), std::greater<>{});
    std::vector<double> free_megabytes; // of the targets used so far
    for (const double size : model_megabytes) {
        const auto fits = std::find_if(free_megabytes.begin(), free_megabytes.end(),
                                       [&](double free) { return size <= free; });
        if (fits == free_megabytes.end())
            free_megabytes.push_back(target_megabytes - size);
        else
            *fits -= size;
    }
    return static_cast<int>(free_megabytes.size());
}

} // namespace waxwinglb::core::scaling
