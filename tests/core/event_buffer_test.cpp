// Event streams, however their bytes are split on the way.
#include "core/streams/event_buffer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using waxwinglb::core::streams::event_buffer;
using waxwinglb::core::streams::last_event_id;

RC_GTEST_PROP(event_buffer, events_are_whole_and_in_order_however_they_are_split, ()) {
    const std::string line_end = *rc::gen::element(std::string{"\n"}, std::string{"\r\n"});
    const auto count = *rc::gen::inRange(0, 6);
    std::string all;
    for (int number = 1; number <= count; ++number)
        all.append("id: ")
            .append(std::to_string(number))
            .append(line_end)
            .append("data: x")
            .append(line_end)
            .append(line_end);
    const std::string rest = *rc::gen::element(std::string{}, "id: 7" + line_end, "id: 7" + line_end + "da");
    const std::string sent = all + rest;
    event_buffer buffer;
    std::string taken;
    for (std::size_t at = 0; at < sent.size();) {
        const auto size = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
        buffer.add(std::string_view{sent}.substr(at, size));
        at += size;
        if (*rc::gen::arbitrary<bool>())
            taken += buffer.take_complete();
    }
    taken += buffer.take_complete();
    RC_ASSERT(taken == all);
    RC_ASSERT(buffer.inside_event() == !rest.empty());
    RC_ASSERT(buffer.any_taken() == !all.empty());
    RC_ASSERT(last_event_id(taken) == (count == 0 ? "" : std::to_string(count)));
}

TEST(event_buffer, next_answer_begins_empty) {
    event_buffer buffer;
    buffer.add("id: 1\n\nid: 2");
    EXPECT_EQ(buffer.take_complete(), "id: 1\n\n");
    buffer.clear();
    EXPECT_FALSE(buffer.inside_event());
    EXPECT_FALSE(buffer.any_taken());
    buffer.add("\n\n");
    EXPECT_EQ(buffer.take_complete(), "\n\n");
}

TEST(event_buffer, last_id_of_events_without_any_is_empty) {
    EXPECT_EQ(last_event_id("data: id: 4\n\n"), "");
    EXPECT_EQ(last_event_id("id: 3\n\ndata: x\n\n"), "3");
}
