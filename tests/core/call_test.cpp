// Properties of a call under random losses, duplicates, delays, broken links and restarts: exactly one final
// answer in time, complete and with the bytes of one attempt; "not run" only if true; at most one run where
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

void check_invariants(const call_world& simulation) {
    RC_ASSERT(simulation.finishes == 1);
    RC_ASSERT(simulation.finished_at <= simulation.deadline());
    bool of_one_attempt = simulation.delivered.empty();
    for (const int attempt : simulation.attempts)
        of_one_attempt = of_one_attempt || call_world::answer_of(attempt).starts_with(simulation.delivered);
    RC_ASSERT(of_one_attempt);
    if (simulation.end.reason == end_reason::completed)
        RC_ASSERT(simulation.delivered == call_world::answer_of(*simulation.attempts.rbegin()));
    if (simulation.end.ran == run_state::not_run)
        RC_ASSERT(simulation.total_runs() == 0);
    RC_TAG(std::string(code_of(simulation.end.reason)));
}

} // namespace

RC_GTEST_PROP(call_property, repeatable_call_ends_once_in_time_with_the_bytes_of_one_attempt, ()) {
    call_world simulation{any_faults()};
    simulation.run();
    check_invariants(simulation);
}

RC_GTEST_PROP(call_property, claimed_call_runs_at_most_once, ()) {
    world_options options = any_faults();
    options.repeatable = false;
    options.claimed = true;
    call_world simulation{options};
    simulation.run();
    check_invariants(simulation);
    RC_ASSERT(simulation.total_runs() <= 1);
}

RC_GTEST_PROP(call_property, unclaimed_call_that_is_not_repeatable_gets_one_attempt, ()) {
    world_options options = any_faults();
    options.repeatable = false;
    call_world simulation{options};
    simulation.run();
    check_invariants(simulation);
    RC_ASSERT(simulation.attempts.size() <= 1);
    RC_ASSERT(simulation.total_runs() <= 1);
}

RC_GTEST_PROP(call_property, undisturbed_call_completes, ()) {
    world_options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.streamed = *rc::gen::arbitrary<bool>();
    call_world simulation{options};
    simulation.run();
    check_invariants(simulation);
    RC_ASSERT(simulation.end.reason == end_reason::completed);
    RC_ASSERT(simulation.total_runs() == 1);
}

RC_GTEST_PROP(call_property, broken_links_alone_truncate_no_answer, ()) {
    world_options options;
    options.seed = *rc::gen::arbitrary<unsigned>();
    options.streamed = *rc::gen::arbitrary<bool>();
    options.doubled = 30;
    options.breaks = 1;
    options.deadline = 20s;
    call_world simulation{options};
    simulation.run();
    check_invariants(simulation);
    const bool served = simulation.end.reason == end_reason::completed;
    const bool lost = simulation.end.reason == end_reason::target_lost; // the link was down for too long
    RC_ASSERT(served || lost);
}
