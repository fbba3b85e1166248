// Routes, and the directory of targets through outages of the store that it is read from.
#include "core/fleet/directory.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using fleet::directory;
using fleet::target_entry;

namespace {

constexpr time_point start{100s};

target_entry entry(const std::string& id, std::int64_t born = 1) {
    target_entry out;
    out.id = id;
    out.born = born;
    out.service = "engine";
    out.address = "10.0.0.1:80";
    out.data_centre = "a";
    return out;
}

fleet::config two_routes() {
    fleet::config out;
    for (const char* prefix : {"/a/", "/a/b/"}) {
        fleet::route one;
        one.name = prefix;
        one.host = "Shop.Example";
        one.path_prefix = prefix;
        out.routes.push_back(one);
    }
    out.index_routes();
    return out;
}

} // namespace

TEST(fleet_config, the_longest_prefix_of_the_host_wins) {
    const auto config = two_routes();
    ASSERT_NE(config.find_route("shop.example:8080", "/a/b/c"), nullptr);
    EXPECT_EQ(config.find_route("shop.example:8080", "/a/b/c")->name, "/a/b/");
    EXPECT_EQ(config.find_route("SHOP.example", "/a/c")->name, "/a/");
    EXPECT_EQ(config.find_route("shop.example", "/a"), nullptr); // a prefix ends with its slash
    EXPECT_EQ(config.find_route("other.example", "/a/b/"), nullptr);
}

TEST(fleet_config, a_wish_names_a_model_and_maybe_an_adapter) {
    EXPECT_EQ(fleet::parse_model_ref("m"), (fleet::model_ref{"m", ""}));
    EXPECT_EQ(fleet::parse_model_ref("m/a1"), (fleet::model_ref{"m", "a1"}));
}

TEST(target_directory, a_registration_removed_in_calm_is_gone_at_once) {
    directory one;
    one.replace_all({entry("t1"), entry("t2")}, start);
    one.remove("t1", start + 1s);
    EXPECT_EQ(one.find("t1"), nullptr);
    ASSERT_EQ(one.leaving_targets().size(), 1U); // and the peers are told
    EXPECT_EQ(one.leaving_targets()[0].id, "t1");
}

