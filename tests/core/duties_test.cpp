// Duties: calls that only one gateway at a time may make, and the reports of usage.
#include "core/duties/fenced_calls.hpp"
#include "core/duties/true_time.hpp"
#include "core/duties/usage_counts.hpp"
#include "core/duties/usage_decisions.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <deque>
#include <limits>

using namespace waxwinglb::core;
using namespace waxwinglb::core::duties;
using common::milliseconds;
using common::time_point;
using membership::write_result;

namespace {

constexpr milliseconds day_start{1'767'225'600'000}; // true time at the tests' start; begins a window
constexpr time_point start{std::chrono::hours{1}};
constexpr std::int64_t first_window = day_start / milliseconds{5'000};

/// A value in [low, high), at any size of the case: small cases would lose all messages, for example.
template<class number>
number pick(number low, number high) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<number>(low, high));
}

time_point at(int ms) {
    return start + milliseconds{ms};
}

true_time clock_at_start() {
    true_time clock;
    clock.note_own(day_start, start);
    clock.update(start);
    return clock;
}

} // namespace

// ---- fenced calls ----------------------------------------------------------------------------------

TEST(fenced_calls, send_nothing_without_the_lease_and_drop_everything_when_it_ends) {
    fenced_calls calls{{}};
    EXPECT_FALSE(calls.enqueue("a", "/scale", "1"));
    EXPECT_TRUE(calls.allow(7).empty());
    ASSERT_TRUE(calls.enqueue("a", "/scale", "1"));
    const auto call = calls.next(at(0));
    ASSERT_TRUE(call);
    EXPECT_EQ(call->token, 7);
    EXPECT_EQ(calls.allow(std::nullopt), std::vector{call->number}); // to be aborted
    EXPECT_FALSE(calls.next(at(60'000)));
    calls.allow(9);
    EXPECT_FALSE(calls.next(at(120'000))) << "a call of an earlier term was sent with a later token";
    EXPECT_FALSE(calls.note_answer(call->number, call_answer::accepted, at(120'000)));
}

TEST(fenced_calls, repeat_unchanged_until_there_is_an_answer) {
    fenced_calls calls{{10}};
    calls.allow(7);
    calls.enqueue("a", "/scale", "1");
    const auto first = calls.next(at(0));
    EXPECT_FALSE(calls.next(at(5'000))) << "two calls of one subject were in flight";
    EXPECT_FALSE(calls.note_answer(first->number, answer_of(0), at(5'000)));
    EXPECT_FALSE(calls.next(at(5'100)));
    const auto second = calls.next(at(5'500));
    ASSERT_TRUE(second);
    EXPECT_EQ(second->body, first->body);
    EXPECT_EQ(second->token, first->token);
    EXPECT_EQ(second->attempt, 2);
    EXPECT_FALSE(calls.note_answer(second->number, answer_of(429), at(5'600)));
    EXPECT_FALSE(calls.note_answer(calls.next(at(6'500))->number, answer_of(503), at(6'600)));
    EXPECT_TRUE(calls.note_answer(calls.next(at(7'500))->number, answer_of(200), at(7'600)));
    EXPECT_FALSE(calls.pending("a"));
}

TEST(fenced_calls, a_refused_call_is_not_repeated) {
    fenced_calls calls{{10}};
    calls.allow(7);
    calls.enqueue("a", "/scale", "1");
    EXPECT_TRUE(calls.note_answer(calls.next(at(0))->number, answer_of(400), at(10)));
    EXPECT_FALSE(calls.next(at(10'000)));
}

TEST(fenced_calls, a_later_call_replaces_one_in_flight_only_after_it_has_ended) {
    fenced_calls calls{{10}};
    calls.allow(7);
    calls.enqueue("a", "/scale", "1");
    const auto first = calls.next(at(0));
    calls.enqueue("a", "/scale", "2");
    calls.enqueue("a", "/scale", "3");
    EXPECT_FALSE(calls.next(at(1'000)));
    EXPECT_TRUE(calls.note_answer(first->number, call_answer::none, at(1'000)));
    EXPECT_FALSE(calls.next(at(1'100))) << "no delay after a missing answer";
    EXPECT_EQ(calls.next(at(1'500))->body, "3");
}

TEST(fenced_calls, keep_to_the_rate_with_usage_first_and_room_for_others) {
    fenced_calls calls{{2}};
    calls.allow(7);
    calls.enqueue("b", "/scale", "b");
    calls.enqueue("a", "/scale", "a");
    calls.enqueue(usage_subject, "/usage", "u");
    std::vector<std::pair<int, std::string>> sent; // time and body
    for (int ms = 0; ms <= 10'000; ms += 50)
        if (const auto call = calls.next(at(ms))) {
            sent.emplace_back(ms, call->body);
            calls.note_answer(call->number, call_answer::none, at(ms));
        }
    ASSERT_EQ(sent.size(), 21U); // two a second, the first at once
    EXPECT_EQ(sent[0].second, "u");
    EXPECT_EQ(sent[1].second, "b");
    EXPECT_EQ(sent[2].second, "u");
    EXPECT_EQ(sent[3].second, "a") << "a failing subject took the rate of the others";
}

// ---- true time -------------------------------------------------------------------------------------

TEST(true_time, a_clock_that_jumps_by_an_hour_changes_nothing) {
    true_time clock;
    EXPECT_FALSE(clock.note_own(day_start, at(0)));
    clock.note_peer("p", day_start.count() + 5, at(0));
    clock.note_peer("q", day_start.count() - 30, at(0));
    clock.update(at(0));
    const auto jump = clock.note_own(day_start + milliseconds{3'600'000 + 1'000}, at(1'000));
    ASSERT_TRUE(jump);
    EXPECT_EQ(jump->count(), 3'600'000);
    clock.update(at(1'000));
    EXPECT_NEAR(static_cast<double>((clock.at(at(1'000)) - day_start).count()), 1'000, 40);
    EXPECT_EQ(clock.note_own(day_start + milliseconds{2'000}, at(2'000))->count(), -3'600'000);
    clock.update(at(2'000));
    EXPECT_NEAR(static_cast<double>((clock.at(at(2'000)) - day_start).count()), 2'000, 40);
}

TEST(true_time, of_two_clocks_the_one_that_jumps_loses) {
    true_time clock;
    clock.note_own(day_start, at(0));
    clock.note_peer("p", day_start.count(), at(0));
    clock.update(at(0));
    clock.note_own(day_start + milliseconds{3'601'000}, at(1'000));
    clock.update(at(1'000));
    EXPECT_EQ(clock.at(at(1'000)), day_start + milliseconds{1'000});
}

TEST(true_time, messages_that_waited_while_this_process_was_frozen_change_nothing) {
    true_time clock;
    clock.note_own(day_start, at(0));
    for (const char* name : {"p", "q", "r"})
        clock.note_peer(name, day_start.count(), at(0));
    clock.update(at(0));
    for (const char* name : {"p", "q", "r"}) // sent at 300 ms, read after a freeze of 9 s
        clock.note_peer(name, day_start.count() + 300, at(9'300));
    clock.update(at(9'300));
    EXPECT_EQ(clock.at(at(9'300)), day_start + milliseconds{9'300});
}

TEST(true_time, follows_peers_whose_clocks_were_set_back_and_ignores_impossible_times) {
    true_time clock;
    clock.note_own(day_start, at(0));
    for (int ms = 0; ms <= 6'000; ms += 300) {
        for (const char* name : {"p", "q", "r"})
            clock.note_peer(name, day_start.count() + ms - (ms > 0 ? 60'000 : 0), at(ms));
        clock.note_peer("odd", -5, at(ms));
        clock.note_peer("odd", std::numeric_limits<std::int64_t>::max(), at(ms));
        clock.update(at(ms));
    }
    EXPECT_EQ(clock.at(at(6'000)), day_start + milliseconds{6'000 - 60'000});
}

// ---- counts ----------------------------------------------------------------------------------------

TEST(usage_counts, hold_the_kept_windows_and_always_the_current_one) {
    usage_counter counter{usage_windows{}};
    counter.add("a", day_start, day_start);
    counter.add("a", day_start + milliseconds{4'999}, day_start + milliseconds{5'100});
    counter.add("", day_start, day_start);
    counter.add("a", day_start - milliseconds{3'600'000}, day_start);
    counter.add("a", day_start + milliseconds{3'600'000}, day_start);
    EXPECT_EQ(counter.left_out(), 2);
    const window_counts expected{{first_window, {{"a", 2}}}, {first_window + 1, {}}};
    EXPECT_EQ(counter.totals(day_start + milliseconds{5'100}), expected);
    EXPECT_EQ(counter.totals(day_start + milliseconds{25'001}).count(first_window), 0U);
}

TEST(usage_counts, windows_begin_at_whole_multiples) {
    const usage_windows windows;
    EXPECT_EQ(windows.at(milliseconds{0}), 0);
    EXPECT_EQ(windows.at(milliseconds{4'999}), 0);
    EXPECT_EQ(windows.at(milliseconds{5'000}), 1);
    EXPECT_EQ(windows.at(milliseconds{-1}), -1);
    EXPECT_EQ(windows.end_of(0), milliseconds{5'000});
}

TEST(usage_totals, of_a_restarted_gateway_add_to_those_of_its_process_before) {
    usage_totals totals{usage_windows{}};
    const auto now = day_start + milliseconds{1'000};
    totals.note("g", 1, {{first_window, {{"a", 5}, {"b", 1}}}}, now);
    totals.note("g", 1, {{first_window, {{"a", 4}}}}, now); // late: an older message
    totals.note("g", 2, {{first_window, {{"a", 2}}}}, now);
    totals.note("h", 1, {{first_window, {{"a", 10}}}}, now);
    const customer_counts expected{{"a", 17}, {"b", 1}};
    EXPECT_EQ(totals.sum(first_window), expected);
    totals.forget_old(now + milliseconds{30'000});
    EXPECT_TRUE(totals.sum(first_window).empty());
}

TEST(usage_totals, unusable_entries_are_left_out_and_counted) {
    usage_totals totals{usage_windows{}};
    EXPECT_EQ(totals.note("g", 1,
                          {{first_window, {{"a", -5}, {"b", 1}, {"", 3}, {"c", 1'000'000'000'000}}},
                           {first_window + 720, {{"a", 1}}},
                           {-1, {{"a", 1}}}},
                          day_start),
              5);
    EXPECT_EQ(totals.sum(first_window), (customer_counts{{"b", 1}}));
}

// ---- decisions -------------------------------------------------------------------------------------

namespace {

/// One holder with a store that answers as the test says.
struct holder {
    true_time clock = clock_at_start();
    usage_totals totals{usage_windows{}};
    usage_decisions decisions{usage_decisions::options{}};
    std::set<std::string> in_contact{"g"};
    time_point gathered_since{};

    explicit holder(std::int64_t token = 1) {
        decisions.enter_era(0, at(0));
        decisions.hold(token, at(0));
    }
    void tell(const std::string& gateway, int ms, std::int64_t count) {
        const auto true_now = clock.at(at(ms));
        totals.note(gateway, 1, {{first_window, {{"a", count}}}, {usage_windows{}.at(true_now), {}}},
                    true_now);
    }
    auto write_due(int ms) {
        return decisions.write_due({totals, in_contact, gathered_since}, clock, at(ms));
    }
    void read_absent(int ms) { decisions.observe({0, 0}, std::nullopt, clock, at(ms)); }
};

} // namespace

TEST(usage_decisions, wait_for_all_gateways_in_contact_but_not_longer_than_the_limit) {
    holder one;
    one.in_contact = {"g", "h"};
    one.read_absent(0);
    one.tell("g", 6'100, 5);
    EXPECT_FALSE(one.write_due(8'900)) << "h has told nothing after the window's end";
    one.tell("h", 4'900, 2);
    EXPECT_FALSE(one.write_due(8'900)) << "what h told was made before the window's end";
    const auto write = one.write_due(9'000);
    ASSERT_TRUE(write);
    EXPECT_EQ(write->windows, (window_counts{{first_window, {{"a", 7}}}}));
    EXPECT_EQ(write->missing, (std::set<std::string>{"h"}));
    EXPECT_FALSE(one.decisions.report_due()) << "reported before the store has acknowledged the decision";
    one.decisions.written(write->sequence, write_result::stored, {0, 11});
    EXPECT_EQ(one.decisions.report_due()->counts, (customer_counts{{"a", 7}}));
    one.decisions.answered(first_window);
    EXPECT_FALSE(one.decisions.report_due());
}

TEST(usage_decisions, a_holder_that_has_just_started_does_not_take_silence_for_the_counts) {
    holder one;
    one.in_contact.clear();
    one.gathered_since = at(6'000);
    one.read_absent(0);
    EXPECT_FALSE(one.write_due(9'900));
    one.tell("h", 9'950, 5);
    EXPECT_EQ(one.write_due(10'000)->windows.at(first_window), (customer_counts{{"a", 5}}));
}

TEST(usage_decisions, on_a_conflict_take_the_counts_that_another_holder_wrote) {
    holder one;
    one.read_absent(0);
    one.tell("g", 6'100, 5);
    const auto write = one.write_due(6'200);
    ASSERT_TRUE(write);
    one.decisions.written(write->sequence, write_result::conflict, {});
    EXPECT_TRUE(one.decisions.read_due());
    EXPECT_FALSE(one.write_due(6'300));
    one.decisions.observe({0, 12}, window_counts{{first_window, {{"a", 4}}}}, one.clock, at(6'400));
    EXPECT_EQ(one.decisions.report_due()->counts, (customer_counts{{"a", 4}}));
    EXPECT_FALSE(one.write_due(6'500)) << "the window was decided again";
}

TEST(usage_decisions, a_write_without_an_answer_is_looked_up) {
    holder one;
    one.read_absent(0);
    one.tell("g", 6'100, 5);
    const auto write = one.write_due(6'200);
    one.decisions.written(write->sequence, write_result::unknown, {});
    EXPECT_FALSE(one.decisions.report_due());
    ASSERT_TRUE(one.decisions.read_due());
    one.tell("g", 6'300, 6);
    one.decisions.observe({0, 12}, write->windows, one.clock, at(6'400)); // it had taken effect
    EXPECT_EQ(one.decisions.report_due()->counts, (customer_counts{{"a", 5}}));
}

TEST(usage_decisions, a_successor_sends_unchanged_what_is_not_late_and_decides_the_rest) {
    holder next{2};
    const window_counts stored{{first_window - 3, {{"a", 1}}}, {first_window, {{"a", 4}}}};
    next.totals.note("g", 1,
                     {{first_window, {{"a", 9}}}, {first_window + 1, {{"a", 3}}}, {first_window + 2, {}}},
                     next.clock.at(at(11'200)));
    next.decisions.observe({0, 12}, stored, next.clock, at(11'200));
    const auto due = next.decisions.report_due();
    ASSERT_TRUE(due);
    EXPECT_EQ(due->window, first_window);
    EXPECT_EQ(due->counts, (customer_counts{{"a", 4}}));
    const auto write = next.write_due(11'300);
    ASSERT_TRUE(write);
    EXPECT_EQ(write->decided, std::vector{first_window + 1});
    EXPECT_EQ(write->if_version, (common::store_position{0, 12}));
    EXPECT_EQ(write->windows.at(first_window), (customer_counts{{"a", 4}}));
}

TEST(usage_decisions, nothing_is_sent_or_decided_without_the_token_or_before_the_first_read) {
    holder one;
    one.tell("g", 6'100, 5);
    EXPECT_TRUE(one.decisions.read_due());
    EXPECT_FALSE(one.write_due(9'500));
    one.decisions.hold(std::nullopt, at(0));
    one.read_absent(0);
    EXPECT_FALSE(one.write_due(9'500));
    EXPECT_FALSE(one.decisions.read_due());
    EXPECT_FALSE(one.decisions.report_due());
}

TEST(usage_decisions, after_a_restore_windows_of_before_are_reported_only_by_who_knows_them) {
    holder knows;
    knows.read_absent(0);
    knows.tell("g", 6'100, 5);
    const auto write = knows.write_due(6'200);
    knows.decisions.written(write->sequence, write_result::stored, {0, 11});
    holder other{2};
    other.tell("g", 6'100, 5);
    for (holder* each : {&knows, &other}) {
        each->decisions.enter_era(1, at(6'300));
        each->decisions.hold(9, at(6'300));
        each->decisions.observe({1, 0}, std::nullopt, each->clock, at(6'300));
        EXPECT_FALSE(each->write_due(9'900));
    }
    EXPECT_EQ(knows.decisions.report_due()->counts, (customer_counts{{"a", 5}}));
    EXPECT_FALSE(other.decisions.report_due());
    EXPECT_EQ(other.write_due(14'000)->decided, std::vector{first_window + 1});
    EXPECT_STREQ(other.decisions.take_given_up(other.clock, at(14'000)).back().why, "may_be_decided");
}

TEST(usage_decisions, a_malformed_object_leads_to_no_second_decision) {
    holder one;
    one.tell("g", 6'100, 5);
    one.decisions.observe_malformed({0, 12}, at(6'200));
    EXPECT_FALSE(one.write_due(9'500));
    const auto write = one.write_due(14'000);
    ASSERT_TRUE(write);
    EXPECT_EQ(write->decided, std::vector{first_window + 1});
    EXPECT_EQ(write->if_version, (common::store_position{0, 12}));
}

TEST(usage_decisions, an_outage_of_the_store_ends_in_given_up_windows) {
    holder one;
    one.read_absent(0);
    std::vector<std::string> why;
    for (int ms = 0; ms < 26'000; ms += 100) {
        if (const auto write = one.write_due(ms))
            one.decisions.written(write->sequence, write_result::unknown, {});
        for (const auto& window : one.decisions.take_given_up(one.clock, at(ms)))
            if (window.window >= first_window)
                why.emplace_back(window.why);
    }
    EXPECT_EQ(why, std::vector<std::string>{"not_decided_in_time"});
}

// ---- all together ----------------------------------------------------------------------------------

namespace {

/// Gateways, a store that loses answers, is late and is restored, and a platform that records the calls.
class duty_world {
public:
    static constexpr std::size_t gateways = 3;
    struct platform_call {
        std::size_t from;
        std::int64_t token;
        std::string body;
    };

    explicit duty_world(bool one_holder) : one_holder_(one_holder) {
        for (std::size_t each = 0; each < gateways; ++each)
            restart(each);
    }
    void pass(int ms) { now_ms_ += ms; }
    /// The lease goes to `to`. With one holder, the wait before a successor acts is over: nothing of the
    /// former holder is under way any more.
    void change_holder(std::size_t to) {
        if (one_holder_)
            for (std::size_t each = 0; each < gateways; ++each)
                drop_token(each);
        nodes_[to].token = ++last_token_;
    }
    void drop_token(std::size_t which) {
        nodes_[which].token.reset();
        std::erase_if(network_, [&](const platform_call& call) { return call.from == which; });
    }
    void restart(std::size_t which) {
        drop_token(which);
        node& each = nodes_[which];
        each = {};
        each.boot = ++last_boot_;
        each.known_era = era_;
        each.decisions.enter_era(era_, at(now_ms_));
    }
    void restore() { ++era_; }
    void serve(std::size_t which, const std::string& customer) {
        const auto true_now = clock_.at(at(now_ms_));
        nodes_[which].counter.add(customer, true_now, true_now);
        ++truth_[usage_windows{}.at(true_now)][customer];
    }
    void tell(std::size_t from, std::size_t to) {
        const auto true_now = clock_.at(at(now_ms_));
        nodes_[to].totals.note(std::to_string(from), nodes_[from].boot, nodes_[from].counter.totals(true_now),
                               true_now);
    }
    /// One round of a gateway. `store`: 0 the answer comes, 1 it is lost, 2 the call is lost, 3 it is late.
    void step(std::size_t which, int store) {
        node& each = nodes_[which];
        for (const std::int64_t number : each.calls.allow(each.token))
            std::erase_if(network_, [&](const platform_call& call) {
                return call.from == which && each.in_flight.count(number) > 0;
            });
        each.decisions.hold(each.token, at(now_ms_));
        tell(which, which);
        if (each.decisions.read_due())
            read(which, store);
        else if (auto write = each.decisions.write_due({each.totals, names(), {}}, clock_, at(now_ms_)))
            execute(which, std::move(*write), store);
        if (const auto due = each.decisions.report_due(); due && !each.calls.pending(usage_subject)) {
            each.calls.enqueue(usage_subject, "/usage", text_of(due->window, due->counts));
            each.reporting = due->window;
        }
        if (const auto call = each.calls.next(at(now_ms_))) {
            each.in_flight[call->number] = each.reporting;
            network_.push_back({which, call->token, call->body});
        }
        (void)each.decisions.take_given_up(clock_, at(now_ms_));
    }
    /// The platform gets what is under way; the answers arrive or are lost.
    void deliver(bool answered, bool repeated) {
        for (; !network_.empty(); network_.pop_front()) {
            const platform_call call = network_.front();
            received.push_back(call);
            if (repeated)
                received.push_back(call);
            node& from = nodes_[call.from];
            const auto open = std::exchange(from.in_flight, {});
            for (const auto& [number, window] : open)
                if (from.calls.note_answer(number, answer_of(answered ? 200 : 0), at(now_ms_)))
                    from.decisions.answered(window);
        }
    }
    // Writes that were late take effect now.
    void apply_late() {
        for (; !late_.empty(); late_.pop_front())
            (void)apply(late_.front().first, late_.front().second);
    }

    std::vector<platform_call> received;
    [[nodiscard]] const window_counts& truth() const { return truth_; }
    [[nodiscard]] static std::string text_of(std::int64_t window, const customer_counts& counts) {
        std::string out = std::to_string(window) + ":";
        for (const auto& [customer, count] : counts)
            out += customer + "=" + std::to_string(count) + ",";
        return out;
    }

private:
    struct node {
        std::int64_t boot = 0;
        std::int64_t known_era = 0;
        std::optional<std::int64_t> token;
        usage_counter counter{usage_windows{}};
        usage_totals totals{usage_windows{}};
        usage_decisions decisions{usage_decisions::options{}};
        fenced_calls calls{{4}};
        std::map<std::int64_t, std::int64_t> in_flight; // windows by attempt
        std::int64_t reporting = 0;
    };
    struct object {
        std::int64_t revision = 0;
        window_counts windows;
    };
    static std::set<std::string> names() { return {"0", "1", "2"}; }

    /// False: the reply states a newer era than the call was for, and its content is dropped.
    bool learn_era(std::size_t which) {
        if (nodes_[which].known_era == era_)
            return true;
        nodes_[which].known_era = era_;
        nodes_[which].decisions.enter_era(era_, at(now_ms_));
        return false;
    }
    void read(std::size_t which, int store) {
        if (store == 1 || store == 2 || !learn_era(which))
            return;
        const auto found = objects_.find(era_);
        if (found == objects_.end())
            nodes_[which].decisions.observe({era_, 0}, std::nullopt, clock_, at(now_ms_));
        else
            nodes_[which].decisions.observe({era_, found->second.revision}, found->second.windows, clock_,
                                            at(now_ms_));
    }
    std::optional<std::int64_t> apply(std::int64_t era, const usage_write& write) {
        object& stored = objects_[era];
        if (stored.revision != write.if_version.revision) {
            if (stored.revision == 0)
                objects_.erase(era);
            return std::nullopt;
        }
        stored = {++revision_, write.windows};
        return stored.revision;
    }
    void execute(std::size_t which, usage_write write, int store) {
        node& each = nodes_[which];
        const std::int64_t era = write.if_version.era;
        const std::int64_t sequence = write.sequence;
        if (store == 3) {
            late_.emplace_back(era, std::move(write));
            return each.decisions.written(sequence, write_result::unknown, {});
        }
        if (store == 2)
            return each.decisions.written(sequence, write_result::not_sent, {});
        const auto revision = apply(era, write);
        if (store == 1)
            return each.decisions.written(sequence, write_result::unknown, {});
        if (!learn_era(which))
            return;
        each.decisions.written(sequence, revision ? write_result::stored : write_result::conflict,
                               {era, revision.value_or(0)});
    }

    bool one_holder_;
    int now_ms_ = 0;
    std::int64_t era_ = 1, revision_ = 10, last_token_ = 0, last_boot_ = 0;
    true_time clock_ = clock_at_start();
    std::array<node, gateways> nodes_;
    std::map<std::int64_t, object> objects_; // by era: each has a name of its own
    std::deque<std::pair<std::int64_t, usage_write>> late_;
    std::deque<platform_call> network_;
    window_counts truth_;
};

void run_randomly(duty_world& world) {
    const int rounds = pick(20, 160);
    for (int round = 0; round < rounds; ++round) {
        const auto which = pick<std::size_t>(0, duty_world::gateways);
        const auto other = pick<std::size_t>(0, duty_world::gateways);
        switch (pick(0, 14)) {
        case 0:
            world.change_holder(which);
            break;
        case 1:
            world.drop_token(which);
            break;
        case 2:
            world.restart(which);
            break;
        case 3:
            if (pick(0, 3) == 0)
                world.restore();
            break;
        case 4:
            world.apply_late();
            break;
        case 5:
        case 6:
            world.serve(which, other == 0 ? "a" : "b");
            world.tell(which, other);
            break;
        case 7:
        case 8:
            world.deliver(pick(0, 2) == 0, pick(0, 2) == 0);
            break;
        case 9:
        case 10:
            world.pass(pick(100, 4'000));
            break;
        default:
            world.step(which, pick(0, 4));
        }
    }
}

void check_one_report_for_each_window(const duty_world& world) {
    std::map<std::string, std::string> reports; // by window
    for (const auto& call : world.received) {
        const std::string window = call.body.substr(0, call.body.find(':'));
        RC_ASSERT(reports.try_emplace(window, call.body).first->second == call.body);
    }
}

} // namespace

RC_GTEST_PROP(duties, one_holder_sends_tokens_in_order_and_one_report_for_each_window, ()) {
    duty_world world{true};
    run_randomly(world);
    check_one_report_for_each_window(world);
    std::int64_t highest = 0;
    std::map<std::int64_t, std::size_t> holders; // by token
    for (const auto& call : world.received) {
        RC_ASSERT(call.token >= highest);
        highest = call.token;
        RC_ASSERT(holders.try_emplace(call.token, call.from).first->second == call.from);
    }
}

RC_GTEST_PROP(duties, gateways_that_all_believe_to_be_holders_report_the_same, ()) {
    duty_world world{false};
    run_randomly(world);
    check_one_report_for_each_window(world);
    std::map<std::int64_t, std::size_t> holders; // by token
    for (const auto& call : world.received)
        RC_ASSERT(holders.try_emplace(call.token, call.from).first->second == call.from);
}

RC_GTEST_PROP(duties, totals_are_right_while_all_gateways_live, ()) {
    duty_world world{true};
    world.change_holder(0);
    for (int ms = 0; ms < 40'000; ms += 100) {
        for (int request = pick(0, 3); request > 0; --request)
            world.serve(pick<std::size_t>(0, duty_world::gateways), request == 1 ? "a" : "b");
        for (std::size_t from = 0; from < duty_world::gateways; ++from)
            for (std::size_t to = 0; to < duty_world::gateways; ++to)
                if (pick(0, 2) == 0) // half of the messages are lost
                    world.tell(from, to);
        const auto holder = static_cast<std::size_t>(ms / 13'000) % duty_world::gateways;
        if (ms > 0 && ms % 13'000 == 0)
            world.change_holder(holder);
        world.step(holder, pick(0, 4) == 0 ? 1 : 0);
        world.deliver(pick(0, 2) == 0, false);
        world.pass(100);
    }
    std::set<std::string> reported;
    for (const auto& call : world.received)
        reported.insert(call.body);
    for (std::int64_t window = first_window; window < first_window + 6; ++window) {
        const auto counts = world.truth().find(window);
        const auto expected =
            duty_world::text_of(window, counts == world.truth().end() ? customer_counts{} : counts->second);
        RC_ASSERT(reported.contains(expected));
    }
}
