/// Stand-in for a model engine: a memory limit, models with adapters, token streams, and faults on demand.
///
/// Tokens are the words of the prompt in turn, so that an answer shows which request it belongs to.
/// Fault kinds: load_slow, load_lost, load_fail, unload_lost, crash, crash_on_load, cold, slow_first,
/// silent_stream, ignore_fencing, state_silent. A prompt with CRASH_ENGINE crashes the engine.
#pragma once

#include "edge/http_client.hpp"
#include "standins/door.hpp"
#include "standins/faults.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace waxwinglb::standins::engine {

struct engine_options {
    std::string name = "engine";
    std::string listen = "127.0.0.1:0";
    std::int64_t memory = 80'000'000'000;      // bytes
    core::common::milliseconds load_time{0};   // after the weights have been read
    core::common::milliseconds token_time{0};  // between tokens
    core::common::milliseconds down_time{300}; // refuses connections after a crash
    bool checks_fencing = true;                // refuses orders with an old fencing number
};

class engine {
public:
    explicit engine(engine_options options);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;
    engine(engine&&) = delete;
    engine& operator=(engine&&) = delete;

    bool start() { return door_.start(); }
    [[nodiscard]] const std::string& address() const { return door_.address(); }

private:
    struct loaded {
        std::string version;
        std::int64_t bytes = 0;
        bool ready = false; // false while its load is under way
        std::map<std::string, std::int64_t> adapters;
    };
    struct generation {
        std::vector<std::string> words; // of the prompt
        int next = 0;                   // index of the next token
        int total = 0;                  // tokens to make
        bool silent = false;            // fault: makes tokens, sends nothing more
        edge::exchange_ptr out;         // null once nobody listens
    };
    struct counters {
        std::int64_t max_used_bytes = 0;
        std::int64_t overcommit_attempts = 0;
        std::int64_t loads = 0;
        std::int64_t unloads = 0;
        std::int64_t old_orders = 0;
        std::int64_t crashes = 0;
        std::int64_t keys_seen = 0;
        std::size_t max_running = 0;
        std::map<std::string, int> runs; // by request id
    };
    using body = nlohmann::json;

    void handle(const edge::exchange_ptr& exchange);
    void audit_for_keys(const edge::http_request& request);
    void answer_state(const edge::exchange_ptr& exchange);
    void answer_audit(const edge::exchange_ptr& exchange);
    void take_fault(const edge::exchange_ptr& exchange);
    bool refuse_old(const edge::exchange_ptr& exchange, const body& order);
    void load(const edge::exchange_ptr& exchange, const body& order);
    void read_weights(const edge::exchange_ptr& exchange, const std::string& model, const std::string& url);
    void finish_load(const edge::exchange_ptr& exchange, const std::string& model);
    void unload(const edge::exchange_ptr& exchange, const body& order);
    void load_adapter(const edge::exchange_ptr& exchange, const body& order);
    void unload_adapter(const edge::exchange_ptr& exchange, const body& order);
    void generate(const edge::exchange_ptr& exchange, const body& request);
    void resume(const edge::exchange_ptr& exchange, const body& request);
    void cancel(const edge::exchange_ptr& exchange, const body& request);
    void step(const std::string& request, std::int64_t boot);
    void send_token(generation& one, int index);
    void send_end(generation& one);
    void crash();
    [[nodiscard]] std::int64_t used() const;
    [[nodiscard]] std::size_t running() const;

    engine_options options_;
    std::int64_t boot_;
    std::int64_t highest_fencing_ = 0;
    bool cold_ = false;
    std::map<std::string, loaded> models_;
    std::map<std::string, generation> generations_;
    fault_table faults_;
    counters counters_;
    door door_;
    edge::http_client client_; // weights; last member, so that it ends first
};

} // namespace waxwinglb::standins::engine
