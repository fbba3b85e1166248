#include "standins/platform/platform.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace waxwinglb::standins::platform {
namespace {

using core::common::milliseconds;
using edge::exchange_ptr;
using nlohmann::json;

constexpr std::size_t max_queued_calls = 20'000;            // calls beyond this get a 503
constexpr milliseconds max_idle_wait{100};                  // bounds the delay until a stop is noticed
constexpr milliseconds max_watch_wait{60'000};              // longer waits are cut to this
constexpr std::size_t max_body_bytes = 2 * max_value_bytes; // leaves the 413 to the store
constexpr std::string_view objects_path = "/objects/";
constexpr std::string_view vms_path = "/vms/";
constexpr std::string_view weights_path = "/weights/";

edge::http_server_options server_options(const platform_settings& settings) {
    edge::http_server_options out;
    out.address = settings.listen;
    out.max_body = max_body_bytes;
    out.drains = true;
    return out;
}

std::string make_etag(store_position version) {
    return "\"" + core::common::to_text(version) + "\"";
}

std::optional<std::int64_t> parse_integer(std::string_view text) {
    std::int64_t out = 0;
    const auto end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, out);
    if (failure != std::errc{} || stop != end || text.empty())
        return std::nullopt;
    return out;
}

std::optional<store_position> parse_etag(std::string_view tag) {
    if (tag.size() < 2 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    return core::common::parse_store_position(tag.substr(1, tag.size() - 2));
}

void respond(const exchange_ptr& exchange, int status, const json& body) {
    exchange->respond({status, {{"Content-Type", "application/json"}}, body.dump()});
}
void refuse(const exchange_ptr& exchange, int status, const std::string& why) {
    respond(exchange, status, {{"status", status}, {"title", why}});
}

/// `version`: of the object; of an absent one its era tells.
void respond_object(const exchange_ptr& exchange, const object* found, store_position version) {
    if (found == nullptr)
        return exchange->respond({404, {{"ETag", make_etag(version)}}, "There is no such object."});
    exchange->respond({200,
                       {{"Content-Type", "application/octet-stream"}, {"ETag", make_etag(found->version)}},
                       found->value});
}

bool is_write(const edge::http_request& request) {
    return request.method == "PUT" || request.method == "DELETE";
}
bool is_control_path(const std::string& path) {
    return path == "/faults" || path == "/audit" || path == "/copy" || path == "/restore";
}

std::string string_field(const json& body, const char* name) {
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string{};
}
std::int64_t integer_field(const json& body, const char* name, std::int64_t fallback) {
    const auto found = body.find(name);
    return found != body.end() && found->is_number_integer() ? found->get<std::int64_t>() : fallback;
}

} // namespace

void read_settings(edge::settings_section& top, platform_settings& out) {
    out.listen = top.address("listen");
    out.vm_lag = top.duration("vm_lag", out.vm_lag);
    top.section("weights", false, [&out](edge::settings_section& weights) {
        out.weights.loads_per_second = weights.number("loads_per_second", 0.001, 1e6, 4);
        out.weights.full_speed_reads = static_cast<int>(weights.integer("at_once", 1, 10'000, 4));
    });
    top.list("vms", [&out](edge::settings_section& vm) {
        vm_entry entry;
        entry.vm = vm.text("vm");
        entry.data_centre = vm.text("data_centre");
        entry.role = vm.text("role");
        entry.service = vm.text("service", "");
        entry.address = vm.address("address");
        entry.engine = vm.text("engine", "");
        entry.state = vm.text("state", "live");
        out.vms.push_back(std::move(entry));
    });
}

platform_server::platform_server(platform_settings settings, edge::program_context& context)
    : settings_(std::move(settings)), context_(context), vms_(settings_.vm_lag), weights_(settings_.weights),
      call_queue_(max_queued_calls), server_(server_options(settings_), [this](const exchange_ptr& exchange) {
          if (!call_queue_.try_push(exchange_ptr{exchange}))
              refuse(exchange, 503, "Too many calls wait.");
      }) {
    for (const vm_entry& entry : settings_.vms)
        vms_.set_immediately(entry);
}

platform_server::~platform_server() {
    server_.stop_accepting();
    stopping_ = true;
    call_queue_.close();
    if (worker_.joinable())
        worker_.join();
    cut_watches("/");
    for (const delayed_call& call : delayed_calls_)
        call.exchange->cut();
    for (const auto& [id, exchange] : weight_reads_)
        exchange->cut();
}

bool platform_server::start() {
    if (!server_.start())
        return false;
    worker_ = std::thread{[this] { run_loop(); }};
    context_.ready = true;
    return true;
}

void platform_server::run_loop() {
    while (!stopping_) {
        const auto call = call_queue_.pop_until(next_due(core::common::clock::now()));
        const time_point now = core::common::clock::now();
        if (call)
            handle_call(*call, now);
        process_due_work(now);
    }
    while (const auto call = call_queue_.pop_until(core::common::clock::now()))
        (*call)->cut();
}

platform_server::time_point platform_server::next_due(time_point now) const {
    time_point due = std::min(now + max_idle_wait, weights_.next_completion(now));
    for (const delayed_call& call : delayed_calls_)
        due = std::min(due, call.due);
    for (const watch& waiting : watches_)
        due = std::min(due, waiting.deadline);
    return due;
}

void platform_server::process_due_work(time_point now) {
    std::vector<delayed_call> due;
    std::erase_if(delayed_calls_, [&](const delayed_call& call) {
        if (call.due > now)
            return false;
        due.push_back(call);
        return true;
    });
    for (const delayed_call& call : due) {
        if (call.weight_read_done)
            respond(call.exchange, 200, json::object());
        else
            execute_call(call.exchange, now);
    }
    std::erase_if(watches_, [now](const watch& waiting) {
        if (waiting.deadline <= now)
            waiting.exchange->respond({304, {{"ETag", make_etag(waiting.known_version)}}, {}});
        return waiting.deadline <= now || waiting.exchange->caller_gone();
    });
    finish_weight_reads(now);
}

void platform_server::finish_weight_reads(time_point now) {
    std::erase_if(weight_reads_, [&](const auto& read) {
        if (read.second->caller_gone())
            weights_.cancel(read.first, now);
        return read.second->caller_gone();
    });
    for (const read_id id : weights_.take_finished(now)) {
        const exchange_ptr exchange = weight_reads_.at(id);
        weight_reads_.erase(id);
        const auto slow = faults_.take(fault_kind::weights_slow, exchange->request().path);
        if (!slow) {
            respond(exchange, 200, json::object());
            continue;
        }
        ++faults_applied_[name_of(fault_kind::weights_slow)];
        delayed_calls_.push_back({now + slow->delay, exchange, true});
    }
}

void platform_server::handle_call(const exchange_ptr& exchange, time_point now) {
    const std::string& path = exchange->request().path;
    if (!is_control_path(path)) {
        if (faults_.take(fault_kind::down, path)) {
            ++faults_applied_[name_of(fault_kind::down)];
            return exchange->cut();
        }
        if (faults_.take(fault_kind::reject, path)) {
            ++faults_applied_[name_of(fault_kind::reject)];
            return refuse(exchange, 503, "The platform refuses for now.");
        }
        if (const auto slow = faults_.take(fault_kind::slow, path)) {
            ++faults_applied_[name_of(fault_kind::slow)];
            delayed_calls_.push_back({now + slow->delay, exchange});
            return;
        }
    }
    execute_call(exchange, now);
}

void platform_server::execute_call(const exchange_ptr& exchange, time_point now) {
    const edge::http_request& request = exchange->request();
    const std::string& path = request.path;
    if (path == "/faults")
        return change_faults(exchange);
    if (path == "/audit")
        return respond_audit(exchange);
    if (path == "/copy" && request.method == "POST") {
        objects_.take_copy();
        return exchange->respond({204, {}, {}});
    }
    if (path == "/restore" && request.method == "POST") {
        objects_.restore();
        cut_watches("/");
        return exchange->respond({204, {}, {}});
    }
    if (path == "/objects" && request.method == "GET")
        return respond_object_list(exchange);
    if (path.starts_with(objects_path) && path.size() > objects_path.size()) {
        const std::string key = path.substr(objects_path.size());
        if (request.method == "GET")
            return read_object(exchange, key, now);
        if (is_write(request))
            return write_object(exchange, key);
        return refuse(exchange, 405, "Objects take GET, PUT and DELETE.");
    }
    if (path == "/vms" && request.method == "GET")
        return respond_vms(exchange, now);
    if (path.starts_with(vms_path) && path.size() > vms_path.size() && is_write(request))
        return change_vm(exchange, path.substr(vms_path.size()), now);
    if (path.starts_with(weights_path) && request.method == "GET") {
        count_call("weights");
        weight_reads_[weights_.begin(now)] = exchange;
        max_weight_reads_ = std::max(max_weight_reads_, weights_.running());
        return;
    }
    if (!edge::answer_operations(exchange, context_))
        refuse(exchange, 404, "There is no such page.");
}

void platform_server::read_object(const exchange_ptr& exchange, const std::string& key, time_point now) {
    const auto& query = exchange->request().query;
    const auto watched = query.find("watch");
    if (watched == query.end()) {
        count_call("read");
        return respond_object(exchange, objects_.find(key), objects_.version_of(key));
    }
    count_call("watch");
    const auto wait_text = query.find("wait_ms");
    const auto known_version = core::common::parse_store_position(watched->second);
    const auto wait = wait_text == query.end() ? std::optional<std::int64_t>{max_watch_wait.count()}
                                               : parse_integer(wait_text->second);
    if (!known_version || !wait || *wait < 0)
        return refuse(exchange, 400, "watch and wait_ms are whole numbers.");
    if (objects_.version_of(key) != *known_version)
        return respond_object(exchange, objects_.find(key), objects_.version_of(key));
    watches_.push_back({key, *known_version, now + std::min(milliseconds{*wait}, max_watch_wait), exchange});
}

void platform_server::write_object(const exchange_ptr& exchange, const std::string& key) {
    const edge::http_request& request = exchange->request();
    const bool put = request.method == "PUT";
    count_call(put ? "write" : "delete");
    const auto match = request.headers.find("if-match");
    const auto none_match = request.headers.find("if-none-match");
    const bool expects_absence = none_match != request.headers.end() && none_match->second == "*";
    const auto expected_version =
        match == request.headers.end()
            ? (expects_absence ? std::optional<store_position>{store_position{}} : std::nullopt)
            : parse_etag(match->second);
    if (!expected_version)
        return refuse(exchange, 428, "A write needs If-Match: \"VERSION\" or If-None-Match: *.");
    const write_outcome outcome =
        put ? objects_.put(key, request.body, *expected_version) : objects_.remove(key, expected_version);
    const bool changed = outcome.status == write_status::created ||
                         outcome.status == write_status::replaced || outcome.status == write_status::removed;
    const auto lost_answer = faults_.take(fault_kind::lose_answer, request.path);
    if (lost_answer && lost_answer->then_down)
        cut_watches(lost_answer->match); // watchers must not see the write before the outage
    if (changed)
        answer_watches(key);
    if (lost_answer) {
        ++faults_applied_[name_of(fault_kind::lose_answer)];
        exchange->cut();
        return lost_answer->then_down ? start_outage(lost_answer->match) : void();
    }
    switch (outcome.status) {
    case write_status::created:
    case write_status::replaced:
        return exchange->respond({outcome.status == write_status::created ? 201 : 200,
                                  {{"ETag", make_etag(outcome.version)}},
                                  {}});
    case write_status::removed:
        return exchange->respond({204, {}, {}});
    case write_status::missing:
        return refuse(exchange, 404, "There is no such object.");
    case write_status::too_large:
        return refuse(exchange, 413, "A value may have 1,000,000 bytes.");
    case write_status::condition_failed:
        count_call("conflict");
        return exchange->respond({412, {{"ETag", make_etag(outcome.version)}}, {}});
    }
}

void platform_server::answer_watches(const std::string& key) {
    std::erase_if(watches_, [&](const watch& waiting) {
        if (waiting.key != key || waiting.known_version == objects_.version_of(key))
            return false;
        respond_object(waiting.exchange, objects_.find(key), objects_.version_of(key));
        return true;
    });
}

void platform_server::cut_watches(const std::string& match) {
    std::erase_if(watches_, [&](const watch& waiting) {
        if (!covers(match, std::string(objects_path) + waiting.key))
            return false;
        waiting.exchange->cut();
        return true;
    });
}

void platform_server::respond_object_list(const exchange_ptr& exchange) {
    count_call("list");
    const auto& query = exchange->request().query;
    const auto prefix = query.find("prefix");
    json out = json::array();
    for (const auto& [key, version] : objects_.list(prefix == query.end() ? "" : prefix->second))
        out.push_back(
            {{"key", key}, {"version", version.era == 0 ? json(version.revision) : json(to_text(version))}});
    respond(exchange, 200, out);
}

void platform_server::respond_vms(const exchange_ptr& exchange, time_point now) {
    count_call("vms");
    json out = json::array();
    for (const auto& [name, vm] : vms_.visible(now))
        out.push_back({{"vm", vm.vm},
                       {"data_centre", vm.data_centre},
                       {"role", vm.role},
                       {"service", vm.service},
                       {"address", vm.address},
                       {"engine", vm.engine},
                       {"state", vm.state}});
    respond(exchange, 200, out);
}

void platform_server::change_vm(const exchange_ptr& exchange, const std::string& vm, time_point now) {
    if (exchange->request().method == "DELETE") {
        vms_.remove(vm, now);
        return exchange->respond({204, {}, {}});
    }
    const json body = json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object())
        return refuse(exchange, 400, "A VM is a JSON object.");
    const std::string state = string_field(body, "state");
    vms_.set({vm, string_field(body, "data_centre"), string_field(body, "role"),
              string_field(body, "service"), string_field(body, "address"), string_field(body, "engine"),
              state.empty() ? "live" : state},
             now);
    exchange->respond({204, {}, {}});
}

void platform_server::change_faults(const exchange_ptr& exchange) {
    if (exchange->request().method == "DELETE") {
        faults_.clear();
        return exchange->respond({204, {}, {}});
    }
    const json body = json::parse(exchange->request().body, nullptr, false);
    const auto kind = body.is_object() ? fault_kind_of(string_field(body, "kind")) : std::nullopt;
    if (exchange->request().method != "POST" || !kind)
        return refuse(exchange, 400,
                      "POST a JSON object whose kind is down, slow, lose_answer, weights_slow or reject.");
    const fault_rule rule{*kind, string_field(body, "match"), integer_field(body, "count", -1),
                          milliseconds{integer_field(body, "delay_ms", 0)},
                          body.contains("then_down") && body["then_down"] == true};
    faults_.add(rule);
    if (*kind == fault_kind::down)
        cut_watches(rule.match); // an outage also ends pending watches
    exchange->respond({204, {}, {}});
}

void platform_server::start_outage(const std::string& match) {
    faults_.add({fault_kind::down, match, -1, milliseconds{0}, false});
    cut_watches(match);
}

void platform_server::respond_audit(const exchange_ptr& exchange) {
    respond(exchange, 200,
            {{"calls", calls_},
             {"faults", faults_applied_},
             {"open_watches", watches_.size()},
             {"weight_reads", {{"running", weight_reads_.size()}, {"most", max_weight_reads_}}}});
}

} // namespace waxwinglb::standins::platform
