/// What gateways report to each other about themselves, their group and the other groups.
///
/// A small fleet is one group, in which every gateway reports to every other one. A larger fleet consists of
/// groups of gateways of one data centre. Two members of each group, its speakers, pass on sums: of their
/// group to the speakers of the other groups, and of the other groups to their own.
#pragma once

#include "core/limits/fleet_quota.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::core::exchange {

/// Use of targets and rates by one gateway, or by several together.
struct usage {
    limits::taken_tokens taken;         // tokens by customer, counted since the sender's start
    std::map<std::string, int> running; // requests by target, now
};

/// A gateway that gives orders to targets, as seen by the sender or by the gateway that reported it to the
/// sender.
struct order_giver_sighting {
    std::string name;
    std::string address;      // for peers' messages
    common::duration age{};   // since it said so itself
    bool active = false;      // false: it has stopped giving orders
    bool reads_store = false; // it reads the targets' registrations
};

/// What the sender can say of its own group.
struct group_report {
    int in_contact = 0;                              // members that the sum covers, the sender included
    int departed = 0;                                // members that have shut down in order
    std::set<std::string> groups_in_contact;         // other groups, with the sender
    bool reader = false;                             // a member reads the store closely
    usage use;                                       // of the members together
    std::optional<order_giver_sighting> order_giver; // that reports to the sender itself
};

/// What the sender can say of all other groups together.
struct outside_report {
    int in_contact = 0;                // their members in mutual contact with the sender's group
    int departed = 0;                  // their members that have shut down in order
    std::vector<std::string> speakers; // of all groups in contact, the sender's own included
    bool reader = false;               // one of their members reads the store closely
    usage use;                         // of their members together
    std::optional<order_giver_sighting> order_giver; // that reports to the sender or to one of `speakers`
};

/// One message. Parts that are meant for other receivers are left out.
struct report {
    std::string process;        // sender
    std::string address;        // where it receives such messages
    std::int64_t boot = 0;      // of the sender's process
    std::int64_t sequence = 0;  // rises with each message of the process
    std::string data_centre;    // empty: the sender is of an earlier version
    std::string group;          // empty: the fleet is one group
    int fleet_size = 0;         // gateways that the sender knows of, itself included
    double processor_share = 0; // of a core; speakers are chosen by it
    bool leaving = false;       // the process is about to end
    bool gives_orders = false;
    bool reads_store = false;                    // watches the store closely
    bool reads_targets = false;                  // the store answers it
    std::vector<std::string> members_in_contact; // of its own group
    std::optional<usage> own;                    // for the members of its own group
    std::optional<group_report> group_use;
    std::optional<outside_report> outside;
};

} // namespace waxwinglb::core::exchange
