#include "core/target_speed/speeds.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace waxwinglb::core::target_speed {
namespace {

using common::duration;
using common::milliseconds;
using common::time_point;

constexpr double averaged_samples = 48;     // a mean follows a lasting change within about as many samples
constexpr double max_log_deviation = 1.8;   // of one sample from the service's median; six times the time
constexpr double max_load_effect = 0.25;    // on the logarithm of the time; a plain service with few slots
constexpr double load_variance_floor = 1.0; // keeps loads that hardly change from showing an effect
constexpr double usual_spread = 0.02;       // variance of the logarithms of targets' speeds
constexpr double max_shrink_samples = 200;
constexpr double weight_time_s = 15;     // after which what was learned or received counts a third
constexpr double averaged_figures = 64;  // in a target's usual figure
constexpr double figure_influence = 0.3; // exponent of a figure just read; it decreases with its age
constexpr double notable_change = 0.15;
constexpr milliseconds announce_interval{10'000}; // between two changes of one target's speed

double decay(duration age) {
    return std::exp(-std::chrono::duration<double>(age).count() / weight_time_s);
}

/// The median of the values; reorders them. An even number has the mean of the middle two.
double median(std::vector<double>& values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1)
        return *middle;
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

} // namespace

speeds::target_record* speeds::record_of(const fleet::target_start& target) {
    const auto [found, is_new] = targets_.try_emplace(target.id);
    target_record& record = found->second;
    if (!is_new && target.born < record.born)
        return nullptr;
    if (is_new || record.born != target.born) {
        record = {};
        record.born = target.born;
    }
    return &record;
}

const speeds::target_record* speeds::find(const std::string& target, std::int64_t born) const {
    const auto found = targets_.find(target);
    return found == targets_.end() || found->second.born != born ? nullptr : &found->second;
}

void speeds::note_sample(const fleet::target_start& target, const std::string& service, duration took,
                         int load, time_point now) {
    target_record* const known_record = record_of(target);
    if (known_record == nullptr || took <= duration::zero())
        return;
    target_record& record = *known_record;
    if (record.service != service)
        record.service = service;
    double log_time = std::log(std::chrono::duration<double>(took).count());
    if (const auto known = services_.find(service); known != services_.end() && known->second.known)
        log_time = std::clamp(log_time, known->second.reference_time - max_log_deviation,
                              known->second.reference_time + max_log_deviation);
    const double part = std::max(1.0 / (record.samples + 1), 1.0 / averaged_samples);
    const auto average = [part](double& mean, double value) { mean += part * (value - mean); };
    average(record.log_time, log_time);
    average(record.log_time_square, log_time * log_time);
    average(record.load, load);
    average(record.load_square, static_cast<double>(load) * load);
    average(record.load_log_time, load * log_time);
    record.samples = std::min(record.samples + 1, max_reported_samples);
    record.sampled_at = now;
}

void speeds::note_figure(const fleet::target_start& target, const std::string& service,
                         std::optional<double> work_percent, time_point now) {
    target_record* const known_record = record_of(target);
    if (known_record == nullptr)
        return;
    target_record& record = *known_record;
    record.service = service;
    record.states_load = true;
    if (!work_percent || !(*work_percent > 0))
        return;
    record.figure = std::clamp(100.0 / *work_percent, min_figure, max_figure);
    record.figure_at = now;
    const double part = std::max(1.0 / (record.figures + 1), 1.0 / averaged_figures);
    record.log_usual_figure += part * (std::log(record.figure) - record.log_usual_figure);
    record.figures = std::min(record.figures + 1, static_cast<int>(averaged_figures));
}

bool speeds::note_reported(const learned_speed& received, time_point now) {
    if (!std::isfinite(received.speed) || received.speed <= 0 || received.samples < 0)
        return false;
    if (received.samples < min_samples)
        return true;
    target_record* const known_record = record_of(received.target);
    if (known_record == nullptr)
        return true; // an earlier start of the target is over
    target_record& record = *known_record;
    const double kept = decay(now - record.received_at);
    const double weight = std::min(received.samples, max_reported_samples);
    record.received_weight = kept * record.received_weight + weight;
    record.received_log_speed = kept * record.received_log_speed +
                                weight * std::log(std::clamp(received.speed, min_speed, max_speed));
    record.received_at = now;
    return true;
}

double speeds::lasting(const std::string& target, std::int64_t born) const {
    const target_record* record = find(target, born);
    return record == nullptr ? 1 : record->lasting;
}

speeds::factors speeds::of(const std::string& target, std::int64_t born, time_point now) const {
    const target_record* record = find(target, born);
    return record == nullptr ? factors{} : factors{record->lasting, momentary(*record, now)};
}

double speeds::momentary(const target_record& record, time_point now) {
    if (record.figures < min_samples || now - record.figure_at >= figure_age)
        return 1;
    const double freshness =
        1 - std::chrono::duration<double>(now - record.figure_at) / std::chrono::duration<double>(figure_age);
    const double relative = std::log(record.figure) - record.log_usual_figure;
    return std::exp(figure_influence * freshness *
                    std::clamp(relative, std::log(min_figure), std::log(max_figure)));
}

std::vector<speed_change> speeds::update(time_point now) {
    std::vector<speed_change> changes;
    if (updated_at_ != time_point{} && now - updated_at_ < update_interval)
        return changes;
    updated_at_ = now;
    std::map<std::string, std::vector<target_record*>> by_service;
    for (auto& [id, record] : targets_)
        if (record.samples >= min_samples)
            by_service[record.service].push_back(&record);
    for (const auto& [service, targets] : by_service)
        update_service(service, targets);
    extent_ = {};
    for (auto& [id, record] : targets_) {
        update_lasting(record, now);
        if (record.lasting != 1) {
            extent_.lowest = std::min(extent_.lowest, record.lasting);
            extent_.highest = std::max(extent_.highest, record.lasting);
            ++extent_.known;
        }
        const double change = std::abs(record.lasting / record.announced - 1);
        const bool waited =
            record.announced_at == time_point{} || now - record.announced_at >= announce_interval;
        if (change < notable_change || !waited)
            continue;
        changes.push_back({{id, record.born}, record.announced, record.lasting, record.samples});
        record.announced = record.lasting;
        record.announced_at = now;
    }
    return changes;
}

/// Learns how the service's times depend on the load, and the median time, and from them the speeds.
void speeds::update_service(const std::string& service, const std::vector<target_record*>& targets) {
    double covariance = 0;
    double variance = 0;
    double time_variance = 0;
    double samples = 0;
    std::vector<double> values;
    for (const target_record* record : targets) {
        covariance += record->samples * (record->load_log_time - record->load * record->log_time);
        variance +=
            record->samples * (record->load_square - record->load * record->load + load_variance_floor);
        time_variance += record->samples * (record->log_time_square - record->log_time * record->log_time);
        samples += record->samples;
        values.push_back(record->load);
    }
    service_record& known = services_[service];
    known.load_effect = std::clamp(covariance / variance, 0.0, max_load_effect);
    // Times that differ much from call to call say little of a target until there are many of them.
    known.shrink_samples = std::clamp(time_variance / samples / usual_spread, 1.0, max_shrink_samples);
    known.reference_load = median(values);
    values.clear();
    const auto at_reference_load = [&](const target_record& record) {
        return record.log_time - known.load_effect * (record.load - known.reference_load);
    };
    for (const target_record* record : targets)
        values.push_back(at_reference_load(*record));
    known.reference_time = median(values);
    known.known = true;
    for (target_record* record : targets)
        record->own_log_speed = std::clamp(known.reference_time - at_reference_load(*record),
                                           std::log(min_speed), std::log(max_speed));
}

void speeds::update_lasting(target_record& record, time_point now) {
    const double own = record.own_log_speed ? record.samples * decay(now - record.sampled_at) : 0;
    const double received = decay(now - record.received_at);
    const double weight = own + received * record.received_weight;
    if (weight < min_samples / 2.0) // little is left of what was learned: the last speed stays
        return;
    const auto service = services_.find(record.service);
    const double shrink =
        service == services_.end() ? service_record{}.shrink_samples : service->second.shrink_samples;
    const double sum = own * record.own_log_speed.value_or(0) + received * record.received_log_speed;
    record.lasting = std::clamp(std::exp(sum / (weight + shrink)), min_speed, max_speed);
}

std::vector<learned_speed> speeds::next_to_report(std::size_t most, time_point now) {
    std::vector<learned_speed> out;
    std::vector<std::pair<std::string_view, target_record*>> due;
    for (auto& [id, record] : targets_)
        if (record.states_load && record.own_log_speed && record.sampled_at > record.reported_at &&
            (record.reported_at == time_point{} || now - record.reported_at >= report_interval))
            due.emplace_back(id, &record);
    // Those reported longest ago come first.
    const auto count = std::min(most, due.size());
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
                      [](const auto& a, const auto& b) {
                          return std::tie(a.second->reported_at, a.first) <
                                 std::tie(b.second->reported_at, b.first);
                      });
    for (std::size_t i = 0; i < count; ++i) {
        target_record& record = *due[i].second;
        record.reported_at = now;
        out.push_back(
            {{std::string{due[i].first}, record.born}, std::exp(*record.own_log_speed), record.samples});
    }
    return out;
}

void speeds::retain(const fleet::directory& known) {
    std::erase_if(targets_, [&](const auto& entry) {
        const auto* target = known.find(entry.first);
        return target == nullptr || target->entry.born != entry.second.born;
    });
}

} // namespace waxwinglb::core::target_speed
