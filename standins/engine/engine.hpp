/// Stand-in for a model engine with a memory limit, models with adapters, token streams and injected faults.
///
/// The tokens of a response are the words of its prompt in turn, which lets a test match responses to
/// requests.
/// Fault kinds: load_slow, load_lost, load_fail, unload_lost, crash, crash_on_load, cold, slow_first,
/// silent_stream, ignore_fencing, state_silent. A prompt with CRASH_ENGINE crashes the engine.
#pragma once

#include "edge/http_client.hpp"
#include "standins/faults.hpp"
#include "standins/stand_in_server.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace waxwinglb::standins::engine {

struct engine_options {
    std::string name = "engine";
    std::string listen = "127.0.0.1:0";
    std::int64_t memory = 80'000'000'000;      // bytes
    core::common::milliseconds load_time{0};   // added after the weights have been read
    core::common::milliseconds token_time{0};  // between tokens
    core::common::milliseconds down_time{300}; // connections are refused for this long after a crash
    bool checks_fencing = true; // refuses orders whose fencing number is below the highest seen
};

class engine {
public:
    explicit engine(engine_options options);
    ~engine();
    engine(const engine&) = delete;
    engine& operator=(const engine&) = delete;
    engine(engine&&) = delete;
    engine& operator=(engine&&) = delete;

    bool start() { return server_.start(); }
    [[nodiscard]] const std::string& address() const { return server_.address(); }

private:
    struct loaded_model {
        std::string version;
        std::int64_t bytes = 0;
        bool ready = false; // false while it loads
        std::map<std::string, std::int64_t> adapters;
    };
    struct generation {
        std::vector<std::string> words; // of the prompt
        int next = 0;                   // index of the next token
        int total = 0;                  // tokens to generate
        bool silent = false;            // fault: sends the first token only, but keeps generating
        edge::exchange_ptr exchange;    // null after the caller has gone or the stream has ended
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
    void count_leaked_keys(const edge::http_request& request);
    void answer_state(const edge::exchange_ptr& exchange);
    void answer_audit(const edge::exchange_ptr& exchange);
    void add_fault(const edge::exchange_ptr& exchange);
    bool refuse_stale_order(const edge::exchange_ptr& exchange, const body& order);
    void load(const edge::exchange_ptr& exchange, const body& order);
    void read_weights(const edge::exchange_ptr& exchange, const std::string& model, const std::string& url);
    void finish_load(const edge::exchange_ptr& exchange, const std::string& model);
    void unload(const edge::exchange_ptr& exchange, const body& order);
    void load_adapter(const edge::exchange_ptr& exchange, const body& order);
    void unload_adapter(const edge::exchange_ptr& exchange, const body& order);
    void generate(const edge::exchange_ptr& exchange, const body& request);
    void resume(const edge::exchange_ptr& exchange, const body& request);
    void cancel(const edge::exchange_ptr& exchange, const body& request);
    void generate_tokens(const std::string& request, std::int64_t boot);
    void send_token(generation& stream, int index);
    void send_end(generation& stream);
    void crash();
    [[nodiscard]] std::int64_t used_bytes() const;
    [[nodiscard]] std::size_t running() const;

    engine_options options_;
    std::int64_t boot_;
    std::int64_t highest_fencing_ = 0;
    bool cold_ = false;
    std::map<std::string, loaded_model> models_;
    std::map<std::string, generation> generations_;
    fault_table faults_;
    counters counters_;
    stand_in_server server_;
    edge::http_client client_; // reads weights; last member because it must be destroyed first
};

} // namespace waxwinglb::standins::engine
