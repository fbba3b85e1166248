// How old a gateway's knowledge of the store is, and when it reads the store itself.
#include "core/membership/store_view.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using membership::store_view;
using membership::stored_kind;

namespace {

constexpr time_point start{100s};
constexpr common::milliseconds limit = 2'000ms;

} // namespace

TEST(store_view, nothing_is_read_before_anything_is_known) {
    store_view view;
    EXPECT_FALSE(view.age(stored_kind::departures, start).has_value());
    EXPECT_FALSE(view.take_read_due(stored_kind::departures, limit, start));
}

TEST(store_view, an_older_confirmation_does_not_make_it_older) {
    store_view view;
    view.confirm(stored_kind::departures, start);
    view.confirm(stored_kind::departures, start - 1s);
    EXPECT_EQ(view.age(stored_kind::departures, start + 300ms), 300ms);
}

TEST(store_view, a_gateway_reads_for_itself_in_time_for_two_calls_before_the_limit) {
    store_view view;
    view.confirm(stored_kind::departures, start);
    EXPECT_FALSE(view.take_read_due(stored_kind::departures, limit, start + 1'100ms));
    EXPECT_TRUE(view.take_read_due(stored_kind::departures, limit, start + 1'200ms));
    EXPECT_FALSE(view.take_read_due(stored_kind::departures, limit, start + 1'600ms));
    EXPECT_TRUE(view.take_read_due(stored_kind::departures, limit, start + 1'700ms));
}

TEST(store_view, kinds_grow_old_apart) {
    store_view view;
    for (const auto kind : {stored_kind::departures, stored_kind::configuration, stored_kind::data_centres})
        view.confirm(kind, start);
    view.confirm(stored_kind::configuration, start + 1s);
    EXPECT_TRUE(view.take_read_due(stored_kind::departures, limit, start + 1'500ms));
    EXPECT_FALSE(view.take_read_due(stored_kind::configuration, limit, start + 1'500ms));
    EXPECT_TRUE(view.take_read_due(stored_kind::data_centres, limit, start + 1'500ms));
}
