// Properties of the queue: no request is lost, none waits behind another customer's backlog, shares follow
// weights.
#include "core/fairness/queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using fairness::waiting_request;

namespace {

waiting_request some_request(std::uint64_t id, common::time_point now) {
    waiting_request out;
    out.id = id;
    out.customer = *rc::gen::elementOf(std::vector<std::string>{"norte", "sur", "este"});
    out.weight = *rc::gen::inRange(1, 5);
    out.tokens = *rc::gen::inRange(1, 1'000);
    out.deadline = now + common::milliseconds{*rc::gen::inRange(1, 5'000)};
    return out;
}

} // namespace

RC_GTEST_PROP(fair_queue, every_request_leaves_exactly_once_and_in_time, ()) {
    fairness::fair_queue queue{20};
    common::time_point now{1h};
    std::map<std::uint64_t, common::time_point> inside; // deadline by id
    const auto expect_removed_once = [&](std::uint64_t id) { RC_ASSERT(inside.erase(id) == 1U); };
    for (std::uint64_t id = 1; id <= 120; ++id) {
        const auto request = some_request(id, now);
        const bool room = inside.size() < 20;
        RC_ASSERT(queue.push(request) == room);
        if (room)
            inside[id] = request.deadline;
        if (*rc::gen::inRange(0, 3) == 0)
            if (const auto next = queue.pop())
                expect_removed_once(next->id);
        if (*rc::gen::inRange(0, 6) == 0 && queue.remove(id))
            expect_removed_once(id);
        now += common::milliseconds{*rc::gen::inRange(0, 400)};
        for (const auto& late : queue.expire(now))
            expect_removed_once(late.id);
        RC_ASSERT(queue.size() == inside.size());
        RC_ASSERT(queue.next_deadline() > now);
        for (const auto& [waiting, deadline] : inside)
            RC_ASSERT(deadline > now);
    }
    while (const auto next = queue.pop())
        expect_removed_once(next->id);
    RC_ASSERT(inside.empty());
}

RC_GTEST_PROP(fair_queue, a_newcomer_waits_for_at_most_one_request_of_each_other_customer, ()) {
    fairness::fair_queue queue{1'000};
    const common::time_point now{1h};
    std::uint64_t id = 0;
    for (int i = *rc::gen::inRange(1, 200); i > 0; --i) {
        queue.push(some_request(++id, now));
        if (*rc::gen::inRange(0, 4) == 0)
            queue.pop();
    }
    std::set<std::string> backlogged;
    for (const auto& one : queue.all())
        backlogged.insert(one.customer);
    waiting_request newcomer = some_request(++id, now);
    newcomer.customer = "oeste";
    const std::size_t estimate = queue.ahead_of("oeste");
    queue.push(newcomer);
    std::size_t before = 0;
    while (queue.pop()->id != newcomer.id)
        ++before;
    RC_ASSERT(before == estimate);
    RC_ASSERT(before <= backlogged.size());
}

/// Counted from the time at which both have a backlog: time without backlog earns no credit.
RC_GTEST_PROP(fair_queue, backlogged_customers_share_by_weight, ()) {
    fairness::fair_queue queue{10'000};
    const std::vector<std::string> names{"norte", "sur"};
    const std::vector<double> weights{static_cast<double>(*rc::gen::inRange(1, 6)),
                                      static_cast<double>(*rc::gen::inRange(1, 6))};
    constexpr std::int64_t most_tokens = 100;
    std::uint64_t id = 0;
    for (std::size_t customer = 0; customer < names.size(); ++customer) {
        for (int i = customer == 0 ? 0 : *rc::gen::inRange(0, 100); i > 0; --i)
            queue.pop();
        for (int i = 0; i < 400; ++i)
            queue.push({++id, names[customer], weights[customer],
                        *rc::gen::inRange<std::int64_t>(1, most_tokens + 1), common::time_point::max()});
    }
    std::map<std::string, double> served; // tokens by weight
    for (int i = *rc::gen::inRange(1, 300); i > 0; --i) {
        const auto next = queue.pop();
        served[next->customer] += static_cast<double>(next->tokens) / next->weight;
        const double apart = std::abs(served["norte"] - served["sur"]);
        RC_ASSERT(apart <= most_tokens / weights[0] + most_tokens / weights[1]);
    }
}
