// Properties of one request's life cycle under random interleavings of losses, duplicates, delays, broken
// links and restarts: one final answer in time, whole and own bytes, a true "not run", at most one run where
// promised.
#include "core/call_world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwinglb;
using namespace waxwinglb::tests;
using namespace std::chrono_literals;

namespace {

world_options any_faults() {
    world_options out;
    out.seed = *rc::gen::arbitrary<unsigned>();
    out.streamed = *rc::gen::arbitrary<bool>();
    out.lost = *rc::gen::element(0, 5, 30);
    out.doubled = *rc::gen::element(0, 10, 50);
    out.max_delay = *rc::gen::element(2, 50, 2'000);
    out.breaks = *rc::gen::inRange(0, 6);
    out.restarts = *rc::gen::inRange(0, 4);
    out.refusals = *rc::gen::element(0, 30, 90);
    out.failures = *rc::gen::element(0, 30, 90);
    out.slow_places = *rc::gen::element(0, 10);
    out.withdrawn = *rc::gen::inRange(0, 5) == 0;
    out.deadline = milliseconds{*rc::gen::element(40, 400, 1'500, 8'000, 20'000)};
    return out;
}

void check_promises(const world& one) {
    RC_ASSERT(one.finishes == 1);
    RC_ASSERT(one.finished_at <= one.deadline());
    bool own = one.delivered.empty();
    for (const int attempt : one.attempts)
        own = own || world::answer_of(attempt).starts_with(one.delivered);
    RC_ASSERT(own);
    if (one.end.reason == end_reason::completed)
        RC_ASSERT(one.delivered == world::answer_of(*one.attempts.rbegin()));
    if (one.end.ran == run_state::not_run)
        RC_ASSERT(one.total_runs() == 0);
    RC_TAG(std::string(code_of(one.end.reason)));
}

} // namespace

RC_GTEST_PROP(call_property, repeatable_call_ends_once_in_time_with_its_own_bytes, ()) {
    world one{any_faults()};
    one.run();
    check_promises(one);
}

RC_GTEST_PROP(call_property, claimed_call_runs_at_most_once, ()) {
    world_options options = any_faults();
    options.repeatable = false;
    options.claimed = true;
    world one{options};
    one.run();
    check_promises(one);
    RC_ASSERT(one.total_runs() <= 1);
}

RC_GTEST_PROP(call_property, unclaimed_call_that_is_not_repeatable_gets_one_attempt, ()) {
    world_options options = any_faults();
    options.repeatable = false;
    world one{options};
    one.run();
    check_promises(one);
    RC_ASSERT(one.attempts.size() <= 1);
    RC_ASSERT(one.total_runs() <= 1);
}

RC_GTEST_PROP(call_property, undisturbed_call_completes, ()) {
    world_options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.streamed = *rc::gen::arbitrary<bool>();
    world one{options};
    one.run();
    check_promises(one);
    RC_ASSERT(one.end.reason == end_reason::completed);
    RC_ASSERT(one.total_runs() == 1);
}

RC_GTEST_PROP(call_property, broken_links_alone_cut_no_answer, ()) {
    world_options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.streamed = *rc::gen::arbitrary<bool>();
    options.doubled = 30;
    options.breaks = 1;
    options.deadline = 20s;
    world one{options};
    one.run();
    check_promises(one);
    const bool served = one.end.reason == end_reason::completed;
    const bool lost = one.end.reason == end_reason::target_lost; // the link stayed away too long
    RC_ASSERT(served || lost);
}
