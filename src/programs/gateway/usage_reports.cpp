#include "programs/gateway/usage_reports.hpp"

#include "edge/boot_clock.hpp"
#include "platform/duties.hpp"

#include <algorithm>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using core::common::store_position;
using core::common::time_point;
using core::duties::call_answer;
using core::duties::usage_subject;
using core::membership::write_result;
using platform::store_result;

constexpr milliseconds tick_interval{100};
constexpr milliseconds store_retry_delay{300};
constexpr milliseconds successor_interval{1'000};
constexpr std::size_t max_entries = 1'000; // of one message; about 26 kB of a datagram's 65 kB

milliseconds wall_ms() {
    return std::chrono::floor<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

write_result to_write_result(const platform::store_reply& reply) {
    switch (reply.result) {
    case store_result::ok:
        return reply.objects.empty() ? write_result::unknown : write_result::stored;
    case store_result::refused:
        return write_result::not_sent;
    case store_result::unknown:
        return write_result::unknown;
    default:
        return write_result::conflict;
    }
}

} // namespace

usage_reports::usage_reports(gateway_context& context, duties& calls, platform::store_client& store,
                             edge::http_client& client, std::int64_t boot)
    : context_(context), calls_(calls),
      store_(context, store, client, {platform::duties_kind, platform::usage_name_of, "/peer/duties"}),
      boot_(boot), counter_({context.settings.duties.usage_window}),
      totals_({context.settings.duties.usage_window}),
      decisions_({{context.settings.duties.usage_window}, context.settings.duties.usage_late}) {}

bool usage_reports::due() const {
    return !context_.settings.duties.address.empty() && context_.settings.duties.usage_report;
}

void usage_reports::start() {
    if (!due())
        return;
    context_.count_run = [this](const std::string& customer, time_point began) {
        counter_.add(customer, clock_.at(began), clock_.at(context_.loop.now()));
    };
    tick();
}

void usage_reports::enter_era(std::int64_t era) {
    era_ = era;
    reading_ = false;
    decisions_.enter_era(era, context_.loop.now());
}

void usage_reports::tick() {
    const auto now = context_.loop.now();
    note_clock();
    totals_.forget_old(clock_.at(now));
    decisions_.hold(calls_.token(), now);
    step_store(now);
    report(now);
    if (counter_.left_out() != left_out_) {
        left_out_ = counter_.left_out();
        context_.log.write(edge::events::usage_not_counted, context_.settings.name,
                           {{"requests_since_start", left_out_}});
    }
    context_.loop.schedule(now + tick_interval, [this] { tick(); });
}

/// Reads both clocks together: the loop's time may be some time ago.
void usage_reports::note_clock() {
    const auto now = edge::boot_now();
    const auto wall = wall_ms();
    if (const auto jump = clock_.note_own(wall, now))
        context_.log.write(
            edge::events::clock_jumped, context_.settings.name,
            {{"by_ms", jump->count()}, {"true_minus_own_ms", (clock_.at(now) - wall).count()}});
    clock_.update(now);
}

// ---- messages --------------------------------------------------------------------------------------

void usage_reports::add_time_to(wire::peer_status& message) const {
    if (due())
        message.__set_unix_ms(wall_ms().count());
}

/// What doesn't fit into one message goes with the next ones in turn. The current window always does: it
/// shows the receiver that those before it are over.
void usage_reports::add_totals_to(wire::peer_status& message) {
    if (!due())
        return;
    const auto& totals = counter_.totals(clock_.at(context_.loop.now()));
    std::size_t count = 0;
    for (const auto& [window, counts] : totals)
        count += counts.size();
    const std::size_t first = count > max_entries ? next_entry_ % count : 0;
    next_entry_ = first + max_entries;
    std::vector<wire::usage_window> out;
    std::size_t index = 0;
    for (const auto& [number, counts] : totals) {
        wire::usage_window window;
        window.window = number;
        for (const auto& [customer, requests] : counts) {
            const std::size_t place = (index++ + count - first) % count;
            if (place >= max_entries)
                continue;
            wire::customer_runs runs;
            runs.customer = customer;
            runs.requests = requests;
            window.runs.push_back(std::move(runs));
        }
        out.push_back(std::move(window));
    }
    message.__set_usage(out);
}

void usage_reports::add_totals_for_successor(wire::peer_status& message) {
    const auto now = context_.loop.now();
    if (!due() || !calls_.lease_held_since() || now - told_all_at_ < successor_interval)
        return;
    told_all_at_ = now;
    add_totals_to(message);
}

void usage_reports::take(const wire::peer_status& message) {
    if (!due())
        return;
    const auto now = context_.loop.now();
    if (message.__isset.unix_ms)
        clock_.note_peer(message.process, message.unix_ms, edge::boot_now());
    if (!message.__isset.usage)
        return;
    core::duties::window_counts told;
    for (const auto& window : message.usage)
        for (auto& counts = told[window.window]; const auto& runs : window.runs)
            counts[runs.customer] = runs.requests;
    if (const int unusable = totals_.note(message.process, message.boot, told, clock_.at(now)); unusable > 0)
        context_.log.write(edge::events::datagram_ignored, message.process,
                           {{"step", "usage"}, {"entries", unusable}});
}

// ---- decisions -------------------------------------------------------------------------------------

core::duties::usage_sources usage_reports::sources() {
    const auto true_now = clock_.at(context_.loop.now());
    totals_.note(context_.settings.name, boot_, counter_.totals(true_now), true_now);
    auto in_contact = peers_->reporting_details();
    in_contact.insert(context_.settings.name);
    return {totals_, std::move(in_contact), calls_.lease_held_since().value_or(context_.loop.now())};
}

void usage_reports::step_store(time_point now) {
    if (!calls_.token() || reading_ || now < store_not_before_)
        return;
    if (decisions_.read_due())
        return read();
    if (const auto change = decisions_.write_due(sources(), clock_, now))
        write(*change);
}

bool usage_reports::record_call(const char* call, std::int64_t era, platform::store_reply& reply) {
    context_.history.note(reply, call);
    context_.metrics.count_store_call(call, reply.store_answered() ? "heard" : "lost");
    if (!reply.store_answered())
        store_not_before_ = context_.loop.now() + store_retry_delay;
    return era == era_ && (!reply.store_answered() || reply.at.era == era);
}

void usage_reports::read() {
    reading_ = true;
    store_.read([this, era = era_](platform::store_reply&& reply) {
        if (era == era_)
            reading_ = false;
        if (record_call("read_usage", era, reply))
            handle_read(std::move(reply));
    });
}

void usage_reports::handle_read(platform::store_reply&& reply) {
    const auto now = context_.loop.now();
    if (reply.result == store_result::absent)
        return decisions_.observe({era_, 0}, std::nullopt, clock_, now);
    if (reply.result != store_result::ok || reply.objects.empty())
        return;
    const auto& object = reply.objects.front();
    if (const auto windows = platform::decode_usage_object(object.spec))
        return decisions_.observe(object.changed, windows, clock_, now);
    context_.log.write(edge::events::usage_object_ignored, platform::usage_name_of(era_),
                       {{"revision", object.changed.revision}, {"why", object.flaw}});
    decisions_.observe_malformed(object.changed, now);
}

void usage_reports::write(const core::duties::usage_write& change) {
    store_.write(change.if_version, platform::encode_usage_object(change.windows).dump(),
                 [this, era = era_, change](platform::store_reply&& reply) {
                     if (!record_call("write_usage", era, reply))
                         return;
                     const auto result = to_write_result(reply);
                     const bool stored = result == write_result::stored;
                     decisions_.written(change.sequence, result,
                                        stored ? reply.objects.front().changed : store_position{});
                     if (!stored)
                         return;
                     for (const std::int64_t window : change.decided)
                         context_.log.write(edge::events::usage_decided, std::to_string(window),
                                            {{"counts", change.windows.at(window)},
                                             {"gateways", totals_.gateways(window)},
                                             {"missing", change.missing},
                                             {"fencing", calls_.token().value_or(0)}});
                 });
}

void usage_reports::report(time_point now) {
    for (const auto& given_up : decisions_.take_given_up(clock_, now)) {
        context_.metrics.count_usage_report("given_up");
        context_.log.write(edge::events::usage_given_up, std::to_string(given_up.window),
                           {{"why", given_up.why}});
    }
    if (!calls_.token() || calls_.pending(usage_subject))
        return;
    const auto due = decisions_.report_due();
    if (!due)
        return;
    calls_.enqueue(
        usage_subject, platform::usage_path, platform::encode_usage_call(due->window, due->counts),
        [this, window = due->window](call_answer answer) {
            decisions_.answered(window);
            const bool late = decisions_.is_late(window, clock_.at(context_.loop.now()));
            const char* result = answer == call_answer::refused ? "refused" : late ? "late" : "sent";
            context_.metrics.count_usage_report(result);
            context_.log.write(edge::events::usage_reported, std::to_string(window), {{"result", result}});
        });
}

} // namespace waxwinglb::programs::gateway
