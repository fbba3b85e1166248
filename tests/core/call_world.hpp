// A world round one call: targets that restart, links that break, messages that are lost, doubled, delayed
// and reordered. It keeps the truth (what ran, which bytes each attempt's answer has) beside what the call is
// told.
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
    int lost = 0;        // percent of messages
    int doubled = 0;     // percent of messages
    int max_delay = 5;   // ms of each message
    int breaks = 0;      // links broken during the call
    int restarts = 0;    // agents restarted during the call
    int refusals = 0;    // percent of runs that are refused before they start
    int failures = 0;    // percent of runs that fail half-way
    int slow_places = 0; // percent of placements that never come
    bool withdrawn = false;
    milliseconds deadline{8'000};
};

class world {
public:
    explicit world(const world_options& options)
        : options_(options), random_(options.seed), one_(make(options)), targets_(target_count) {
        for (std::size_t i = 0; i < targets_.size(); ++i)
            targets_[i].boot = static_cast<std::int64_t>(100 + i);
    }

    void run() {
        after(pick(50), [this] { act(one_.granted(now_)); });
        plan_faults();
        const time_point end =
            deadline_ + std::chrono::seconds{30}; // late messages arrive after the end, too
        while (now_ < end) {
            const time_point wake = finishes == 0 ? one_.next_wake() : time_point::max();
            if (!events_.empty() && events_.top().at <= wake) {
                if (events_.top().at >= end)
                    break;
                const event next = events_.top();
                events_.pop();
                now_ = std::max(now_, next.at);
                next.step();
            } else if (wake < end) {
                now_ = std::max(now_, wake);
                act(one_.tick(now_));
            } else {
                break;
            }
        }
    }

