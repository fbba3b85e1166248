/// Requests that crash targets. Those in flight at a crash are suspects and run again only alone; a crash
/// while alone condemns the fingerprint for a term. Requests that ran beside it are never condemned for it.
#pragma once

#include "core/common/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace waxwinglb::core::quarantine {

struct record_options {
    common::milliseconds suspect_term{600'000};   // how long a suspect may run only alone
    common::milliseconds condemned_term{600'000}; // how long a condemned fingerprint is refused
    std::size_t max_entries = 2'000;              // suspects beyond give way first
};

enum class verdict {
    free,      // may run beside others
    alone,     // suspect: may run only alone
    condemned, // refused
};

struct entry {
    std::string fingerprint;
    int crashes = 0; // crashes seen while it was in flight
    bool condemned = false;
    common::time_point until; // end of its term
};

class record {
public:
    explicit record(record_options options) : options_(options) {}

    [[nodiscard]] verdict judge(const std::string& fingerprint, common::time_point now) const;
    [[nodiscard]] common::milliseconds remaining(const std::string& fingerprint,
                                                 common::time_point now) const;

    /// The target crashed while these were in flight; `alone`: exactly one was, and ran isolated.
    void crashed(const std::vector<std::string>& in_flight, bool alone, common::time_point now);
    void succeeded_alone(const std::string& fingerprint); // clears a suspect

    /// Takes in what others know; never shortens or weakens what is known here.
    void merge(const entry& heard, common::time_point now);

    void expire(common::time_point now);
    [[nodiscard]] std::vector<entry> entries() const;

private:
    void shrink();

    record_options options_;
    std::map<std::string, entry> entries_;
};

} // namespace waxwinglb::core::quarantine
