#include "standins/engine/engine.hpp"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace waxwinglb::standins::engine {
namespace {

using nlohmann::json;

constexpr int default_tokens = 16;                     // if a request names none
constexpr int most_tokens = 100'000;                   // of one answer
constexpr std::size_t kept_streams = 1'000;            // finished ones, for /resume
constexpr core::common::milliseconds answer_first{20}; // so that POST /faults itself is answered
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
      door_(options_.listen, [this](const edge::exchange_ptr& exchange) { handle(exchange); }) {}

engine::~engine() {
    door_.stop();
}

void engine::handle(const edge::exchange_ptr& exchange) {
    const edge::http_request& request = exchange->request();
    audit_for_keys(request);
    if (request.path == "/healthz")
        return door::answer(exchange, 200, "ok\n", "text/plain");
    if (request.path == "/audit")
        return answer_audit(exchange);
    if (request.path == "/faults")
        return take_fault(exchange);
    if (request.path == "/state")
        return answer_state(exchange);
    const json body = json::parse(request.body, nullptr, false);
    if (request.method != "POST" || !body.is_object())
        return door::answer(exchange, 400, R"({"error":"expected POST with a JSON object"})");
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
        return door::answer(exchange, 400, json{{"error", e.what()}}.dump());
    }
    door::answer(exchange, 404, R"({"error":"no such call"})");
}

void engine::audit_for_keys(const edge::http_request& request) {
    const auto holds_key = [](const std::string& text) { return text.find("wxk_") != std::string::npos; };
    const bool in_header = std::any_of(request.headers.begin(), request.headers.end(),
                                       [&](const auto& field) { return holds_key(field.second); });
    const bool in_query = std::any_of(request.query.begin(), request.query.end(),
                                      [&](const auto& field) { return holds_key(field.second); });
    if (in_header || in_query || holds_key(request.body) || holds_key(request.path))
        ++counters_.keys_seen;
}

std::int64_t engine::used() const {
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
                      [](const auto& one) { return one.second.next < one.second.total; }));
}

void engine::answer_state(const edge::exchange_ptr& exchange) {
    if (faults_.take("state_silent", ""))
        return; // never answered; the caller's timeout ends it
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
    door::answer(exchange, 200,
                 json{{"boot_id", boot_},
                      {"memory_bytes", options_.memory},
                      {"used_bytes", used()},
                      {"models", models},
                      {"running", running()},
                      {"cold", cold_}}
                     .dump());
}

