/// Determines when this process may start to accept changes: once every other acceptor has acknowledged its
/// registration.
///
/// A steward that cannot reach the store trusts its copy as long as every acceptor listed in it reports to
/// the steward and none of them reaches the store. An acceptor that is missing from that copy could accept
/// changes without the steward's notice. A new acceptor therefore waits until each earlier one has
/// acknowledged a revision that includes the registration: from then on the earlier ones report at least that
/// revision, and a steward with an older copy stops trusting it. An acceptor whose VM is missing from the
/// platform's list no longer reports; it is removed from the list of acceptors instead.
#pragma once

#include "programs/admin/acceptor.hpp"

#include <map>
#include <set>
#include <string>

namespace waxwinglb::programs::admin {

constexpr core::common::milliseconds ack_poll_every{200};      // while acknowledgements are missing
constexpr core::common::milliseconds vm_poll_every{1'000};     // while acknowledgements are missing
constexpr core::common::milliseconds vm_removed_after{10'000}; // of absence; longer than the list lags

class acknowledgements {
public:
    acknowledgements(const admin_settings& settings, acceptor& changes, store& objects)
        : settings_(settings), changes_(changes), store_(objects) {}

    void tick(core::common::time_point now);
    void handle(const store_event& event, core::common::time_point now);

    [[nodiscard]] bool confirmed() const; // every earlier acceptor has acknowledged this one

private:
    struct acceptor_view {
        std::int64_t registration = 0;                        // revision of its entry
        std::int64_t acknowledged = 0;                        // newest revision that it acknowledged
        std::uint64_t ack_call = 0;                           // number of the read in progress
        std::optional<core::common::time_point> absent_since; // from the platform's list of VMs
    };
    void write_acknowledgement(core::common::time_point now);
    void poll_other_acceptors(core::common::time_point now);
    void handle_own_ack(const store_event& event);
    void handle_vm_list(const edge::store_answer& answer, core::common::time_point now);
    void remove_acceptor(const std::string& vm, core::common::time_point now);
    void refresh_acceptors();

    const admin_settings& settings_;
    acceptor& changes_;
    store& store_;
    edge::logger log_ = edge::make_logger("admin.acceptors");
    std::map<std::string, acceptor_view> other_acceptors_; // by VM
    std::int64_t own_registration_ = 0;                    // revision of this process's entry; 0: none
    std::int64_t newest_registration_ = 0;                 // of all entries
    std::int64_t acknowledged_revision_ = 0;               // stored by this process
    std::int64_t written_revision_ = 0; // revision in the newest write of its acknowledgement
    std::uint64_t own_ack_call_ = 0;    // read or write of its acknowledgement in progress; 0: none
    std::uint64_t vm_list_call_ = 0;
    std::int64_t refreshed_revision_ = -1; // of the head copy at the last refresh_acceptors()
    std::set<std::string> removals_in_progress_;
    core::common::time_point next_ack_attempt_{};
    core::common::time_point next_ack_poll_{};
    core::common::time_point next_vm_poll_{};
};

} // namespace waxwinglb::programs::admin
