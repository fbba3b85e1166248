// Configuration feed: an accepted change is applied within the bound, or the replica isn't fresh.
#include "core/config/codec.hpp"
#include "core/feed/feed.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using common::time_point;
using feed::config_feed;
using feed::feed_update;

namespace {

constexpr auto bound = 3s; // from a change's acceptance until it is applied or the replica isn't fresh

config::change customer_change(std::int64_t revision) {
    return {revision, "customer/norte",
            config::encode(config::customer{"norte", static_cast<double>(revision), 10, 1})};
}
config::change acceptor_change(std::int64_t revision, const std::string& name) {
    return {revision, "acceptor/" + name, R"({"name":")" + name + R"(","boot":7})"};
}

/// A store, two acceptors and a chain of three replicas, with network cuts between any of them.
class simulation {
public:
    explicit simulation(std::uint64_t seed) : random_(seed) {
        head_.entries = {acceptor_change(1, "a0"), acceptor_change(2, "a1")};
        head_.revision = 2;
        accepted_at_ = {{}, now_, now_};
    }
    void run(int steps) {
        for (int i = 0; i < steps; ++i) {
            now_ += std::chrono::milliseconds{pick(120)};
            step();
            for (const config_feed& replica : replicas_)
                check(replica);
        }
    }
    [[nodiscard]] bool fresh_without_store() const { return fresh_without_store_; }

private:
    struct message { // in transit; delivered late, never or more than once
        std::function<void()> deliver;
        time_point sent;
        bool max_delay_2s = false; // a link with a longer delay is closed as silent
    };
    int pick(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }

    void step() {
        const int what = pick(100);
        if (what < 2)
            store_cut_[static_cast<std::size_t>(pick(3))] ^= true; // of acceptor 0, 1 or the first replica
        else if (what < 4)
            link_cut_[static_cast<std::size_t>(pick(4))] ^= true; // 1, 2: replicas; 3: acceptors; 0: unused
        else if (what < 10)
            accept(static_cast<std::size_t>(pick(2)));
        else if (what < 25)
            ask_store();
        else if (what < 45)
            ask_peer(1 + static_cast<std::size_t>(pick(2)));
        else if (what < 60)
            report(static_cast<std::size_t>(pick(2)));
        else if (!messages_.empty())
            deliver();
    }
    void accept(std::size_t acceptor) {
        if (store_cut_[acceptor])
            return;
        ++head_.revision;
        head_.entries.push_back(customer_change(head_.revision));
        accepted_at_.push_back(now_);
        accepted_by_[acceptor] = head_.revision;
    }
    void ask_store() {
        if (store_cut_[2])
            return;
        const time_point asked = now_;
        // The store reads the head when the request arrives; the answer may take any time.
        post([this, asked] {
            const feed::config_head seen = head_;
            post([this, asked, seen] {
                replicas_[0].take_head(seen);
                replicas_[0].confirm_from_store(seen.revision, asked);
            });
        });
    }
    /// The second and third replica each ask the previous one.
    void ask_peer(std::size_t index) {
        if (link_cut_[index])
            return;
        const time_point asked = now_;
        const std::int64_t have = replicas_[index].revision();
        post([this, index, asked, have] {
            config_feed& from = replicas_[index - 1];
            const auto updates = from.updates_since(have);
            const auto left = from.fresh_until() - now_;
            const std::int64_t revision = from.revision();
            post([this, index, asked, updates, left, revision] {
                for (const feed_update& update : updates)
                    replicas_[index].take_update(update);
                if (left > 0s)
                    replicas_[index].confirm_from_peer(revision, left, asked);
            });
        });
    }
    void report(std::size_t acceptor) {
        if (link_cut_[3])
            return;
        feed::acceptor_report out;
        out.boot = 7;
        out.accepted_revision = accepted_by_[acceptor];
        out.store_unreachable = store_cut_[acceptor];
        const std::string name = "a" + std::to_string(acceptor);
        for (config_feed& replica : replicas_)
            post([this, &replica, name, out] { replica.update_acceptor(name, out, now_); }, true);
    }
    void post(std::function<void()> deliver, bool max_delay_2s = false) {
        messages_.push_back({std::move(deliver), now_, max_delay_2s});
    }
    void deliver() {
        const auto position = messages_.begin() + pick(static_cast<int>(messages_.size()));
        const message sent = *position;
        if (pick(10) != 0)
            messages_.erase(position);
        if (pick(10) != 0 && (!sent.max_delay_2s || now_ - sent.sent <= 2s))
            sent.deliver();
    }
    void check(const config_feed& replica) {
        if (!replica.fresh(now_))
            return;
        for (std::size_t revision = 1; revision < accepted_at_.size(); ++revision)
            if (now_ - accepted_at_[revision] > bound)
                RC_ASSERT(replica.revision() >= static_cast<std::int64_t>(revision));
        fresh_without_store_ = fresh_without_store_ || (store_cut_[0] && store_cut_[1] && store_cut_[2]);
    }

