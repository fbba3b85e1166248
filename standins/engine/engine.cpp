#include "standins/engine/engine.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace waxwinglb::standins::engine {
namespace {

using nlohmann::json;

constexpr int default_tokens = 16;                    // if a request sets no max_tokens
constexpr int max_tokens_per_answer = 100'000;        // of one response
constexpr std::size_t max_kept_generations = 1'000;   // beyond this, drops finished ones: no /resume
constexpr core::common::milliseconds crash_delay{20}; // lets the response to POST /faults leave first
constexpr const char* crash_marker = "CRASH_ENGINE";

std::vector<std::string> words_of(const std::string& prompt) {
    std::istringstream in{prompt};
    std::vector<std::string> out;
    for (std::string word; in >> word;)
        out.push_back(word);
    if (out.empty())
        out.emplace_back("...");
    return out;
}

std::int64_t first_boot() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

engine::engine(engine_options options)
    : options_(std::move(options)), boot_(first_boot()),
      server_(options_.listen, [this](const edge::exchange_ptr& exchange) { handle(exchange); }) {}

engine::~engine() {
    server_.stop();
}

void engine::handle(const edge::exchange_ptr& exchange) {
    const edge::http_request& request = exchange->request();
    count_leaked_keys(request);
    if (request.path == "/healthz")
        return stand_in_server::answer(exchange, 200, "ok\n", "text/plain");
    if (request.path == "/audit")
        return answer_audit(exchange);
    if (request.path == "/faults")
        return add_fault(exchange);
    if (request.path == "/state")
        return answer_state(exchange);
    const json body = json::parse(request.body, nullptr, false);
    if (request.method != "POST" || !body.is_object())
        return stand_in_server::answer(exchange, 400, R"({"error":"expected POST with a JSON object"})");
    try {
        if (request.path == "/load")
            return load(exchange, body);
        if (request.path == "/unload")
            return unload(exchange, body);
        if (request.path == "/adapter")
            return load_adapter(exchange, body);
        if (request.path == "/adapter/unload")
            return unload_adapter(exchange, body);
        if (request.path == "/generate")
            return generate(exchange, body);
        if (request.path == "/resume")
            return resume(exchange, body);
        if (request.path == "/cancel")
            return cancel(exchange, body);
    } catch (const json::exception& e) {
        return stand_in_server::answer(exchange, 400, json{{"error", e.what()}}.dump());
    }
    stand_in_server::answer(exchange, 404, R"({"error":"no such call"})");
}

void engine::count_leaked_keys(const edge::http_request& request) {
    const auto holds_key = [](const std::string& text) { return text.find("wxk_") != std::string::npos; };
    const bool in_header = std::any_of(request.headers.begin(), request.headers.end(),
                                       [&](const auto& field) { return holds_key(field.second); });
    const bool in_query = std::any_of(request.query.begin(), request.query.end(),
                                      [&](const auto& field) { return holds_key(field.second); });
    if (in_header || in_query || holds_key(request.body) || holds_key(request.path))
        ++counters_.keys_seen;
}

std::int64_t engine::used_bytes() const {
    std::int64_t out = 0;
    for (const auto& [name, model] : models_) {
        out += model.bytes;
        for (const auto& [adapter, bytes] : model.adapters)
            out += bytes;
    }
    return out;
}

std::size_t engine::running() const {
    return static_cast<std::size_t>(
        std::count_if(generations_.begin(), generations_.end(),
                      [](const auto& stream) { return stream.second.next < stream.second.total; }));
}

void engine::answer_state(const edge::exchange_ptr& exchange) {
    if (faults_.take("state_silent", ""))
        return; // no response; the caller runs into its timeout
    json models = json::array();
    for (const auto& [name, model] : models_) {
        if (!model.ready)
            continue;
        json adapters = json::array();
        for (const auto& [adapter, bytes] : model.adapters)
            adapters.push_back(adapter);
        models.push_back(
            {{"model", name}, {"version", model.version}, {"bytes", model.bytes}, {"adapters", adapters}});
    }
    stand_in_server::answer(exchange, 200,
                            json{{"boot_id", boot_},
                                 {"memory_bytes", options_.memory},
                                 {"used_bytes", used_bytes()},
                                 {"models", models},
                                 {"running", running()},
                                 {"cold", cold_}}
                                .dump());
}

void engine::answer_audit(const edge::exchange_ptr& exchange) {
    stand_in_server::answer(exchange, 200,
                            json{{"memory_bytes", options_.memory},
                                 {"used_bytes", used_bytes()},
                                 {"max_used_bytes", counters_.max_used_bytes},
                                 {"overcommit_attempts", counters_.overcommit_attempts},
                                 {"loads", counters_.loads},
                                 {"unloads", counters_.unloads},
                                 {"old_orders", counters_.old_orders},
                                 {"crashes", counters_.crashes},
                                 {"keys_seen", counters_.keys_seen},
                                 {"max_running", counters_.max_running},
                                 {"runs", counters_.runs}}
                                .dump());
}

void engine::add_fault(const edge::exchange_ptr& exchange) {
    if (!faults_.add(exchange->request().body))
        return stand_in_server::answer(exchange, 400,
                                       R"({"error":"expected {kind, match, count, delay_ms}"})");
    stand_in_server::answer(exchange, 200, "{}");
    if (faults_.take("crash", ""))
        return server_.run_after(crash_delay, [this] { crash(); });
    if (faults_.take("ignore_fencing", ""))
        options_.checks_fencing = false;
    if (const auto cold = faults_.take("cold", "")) {
        cold_ = true;
        server_.run_after(cold->delay, [this] { cold_ = false; });
    }
}

/// Counts an order whose fencing number is below the highest seen. If fencing is checked, responds 409 and
/// returns true.
bool engine::refuse_stale_order(const edge::exchange_ptr& exchange, const body& order) {
    const std::int64_t fencing = order.value("fencing", std::int64_t{0});
    if (fencing >= highest_fencing_) {
        highest_fencing_ = fencing;
        return false;
    }
    ++counters_.old_orders;
    if (options_.checks_fencing)
        stand_in_server::answer(exchange, 409, R"({"error":"old fencing number"})");
    return options_.checks_fencing;
}

void engine::load(const edge::exchange_ptr& exchange, const body& order) {
    const std::string model = order.at("model").get<std::string>();
    const std::string version = order.value("version", std::string{});
    const std::int64_t bytes = order.at("bytes").get<std::int64_t>();
    if (refuse_stale_order(exchange, order))
        return;
    if (faults_.take("crash_on_load", model))
        return crash();
    if (faults_.take("load_fail", model))
        return stand_in_server::answer(exchange, 500, R"({"error":"load failed"})");
    const auto existing = models_.find(model);
    if (existing != models_.end()) {
        const bool same = existing->second.ready && existing->second.version == version;
        return stand_in_server::answer(exchange, same ? 200 : 409,
                                       same ? "{}" : R"({"error":"held or being loaded"})");
    }
    if (used_bytes() + bytes > options_.memory) {
        ++counters_.overcommit_attempts;
        return stand_in_server::answer(exchange, 507, R"({"error":"no memory"})");
    }
    models_[model] = {version, bytes, false, {}};
    counters_.max_used_bytes = std::max(counters_.max_used_bytes, used_bytes());
    read_weights(exchange, model, order.value("weights", std::string{}));
}

void engine::read_weights(const edge::exchange_ptr& exchange, const std::string& model,
                          const std::string& url) {
    const auto slow = faults_.take("load_slow", model);
    const auto rest = options_.load_time + (slow ? slow->delay : core::common::milliseconds{0});
    const auto finish_after_delay = [this, exchange, model, rest, boot = boot_] {
        if (boot == boot_)
            server_.run_after(rest, [this, exchange, model] { finish_load(exchange, model); });
    };
    if (url.empty())
        return finish_after_delay();
    edge::client_request request;
    request.url = url;
    request.timeout = core::common::milliseconds{0};
    client_.send(
        request, [this, exchange, model, finish_after_delay, boot = boot_](edge::client_result&& result) {
            const bool good = result.outcome == edge::client_outcome::answered && result.status == 200;
            server_.post([this, exchange, model, finish_after_delay, good, boot] {
                if (good)
                    return finish_after_delay();
                if (boot != boot_)
                    return;
                models_.erase(model);
                stand_in_server::answer(exchange, 502, R"({"error":"weights can't be read"})");
            });
        });
}

void engine::finish_load(const edge::exchange_ptr& exchange, const std::string& model) {
    const auto found = models_.find(model);
    if (found == models_.end())
        return stand_in_server::answer(exchange, 409, R"({"error":"unloaded meanwhile"})");
    found->second.ready = true;
    ++counters_.loads;
    if (faults_.take("load_lost", model))
        return stand_in_server::cut(exchange);
    stand_in_server::answer(exchange, 200, "{}");
}

void engine::unload(const edge::exchange_ptr& exchange, const body& order) {
    const std::string model = order.at("model").get<std::string>();
    if (refuse_stale_order(exchange, order))
        return;
    if (models_.erase(model) > 0)
        ++counters_.unloads;
    if (faults_.take("unload_lost", model))
        return stand_in_server::cut(exchange);
    stand_in_server::answer(exchange, 200, "{}");
}

void engine::load_adapter(const edge::exchange_ptr& exchange, const body& order) {
    const auto found = models_.find(order.at("model").get<std::string>());
    const std::string adapter = order.at("adapter").get<std::string>();
    const std::int64_t bytes = order.value("bytes", std::int64_t{0});
    if (refuse_stale_order(exchange, order))
        return;
    if (found == models_.end() || !found->second.ready)
        return stand_in_server::answer(exchange, 404, R"({"error":"model not loaded"})");
    if (!found->second.adapters.contains(adapter) && used_bytes() + bytes > options_.memory) {
        ++counters_.overcommit_attempts;
        return stand_in_server::answer(exchange, 507, R"({"error":"no memory"})");
    }
    found->second.adapters.emplace(adapter, bytes);
    counters_.max_used_bytes = std::max(counters_.max_used_bytes, used_bytes());
    stand_in_server::answer(exchange, 200, "{}");
}

void engine::unload_adapter(const edge::exchange_ptr& exchange, const body& order) {
    const auto found = models_.find(order.at("model").get<std::string>());
    if (refuse_stale_order(exchange, order))
        return;
    if (found != models_.end())
        found->second.adapters.erase(order.at("adapter").get<std::string>());
    stand_in_server::answer(exchange, 200, "{}");
}

void engine::generate(const edge::exchange_ptr& exchange, const body& request) {
    const std::string id = request.at("request").get<std::string>();
    const std::string model = request.at("model").get<std::string>();
    const std::string prompt = request.value("prompt", std::string{});
    const std::string adapter = request.value("adapter", std::string{});
    const auto found = models_.find(model);
    if (found == models_.end() || !found->second.ready)
        return stand_in_server::answer(exchange, 404, R"({"error":"model not loaded"})");
    if (!adapter.empty() && !found->second.adapters.contains(adapter))
        return stand_in_server::answer(exchange, 404, R"({"error":"adapter not loaded"})");
    ++counters_.runs[id];
    if (prompt.find(crash_marker) != std::string::npos)
        return crash();
    generation generated;
    generated.words = words_of(prompt);
    generated.total = std::clamp(request.value("max_tokens", default_tokens), 1, max_tokens_per_answer);
    generated.silent = faults_.take("silent_stream", id + " " + model).has_value();
    generated.exchange = exchange;
    generations_[id] = std::move(generated);
    counters_.max_running = std::max(counters_.max_running, running());
    exchange->begin_stream(200, {{"Content-Type", "application/x-ndjson"}});
    const auto slow = faults_.take("slow_first", id + " " + model);
    server_.run_after(slow ? slow->delay : options_.token_time,
                      [this, id, boot = boot_] { generate_tokens(id, boot); });
}

/// Generates the next token, or all remaining ones at once if `token_time` is 0.
void engine::generate_tokens(const std::string& request, std::int64_t boot) {
    const auto found = generations_.find(request);
    if (boot != boot_ || found == generations_.end() || found->second.next >= found->second.total)
        return;
    generation& stream = found->second;
    do {
        send_token(stream, stream.next++);
    } while (options_.token_time.count() == 0 && stream.next < stream.total);
    if (stream.next < stream.total)
        return server_.run_after(options_.token_time,
                                 [this, request, boot] { generate_tokens(request, boot); });
    send_end(stream);
    if (generations_.size() > max_kept_generations)
        std::erase_if(generations_, [&](const auto& entry) {
            return entry.first != request && entry.second.next >= entry.second.total;
        });
}

void engine::send_token(generation& stream, int index) {
    if (stream.exchange == nullptr || (stream.silent && index > 0))
        return;
    const std::string text = stream.words[static_cast<std::size_t>(index) % stream.words.size()] + " ";
    if (!stream.exchange->write_stream(json{{"index", index}, {"text", text}}.dump() + "\n"))
        stream.exchange = nullptr;
}

void engine::send_end(generation& stream) {
    if (stream.exchange == nullptr || stream.silent)
        return;
    stream.exchange->write_stream(
        json{{"done", true}, {"tokens", stream.total}, {"finish_reason", "length"}}.dump() + "\n");
    stream.exchange->end_stream();
    stream.exchange = nullptr;
}

void engine::resume(const edge::exchange_ptr& exchange, const body& request) {
    const auto found = generations_.find(request.at("request").get<std::string>());
    if (found == generations_.end())
        return stand_in_server::answer(exchange, 404, R"({"error":"no such request"})");
    generation& stream = found->second;
    exchange->begin_stream(200, {{"Content-Type", "application/x-ndjson"}});
    if (stream.exchange != nullptr)
        stream.exchange->abort_stream();
    stream.exchange = exchange;
    stream.silent = false;
    for (int index = std::max(0, request.value("from", 0)); index < stream.next; ++index)
        send_token(stream, index);
    if (stream.next >= stream.total)
        send_end(stream);
}

void engine::cancel(const edge::exchange_ptr& exchange, const body& request) {
    const auto found = generations_.find(request.at("request").get<std::string>());
    if (found != generations_.end()) {
        if (found->second.exchange != nullptr)
            found->second.exchange->abort_stream();
        generations_.erase(found);
    }
    stand_in_server::answer(exchange, 200, "{}");
}

/// Simulates a crash and restart: drops all state, takes a new boot id and cuts the connections.
void engine::crash() {
    ++boot_;
    ++counters_.crashes;
    models_.clear();
    generations_.clear();
    highest_fencing_ = 0;
    server_.cancel_timers();
    server_.simulate_restart(options_.down_time);
}

} // namespace waxwinglb::standins::engine
