// Simulates the surroundings of one call: targets that restart, links that break, messages that are lost,
// duplicated, delayed and reordered. It records what really happened (which attempts ran, which bytes their
// answers have) for comparison with what the call reports.
#pragma once

#include "core/routing/call.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::tests {

using namespace core::routing;
using core::common::milliseconds;
using core::common::time_point;

struct world_options {
    unsigned seed = 1;
    bool repeatable = true;
    bool claimed = false;
    bool streamed = false;
    int lost = 0;           // percent of messages
    int doubled = 0;        // percent of messages
    int max_delay = 5;      // ms of each message
    int breaks = 0;         // links broken during the call
    int restarts = 0;       // agents restarted during the call
    int refusals = 0;       // percent of runs that are refused before they start
    int failures = 0;       // percent of runs that fail half-way
    int slow_places = 0;    // percent of placements that are never answered
    bool withdrawn = false; // the customer's key is withdrawn during the call
    milliseconds deadline{8'000};
};

class call_world {
public:
    explicit call_world(const world_options& options)
        : options_(options), random_(options.seed), call_(make(options)), targets_(target_count) {
        for (std::size_t i = 0; i < targets_.size(); ++i)
            targets_[i].boot = static_cast<std::int64_t>(100 + i);
    }

    void run() {
        after(pick(50), [this] { perform_all(call_.granted(now_)); });
        plan_faults();
        const time_point end =
            deadline_ + std::chrono::seconds{30}; // messages may arrive after the call's end
        while (now_ < end) {
            const time_point wake = finishes == 0 ? call_.next_wake() : time_point::max();
            if (!events_.empty() && events_.top().at <= wake) {
                if (events_.top().at >= end)
                    break;
                const event next = events_.top();
                events_.pop();
                now_ = std::max(now_, next.at);
                next.step();
            } else if (wake < end) {
                now_ = std::max(now_, wake);
                perform_all(call_.tick(now_));
            } else {
                break;
            }
        }
    }

