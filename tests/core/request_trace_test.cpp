// Trace of one request from the decision logs of several processes.
#include "core/timeline/request_trace.hpp"

#include <gtest/gtest.h>

#include <sstream>

using namespace waxwinglb::core::timeline;

namespace {

std::vector<decision> read(const std::string& text) {
    std::istringstream in{text};
    return read_decisions(in);
}

const char* const two_processes = R"(
noise before it  {"unix_ms":2000,"process":"g1","event":"request_sent","subject":"r1","target":"t1","load":3}
{"unix_ms":1900,"process":"g2","event":"order_sent","subject":"t9","operation":"load_model","model":"m1"}
{"unix_ms":1950,"process":"g2","event":"order_sent","subject":"t9","operation":"load_model","model":"m2"}
{"unix_ms":2300,"process":"g1","event":"request_cut","subject":"r1","reason":"connection_broken","model":"m1","ms":500}
{"unix_ms":2200,"process":"g2","event":"target_changed","subject":"t1","change":"removed"}
{"unix_ms":2200,"process":"g2","event":"target_changed","subject":"t2","change":"removed"}
{"unix_ms":2250,"process":"g2","event":"lease_lost","subject":"order_giver"}
{"unix_ms":9000,"process":"g2","event":"lease_taken","subject":"order_giver"}
{"unix_ms":2100,"process":"g1","event":"request_sent","subject":"r2","target":"t1"}
{"unix_ms":2100,"process":"g1"}
not a line {
)";

} // namespace

TEST(request_trace, contains_related_events_in_order_of_time) {
    const auto trace = trace_request(read(two_processes), "r1");
    std::string order;
    for (const decision& line : trace)
        order += line.event + ":" + line.subject + " ";
    EXPECT_EQ(order,
              "order_sent:t9 request_sent:r1 target_changed:t1 lease_lost:order_giver request_cut:r1 ");
    EXPECT_EQ(cause_of(trace, "r1"), "The connection to its target broke while it may have been running.");
}

TEST(request_trace, cause_distinguishes_a_caller_that_left_after_a_silent_target) {
    const auto decisions = read(R"(
{"unix_ms":2000,"process":"g1","event":"request_sent","subject":"r1","target":"t1","load":3}
{"unix_ms":5200,"process":"g1","event":"request_abandoned","subject":"r1","reason":"caller_left","silent_ms":3200}
{"unix_ms":2100,"process":"g1","event":"request_abandoned","subject":"r2","reason":"caller_left","silent_ms":40}
)");
    EXPECT_EQ(cause_of(trace_request(decisions, "r1"), "r1"),
              "Its target had sent nothing for 3200 ms when its caller closed the connection.");
    EXPECT_EQ(cause_of(trace_request(decisions, "r2"), "r2"), "Its caller closed the connection.");
}

TEST(request_trace, cause_mentions_a_change_of_the_order_giver_that_delayed_orders) {
    const auto decisions = read(R"(
{"unix_ms":1000,"process":"g2","event":"lease_taken","subject":"order_giver","fencing":2,"orders_in_ms":3000}
{"unix_ms":2500,"process":"g1","event":"request_waiting","subject":"r1","why":"no_adapter","model":"m1"}
{"unix_ms":3700,"process":"g1","event":"request_refused","subject":"r1","reason":"no_adapter","model":"m1"}
{"unix_ms":4100,"process":"g1","event":"request_waiting","subject":"r2","why":"no_adapter","model":"m1"}
{"unix_ms":5300,"process":"g1","event":"request_refused","subject":"r2","reason":"no_adapter","model":"m1"}
)");
    EXPECT_EQ(cause_of(trace_request(decisions, "r1"), "r1"),
              "Its adapter was loaded on no target in time. No gateway gave orders then: g2 had taken that "
              "lease and might give them 1500 ms after the request came.");
    EXPECT_EQ(cause_of(trace_request(decisions, "r2"), "r2"), "Its adapter was loaded on no target in time.");
}

TEST(request_trace, cause_reports_a_missing_end_or_missing_lines) {
    const auto decisions = read(two_processes);
    EXPECT_EQ(cause_of(trace_request(decisions, "r2"), "r2"),
              "Its end is not in these logs: lines were dropped, or the process was lost.");
    EXPECT_EQ(cause_of(trace_request(decisions, "r3"), "r3"), "No line names this request.");
}

TEST(request_trace, dropped_lines_become_gaps) {
    const auto events =
        as_events(read(R"({"unix_ms":1,"process":"g","event":"lines_dropped","subject":"","count":4})"));
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].kind, "gap");
    EXPECT_EQ(events[0].what, "count=4");
}
