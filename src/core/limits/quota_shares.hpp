/// One router's part of each customer's fleet-wide token rate and burst, without a process that grants them.
///
/// Routers tell each other what each customer asks of them; each spends the customer's rate in proportion to
/// its own part of what was asked. A member that isn't in mutual contact may believe that the others are
/// gone, so an equal part is set aside for it: the parts of any two sides of a cut never sum to more than the
/// whole.
#pragma once

#include "core/fleet/model.hpp"

#include <map>
#include <string>
#include <vector>

namespace waxwinglb::core::limits {

constexpr common::milliseconds contact_limit{1'000}; // a member silent for longer is out of contact
constexpr double least_part = 0.04;                  // of the whole, for a member that a customer hardly asks

struct quota_answer {
    bool granted = false;
    common::duration retry_after{}; // refused: when this many tokens would be there
};

class quota_shares {
public:
    explicit quota_shares(std::string self) : self_(std::move(self)) {}

    void configure(const std::map<std::string, fleet::customer>& customers, common::time_point now);
    void change_members(std::vector<std::string> others); // the registered routers but this one
    /// A peer's word. `hears_us`: it has heard this router within the contact limit.
    void heard(const std::string& peer, std::map<std::string, double> tokens_per_second, bool hears_us,
               common::time_point now);
    void left(const std::string& peer); // it ends in order and spends nothing any more

    quota_answer take(const std::string& customer, double tokens, common::time_point now);
    void give_back(const std::string& customer, double tokens); // the request will never run

    [[nodiscard]] double asked_per_second(const std::string& customer, common::time_point now) const;
    [[nodiscard]] double share(const std::string& customer, common::time_point now) const; // 0 to 1
    [[nodiscard]] std::vector<std::string> customers() const;

private:
    struct member {
        std::map<std::string, double> asked; // tokens a second, by customer
        common::time_point heard_at{};
        bool hears_us = false;
        bool gone = false; // left in order
        [[nodiscard]] bool in_contact(common::time_point now) const {
            return hears_us && heard_at != common::time_point{} && now - heard_at <= contact_limit;
        }
    };
    struct account {
        double rate = 0; // of the whole fleet; 0: no limit
        double burst = 0;
        double level = 0; // tokens of this router
        common::time_point filled_at{};
        double asked = 0; // decaying sum of tokens asked for
        common::time_point asked_at{};
    };
    void fill(const std::string& customer, account& one, common::time_point now);

    std::string self_;
    std::map<std::string, member> members_;
    std::map<std::string, account> accounts_;
};

} // namespace waxwinglb::core::limits