    // The truth, to be compared with what the caller was told.
    int finishes = 0;
    ending end;
    time_point finished_at;
    std::string delivered;   // bytes that the caller has
    std::map<int, int> runs; // attempt -> how often its work ran at any target
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
        int epoch = 1;  // rises with each link
        bool up = true; // a link can be had
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
            after(pick(span), [this] { act(one_.abandon(end_reason::key_withdrawn, now_)); });
    }

    void break_link(std::size_t which) {
        target& one = targets_[which];
        ++one.epoch;
        const bool known = std::exchange(one.linked, false);
        one.up = false;
        after(pick(5'000), [this, which] {
            targets_[which].up = true;
            open_link(which);
        });
        if (known && target_ == which)
            after(pick(50), [this, which] {
                if (target_ == which)
                    act(one_.link_lost(now_));
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
                act(one_.link_ready(boot, now_));
        });
    }

    /// To a target: arrives at whatever process then runs there, even after the link broke; a copy arrives
    /// at the same process or not at all.
    void to_target(const std::function<void(target&, std::size_t)>& step) {
        if (chance(options_.lost) || !target_)
            return;
        const std::size_t which = *target_;
        const int delay = 1 + pick(options_.max_delay);
        const bool copy = chance(options_.doubled);
        after(delay, [this, which, copy, step] {
            if (!targets_[which].up)
                return;
            const std::int64_t boot = targets_[which].boot;
            step(targets_[which], which);
            if (copy)
                after(1 + pick(options_.max_delay), [this, which, boot, step] {
                    if (targets_[which].boot == boot)
                        step(targets_[which], which);
                });
        });
    }
    /// To the router: only over the link that it was sent on.
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
            return tell(at, which, attempt, 0);
        record& made = at.records[attempt];
        if (!isolate && chance(options_.refusals)) {
            made.state = work::refused;
            return tell(at, which, attempt, 0);
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
        to_router(which, 0, [this, attempt] { act(one_.accepted("own", attempt, now_)); });
    }
    void progress(target& at, std::size_t which, int attempt, int piece, bool fails) {
        record& one = at.records[attempt];
        if (one.state != work::running)
            return;
        const std::string whole = answer_of(attempt);
        const std::size_t from = one.body.size();
        const std::size_t size =
            piece + 1 == answer_pieces ? whole.size() : whole.size() * (piece + 1) / answer_pieces;
        one.body = whole.substr(0, std::max(from, size));
        if (fails && piece == answer_pieces / 2) {
            one.state = work::failed;
            one.suspect = chance(50);
        } else if (piece + 1 == answer_pieces) {
            one.state = work::finished;
        }
        tell(at, which, attempt, from);
    }
    /// Sends what this process knows of an attempt, from an offset on.
    void tell(target& at, std::size_t which, int attempt, std::size_t offset) {
        const record one = at.records[attempt];
        if (offset < one.body.size())
            to_router(which, 0, [this, attempt, offset, one] {
                act(one_.chunk("own", attempt, static_cast<std::int64_t>(offset), one.body.substr(offset),
                               now_));
            });
        if (one.state == work::finished)
            to_router(which, 1, [this, attempt, one] {
                ending told;
                told.status = 200;
                act(one_.finished("own", attempt, static_cast<std::int64_t>(one.body.size()), told, now_));
            });
        if (one.state == work::refused || one.state == work::failed || one.state == work::cancelled)
            to_router(which, 1, [this, attempt, one] {
                const auto why = one.state == work::refused ? refusal::overloaded : refusal::failed;
                const auto ran = one.ran ? run_state::run : run_state::not_run;
                act(one_.refused("own", attempt, why, ran, one.suspect, milliseconds{10}, now_));
            });
    }
    void take_cancel(target& at, std::size_t which, int attempt) {
        record& one = at.records[attempt];
        if (one.state == work::running)
            one.state = work::cancelled; // also if never seen: the tombstone
        const auto ran = one.ran ? run_state::run : run_state::not_run;
        to_router(which, 0, [this, attempt, ran] { act(one_.cancelled("own", attempt, ran, now_)); });
    }
    /// Answers of other requests and attempts, which must change nothing.
    void cross(std::size_t which, int attempt) {
        to_router(which, 0, [this, attempt] {
            ending told;
            told.status = 200;
            act(one_.chunk("other", attempt, 0, "crossed", now_));
            act(one_.chunk("own", attempt - 1, 0, "stale", now_));
            act(one_.finished("other", attempt, 7, told, now_));
            act(one_.finished("own", attempt + 1, 0, told, now_));
            act(one_.refused("other", attempt, refusal::failed, run_state::not_run, false, {}, now_));
            act(one_.cancelled("own", attempt + 1, run_state::not_run, now_));
        });
    }

    void act(const actions& todo) {
        for (const action& one : todo)
            std::visit([this](const auto& what) { carry_out(what); }, one);
    }
    void carry_out(const place_action& what) {
        if (!options_.streamed)
            delivered.clear();
        if (chance(options_.slow_places))
            return;
        after(pick(100), [this, avoid = what.avoid] {
            for (int tries = 0; tries < 20; ++tries) {
                const auto which = static_cast<std::size_t>(pick(target_count));
                if (avoid.contains(std::to_string(which)))
                    continue;
                target_ = which;
                targets_[which].linked = false;
                return act(one_.placed(std::to_string(which), now_));
            }
        });
    }
    void carry_out(const claim_action& what) {
        (void)what;
        if (!chance(options_.lost))
            after(pick(100), [this] { act(one_.claim_granted(now_)); });
    }
    void carry_out(const connect_action& what) {
        (void)what;
        if (target_)
            open_link(*target_);
    }
    void carry_out(const run_action& what) {
        attempts.insert(what.attempt);
        to_target(
            [this, what](target& at, std::size_t which) { take_run(at, which, what.attempt, what.isolate); });
        if (target_)
            cross(*target_, what.attempt);
    }
    void carry_out(const resume_action& what) {
        to_target([this, what](target& at, std::size_t which) {
            if (at.records.contains(what.attempt))
                return tell(at, which, what.attempt, static_cast<std::size_t>(what.offset));
            // As far as this process knows, it never ran: true only if no earlier process got it.
            to_router(which, 0, [this, what] {
                act(one_.refused("own", what.attempt, refusal::unknown_request, run_state::not_run, false, {},
                                 now_));
            });
        });
    }
    void carry_out(const cancel_action& what) {
        to_target([this, what](target& at, std::size_t which) { take_cancel(at, which, what.attempt); });
    }
    void carry_out(const acknowledge_action& what) { (void)what; }
    void carry_out(const deliver_action& what) { delivered += what.bytes; }
    void carry_out(const finish_action& what) {
        ++finishes;
        end = what.end;
        finished_at = now_;
        if (!options_.streamed)
            delivered = what.end.body;
    }

    world_options options_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours{1}};
    time_point deadline_{now_ + options_.deadline};
    core::retries::token_bucket_budget budget_;
    call one_;
    std::vector<target> targets_;
    std::optional<std::size_t> target_; // of the call's present attempt
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
};

} // namespace waxwinglb::tests
