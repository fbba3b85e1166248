// Merged time lines: order of events, gaps, and the causes of a subject.
#include "core/timeline/merge.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb::core;

namespace {

constexpr std::int64_t now_ms = 1'000'000;

std::int64_t at(std::int64_t ms) {
    return ms << 16;
}

timeline::page page_of(const std::string& process, std::vector<timeline::event> events,
                       std::int64_t dropped = 0) {
    for (auto& one : events)
        one.process = process;
    return {process, dropped, std::move(events)};
}

std::vector<std::string> gaps_of(const std::vector<timeline::event>& events) {
    std::vector<std::string> out;
    for (const auto& one : events)
        if (one.kind == "gap")
            out.push_back(one.process + ": " + one.what);
    return out;
}

} // namespace

TEST(timeline_merge, events_are_ordered_by_clock) {
    const auto all = timeline::merge({page_of("a", {{at(2), "", 1, "request", "r", "", "second"}}),
                                      page_of("b", {{at(1), "", 1, "request", "r", "", "first"},
                                                    {at(3), "", 2, "request", "r", "", "third"}})},
                                     {}, now_ms);
    ASSERT_EQ(all.size(), 3);
    EXPECT_EQ(all[0].what, "first");
    EXPECT_EQ(all[1].what, "second");
    EXPECT_EQ(all[2].what, "third");
}

TEST(timeline_merge, every_gap_is_marked) {
    const auto all = timeline::merge(
        {page_of("full", {{at(1), "", 9, "load", "m", "", "x"}}, 8),
         page_of("holed", {{at(1), "", 1, "load", "m", "", "x"}, {at(2), "", 4, "load", "m", "", "y"}}),
         page_of("skewed", {{at(now_ms + 5'000), "", 1, "load", "m", "", "x"}})},
        {{"127.0.0.1:9"}}, now_ms);
    EXPECT_EQ(gaps_of(all), (std::vector<std::string>{
                                "full: 8 earlier events are no longer kept.", "holed: 2 events are missing.",
                                "skewed: The clock is 5000 ms ahead.",
                                "127.0.0.1:9: The process does not answer; its events are missing."}));
}

TEST(timeline_merge, follow_returns_a_request_with_its_causes) {
    const std::vector<timeline::event> all{{at(1), "s", 1, "load", "s/m", "d-7", "decided"},
                                           {at(2), "s", 2, "load", "d-7", "", "decision"},
                                           {at(3), "r", 1, "request", "r-1", "s/m", "waits for its model"},
                                           {at(4), "r", 2, "request", "r-2", "", "another"},
                                           {at(5), "a", 1, "attempt", "a-1", "r-1", "begins"}};
    std::vector<std::string> seen;
    for (const auto& one : timeline::follow(all, "r-1"))
        seen.push_back(one.what);
    EXPECT_EQ(seen, (std::vector<std::string>{"decided", "decision", "waits for its model", "begins"}));
}

TEST(timeline_merge, malformed_pages_are_refused) {
    for (const char* text :
         {"", "[]", "{}", R"({"process":"a","events":[{}]})", R"({"process":1,"events":[]})"})
        EXPECT_FALSE(timeline::decode_page(text).has_value()) << text;
    EXPECT_TRUE(timeline::decode_page(R"({"process":"a","dropped":0,"events":[]})").has_value());
}
