/// Holds each customer to its rate and burst over all gateways, without a process that grants tokens.
///
/// Each gateway keeps a copy of every customer's bucket. It takes its own requests from it at once and what
/// its peers have taken as they tell it; what several take in the meantime becomes debt that all wait out. So
/// long as everybody hears everybody, no customer is refused because its requests meet an uneven mix of
/// gateways. A member out of mutual contact may believe that the others are gone, so an equal part of rate
/// and burst is set aside for it: the parts of the sides of a cut never sum to more than the whole.
#pragma once

#include "core/fleet/model.hpp"

#include <map>
#include <string>
#include <vector>

namespace waxwinglb::core::limits {

constexpr common::milliseconds contact_limit{1'000}; // a member silent for longer is out of contact

struct quota_answer {
    bool granted = false;
    common::duration retry_after{}; // refused: when the tokens would be there
};

/// A member's tokens taken since its start, by customer.
using taken_tokens = std::map<std::string, double>;

class fleet_quota {
public:
    explicit fleet_quota(std::string self) : self_(std::move(self)) {}

    void configure(const std::map<std::string, fleet::customer>& customers, common::time_point now);
    void change_members(const std::vector<std::string>& others); // the registered gateways but this one
    /// A peer's word. `boot`: of its start. `hears_us`: it has heard this gateway within the contact limit.
    void merge_report(const std::string& peer, std::int64_t boot, taken_tokens taken, bool hears_us,
                      common::time_point now);
    void mark_departed(const std::string& peer); // it ends in order and takes nothing any more

    quota_answer take(const std::string& customer, double tokens, common::time_point now);
    void give_back(const std::string& customer, double tokens); // the request will never run

    [[nodiscard]] const taken_tokens& taken() const { return taken_; }
    [[nodiscard]] double available_part(common::time_point now) const; // of each rate, 0 to 1
    [[nodiscard]] double level(const std::string& customer) const;     // tokens, below zero: debt

private:
    struct member {
        std::int64_t boot = 0;
        taken_tokens taken;
        common::time_point heard_at{};
        bool hears_us = false;
        bool gone = false; // left in order
        [[nodiscard]] bool in_contact(common::time_point now) const {
            return hears_us && heard_at != common::time_point{} && now - heard_at <= contact_limit;
        }
    };
    struct account {
        double rate = 0;  // tokens a second of the whole fleet; 0: no limit
        double burst = 0; // tokens
        double level = 0; // tokens
        common::time_point filled_at{};
    };
    void fill(account& one, common::time_point now) const;

    std::string self_;
    std::map<std::string, member> members_;
    std::map<std::string, account> accounts_;
    taken_tokens taken_;
};

} // namespace waxwinglb::core::limits
