/// Stand-in of the platform: objects with versions and watches, the lagging list of virtual machines, the
/// rate-limited weight store. Paths are those of docs/DESIGN.md, "Platform protocol"; besides them:
///   POST /faults {"kind","match","count","delay_ms","then_down"}, DELETE /faults, GET /audit, PUT and DELETE
///   /vms/VM.
#pragma once

#include "edge/http_server.hpp"
#include "edge/program.hpp"
#include "edge/ring.hpp"
#include "standins/platform/fault_table.hpp"
#include "standins/platform/object_store.hpp"
#include "standins/platform/vm_list.hpp"
#include "standins/platform/weight_store.hpp"

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace waxwinglb::standins::platform {

struct platform_settings {
    std::string listen = "127.0.0.1:0";       // "ip:port"
    core::common::milliseconds vm_lag{2'000}; // age of what /vms shows
    weight_rate weights;                      // of the weight store
    std::vector<vm_entry> vms;                // shown from the start
};

void read_settings(edge::settings_section& top, platform_settings& out);

/// One deciding thread owns all state; waiting watches hold no thread.
class platform_server {
public:
    platform_server(platform_settings settings, edge::program_context& context);
    ~platform_server(); // cuts what still waits
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;
    platform_server(platform_server&&) = delete;
    platform_server& operator=(platform_server&&) = delete;

    bool start();
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

private:
    using time_point = core::common::time_point;
    struct watch {
        std::string key;
        std::int64_t seen = 0; // answered once the version differs
        time_point until;
        edge::exchange_ptr exchange;
    };
    struct late_call {
        time_point due;
        edge::exchange_ptr exchange;
        bool answer_now = false; // a weight read whose end was put off
    };

    void decide();
    void pass_time(time_point now);
    [[nodiscard]] time_point next_due(time_point now) const;
    void take_up(const edge::exchange_ptr& exchange, time_point now);
    void carry_out(const edge::exchange_ptr& exchange, time_point now);
    void read_object(const edge::exchange_ptr& exchange, const std::string& key, time_point now);
    void write_object(const edge::exchange_ptr& exchange, const std::string& key);
    void list_objects(const edge::exchange_ptr& exchange);
    void change_vm(const edge::exchange_ptr& exchange, const std::string& vm, time_point now);
    void show_vms(const edge::exchange_ptr& exchange, time_point now);
    void change_faults(const edge::exchange_ptr& exchange);
    void show_audit(const edge::exchange_ptr& exchange);
    void answer_watches(const std::string& key);
    void begin_outage(const std::string& match); // down until cleared
    void cut_watches(const std::string& match);
    void end_weight_reads(time_point now);
    void count(const std::string& call) { ++calls_[call]; }

    platform_settings settings_;
    edge::program_context& context_;
    object_store objects_;
    vm_list vms_;
    weight_store weights_;
    fault_table faults_;
    std::vector<watch> watches_;
    std::vector<late_call> late_calls_;
    std::map<read_id, edge::exchange_ptr> weight_reads_;
    std::map<std::string, std::int64_t> calls_;        // by kind of call
    std::map<std::string, std::int64_t> faults_shown_; // by kind of fault
    std::size_t most_weight_reads_ = 0;                // at one time
    edge::ring<edge::exchange_ptr> calls_ring_;
    std::atomic<bool> ending_{false};
    edge::http_server server_;
    std::thread decider_;
};

} // namespace waxwinglb::standins::platform
