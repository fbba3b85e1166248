// Kept answers: each attempt starts once, "not run" is reported only if it is true, memory is bounded.
#include "core/answers/store.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using answers::attempt_key;
using answers::begin_result;
using answers::run_status;

namespace {

answers::store_options small(std::size_t evicted) {
    answers::store_options out;
    out.max_records = 8;
    out.max_body_bytes = 200;
    out.max_answer_bytes = 100;
    out.max_evicted = evicted;
    out.max_tombstones = 4;
    out.min_retention = 5'000ms;
    out.retention = 600'000ms;
    return out;
}

/// Makes random calls on a store and tracks the true state of each attempt.
struct attempt_simulation {
    answers::store store;
    common::time_point now{1h};
    std::set<attempt_key> started;  // begin() returned `started`
    std::set<attempt_key> running;  // sent to the target
    std::set<attempt_key> promised; // reported as not run
    std::map<attempt_key, std::string> bodies;

    explicit attempt_simulation(std::size_t evicted) : store(small(evicted), common::time_point{1h}) {}

    void begin(const attempt_key& key) {
        if (store.begin(key, now + 10s, now) != begin_result::started)
            return;
        RC_ASSERT(!promised.contains(key)); // even if its record was evicted
        if (!started.insert(key).second)
            RC_FAIL("an attempt was started twice");
    }
    void run(const attempt_key& key) {
        const auto* record = store.find(key);
        if (record == nullptr || record->at != answers::phase::waiting)
            return;
        store.run(key);
        running.insert(key);
    }
    void append(const attempt_key& key) {
        const std::string piece(*rc::gen::inRange<std::size_t>(1, 60), 'x');
        if (store.append(key, piece))
            bodies[key] += piece;
    }
    void cancel(const attempt_key& key) {
        const auto status = store.cancel(key, *rc::gen::arbitrary<bool>(), now);
        if (status != run_status::not_run)
            return;
        RC_ASSERT(!running.contains(key));
        promised.insert(key);
    }
    void refuse(const attempt_key& key) {
        const bool ran = running.contains(key);
        store.refuse(key, {1, ran ? run_status::unknown : run_status::not_run, 0ms, "", false}, now);
    }
    void check(const attempt_key& key) {
        const auto* record = store.find(key);
        if (record != nullptr && !record->body_dropped)
            RC_ASSERT(record->body == bodies[key]);
        RC_ASSERT(store.records() <= 8U);
    }
    void step() {
        const attempt_key key{std::to_string(*rc::gen::inRange(0, 12)), *rc::gen::inRange(1, 3)};
        switch (*rc::gen::weightedElement<int>(
            {{6, 0}, {5, 1}, {5, 2}, {4, 3}, {2, 4}, {3, 5}, {2, 6}, {2, 7}})) {
        case 0:
            begin(key);
            break;
        case 1:
            run(key);
            break;
        case 2:
            append(key);
            break;
        case 3:
            store.finish(key, now);
            break;
        case 4:
            refuse(key);
            break;
        case 5:
            cancel(key);
            break;
        case 6:
            store.acknowledge(key);
            break;
        default:
            now += common::milliseconds{*rc::gen::inRange(0, 3'000)};
            store.expire(now);
        }
        check(key);
    }
};

} // namespace

RC_GTEST_PROP(answers, attempt_starts_once_and_not_run_is_reported_only_if_true, ()) {
    attempt_simulation simulation{1'000};
    for (int i = *rc::gen::inRange(1, 150); i > 0; --i)
        simulation.step();
}

TEST(answers, attempt_whose_eviction_record_was_dropped_is_never_reported_as_not_run) {
    auto options = small(2);
    options.max_records = 1;
    const common::time_point now{1h};
    answers::store store{options, now};
    for (int i = 0; i < 5; ++i) { // evicts 0 to 3; digests of 0 and 1 are evicted as well
        const attempt_key key{std::to_string(i), 1};
        ASSERT_EQ(store.begin(key, now + 1s, now), begin_result::started);
        store.run(key);
        store.finish(key, now);
    }
    EXPECT_EQ(store.cancel({"0", 1}, true, now), run_status::unknown);
    EXPECT_EQ(store.cancel({"3", 1}, true, now), run_status::unknown);
    EXPECT_EQ(store.begin({"3", 1}, now + 1s, now), begin_result::evicted);
}

TEST(answers, restarted_agent_reports_not_run_only_for_attempts_sent_to_it) {
    const common::time_point start{1h};
    answers::store store{answers::store_options{}, start};
    EXPECT_EQ(store.cancel({"old", 1}, false, start + 1s), run_status::unknown);
    EXPECT_EQ(store.cancel({"new", 1}, true, start + 1s), run_status::not_run);
    EXPECT_EQ(store.begin({"new", 1}, start + 9s, start + 2s), begin_result::cancelled);
    EXPECT_EQ(store.cancel({"later", 1}, false, start + 601s), run_status::not_run);
}

TEST(answers, oldest_bodies_are_dropped_first_but_never_that_of_a_running_attempt) {
    const common::time_point now{1h};
    answers::store store{small(100), now};
    for (const char* id : {"a", "b", "c"}) {
        store.begin({id, 1}, now + 9s, now);
        store.run({id, 1});
        EXPECT_TRUE(store.append({id, 1}, std::string(90, 'x')));
        if (*id != 'a')
            store.finish({id, 1}, now);
    }
    EXPECT_FALSE(store.append({"a", 1}, std::string(20, 'x'))) << "above max_answer_bytes";
    EXPECT_FALSE(store.find({"a", 1})->body_dropped);
    EXPECT_TRUE(store.find({"b", 1})->body_dropped);
    EXPECT_FALSE(store.find({"c", 1})->body_dropped);
    EXPECT_EQ(store.body_bytes(), 180U);
    store.acknowledge({"c", 1});
    EXPECT_EQ(store.body_bytes(), 90U);
}
