/// Quarantine of requests that crash targets. Requests in flight at a crash become suspects and run again
/// only alone; a crash while running alone condemns the fingerprint for a term. A request is never condemned
/// for a crash while others ran beside it.
#pragma once

#include "core/common/time.hpp"

#include <map>
#include <string>
#include <vector>

namespace waxwinglb::core::quarantine {

struct record_options {
    common::milliseconds suspect_term{600'000};   // how long a suspect runs only alone
    common::milliseconds condemned_term{600'000}; // how long a condemned fingerprint is refused
    std::size_t max_entries = 2'000;              // above it suspects are dropped first
};

enum class verdict {
    free,      // may run beside others
    alone,     // suspect: may run only alone
    condemned, // refused
};

struct entry {
    std::string fingerprint;
    int crashes = 0; // crashes while it was in flight
    bool condemned = false;
    common::time_point until; // end of its term
};

class record {
public:
    explicit record(record_options options) : options_(options) {}

    [[nodiscard]] verdict judge(const std::string& fingerprint, common::time_point now) const;
    [[nodiscard]] common::milliseconds remaining(const std::string& fingerprint,
                                                 common::time_point now) const;

    /// The target crashed while these were in flight; `alone`: there was exactly one, and it ran isolated.
    void crashed(const std::vector<std::string>& in_flight, bool alone, common::time_point now);
    void succeeded_alone(const std::string& fingerprint); // clears a suspect

    /// Merges another process's entry. Never weakens a known verdict, nor shortens its term unless the
    /// verdict gets stricter.
    void merge(const entry& remote, common::time_point now);

    void expire(common::time_point now);
    [[nodiscard]] std::vector<entry> entries() const;

private:
    void shrink();

    record_options options_;
    std::map<std::string, entry> entries_;
};

} // namespace waxwinglb::core::quarantine
