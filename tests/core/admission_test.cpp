// Properties of the ramp: a restarted or cold target starts low, and its limit grows no faster than
// configured.
#include "core/admission/ramp.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;

namespace {

constexpr admission::ramp_options options{16, 2, 1'000ms, 8.0, 250ms};

admission::ramp warm(common::time_point& now) {
    admission::ramp out{options};
    out.observe_boot(1, now);
    for (int i = 0; i < 100; ++i, now += 1s)
        out.succeeded(20ms, now);
    return out;
}

} // namespace

RC_GTEST_PROP(ramp, grows_by_one_step_at_a_time_and_falls_to_its_start, ()) {
    admission::ramp ramp{options};
    common::time_point now{1h};
    std::int64_t boot = 1;
    ramp.observe_boot(boot, now);
    common::time_point base = now; // start of the current growth
    for (int i = *rc::gen::inRange(1, 200); i > 0; --i) {
        const int before = ramp.limit();
        const int kind = *rc::gen::weightedElement<int>({{12, 0}, {3, 1}, {1, 2}, {1, 3}});
        now += common::milliseconds{*rc::gen::inRange(0, 900)};
        if (kind == 0)
            ramp.succeeded(common::milliseconds{*rc::gen::inRange(1, 600)}, now);
        if (kind == 1)
            ramp.failed(now);
        if (kind == 2)
            ramp.observe_boot(++boot, now);
        if (kind == 3)
            ramp.observe_cold(*rc::gen::arbitrary<bool>(), now);
        if (ramp.limit() < before || kind == 2)
            base = now;
        RC_ASSERT(ramp.limit() >= options.start);
        RC_ASSERT(ramp.limit() <= options.full);
        RC_ASSERT(ramp.limit() <= before + 1);
        RC_ASSERT(ramp.limit() <= options.start + (now - base) / options.step_every);
        RC_ASSERT(kind != 2 || ramp.limit() == options.start);
    }
}

TEST(ramp, reaches_its_full_limit_and_each_sign_of_a_cold_target_resets_it) {
    common::time_point now{1h};
    ASSERT_EQ(warm(now).limit(), options.full);
    auto restarted = warm(now);
    restarted.observe_boot(2, now);
    EXPECT_EQ(restarted.limit(), options.start);
    auto reports_cold = warm(now);
    reports_cold.observe_cold(true, now);
    now += 10s;
    reports_cold.succeeded(20ms, now);
    EXPECT_EQ(reports_cold.limit(), options.start) << "no growth while the target reports that it is cold";
    auto slow = warm(now);
    slow.succeeded(240ms, now);
    EXPECT_EQ(slow.limit(), options.full) << "below jump_at_least";
    slow.succeeded(900ms, now);
    EXPECT_EQ(slow.limit(), options.start);
}