    // What really happened, for comparison with what the caller got.
    int finishes = 0;
    ending end;
    time_point finished_at;
    std::string delivered;   // bytes that the caller received
    std::map<int, int> runs; // attempt -> number of runs at all targets
    std::set<int> attempts;  // sent
    [[nodiscard]] time_point deadline() const { return deadline_; }
    [[nodiscard]] static std::string answer_of(int attempt) {
        std::string out;
        for (int i = 0; i < answer_pieces; ++i)
            out += "[" + std::to_string(attempt) + "." + std::to_string(i) + "]";
        return out;
    }
    [[nodiscard]] int total_runs() const {
        int out = 0;
        for (const auto& [attempt, count] : runs)
            out += count;
        return out;
    }

private:
    static constexpr std::size_t target_count = 4;
    static constexpr int answer_pieces = 6;
    static constexpr int busy_ms = 500; // an undisturbed call takes about half of this

    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> step;
        bool operator<(const event& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    enum class work { running, finished, refused, failed, cancelled };
    struct record {
        work state = work::running;
        std::string body;
        bool suspect = false;
        bool ran = false;
    };
    struct target {
        std::int64_t boot = 0;
        int epoch = 1;  // increases when a link breaks
        bool up = true; // a link can be opened
        bool linked = false;
        std::map<int, record> records; // by attempt; lost at a restart
    };

    call make(const world_options& options) {
        call_options out;
        out.request_id = "own";
        out.repeatable = options.repeatable;
        out.claimed = options.claimed;
        out.streamed = options.streamed;
        out.deadline = deadline_;
        out.retry_budget = &budget_;
        return call{out};
    }

    int pick(int below) {
        return below <= 0 ? 0 : static_cast<int>(random_() % static_cast<unsigned>(below));
    }
    bool chance(int percent) { return pick(100) < percent; }
    void after(int ms, std::function<void()> step) {
        events_.push({now_ + milliseconds{ms}, ++order_, std::move(step)});
    }

    void plan_faults() {
        const int whole = static_cast<int>(options_.deadline.count());
        const int span = chance(70) ? std::min(whole, busy_ms) : whole;
        for (int i = 0; i < options_.breaks; ++i)
            after(pick(span), [this] { break_link(static_cast<std::size_t>(pick(target_count))); });
        for (int i = 0; i < options_.restarts; ++i)
            after(pick(span), [this] { restart(static_cast<std::size_t>(pick(target_count))); });
        if (options_.withdrawn)
            after(pick(span), [this] { perform_all(call_.abandon(end_reason::key_withdrawn, now_)); });
    }

    void break_link(std::size_t which) {
        target& broken = targets_[which];
        ++broken.epoch;
        const bool was_linked = std::exchange(broken.linked, false);
        broken.up = false;
        after(pick(5'000), [this, which] {
            targets_[which].up = true;
            open_link(which);
        });
        if (was_linked && target_ == which)
            after(pick(50), [this, which] {
                if (target_ == which)
                    perform_all(call_.link_lost(now_));
            });
    }
    void restart(std::size_t which) {
        targets_[which].boot += 1'000;
        targets_[which].records.clear();
        break_link(which);
    }
    void open_link(std::size_t which) {
        if (target_ != which || !targets_[which].up || targets_[which].linked)
            return;
        targets_[which].linked = true;
        const int epoch = targets_[which].epoch;
        const std::int64_t boot = targets_[which].boot;
        after(60 + pick(20), [this, which, epoch, boot] {
            if (target_ == which && targets_[which].epoch == epoch)
                perform_all(call_.link_ready(boot, now_));
        });
    }

    /// Sends to the call's target. The message reaches the process that runs there on arrival, even after the
    /// link broke; a duplicate reaches the same process or none.
    void to_target(const std::function<void(target&, std::size_t)>& step) {
        if (chance(options_.lost) || !target_)
            return;
        const std::size_t which = *target_;
        const int delay = 1 + pick(options_.max_delay);
        const bool duplicate = chance(options_.doubled);
        after(delay, [this, which, duplicate, step] {
            if (!targets_[which].up)
                return;
            const std::int64_t boot = targets_[which].boot;
            step(targets_[which], which);
            if (duplicate)
                after(1 + pick(options_.max_delay), [this, which, boot, step] {
                    if (targets_[which].boot == boot)
                        step(targets_[which], which);
                });
        });
    }
    /// Sends to the router; the message is lost if its link breaks meanwhile.
    void to_router(std::size_t which, int delay, const std::function<void()>& step) {
        if (chance(options_.lost))
            return;
        const int epoch = targets_[which].epoch;
        const int copies = chance(options_.doubled) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            after(delay + 1 + pick(options_.max_delay), [this, which, epoch, step] {
                if (target_ == which && targets_[which].epoch == epoch && finishes == 0)
                    step();
            });
    }

    void take_run(target& at, std::size_t which, int attempt, bool isolate) {
        const auto known = at.records.find(attempt);
        if (known != at.records.end())
            return send_state(at, which, attempt, 0);
        record& made = at.records[attempt];
        if (!isolate && chance(options_.refusals)) {
            made.state = work::refused;
            return send_state(at, which, attempt, 0);
        }
        made.ran = true;
        ++runs[attempt];
        const std::int64_t boot = at.boot;
        const bool fails = chance(options_.failures);
        for (int piece = 0; piece < answer_pieces; ++piece)
            after(1 + 20 * piece + pick(20), [this, which, attempt, boot, piece, fails] {
                target& here = targets_[which];
                if (here.boot == boot)
                    progress(here, which, attempt, piece, fails);
            });
        to_router(which, 0, [this, attempt] { perform_all(call_.accepted("own", attempt, now_)); });
    }
    void progress(target& at, std::size_t which, int attempt, int piece, bool fails) {
        record& attempt_record = at.records[attempt];
        if (attempt_record.state != work::running)
            return;
        const std::string whole = answer_of(attempt);
        const std::size_t from = attempt_record.body.size();
        const std::size_t size =
            piece + 1 == answer_pieces ? whole.size() : whole.size() * (piece + 1) / answer_pieces;
        attempt_record.body = whole.substr(0, std::max(from, size));
        if (fails && piece == answer_pieces / 2) {
            attempt_record.state = work::failed;
            attempt_record.suspect = chance(50);
        } else if (piece + 1 == answer_pieces) {
            attempt_record.state = work::finished;
        }
        send_state(at, which, attempt, from);
    }
    /// Sends the state of an attempt to the router, with the bytes from `offset` on.
    void send_state(target& at, std::size_t which, int attempt, std::size_t offset) {
        const record attempt_record = at.records[attempt];
        if (offset < attempt_record.body.size())
            to_router(which, 0, [this, attempt, offset, attempt_record] {
                perform_all(call_.chunk("own", attempt, static_cast<std::int64_t>(offset),
                                        attempt_record.body.substr(offset), now_));
            });
        if (attempt_record.state == work::finished)
            to_router(which, 1, [this, attempt, attempt_record] {
                ending result;
                result.status = 200;
                perform_all(call_.finished(
                    "own", attempt, static_cast<std::int64_t>(attempt_record.body.size()), result, now_));
            });
        if (attempt_record.state == work::refused || attempt_record.state == work::failed ||
            attempt_record.state == work::cancelled)
            to_router(which, 1, [this, attempt, attempt_record] {
                const auto why =
                    attempt_record.state == work::refused ? refusal::overloaded : refusal::failed;
                const auto ran = attempt_record.ran ? run_state::run : run_state::not_run;
                perform_all(
                    call_.refused("own", attempt, why, ran, attempt_record.suspect, milliseconds{10}, now_));
            });
    }
    void take_cancel(target& at, std::size_t which, int attempt) {
        record& attempt_record = at.records[attempt];
        if (attempt_record.state == work::running)
            attempt_record.state =
                work::cancelled; // also for an unknown attempt: the record is its tombstone
        const auto ran = attempt_record.ran ? run_state::run : run_state::not_run;
        to_router(which, 0,
                  [this, attempt, ran] { perform_all(call_.cancelled("own", attempt, ran, now_)); });
    }
    /// Sends messages of other requests and attempts, which the call must ignore.
    void send_foreign_messages(std::size_t which, int attempt) {
        to_router(which, 0, [this, attempt] {
            ending result;
            result.status = 200;
            perform_all(call_.chunk("other", attempt, 0, "crossed", now_));
            perform_all(call_.chunk("own", attempt - 1, 0, "stale", now_));
            perform_all(call_.finished("other", attempt, 7, result, now_));
            perform_all(call_.finished("own", attempt + 1, 0, result, now_));
            perform_all(
                call_.refused("other", attempt, refusal::failed, run_state::not_run, false, {}, now_));
            perform_all(call_.cancelled("own", attempt + 1, run_state::not_run, now_));
        });
    }

    void perform_all(const actions& requested) {
        for (const action& next : requested)
            std::visit([this](const auto& request) { perform(request); }, next);
    }
    void perform(const place_action& request) {
        if (!options_.streamed)
            delivered.clear();
        if (chance(options_.slow_places))
            return;
        after(pick(100), [this, avoid = request.avoid] {
            for (int tries = 0; tries < 20; ++tries) {
                const auto which = static_cast<std::size_t>(pick(target_count));
                if (avoid.contains(std::to_string(which)))
                    continue;
                target_ = which;
                targets_[which].linked = false;
                return perform_all(call_.placed(std::to_string(which), now_));
            }
        });
    }
    void perform(const claim_action& request) {
        (void)request;
        if (!chance(options_.lost))
            after(pick(100), [this] { perform_all(call_.claim_granted(now_)); });
    }
    void perform(const connect_action& request) {
        (void)request;
        if (target_)
            open_link(*target_);
    }
    void perform(const run_action& request) {
        attempts.insert(request.attempt);
        to_target([this, request](target& at, std::size_t which) {
            take_run(at, which, request.attempt, request.isolate);
        });
        if (target_)
            send_foreign_messages(*target_, request.attempt);
    }
    void perform(const resume_action& request) {
        to_target([this, request](target& at, std::size_t which) {
            if (at.records.contains(request.attempt))
                return send_state(at, which, request.attempt, static_cast<std::size_t>(request.offset));
            // This process has no record of a run, but a process before its restart may have run it.
            to_router(which, 0, [this, request] {
                perform_all(call_.refused("own", request.attempt, refusal::unknown_request,
                                          run_state::not_run, false, {}, now_));
            });
        });
    }
    void perform(const cancel_action& request) {
        to_target(
            [this, request](target& at, std::size_t which) { take_cancel(at, which, request.attempt); });
    }
    void perform(const acknowledge_action& request) { (void)request; }
    void perform(const deliver_action& request) { delivered += request.bytes; }
    void perform(const finish_action& request) {
        ++finishes;
        end = request.end;
        finished_at = now_;
        if (!options_.streamed)
            delivered = request.end.body;
    }

    world_options options_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours{1}};
    time_point deadline_{now_ + options_.deadline};
    core::retries::token_bucket_budget budget_;
    call call_;
    std::vector<target> targets_;
    std::optional<std::size_t> target_; // of the call's current attempt
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
};

} // namespace waxwinglb::tests
