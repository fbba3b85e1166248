/// One gateway process: owns its parts and handles start, HTTP endpoints, settings reload and shutdown.
#pragma once

#include "edge/program.hpp"
#include "programs/gateway/admission.hpp"
#include "programs/gateway/client_guard.hpp"
#include "programs/gateway/config_page.hpp"
#include "programs/gateway/duties.hpp"
#include "programs/gateway/order_giver.hpp"
#include "programs/gateway/scaling.hpp"
#include "programs/gateway/short_notice.hpp"
#include "programs/gateway/usage_reports.hpp"

#include <filesystem>
#include <memory>
#include <unordered_set>

namespace waxwinglb::programs::gateway {

class gateway {
public:
    gateway(edge::program_context& program, const gateway_settings& settings);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    gateway(gateway&&) = delete;
    gateway& operator=(gateway&&) = delete;
    bool start(); // false: an address can't be bound
    void run();   // until SIGTERM and the end of the drain

private:
    void accept(int socket);
    void serve_readiness(const edge::exchange_ptr& exchange);
    void serve_metrics(const edge::exchange_ptr& exchange);
    void register_self();
    void schedule_registration(core::common::duration after);
    void on_store_restored();
    void housekeeping();
    void update_metrics(core::common::time_point now);
    void report_pages();
    void begin_drain();
    void drain_step();
    void update_readiness();
    void reload_if_changed();
    void reload();

    edge::program_context& program_;
    gateway_settings settings_;
    edge::decision_log log_;
    edge::event_loop loop_;
    gateway_context context_;
    edge::http_client client_;
    platform::store_client store_;
    platform::store_client lease_store_client_; // with a shorter timeout
    forwarder forwarder_;
    dispatcher dispatcher_;
    admission admission_;
    short_notice notices_;
    client_guard guard_;
    store_watch watch_;
    std::int64_t boot_;
    order_giver order_giver_;
    duties duties_;
    usage_reports usage_;
    peer_updates updates_;
    peers peers_;
    prompt_turns turns_;
    scaling scaling_;
    edge::acceptor acceptor_;
    caller_session::callbacks session_callbacks_;
    std::unordered_set<std::shared_ptr<caller_session>> sessions_;
    std::unique_ptr<edge::http_server> readiness_;
    std::unique_ptr<edge::http_server> metrics_;
    config_page config_page_;
    std::size_t cut_at_stop_ = 0; // requests that were open at the end of the drain time
    int reloads_seen_ = 0;
    std::filesystem::file_time_type settings_modified_{};
    core::common::time_point settings_checked_at_{};
};

} // namespace waxwinglb::programs::gateway
