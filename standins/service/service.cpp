#include "standins/service/service.hpp"

#include <algorithm>

namespace waxwinglb::standins::service {
namespace {

using nlohmann::json;

edge::http_response json_response(int status, const json& body) {
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

bool holds_key(const edge::http_request& request) {
    const auto contains_key = [](const std::string& text) { return text.find("wxk_") != std::string::npos; };
    const auto value_contains_key = [&](const auto& field) { return contains_key(field.second); };
    return contains_key(request.body) || contains_key(request.path) ||
           std::any_of(request.headers.begin(), request.headers.end(), value_contains_key) ||
           std::any_of(request.query.begin(), request.query.end(), value_contains_key);
}

std::string header(const edge::http_request& request, const std::string& name) {
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? "" : found->second;
}

} // namespace

service::service(service_options options)
    : options_(std::move(options)),
      server_(options_.listen, [this](const edge::exchange_ptr& exchange) { handle(exchange); }) {}

service::~service() {
    server_.stop();
}

void service::handle(const edge::exchange_ptr& exchange) {
    const edge::http_request& request = exchange->request();
    if (holds_key(request))
        ++keys_seen_;
    if (request.path == "/healthz")
        return stand_in_server::answer(exchange, 200, "ok\n", "text/plain");
    if (request.path == "/audit")
        return answer_audit(exchange);
    if (request.path != "/faults")
        return run_with_faults(exchange);
    if (!faults_.add(request.body))
        return stand_in_server::answer(exchange, 400,
                                       R"({"error":"expected {kind, match, count, delay_ms}"})");
    stand_in_server::answer(exchange, 200, "{}");
}

/// Runs a call and applies the faults before and after its effect. Faults match against "METHOD PATH BODY".
void service::run_with_faults(const edge::exchange_ptr& exchange) {
    const edge::http_request& request = exchange->request();
    const std::string subject = request.method + " " + request.path + " " + request.body;
    if (faults_.take("crash", subject) || request.body.find("CRASH_ENGINE") != std::string::npos)
        return crash();
    const edge::http_response response = execute_call(request);
    if (faults_.take("answer_lost", subject))
        return stand_in_server::cut(exchange);
    if (faults_.take("crash_after", subject))
        return crash();
    if (const auto slow = faults_.take("slow", subject))
        return server_.run_after(slow->delay, [exchange, response] { exchange->respond(response); });
    exchange->respond(response);
}

edge::http_response service::execute_call(const edge::http_request& request) {
    const std::string folios = "/folios/";
    const std::string lots = "/lots/";
    const bool ledger = options_.role == service_role::ledger;
    if (ledger && request.method == "POST" && request.path == "/folios")
        return issue_folio(request);
    if (ledger && request.method == "GET" && request.path.starts_with(folios)) {
        const auto number = std::strtoull(request.path.c_str() + folios.size(), nullptr, 10);
        if (number == 0 || number > folios_.size())
            return json_response(404, {{"error", "no such folio"}});
        return json_response(200, {{"folio", number}, {"body", folios_[number - 1]}});
    }
    if (ledger && request.method == "POST" && request.path == "/reconcile")
        return json_response(200, {{"folios", folios_.size()}, {"reconciled", true}});
    if (!ledger && request.method == "POST" && request.path == "/certifications")
        return certify(request);
    if (!ledger && request.method == "GET" && request.path.starts_with(lots)) {
        const auto found = lots_.find(request.path.substr(lots.size()));
        return json_response(200, {{"lot", request.path.substr(lots.size())},
                                   {"certifications", found == lots_.end() ? 0 : found->second.size()}});
    }
    return json_response(404, {{"error", "no such call"}});
}

edge::http_response service::issue_folio(const edge::http_request& request) {
    const std::string id = header(request, "x-request-id");
    runs_.push_back({id, request.method, request.path});
    ++runs_by_request_[id];
    folios_.push_back(request.body);
    return json_response(201, {{"folio", folios_.size()}});
}

edge::http_response service::certify(const edge::http_request& request) {
    const json body = json::parse(request.body, nullptr, false);
    const std::string lot = body.is_object() && body.contains("lot") ? body["lot"].dump() : "";
    const std::string id = header(request, "x-request-id");
    runs_.push_back({id, request.method, request.path});
    ++runs_by_request_[id];
    std::string name = lot;
    std::erase(name, '"');
    lots_[name].push_back(request.body);
    return json_response(201, {{"lot", name}, {"certification", lots_[name].size()}});
}

void service::answer_audit(const edge::exchange_ptr& exchange) {
    json runs = json::array();
    for (const run& completed_run : runs_)
        runs.push_back({{"request", completed_run.request_id},
                        {"method", completed_run.method},
                        {"path", completed_run.path}});
    std::size_t certifications = 0;
    for (const auto& [lot, entries] : lots_)
        certifications += entries.size();
    stand_in_server::answer(exchange, 200,
                            json{{"runs", runs},
                                 {"runs_by_request", runs_by_request_},
                                 {"folios", folios_.size()},
                                 {"certifications", certifications},
                                 {"keys_seen", keys_seen_}}
                                .dump());
}

/// Cuts the connections. The records stay, as in a service with persistent storage.
void service::crash() {
    server_.cancel_timers();
    server_.simulate_restart(options_.down_time);
}

} // namespace waxwinglb::standins::service
