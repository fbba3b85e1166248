// Accepted configuration: checks of a proposed change, replay of snapshot and tail, size limits of the stored
// objects.
#include "core/acceptance/accepted_config.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace waxwinglb::core;
using acceptance::role;
using acceptance::verdict_kind;

namespace {

const acceptance::actor owner{"olga", "platform", role::owner};

acceptance::accepted_entry entry(std::int64_t revision, std::string key, std::string value) {
    return {{revision, std::move(key), std::move(value)}, {"olga", "platform", 0, {}}};
}

std::string customer(const std::string& name, double rate = 1) {
    return config::encode(config::customer{name, rate, 10, 1});
}

} // namespace

TEST(accepted_config, judging_a_change_does_not_apply_it) {
    acceptance::accepted_config accepted;
    const auto result = accepted.judge({"customer/a", customer("a"), 0, {}}, owner);
    EXPECT_EQ(result.kind, verdict_kind::accepted);
    EXPECT_EQ(accepted.revision(), 0);
    EXPECT_EQ(accepted.find("customer/a"), nullptr);
}

TEST(accepted_config, verdict_tells_which_precondition_failed) {
    acceptance::accepted_config accepted;
    accepted.apply(entry(1, "customer/a", customer("a")));
    const auto judge = [&](std::string value, std::optional<std::int64_t> expected, const char* key) {
        return accepted.judge({key, std::move(value), expected, {}}, owner).kind;
    };
    EXPECT_EQ(judge(customer("a", 2), 1, "customer/a"), verdict_kind::accepted);
    EXPECT_EQ(judge(customer("a", 2), 0, "customer/a"), verdict_kind::exists);
    EXPECT_EQ(judge(customer("a", 2), 9, "customer/a"), verdict_kind::condition_failed);
    EXPECT_EQ(judge(customer("b"), 9, "customer/b"), verdict_kind::absent);
    EXPECT_EQ(judge("", std::nullopt, "customer/b"), verdict_kind::absent);
    EXPECT_EQ(judge(customer("a"), 1, "customer/a"), verdict_kind::unchanged);
    EXPECT_EQ(judge("", 1, "customer/a"), verdict_kind::accepted);
}

TEST(acceptance_document, head_round_trips_and_malformed_heads_are_rejected) {
    acceptance::head_document head;
    head.revision = 2;
    head.snapshot = {1, 1};
    head.batches["vm-1"] = 77;
    head.entries.push_back(entry(2, "customer/a", customer("a")));
    const auto back = acceptance::decode_head(acceptance::encode(head));
    ASSERT_TRUE(back.has_value());
    EXPECT_EQ(back->entries.front().change.key, "customer/a");
    EXPECT_EQ(back->batches.at("vm-1"), 77);
    head.revision = 3; // entry 3 is missing
    EXPECT_FALSE(acceptance::decode_head(acceptance::encode(head)).has_value());
    for (const char* text :
         {"", "[]", "{}", R"({"revision":"1","entries":[]})", R"({"revision":0,"entries":{}})"})
        EXPECT_FALSE(acceptance::decode_head(text).has_value() &&
                     std::string(text) != R"({"revision":0,"entries":{}})")
            << text;
}

TEST(acceptance_document, stored_objects_stay_below_the_stores_size_limit) {
    std::vector<acceptance::accepted_entry> entries;
    const std::string value(300'000, 'x');
    for (int i = 1; i <= 5; ++i)
        entries.push_back(entry(i, "model/s/m" + std::to_string(i), value));
    const auto parts = acceptance::encode_parts(entries);
    EXPECT_GE(parts.size(), 3U);
    for (const std::string& part : parts)
        EXPECT_LT(part.size(), acceptance::max_object_bytes);
    // The largest tail that is not compacted, plus the largest batch after it.
    EXPECT_LT(acceptance::max_tail_bytes + acceptance::max_batch_bytes + 50'000,
              acceptance::max_object_bytes);
    std::vector<acceptance::audit_record> records;
    for (const auto& accepted : entries)
        records.push_back({accepted, value});
    records.resize(3);
    EXPECT_LT(acceptance::encode_audit(records).size(), acceptance::max_object_bytes);
}

RC_GTEST_PROP(accepted_config, snapshot_and_tail_restore_the_same_entries_as_all_changes, ()) {
    acceptance::accepted_config full_replay;
    acceptance::accepted_config restored;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 3)));
    const auto snapshot_step =
        static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(steps.size()) + 1));
    std::int64_t revision = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        if (i == snapshot_step) { // loads the stored snapshot, as a restarted process does
            std::vector<acceptance::accepted_entry> snapshot;
            for (const std::string& part : acceptance::encode_parts(full_replay.all())) {
                const auto decoded = acceptance::decode_part(part);
                RC_ASSERT(decoded.has_value());
                snapshot.insert(snapshot.end(), decoded->begin(), decoded->end());
            }
            restored.replace(full_replay.revision(), std::move(snapshot));
        }
        const std::string name = "c" + std::to_string(steps[i].first);
        const acceptance::proposal proposed{"customer/" + name,
                                            steps[i].second == 0 ? "" : customer(name, steps[i].second),
                                            std::nullopt,
                                            {}};
        const auto result = full_replay.judge(proposed, owner);
        if (result.kind != verdict_kind::accepted)
            continue;
        const auto applied = entry(++revision, proposed.key, result.value);
        full_replay.apply(applied);
        if (i >= snapshot_step)
            restored.apply(applied);
    }
    if (snapshot_step < steps.size()) {
        const auto left = full_replay.all();
        const auto right = restored.all();
        RC_ASSERT(left.size() == right.size());
        for (std::size_t i = 0; i < left.size(); ++i) {
            RC_ASSERT(left[i].change.key == right[i].change.key);
            RC_ASSERT(left[i].change.value == right[i].change.value);
            RC_ASSERT(left[i].change.revision == right[i].change.revision);
        }
    }
}
