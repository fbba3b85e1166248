/// Stand-in for a plain service: either a ledger that issues folios or a registry of certifications.
///
/// ledger:   POST /folios issues the next folio number, GET /folios/N, POST /reconcile.
/// registry: POST /certifications records one, GET /lots/N counts those of a lot.
/// Both:     GET /audit with every run and its X-Request-Id, POST /faults, GET /healthz.
/// Fault kinds: answer_lost (the call takes effect, its response is lost), slow, crash (before the call takes
/// effect), crash_after (after it).
#pragma once

#include "standins/faults.hpp"
#include "standins/stand_in_server.hpp"

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
    core::common::milliseconds down_time{300}; // connections are refused for this long after a crash
};

class service {
public:
    explicit service(service_options options);
    ~service();
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    service(service&&) = delete;
    service& operator=(service&&) = delete;

    bool start() { return server_.start(); }
    [[nodiscard]] const std::string& address() const { return server_.address(); }

private:
    struct run {
        std::string request_id;
        std::string method;
        std::string path;
    };

    void handle(const edge::exchange_ptr& exchange);
    void run_with_faults(const edge::exchange_ptr& exchange);
    edge::http_response execute_call(const edge::http_request& request);
    edge::http_response issue_folio(const edge::http_request& request);
    edge::http_response certify(const edge::http_request& request);
    void answer_audit(const edge::exchange_ptr& exchange);
    void crash();

    service_options options_;
    std::vector<std::string> folios_;                      // body of folio N at N - 1
    std::map<std::string, std::vector<std::string>> lots_; // certifications by lot
    std::vector<run> runs_;                                // calls that took effect, in order
    std::map<std::string, int> runs_by_request_;
    std::int64_t keys_seen_ = 0;
    fault_table faults_;
    stand_in_server server_;
};

} // namespace waxwinglb::standins::service
