/// Targets on the platform's VM list, links to the agents that this steward watches, and their reports.
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

constexpr core::common::milliseconds vm_list_interval{500};
constexpr core::common::milliseconds report_validity{2'500}; // later its agent counts as unreachable
// For that long a watched agent that has never reported may still do so: links open within this time.
constexpr core::common::milliseconds first_report_limit{2'000};

/// One target, identified by its address in the VM list. The report comes from its agent.
struct target_entry {
    edge::listed_vm listed;
    bool on_list = false;
    core::common::time_point off_list_since{}; // if not on_list
    edge::link_id link = 0;                    // 0: not watched
    bool link_open = false;
    core::common::time_point watched_since{}; // if link is not 0
    std::optional<wire::target_report> report;
    core::common::time_point reported_at{};

    [[nodiscard]] bool reachable(core::common::time_point now) const {
        return link_open && report && now - reported_at < report_validity;
    }
};

class target_table {
public:
    explicit target_table(steward_context& context) : context_(context) {}

    void tick(core::common::time_point now);
    void take(const store_event& event, core::common::time_point now);

    /// Watches the agents of exactly these services.
    void watch_services(const std::set<std::string>& services, core::common::time_point now);

    bool on_link_opened(edge::link_id link); // false: not a link to an agent opened here
    bool on_link_closed(edge::link_id link);
    /// Stores the report; nullptr if the link is unknown or the report is outdated.
    const target_entry* on_report(edge::link_id link, wire::target_report report,
                                  core::common::time_point now);

    [[nodiscard]] const target_entry* find(const std::string& target) const; // by the target's name
    [[nodiscard]] const target_entry* find_by_link(edge::link_id link) const;
    /// Targets of a service with a report, as input for placement.
    [[nodiscard]] std::vector<core::placement::target_view> views(const std::string& service,
                                                                  core::common::time_point now) const;
    /// Whether a target of the service may report for the first time at any moment: too early to say that the
    /// service has none.
    [[nodiscard]] bool awaits_first_report(const std::string& service, core::common::time_point now) const;
    [[nodiscard]] std::vector<edge::link_id> links_of(const std::string& service) const; // open ones
    [[nodiscard]] bool vm_removed_from_list(const std::string& vm, core::common::time_point now) const;
    [[nodiscard]] std::vector<edge::listed_vm> stewards() const; // on the VM list
    [[nodiscard]] bool data_centre_out(const std::string& name) const;

private:
    void merge(const std::vector<edge::listed_vm>& listed, core::common::time_point now);
    void update_links(core::common::time_point now);

    steward_context& context_;
    std::map<std::string, target_entry> by_address_;
    std::map<edge::link_id, std::string> links_;               // address of the agent by link
    std::map<std::string, std::string> address_by_name_;       // by target name
    std::map<std::string, core::common::time_point> vms_seen_; // last seen on the list
    std::vector<edge::listed_vm> stewards_;
    std::set<std::string> services_;
    core::common::time_point listed_at_{};
    core::common::time_point list_received_at_{};
    bool listing_ = false;
};

} // namespace waxwinglb::programs::steward