void engine::answer_audit(const edge::exchange_ptr& exchange) {
    door::answer(exchange, 200,
                 json{{"memory_bytes", options_.memory},
                      {"used_bytes", used()},
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

void engine::take_fault(const edge::exchange_ptr& exchange) {
    if (!faults_.add(exchange->request().body))
        return door::answer(exchange, 400, R"({"error":"expected {kind, match, count, delay_ms}"})");
    door::answer(exchange, 200, "{}");
    if (faults_.take("crash", ""))
        return door_.after(answer_first, [this] { crash(); });
    if (faults_.take("ignore_fencing", ""))
        options_.checks_fencing = false;
    if (const auto cold = faults_.take("cold", "")) {
        cold_ = true;
        door_.after(cold->delay, [this] { cold_ = false; });
    }
}

/// Counts an order whose fencing number is below the highest seen; answers it if this engine checks.
bool engine::refuse_old(const edge::exchange_ptr& exchange, const body& order) {
    const std::int64_t fencing = order.value("fencing", std::int64_t{0});
    if (fencing >= highest_fencing_) {
        highest_fencing_ = fencing;
        return false;
    }
    ++counters_.old_orders;
    if (options_.checks_fencing)
        door::answer(exchange, 409, R"({"error":"old fencing number"})");
    return options_.checks_fencing;
}

void engine::load(const edge::exchange_ptr& exchange, const body& order) {
    const std::string model = order.at("model").get<std::string>();
    const std::string version = order.value("version", std::string{});
    const std::int64_t bytes = order.at("bytes").get<std::int64_t>();
    if (refuse_old(exchange, order))
        return;
    if (faults_.take("crash_on_load", model))
        return crash();
    if (faults_.take("load_fail", model))
        return door::answer(exchange, 500, R"({"error":"load failed"})");
    const auto present = models_.find(model);
    if (present != models_.end()) {
        const bool same = present->second.ready && present->second.version == version;
        return door::answer(exchange, same ? 200 : 409, same ? "{}" : R"({"error":"held or being loaded"})");
    }
    if (used() + bytes > options_.memory) {
        ++counters_.overcommit_attempts;
        return door::answer(exchange, 507, R"({"error":"no memory"})");
    }
    models_[model] = {version, bytes, false, {}};
    counters_.max_used_bytes = std::max(counters_.max_used_bytes, used());
    read_weights(exchange, model, order.value("weights", std::string{}));
}

void engine::read_weights(const edge::exchange_ptr& exchange, const std::string& model,
                          const std::string& url) {
    const auto slow = faults_.take("load_slow", model);
    const auto rest = options_.load_time + (slow ? slow->delay : core::common::milliseconds{0});
    const auto loaded = [this, exchange, model, rest, boot = boot_] {
        if (boot == boot_)
            door_.after(rest, [this, exchange, model] { finish_load(exchange, model); });
    };
    if (url.empty())
        return loaded();
    edge::client_request request;
    request.url = url;
    request.timeout = core::common::milliseconds{0};
    client_.send(request, [this, exchange, model, loaded, boot = boot_](edge::client_result&& result) {
        const bool good = result.outcome == edge::client_outcome::answered && result.status == 200;
        door_.post([this, exchange, model, loaded, good, boot] {
            if (good)
                return loaded();
            if (boot != boot_)
                return;
            models_.erase(model);
            door::answer(exchange, 502, R"({"error":"weights can't be read"})");
        });
    });
}

void engine::finish_load(const edge::exchange_ptr& exchange, const std::string& model) {
    const auto found = models_.find(model);
    if (found == models_.end())
        return door::answer(exchange, 409, R"({"error":"unloaded meanwhile"})");
    found->second.ready = true;
    ++counters_.loads;
    if (faults_.take("load_lost", model))
        return door::cut(exchange);
    door::answer(exchange, 200, "{}");
}

void engine::unload(const edge::exchange_ptr& exchange, const body& order) {
    const std::string model = order.at("model").get<std::string>();
    if (refuse_old(exchange, order))
        return;
    if (models_.erase(model) > 0)
        ++counters_.unloads;
    if (faults_.take("unload_lost", model))
        return door::cut(exchange);
    door::answer(exchange, 200, "{}");
}

void engine::load_adapter(const edge::exchange_ptr& exchange, const body& order) {
    const auto found = models_.find(order.at("model").get<std::string>());
    const std::string adapter = order.at("adapter").get<std::string>();
    const std::int64_t bytes = order.value("bytes", std::int64_t{0});
    if (refuse_old(exchange, order))
        return;
    if (found == models_.end() || !found->second.ready)
        return door::answer(exchange, 404, R"({"error":"model not loaded"})");
    if (!found->second.adapters.contains(adapter) && used() + bytes > options_.memory) {
        ++counters_.overcommit_attempts;
        return door::answer(exchange, 507, R"({"error":"no memory"})");
    }
    found->second.adapters.emplace(adapter, bytes);
    counters_.max_used_bytes = std::max(counters_.max_used_bytes, used());
    door::answer(exchange, 200, "{}");
}

void engine::unload_adapter(const edge::exchange_ptr& exchange, const body& order) {
    const auto found = models_.find(order.at("model").get<std::string>());
    if (refuse_old(exchange, order))
        return;
    if (found != models_.end())
        found->second.adapters.erase(order.at("adapter").get<std::string>());
    door::answer(exchange, 200, "{}");
}

void engine::generate(const edge::exchange_ptr& exchange, const body& request) {
    const std::string id = request.at("request").get<std::string>();
    const std::string model = request.at("model").get<std::string>();
    const std::string prompt = request.value("prompt", std::string{});
    const std::string adapter = request.value("adapter", std::string{});
    const auto found = models_.find(model);
    if (found == models_.end() || !found->second.ready)
        return door::answer(exchange, 404, R"({"error":"model not loaded"})");
    if (!adapter.empty() && !found->second.adapters.contains(adapter))
        return door::answer(exchange, 404, R"({"error":"adapter not loaded"})");
    ++counters_.runs[id];
    if (prompt.find(crash_marker) != std::string::npos)
        return crash();
    generation made;
    made.words = words_of(prompt);
    made.total = std::clamp(request.value("max_tokens", default_tokens), 1, most_tokens);
    made.silent = faults_.take("silent_stream", id + " " + model).has_value();
    made.out = exchange;
    generations_[id] = std::move(made);
    counters_.max_running = std::max(counters_.max_running, running());
    exchange->begin_stream(200, {{"Content-Type", "application/x-ndjson"}});
    const auto slow = faults_.take("slow_first", id + " " + model);
    door_.after(slow ? slow->delay : options_.token_time, [this, id, boot = boot_] { step(id, boot); });
}

/// Makes the next token; with no token time all the rest at once.
void engine::step(const std::string& request, std::int64_t boot) {
    const auto found = generations_.find(request);
    if (boot != boot_ || found == generations_.end() || found->second.next >= found->second.total)
        return;
    generation& one = found->second;
    do {
        send_token(one, one.next++);
    } while (options_.token_time.count() == 0 && one.next < one.total);
    if (one.next < one.total)
        return door_.after(options_.token_time, [this, request, boot] { step(request, boot); });
    send_end(one);
    if (generations_.size() > kept_streams)
        std::erase_if(generations_, [&](const auto& entry) {
            return entry.first != request && entry.second.next >= entry.second.total;
        });
}

void engine::send_token(generation& one, int index) {
    if (one.out == nullptr || (one.silent && index > 0))
        return;
    const std::string text = one.words[static_cast<std::size_t>(index) % one.words.size()] + " ";
    if (!one.out->write_stream(json{{"index", index}, {"text", text}}.dump() + "\n"))
        one.out = nullptr;
}

void engine::send_end(generation& one) {
    if (one.out == nullptr || one.silent)
        return;
    one.out->write_stream(json{{"done", true}, {"tokens", one.total}, {"finish_reason", "length"}}.dump() +
                          "\n");
    one.out->end_stream();
    one.out = nullptr;
}

void engine::resume(const edge::exchange_ptr& exchange, const body& request) {
    const auto found = generations_.find(request.at("request").get<std::string>());
    if (found == generations_.end())
        return door::answer(exchange, 404, R"({"error":"no such request"})");
    generation& one = found->second;
    exchange->begin_stream(200, {{"Content-Type", "application/x-ndjson"}});
    if (one.out != nullptr)
        one.out->abort_stream();
    one.out = exchange;
    one.silent = false;
    for (int index = std::max(0, request.value("from", 0)); index < one.next; ++index)
        send_token(one, index);
    if (one.next >= one.total)
        send_end(one);
}

void engine::cancel(const edge::exchange_ptr& exchange, const body& request) {
    const auto found = generations_.find(request.at("request").get<std::string>());
    if (found != generations_.end()) {
        if (found->second.out != nullptr)
            found->second.out->abort_stream();
        generations_.erase(found);
    }
    door::answer(exchange, 200, "{}");
}

/// What a crash and restart look like from outside: all state gone, a new boot id, connections cut.
void engine::crash() {
    ++boot_;
    ++counters_.crashes;
    models_.clear();
    generations_.clear();
    highest_fencing_ = 0;
    door_.forget_timers();
    door_.cut_all(options_.down_time);
}

} // namespace waxwinglb::standins::engine
