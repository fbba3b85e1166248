/// The platform's list of virtual machines, shown as it was some time ago.
#pragma once

#include "core/common/time.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace waxwinglb::standins::platform {

struct vm_entry {
    std::string vm;          // unique name
    std::string data_centre; // where it stands
    std::string role;        // target, router, steward or admin
    std::string service;     // of a target; empty otherwise
    std::string address;     // "ip:port" of the system's process on it
    std::string engine;      // "ip:port" of the engine or plain service; may be empty
    std::string state;       // live or leaving
};

class vm_list {
public:
    explicit vm_list(core::common::milliseconds lag) : lag_(lag) {}

    void set(vm_entry entry, core::common::time_point now);
    void remove(const std::string& vm, core::common::time_point now);
    void set_at_once(vm_entry entry) { shown_[entry.vm] = std::move(entry); } // known from the start

    /// What a reader sees: changes older than the lag.
    const std::map<std::string, vm_entry>& shown(core::common::time_point now);

private:
    struct pending_change {
        core::common::time_point visible_from; // in order, since the lag is constant
        std::string vm;
        std::optional<vm_entry> entry; // nullopt: gone
    };

    core::common::milliseconds lag_;
    std::map<std::string, vm_entry> shown_;
    std::deque<pending_change> pending_;
};

} // namespace waxwinglb::standins::platform