    std::mt19937_64 random_;
    time_point now_{1h};
    feed::config_head head_;
    std::vector<time_point> accepted_at_; // by revision
    std::array<std::int64_t, 2> accepted_by_{1, 2};
    std::array<bool, 3> store_cut_{};
    std::array<bool, 4> link_cut_{};
    std::array<config_feed, 3> replicas_;
    std::vector<message> messages_;
    bool fresh_without_store_ = false;
};

} // namespace

RC_GTEST_PROP(feed, accepted_change_is_applied_or_the_replica_is_not_fresh_under_any_cut, ()) {
    simulation all{*rc::gen::arbitrary<std::uint64_t>()};
    all.run(600);
    RC_CLASSIFY(all.fresh_without_store(), "fresh without the store");
}

TEST(feed, store_and_acceptors_confirm_freshness_and_older_updates_are_ignored) {
    const time_point start{1h};
    config_feed replica;
    EXPECT_FALSE(replica.fresh(start));
    feed::config_head head;
    head.revision = 2;
    head.entries = {acceptor_change(1, "a0"), customer_change(2)};
    ASSERT_EQ(replica.take_head(head), feed::head_result::current);
    replica.confirm_from_store(2, start);
    EXPECT_TRUE(replica.fresh(start + 1999ms));
    EXPECT_FALSE(replica.fresh(start + 2000ms));
    replica.update_acceptor("a0", {7, 1, true}, start + 5s);
    EXPECT_TRUE(replica.fresh(start + 5999ms)) << "every acceptor has reported that it can't reach the store";
    replica.update_acceptor("a0", {7, 3, true}, start + 5s);
    EXPECT_FALSE(replica.fresh(start + 5s)) << "it may have accepted a change that is missing here";
    replica.update_acceptor("a0", {7, 1, false}, start + 5s);
    EXPECT_FALSE(replica.fresh(start + 5s)) << "it reaches the store";
    replica.update_acceptor("a0", {8, 1, true}, start + 5s);
    EXPECT_FALSE(replica.fresh(start + 5s)) << "its boot number is not the one in force";
    EXPECT_EQ(replica.take_update({0, 1, {acceptor_change(1, "a0")}, 0, 1}), config::apply_result::old);
    EXPECT_EQ(replica.revision(), 2);
}

TEST(feed, head_after_a_snapshot_needs_the_snapshot_and_subscribers_get_missing_changes) {
    config_feed replica;
    feed::config_head head;
    head.base = 5;
    head.parts = 1;
    head.revision = 6;
    head.entries = {customer_change(6)};
    ASSERT_EQ(replica.take_head(head), feed::head_result::needs_snapshot);
    ASSERT_TRUE(replica.take_snapshot(5, {acceptor_change(5, "a0")}));
    ASSERT_EQ(replica.take_head(head), feed::head_result::current);
    EXPECT_TRUE(replica.updates_since(6).empty());
    ASSERT_EQ(replica.updates_since(5).size(), 1U);
    EXPECT_EQ(replica.updates_since(5)[0].from, 5);
    ASSERT_EQ(replica.updates_since(3).size(), 1U);
    EXPECT_EQ(replica.updates_since(3)[0].from, 0) << "a snapshot";
    config_feed other;
    EXPECT_EQ(other.take_update(replica.updates_since(0)[0]), config::apply_result::applied);
    EXPECT_EQ(other.state().customers.at("norte").tokens_per_second, 6);
}

TEST(feed, malformed_heads_are_refused) {
    for (const char* text : {"", "[]", "{}", R"({"revision":1})", R"({"revision":2,"entries":[]})",
                             R"({"revision":1,"entries":[{"revision":2,"key":"k","value":""}]})"})
        EXPECT_FALSE(feed::decode_head(text).has_value()) << text;
}
