// Contract tests of the router's copy of the configuration and of what its callers' side reads and answers.
#include "core/config/codec.hpp"
#include "programs/router/answers.hpp"
#include "programs/router/feed.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace waxwinglb;
using namespace waxwinglb::programs::router;
using namespace std::chrono_literals;

namespace {

const core::common::time_point start = core::common::time_point{} + 1h;

/// A feed with one steward whose link is open; nothing runs, so nothing is really sent.
struct fed_router {
    fed_router() {
        settings.data_centre = "cerro";
        settings.stewards = {"127.0.0.1:1"};
        stewards.start();
        edge::link_event opened;
        opened.kind = edge::link_event_kind::opened;
        opened.link = steward;
        opened.peer.__set_data_centre("cerro");
        stewards.opened(opened);
        feed.tick(start);
    }
    void update(std::int64_t from, std::int64_t to, const std::string& key, const std::string& value,
                int part = 0, int parts = 1) {
        wire::config_entry entry;
        entry.__set_revision(to);
        entry.__set_key(key);
        entry.__set_value(value);
        wire::config_update out;
        out.__set_from_revision(from);
        out.__set_revision(to);
        out.entries.push_back(entry);
        out.__set_part(part);
        out.__set_parts(parts);
        feed.updated(steward, out);
    }
    void vouch(std::int64_t question, std::int64_t revision, core::common::time_point now) {
        wire::config_fresh told;
        told.__set_revision(revision);
        told.__set_fresh_ms(2'000);
        feed.vouched(steward, question, told, now);
    }
    static constexpr edge::link_id steward = 1; // the hub's first link
    edge::program_context context;
    router_settings settings;
    edge::link_hub links{{}, [](edge::link_event&&) {}};
    steward_directory stewards{links, settings};
    config_feed feed{links, stewards, context};
};

std::string customer(const std::string& name) {
    return core::config::encode(core::config::customer{name, 10, 10, 1});
}

} // namespace

TEST(config_feed, trust_counts_from_the_question_not_from_the_reading) {
    fed_router one;
    one.update(0, 1, "customer/norte", customer("norte"));
    one.vouch(1, 1, start + 3s); // answered in time, but read after a pause
    EXPECT_FALSE(one.feed.fresh(start + 3s));
    one.feed.tick(start + 3s); // asks again: question 2
    one.vouch(2, 1, start + 3s + 10ms);
    EXPECT_TRUE(one.feed.fresh(start + 3s + 10ms));
    EXPECT_FALSE(one.feed.fresh(start + 5s));
    one.vouch(77, 1, start + 6s);
    EXPECT_FALSE(one.feed.fresh(start + 6s)) << "answers no question of this process";
}

TEST(config_feed, vouching_for_a_newer_revision_makes_an_old_copy_no_fresher) {
    fed_router one;
    one.update(0, 1, "customer/norte", customer("norte"));
    one.vouch(1, 2, start);
    EXPECT_FALSE(one.feed.fresh(start));
}

TEST(config_feed, older_snapshot_of_another_peer_changes_nothing) {
    fed_router one;
    one.update(0, 5, "customer/norte", customer("norte"));
    one.update(0, 4, "customer/sur", customer("sur"));
    EXPECT_EQ(one.feed.state().revision, 5);
    EXPECT_TRUE(one.feed.state().customers.contains("norte"));
}

TEST(config_feed, snapshot_in_parts_is_applied_whole_or_not_at_all) {
    fed_router one;
    one.update(0, 3, "customer/norte", customer("norte"), 0, 3);
    one.update(0, 3, "customer/sur", customer("sur"), 1, 3);
    EXPECT_EQ(one.feed.state().revision, 0);
    one.update(0, 3, "customer/este", customer("este"), 2, 3);
    EXPECT_EQ(one.feed.state().customers.size(), 3U);
    fed_router other;
    other.update(0, 3, "customer/norte", customer("norte"), 0, 3);
    other.update(0, 3, "customer/este", customer("este"), 2, 3); // part 1 is missing
    EXPECT_EQ(other.feed.state().revision, 0);
}

TEST(answers, problems_carry_code_truth_and_whole_seconds) {
    core::routing::ending end;
    end.reason = core::routing::end_reason::rate_limited;
    end.retry_after = 1'200ms;
    const auto response = to_response(describe_end(end, "r-1"));
    EXPECT_EQ(response.status, 429);
    const auto body = nlohmann::json::parse(response.body);
    EXPECT_EQ(body["code"], "rate_limited");
    EXPECT_EQ(body["ran"], "not_run");
    EXPECT_EQ(body["request_id"], "r-1");
    EXPECT_EQ(response.headers.back().name, "Retry-After");
    EXPECT_EQ(response.headers.back().value, "2");
}

TEST(answers, broken_text_of_a_target_stays_valid_json) {
    const auto response = completion_response({"r-1", "m", 0, 1, 1, "stop"}, "caf\xc3 \xff");
    EXPECT_TRUE(nlohmann::json::accept(response.body));
}
