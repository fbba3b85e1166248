// Tests of routes, model references, and the directory of targets during outages of the store.
#include "core/fleet/directory.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using fleet::directory;
using fleet::target_entry;
using fleet::target_start;

namespace {

constexpr time_point start{100s};

target_entry entry(const std::string& id, std::int64_t born = 1) {
    target_entry result;
    result.id = id;
    result.born = born;
    result.service = "engine";
    result.address = "10.0.0.1:80";
    result.data_centre = "a";
    return result;
}

/// Registered with the store's revision `revision`.
target_entry entry_at(const std::string& id, std::int64_t born, std::int64_t revision) {
    target_entry result = entry(id, born);
    result.changed = {0, revision};
    return result;
}

std::vector<target_start> departed(const directory& targets) {
    std::vector<target_start> out;
    for (const auto& known : targets.departures_known(start))
        out.push_back(known.start);
    return out;
}

fleet::config two_routes() {
    fleet::config result;
    for (const char* prefix : {"/a/", "/a/b/"}) {
        fleet::route route;
        route.name = prefix;
        route.host = "Shop.Example";
        route.path_prefix = prefix;
        result.routes.push_back(route);
    }
    result.index_routes();
    return result;
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

TEST(fleet_config, a_model_reference_names_a_model_and_optionally_an_adapter) {
    EXPECT_EQ(fleet::parse_model_ref("m"), (fleet::model_ref{"m", ""}));
    EXPECT_EQ(fleet::parse_model_ref("m/a1"), (fleet::model_ref{"m", "a1"}));
}

TEST(target_directory, a_registration_removed_without_an_outage_is_dropped_at_once) {
    directory targets;
    targets.replace_all({{entry("t1"), entry("t2")}}, start);
    targets.remove("t1", {}, start + 1s);
    EXPECT_EQ(targets.find("t1"), nullptr);
    EXPECT_EQ(departed(targets), (std::vector<target_start>{{"t1", 1}})); // the peers must be told
}

TEST(target_directory, a_registration_that_lapsed_in_an_outage_is_kept_until_two_seconds_after_its_end) {
    directory targets;
    targets.replace_all({{entry("t1"), entry("t2")}}, start);
    targets.store_failed();
    targets.store_answered(start + 5s);
    targets.replace_all({{entry("t2")}}, start + 5s);
    EXPECT_TRUE(targets.expire(start + 6'900ms).empty());
    ASSERT_NE(targets.find("t1"), nullptr);
    EXPECT_EQ(targets.expire(start + 7s), std::vector<std::string>{"t1"});
    EXPECT_EQ(targets.find("t1"), nullptr);
}

TEST(target_directory, a_lapsed_registration_that_comes_back_stays) {
    directory targets;
    targets.replace_all({{entry("t1")}}, start);
    targets.store_failed();
    targets.remove("t1", {}, start + 2s);
    targets.store_answered(start + 5s);
    targets.upsert(entry("t1"), start + 6s);
    EXPECT_TRUE(targets.expire(start + 60s).empty());
    ASSERT_NE(targets.find("t1"), nullptr);
    EXPECT_FALSE(targets.find("t1")->lapsed_until.has_value());
}

TEST(target_directory, nothing_is_dropped_while_an_outage_lasts) {
    directory targets;
    targets.replace_all({{entry("t1")}}, start);
    targets.store_failed();
    targets.remove("t1", {}, start);
    EXPECT_TRUE(targets.expire(start + 1h).empty());
    EXPECT_NE(targets.find("t1"), nullptr);
}

TEST(target_directory, a_draining_target_removed_in_an_outage_is_dropped_at_once) {
    directory targets;
    auto leaving = entry("t1");
    leaving.draining = true;
    targets.replace_all({{leaving}}, start);
    targets.store_failed();
    targets.remove("t1", {}, start + 1s);
    EXPECT_EQ(targets.find("t1"), nullptr);
}

TEST(target_directory, a_restarted_target_with_the_same_id_holds_nothing) {
    directory targets;
    auto first = entry("t1", 1);
    first.models["m"];
    first.describes_models = true;
    targets.upsert(first, start);
    targets.describe("t1", 1, 9, {{"n", {}}}, {}, start);
    targets.upsert(entry("t1", 2), start + 100ms);
    EXPECT_TRUE(targets.find("t1")->entry.models.empty());
    EXPECT_EQ(targets.find("t1")->orders, 0);
}

TEST(target_directory, the_order_givers_description_overrides_a_registration_for_a_while) {
    directory targets;
    auto old = entry("t1");
    old.models["m"];
    old.describes_models = true;
    targets.upsert(old, start);
    targets.describe("t1", 1, 5, {{"n", {"a1"}}}, {{"p", start + 2s}}, start + 1s);
    targets.upsert(old, start + 2s); // written before the order was carried out
    EXPECT_TRUE(targets.find("t1")->entry.models.contains("n"));
    targets.describe("t1", 1, 4, {{"m", {}}}, {}, start + 2s); // outdated: fewer orders
    EXPECT_TRUE(targets.find("t1")->entry.models.contains("n"));
    targets.upsert(old, start + 1s + fleet::description_term);
    EXPECT_TRUE(targets.find("t1")->entry.models.contains("m"));
}

TEST(target_directory, a_peers_report_that_a_target_leaves_holds_until_its_registration_is_renewed) {
    directory targets;
    targets.replace_all({{entry_at("t1", 1, 10)}, {0, 10}}, start);
    EXPECT_TRUE(targets.note_departure({{"t1", 2}, {0, 20}, 1s}, start)); // another start of it
    EXPECT_FALSE(targets.find("t1")->leaving());
    EXPECT_TRUE(targets.note_departure({{"t1", 1}, {0, 20}, 1s}, start));
    EXPECT_FALSE(targets.note_departure({{"t1", 1}, {0, 20}, 1s}, start)); // known already
    EXPECT_TRUE(targets.find("t1")->leaving());
    EXPECT_EQ(departed(targets), (std::vector<target_start>{{"t1", 1}, {"t1", 2}})); // passed on
    targets.upsert(entry_at("t1", 1, 30), start + 1s); // its own registration shows that it stays
    EXPECT_FALSE(targets.find("t1")->leaving());
    EXPECT_FALSE(targets.note_departure({{"t1", 1}, {0, 20}, 2s}, start + 1s));
    EXPECT_FALSE(targets.find("t1")->leaving());
}

TEST(target_directory, a_registration_read_before_a_departure_does_not_bring_the_target_back) {
    directory targets;
    targets.replace_all({{entry_at("t1", 1, 10)}, {0, 10}}, start);
    targets.note_departure({{"t1", 1}, {0, 20}}, start);
    targets.upsert(entry_at("t1", 1, 15), start + 1s); // an answer of the store that was late
    EXPECT_TRUE(targets.find("t1")->leaving());
    targets.adopt({{entry_at("t1", 1, 15)}, {0, 15}}, start + 1s);
    EXPECT_TRUE(targets.find("t1")->leaving());
}

TEST(target_directory, a_departure_holds_for_a_start_that_becomes_known_later) {
    directory targets;
    targets.note_departure({{"t1", 1}, {0, 20}}, start);
    targets.merge_from_peer(entry_at("t1", 1, 15), start + 1s);
    EXPECT_EQ(targets.find("t1"), nullptr);
    targets.upsert(entry_at("t1", 1, 15), start + 1s);
    EXPECT_TRUE(targets.find("t1")->leaving());
}

TEST(target_directory, a_target_that_has_left_does_not_come_back_by_a_peer_without_the_store) {
    directory targets;
    targets.replace_all({{entry_at("t1", 1, 10), entry_at("t2", 1, 10)}, {0, 10}}, start);
    targets.remove("t1", {0, 20}, start + 1s);
    targets.adopt({{entry_at("t1", 1, 12), entry_at("t2", 1, 12)}, {0, 12}}, start + 2s);
    EXPECT_EQ(targets.find("t1"), nullptr);
    directory restarted; // has read the store since t1 left
    restarted.replace_all({{entry_at("t2", 1, 22)}, {0, 22}}, start + 2s);
    restarted.merge_from_peer(entry_at("t1", 1, 12), start + 3s);
    EXPECT_EQ(restarted.find("t1"), nullptr);
    restarted.merge_from_peer(entry_at("t3", 1, 23), start + 3s);
    EXPECT_NE(restarted.find("t3"), nullptr);
}

TEST(target_directory, a_departure_before_a_restore_holds_for_a_gateway_that_starts_after_it) {
    target_entry old = entry_at("t1", 1, 10);
    old.changed.era = 1;
    directory heard_first;
    heard_first.note_departure({{"t1", 1}, {0, 20}}, start);
    heard_first.replace_all({{old}, {1, 12}}, start);
    EXPECT_TRUE(heard_first.find("t1")->leaving());
    directory read_first;
    read_first.replace_all({{old}, {1, 12}}, start);
    read_first.note_departure({{"t1", 1}, {0, 20}}, start);
    EXPECT_TRUE(read_first.find("t1")->leaving());
    old.changed.revision = 13; // written after the restore
    read_first.upsert(old, start + 1s);
    read_first.note_departure({{"t1", 1}, {0, 20}}, start + 1s);
    EXPECT_FALSE(read_first.find("t1")->leaving());
}

TEST(target_directory, a_peer_that_has_read_a_restored_store_first_brings_no_departed_target_back) {
    directory targets;
    targets.replace_all({{entry_at("t1", 1, 10)}, {0, 10}}, start);
    targets.remove("t1", {0, 20}, start);
    target_entry old = entry_at("t1", 1, 10);
    old.changed.era = 1;
    targets.merge_from_peer(old, start + 1s);
    EXPECT_EQ(targets.find("t1"), nullptr);
}

TEST(target_directory, a_departure_is_forgotten_by_its_first_readers_time_however_often_it_is_passed_on) {
    directory targets;
    targets.note_departure({{"t1", 1}, {0, 20}, fleet::departure_retention - 1s}, start);
    targets.expire(start + 2s);
    EXPECT_TRUE(departed(targets).empty());
    EXPECT_FALSE(targets.note_departure({{"t1", 1}, {0, 20}, fleet::departure_retention + 1s}, start + 2s));
    EXPECT_TRUE(departed(targets).empty());
}

TEST(target_directory, departures_of_an_adopted_list_are_those_that_it_lacks_but_not_later_starts) {
    directory targets;
    targets.replace_all({{entry_at("t1", 1, 10), entry_at("t2", 1, 30)}, {0, 10}}, start);
    targets.adopt({{entry_at("t3", 1, 15)}, {0, 20}}, start + 1s);
    EXPECT_EQ(targets.find("t1"), nullptr);
    EXPECT_NE(targets.find("t2"), nullptr) << "registered after the list was read";
    EXPECT_EQ(departed(targets), (std::vector<target_start>{{"t1", 1}}));
}

TEST(target_directory, a_process_without_the_store_adopts_a_peers_registrations) {
    directory targets;
    targets.replace_all({{entry("t1"), entry("t2")}}, start);
    targets.store_failed();
    auto leaving = entry("t2");
    leaving.draining = true;
    targets.adopt({{leaving, entry("t3")}}, start + 1s);
    EXPECT_EQ(targets.find("t1"), nullptr);
    EXPECT_TRUE(targets.find("t2")->leaving());
    EXPECT_NE(targets.find("t3"), nullptr);
}

TEST(target_directory, a_peers_report_of_a_start_is_applied_if_it_is_newer) {
    directory targets;
    targets.replace_all({{entry("t1", 5), entry("t2", 5), entry("t3", 5)}}, start);
    targets.remove("t3", {}, start);
    auto cold = entry("t1", 5);
    cold.cold_left = 3'000ms;
    targets.merge_from_peer(cold, start);
    EXPECT_EQ(targets.find("t1")->cold_until, start + 3s) << "it became cold again";
    cold = entry("t2", 6);
    cold.address = "10.0.0.9:80";
    targets.merge_from_peer(cold, start);
    EXPECT_EQ(targets.find("t2")->entry.address, "10.0.0.9:80");
    targets.merge_from_peer(entry("t2", 5), start + 1s);
    EXPECT_EQ(targets.find("t2")->entry.born, 6) << "an older start";
    targets.merge_from_peer(entry("t3", 5), start + 1s);
    EXPECT_EQ(targets.find("t3"), nullptr) << "that start has left";
    targets.merge_from_peer(entry("t3", 6), start + 1s);
    EXPECT_NE(targets.find("t3"), nullptr);
}

TEST(target_directory, a_later_notice_does_not_postpone_a_removal_at_short_notice) {
    directory targets;
    auto leaving = entry("t1");
    leaving.remaining = 2'000ms;
    targets.upsert(leaving, start);
    leaving.remaining = 1'900ms;
    targets.upsert(leaving, start + 500ms); // a later notice must not postpone the end
    EXPECT_EQ(*targets.find("t1")->gone_at, start + 2s);
}

TEST(target_directory, a_removal_at_short_notice_that_only_peers_tell_of_is_known_and_not_postponed) {
    directory targets;
    targets.replace_all({{entry("t1")}}, start);
    EXPECT_FALSE(targets.note_removal({"t1", 2}, 5'000ms, start)) << "another start of it";
    EXPECT_FALSE(targets.find("t1")->gone_at.has_value());
    EXPECT_TRUE(targets.note_removal({"t1", 1}, 5'000ms, start));
    EXPECT_FALSE(targets.note_removal({"t1", 1}, 5'000ms, start + 1s)) << "told again";
    EXPECT_EQ(*targets.find("t1")->gone_at, start + 5s);
    EXPECT_EQ(targets.removals_noted(), 1);
    auto own = entry("t1");
    own.remaining = 3'900ms; // read by this process itself
    targets.upsert(own, start + 1s);
    EXPECT_EQ(*targets.find("t1")->gone_at, start + 4'900ms);
    targets.upsert(entry("t1", 7), start + 2s);
    EXPECT_FALSE(targets.find("t1")->gone_at.has_value()) << "the next start";
}

// Guards against keeping a target whose heartbeat and removal come in one batch. Found in a search over
// Cámara (mix, seed 13478659555).
TEST(target_directory, a_target_that_changed_and_was_removed_in_one_batch_is_gone) {
    directory targets;
    targets.replace_all({{entry("t1")}}, start);
    targets.apply({{"t1", entry("t1")}, {"t1", std::nullopt}}, {}, start + 1s);
    EXPECT_EQ(targets.find("t1"), nullptr);
    targets.apply({{"t1", std::nullopt}, {"t1", entry("t1", 2)}}, {}, start + 2s);
    EXPECT_NE(targets.find("t1"), nullptr);
}

// A single failed call is not an outage: a target removed right after it has left.
TEST(target_directory, after_a_failure_too_short_for_a_lapse_a_removal_counts_at_once) {
    directory targets;
    targets.replace_all({{entry("t1")}}, start);
    targets.store_answered(start);
    targets.store_failed();
    targets.store_answered(start + 500ms);
    targets.remove("t1", {}, start + 600ms);
    EXPECT_EQ(targets.find("t1"), nullptr);
}

// Guards against requests to a target that has left while the store refuses only the order giver. In Cámara's
// trouble-1 it did so for nine seconds while it answered this gateway, and a target that had left got a
// request 2,027 ms later.
TEST(target_directory, a_target_that_leaves_while_only_the_order_giver_has_no_store_is_dropped_in_time) {
    directory targets;
    targets.replace_all({{entry("t1")}}, start);
    targets.store_answered(start);
    targets.note_order_giver_store_access(false, start + 10s);
    targets.store_answered(start + 10'900ms); // the answer that brings the removal
    targets.remove("t1", {}, start + 10'900ms);
    EXPECT_NE(targets.find("t1"), nullptr) << "its registration may only have lapsed";
    for (auto now = start + 11s; now < start + 12'400ms; now += 200ms) {
        targets.note_order_giver_store_access(false, now); // repeated reports
        targets.store_answered(now + 100ms);
    }
    targets.expire(start + 12'400ms);
    EXPECT_EQ(targets.find("t1"), nullptr);
}

TEST(target_directory, an_outage_that_only_the_order_giver_has_noticed_lapses_registrations_too) {
    directory targets;
    targets.store_answered(start);
    targets.replace_all({{entry("t1"), entry("t2")}}, start);
    targets.note_order_giver_store_access(
        false, start + 10s); // this gateway's own watch has waited since `start` for an event
    targets.store_answered(start + 11s);
    targets.remove("t1", {}, start + 11s);
    EXPECT_NE(targets.find("t1"), nullptr) << "it could not renew its registration";
    targets.expire(start + 13'100ms);
    EXPECT_EQ(targets.find("t1"), nullptr);
}

TEST(target_directory, a_reported_outage_ended_at_once_by_an_answer_lapses_nothing) {
    directory targets;
    targets.store_answered(start);
    targets.replace_all({{entry("t1")}}, start);
    targets.note_order_giver_store_access(false, start + 10s);
    targets.store_answered(start + 10'100ms);
    targets.remove("t1", {}, start + 10'200ms);
    EXPECT_EQ(targets.find("t1"), nullptr);
}

TEST(fleet_config, an_engine_offers_its_models_and_their_numbered_adapters) {
    fleet::engine_spec engine;
    engine.models["m"].adapters = 2;
    for (const char* text : {"m", "m/a1", "m/a2"})
        EXPECT_TRUE(fleet::offers(engine, fleet::parse_model_ref(text))) << text;
    for (const char* text : {"n", "m/a0", "m/a3", "m/b1", "m/a1x", "m/a", "m/a-1"})
        EXPECT_FALSE(fleet::offers(engine, fleet::parse_model_ref(text))) << text;
}

TEST(target_directory, in_a_restored_store_what_was_known_holds_until_the_target_writes_again) {
    directory targets;
    auto draining = entry("draining");
    draining.draining = true;
    targets.replace_all({{entry("left"), draining, entry("restarted", 5), entry("new"), entry("same")}},
                        start);
    targets.remove("left", {}, start + 1s);
    // The copy: before "left" left, "draining" said so, "restarted" started again and "new" registered.
    targets.replace_all({{entry("left"), entry("draining"), entry("restarted", 4), entry("same")},
                         {},
                         fleet::list_source::restored_store},
                        start + 2s);
    EXPECT_EQ(targets.find("left"), nullptr);
    EXPECT_TRUE(targets.find("draining")->leaving());
    EXPECT_EQ(targets.find("restarted")->entry.born, 5);
    ASSERT_NE(targets.find("new"), nullptr); // lapsed: it registers again within the grace
    EXPECT_TRUE(targets.find("new")->lapsed_until.has_value());
    EXPECT_FALSE(targets.find("same")->leaving());
    targets.upsert(entry("new"), start + 3s);
    EXPECT_TRUE(targets.expire(start + 10s).empty());
}

TEST(target_directory, a_registration_that_a_restored_store_lost_is_dropped_after_the_grace) {
    directory targets;
    targets.replace_all({{entry("t1"), entry("t2")}}, start);
    targets.replace_all({{entry("t2")}, {}, fleet::list_source::restored_store}, start + 1s);
    EXPECT_TRUE(targets.expire(start + 1s + fleet::lapse_grace - 1ms).empty());
    EXPECT_EQ(targets.expire(start + 1s + fleet::lapse_grace), (std::vector<std::string>{"t1"}));
}

TEST(target_directory,
     a_registration_that_can_not_be_used_for_a_moment_does_not_say_that_its_target_has_left) {
    directory targets;
    directory peer;
    for (directory* each : {&targets, &peer})
        each->upsert(entry("t1"), start);
    targets.apply({{"t1", std::nullopt, true}}, {}, start + 1s);
    EXPECT_EQ(targets.find("t1"), nullptr);
    EXPECT_TRUE(departed(targets).empty()) << "peers would take it for gone until it starts again";
    targets.apply({{"t1", entry("t1")}}, {}, start + 2s);
    ASSERT_NE(targets.find("t1"), nullptr);
    EXPECT_FALSE(targets.find("t1")->leaving());
    peer.merge_from_peer(entry("t1"), start + 2s);
    EXPECT_FALSE(peer.find("t1")->leaving());
}

TEST(target_directory, a_target_that_says_it_leaves_gets_no_more_requests_until_it_starts_again) {
    directory targets;
    targets.replace_all({{entry("t1", 1)}}, start);
    EXPECT_FALSE(targets.note_said_leaving({"t1", 2}, start)); // another start
    EXPECT_TRUE(targets.note_said_leaving({"t1", 1}, start));
    EXPECT_FALSE(targets.note_said_leaving({"t1", 1}, start + 1s)); // known already
    EXPECT_TRUE(targets.find("t1")->leaving());
    EXPECT_EQ(departed(targets), (std::vector<target_start>{{"t1", 1}}));
    targets.upsert(entry("t1", 1), start + 2s); // still registered as ready
    EXPECT_TRUE(targets.find("t1")->leaving());
    targets.remove("t1", {}, start + 3s);
    targets.upsert(entry("t1", 1), start + 4s); // its registration had lapsed
    EXPECT_TRUE(targets.find("t1")->leaving());
    targets.upsert(entry("t1", 2), start + 5s);
    EXPECT_FALSE(targets.find("t1")->leaving());
}

TEST(target_directory, a_pause_holds_for_one_start_of_a_target) {
    directory targets;
    targets.replace_all({{entry("t1", 1)}}, start);
    targets.note_pause({"t1", 0}, 5s, start);
    EXPECT_FALSE(targets.find("t1")->paused(start));
    targets.note_pause({"t1", 1}, 5s, start);
    targets.upsert(entry("t1", 1), start + 1s);
    EXPECT_TRUE(targets.find("t1")->paused(start + 4'999ms));
    EXPECT_FALSE(targets.find("t1")->paused(start + 5s));
    targets.note_pause({"t1", 1}, 5s, start + 6s);
    targets.upsert(entry("t1", 2), start + 7s);
    EXPECT_FALSE(targets.find("t1")->paused(start + 7s));
}
