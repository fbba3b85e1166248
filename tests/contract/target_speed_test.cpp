// What targets state of their load, and speeds of targets in peers' messages.
#include "platform/target_notice.hpp"
#include "programs/gateway/peer_codec.hpp"

#include <gtest/gtest.h>

#include <array>
#include <limits>

using namespace waxwinglb;
using platform::stated_load;

namespace {

struct load_case {
    const char* value;
    std::optional<stated_load> load;
    bool understood;
};

} // namespace

// A figure that is not understood must not take the three counts with it; odd counts have no effect at all.
TEST(platform_notices, a_stated_load_has_three_counts_and_perhaps_a_figure) {
    for (const load_case& each : {
             load_case{"3,0,8", stated_load{3, 0, 8, {}}, true},
             load_case{"3, 0, 8", stated_load{3, 0, 8, {}}, true},
             load_case{"3,0,8,130", stated_load{3, 0, 8, 130}, true},
             load_case{"3,0,8,62.5", stated_load{3, 0, 8, 62.5}, true},
             load_case{"3,0,8,", stated_load{3, 0, 8, {}}, false},
             load_case{"3,0,8,0", stated_load{3, 0, 8, {}}, false},
             load_case{"3,0,8,-5", stated_load{3, 0, 8, {}}, false},
             load_case{"3,0,8,nan", stated_load{3, 0, 8, {}}, false},
             load_case{"3,0,8,inf", stated_load{3, 0, 8, {}}, false},
             load_case{"3,0,8,1e2", stated_load{3, 0, 8, {}}, false},
             load_case{"3,0,8,100%", stated_load{3, 0, 8, {}}, false},
             load_case{"3,0,8,10001", stated_load{3, 0, 8, {}}, false},
             load_case{"3,0,8,99999999999999999999999999999", stated_load{3, 0, 8, {}}, false},
             load_case{"3,0,8,130,1", {}, false},
             load_case{"3,0", {}, false},
             load_case{"", {}, false},
             load_case{",,", {}, false},
             load_case{"3,0,0", {}, false},
             load_case{"-1,0,8", {}, false},
             load_case{"3,0.5,8", {}, false},
             load_case{"3,x,8", {}, false},
             load_case{"99999999999,0,8", {}, false},
             load_case{"1000001,0,8", {}, false},
         }) {
        const std::array fields{edge::http_field{"server-load", each.value}};
        const auto notice = platform::decode_notice(200, fields);
        EXPECT_EQ(notice.load, each.load) << each.value;
        EXPECT_EQ(notice.load_not_understood.empty(), each.understood) << each.value;
        EXPECT_TRUE(notice.not_understood.empty()) << "no line is logged where speeds aren't learned";
    }
}

TEST(platform_notices, only_the_beginning_of_an_odd_load_is_quoted) {
    const std::array fields{edge::http_field{"Server-Load", std::string(100'000, '7')}};
    EXPECT_LT(platform::decode_notice(200, fields).load_not_understood.size(), 80U);
}

TEST(peer_codec, speeds_of_targets_are_kept_and_malformed_ones_refused) {
    const core::target_speed::learned_speed known{{"t1", 17}, 0.625, 12};
    const auto back = programs::gateway::decode_speed(programs::gateway::encode_speed(known));
    ASSERT_TRUE(back.has_value());
    EXPECT_EQ(back->target, known.target);
    EXPECT_EQ(back->speed, known.speed);
    EXPECT_EQ(back->samples, known.samples);
    auto odd = programs::gateway::encode_speed(known);
    for (const double speed :
         {0.0, -0.5, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
        odd.speed = speed;
        EXPECT_FALSE(programs::gateway::decode_speed(odd)) << speed;
    }
    odd.speed = 1;
    odd.samples = -1;
    EXPECT_FALSE(programs::gateway::decode_speed(odd));
}
