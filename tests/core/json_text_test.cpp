// Cutting and bounded parsing of JSON texts that other processes wrote.
#include "core/common/json_text.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb::core::common;

namespace {

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST(json_text, parsing_is_bounded_in_depth) {
    EXPECT_TRUE(parse_json(nested(max_json_depth)).is_array());
    EXPECT_TRUE(parse_json(nested(max_json_depth + 1)).is_discarded());
    EXPECT_TRUE(parse_json(nested(1'000'000)).is_discarded());
    EXPECT_TRUE(parse_json(R"("[[[[")").is_string());
    EXPECT_TRUE(parse_json("").is_discarded());
    EXPECT_TRUE(parse_json("[}").is_discarded());
}

TEST(json_text, brackets_in_strings_are_no_levels) {
    EXPECT_FALSE(is_nested_too_deeply('"' + std::string(1'000, '[') + '"'));
    EXPECT_FALSE(is_nested_too_deeply(R"("\")" + std::string(1'000, '[') + '"'));
    EXPECT_TRUE(is_nested_too_deeply(R"("\\")" + std::string(1'000, '[')));
}

TEST(json_text, an_array_is_cut_at_its_own_commas) {
    const auto cut = cut_array(" [ 1 , {\"a\":[2,3]},\"x,]\\\"\" , \xff ] ");
    ASSERT_TRUE(cut.has_value());
    EXPECT_EQ(*cut, (std::vector<std::string_view>{"1", "{\"a\":[2,3]}", "\"x,]\\\"\"", "\xff"}));
    EXPECT_TRUE(cut_array("[]")->empty());
    EXPECT_EQ(cut_array('[' + nested(1'000'000) + ']')->size(), 1U);
}

TEST(json_text, an_object_is_cut_into_its_members) {
    const auto cut = cut_object("{\"a\" : 1e999, \"\\u0062\":\"\\ud83d\",\"\xff\":{}, \"c\":}");
    ASSERT_TRUE(cut.has_value());
    ASSERT_EQ(cut->size(), 4U);
    EXPECT_EQ((*cut)[0].name, "a");
    EXPECT_EQ((*cut)[0].value, "1e999");
    EXPECT_EQ((*cut)[1].name, "b");
    EXPECT_EQ((*cut)[1].value, "\"\\ud83d\"");
    EXPECT_EQ((*cut)[2].name, "");
    EXPECT_EQ((*cut)[3].value, "");
    EXPECT_TRUE(cut_object("{}")->empty());
}

TEST(json_text, what_cant_be_cut_is_refused) {
    for (const char* text : {"", " ", "{", "}", "[]", "{\"a\"}", "{\"a\":1", "{\"a:1}", "{\"a\":[}",
                             "{\"a\":]}", "{\"a\":1,}", "{,}", "{\"a\":1} x", "{1:2}", "{\"a\":\"\\\"}"})
        EXPECT_FALSE(cut_object(text).has_value()) << text;
    for (const char* text : {"", "[", "]", "{}", "[1", "[\"]", "[]]", "[[]", "[1]x"})
        EXPECT_FALSE(cut_array(text).has_value()) << text;
}
