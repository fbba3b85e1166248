// The client ledger: exact sums over any order of events, room for small requests, whom to close when memory
// or connections are short.
#include "core/ingress/client_ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

using namespace waxwinglb;
using namespace core::ingress;
using core::common::milliseconds;
using core::common::time_point;

namespace {

constexpr std::size_t memory = 1'000'000;
constexpr ledger_limits limits{memory, 20, milliseconds{1'000}};
constexpr auto all = [](connection_id) { return true; };

time_point at(int ms) {
    return time_point{} + milliseconds{100'000 + ms};
}

/// What the ledger must know, kept in the simplest way.
struct model_connection {
    peer_address peer = 0;
    phase now = phase::idle;
    std::map<part, std::size_t> parts;
    std::optional<std::pair<part, std::size_t>> waits;
    [[nodiscard]] std::size_t held() const {
        std::size_t out = connection_cost;
        for (const auto& [what, bytes] : parts)
            out += bytes;
        return out;
    }
};

class ledger_model {
public:
    client_ledger ledger{limits};
    std::map<connection_id, model_connection> connections;
    int clock = 0;

    void step(int kind, std::uint32_t a, std::uint32_t b) {
        clock += static_cast<int>(b % 300);
        const time_point now = at(clock);
        const auto chosen = choose(a);
        const auto what = static_cast<part>(b % 3);
        const std::size_t bytes = b % 4 == 0 ? 0 : b % 5 == 0 ? b % 700'000 : b % 100'000;
        switch (kind) {
        case 0:
        case 1:
            return opened(ledger.open(a % 4, now), a % 4);
        case 2:
            if (chosen != 0)
                closed(chosen);
            return;
        case 3:
            return hold(chosen, what, bytes);
        case 4:
        case 5:
            return reserve(chosen, what, bytes, now);
        case 6:
            ledger.stop_waiting(chosen);
            if (connections.contains(chosen))
                connections[chosen].waits.reset();
            return;
        case 7:
            return grant();
        case 8:
            ledger.enter(chosen, static_cast<phase>(b % 4), now);
            if (connections.contains(chosen))
                connections[chosen].now = static_cast<phase>(b % 4);
            return;
        case 9:
            ledger.note_received(chosen, b % 10'000, now);
            return ledger.note_taken(chosen, b % 10'000, now);
        case 10:
            ledger.observe(now);
            if (const auto id = ledger.choose_stalled(now)) {
                RC_ASSERT(ledger.is_short());
                expect_closable(*id);
                closed(*id);
            }
            return;
        default:
            if (const auto id = ledger.choose_evicted(now, all)) {
                expect_closable(*id);
                closed(*id);
            }
            for (const auto id : ledger.overdue_requests(now))
                RC_ASSERT(connections.at(id).waits && connections.at(id).now == phase::reading);
        }
    }

    void check() const {
        std::size_t held = 0;
        std::size_t waiting = 0;
        std::map<peer_address, client_ledger::address_use> uses;
        for (const auto& [id, each] : connections) {
            held += each.held();
            waiting += each.waits ? 1 : 0;
            ++uses[each.peer].connections;
            uses[each.peer].bytes += each.held();
            RC_ASSERT(ledger.held_by(id) == each.held());
            RC_ASSERT(ledger.waits(id) == each.waits.has_value());
        }
        RC_ASSERT(ledger.held() == held);
        RC_ASSERT(ledger.waiting() == waiting);
        RC_ASSERT(ledger.connections() == connections.size());
        for (peer_address peer = 0; peer < 4; ++peer) {
            RC_ASSERT(ledger.use_of(peer).bytes == uses[peer].bytes);
            RC_ASSERT(ledger.use_of(peer).connections == uses[peer].connections);
        }
    }

private:
    [[nodiscard]] connection_id choose(std::uint32_t number) const {
        if (connections.empty() || number % 50 == 0)
            return 999'999; // unknown to the ledger
        return std::next(connections.begin(), static_cast<std::ptrdiff_t>(number % connections.size()))
            ->first;
    }
    void opened(connection_id id, peer_address peer) {
        RC_ASSERT(!connections.contains(id));
        connections[id].peer = peer;
    }
    void closed(connection_id id) {
        ledger.close(id);
        connections.erase(id);
    }
    void hold(connection_id id, part what, std::size_t bytes) {
        ledger.hold(id, what, bytes);
        if (const auto found = connections.find(id); found != connections.end()) {
            found->second.parts[what] = bytes;
            if (found->second.waits && found->second.waits->first == what)
                found->second.waits.reset();
        }
    }
    void reserve(connection_id id, part what, std::size_t bytes, time_point now) {
        const bool granted = ledger.reserve(id, what, bytes, now);
        const auto found = connections.find(id);
        RC_ASSERT(found != connections.end() || !granted);
        if (found == connections.end())
            return;
        if (!granted) {
            found->second.waits = {what, bytes};
            return;
        }
        expect_room(found->second, what, bytes);
        found->second.parts[what] = bytes;
        found->second.waits.reset();
    }
    void grant() {
        for (const auto id : ledger.take_granted()) {
            auto& each = connections.at(id);
            RC_ASSERT(each.waits.has_value());
            each.parts[each.waits->first] = each.waits->second;
            each.waits.reset();
        }
    }
    /// A large amount is never granted from the memory that is kept for small requests.
    void expect_room(const model_connection& each, part what, std::size_t bytes) const {
        const auto before = each.parts.contains(what) ? each.parts.at(what) : 0;
        if (bytes <= before || bytes <= small_amount)
            return;
        RC_ASSERT(ledger.held() <= (what == part::answer ? memory - memory / 8 : memory - memory / 4));
    }
    /// Nothing is closed that runs, unless its client leaves answer bytes unread.
    void expect_closable(connection_id id) const {
        const auto& each = connections.at(id);
        const bool unread = each.parts.contains(part::unread) && each.parts.at(part::unread) > 0;
        RC_ASSERT(each.now != phase::open || unread);
    }
};

} // namespace

RC_GTEST_PROP(client_ledger, sums_are_exact_over_any_order_of_events,
              (const std::vector<std::tuple<std::uint8_t, std::uint32_t, std::uint32_t>>& steps)) {
    ledger_model model;
    for (const auto& [kind, a, b] : steps) {
        model.step(kind % 12, a, b);
        model.check();
    }
}

RC_GTEST_PROP(client_ledger, sums_are_exact_over_long_runs, (std::uint32_t seed)) {
    ledger_model model;
    std::uint64_t random = seed;
    const auto next = [&] {
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<std::uint32_t>(random >> 33U);
    };
    for (int i = 0; i < 300; ++i) {
        const auto kind = next();
        const auto a = next();
        model.step(static_cast<int>(kind % 12), a, next());
        model.check();
    }
}

TEST(client_ledger, small_requests_have_room_when_large_ones_take_their_whole_share) {
    client_ledger ledger{limits};
    const auto large = ledger.open(1, at(0));
    ASSERT_TRUE(ledger.reserve(large, part::request, 740'000, at(0)));
    const auto other = ledger.open(2, at(0));
    EXPECT_FALSE(ledger.reserve(other, part::request, 70'000, at(0)));
    const auto small = ledger.open(3, at(0));
    EXPECT_TRUE(ledger.reserve(small, part::request, small_amount, at(0)));
    EXPECT_FALSE(ledger.exhausted());
}

TEST(client_ledger, room_goes_to_the_address_that_holds_least) {
    client_ledger ledger{limits};
    const auto first = ledger.open(1, at(0));
    ASSERT_TRUE(ledger.reserve(first, part::request, 700'000, at(0)));
    const auto greedy = ledger.open(1, at(0));
    const auto modest = ledger.open(2, at(1));
    EXPECT_FALSE(ledger.reserve(greedy, part::request, 500'000, at(0)));
    EXPECT_FALSE(ledger.reserve(modest, part::request, 500'000, at(1)));
    EXPECT_TRUE(ledger.take_granted().empty());
    ledger.hold(first, part::request, 100'000);
    EXPECT_EQ(ledger.take_granted(), std::vector{modest});
    EXPECT_TRUE(ledger.waits(greedy));
}

TEST(client_ledger, stalled_peers_are_closed_only_while_memory_is_short) {
    client_ledger ledger{limits};
    const auto stalled = ledger.open(1, at(0));
    ledger.enter(stalled, phase::reading, at(0));
    ASSERT_TRUE(ledger.reserve(stalled, part::request, 700'000, at(0)));
    ledger.observe(at(60'000));
    EXPECT_FALSE(ledger.choose_stalled(at(60'000)));
    const auto next = ledger.open(2, at(60'000));
    ASSERT_FALSE(ledger.reserve(next, part::request, 100'000, at(60'000)));
    ledger.observe(at(60'000));
    EXPECT_FALSE(ledger.choose_stalled(at(60'900)));
    EXPECT_EQ(ledger.choose_stalled(at(61'000)), stalled);
}

TEST(client_ledger, a_byte_now_and_then_is_no_progress) {
    client_ledger ledger{limits};
    const auto slow = ledger.open(1, at(0));
    ledger.enter(slow, phase::reading, at(0));
    ASSERT_TRUE(ledger.reserve(slow, part::request, 700'000, at(0)));
    const auto fast = ledger.open(2, at(0));
    ledger.enter(fast, phase::reading, at(0));
    ASSERT_TRUE(ledger.reserve(fast, part::request, 40'000, at(0)));
    const auto next = ledger.open(3, at(0));
    ASSERT_FALSE(ledger.reserve(next, part::request, 100'000, at(0)));
    ledger.observe(at(0));
    for (int ms = 100; ms <= 3'000; ms += 100) {
        ledger.note_received(slow, 1, at(ms));
        ledger.note_received(fast, 1'000, at(ms));
    }
    EXPECT_EQ(ledger.choose_stalled(at(3'000)), slow);
    ledger.close(slow);
    EXPECT_FALSE(ledger.choose_stalled(at(3'000)));
}

TEST(client_ledger, a_request_that_runs_is_closed_only_if_its_answer_is_not_taken) {
    client_ledger ledger{limits};
    const auto runs = ledger.open(1, at(0));
    ledger.enter(runs, phase::open, at(0));
    ASSERT_TRUE(ledger.reserve(runs, part::request, 700'000, at(0)));
    const auto unread = ledger.open(1, at(0));
    ledger.enter(unread, phase::open, at(0));
    ledger.hold(unread, part::unread, 90'000);
    ledger.observe(at(0));
    ASSERT_TRUE(ledger.is_short());
    ledger.note_taken(unread, 5'000, at(0));
    EXPECT_FALSE(ledger.choose_stalled(at(500)));
    EXPECT_EQ(ledger.choose_stalled(at(1'500)), unread);
    ledger.note_taken(unread, 90'000, at(1'400));
    EXPECT_FALSE(ledger.choose_stalled(at(1'500)));
}

TEST(client_ledger, the_connection_that_was_idle_or_half_read_longest_is_evicted) {
    client_ledger ledger{limits};
    const auto runs = ledger.open(1, at(0));
    ledger.enter(runs, phase::open, at(0));
    const auto half = ledger.open(1, at(100));
    ledger.enter(half, phase::reading, at(100));
    const auto idle = ledger.open(1, at(200));
    const auto uploads = ledger.open(1, at(50));
    ledger.enter(uploads, phase::reading, at(50));
    ledger.note_received(uploads, 1'000'000, at(900));
    EXPECT_EQ(ledger.choose_evicted(at(1'000), all), half);
    EXPECT_EQ(ledger.choose_evicted(at(1'000), [&](connection_id id) { return id != half; }), idle);
    ledger.close(half);
    ledger.close(idle);
    EXPECT_EQ(ledger.choose_evicted(at(1'000), all), uploads);
    ledger.close(uploads);
    EXPECT_FALSE(ledger.choose_evicted(at(1'000), all));
}

TEST(client_ledger, a_request_waits_for_room_for_the_progress_timeout) {
    client_ledger ledger{limits};
    const auto holder = ledger.open(1, at(0));
    ASSERT_TRUE(ledger.reserve(holder, part::request, 740'000, at(0)));
    const auto waits = ledger.open(2, at(0));
    ledger.enter(waits, phase::reading, at(0));
    ASSERT_FALSE(ledger.reserve(waits, part::request, 100'000, at(0)));
    EXPECT_TRUE(ledger.overdue_requests(at(999)).empty());
    EXPECT_EQ(ledger.overdue_requests(at(1'000)), std::vector{waits});
}
