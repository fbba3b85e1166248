// Tests of the memory ledger against an engine that carries out every order that reaches it, however late.
#include "core/memory/ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace waxwinglb::core;
using namespace std::chrono_literals;
using memory::order_answer;
using memory::order_outcome;

namespace {

constexpr std::int64_t capacity = 100;
constexpr auto order_timeout = 1'000ms;
const std::vector<std::string> models{"a", "b", "c", "d"};
const std::vector<std::string> adapters{"x", "y"};

/// An engine without checks of its own, the orders under way to it, and the agent with its ledger.
struct engine_simulation {
    enum class order_kind { load, unload, adapter_load, adapter_unload };
    struct sent_order {
        order_kind kind;
        memory::adapter_key key;
        std::int64_t bytes = 0;
        bool abandoned = false;       // its answer was lost or its sender restarted; no one waits for it
        common::time_point arrives{}; // if abandoned: when it reaches the engine at the latest
    };
    struct loaded_model {
        std::int64_t bytes = 0;
        bool listed = false; // false while it is being loaded
        std::map<std::string, std::int64_t> adapters;
    };

    common::time_point now{1h};
    std::int64_t boot = 1;
    std::int64_t decision = 0;
    std::map<std::string, loaded_model> engine;
    std::vector<sent_order> orders;
    std::map<std::pair<std::string, std::string>, int> uses; // of adapters, by requests
    std::unique_ptr<memory::ledger> ledger = make_ledger();
    std::optional<std::pair<memory::engine_view, memory::read_mark>> read;

