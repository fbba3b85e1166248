// Configuration replica and codec: revisions only rise, all faults are reported, updates apply atomically.
#include "core/config/codec.hpp"
#include "core/config/replica.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;

namespace {

config::change customer_change(std::int64_t revision, double rate) {
    return {revision, "customer/norte", config::encode(config::customer{"norte", rate, 10, 1})};
}

} // namespace

TEST(config_replica, older_revision_is_never_applied) {
    config::replica replica;
    ASSERT_EQ(replica.apply(0, 5, {customer_change(5, 50)}), config::apply_result::applied);
    EXPECT_EQ(replica.apply(0, 4, {customer_change(4, 40)}), config::apply_result::old);
    EXPECT_EQ(replica.apply(0, 5, {customer_change(5, 99)}), config::apply_result::old);
    EXPECT_EQ(replica.state().customers.at("norte").tokens_per_second, 50);
}

TEST(config_replica, malformed_update_changes_nothing) {
    config::replica replica;
    ASSERT_EQ(replica.apply(0, 1, {customer_change(1, 1)}), config::apply_result::applied);
    const std::vector<config::change> bad{customer_change(2, 2), {3, "customer/sur", "{"}};
    EXPECT_EQ(replica.apply(1, 3, bad), config::apply_result::malformed);
    EXPECT_EQ(replica.revision(), 1);
    EXPECT_EQ(replica.state().customers.at("norte").tokens_per_second, 1);
}

TEST(config_codec, every_fault_is_reported) {
    const auto faults =
        config::check_entry("customer/norte", R"({"name":"sur","burst_tokens":-1,"colour":"red"})");
    std::vector<std::string> pointers;
    for (const auto& found : faults)
        pointers.push_back(found.pointer);
    EXPECT_EQ(pointers, (std::vector<std::string>{"/tokens_per_second", "/burst_tokens", "/colour"}));
}

RC_GTEST_PROP(config_replica, revision_never_falls_in_any_order_of_updates, ()) {
    config::replica replica;
    const auto tops = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 30));
    std::int64_t highest = 0;
    for (const int top : tops) {
        replica.apply(*rc::gen::inRange(0, top), top, {customer_change(top, top)});
        RC_ASSERT(replica.revision() >= highest);
        highest = replica.revision();
        if (highest > 0)
            RC_ASSERT(replica.state().customers.at("norte").tokens_per_second ==
                      static_cast<double>(highest));
    }
}

RC_GTEST_PROP(config_replica, range_of_changes_gives_the_same_state_as_single_changes, ()) {
    const auto words = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 24U));
    std::vector<config::change> all;
    for (const unsigned word : words) {
        const std::string name = "c" + std::to_string(word % 3);
        const auto revision = static_cast<std::int64_t>(all.size()) + 2;
        const std::string value =
            word < 8 ? std::string{} : config::encode(config::customer{name, double(word), 1, 1});
        all.push_back({revision, "customer/" + name, value});
    }
    config::replica singly;
    config::replica at_once;
    singly.apply(0, 1, {{1, "customer/c0", config::encode(config::customer{"c0", 9, 9, 9})}});
    at_once.apply(0, 1, {{1, "customer/c0", config::encode(config::customer{"c0", 9, 9, 9})}});
    for (const config::change& single : all)
        RC_ASSERT(singly.apply(single.revision - 1, single.revision, {single}) ==
                  config::apply_result::applied);
    const auto last = static_cast<std::int64_t>(all.size()) + 1;
    const auto result = at_once.apply(1, last, all);
    RC_ASSERT(result == (all.empty() ? config::apply_result::old : config::apply_result::applied));
    RC_ASSERT(config::entries(singly.state()) == config::entries(at_once.state()));
}

TEST(config_replica, malformed_change_after_a_deletion_changes_nothing) {
    config::replica replica;
    ASSERT_EQ(replica.apply(0, 1, {customer_change(1, 1)}), config::apply_result::applied);
    const std::vector<config::change> bad{{2, "customer/norte", ""}, {3, "customer/sur", "{"}};
    EXPECT_EQ(replica.apply(1, 3, bad), config::apply_result::malformed);
    EXPECT_TRUE(replica.state().customers.contains("norte"));
}
