/// Stand-in for the platform: versioned objects with watches, the lagging list of virtual machines and the
/// rate-limited weight store. It serves the paths of docs/DESIGN.md, "Platform protocol", and for tests:
///   POST /faults {"kind","match","count","delay_ms","then_down"}, DELETE /faults, GET /audit, PUT and DELETE
///   /vms/VM, POST /copy and POST /restore: the objects as they were at the copy, in a new era.
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
    core::common::milliseconds vm_lag{2'000}; // until a change shows in /vms
    weight_rate weights;                      // of the weight store
    std::vector<vm_entry> vms;                // listed from the start
};

void read_settings(edge::settings_section& top, platform_settings& out);

/// One worker thread owns all state; pending watches hold no thread.
class platform_server {
public:
    platform_server(platform_settings settings, edge::program_context& context);
    ~platform_server(); // cuts pending calls
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
        store_position known_version; // the watch ends when the object's version differs
        time_point deadline;
        edge::exchange_ptr exchange;
    };
    struct delayed_call {
        time_point due;
        edge::exchange_ptr exchange;
        bool weight_read_done = false; // the weights are read; only the response was delayed
    };

    void run_loop();
    void process_due_work(time_point now);
    [[nodiscard]] time_point next_due(time_point now) const;
    void handle_call(const edge::exchange_ptr& exchange, time_point now);
    void execute_call(const edge::exchange_ptr& exchange, time_point now);
    void read_object(const edge::exchange_ptr& exchange, const std::string& key, time_point now);
    void write_object(const edge::exchange_ptr& exchange, const std::string& key);
    void respond_object_list(const edge::exchange_ptr& exchange);
    void change_vm(const edge::exchange_ptr& exchange, const std::string& vm, time_point now);
    void respond_vms(const edge::exchange_ptr& exchange, time_point now);
    void change_faults(const edge::exchange_ptr& exchange);
    void respond_audit(const edge::exchange_ptr& exchange);
    void answer_watches(const std::string& key);
    void start_outage(const std::string& match); // lasts until the faults are cleared
    void cut_watches(const std::string& match);
    void finish_weight_reads(time_point now);
    void count_call(const std::string& call) { ++calls_[call]; }

    platform_settings settings_;
    edge::program_context& context_;
    object_store objects_;
    vm_list vms_;
    weight_store weights_;
    fault_table faults_;
    std::vector<watch> watches_;
    std::vector<delayed_call> delayed_calls_;
    std::map<read_id, edge::exchange_ptr> weight_reads_;
    std::map<std::string, std::int64_t> calls_;          // by call type
    std::map<std::string, std::int64_t> faults_applied_; // by fault kind
    std::size_t max_weight_reads_ = 0;                   // concurrent
    edge::ring<edge::exchange_ptr> call_queue_;
    std::atomic<bool> stopping_{false};
    edge::http_server server_;
    std::thread worker_;
};

} // namespace waxwinglb::standins::platform
