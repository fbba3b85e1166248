// Claim log over a store that fails, loses answers and executes writes late, with several logs (deposed
// holders, restarts) on the same objects.
#include "core/claims/claim_log.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using claims::answer;
using claims::answer_kind;
using claims::claim;
using claims::claim_log;
using claims::claim_state;
using claims::step;
using claims::step_kind;
using claims::store_result;
using common::time_point;

namespace {

constexpr auto wall_start = common::unix_time{} + 1'700'000'000s;

claim make_claim(const std::string& key, const std::string& request, const std::string& fingerprint = "f") {
    claim out;
    out.key = key;
    out.request_id = request;
    out.attempt = 1;
    out.fingerprint = fingerprint;
    return out;
}

struct stored_object {
    common::store_position version;
    std::string body;
};

/// The objects claims/SHARD/... of the platform's store.
struct fake_store {
    std::int64_t last_revision = 0;
    stored_object head;
    std::map<std::int64_t, stored_object> segments;

    store_result put(stored_object& object, common::store_position if_version, const std::string& body) {
        if (object.version != if_version)
            return store_result::conflict;
        object = {{0, ++last_revision}, body};
        return store_result::ok;
    }
    store_result execute(const step& what, common::store_position& version, std::string& body) {
        const auto read = [&](const stored_object& object) {
            version = object.version;
            body = object.body;
            return object.version.revision == 0 ? store_result::absent : store_result::ok;
        };
        store_result out = store_result::ok;
        switch (what.kind) {
        case step_kind::read_head:
            return read(head);
        case step_kind::read_segment:
            return read(segments[what.segment]);
        case step_kind::write_head:
            out = put(head, what.if_version, what.body);
            version = head.version;
            return out;
        case step_kind::create_segment:
            return put(segments[what.segment], {}, what.body);
        case step_kind::remove_segment:
            segments.erase(what.segment);
            return out;
        }
        return out;
    }
};

void report_result(claim_log& log, step_kind kind, store_result result, common::store_position version,
                   const std::string& body, time_point now) {
    switch (kind) {
    case step_kind::read_head:
        return log.head_read(result, version, body, now);
    case step_kind::read_segment:
        return log.segment_read(result, body, now);
    case step_kind::write_head:
        return log.head_written(result, version, now);
    case step_kind::create_segment:
        return log.segment_created(result, now);
    case step_kind::remove_segment:
        return;
    }
}

/// One log with a store that answers at once.
struct log_with_store {
    fake_store store;
    claim_log log;
    time_point now{1h};
    common::unix_time wall = wall_start;
    int writes = 0;

    explicit log_with_store(claims::claim_options options = {}) : log(options) {}
    std::vector<answer> settle() {
        while (const auto next = log.next_step(now, wall)) {
            common::store_position version;
            std::string body;
            const store_result result = store.execute(*next, version, body);
            writes += next->kind == step_kind::write_head ? 1 : 0;
            report_result(log, next->kind, result, version, body, now);
        }
        return log.take_answers();
    }
    answer ask(const claim& requested) {
        log.claim_key(1, requested, 10s, now);
        const auto answers = settle();
        EXPECT_EQ(answers.size(), 1U);
        return answers.empty() ? answer{} : answers.front();
    }
    void note(claim outcome, claim_state state) {
        outcome.state = state;
        log.record_outcome(2, outcome, now);
        settle();
    }
};

/// Several logs, routers that send them questions, and a network that loses, delays and reorders messages.
class simulation {
public:
    explicit simulation(std::uint64_t seed) : random_(seed) {
        options_.seal_bytes = 600; // a few records
        for (int i = 0; i < 3; ++i)
            logs_.push_back(std::make_unique<log_entry>(claim_log{options_}));
    }
    void run(int steps) {
        for (int i = 0; i < steps; ++i) {
            now_ += std::chrono::milliseconds{pick(60)};
            step_once();
        }
        check_stored_outcomes();
    }
    [[nodiscard]] int granted() const { return granted_; }
    [[nodiscard]] bool sealed() const { return !store_.segments.empty(); }

private:
    struct request {
        claim record;
        bool granted = false;                    // its router received the grant and runs it
        bool abandoned = false;                  // its router will never run it
        std::optional<claim_state> sent_outcome; // outcome that its router reports
        bool outcome_stored = false;             // that outcome was acknowledged
    };
    struct log_entry {
        explicit log_entry(claim_log made) : log(std::move(made)) {}
        claim_log log;
        std::optional<step> in_flight;
    };
    /// A write that reaches the store at any later time.
    struct delayed_write {
        step what;
    };

