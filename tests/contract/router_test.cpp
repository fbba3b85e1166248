// Contract tests of the router's copy of the configuration and of its answers to callers.
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

/// A feed with one steward whose link counts as open. No thread runs, so no message is sent.
struct fed_router {
    fed_router() {
        settings.data_centre = "cerro";
        settings.stewards = {"127.0.0.1:1"};
        stewards.start();
        edge::link_event opened;
        opened.kind = edge::link_event_kind::opened;
        opened.link = steward;
        opened.peer.__set_data_centre("cerro");
        stewards.handle_opened(opened);
        feed.tick(start);
    }
    void update(std::int64_t from, std::int64_t to, const std::string& key, const std::string& value,
                int part = 0, int parts = 1) {
        wire::config_entry entry;
        entry.__set_revision(to);
        entry.__set_key(key);
        entry.__set_value(value);
        wire::config_update update;
        update.__set_from_revision(from);
        update.__set_revision(to);
        update.entries.push_back(entry);
        update.__set_part(part);
        update.__set_parts(parts);
        feed.handle_update(steward, update);
    }
    void confirm(std::int64_t request, std::int64_t revision, core::common::time_point now) {
        wire::config_fresh message;
        message.__set_revision(revision);
        message.__set_fresh_ms(2'000);
        feed.handle_fresh(steward, request, message, now);
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

TEST(config_feed, freshness_counts_from_sending_the_request_not_from_reading_the_answer) {
    fed_router router;
    router.update(0, 1, "customer/norte", customer("norte"));
    router.confirm(1, 1, start + 3s); // answered in time, but read after a pause
    EXPECT_FALSE(router.feed.fresh(start + 3s));
    router.feed.tick(start + 3s); // sends request 2
    router.confirm(2, 1, start + 3s + 10ms);
    EXPECT_TRUE(router.feed.fresh(start + 3s + 10ms));
    EXPECT_FALSE(router.feed.fresh(start + 5s));
    router.confirm(77, 1, start + 6s);
    EXPECT_FALSE(router.feed.fresh(start + 6s)) << "matches no request of this process";
}

TEST(config_feed, confirmation_of_a_newer_revision_does_not_refresh_an_older_copy) {
    fed_router router;
    router.update(0, 1, "customer/norte", customer("norte"));
    router.confirm(1, 2, start);
    EXPECT_FALSE(router.feed.fresh(start));
}

TEST(config_feed, older_snapshot_is_ignored) {
    fed_router router;
    router.update(0, 5, "customer/norte", customer("norte"));
    router.update(0, 4, "customer/sur", customer("sur"));
    EXPECT_EQ(router.feed.state().revision, 5);
    EXPECT_TRUE(router.feed.state().customers.contains("norte"));
}

TEST(config_feed, snapshot_in_parts_is_applied_whole_or_not_at_all) {
    fed_router router;
    router.update(0, 3, "customer/norte", customer("norte"), 0, 3);
    router.update(0, 3, "customer/sur", customer("sur"), 1, 3);
    EXPECT_EQ(router.feed.state().revision, 0);
    router.update(0, 3, "customer/este", customer("este"), 2, 3);
    EXPECT_EQ(router.feed.state().customers.size(), 3U);
    fed_router incomplete;
    incomplete.update(0, 3, "customer/norte", customer("norte"), 0, 3);
    incomplete.update(0, 3, "customer/este", customer("este"), 2, 3); // part 1 is missing
    EXPECT_EQ(incomplete.feed.state().revision, 0);
}

TEST(answers, problem_has_code_run_state_and_retry_after_in_whole_seconds) {
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

TEST(answers, invalid_utf8_of_a_target_becomes_valid_json) {
    const auto response = completion_response({"r-1", "m", 0, 1, 1, "stop"}, "caf\xc3 \xff");
    EXPECT_TRUE(nlohmann::json::accept(response.body));
}
