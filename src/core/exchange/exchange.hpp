/// Decides which gateways report to which, and what follows from their reports: who is in contact, what the
/// other gateways have at each target, what they took from each customer's rate, and who gives orders.
///
/// No gateway relies on a certain other one. A group's speakers are chosen anew from whoever is in contact,
/// and the two of them report the same. While no speaker of a group is known, its members are tried in turn.
#pragma once

#include "core/exchange/groups.hpp"
#include "core/exchange/report.hpp"
#include "core/exchange/total_feed.hpp"

#include <array>

namespace waxwinglb::core::exchange {

/// How old a relayed sighting of the order giver may be: each of two relays adds up to one period.
constexpr common::milliseconds sighting_limit{1'400};
/// For that long a silent order giver still gets details of demand: it may only be slow.
constexpr common::milliseconds order_giver_retention{10'000};

struct local_gateway {
    std::string name;
    std::string data_centre;
    std::string address; // for peers' messages
    std::int64_t boot = 0;
    double processor_share = 0; // of a core
};

/// What this gateway reports about itself now.
struct local_state {
    bool leaving = false;
    bool gives_orders = false;
    bool reads_store = false;           // watches the store closely
    bool reads_targets = false;         // the store answers
    std::map<std::string, int> running; // its requests by target
};

class exchange {
public:
    /// `single_group`: gateways up to which the fleet is one group.
    explicit exchange(local_gateway self, std::size_t single_group = max_single_group);

    /// Takes the registered gateways. Those that report although they aren't registered stay known.
    void change_members(gateway_places registered, limits::fleet_quota& quota, common::time_point now);
    struct news {
        bool newest = false;  // false: the report is older than one taken before, and was ignored
        bool outside = false; // the sums of the other groups may have changed
    };
    news take(const report& received, limits::fleet_quota& quota, common::time_point now);
    /// Forgets what is too old. To be called in each period.
    void expire(limits::fleet_quota& quota, common::time_point now);

    // ---- sending -------------------------------------------------------------------------------------
    [[nodiscard]] common::milliseconds period(common::time_point now) const;       // between two reports
    [[nodiscard]] const std::set<std::string>& members() const { return direct_; } // receive member_report
    /// Those that receive group_report. While no speaker of a group is in contact, each call names other
    /// members.
    [[nodiscard]] std::vector<std::string> next_outside_receivers(common::time_point now);
    [[nodiscard]] report member_report(const local_state& state, const limits::fleet_quota& quota,
                                       common::time_point now);
    [[nodiscard]] report group_report_of(const local_state& state, const limits::fleet_quota& quota,
                                         common::time_point now);

    // ---- what is known -------------------------------------------------------------------------------
    [[nodiscard]] bool grouped() const { return grouped_; }
    [[nodiscard]] const std::string& group() const { return group_; } // empty: the fleet is one group
    [[nodiscard]] bool speaks(common::time_point now) const;          // for its group
    [[nodiscard]] std::vector<std::string> own_speakers(common::time_point now) const; // of the own group
    [[nodiscard]] bool is_in_contact(const std::string& peer, common::time_point now) const;
    /// Gateways that may serve as scheduler of a target or read the store for others: all that are in contact
    /// in a small fleet, the speakers in a large one. All gateways know the same ones, but for the moment.
    [[nodiscard]] std::vector<std::string> coordinators(common::time_point now) const;
    [[nodiscard]] std::optional<order_giver_sighting> order_giver(common::time_point now) const; // active
    /// Addresses by name of those that give orders, or did so lately.
    [[nodiscard]] std::map<std::string, std::string> order_givers(common::time_point now) const;
    /// Another gateway in contact reads the store closely.
    [[nodiscard]] bool has_reader_in_contact(common::time_point now) const;
    [[nodiscard]] int in_contact(common::time_point now) const; // other gateways, directly or by speakers
    /// Requests of the other groups' gateways by target.
    [[nodiscard]] std::map<std::string, int> outside_running(common::time_point now) const;
    /// Other groups of which a speaker reports to this gateway without relay.
    [[nodiscard]] std::set<std::string> groups_in_contact(common::time_point now) const;
    [[nodiscard]] std::size_t fleet_size() const { return places_.size(); }

    struct peer {
        report last;
        common::time_point at{};    // when it was received
        bool receives_ours = false; // it has received a report of this gateway lately
        bool is_member = false;     // it reports as a member of this gateway's group
    };
    [[nodiscard]] const std::map<std::string, peer>& peers() const { return peers_; }

private:
    struct other_group {
        std::vector<std::string> members;                           // registered
        std::size_t next_probe = 0;                                 // index of the member to try next
        std::map<std::string, common::time_point> speakers;         // when they last reported to this gateway
        std::map<std::string, common::time_point> relayed_speakers; // when a speaker last named them
        std::map<std::string, group_report> reports;                // by reporter
        total_feed feed;
    };
    struct sighting {
        order_giver_sighting seen;
        common::time_point at{};
    };
    enum hops : std::size_t { direct, by_group, by_outside, hop_kinds };

    void rebuild(limits::fleet_quota& quota);
    [[nodiscard]] bool should_group(common::time_point now) const;
    [[nodiscard]] bool in_mutual_contact(const peer& other, common::time_point now) const;
    [[nodiscard]] report base(const local_state& state);
    void take_member(const report& received, limits::fleet_quota& quota, common::time_point now);
    void take_group(const report& received, limits::fleet_quota& quota, common::time_point now);
    void take_outside(const report& received, limits::fleet_quota& quota, common::time_point now);
    void note_order_giver(const report& received, common::time_point now);
    void note_sighting(hops distance, const std::optional<order_giver_sighting>& seen,
                       common::time_point now);
    [[nodiscard]] std::optional<order_giver_sighting> newest_sighting(std::size_t max_hops,
                                                                      common::time_point now) const;
    [[nodiscard]] int outside_coverage(common::time_point now) const; // by what this gateway received itself
    [[nodiscard]] outside_report own_outside(common::time_point now) const;
    [[nodiscard]] const outside_report* followed_outside(common::time_point now) const; // nullptr: too old
    [[nodiscard]] group_report own_group(const local_state& state, const limits::fleet_quota& quota,
                                         common::time_point now) const;
    [[nodiscard]] int count_known_by_sums() const;
    void update_quota(limits::fleet_quota& quota, common::time_point now) const;

    local_gateway self_;
    std::size_t single_group_;
    gateway_places places_; // all known gateways, this one included
    bool grouped_ = false;
    bool leaving_ = false;
    std::optional<common::time_point> started_at_; // first call of expire()
    std::string group_;
    std::set<std::string> direct_;                  // other members of the own group
    std::map<std::string, std::string> division_;   // group by gateway's name; empty: not grouped
    std::map<std::string, other_group> groups_;     // by name
    std::map<std::string, peer> peers_;             // that sent reports
    int known_by_sums_ = 0;                         // registered gateways known by sums only
    total_feed outside_feed_;                       // what is counted of the other groups
    limits::taken_tokens outside_taken_;            // of the groups in contact with this gateway itself
    std::map<std::string, outside_report> outside_; // by reporter; this gateway's own: as of the last period
    std::array<std::optional<sighting>, hop_kinds> sightings_;
    std::int64_t sequence_ = 0;
};

} // namespace waxwinglb::core::exchange