    static std::unique_ptr<memory::ledger> make_ledger() {
        return std::make_unique<memory::ledger>(
            memory::ledger_options{capacity, order_timeout, common::milliseconds{0}});
    }
    std::int64_t used() const {
        std::int64_t total = 0;
        for (const auto& [model, held] : engine) {
            total += held.bytes;
            for (const auto& [name, bytes] : held.adapters)
                total += bytes;
        }
        return total;
    }
    void take_effect(const sent_order& sent) {
        const auto found = engine.find(sent.key.model);
        if (sent.kind == order_kind::load && found == engine.end())
            engine[sent.key.model] = {sent.bytes, *rc::gen::arbitrary<bool>(), {}};
        if (sent.kind == order_kind::unload)
            engine.erase(sent.key.model); // invalidates `found`
        if (sent.kind == order_kind::unload || found == engine.end() || !found->second.listed)
            return;
        if (sent.kind == order_kind::adapter_load)
            found->second.adapters.emplace(sent.key.name, sent.bytes);
        if (sent.kind == order_kind::adapter_unload)
            found->second.adapters.erase(sent.key.name);
    }
    void report_outcome(const sent_order& sent, order_outcome outcome) {
        if (sent.kind == order_kind::load)
            ledger->load_finished(sent.key.model, outcome, now);
        if (sent.kind == order_kind::unload)
            ledger->unload_finished(sent.key.model, outcome, now);
        if (sent.kind == order_kind::adapter_load)
            ledger->adapter_load_finished(sent.key, outcome, now);
        if (sent.kind == order_kind::adapter_unload)
            ledger->adapter_unload_finished(sent.key, outcome, now);
    }
    void send(order_kind kind, const memory::adapter_key& key, std::int64_t bytes = 0) {
        orders.push_back({kind, key, bytes, false, {}});
    }
    void start_ready() {
        for (const auto& model : ledger->loads_to_start(now))
            send(order_kind::load, {model, ""}, ledger->replicas().at(model).bytes);
        for (const auto& model : ledger->unloads_to_start())
            send(order_kind::unload, {model, ""});
    }
    memory::order new_order(const std::string& model, std::int64_t bytes) {
        memory::order result;
        result.model = model;
        result.version = "1";
        result.decision = ++decision;
        result.bytes = bytes;
        result.load_by = now + 10s;
        return result;
    }
    void order_load(const std::string& model, std::int64_t bytes) {
        const auto planned = ledger->order_load(new_order(model, bytes), now);
        for (const auto& victim : planned.evict)
            send(order_kind::unload, {victim, ""});
        if (planned.answer == order_answer::start)
            send(order_kind::load, {model, ""}, bytes);
    }
    void order_unload(const std::string& model) {
        if (ledger->order_unload(new_order(model, 0), now) == order_answer::start)
            send(order_kind::unload, {model, ""});
    }
    void order_adapter(const memory::adapter_key& key, std::int64_t bytes) {
        const auto planned = ledger->order_adapter(key, bytes, now);
        for (const auto& victim : planned.evict) {
            RC_ASSERT((uses[{victim.model, victim.name}]) == 0);
            send(order_kind::adapter_unload, victim);
        }
        if (planned.answer == order_answer::start)
            send(order_kind::adapter_load, key, bytes);
    }
    void use_adapter(const memory::adapter_key& key) {
        int& count = uses[{key.model, key.name}];
        if (count > 0) {
            ledger->release_adapter(key, now);
            --count;
        } else if (ledger->acquire_adapter(key, now)) {
            ++count;
        }
    }
    /// An order reaches the engine, or its answer is lost before or after.
    void deliver(std::size_t index, int fate) {
        sent_order& sent = orders[index];
        if (sent.abandoned || fate == 0) {
            take_effect(sent);
            if (!sent.abandoned)
                report_outcome(sent, sent.kind == order_kind::load && !engine[sent.key.model].listed
                                         ? order_outcome::lost
                                         : order_outcome::done);
            orders.erase(orders.begin() + static_cast<std::ptrdiff_t>(index));
        } else if (fate == 1) { // answer lost after taking effect
            take_effect(sent);
            report_outcome(sent, order_outcome::lost);
            orders.erase(orders.begin() + static_cast<std::ptrdiff_t>(index));
        } else if (fate == 2) { // timed out; reaches the engine later
            report_outcome(sent, order_outcome::lost);
            sent.abandoned = true;
            sent.arrives = now + order_timeout;
        } else { // not sent
            report_outcome(sent, order_outcome::not_sent);
            orders.erase(orders.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    void advance(common::milliseconds by) {
        now += by;
        for (std::size_t i = orders.size(); i-- > 0;)
            if (orders[i].abandoned && orders[i].arrives <= now)
                deliver(i, 0);
    }
    void restart_engine() {
        ++boot;
        engine.clear();
        uses.clear();
        for (auto& sent : orders) {
            if (sent.abandoned)
                continue;
            report_outcome(sent, order_outcome::lost);
            sent.abandoned = true;
            sent.arrives = now + order_timeout;
        }
    }
    void restart_agent() {
        ledger = make_ledger();
        read.reset();
        uses.clear();
        for (auto& sent : orders) {
            sent.arrives = sent.abandoned ? sent.arrives : now + order_timeout;
            sent.abandoned = true;
        }
    }
    void ask() {
        memory::engine_view view;
        view.boot = boot;
        view.memory_bytes = capacity;
        view.used_bytes = used();
        for (const auto& [model, held] : engine) {
            if (!held.listed)
                continue;
            view.models.push_back({model, "1", held.bytes, {}});
            for (const auto& [name, bytes] : held.adapters)
                view.models.back().adapters.push_back(name);
        }
        read.emplace(view, ledger->mark(now));
    }
    void adopt() {
        if (read && ledger->adopt(read->first, read->second, now))
            uses.clear();
        read.reset();
    }
    void step() {
        const std::string model = *rc::gen::elementOf(models);
        const memory::adapter_key key{model, *rc::gen::elementOf(adapters)};
        const int kind = *rc::gen::weightedElement<int>({{6, 0},
                                                         {2, 1},
                                                         {8, 2},
                                                         {6, 3},
                                                         {4, 4},
                                                         {4, 5},
                                                         {1, 6},
                                                         {1, 7},
                                                         {3, 8},
                                                         {3, 9},
                                                         {2, 10},
                                                         {8, 11}});
        if (kind == 0)
            order_load(model, *rc::gen::inRange(20, 60));
        if (kind == 1)
            order_unload(model);
        if (kind == 2 && !orders.empty())
            deliver(*rc::gen::inRange<std::size_t>(0, orders.size()),
                    *rc::gen::weightedElement<int>({{6, 0}, {2, 1}, {2, 2}, {1, 3}}));
        if (kind == 3)
            advance(common::milliseconds{*rc::gen::inRange(1, 1'500)});
        if (kind == 4)
            ask();
        if (kind == 5)
            adopt();
        if (kind == 6)
            restart_engine();
        if (kind == 7)
            restart_agent();
        if (kind == 8)
            order_adapter(key, *rc::gen::inRange(5, 20));
        if (kind == 9)
            use_adapter(key);
        if (kind == 10 && engine.contains(model))
            engine[model].listed = true;
        if (kind == 11) { // a read that no order overlaps
            ask();
            adopt();
        }
        start_ready();
    }
};

} // namespace

RC_GTEST_PROP(memory_ledger, an_engine_without_checks_is_never_overcommitted, ()) {
    engine_simulation simulation;
    std::int64_t most = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
        simulation.step();
        most = std::max(most, simulation.used());
        RC_ASSERT(simulation.used() <= capacity);
    }
    RC_TAG(most > capacity * 3 / 4 ? "nearly full" : "not full");
}

RC_GTEST_PROP(memory_ledger, order_with_a_lower_number_is_refused, ()) {
    memory::ledger ledger{{1'000'000, order_timeout, common::milliseconds{0}}};
    common::time_point now{1h};
    memory::engine_view view;
    view.boot = 1;
    view.memory_bytes = 1'000'000;
    ledger.adopt(view, ledger.mark(now), now);
    now += order_timeout;
    ledger.adopt(view, ledger.mark(now), now);
    RC_ASSERT(ledger.settled());
    std::map<std::string, std::int64_t> decisions;
    std::map<int, std::int64_t> fencings;
    const auto count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; ++i) {
        memory::order order;
        order.model = *rc::gen::elementOf(models);
        order.version = "1";
        order.decision = *rc::gen::inRange(1, 20);
        order.fencing = *rc::gen::inRange(1, 6);
        order.shard = order.model < "c" ? 0 : 1;
        order.bytes = 10;
        order.load_by = now + 1s;
        const bool older = order.decision < decisions[order.model] || order.fencing < fencings[order.shard];
        const bool load = *rc::gen::arbitrary<bool>();
        const auto answer = load ? ledger.order_load(order, now).answer : ledger.order_unload(order, now);
        RC_ASSERT((answer == order_answer::stale) == older);
        if (answer == order_answer::start && load)
            ledger.load_finished(order.model, order_outcome::done, now);
        if (answer == order_answer::start && !load)
            ledger.unload_finished(order.model, order_outcome::done, now);
        if (older)
            continue;
        decisions[order.model] = order.decision;
        fencings[order.shard] = order.fencing;
    }
}

TEST(memory_ledger, evicts_the_least_valuable_idle_replica_and_none_in_use) {
    memory::ledger ledger{{capacity, order_timeout, 5'000ms}};
    common::time_point now{1h};
    memory::engine_view view;
    view.boot = 1;
    view.models = {{"a", "1", 40, {}}, {"b", "1", 40, {}}};
    view.used_bytes = 80;
    ledger.adopt(view, ledger.mark(now), now);
    now += order_timeout;
    ledger.adopt(view, ledger.mark(now), now);
    ASSERT_TRUE(ledger.settled());
    const auto order = [&](const std::string& model, std::int64_t bytes) {
        memory::order result;
        result.model = model;
        result.bytes = bytes;
        result.load_by = now + 60s;
        return ledger.order_load(result, now);
    };
    EXPECT_EQ(order("c", 40).answer, order_answer::no_memory) << "both were used too recently";
    now += 10s;
    ASSERT_TRUE(ledger.acquire("a", now));
    const auto planned = order("c", 40);
    EXPECT_EQ(planned.answer, order_answer::wait);
    EXPECT_EQ(planned.evict, std::vector<std::string>{"b"});
    EXPECT_TRUE(ledger.loads_to_start(now).empty()) << "no load may start before the unload is confirmed";
    EXPECT_EQ(ledger.free_bytes(), 0);
    ledger.unload_finished("b", order_outcome::done, now);
    EXPECT_EQ(ledger.loads_to_start(now), std::vector<std::string>{"c"});
    EXPECT_EQ(order("d", 40).answer, order_answer::no_memory) << "a is in use, c is being loaded";
}
