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

TEST(store_entries, an_unreadable_entry_costs_only_itself) {
    for (const char* spec : {"{\"address\":\"\\ud83d\"}", "{\"address\":\"\xff\xfe\x01\"}",
                             "{\"slots\":1e999}", "{\"x\":}", "@"}) {
        const std::string items =
            entry("a", R"({"n":1})") + "," + entry("odd", spec) + "," + entry("z", R"({"n":2})");
        const auto reply = decode(list_of(items));
        ASSERT_EQ(reply.result, store_result::ok) << spec;
        EXPECT_EQ(reply.at.revision, 9) << spec;
        ASSERT_EQ(reply.objects.size(), 3U) << spec;
        EXPECT_EQ(reply.objects[0].spec["n"], 1) << spec;
        EXPECT_EQ(reply.objects[1].name, "odd") << spec;
        EXPECT_EQ(reply.objects[1].flaw, "expected JSON") << spec;
        EXPECT_EQ(reply.objects[2].spec["n"], 2) << spec;
        EXPECT_EQ(reply.unnamed, 0) << spec;
    }
}

TEST(store_entries, entries_without_a_readable_name_are_counted) {
    const std::string odd = "{\"metadata\":{\"name\":\"\xff\",\"revision\":7},\"spec\":{}}";
    const auto listed = decode(list_of(odd + ",4," + entry("z", "{}")));
    EXPECT_EQ(listed.result, store_result::ok);
    EXPECT_EQ(listed.objects.size(), 1U);
    EXPECT_EQ(listed.unnamed, 2);
    const auto watched =
        decode("{\"events\":[{\"object\":" + odd + ",\"removed\":false}],\"current_rev\":9}");
    EXPECT_EQ(watched.result, store_result::ok);
    EXPECT_EQ(watched.at.revision, 9);
    EXPECT_EQ(watched.unnamed, 1);
}

TEST(store_entries, a_list_goes_on_after_an_unreadable_last_entry) {
    std::string next;
    EXPECT_EQ(
        decode(list_of(entry("a", "{}") + "," + entry("odd", "{\"x\":\"\xff\"}"), "true"), &next).result,
        store_result::ok);
    EXPECT_EQ(next, "odd");
    next.clear();
    EXPECT_EQ(decode(list_of(entry("a", "{}") + ",4", "true"), &next).result, store_result::ok);
    EXPECT_EQ(next, "a");
}

TEST(store_entries, a_list_that_cant_be_continued_is_not_taken_as_complete) {
    std::string next;
    EXPECT_EQ(decode(list_of("4", "true"), &next).result, store_result::unknown);
}

TEST(store_entries, an_answer_that_is_unreadable_as_a_whole_is_unknown) {
    for (const char* body : {"", "<html>", "[]", "{\"items\":[", "{\"items\":[],\"current_rev\":1e999}",
                             "{\"events\":[],\"current_rev\":\"\xff\"}", "{\"items\":[]} x"})
        EXPECT_EQ(decode(body).result, store_result::unknown) << body;
}
