/// Limits each customer to its rate and burst over all gateways, without a central process that grants
/// tokens.
///
/// Each gateway keeps a copy of every customer's token bucket. It takes the tokens of its own requests at
/// once, and those taken by its peers when they report them; what several gateways take in the meantime
/// becomes a debt that must refill before new requests are granted. While all gateways are in contact, no
/// customer is refused because its requests are spread unevenly over them. A member out of mutual contact may
/// grant on its own, so an equal part of rate and burst is set aside for it: the parts of both sides of a
/// network partition never sum to more than the whole.
///
/// In a large fleet only the members of the gateway's own group report to it. What the other groups took, and
/// how many of their members are in contact, comes as a sum (core/exchange).
#pragma once

#include "core/fleet/model.hpp"

#include <map>
#include <string>
#include <vector>

namespace waxwinglb::core::limits {

constexpr common::milliseconds contact_limit{1'000}; // a member whose last report is older is out of contact

struct quota_answer {
    bool granted = false;
    common::duration retry_after{}; // if refused: when enough tokens will be available
};

/// A member's tokens taken since its start, by customer.
using taken_tokens = std::map<std::string, double>;

/// The gateways that report to this one only in sums.
struct outside_members {
    int known = 0;      // registered
    int in_contact = 0; // whose use is in the sums
    int departed = 0;   // shut down in order
};

class fleet_quota {
public:
    explicit fleet_quota(std::string self) : self_(std::move(self)) {}

    void configure(const std::map<std::string, fleet::customer>& customers, common::time_point now);
    void change_members(const std::vector<std::string>& others); // registered gateways; this one is ignored
    /// Merges a peer's report. `boot`: identifies its process start. `has_our_report`: it has received a
    /// report of this gateway within the contact limit.
    void merge_report(const std::string& peer, std::int64_t boot, taken_tokens taken, bool has_our_report,
                      common::time_point now);
    void mark_departed(const std::string& peer); // it shut down in order and takes no more tokens
    void take_outside(const taken_tokens& added,
                      common::time_point now);                         // by gateways that don't report here
    void set_outside(outside_members outside, common::time_point now); // holds for the contact limit

    /// Whether take() would grant the tokens now; nothing is taken.
    [[nodiscard]] quota_answer check(const std::string& customer, double tokens, common::time_point now);
    quota_answer take(const std::string& customer, double tokens, common::time_point now);
    void give_back(const std::string& customer, double tokens); // of a request that will never run

    [[nodiscard]] const taken_tokens& taken() const { return taken_; }
    /// Tokens taken by this gateway and by those that report to it, as counted since its start.
    [[nodiscard]] const taken_tokens& group_taken() const { return group_taken_; }
    [[nodiscard]] double available_part(
        common::time_point now) const; // part of each rate and burst that this gateway's side may use, 0 to 1
    [[nodiscard]] double level(const std::string& customer) const; // tokens; negative: debt

private:
    struct member {
        std::int64_t boot = 0;
        taken_tokens taken;
        common::time_point reported_at{};
        bool has_our_report = false;
        bool departed = false; // shut down in order
        [[nodiscard]] bool in_contact(common::time_point now) const {
            return has_our_report && reported_at != common::time_point{} &&
                   now - reported_at <= contact_limit;
        }
    };
    struct account {
        double rate = 0;  // tokens a second of the whole fleet; 0: no limit
        double burst = 0; // tokens
        double level = 0; // tokens
        common::time_point refilled_at{};
    };
    /// `part`: available_part(now), which looks at all members and is the same for all accounts.
    static void refill(account& state, double part, common::time_point now);

    std::string self_;
    std::map<std::string, member> members_;
    std::map<std::string, account> accounts_;
    taken_tokens taken_;
    taken_tokens group_taken_;
    outside_members outside_;
    common::time_point outside_set_at_{};
};

} // namespace waxwinglb::core::limits
