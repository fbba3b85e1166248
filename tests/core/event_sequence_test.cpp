// Events of one stream that several answers bring: what doesn't follow the one before isn't passed on.
#include "core/streams/event_sequence.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

using waxwinglb::core::streams::event_fault;
using waxwinglb::core::streams::event_sequence;

namespace {

std::string event(std::uint64_t id, const std::string& line_end = "\n") {
    return "id: " + std::to_string(id) + line_end + "data: x" + line_end + line_end;
}

/// The fault of `text` where events up to 4 have come.
event_fault fault_after_four(const std::string& text, bool in_next_answer = true) {
    event_sequence sequence;
    EXPECT_EQ(sequence.check(event(1) + event(2) + event(3) + event(4)).fault, event_fault::none);
    if (in_next_answer)
        sequence.begin_answer();
    return sequence.check(text).fault;
}

} // namespace

RC_GTEST_PROP(event_sequence, answers_that_go_on_are_sound_and_others_only_up_to_their_fault, ()) {
    const std::string line_end = *rc::gen::element(std::string{"\n"}, std::string{"\r\n"});
    const auto cut = static_cast<std::uint64_t>(*rc::gen::inRange(1, 20));
    const auto next = static_cast<std::uint64_t>(*rc::gen::inRange(1, 25));
    event_sequence sequence;
    for (std::uint64_t id = 1; id <= cut; ++id)
        RC_ASSERT(sequence.check(event(id, line_end)).fault == event_fault::none);
    sequence.begin_answer();
    RC_ASSERT(!sequence.answer_has_event());
    const std::string comment = ": ping" + line_end + line_end;
    const auto checked = sequence.check(comment + event(next, line_end) + event(next + 1, line_end));
    const event_fault expected = next <= cut       ? event_fault::out_of_order
                                 : next == cut + 1 ? event_fault::none
                                                   : event_fault::missing;
    RC_ASSERT(checked.fault == expected);
    const std::size_t all = comment.size() + event(next, line_end).size() + event(next + 1, line_end).size();
    RC_ASSERT(checked.sound == (expected == event_fault::none ? all : comment.size()));
    RC_ASSERT(sequence.answer_has_event() == (expected == event_fault::none));
}

TEST(event_sequence, text_that_is_no_event_is_malformed) {
    for (const std::string text :
         {"upstream failure\n\n", "{\"error\":\"failure\"}\n\n", "HTTP/1.1 500 Internal Server Error\r\n\r\n",
          "id: 5\nHTTP/1.1 500 Error\n\n", "id: 5\nContent-Length: 3\n\n", "event: error\ndata: x\n\n",
          "id: five\n\n", "id: -5\n\n", "id: 5 6\n\n", "id:\n\n", "id\n\n",
          "data: x\nid: 99999999999999999999\n\n", "id: 5\ndata: pieHTTP/1.1 500 Error\r\n\r\n"})
        for (const bool in_next_answer : {true, false})
            EXPECT_EQ(fault_after_four(text, in_next_answer), event_fault::malformed) << text;
}

TEST(event_sequence, usual_events_are_sound) {
    for (const std::string text :
         {"id: 5\ndata: x\n\n", "id:5\ndata:x\n\n", "weight-versions: 2\nid: 5\ndata: x\n\n", "\n\nid: 5\n\n",
          "data: a: b\ndata: HTTP/1.1 500\ndata:\nid: 5\nretry: 10\n\n", ": ping\nid: 5\n\n", ": ping\n\n",
          ":\r\n\r\n"})
        for (const bool in_next_answer : {true, false})
            EXPECT_EQ(fault_after_four(text, in_next_answer), event_fault::none) << text;
}

TEST(event_sequence, id_left_out_within_an_answer_after_ids_that_went_up_by_one_is_a_missing_event) {
    EXPECT_EQ(fault_after_four(event(6), false), event_fault::missing);
    EXPECT_EQ(fault_after_four(event(5) + event(7), true), event_fault::missing);
    EXPECT_EQ(fault_after_four(event(4), false), event_fault::out_of_order);
}

TEST(event_sequence, ids_that_never_went_up_by_one_may_leave_some_out) {
    for (const std::string& text : {event(1) + event(5) + event(9), event(5) + event(10) + event(11)}) {
        event_sequence sequence;
        EXPECT_EQ(sequence.check(text).fault, event_fault::none) << text;
        sequence.begin_answer();
        EXPECT_EQ(sequence.check(event(15)).fault, event_fault::none) << text;
    }
}

TEST(event_sequence, stream_that_its_caller_takes_up_goes_on_after_the_callers_last_event) {
    for (const std::uint64_t id : {1, 3, 4}) {
        event_sequence sequence;
        sequence.continue_after("4");
        EXPECT_EQ(sequence.check(event(id)).fault, event_fault::out_of_order);
    }
    for (const std::string after : {"4", "", "x"}) {
        event_sequence sequence;
        sequence.continue_after(after);
        EXPECT_EQ(sequence.check(event(5)).fault, event_fault::none) << after;
    }
}

TEST(event_sequence, the_first_line_of_an_event_may_name_the_version_from_which_the_stream_goes_on) {
    event_sequence sequence{"weights"};
    EXPECT_FALSE(sequence.check(event(1)).version);
    EXPECT_EQ(sequence.check("weights: 2\n" + event(2) + event(3)).version, 2);
    EXPECT_EQ(sequence.check(": comment\nweights: 3\r\n" + event(4)).fault, event_fault::malformed);
    EXPECT_FALSE(sequence.check("id: 4\nweights: 3\n\n").version) << "not the first line";
    EXPECT_FALSE(sequence.check("weights: 4\n" + event(4)).version) << "an event that comes twice";
}
