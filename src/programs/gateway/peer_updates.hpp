/// The updates that gateways exchange about the store and the targets: the configuration in force, data
/// centres taken out, leaving targets and targets' limits, registrations for gateways that can't read the
/// store, and from the order giver what targets hold. The newest update wins, so each gateway may forward all
/// that it has.
#pragma once

#include "core/exchange/relay_queue.hpp"
#include "core/membership/announcements.hpp"
#include "edge/http_client.hpp"
#include "programs/gateway/dispatcher.hpp"
#include "programs/gateway/forwarder.hpp"
#include "programs/gateway/peer_config_reader.hpp"
#include "programs/gateway/store_watch.hpp"

#include <functional>
#include <optional>

namespace waxwinglb::programs::gateway {

constexpr core::common::milliseconds holdings_resend_interval{1'000}; // receivers use them for 3 s
constexpr core::common::milliseconds starts_resend_interval{20'000}; // each gateway's own watch sees them too
/// Updates of targets in one message, which takes about 30 kB with them. The rest goes with the next ones.
constexpr std::size_t max_updates = 400;

class peer_updates {
public:
    struct dependencies {
        dispatcher& dispatch;
        forwarder& forward;
        store_watch& watch;
        edge::http_client& client;
        std::function<std::vector<wire::target_holding>()> holdings; // empty unless this gateway gives orders
    };
    /// What the order giver announces of targets.
    struct target_updates {
        std::vector<wire::target_holding> holdings;
        std::vector<wire::target_registration> starts;
    };
    peer_updates(gateway_context& context, dependencies used)
        : context_(context), dependencies_(std::move(used)),
          config_reader_(context, dependencies_.watch, dependencies_.client) {}

    void add_to(wire::peer_status& message) const;
    [[nodiscard]] target_updates due_updates(); // changed, or due to be sent again
    /// Updates that came from another group, to pass on in the own one; the oldest ones, once.
    [[nodiscard]] target_updates take_relayed();
    /// Origins of the streams that this gateway began lately; of all streams that it knows.
    [[nodiscard]] std::vector<wire::stream_origins> recent_origins() const;
    [[nodiscard]] std::vector<wire::stream_origins> all_origins() const;
    /// For a gateway that has just started: what this one knows of targets' versions, if that is all.
    void add_versions_to(wire::peer_status& message) const;
    /// Whether updates are left that didn't fit into the last message. `announces`: it had due_updates.
    [[nodiscard]] bool has_more(bool announces) const;
    [[nodiscard]] std::vector<wire::target_registration> registrations() const;
    /// Whether this gateway can announce the registrations: it reads them, or has them from another group.
    [[nodiscard]] bool has_registrations(core::common::time_point now) const;
    /// Whether the leaving targets, the targets' limits or the data centres taken out changed since the last
    /// call.
    [[nodiscard]] bool urgent_updates_changed();

    /// What a message brought that this gateway must forward.
    struct applied {
        bool updates = false; // of targets, for the own group
        bool urgent = false;  // departures or limits of targets that were not known before
    };
    /// Applies a peer's message. `own_speakers`: set if it comes from another group; the speakers of the own
    /// one, who pass on its updates.
    applied apply(const wire::peer_status& message,
                  const std::optional<std::vector<std::string>>& own_speakers);
    void forget_old();

private:
    void add_departures_to(wire::peer_status& message) const;
    void add_limits_to(wire::peer_status& message) const;
    void add_suspects_to(wire::peer_status& message) const; // requests that broke connections to targets
    void apply_centres(const wire::peer_status& message);
    [[nodiscard]] bool apply_departures(const wire::peer_status& message); // true: some are new
    [[nodiscard]] bool apply_limits(const wire::peer_status& message);     // likewise
    void confirm_view(const wire::peer_status& message);
    void apply_store_state(const wire::peer_status& message);
    void apply_holdings(const wire::peer_status& message);
    void apply_versions(const wire::peer_status& message);
    [[nodiscard]] bool
    knows_all_of(const wire::peer_status& message) const; // configuration, data centres out
    void adopt_registrations(const wire::peer_status& message);

    gateway_context& context_;
    dependencies dependencies_;
    peer_config_reader config_reader_;
    core::membership::announcement_schedule holdings_updates_{holdings_resend_interval};
    core::membership::announcement_schedule starts_updates_{starts_resend_interval};
    core::exchange::relay_queue<wire::target_holding> relayed_holdings_; // from other groups
    core::exchange::relay_queue<wire::target_registration> relayed_starts_;
    std::string next_holding_; // targets from there on come first in the next message
    std::string next_start_;
    bool updates_left_ = false;
    std::uint64_t announced_urgent_updates_ = 0;    // hash of what was last announced
    core::common::time_point adopted_outside_at_{}; // registrations from another group
};

} // namespace waxwinglb::programs::gateway
