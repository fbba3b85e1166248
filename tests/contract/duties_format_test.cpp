// Formats of duty calls and of the stored object with the decided counts.
#include "platform/duties.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb;
using core::duties::window_counts;

TEST(duties_format, a_usage_call_is_the_platforms_json) {
    EXPECT_EQ(platform::encode_usage_call(353'445'120, {{"fida11", 412}, {"hule930", 7}}),
              R"({"counts":{"fida11":412,"hule930":7},"window_id":353445120})");
    EXPECT_EQ(platform::encode_usage_call(1, {}), R"({"counts":{},"window_id":1})");
}

TEST(duties_format, the_stored_object_comes_back_as_it_was) {
    const window_counts windows{{7, {{"a", 1}, {"b", 2}}}, {8, {}}};
    EXPECT_EQ(platform::decode_usage_object(platform::encode_usage_object(windows)), windows);
    EXPECT_EQ(platform::usage_name_of(0), "usage");
    EXPECT_EQ(platform::usage_name_of(3), "usage-3");
}

// A window that is left out of a malformed object would be decided a second time.
TEST(duties_format, an_object_of_which_any_part_is_malformed_is_refused_as_a_whole) {
    for (const char* text :
         {"null", "[]", "{}", R"({"windows":{}})", R"({"windows":[1]})", R"({"windows":[{"window_id":1}]})",
          R"({"windows":[{"window_id":"1","counts":{}}]})", R"({"windows":[{"window_id":-1,"counts":{}}]})",
          R"({"windows":[{"window_id":1,"counts":[]}]})",
          R"({"windows":[{"window_id":1,"counts":{"a":1.5}}]})",
          R"({"windows":[{"window_id":1,"counts":{"a":-1}}]})",
          R"({"windows":[{"window_id":1,"counts":{"a":18446744073709551615}}]})",
          R"({"windows":[{"window_id":1,"counts":{}},{"window_id":1,"counts":{}}]})"})
        EXPECT_FALSE(platform::decode_usage_object(nlohmann::json::parse(text))) << text;
}
