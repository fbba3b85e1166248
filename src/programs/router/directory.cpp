#include "programs/router/directory.hpp"

#include <vector>

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds request_interval{150};    // between requests for one shard's holder
constexpr milliseconds redirect_validity{1'000}; // of a holder named by not_holder

} // namespace

steward_directory::steward_directory(edge::link_hub& links, const router_settings& settings)
    : links_(links), settings_(settings) {}

void steward_directory::start() {
    for (const std::string& address : settings_.stewards)
        link_to(address);
}

edge::link_id steward_directory::link_to(const std::string& address) {
    const auto known = by_address_.find(address);
    if (known != by_address_.end())
        return known->second;
    const edge::link_id link = links_.connect(address);
    stewards_[link].address = address;
    by_address_[address] = link;
    return link;
}

void steward_directory::handle_opened(const edge::link_event& event) {
    steward& peer = stewards_[event.link];
    peer.open = true;
    peer.full = false;
    peer.data_centre = event.peer.data_centre;
    log_->info("Link to steward {} is open.", event.peer.process);
}

void steward_directory::handle_closed(edge::link_id link) {
    steward& peer = stewards_[link];
    peer.open = false;
    log_->warn("Link to the steward at {} closed.", peer.address);
    for (auto& [shard, holder] : holders_)
        if (holder.link == link)
            holder = {0, holder.fencing, {}, {}};
}

std::optional<edge::link_id> steward_directory::holder(int shard, time_point now) {
    const shard_holder& current = holders_[shard];
    const bool known = current.link != 0 && stewards_[current.link].open;
    if (!known || now >= current.valid_until)
        request_holder(shard, now);
    if (!known)
        return std::nullopt;
    return current.link; // after its validity too: a steward that is no longer the holder answers not_holder
}

void steward_directory::request_holder(int shard, time_point now) {
    shard_holder& current = holders_[shard];
    if (current.requested_at != time_point{} && now - current.requested_at < request_interval)
        return;
    std::vector<edge::link_id> open;
    for (const auto& [link, steward] : stewards_)
        if (steward.open)
            open.push_back(link);
    if (open.empty())
        return;
    current.requested_at = now;
    wire::locate_request request;
    request.__set_shard(shard);
    links_.send(open[next_steward_++ % open.size()], wire::message_kind::locate_request, shard, request);
}

void steward_directory::handle_locate_result(const wire::locate_result& result, time_point now) {
    record_holder(result.shard, result.address, result.fencing, now + milliseconds{result.valid_ms});
}

void steward_directory::handle_not_holder(const wire::not_holder& message, time_point now) {
    const auto known = holders_.find(message.shard);
    if (message.address.empty() && known != holders_.end()) {
        known->second.link = 0;
        return;
    }
    record_holder(message.shard, message.address, message.fencing, now + redirect_validity);
}

void steward_directory::record_holder(int shard, const std::string& address, std::int64_t fencing,
                                      time_point until) {
    shard_holder& current = holders_[shard];
    if (address.empty() || fencing < current.fencing)
        return; // the shard has no holder, or the message is older than the known holder
    current.link = link_to(address);
    current.fencing = fencing;
    current.valid_until = until;
}

/// Prefers stewards with room in the own data centre, then those in other data centres, then full ones, which
/// may have room again; `except` comes last.
std::optional<edge::link_id> steward_directory::choose_feed(std::optional<edge::link_id> except) const {
    std::optional<edge::link_id> chosen;
    int best = -1;
    for (const auto& [link, peer] : stewards_) {
        if (!peer.open)
            continue;
        const bool near = peer.data_centre == settings_.data_centre;
        const int rank = link == except ? 0 : peer.full ? 1 : near ? 3 : 2;
        if (rank > best) {
            chosen = link;
            best = rank;
        }
    }
    return chosen;
}

} // namespace waxwinglb::programs::router