TEST(target_directory, a_registration_that_lapsed_in_an_outage_is_kept_until_two_seconds_after_its_end) {
    directory one;
    one.replace_all({entry("t1"), entry("t2")}, start);
    one.store_failed();
    one.store_answered(start + 5s);
    one.replace_all({entry("t2")}, start + 5s);
    EXPECT_TRUE(one.expire(start + 6'900ms).empty());
    ASSERT_NE(one.find("t1"), nullptr);
    EXPECT_EQ(one.expire(start + 7s), std::vector<std::string>{"t1"});
    EXPECT_EQ(one.find("t1"), nullptr);
}

TEST(target_directory, a_lapsed_registration_that_comes_back_stays) {
    directory one;
    one.replace_all({entry("t1")}, start);
    one.store_failed();
    one.remove("t1", start + 2s);
    one.store_answered(start + 5s);
    one.upsert(entry("t1"), start + 6s);
    EXPECT_TRUE(one.expire(start + 60s).empty());
    ASSERT_NE(one.find("t1"), nullptr);
    EXPECT_FALSE(one.find("t1")->lapsed_until.has_value());
}

TEST(target_directory, an_outage_that_goes_on_drops_nothing) {
    directory one;
    one.replace_all({entry("t1")}, start);
    one.store_failed();
    one.remove("t1", start);
    EXPECT_TRUE(one.expire(start + 1h).empty());
    EXPECT_NE(one.find("t1"), nullptr);
}

TEST(target_directory, a_draining_target_removed_in_an_outage_does_not_come_back) {
    directory one;
    auto leaving = entry("t1");
    leaving.draining = true;
    one.replace_all({leaving}, start);
    one.store_failed();
    one.remove("t1", start + 1s);
    EXPECT_EQ(one.find("t1"), nullptr);
}

TEST(target_directory, the_same_id_with_another_start_holds_nothing_of_before) {
    directory one;
    auto first = entry("t1", 1);
    first.models["m"];
    first.describes_models = true;
    one.upsert(first, start);
    one.describe("t1", 1, 9, {{"n", {}}}, {}, start);
    one.upsert(entry("t1", 2), start + 100ms);
    EXPECT_TRUE(one.find("t1")->entry.models.empty());
    EXPECT_EQ(one.find("t1")->orders, 0);
}

TEST(target_directory, the_order_givers_word_goes_before_a_registration_for_a_while) {
    directory one;
    auto old = entry("t1");
    old.models["m"];
    old.describes_models = true;
    one.upsert(old, start);
    one.describe("t1", 1, 5, {{"n", {"a1"}}}, {{"p", start + 2s}}, start + 1s);
    one.upsert(old, start + 2s); // written before the order was carried out
    EXPECT_TRUE(one.find("t1")->entry.models.contains("n"));
    one.describe("t1", 1, 4, {{"m", {}}}, {}, start + 2s); // overtaken
    EXPECT_TRUE(one.find("t1")->entry.models.contains("n"));
    one.upsert(old, start + 1s + fleet::description_term);
    EXPECT_TRUE(one.find("t1")->entry.models.contains("m"));
}

TEST(target_directory, a_peers_word_that_a_target_leaves_is_obeyed_but_not_told_on) {
    directory one;
    one.replace_all({entry("t1")}, start);
    one.mark_leaving("t1", 2); // another start of it
    EXPECT_FALSE(one.find("t1")->leaving());
    one.mark_leaving("t1", 1);
    EXPECT_TRUE(one.find("t1")->leaving());
    EXPECT_TRUE(one.leaving_targets().empty());
    one.upsert(entry("t1"), start + 1s); // its own registration says that it stays
    EXPECT_FALSE(one.find("t1")->leaving());
}

TEST(target_directory, a_process_without_the_store_follows_its_peers_registrations) {
    directory one;
    one.replace_all({entry("t1"), entry("t2")}, start);
    one.store_failed();
    auto leaving = entry("t2");
    leaving.draining = true;
    one.adopt({leaving, entry("t3")}, start + 1s);
    EXPECT_EQ(one.find("t1"), nullptr);
    EXPECT_TRUE(one.find("t2")->leaving());
    EXPECT_NE(one.find("t3"), nullptr);
}

TEST(target_directory, a_peers_word_of_a_start_is_taken_over_if_it_is_newer) {
    directory all;
    all.replace_all({entry("t1", 5), entry("t2", 5), entry("t3", 5)}, start);
    all.remove("t3", start);
    auto cold = entry("t1", 5);
    cold.cold_left = 3'000ms;
    all.merge_from_peer(cold, start);
    EXPECT_EQ(all.find("t1")->cold_until, start + 3s) << "it became cold again";
    cold = entry("t2", 6);
    cold.address = "10.0.0.9:80";
    all.merge_from_peer(cold, start);
    EXPECT_EQ(all.find("t2")->entry.address, "10.0.0.9:80");
    all.merge_from_peer(entry("t2", 5), start + 1s);
    EXPECT_EQ(all.find("t2")->entry.born, 6) << "an older start";
    all.merge_from_peer(entry("t3", 5), start + 1s);
    EXPECT_EQ(all.find("t3"), nullptr) << "that start has left";
    all.merge_from_peer(entry("t3", 6), start + 1s);
    EXPECT_NE(all.find("t3"), nullptr);
}

TEST(target_directory, a_removal_at_short_notice_names_its_end) {
    directory one;
    auto leaving = entry("t1");
    leaving.remaining = 2'000ms;
    one.upsert(leaving, start);
    leaving.remaining = 1'900ms;
    one.upsert(leaving, start + 500ms); // a later word does not prolong it
    EXPECT_EQ(*one.find("t1")->gone_at, start + 2s);
}

// Found by hunting Cámara (mix, seed 13478659555): a heartbeat and the removal came in one batch.
TEST(target_directory, a_target_that_changed_and_was_removed_in_one_batch_is_gone) {
    directory one;
    one.replace_all({entry("t1")}, start);
    one.apply({{"t1", entry("t1")}, {"t1", std::nullopt}}, start + 1s);
    EXPECT_EQ(one.find("t1"), nullptr);
    one.apply({{"t1", std::nullopt}, {"t1", entry("t1", 2)}}, start + 2s);
    EXPECT_NE(one.find("t1"), nullptr);
}

// A call that fails by itself is no outage: what is removed then has left.
TEST(target_directory, after_a_failure_too_short_for_a_lapse_a_removal_counts_at_once) {
    directory one;
    one.replace_all({entry("t1")}, start);
    one.store_answered(start);
    one.store_failed();
    one.store_answered(start + 500ms);
    one.remove("t1", start + 600ms);
    EXPECT_EQ(one.find("t1"), nullptr);
}

// On Cámara's trouble-1 the store turned the order giver away for nine seconds while it answered this
// gateway; a target that left got a request 2,027 ms later.
TEST(target_directory, a_target_that_leaves_while_only_the_order_giver_lacks_the_store_is_dropped_in_time) {
    directory all;
    all.replace_all({entry("t1")}, start);
    all.store_answered(start);
    all.note_order_giver_store_access(false, start + 10s);
    all.store_answered(start + 10'900ms); // the answer that brings the removal
    all.remove("t1", start + 10'900ms);
    EXPECT_NE(all.find("t1"), nullptr) << "perhaps it has merely lapsed";
    for (auto now = start + 11s; now < start + 12'400ms; now += 200ms) {
        all.note_order_giver_store_access(false, now); // it goes on saying so
        all.store_answered(now + 100ms);
    }
    all.expire(start + 12'400ms);
    EXPECT_EQ(all.find("t1"), nullptr);
}

TEST(target_directory, an_outage_that_only_the_order_giver_has_noticed_lapses_registrations_too) {
    directory all;
    all.store_answered(start);
    all.replace_all({entry("t1"), entry("t2")}, start);
    all.note_order_giver_store_access(
        false, start + 10s); // this gateway's own watch has waited since `start` for an event
    all.store_answered(start + 11s);
    all.remove("t1", start + 11s);
    EXPECT_NE(all.find("t1"), nullptr) << "it could not renew its registration";
    all.expire(start + 13'100ms);
    EXPECT_EQ(all.find("t1"), nullptr);
}

TEST(target_directory, a_doubt_that_the_stores_answer_ends_at_once_lapses_nothing) {
    directory all;
    all.store_answered(start);
    all.replace_all({entry("t1")}, start);
    all.note_order_giver_store_access(false, start + 10s);
    all.store_answered(start + 10'100ms);
    all.remove("t1", start + 10'200ms);
    EXPECT_EQ(all.find("t1"), nullptr);
}

TEST(fleet_config, an_engine_offers_its_models_and_their_numbered_adapters) {
    fleet::engine_spec engine;
    engine.models["m"].adapters = 2;
    for (const char* wish : {"m", "m/a1", "m/a2"})
        EXPECT_TRUE(fleet::offers(engine, fleet::parse_model_ref(wish))) << wish;
    for (const char* wish : {"n", "m/a0", "m/a3", "m/b1", "m/a1x", "m/a", "m/a-1"})
        EXPECT_FALSE(fleet::offers(engine, fleet::parse_model_ref(wish))) << wish;
}
