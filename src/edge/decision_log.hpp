/// Writes one JSON line to standard output for each decision: time, process, event, subject, inputs with
/// their age or version, and outcome. Writing never blocks: a full queue drops the oldest lines and counts
/// them, and lines about requests are limited to a rate. API keys, bodies and prompts must never be logged.
#pragma once

#include "core/common/time.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>

namespace waxwinglb::edge {

/// Names of the events; docs/OPERATIONS.md has a row for each.
namespace events {
inline constexpr std::string_view process_started = "process_started";
inline constexpr std::string_view process_stopping = "process_stopping";
inline constexpr std::string_view process_stopped = "process_stopped";
inline constexpr std::string_view process_crashed = "process_crashed"; // written by edge/crash_report
inline constexpr std::string_view settings_reloaded = "settings_reloaded";
inline constexpr std::string_view settings_refused = "settings_refused";
inline constexpr std::string_view store_lost = "store_lost";
inline constexpr std::string_view store_regained = "store_regained";
inline constexpr std::string_view store_restored = "store_restored";
inline constexpr std::string_view store_view_old = "store_view_old";
inline constexpr std::string_view peer_lost = "peer_lost";
inline constexpr std::string_view peer_regained = "peer_regained";
inline constexpr std::string_view datagram_ignored = "datagram_ignored";
inline constexpr std::string_view config_in_force = "config_in_force";
inline constexpr std::string_view config_refused = "config_refused";
inline constexpr std::string_view data_centres_out = "data_centres_out";
inline constexpr std::string_view target_changed = "target_changed";
inline constexpr std::string_view target_ignored = "target_ignored";
inline constexpr std::string_view entries_ignored = "entries_ignored";
inline constexpr std::string_view target_suspected = "target_suspected";
inline constexpr std::string_view target_leaving = "target_leaving";
inline constexpr std::string_view target_paused = "target_paused";
inline constexpr std::string_view target_limited = "target_limited";
inline constexpr std::string_view target_notice_ignored = "target_notice_ignored";
inline constexpr std::string_view target_ending = "target_ending";
inline constexpr std::string_view target_probed = "target_probed";
inline constexpr std::string_view request_on_notice = "request_on_notice";
inline constexpr std::string_view scale_decided = "scale_decided";
inline constexpr std::string_view target_load_ignored = "target_load_ignored";
inline constexpr std::string_view target_speed_changed = "target_speed_changed";
inline constexpr std::string_view lease_taken = "lease_taken";
inline constexpr std::string_view lease_lost = "lease_lost";
inline constexpr std::string_view order_sent = "order_sent";
inline constexpr std::string_view order_answered = "order_answered";
inline constexpr std::string_view load_finished = "load_finished";
inline constexpr std::string_view duty_call_sent = "duty_call_sent";
inline constexpr std::string_view duty_call_answered = "duty_call_answered";
inline constexpr std::string_view duty_call_refused = "duty_call_refused";
inline constexpr std::string_view duty_unknown = "duty_unknown";
inline constexpr std::string_view usage_decided = "usage_decided";
inline constexpr std::string_view usage_reported = "usage_reported";
inline constexpr std::string_view usage_given_up = "usage_given_up";
inline constexpr std::string_view usage_not_counted = "usage_not_counted";
inline constexpr std::string_view usage_object_ignored = "usage_object_ignored";
inline constexpr std::string_view clock_jumped = "clock_jumped";
inline constexpr std::string_view request_waiting = "request_waiting";
inline constexpr std::string_view turn_missed = "turn_missed";
inline constexpr std::string_view turn_asked = "turn_asked";
inline constexpr std::string_view turn_granted = "turn_granted";
inline constexpr std::string_view turns_held = "turns_held";
inline constexpr std::string_view origin_decided = "origin_decided";
inline constexpr std::string_view request_sent = "request_sent";
inline constexpr std::string_view request_retried = "request_retried";
inline constexpr std::string_view prompt_suspected = "prompt_suspected";
inline constexpr std::string_view request_refused = "request_refused";
inline constexpr std::string_view rate_refused = "rate_refused";
inline constexpr std::string_view request_answered = "request_answered";
inline constexpr std::string_view request_cut = "request_cut";
inline constexpr std::string_view request_abandoned = "request_abandoned";
inline constexpr std::string_view client_limited = "client_limited";
inline constexpr std::string_view lines_left_out = "lines_left_out";
inline constexpr std::string_view lines_dropped = "lines_dropped";
inline constexpr std::array all{
    process_started,      process_stopping,    process_stopped,       settings_reloaded,
    settings_refused,     store_lost,          store_regained,        store_restored,
    target_leaving,       target_paused,       target_notice_ignored, peer_lost,
    peer_regained,        config_in_force,     config_refused,        data_centres_out,
    target_changed,       target_ignored,      target_suspected,      lease_taken,
    lease_lost,           order_sent,          order_answered,        load_finished,
    request_waiting,      turn_missed,         request_sent,          request_retried,
    request_refused,      rate_refused,        request_answered,      request_cut,
    request_abandoned,    lines_left_out,      lines_dropped,         datagram_ignored,
    prompt_suspected,     target_limited,      process_crashed,       entries_ignored,
    duty_call_sent,       duty_call_answered,  duty_call_refused,     duty_unknown,
    usage_decided,        usage_reported,      usage_given_up,        usage_not_counted,
    usage_object_ignored, clock_jumped,        target_ending,         request_on_notice,
    scale_decided,        target_load_ignored, target_speed_changed,  turn_asked,
    turn_granted,         turns_held,          client_limited,        store_view_old,
    target_probed,        origin_decided};
/// Events that callers, targets or peers can cause at any rate; each of them has its own limit.
inline constexpr std::array about_requests{
    request_waiting,  turn_missed,       request_sent,        request_retried,      request_refused,
    rate_refused,     request_answered,  request_cut,         request_abandoned,    datagram_ignored,
    prompt_suspected, request_on_notice, target_load_ignored, target_speed_changed, turn_asked,
    turn_granted,     turns_held,        client_limited,      target_probed,        origin_decided};
} // namespace events

class decision_log {
public:
    using fields = nlohmann::ordered_json;

    /// Writes to standard output. Each event in events::about_requests is limited to
    /// `request_lines_per_second`.
    decision_log(std::string process, int request_lines_per_second);
    ~decision_log(); // writes the queued lines
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;
    decision_log(decision_log&&) = delete;
    decision_log& operator=(decision_log&&) = delete;

    void limit_request_lines(int per_second);
    /// Queues a line; `subject` is a request id, target, customer, … May be called from any thread.
    void write(std::string_view event, std::string_view subject, const fields& inputs = fields::object());

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace waxwinglb::edge