    int pick(int below) { return static_cast<int>(random_() % static_cast<unsigned>(below)); }

    void step_once() {
        const int action = pick(100);
        if (action < 1)
            outage_ = !outage_ && pick(2) == 0;
        else if (action < 3)
            logs_[index()] = std::make_unique<log_entry>(claim_log{options_}); // crash and restart
        else if (action < 20)
            ask();
        else if (action < 30)
            send_outcome();
        else if (action < 35)
            deliver_delayed();
        else
            advance(*logs_[index()]);
    }
    std::size_t index() { return static_cast<std::size_t>(pick(static_cast<int>(logs_.size()))); }

    void ask() {
        const bool again = !requests_.empty() && pick(3) == 0;
        if (!again) {
            const std::string key = "key" + std::to_string(pick(4));
            requests_.push_back(
                {make_claim(key, "r" + std::to_string(requests_.size())), false, false, {}, false});
        }
        const std::size_t which =
            again ? static_cast<std::size_t>(pick(static_cast<int>(requests_.size()))) : requests_.size() - 1;
        if (requests_[which].abandoned || requests_[which].granted)
            return;
        logs_[index()]->log.claim_key(2 * which, requests_[which].record,
                                      std::chrono::milliseconds{50 + pick(3'000)}, now_);
    }
    void send_outcome() {
        if (requests_.empty())
            return;
        const auto which = static_cast<std::size_t>(pick(static_cast<int>(requests_.size())));
        request& sender = requests_[which];
        if (!sender.sent_outcome && sender.granted)
            sender.sent_outcome =
                std::array{claim_state::done, claim_state::unknown, claim_state::not_run}.at(
                    static_cast<std::size_t>(pick(3)));
        else if (!sender.sent_outcome && pick(2) == 0)
            sender.sent_outcome = claim_state::not_run; // it gave up before it was granted
        if (!sender.sent_outcome)
            return;
        sender.abandoned = sender.abandoned || *sender.sent_outcome == claim_state::not_run;
        claim outcome = sender.record;
        outcome.state = *sender.sent_outcome;
        outcome.answer = sender.record.request_id;
        logs_[index()]->log.record_outcome(2 * which + 1, outcome, now_);
    }

    void advance(log_entry& entry) {
        if (entry.in_flight) {
            finish(entry);
        } else {
            entry.in_flight = entry.log.next_step(now_, wall_start);
            if (entry.in_flight && entry.in_flight->kind == step_kind::remove_segment)
                finish(entry);
        }
        for (const answer& reply : entry.log.take_answers())
            handle_answer(reply);
    }
    /// Ends the step in flight: it reaches the store, is lost or is delayed, and its answer may be lost.
    void finish(log_entry& entry) {
        const step sent = *entry.in_flight;
        entry.in_flight.reset();
        const bool writes = sent.kind == step_kind::write_head || sent.kind == step_kind::create_segment;
        const int delivery = outage_ ? pick(3) : pick(12);
        common::store_position version;
        std::string body;
        if (delivery == 0)
            return report_result(entry.log, sent.kind, store_result::failed, {}, {}, now_);
        if (delivery == 1) { // lost or delayed on the way to the store
            if (writes && pick(2) == 0)
                delayed_.push_back({sent});
            return report_result(entry.log, sent.kind, writes ? store_result::unknown : store_result::failed,
                                 {}, {}, now_);
        }
        if (outage_ && !writes)
            return report_result(entry.log, sent.kind, store_result::failed, {}, {}, now_);
        const store_result result = store_.execute(sent, version, body);
        if (delivery == 2) // the answer is lost after it took effect
            return report_result(entry.log, sent.kind, writes ? store_result::unknown : store_result::failed,
                                 {}, {}, now_);
        report_result(entry.log, sent.kind, result, version, body, now_);
    }
    void deliver_delayed() {
        if (delayed_.empty())
            return;
        const auto which = delayed_.begin() + pick(static_cast<int>(delayed_.size()));
        common::store_position version;
        std::string body;
        store_.execute(which->what, version, body);
        delayed_.erase(which);
    }

    void handle_answer(const answer& reply) {
        request& to = requests_[reply.to / 2];
        if (reply.to % 2 == 1) {
            to.outcome_stored = to.outcome_stored || reply.kind == answer_kind::outcome_stored;
            return;
        }
        if (reply.kind == answer_kind::granted && !to.abandoned) {
            for (const request& other : requests_)
                RC_ASSERT(&other == &to || other.record.key != to.record.key || !other.granted ||
                          other.abandoned);
            granted_ += to.granted ? 0 : 1;
            to.granted = true;
        }
        if (reply.kind == answer_kind::existing)
            check_known_record(reply.record);
    }
    /// The state of an earlier request must be the one its own router reported, or `running`.
    void check_known_record(const claim& record) {
        const auto owner = std::find_if(requests_.begin(), requests_.end(), [&](const request& asked) {
            return asked.record.request_id == record.request_id;
        });
        RC_ASSERT(owner != requests_.end());
        if (record.state == claim_state::running)
            return;
        RC_ASSERT(owner->sent_outcome == record.state);
        RC_ASSERT(record.answer == record.request_id);
    }
    /// A new holder must find each acknowledged outcome `done`.
    void check_stored_outcomes() {
        log_with_store fresh;
        fresh.store = store_;
        for (const request& asked : requests_)
            if (asked.granted && asked.outcome_stored && asked.sent_outcome == claim_state::done) {
                const answer found = fresh.ask(make_claim(asked.record.key, "late caller"));
                RC_ASSERT(found.kind == answer_kind::existing);
                RC_ASSERT(found.record.request_id == asked.record.request_id);
                RC_ASSERT(found.record.state == claim_state::done);
            }
    }

    std::mt19937_64 random_;
    claims::claim_options options_;
    time_point now_{1h};
    bool outage_ = false;
    fake_store store_;
    std::vector<std::unique_ptr<log_entry>> logs_;
    std::vector<request> requests_;
    std::vector<delayed_write> delayed_;
    int granted_ = 0;
};

} // namespace

RC_GTEST_PROP(claims, key_is_granted_to_one_request_unless_the_earlier_one_did_not_run, ()) {
    simulation all{*rc::gen::arbitrary<std::uint64_t>()};
    all.run(800);
    RC_CLASSIFY(all.granted() >= 4, "4 grants");
    RC_CLASSIFY(all.sealed(), "sealed");
}

TEST(claims, repeated_key_returns_the_stored_claim) {
    log_with_store holder;
    EXPECT_EQ(holder.ask(make_claim("k", "r1")).kind, answer_kind::granted);
    EXPECT_EQ(holder.ask(make_claim("k", "r1")).kind, answer_kind::granted) << "the same question again";
    EXPECT_EQ(holder.ask(make_claim("k", "r2")).kind, answer_kind::existing);
    EXPECT_EQ(holder.ask(make_claim("k", "r2", "other body")).kind, answer_kind::mismatch);
    claim done = make_claim("k", "r1");
    done.status = 201;
    done.answer = std::string("folio 17\0\xff", 10);
    holder.note(done, claim_state::done);
    const answer later = holder.ask(make_claim("k", "r3"));
    EXPECT_EQ(later.kind, answer_kind::existing);
    EXPECT_EQ(later.record.state, claim_state::done);
    EXPECT_EQ(later.record.status, 201);
    EXPECT_EQ(later.record.answer, done.answer);
}

TEST(claims, not_run_may_be_claimed_by_another_request_but_not_by_a_late_copy) {
    log_with_store holder;
    ASSERT_EQ(holder.ask(make_claim("k", "r1")).kind, answer_kind::granted);
    holder.note(make_claim("k", "r1"), claim_state::not_run);
    EXPECT_EQ(holder.ask(make_claim("k", "r1")).kind, answer_kind::existing) << "its router has given up";
    EXPECT_EQ(holder.ask(make_claim("k", "r2")).kind, answer_kind::granted);
    holder.note(make_claim("k", "r1"), claim_state::done); // r2 owns the key now
    EXPECT_EQ(holder.ask(make_claim("k", "r3")).record.request_id, "r2");
}

TEST(claims, less_definite_outcome_never_replaces_a_more_definite_one) {
    log_with_store holder;
    holder.ask(make_claim("k", "r1"));
    holder.note(make_claim("k", "r1"), claim_state::done);
    for (const claim_state late : {claim_state::unknown, claim_state::not_run, claim_state::running})
        holder.note(make_claim("k", "r1"), late);
    EXPECT_EQ(holder.ask(make_claim("k", "r2")).record.state, claim_state::done);
}

TEST(claims, waiting_questions_share_one_write) {
    log_with_store holder;
    for (int i = 0; i < 200; ++i)
        holder.log.claim_key(static_cast<claims::ticket>(i), make_claim("k" + std::to_string(i), "r"), 10s,
                             holder.now);
    EXPECT_EQ(holder.settle().size(), 200U);
    EXPECT_EQ(holder.writes, 1);
}

TEST(claims, full_head_is_sealed_and_a_new_holder_finds_all_claims) {
    log_with_store holder;
    constexpr int count = 600;
    for (int i = 0; i < count; ++i)
        ASSERT_EQ(holder.ask(make_claim("k" + std::to_string(i), "r")).kind, answer_kind::granted);
    EXPECT_GE(holder.store.segments.size(), 2U);
    EXPECT_LT(holder.store.head.body.size(), 128U << 10U);
    log_with_store next;
    next.store = holder.store;
    for (int i = 0; i < count; ++i)
        ASSERT_EQ(next.ask(make_claim("k" + std::to_string(i), "other")).kind, answer_kind::existing) << i;
}

TEST(claims, crash_between_segment_and_head_neither_loses_nor_duplicates_claims) {
    claims::claim_options options;
    options.seal_bytes = 1'000;
    log_with_store holder{options};
    for (int i = 0; i < 4; ++i)
        holder.ask(make_claim("k" + std::to_string(i), "r"));
    holder.log.claim_key(9, make_claim("k4", "r"), 10s, holder.now);
    for (const step_kind expected : {step_kind::write_head, step_kind::create_segment}) {
        const std::optional<step> what = holder.log.next_step(holder.now, holder.wall);
        ASSERT_TRUE(what && what->kind == expected);
        common::store_position version;
        std::string body;
        const store_result result = holder.store.execute(*what, version, body);
        report_result(holder.log, what->kind, result, version, body, holder.now);
    } // the holder crashes here
    log_with_store next{options};
    next.store = holder.store;
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(next.ask(make_claim("k" + std::to_string(i), "other")).kind, answer_kind::existing);
    EXPECT_EQ(next.ask(make_claim("k9", "r2")).kind, answer_kind::granted);
    const auto head = claims::decode_log_head(next.store.head.body);
    ASSERT_TRUE(head.has_value());
    EXPECT_EQ(head->segments, (std::vector<std::int64_t>{2})) << "segment 1 of the crashed holder is skipped";
    EXPECT_FALSE(next.store.segments.contains(1)) << "the unnamed segment is deleted";
}

TEST(claims, segments_are_deleted_after_the_retention) {
    claims::claim_options options;
    options.seal_bytes = 1'000;
    log_with_store holder{options};
    for (int i = 0; i < 6; ++i)
        holder.ask(make_claim("k" + std::to_string(i), "r"));
    ASSERT_FALSE(holder.store.segments.empty());
    holder.wall += 24h + 1s;
    EXPECT_EQ(holder.ask(make_claim("new", "r")).kind, answer_kind::granted);
    holder.ask(make_claim("new2", "r"));
    const auto head = claims::decode_log_head(holder.store.head.body);
    for (const auto& [segment, object] : holder.store.segments)
        EXPECT_NE(std::find(head->segments.begin(), head->segments.end(), segment), head->segments.end());
    EXPECT_LE(head->segments.size(), 1U);
}

TEST(claims, unreachable_store_fails_questions_at_once) {
    log_with_store holder;
    holder.log.claim_key(1, make_claim("k", "r"), 10s, holder.now);
    ASSERT_TRUE(holder.log.next_step(holder.now, holder.wall).has_value());
    holder.log.head_read(store_result::failed, {}, {}, holder.now);
    holder.log.claim_key(2, make_claim("k2", "r"), 10s, holder.now);
    const auto answers = holder.log.take_answers();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].to, 2U);
    EXPECT_EQ(answers[0].kind, answer_kind::unavailable);
}

TEST(claims, malformed_head_fails_questions_instead_of_being_overwritten) {
    log_with_store holder;
    holder.store.head = {{0, 3}, "{\"records\":"};
    holder.log.claim_key(1, make_claim("k", "r"), 10s, holder.now);
    EXPECT_TRUE(holder.settle().empty());
    holder.now += 3s;
    const auto answers = holder.settle();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].kind, answer_kind::unavailable);
    EXPECT_EQ(holder.store.head.version.revision, 3);
}
