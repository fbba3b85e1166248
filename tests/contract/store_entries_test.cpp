// The store's answers with entries that another writer left.
#include "platform/store_client.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb;
using platform::store_result;

namespace {

/// An entry whose spec is this text.
std::string entry(const std::string& name, const std::string& spec) {
    return R"({"metadata":{"name":")" + name + R"(","revision":7},"spec":)" + spec + "}";
}

std::string list_of(const std::string& items, const std::string& more_pages = "false") {
    return R"({"items":[)" + items + R"(],"more_pages":)" + more_pages + R"(,"current_rev":9})";
}

platform::store_reply decode(const std::string& body, std::string* next_page = nullptr, int status = 200) {
    edge::client_result answer;
    answer.outcome = edge::client_outcome::answered;
    answer.status = status;
    answer.body = body;
    return platform::decode_reply("GET", answer, next_page);
}

std::string nested(std::size_t depth) {
    return R"({"x":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
}

} // namespace

TEST(store_entries, a_deeply_nested_entry_neither_ends_the_process_nor_hides_the_others) {
    for (const std::size_t depth : {100U, 200'000U, 500'000U}) {
        const auto reply = decode(list_of(entry("a", R"({"n":1})") + "," + entry("deep", nested(depth)) +
                                          "," + entry("z", R"({"n":2})")));
        ASSERT_EQ(reply.result, store_result::ok) << depth;
        EXPECT_EQ(reply.at.revision, 9);
        ASSERT_EQ(reply.objects.size(), 3U);
        EXPECT_EQ(reply.objects[0].spec["n"], 1);
        EXPECT_EQ(reply.objects[1].name, "deep");
        EXPECT_TRUE(reply.objects[1].spec.is_null());
        EXPECT_EQ(reply.objects[1].flaw, "nested too deeply");
        EXPECT_EQ(reply.objects[2].spec["n"], 2);
        EXPECT_EQ(reply.objects[2].flaw, "");
    }
}

TEST(store_entries, a_deeply_nested_entry_in_a_watch_a_conflict_or_alone_is_marked) {
    const std::string deep = entry("deep", nested(200'000));
    const auto watched = decode(R"({"events":[{"object":)" + deep + R"(,"removed":false}],"current_rev":9})");
    ASSERT_EQ(watched.objects.size(), 1U);
    EXPECT_FALSE(watched.objects[0].flaw.empty());
    EXPECT_EQ(decode(deep).objects.at(0).flaw, "nested too deeply");
    const auto conflict = decode(deep, nullptr, 409);
    EXPECT_EQ(conflict.result, store_result::conflict);
    EXPECT_EQ(conflict.objects.at(0).changed.revision, 7);
}

TEST(store_entries, nesting_beside_the_spec_is_not_read) {
    const auto reply = decode(R"({"metadata":{"name":"a","revision":7,"finalizers":)" + nested(200'000) +
                              R"(},"spec":{"n":1},"status":)" + nested(200'000) + "}");
    ASSERT_EQ(reply.objects.size(), 1U);
    EXPECT_EQ(reply.objects[0].spec["n"], 1);
}
