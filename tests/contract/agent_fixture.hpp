// Runs an agent and its target in one process, and connects peers to the agent over real links.
#pragma once

#include "core/config/codec.hpp"
#include "edge/http_client.hpp"
#include "edge/link.hpp"
#include "edge/ring.hpp"
#include "programs/agent/agent.hpp"
#include "standins/engine/engine.hpp"
#include "standins/service/service.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>

namespace agent_testing {

using namespace waxwinglb;
using namespace std::chrono_literals;
using kind = wire::message_kind;
using nlohmann::json;

constexpr auto hang_timeout = 20s; // fails a test that hangs; otherwise no result depends on it

/// Blocking HTTP call to a stand-in program.
inline edge::client_result http(const std::string& method, const std::string& address,
                                const std::string& path, const std::string& body = "") {
    static edge::http_client client;
    std::promise<edge::client_result> done;
    edge::client_request call;
    call.method = method;
    call.url = "http://" + address + path;
    call.body = body;
    client.send(std::move(call), [&](edge::client_result&& result) { done.set_value(std::move(result)); });
    return done.get_future().get();
}
inline json audit(const std::string& address) {
    return json::parse(http("GET", address, "/audit").body);
}
inline void add_fault(const std::string& address, const json& fault) {
    ASSERT_EQ(http("POST", address, "/faults", fault.dump()).status, 200);
}

/// One end of a link to the agent, in the role of a router or a steward.
class peer {
public:
    peer(std::uint16_t port, const std::string& role)
        : hub_(options(role), [this](edge::link_event&& event) { events_.push(std::move(event)); }) {
        hub_.start();
        link_ = hub_.connect("127.0.0.1:" + std::to_string(port));
        const auto opened = next_event();
        EXPECT_EQ(opened.kind, edge::link_event_kind::opened);
        boot = opened.peer.boot;
    }
    template<class body_type>
    void send(kind::type message_kind, std::int64_t call, const body_type& body) {
        hub_.send(link_, message_kind, call, body);
    }
    void send_bytes(std::string bytes) { hub_.send_bytes(link_, std::move(bytes)); }
    /// Returns when the agent has handled everything sent before, or has closed the link.
    void flush() {
        wire::cancel_request last;
        last.request_id = "flush";
        send(kind::cancel_request, 99, last);
        for (;;) {
            const auto event = next_event();
            if (event.kind == edge::link_event_kind::closed || event.frame.header.call == 99 ||
                ::testing::Test::HasFailure())
                return;
        }
    }
    edge::link_event next_event() {
        auto event = events_.pop_until(core::common::clock::now() + hang_timeout);
        EXPECT_TRUE(event.has_value()) << "no event within the timeout";
        return event.value_or(edge::link_event{});
    }
    /// Returns the next message of this kind and drops messages of other kinds before it.
    template<class body_type>
    body_type expect(kind::type expected) {
        for (;;) {
            const auto event = next_event();
            if (event.kind == edge::link_event_kind::closed) {
                ADD_FAILURE() << "link closed while waiting for message " << expected;
                return {};
            }
            if (event.kind != edge::link_event_kind::message || event.frame.header.kind != expected)
                continue;
            return edge::decode_body<body_type>(event.frame.body).value_or(body_type{});
        }
    }
    /// Waits for a report that satisfies `matches`.
    template<class predicate>
    wire::target_report await_report(const predicate& matches) {
        for (;;) {
            auto report = expect<wire::target_report>(kind::target_report);
            if (matches(report) || ::testing::Test::HasFailure())
                return report;
        }
    }
    std::int64_t boot = 0; // of the agent

private:
    static edge::link_options options(const std::string& role) {
        edge::link_options out;
        out.self.process = role;
        out.self.role = role;
        return out;
    }
    edge::ring<edge::link_event> events_{100'000};
    edge::link_hub hub_;
    edge::link_id link_ = 0;
};

/// Acts as a steward that sends configuration updates.
class config_feed {
public:
    config_feed()
        : hub_(options(), [this](edge::link_event&& event) { events.push(std::move(event)); }),
          port_(hub_.listen("127.0.0.1:0")) {
        hub_.start();
    }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    void await_subscription() {
        for (;;) {
            auto event = events.pop_until(core::common::clock::now() + hang_timeout);
            ASSERT_TRUE(event.has_value());
            link_ = event->link;
            if (event->kind == edge::link_event_kind::message &&
                event->frame.header.kind == kind::subscribe_config)
                return;
        }
    }
    void send(std::int64_t revision, const std::string& key, const std::string& value) {
        wire::config_update update;
        update.from_revision = revision - 1;
        update.revision = revision;
        update.parts = 1;
        wire::config_entry entry;
        entry.revision = revision;
        entry.key = key;
        entry.value = value;
        update.entries.push_back(entry);
        hub_.send(link_, kind::config_update, 0, update);
    }
    edge::ring<edge::link_event> events{10'000};

private:
    static edge::link_options options() {
        edge::link_options out;
        out.self.process = "steward-1";
        out.self.role = "steward";
        return out;
    }
    edge::link_hub hub_;
    std::uint16_t port_;
    edge::link_id link_ = 0;
};

/// End of a request as its router receives it.
struct outcome {
    std::string body;
    std::optional<wire::run_finished> finished;
    std::optional<wire::run_refused> refused;
};

/// Collects the answer of one attempt; offsets must be contiguous from `from` on.
inline outcome collect(peer& router, const std::string& id, int attempt = 1, std::int64_t from = 0) {
    outcome result;
    while (!::testing::Test::HasFailure()) {
        const auto event = router.next_event();
        if (event.kind != edge::link_event_kind::message)
            continue;
        if (event.frame.header.kind == kind::run_chunk) {
            const auto chunk = edge::decode_body<wire::run_chunk>(event.frame.body).value();
            if (chunk.request_id != id || chunk.attempt != attempt)
                continue;
            EXPECT_EQ(chunk.offset, from + static_cast<std::int64_t>(result.body.size()));
            result.body += chunk.data;
        } else if (event.frame.header.kind == kind::run_finished) {
            const auto finished = edge::decode_body<wire::run_finished>(event.frame.body).value();
            if (finished.request_id != id || finished.attempt != attempt)
                continue;
            EXPECT_EQ(finished.length, from + static_cast<std::int64_t>(result.body.size()));
            result.finished = finished;
            return result;
        } else if (event.frame.header.kind == kind::run_refused) {
            const auto refused = edge::decode_body<wire::run_refused>(event.frame.body).value();
            if (refused.request_id != id || refused.attempt != attempt)
                continue;
            result.refused = refused;
            return result;
        }
    }
    return result;
}

inline wire::run_request chat(const std::string& id, const std::string& prompt, int tokens = 4) {
    wire::run_request request;
    request.request_id = id;
    request.attempt = 1;
    request.customer = "norte";
    request.service_name = "seam-assistant";
    request.model = "m1";
    request.remaining_ms = 15'000;
    request.max_tokens = tokens;
    request.fingerprint = prompt;
    request.weight = 1;
    request.body = json{{"messages", {{{"role", "user"}, {"content", prompt}}}}}.dump();
    return request;
}

/// Joins the token texts of an engine's answer.
inline std::string text_of(const std::string& body) {
    std::istringstream in{body};
    std::string text;
    for (std::string line; std::getline(in, line);)
        text += json::parse(line).value("text", "");
    return text;
}

class agent_with_engine : public ::testing::Test {
protected:
    agent_with_engine() {
        settings.concurrency = 8;
        settings.ramp_start = 8;
    }
    void SetUp() override { begin({}); }
    void begin(standins::engine::engine_options options) {
        options.memory = 100;
        options.down_time = 100ms;
        engine = std::make_unique<standins::engine::engine>(options);
        ASSERT_TRUE(engine->start());
        settings.vm = "vm1";
        settings.data_centre = "cerro";
        settings.target = "runner1";
        settings.service = "seam-assistant";
        settings.listen = "127.0.0.1:0";
        settings.engine = engine->address();
        settings.memory = 100;
        settings.order_timeout = 100ms;
        settings.stall_timeout = 300ms;
        start_agent();
    }
    void start_agent() {
        context = std::make_unique<edge::program_context>();
        context->name = "agent-1";
        agent = std::make_unique<programs::agent::agent>(settings, *context);
        ASSERT_TRUE(agent->start());
        steward = std::make_unique<peer>(agent->port(), "steward");
        router = std::make_unique<peer>(agent->port(), "router");
        steward->send(kind::watch_target, 1, wire::watch_target{});
        await_settled();
    }
    /// Waits until the engine's state is known: the agent reports no free memory before.
    void await_settled() {
        steward->await_report([&](const auto& report) {
            return (report.free_bytes > 0 || !report.models.empty()) && report.load.limit > 0;
        });
    }
    wire::order_result load(const std::string& model, std::int64_t bytes, std::int64_t decision = 1,
                            std::int64_t fencing = 1) {
        wire::load_order order;
        order.model = model;
        order.version = "1";
        order.bytes = bytes;
        order.decision = decision;
        order.fencing = fencing;
        order.remaining_ms = 10'000;
        steward->send(kind::load_order, decision, order);
        return steward->expect<wire::order_result>(kind::order_result);
    }
    wire::order_result unload(const std::string& model, std::int64_t decision, std::int64_t fencing = 1) {
        wire::unload_order order;
        order.model = model;
        order.decision = decision;
        order.fencing = fencing;
        steward->send(kind::unload_order, decision, order);
        return steward->expect<wire::order_result>(kind::order_result);
    }
    outcome run(const wire::run_request& request) {
        router->send(kind::run_request, 7, request);
        return collect(*router, request.request_id, request.attempt);
    }

    programs::agent::agent_settings settings;
    std::unique_ptr<standins::engine::engine> engine;
    std::unique_ptr<edge::program_context> context;
    std::unique_ptr<programs::agent::agent> agent;
    std::unique_ptr<peer> steward;
    std::unique_ptr<peer> router;
};

} // namespace agent_testing
