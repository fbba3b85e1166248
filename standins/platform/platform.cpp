#include "standins/platform/platform.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace waxwinglb::standins::platform {
namespace {

using core::common::milliseconds;
using edge::exchange_ptr;
using nlohmann::json;

constexpr std::size_t ring_capacity = 20'000;               // calls not yet taken up
constexpr milliseconds longest_nap{100};                    // how late a stop is noticed
constexpr milliseconds longest_watch{60'000};               // a longer wait is shortened to this
constexpr std::size_t max_body_bytes = 2 * max_value_bytes; // read, so that 413 comes from the store itself
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

std::string quoted(std::int64_t version) {
    return "\"" + std::to_string(version) + "\"";
}

std::optional<std::int64_t> whole_of(std::string_view text) {
    std::int64_t out = 0;
    const auto end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, out);
    if (failure != std::errc{} || stop != end || text.empty())
        return std::nullopt;
    return out;
}

std::optional<std::int64_t> version_in(std::string_view tag) {
    if (tag.size() < 2 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    return whole_of(tag.substr(1, tag.size() - 2));
}

void respond(const exchange_ptr& exchange, int status, const json& body) {
    exchange->respond({status, {{"Content-Type", "application/json"}}, body.dump()});
}
void refuse(const exchange_ptr& exchange, int status, const std::string& why) {
    respond(exchange, status, {{"status", status}, {"title", why}});
}

void respond_object(const exchange_ptr& exchange, const object* found) {
    if (found == nullptr)
        return refuse(exchange, 404, "There is no such object.");
    exchange->respond({200,
                       {{"Content-Type", "application/octet-stream"}, {"ETag", quoted(found->version)}},
                       found->value});
}

bool is_write(const edge::http_request& request) {
    return request.method == "PUT" || request.method == "DELETE";
}
bool is_about_the_stand_in(const std::string& path) {
    return path == "/faults" || path == "/audit";
}

std::string text_member(const json& body, const char* name) {
    const auto found = body.find(name);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string{};
}
std::int64_t whole_member(const json& body, const char* name, std::int64_t fallback) {
    const auto found = body.find(name);
    return found != body.end() && found->is_number_integer() ? found->get<std::int64_t>() : fallback;
}

} // namespace

void read_settings(edge::settings_section& top, platform_settings& out) {
    out.listen = top.address("listen");
    out.vm_lag = top.duration("vm_lag", out.vm_lag);
    top.section("weights", false, [&out](edge::settings_section& weights) {
        out.weights.loads_per_second = weights.number("loads_per_second", 0.001, 1e6, 4);
        out.weights.at_once = static_cast<int>(weights.integer("at_once", 1, 10'000, 4));
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
      calls_ring_(ring_capacity), server_(server_options(settings_), [this](const exchange_ptr& exchange) {
          if (!calls_ring_.try_push(exchange_ptr{exchange}))
              refuse(exchange, 503, "Too many calls wait.");
      }) {
    for (const vm_entry& entry : settings_.vms)
        vms_.set_at_once(entry);
}

platform_server::~platform_server() {
    server_.stop_accepting();
    ending_ = true;
    calls_ring_.close();
    if (decider_.joinable())
        decider_.join();
    cut_watches("/");
    for (const late_call& call : late_calls_)
        call.exchange->cut();
    for (const auto& [id, exchange] : weight_reads_)
        exchange->cut();
}

bool platform_server::start() {
    if (!server_.start())
        return false;
    decider_ = std::thread{[this] { decide(); }};
    context_.ready = true;
    return true;
}

void platform_server::decide() {
    while (!ending_) {
        const auto call = calls_ring_.pop_until(next_due(core::common::clock::now()));
        const time_point now = core::common::clock::now();
        if (call)
            take_up(*call, now);
        pass_time(now);
    }
    while (const auto call = calls_ring_.pop_until(core::common::clock::now()))
        (*call)->cut();
}

platform_server::time_point platform_server::next_due(time_point now) const {
    time_point due = std::min(now + longest_nap, weights_.next_end(now));
    for (const late_call& call : late_calls_)
        due = std::min(due, call.due);
    for (const watch& one : watches_)
        due = std::min(due, one.until);
    return due;
}

void platform_server::pass_time(time_point now) {
    std::vector<late_call> due;
    std::erase_if(late_calls_, [&](const late_call& call) {
        if (call.due > now)
            return false;
        due.push_back(call);
        return true;
    });
    for (const late_call& call : due) {
        if (call.answer_now)
            respond(call.exchange, 200, json::object());
        else
            carry_out(call.exchange, now);
    }
    std::erase_if(watches_, [now](const watch& one) {
        if (one.until <= now)
            one.exchange->respond({304, {{"ETag", quoted(one.seen)}}, {}});
        return one.until <= now || one.exchange->caller_gone();
    });
    end_weight_reads(now);
}

void platform_server::end_weight_reads(time_point now) {
    std::erase_if(weight_reads_, [&](const auto& read) {
        if (read.second->caller_gone())
            weights_.abandon(read.first, now);
        return read.second->caller_gone();
    });
    for (const read_id id : weights_.finished(now)) {
        const exchange_ptr exchange = weight_reads_.at(id);
        weight_reads_.erase(id);
        const auto slow = faults_.take(fault_kind::weights_slow, exchange->request().path);
        if (!slow) {
            respond(exchange, 200, json::object());
            continue;
        }
        ++faults_shown_[name_of(fault_kind::weights_slow)];
        late_calls_.push_back({now + slow->delay, exchange, true});
    }
}

void platform_server::take_up(const exchange_ptr& exchange, time_point now) {
    const std::string& path = exchange->request().path;
    if (!is_about_the_stand_in(path)) {
        if (faults_.take(fault_kind::down, path)) {
            ++faults_shown_[name_of(fault_kind::down)];
            return exchange->cut();
        }
        if (faults_.take(fault_kind::reject, path)) {
            ++faults_shown_[name_of(fault_kind::reject)];
            return refuse(exchange, 503, "The platform refuses for now.");
        }
        if (const auto slow = faults_.take(fault_kind::slow, path)) {
            ++faults_shown_[name_of(fault_kind::slow)];
            late_calls_.push_back({now + slow->delay, exchange});
            return;
        }
    }
    carry_out(exchange, now);
}

void platform_server::carry_out(const exchange_ptr& exchange, time_point now) {
    const edge::http_request& request = exchange->request();
    const std::string& path = request.path;
    if (path == "/faults")
        return change_faults(exchange);
    if (path == "/audit")
        return show_audit(exchange);
    if (path == "/objects" && request.method == "GET")
        return list_objects(exchange);
    if (path.starts_with(objects_path) && path.size() > objects_path.size()) {
        const std::string key = path.substr(objects_path.size());
        if (request.method == "GET")
            return read_object(exchange, key, now);
        if (is_write(request))
            return write_object(exchange, key);
        return refuse(exchange, 405, "Objects take GET, PUT and DELETE.");
    }
    if (path == "/vms" && request.method == "GET")
        return show_vms(exchange, now);
    if (path.starts_with(vms_path) && path.size() > vms_path.size() && is_write(request))
        return change_vm(exchange, path.substr(vms_path.size()), now);
    if (path.starts_with(weights_path) && request.method == "GET") {
        count("weights");
        weight_reads_[weights_.begin(now)] = exchange;
        most_weight_reads_ = std::max(most_weight_reads_, weights_.running());
        return;
    }
    if (!edge::answer_operations(exchange, context_))
        refuse(exchange, 404, "There is no such page.");
}

void platform_server::read_object(const exchange_ptr& exchange, const std::string& key, time_point now) {
    const auto& query = exchange->request().query;
    const auto watched = query.find("watch");
    if (watched == query.end()) {
        count("read");
        return respond_object(exchange, objects_.find(key));
    }
    count("watch");
    const auto wait_text = query.find("wait_ms");
    const auto seen = whole_of(watched->second);
    const auto wait = wait_text == query.end() ? std::optional<std::int64_t>{longest_watch.count()}
                                               : whole_of(wait_text->second);
    if (!seen || !wait || *wait < 0)
        return refuse(exchange, 400, "watch and wait_ms are whole numbers.");
    if (objects_.version_of(key) != *seen)
        return respond_object(exchange, objects_.find(key));
    watches_.push_back({key, *seen, now + std::min(milliseconds{*wait}, longest_watch), exchange});
}

void platform_server::write_object(const exchange_ptr& exchange, const std::string& key) {
    const edge::http_request& request = exchange->request();
    const bool put = request.method == "PUT";
    count(put ? "write" : "delete");
    const auto match = request.headers.find("if-match");
    const auto none_match = request.headers.find("if-none-match");
    const bool expects_absence = none_match != request.headers.end() && none_match->second == "*";
    const auto expected = match == request.headers.end()
                              ? (expects_absence ? std::optional<std::int64_t>{0} : std::nullopt)
                              : version_in(match->second);
    if (!expected)
        return refuse(exchange, 428, "A write needs If-Match: \"VERSION\" or If-None-Match: *.");
    const write_outcome outcome =
        put ? objects_.put(key, request.body, *expected) : objects_.remove(key, expected);
    const bool changed = outcome.status == write_status::created ||
                         outcome.status == write_status::replaced || outcome.status == write_status::removed;
    const auto lost = faults_.take(fault_kind::lose_answer, request.path);
    if (lost && lost->then_down)
        cut_watches(lost->match); // nobody learns of the write before the outage
    if (changed)
        answer_watches(key);
    if (lost) {
        ++faults_shown_[name_of(fault_kind::lose_answer)];
        exchange->cut();
        return lost->then_down ? begin_outage(lost->match) : void();
    }
    switch (outcome.status) {
    case write_status::created:
    case write_status::replaced:
        return exchange->respond(
            {outcome.status == write_status::created ? 201 : 200, {{"ETag", quoted(outcome.version)}}, {}});
    case write_status::removed:
        return exchange->respond({204, {}, {}});
    case write_status::missing:
        return refuse(exchange, 404, "There is no such object.");
    case write_status::too_large:
        return refuse(exchange, 413, "A value may have 1,000,000 bytes.");
    case write_status::condition_failed:
        count("conflict");
        return exchange->respond({412, {{"ETag", quoted(outcome.version)}}, {}});
    }
}

void platform_server::answer_watches(const std::string& key) {
    std::erase_if(watches_, [&](const watch& one) {
        if (one.key != key || one.seen == objects_.version_of(key))
            return false;
        respond_object(one.exchange, objects_.find(key));
        return true;
    });
}

void platform_server::cut_watches(const std::string& match) {
    std::erase_if(watches_, [&](const watch& one) {
        if (!covers(match, std::string(objects_path) + one.key))
            return false;
        one.exchange->cut();
        return true;
    });
}

void platform_server::list_objects(const exchange_ptr& exchange) {
    count("list");
    const auto& query = exchange->request().query;
    const auto prefix = query.find("prefix");
    json out = json::array();
    for (const auto& [key, version] : objects_.list(prefix == query.end() ? "" : prefix->second))
        out.push_back({{"key", key}, {"version", version}});
    respond(exchange, 200, out);
}

void platform_server::show_vms(const exchange_ptr& exchange, time_point now) {
    count("vms");
    json out = json::array();
    for (const auto& [name, vm] : vms_.shown(now))
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
    const std::string state = text_member(body, "state");
    vms_.set({vm, text_member(body, "data_centre"), text_member(body, "role"), text_member(body, "service"),
              text_member(body, "address"), text_member(body, "engine"), state.empty() ? "live" : state},
             now);
    exchange->respond({204, {}, {}});
}

void platform_server::change_faults(const exchange_ptr& exchange) {
    if (exchange->request().method == "DELETE") {
        faults_.clear();
        return exchange->respond({204, {}, {}});
    }
    const json body = json::parse(exchange->request().body, nullptr, false);
    const auto kind = body.is_object() ? fault_kind_of(text_member(body, "kind")) : std::nullopt;
    if (exchange->request().method != "POST" || !kind)
        return refuse(exchange, 400,
                      "POST a JSON object whose kind is down, slow, lose_answer, weights_slow or reject.");
    const fault_rule rule{*kind, text_member(body, "match"), whole_member(body, "count", -1),
                          milliseconds{whole_member(body, "delay_ms", 0)},
                          body.contains("then_down") && body["then_down"] == true};
    faults_.add(rule);
    if (*kind == fault_kind::down)
        cut_watches(rule.match); // an outage ends what waits, too
    exchange->respond({204, {}, {}});
}

void platform_server::begin_outage(const std::string& match) {
    faults_.add({fault_kind::down, match, -1, milliseconds{0}, false});
    cut_watches(match);
}

void platform_server::show_audit(const exchange_ptr& exchange) {
    respond(exchange, 200,
            {{"calls", calls_},
             {"faults", faults_shown_},
             {"open_watches", watches_.size()},
             {"weight_reads", {{"running", weight_reads_.size()}, {"most", most_weight_reads_}}}});
}

} // namespace waxwinglb::standins::platform
