/// Stand-in for a plain service: a ledger that issues folios or a registry of certifications.
///
/// ledger:   POST /folios issues the next number, GET /folios/N, POST /reconcile.
/// registry: POST /certifications records one, GET /lots/N lists a lot's.
/// Both: GET /audit with every run by X-Request-Id, POST /faults, GET /healthz.
/// Fault kinds: answer_lost (after taking effect), slow, crash (before taking effect), crash_after.
#pragma once

#include "standins/door.hpp"
#include "standins/faults.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace waxwinglb::standins::service {

enum class service_role { ledger, registry };

struct service_options {
    std::string name = "service";
    std::string listen = "127.0.0.1:0";
    service_role role = service_role::ledger;
    core::common::milliseconds down_time{300}; // refuses connections after a crash
};

class service {
public:
    explicit service(service_options options);
    ~service();
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    service(service&&) = delete;
    service& operator=(service&&) = delete;

    bool start() { return door_.start(); }
    [[nodiscard]] const std::string& address() const { return door_.address(); }

private:
    struct run {
        std::string request_id;
        std::string method;
        std::string path;
    };

    void handle(const edge::exchange_ptr& exchange);
    void call(const edge::exchange_ptr& exchange);
    edge::http_response carry_out(const edge::http_request& request);
    edge::http_response issue_folio(const edge::http_request& request);
    edge::http_response certify(const edge::http_request& request);
    void answer_audit(const edge::exchange_ptr& exchange);
    void crash();

    service_options options_;
    std::vector<std::string> folios_;                      // body of folio N at N - 1
    std::map<std::string, std::vector<std::string>> lots_; // certifications by lot
    std::vector<run> runs_;                                // of calls that take effect, in order
    std::map<std::string, int> runs_by_request_;
    std::int64_t keys_seen_ = 0;
    fault_table faults_;
    door door_;
};

} // namespace waxwinglb::standins::service
