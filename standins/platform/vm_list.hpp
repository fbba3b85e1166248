/// The platform's list of virtual machines; changes become visible after a constant lag.
#pragma once

#include "core/common/time.hpp"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace waxwinglb::standins::platform {

struct vm_entry {
    std::string vm;          // unique name
    std::string data_centre; // location
    std::string role;        // target, router, steward or admin
    std::string service;     // of a target; empty otherwise
    std::string address;     // "ip:port" of the waxwing process on it
    std::string engine;      // "ip:port" of the engine or plain service; may be empty
    std::string state;       // live or leaving
};

class vm_list {
public:
    explicit vm_list(core::common::milliseconds lag) : lag_(lag) {}

    void set(vm_entry entry, core::common::time_point now);
    void remove(const std::string& vm, core::common::time_point now);
    void set_immediately(vm_entry entry) { visible_[entry.vm] = std::move(entry); } // no lag

    /// Entries as readers see them, with the changes that are older than the lag.
    const std::map<std::string, vm_entry>& visible(core::common::time_point now);

private:
    struct pending_change {
        core::common::time_point visible_from; // ascending, as the lag is constant
        std::string vm;
        std::optional<vm_entry> entry; // nullopt: removed
    };

    core::common::milliseconds lag_;
    std::map<std::string, vm_entry> visible_;
    std::deque<pending_change> pending_;
};

} // namespace waxwinglb::standins::platform
