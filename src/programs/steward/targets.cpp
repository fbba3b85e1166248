#include "programs/steward/targets.hpp"

#include <algorithm>

namespace waxwinglb::programs::steward {

using core::common::time_point;
using core::placement::target_view;

void target_table::tick(time_point now) {
    if (listing_ || now - listed_at_ < vm_list_interval)
        return;
    listing_ = true;
    listed_at_ = now;
    store_event tag;
    tag.call = store_call::vm_list;
    tag.asked_at = now;
    context_.platform.vms(std::move(tag));
}

void target_table::take(const store_event& event, time_point now) {
    listing_ = false;
    if (event.answer.outcome != edge::store_outcome::ok)
        return;
    if (const auto listed = edge::decode_vms(event.answer.body))
        merge(*listed, now);
}

void target_table::merge(const std::vector<edge::listed_vm>& listed, time_point now) {
    list_received_at_ = now;
    stewards_.clear();
    std::set<std::string> present;
    for (const edge::listed_vm& vm : listed) {
        vms_seen_[vm.vm] = now;
        if (vm.role == "steward")
            stewards_.push_back(vm);
        if (vm.role != "target" || vm.address.empty())
            continue;
        present.insert(vm.address);
        target_entry& entry = by_address_[vm.address];
        entry.listed = vm;
        entry.on_list = true;
    }
    for (auto& [address, entry] : by_address_)
        if (entry.on_list && !present.contains(address)) {
            entry.on_list = false;
            entry.off_list_since = now;
        }
    update_links(now);
}

void target_table::watch_services(const std::set<std::string>& services, time_point now) {
    if (services == services_)
        return;
    services_ = services;
    update_links(now);
}

void target_table::update_links(time_point now) {
    for (auto& [address, entry] : by_address_) {
        // An agent that is no longer on the list keeps its link while the link is open: the list may be
        // wrong.
        const bool needed = services_.contains(entry.listed.service) && (entry.on_list || entry.link_open);
        if (needed && entry.link == 0) {
            entry.link = context_.links.connect(address);
            entry.watched_since = now;
            links_[entry.link] = address;
        } else if (!needed && entry.link != 0) {
            context_.links.disconnect(entry.link);
            links_.erase(entry.link);
            entry.link = 0;
            entry.link_open = false;
        }
    }
}

bool target_table::on_link_opened(edge::link_id link) {
    const auto found = links_.find(link);
    if (found == links_.end())
        return false;
    by_address_[found->second].link_open = true;
    wire::watch_target watch;
    watch.__set_steward(context_.self.holder);
    context_.links.send(link, wire::message_kind::watch_target, context_.next_call(), watch);
    return true;
}

bool target_table::on_link_closed(edge::link_id link) {
    const auto found = links_.find(link);
    if (found == links_.end())
        return false;
    by_address_[found->second].link_open = false;
    return true;
}

const target_entry* target_table::on_report(edge::link_id link, wire::target_report report, time_point now) {
    const auto found = links_.find(link);
    if (found == links_.end())
        return nullptr;
    target_entry& entry = by_address_[found->second];
    const bool same_process = entry.report && entry.report->boot == report.boot;
    if (same_process && report.sequence < entry.report->sequence)
        return nullptr; // older than the last report
    address_by_name_[report.target] = found->second;
    entry.report = std::move(report);
    entry.reported_at = now;
    return &entry;
}

const target_entry* target_table::find(const std::string& target) const {
    const auto name = address_by_name_.find(target);
    if (name == address_by_name_.end())
        return nullptr;
    const auto found = by_address_.find(name->second);
    return found == by_address_.end() ? nullptr : &found->second;
}

const target_entry* target_table::find_by_link(edge::link_id link) const {
    const auto found = links_.find(link);
    return found == links_.end() ? nullptr : &by_address_.at(found->second);
}

std::vector<target_view> target_table::views(const std::string& service, time_point now) const {
    std::vector<target_view> out;
    for (const auto& [address, entry] : by_address_) {
        if (entry.listed.service != service || !entry.report)
            continue;
        const wire::target_report& report = *entry.report;
        target_view view;
        view.target = report.target;
        view.vm = entry.listed.vm;
        view.data_centre = entry.listed.data_centre;
        view.boot = report.boot;
        view.memory_bytes = report.memory_bytes;
        view.free_bytes = report.free_bytes;
        view.running = report.load.running;
        view.limit = std::max(1, report.load.limit);
        view.reachable = entry.reachable(now);
        view.draining = report.draining || report.load.draining;
        view.leaving = entry.on_list && entry.listed.leaving;
        view.vm_removed = vm_removed_from_list(entry.listed.vm, now);
        view.centre_out = data_centre_out(entry.listed.data_centre);
        for (const wire::loaded_model& model : report.models)
            view.residents.push_back({service + "/" + model.model, model.bytes,
                                      model.state != "loaded" || model.idle_ms == 0, 0,
                                      core::common::duration::zero()});
        out.push_back(std::move(view));
    }
    return out;
}

bool target_table::awaits_first_report(const std::string& service, time_point now) const {
    return std::any_of(by_address_.begin(), by_address_.end(), [&](const auto& listed) {
        const target_entry& entry = listed.second;
        const bool overdue = entry.link != 0 && now - entry.watched_since >= first_report_limit;
        return entry.listed.service == service && entry.on_list && !entry.report && !overdue;
    });
}

std::vector<edge::link_id> target_table::links_of(const std::string& service) const {
    std::vector<edge::link_id> out;
    for (const auto& [address, entry] : by_address_)
        if (entry.listed.service == service && entry.link_open)
            out.push_back(entry.link);
    return out;
}

/// True if the VM is missing from the lists received for longer than the list's lag. Without new lists no VM
/// becomes removed.
bool target_table::vm_removed_from_list(const std::string& vm, time_point now) const {
    const auto seen = vms_seen_.find(vm);
    if (seen == vms_seen_.end())
        return false; // never listed: it may have started within the list's lag
    (void)now;
    return list_received_at_ - seen->second > context_.settings.vm_list_lag;
}

std::vector<edge::listed_vm> target_table::stewards() const {
    return stewards_;
}

bool target_table::data_centre_out(const std::string& name) const {
    const auto found = context_.state().data_centres.find(name);
    return found != context_.state().data_centres.end() &&
           found->second.state == core::config::data_centre_state::out;
}

} // namespace waxwinglb::programs::steward
