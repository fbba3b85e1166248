#include "programs/router/directory.hpp"

#include <vector>

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds ask_every{150};    // pause between questions for one shard's holder
constexpr milliseconds told_valid{1'000}; // trust in a holder named by not_holder

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

void steward_directory::opened(const edge::link_event& event) {
    steward& one = stewards_[event.link];
    one.open = true;
    one.full = false;
    one.data_centre = event.peer.data_centre;
    log_->info("Link to steward {} is open.", event.peer.process);
}

void steward_directory::closed(edge::link_id link) {
    steward& one = stewards_[link];
    one.open = false;
    log_->warn("Link to the steward at {} closed.", one.address);
    for (auto& [shard, holder] : holders_)
        if (holder.link == link)
            holder = {0, holder.fencing, {}, {}};
}

std::optional<edge::link_id> steward_directory::holder(int shard, time_point now) {
    const shard_holder& one = holders_[shard];
    const bool known = one.link != 0 && stewards_[one.link].open;
    if (!known || now >= one.valid_until)
        ask(shard, now);
    if (!known)
        return std::nullopt;
    return one.link; // past its validity it still gets the question: it says itself if it is no holder
}

void steward_directory::ask(int shard, time_point now) {
    shard_holder& one = holders_[shard];
    if (one.asked != time_point{} && now - one.asked < ask_every)
        return;
    std::vector<edge::link_id> open;
    for (const auto& [link, steward] : stewards_)
        if (steward.open)
            open.push_back(link);
    if (open.empty())
        return;
    one.asked = now;
    wire::locate_request question;
    question.__set_shard(shard);
    links_.send(open[next_asked_++ % open.size()], wire::message_kind::locate_request, shard, question);
}

void steward_directory::located(const wire::locate_result& found, time_point now) {
    note(found.shard, found.address, found.fencing, now + milliseconds{found.valid_ms});
}

void steward_directory::moved(const wire::not_holder& told, time_point now) {
    const auto known = holders_.find(told.shard);
    if (told.address.empty() && known != holders_.end()) {
        known->second.link = 0;
        return;
    }
    note(told.shard, told.address, told.fencing, now + told_valid);
}

void steward_directory::note(int shard, const std::string& address, std::int64_t fencing, time_point until) {
    shard_holder& one = holders_[shard];
    if (address.empty() || fencing < one.fencing)
        return; // nobody holds it now, or an older holder than the one known
    one.link = link_to(address);
    one.fencing = fencing;
    one.valid_until = until;
}

/// Best: of the own data centre and with room; worst: full ones, which may have room again.
std::optional<edge::link_id> steward_directory::feed(std::optional<edge::link_id> except) const {
    std::optional<edge::link_id> out;
    int best = -1;
    for (const auto& [link, one] : stewards_) {
        if (!one.open)
            continue;
        const bool near = one.data_centre == settings_.data_centre;
        const int rank = link == except ? 0 : one.full ? 1 : near ? 3 : 2;
        if (rank > best) {
            out = link;
            best = rank;
        }
    }
    return out;
}

} // namespace waxwinglb::programs::router
