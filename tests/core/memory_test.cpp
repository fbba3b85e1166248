// Properties of the memory ledger against an engine that carries out whatever reaches it, however late.
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

/// An engine without any check of its own, and the orders on their way to it.
struct world {
    enum class what { load, unload, adapter_load, adapter_unload };
    struct sent_order {
        what kind;
        memory::adapter_key key;
        std::int64_t bytes = 0;
        bool answered = false;        // its answer was lost, or its sender is gone: nobody waits for it
        common::time_point arrives{}; // if answered: the latest moment
    };
    struct held {
        std::int64_t bytes = 0;
        bool listed = false; // false while it is being loaded
        std::map<std::string, std::int64_t> adapters;
    };

    common::time_point now{1h};
    std::int64_t boot = 1;
    std::int64_t decision = 0;
    std::map<std::string, held> engine;
    std::vector<sent_order> orders;
    std::map<std::pair<std::string, std::string>, int> uses; // of adapters, by requests
    std::unique_ptr<memory::ledger> ledger = make_ledger();
    std::optional<std::pair<memory::engine_view, memory::read_mark>> read;

    static std::unique_ptr<memory::ledger> make_ledger() {
        return std::make_unique<memory::ledger>(
            memory::ledger_options{capacity, order_timeout, common::milliseconds{0}});
    }
    std::int64_t used() const {
        std::int64_t out = 0;
        for (const auto& [model, one] : engine) {
            out += one.bytes;
            for (const auto& [name, bytes] : one.adapters)
                out += bytes;
        }
        return out;
    }
    void take_effect(const sent_order& one) {
        const auto found = engine.find(one.key.model);
        if (one.kind == what::load && found == engine.end())
            engine[one.key.model] = {one.bytes, *rc::gen::arbitrary<bool>(), {}};
        if (one.kind == what::unload)
            engine.erase(one.key.model); // `found` is gone
        if (one.kind == what::unload || found == engine.end() || !found->second.listed)
            return;
        if (one.kind == what::adapter_load)
            found->second.adapters.emplace(one.key.name, one.bytes);
        if (one.kind == what::adapter_unload)
            found->second.adapters.erase(one.key.name);
    }
    void tell(const sent_order& one, order_outcome outcome) {
        if (one.kind == what::load)
            ledger->load_finished(one.key.model, outcome, now);
        if (one.kind == what::unload)
            ledger->unload_finished(one.key.model, outcome, now);
        if (one.kind == what::adapter_load)
            ledger->adapter_load_finished(one.key, outcome, now);
        if (one.kind == what::adapter_unload)
            ledger->adapter_unload_finished(one.key, outcome, now);
    }
    void send(what kind, const memory::adapter_key& key, std::int64_t bytes = 0) {
        orders.push_back({kind, key, bytes, false, {}});
    }
    void start_ready() {
        for (const auto& model : ledger->loads_to_start(now))
            send(what::load, {model, ""}, ledger->replicas().at(model).bytes);
        for (const auto& model : ledger->unloads_to_start())
            send(what::unload, {model, ""});
    }
    memory::order new_order(const std::string& model, std::int64_t bytes) {
        memory::order out;
        out.model = model;
        out.version = "1";
        out.decision = ++decision;
        out.bytes = bytes;
        out.load_by = now + 10s;
        return out;
    }
    void order_load(const std::string& model, std::int64_t bytes) {
        const auto planned = ledger->order_load(new_order(model, bytes), now);
        for (const auto& victim : planned.evict)
            send(what::unload, {victim, ""});
        if (planned.answer == order_answer::start)
            send(what::load, {model, ""}, bytes);
    }
    void order_unload(const std::string& model) {
        if (ledger->order_unload(new_order(model, 0), now) == order_answer::start)
            send(what::unload, {model, ""});
    }
    void order_adapter(const memory::adapter_key& key, std::int64_t bytes) {
        const auto planned = ledger->order_adapter(key, bytes, now);
        for (const auto& victim : planned.evict) {
            RC_ASSERT((uses[{victim.model, victim.name}]) == 0);
            send(what::adapter_unload, victim);
        }
        if (planned.answer == order_answer::start)
            send(what::adapter_load, key, bytes);
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
        sent_order& one = orders[index];
        if (one.answered || fate == 0) {
            take_effect(one);
            if (!one.answered)
                tell(one, one.kind == what::load && !engine[one.key.model].listed ? order_outcome::lost
                                                                                  : order_outcome::done);
            orders.erase(orders.begin() + static_cast<std::ptrdiff_t>(index));
        } else if (fate == 1) { // answer lost after taking effect
            take_effect(one);
            tell(one, order_outcome::lost);
            orders.erase(orders.begin() + static_cast<std::ptrdiff_t>(index));
        } else if (fate == 2) { // given up; arrives later
            tell(one, order_outcome::lost);
            one.answered = true;
            one.arrives = now + order_timeout;
        } else { // never left
            tell(one, order_outcome::not_sent);
            orders.erase(orders.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }
    void advance(common::milliseconds by) {
        now += by;
        for (std::size_t i = orders.size(); i-- > 0;)
            if (orders[i].answered && orders[i].arrives <= now)
                deliver(i, 0);
    }
    void restart_engine() {
        ++boot;
        engine.clear();
        uses.clear();
        for (auto& one : orders) {
            if (one.answered)
                continue;
            tell(one, order_outcome::lost);
            one.answered = true;
            one.arrives = now + order_timeout;
        }
    }
    void restart_agent() {
        ledger = make_ledger();
        read.reset();
        uses.clear();
        for (auto& one : orders) {
            one.arrives = one.answered ? one.arrives : now + order_timeout;
            one.answered = true;
        }
    }
    void ask() {
        memory::engine_view view;
        view.boot = boot;
        view.memory_bytes = capacity;
        view.used_bytes = used();
        for (const auto& [model, one] : engine) {
            if (!one.listed)
                continue;
            view.models.push_back({model, "1", one.bytes, {}});
            for (const auto& [name, bytes] : one.adapters)
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
        if (kind == 11) { // an undisturbed look at the engine
            ask();
            adopt();
        }
        start_ready();
    }
};

} // namespace

RC_GTEST_PROP(memory_ledger, an_engine_without_checks_is_never_overcommitted, ()) {
    world all;
    std::int64_t most = 0;
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
        all.step();
        most = std::max(most, all.used());
        RC_ASSERT(all.used() <= capacity);
    }
    RC_TAG(most > capacity * 3 / 4 ? "nearly full" : "not full");
}

RC_GTEST_PROP(memory_ledger, an_older_order_never_loads, ()) {
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

TEST(memory_ledger, evicts_the_idle_replica_of_least_value_and_never_one_in_use) {
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
        memory::order out;
        out.model = model;
        out.bytes = bytes;
        out.load_by = now + 60s;
        return ledger.order_load(out, now);
    };
    EXPECT_EQ(order("c", 40).answer, order_answer::no_memory) << "both are too young";
    now += 10s;
    ASSERT_TRUE(ledger.acquire("a", now));
    const auto planned = order("c", 40);
    EXPECT_EQ(planned.answer, order_answer::wait);
    EXPECT_EQ(planned.evict, std::vector<std::string>{"b"});
    EXPECT_TRUE(ledger.loads_to_start(now).empty()) << "nothing starts before the unload is confirmed";
    EXPECT_EQ(ledger.free_bytes(), 0);
    ledger.unload_finished("b", order_outcome::done, now);
    EXPECT_EQ(ledger.loads_to_start(now), std::vector<std::string>{"c"});
    EXPECT_EQ(order("d", 40).answer, order_answer::no_memory) << "a is in use, c under way";
}
