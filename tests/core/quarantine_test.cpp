// Properties of quarantine: the crashes caused by one request are bounded, and other requests are not
// condemned.
#include "core/quarantine/quarantine.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using quarantine::verdict;

RC_GTEST_PROP(quarantine, crashes_of_a_fingerprint_are_bounded_and_harmless_requests_are_served, ()) {
    const std::vector<std::string> all{"i1", "i2", "i3", "p1", "p2"};
    const auto is_poison = [](const std::string& one) { return one[0] == 'p'; };
    quarantine::record record{{600'000ms, 600'000ms, 100}};
    common::time_point now{1h}; // less than one term passes in the test
    std::map<std::string, int> crashes;
    std::map<std::string, int> served;
    for (int i = *rc::gen::inRange(1, 80); i > 0; --i) {
        now += common::milliseconds{*rc::gen::inRange(0, 5'000)};
        std::vector<std::string> batch;
        for (const auto& one : all)
            if (*rc::gen::arbitrary<bool>() && record.judge(one, now) == verdict::free)
                batch.push_back(one);
        const std::string single = *rc::gen::elementOf(all);
        const bool alone = record.judge(single, now) == verdict::alone;
        if (alone)
            batch = {single};
        std::vector<std::string> poison;
        std::copy_if(batch.begin(), batch.end(), std::back_inserter(poison), is_poison);
        if (!poison.empty()) {
            record.crashed(batch, alone, now);
            ++crashes[poison.front()]; // the first of them to run crashes the target
            continue;
        }
        for (const auto& one : batch) {
            ++served[one];
            if (alone)
                record.succeeded_alone(one);
        }
    }
    for (const auto& one : all) {
        RC_ASSERT(is_poison(one) || record.judge(one, now) != verdict::condemned);
        RC_ASSERT(!is_poison(one) || served[one] == 0);
        RC_ASSERT(crashes[one] <= 2); // once beside others, once alone
    }
}

RC_GTEST_PROP(quarantine, merging_never_weakens_a_known_verdict, ()) {
    quarantine::record record{{10'000ms, 10'000ms, 100}};
    common::time_point now{1h};
    const std::vector<std::string> names{"a", "b"};
    for (int i = *rc::gen::inRange(1, 60); i > 0; --i) {
        const std::string name = *rc::gen::elementOf(names);
        const auto before = record.judge(name, now);
        const auto term = record.remaining(name, now);
        const bool condemned = *rc::gen::arbitrary<bool>();
        record.merge({name, 1, condemned, now + common::milliseconds{*rc::gen::inRange(0, 20'000)}}, now);
        RC_ASSERT(record.judge(name, now) >= before);
        if (record.judge(name, now) == before)
            RC_ASSERT(record.remaining(name, now) >= term);
        now += common::milliseconds{*rc::gen::inRange(0, 3'000)};
        record.expire(now);
    }
}

TEST(quarantine, ends_after_its_term_and_stays_bounded) {
    quarantine::record record{{10'000ms, 10'000ms, 3}};
    const common::time_point now{1h};
    record.crashed({"x"}, true, now);
    record.crashed({"a", "b", "c", "d"}, false, now + 1s);
    EXPECT_EQ(record.entries().size(), 3U);
    EXPECT_EQ(record.judge("x", now + 2s), verdict::condemned) << "suspects are dropped first";
    EXPECT_EQ(record.remaining("x", now + 2s), 8s);
    EXPECT_EQ(record.judge("x", now + 10s), verdict::free);
}
