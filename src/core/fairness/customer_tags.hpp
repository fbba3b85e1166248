/// Virtual times of start-time fair queuing. A customer's work starts at the later of the virtual time and
/// its last finish tag; the lowest start tag runs next and becomes the virtual time. Time without work earns
/// no credit, and what a customer leaves unused is available to the others.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

namespace waxwinglb::core::fairness {

class customer_tags {
public:
    [[nodiscard]] double start_of(const std::string& customer) const; // tag of its next work
    /// Adds work of this cost, divided by the customer's weight, and returns its start tag.
    double charge(const std::string& customer, double cost);
    void give_back(const std::string& customer, double cost); // work that was charged but not done
    void advance(double start);                               // work with this start tag runs
    [[nodiscard]] std::size_t size() const { return last_finish_.size(); }

private:
    void prune();

    std::unordered_map<std::string, double> last_finish_; // by customer; dropped once below the virtual time
    double virtual_time_ = 0;
};

} // namespace waxwinglb::core::fairness
