/// Waiting requests of one target in weighted fair order: customers share its capacity by tokens and weight,
/// and none is starved.
///
/// Start-time fair queuing (customer_tags): requests are tagged on arrival, and the lowest start tag runs
/// next.
#pragma once

#include "core/common/time.hpp"
#include "core/fairness/customer_tags.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::core::fairness {

struct waiting_request {
    std::uint64_t id = 0; // chosen by the owner of the queue
    std::string customer;
    double weight = 1;       // of the customer, above 0
    std::int64_t tokens = 1; // cost: prompt and answer
    common::time_point deadline;
};

class fair_queue {
public:
    explicit fair_queue(std::size_t capacity) : capacity_(capacity) {}

    bool push(const waiting_request& request);                   // false if full
    std::optional<waiting_request> pop();                        // next in fair order
    bool remove(std::uint64_t id);                               // false if it isn't waiting
    std::vector<waiting_request> expire(common::time_point now); // removes and returns overdue requests

    [[nodiscard]] const waiting_request* front() const;
    /// Requests that would run before a new one of this customer.
    [[nodiscard]] std::size_t ahead_of(const std::string& customer) const;
    [[nodiscard]] common::time_point next_deadline() const; // time_point::max() if empty
    [[nodiscard]] std::size_t size() const { return waiting_.size(); }
    [[nodiscard]] std::vector<waiting_request> all() const;

private:
    using position = std::pair<double, std::uint64_t>; // start tag, order of arrival

    void erase(std::map<position, waiting_request>::iterator at);

    std::size_t capacity_;
    std::map<position, waiting_request> waiting_;
    std::map<std::uint64_t, position> positions_;                                     // by id
    std::map<std::pair<common::time_point, std::uint64_t>, std::uint64_t> deadlines_; // (deadline, id) -> id
    customer_tags tags_;
    std::uint64_t arrivals_ = 0;
};

} // namespace waxwinglb::core::fairness
