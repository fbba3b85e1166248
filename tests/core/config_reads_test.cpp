// When a gateway reads the configuration from a peer: never twice at once, however long a slow link takes.
#include "core/membership/config_reads.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb;
using namespace std::chrono_literals;
using core::common::time_point;
using core::membership::config_reads;

namespace {

constexpr time_point start{100s};
constexpr bool store_answers = true;

} // namespace

TEST(config_reads, a_read_under_way_is_the_only_one_however_long_it_takes) {
    config_reads reads;
    reads.note_newer(5, start);
    ASSERT_TRUE(reads.due("p1", !store_answers, start));
    reads.begin("p1");
    for (auto now = start; now < start + 10s; now += 200ms) {
        reads.note_newer(5, now);
        EXPECT_FALSE(reads.due("p2", !store_answers, now));
    }
}

TEST(config_reads, the_store_has_its_time_from_the_first_version_that_it_did_not_bring) {
    config_reads reads;
    reads.note_newer(5, start);
    reads.note_newer(6, start + 500ms);
    reads.note_in_force(4);
    EXPECT_FALSE(reads.due("p1", store_answers, start + 900ms));
    EXPECT_TRUE(reads.due("p1", store_answers, start + 1s));
    reads.note_in_force(5);
    EXPECT_FALSE(reads.due("p1", store_answers, start + 1s)) << "version 6 has its own time";
    EXPECT_TRUE(reads.due("p1", store_answers, start + 1500ms)) << "version 5 in force must not extend it";
    reads.note_in_force(6);
    EXPECT_FALSE(reads.due("p1", !store_answers, start + 2s));
}

TEST(config_reads, a_failed_read_is_repeated_soon_at_another_peer) {
    config_reads reads;
    reads.note_newer(5, start);
    reads.begin("p1");
    reads.end(false, start);
    EXPECT_FALSE(reads.due("p2", !store_answers, start));
    EXPECT_TRUE(reads.due("p2", !store_answers, start + config_reads::min_retry_delay));
    EXPECT_FALSE(reads.due("p1", !store_answers, start + config_reads::min_retry_delay));
    EXPECT_TRUE(reads.due("p1", !store_answers, start + 2s)) << "the only peer that has it is asked again";
}

TEST(config_reads, reads_that_go_on_failing_use_up_ever_less_of_the_link) {
    config_reads reads;
    reads.note_newer(5, start);
    int begun = 0;
    for (auto now = start; now < start + 8s; now += 50ms) {
        const std::string peer = begun % 2 == 0 ? "p1" : "p2";
        if (!reads.due(peer, !store_answers, now))
            continue;
        ++begun;
        reads.begin(peer);
        reads.end(false, now);
    }
    EXPECT_GT(begun, 8);
    EXPECT_LT(begun, 14);
}
