/// Targets of the platform's VM list, links to the agents that this steward has to watch, and their reports.
#pragma once

#include "core/placement/replica_target.hpp"
#include "edge/platform_client.hpp"
#include "programs/steward/context.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::programs::steward {

constexpr core::common::milliseconds vm_list_every{500};
constexpr core::common::milliseconds report_valid{2'500}; // an agent silent for longer isn't reachable

/// One target. Its address names it in the VM list, its agent's report gives the rest.
struct target_entry {
    edge::listed_vm listed;
    bool on_list = false;
    core::common::time_point off_list_since{}; // if not on_list
    edge::link_id link = 0;                    // 0: not watched
    bool link_open = false;
    std::optional<wire::target_report> report;
    core::common::time_point reported_at{};

    [[nodiscard]] bool reachable(core::common::time_point now) const {
        return link_open && report && now - reported_at < report_valid;
    }
};

class target_table {
public:
    explicit target_table(steward_context& context) : context_(context) {}

    void tick(core::common::time_point now);
    void take(const store_event& event, core::common::time_point now);

    /// Watches the agents of exactly these services.
    void watch_services(const std::set<std::string>& services);

    bool link_opened(edge::link_id link); // false: not an agent's link made here
    bool link_closed(edge::link_id link);
    /// Takes a report in; nullptr if the link is none of ours.
    const target_entry* reported(edge::link_id link, wire::target_report report,
                                 core::common::time_point now);

    [[nodiscard]] const target_entry* find(const std::string& target) const; // by the target's name
    [[nodiscard]] const target_entry* on_link(edge::link_id link) const;
    /// Targets of a service as the placement core wants them.
    [[nodiscard]] std::vector<core::placement::target_view> views(const std::string& service,
                                                                  core::common::time_point now) const;
    [[nodiscard]] std::vector<edge::link_id> links_of(const std::string& service) const; // open ones
    [[nodiscard]] bool vm_gone(const std::string& vm, core::common::time_point now) const;
    [[nodiscard]] std::vector<edge::listed_vm> stewards() const; // on the VM list
    [[nodiscard]] bool data_centre_out(const std::string& name) const;

private:
    void merge(const std::vector<edge::listed_vm>& listed, core::common::time_point now);
    void connect_wanted();

    steward_context& context_;
    std::map<std::string, target_entry> by_address_;
    std::map<edge::link_id, std::string> links_;               // to addresses
    std::map<std::string, std::string> by_name_;               // target name to address
    std::map<std::string, core::common::time_point> vms_seen_; // last seen on the list
    std::vector<edge::listed_vm> stewards_;
    std::set<std::string> services_;
    core::common::time_point listed_at_{};
    core::common::time_point list_heard_at_{};
    bool listing_ = false;
};

} // namespace waxwinglb::programs::steward
