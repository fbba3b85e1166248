#include "standins/platform/vm_list.hpp"

namespace waxwinglb::standins::platform {

using core::common::time_point;

void vm_list::set(vm_entry entry, time_point now) {
    const std::string vm = entry.vm;
    pending_.push_back({now + lag_, vm, std::move(entry)});
}

void vm_list::remove(const std::string& vm, time_point now) {
    pending_.push_back({now + lag_, vm, std::nullopt});
}

const std::map<std::string, vm_entry>& vm_list::visible(time_point now) {
    for (; !pending_.empty() && pending_.front().visible_from <= now; pending_.pop_front()) {
        pending_change& change = pending_.front();
        if (change.entry)
            visible_[change.vm] = std::move(*change.entry);
        else
            visible_.erase(change.vm);
    }
    return visible_;
}

} // namespace waxwinglb::standins::platform
