/// The data centres that the operator has taken out of service, as the store and the peers report them.
///
/// A store that comes back from an older copy may lack a data centre that was taken out since. The operator
/// writes it again; until then, and for `hold_limit` at most, it stays out.
#pragma once

#include "core/common/store_position.hpp"
#include "core/common/time.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace waxwinglb::core::fleet {

/// One change of a data centre's entry in the store.
struct centre_change {
    std::string centre;
    bool removed = false; // back in service
};

class centres_out {
public:
    /// How long a data centre stays out without an entry in the restored store. The operator writes again
    /// what was lost within seconds.
    static constexpr common::milliseconds hold_limit{20'000};

    // Each returns true if the data centres that are out have changed.

    /// Takes over a complete list of the store. A list of a later era than the known one doesn't bring a data
    /// centre back by lacking it.
    bool apply_list(const std::set<std::string>& listed, common::store_position at, common::time_point now);
    bool apply_changes(const std::vector<centre_change>& changes, common::store_position at);
    /// Takes over what a peer read, if it is newer.
    bool merge_from_peer(const std::set<std::string>& listed, common::store_position at,
                         common::time_point now);
    /// A peer holds `centre` out, although the store lacks its entry, for `left` more. Not prolonged by
    /// repetition, since peers tell it to each other.
    bool hold(const std::string& centre, common::duration left, common::time_point now);
    bool expire(common::time_point now); // ends holds

    [[nodiscard]] const std::set<std::string>& out() const { return out_; } // listed and held ones
    [[nodiscard]] const std::set<std::string>& listed() const { return listed_; }
    [[nodiscard]] const std::map<std::string, common::time_point>& held() const { return held_; }
    [[nodiscard]] common::store_position known_at() const { return known_at_; } // of listed()

private:
    bool update();

    std::set<std::string> listed_;
    std::map<std::string, common::time_point> held_; // -> end of the hold
    std::set<std::string> out_;
    common::store_position known_at_;
    std::map<std::string, std::int64_t> settled_in_; // latest era with an entry of the data centre or the end
                                                     // of its hold: no peer's hold counts any more
};

} // namespace waxwinglb::core::fleet
