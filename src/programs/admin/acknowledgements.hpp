/// Says when this process may begin to accept: once every other acceptor has seen its registration.
///
/// A steward that is cut from the store trusts its copy while every acceptor in it is heard and none reaches
/// the store. An acceptor that such a steward doesn't know could accept behind its back. So a new acceptor
/// waits until each earlier one has acknowledged a revision with its registration: from then on those report
/// that revision, and a steward with an older copy stops trusting it. An acceptor whose VM is gone from the
/// platform's list reports nothing any more; it is removed from the list of acceptors instead.
#pragma once

#include "programs/admin/acceptor.hpp"

#include <map>
#include <set>
#include <string>

namespace waxwinglb::programs::admin {

constexpr core::common::milliseconds ack_poll_every{200};   // while others have to acknowledge
constexpr core::common::milliseconds vm_poll_every{1'000};  // while one of them stays silent
constexpr core::common::milliseconds vm_gone_after{10'000}; // absent for that long: past the list's lag

class acknowledgements {
public:
    acknowledgements(const admin_settings& settings, acceptor& changes, store& objects)
        : settings_(settings), changes_(changes), store_(objects) {}

    void tick(core::common::time_point now);
    void take(const store_event& event, core::common::time_point now);

    [[nodiscard]] bool confirmed() const; // every other acceptor has seen this one

private:
    struct acceptor_view {
        std::int64_t registered = 0;                          // revision of its entry
        std::int64_t seen = 0;                                // that it acknowledged
        std::uint64_t asked = 0;                              // number of the call under way
        std::optional<core::common::time_point> absent_since; // from the platform's list
    };
    void acknowledge(core::common::time_point now);
    void ask_others(core::common::time_point now);
    void take_own(const store_event& event);
    void take_vms(const edge::store_answer& answer, core::common::time_point now);
    void remove_gone(const std::string& vm, core::common::time_point now);
    void read_list();

    const admin_settings& settings_;
    acceptor& changes_;
    store& store_;
    edge::logger log_ = edge::make_logger("admin.acceptors");
    std::map<std::string, acceptor_view> others_; // by VM
    std::int64_t own_registered_ = 0;             // revision of this process's entry; 0: none
    std::int64_t newest_registration_ = 0;        // of all entries
    std::int64_t acknowledged_ = 0;               // written to the store by this process
    std::int64_t written_ = 0;                    // revision in the newest write of the own acknowledgement
    std::uint64_t own_call_ = 0;                  // read or write of the own acknowledgement under way
    std::uint64_t vms_call_ = 0;
    std::int64_t read_revision_ = -1; // of the book when the list was last read
    std::set<std::string> removing_;
    core::common::time_point next_own_{};
    core::common::time_point next_ask_{};
    core::common::time_point next_vms_{};
};

} // namespace waxwinglb::programs::admin
