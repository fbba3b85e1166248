#include "programs/router/views.hpp"

#include "core/membership/shard.hpp"

#include <algorithm>

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds request_interval{200};        // between requests for one view
constexpr milliseconds renew_before{1'500};          // a view in use is renewed so long before it expires
constexpr milliseconds unused_view_lifetime{30'000}; // a view that is unused for so long is dropped

std::string key_of(const std::string& service, const std::string& model) {
    return service + "/" + model;
}

core::routing::replica from_wire(const wire::replica& message) {
    core::routing::replica out;
    out.target = message.target;
    out.address = message.address;
    out.data_centre = message.data_centre;
    out.ready = message.state == "loaded";
    out.draining = message.load.draining;
    out.running = message.load.running;
    out.waiting = message.load.waiting;
    out.limit = message.load.limit;
    out.boot = message.load.boot;
    out.estimate_ms = message.load.estimate_ms;
    out.adapters = message.adapters;
    return out;
}

/// Sums the work of all waiting requests by customer.
std::vector<wire::waiting_work> sum_waiting(const replica_set_view& view, time_point now) {
    std::map<std::string, wire::waiting_work> sums;
    for (const auto& [call, request] : view.waiting) {
        wire::waiting_work& sum = sums[request.customer];
        const std::int64_t left = core::common::to_wire_ms(request.deadline - now);
        sum.__set_oldest_remaining_ms(sum.requests == 0 ? left : std::min(sum.oldest_remaining_ms, left));
        sum.__set_requests(sum.requests + 1);
        sum.__set_tokens(sum.tokens + request.tokens);
        sum.__set_customer(request.customer);
    }
    std::vector<wire::waiting_work> out;
    for (auto& [customer, sum] : sums)
        out.push_back(std::move(sum));
    return out;
}

} // namespace

core::common::duration replica_set_view::estimate_left(time_point now) const {
    const core::common::duration left = received + estimate - now;
    return std::max(left, core::common::duration::zero());
}

replica_views::replica_views(edge::link_hub& links, steward_directory& stewards,
                             const router_settings& settings)
    : links_(links), stewards_(stewards), settings_(settings) {}

replica_set_view& replica_views::use(const std::string& service, const std::string& model, time_point now) {
    replica_set_view& view = views_[key_of(service, model)];
    view.service = service;
    view.model = model;
    view.last_used = now;
    if (now + renew_before >= view.valid_until)
        request_view(view, now);
    return view;
}

void replica_views::add_waiting(replica_set_view& view, call_id call, waiting_call waiting, time_point now) {
    const bool added = view.waiting.insert_or_assign(call, std::move(waiting)).second;
    view.has_new_waiting = view.has_new_waiting || added;
    request_view(view, now);
}

void replica_views::stop_waiting(const std::string& service, const std::string& model, call_id call) {
    const auto found = views_.find(key_of(service, model));
    if (found != views_.end())
        found->second.waiting.erase(call);
}

void replica_views::request_view(replica_set_view& view, time_point now) {
    if (view.requested_at != time_point{} && now - view.requested_at < request_interval)
        return;
    const int shard = core::membership::shard_of(core::membership::replica_set_name(view.service, view.model),
                                                 settings_.control_shards);
    const auto holder = stewards_.holder(shard, now);
    if (!holder)
        return;
    view.requested_at = now;
    view.has_new_waiting = false;
    wire::view_request request;
    request.__set_service_name(view.service);
    request.__set_model(view.model);
    request.__set_waiting(sum_waiting(view, now));
    request.__set_served_since(std::exchange(view.served_since, 0));
    request.__set_data_centre(settings_.data_centre);
    links_.send(*holder, wire::message_kind::view_request, 0, request);
}

std::vector<call_id> replica_views::apply_view(const wire::replica_view& pushed, time_point now) {
    const auto found = views_.find(key_of(pushed.service_name, pushed.model));
    if (found == views_.end() || pushed.fencing < found->second.fencing)
        return {}; // the view is no longer used, or the sender is no longer the holder
    replica_set_view& view = found->second;
    std::vector<core::routing::replica> next;
    for (const wire::replica& message : pushed.replicas) {
        next.push_back(from_wire(message));
        const auto* known = find(view.service, view.model, message.target);
        if (known != nullptr)
            next.back().unreported = known->unreported;
    }
    view.replicas = std::move(next);
    view.fencing = pushed.fencing;
    view.received = now;
    view.valid_until = now + milliseconds{pushed.valid_ms};
    view.estimate = milliseconds{std::max<std::int64_t>(0, pushed.estimate_ms)};
    view.reason = pushed.reason;
    view.retry_after = milliseconds{std::max<std::int64_t>(0, pushed.retry_after_ms)};
    view.quarantined_until.clear();
    for (const wire::quarantine& quarantine : pushed.quarantined)
        if (quarantine.condemned)
            view.quarantined_until[quarantine.fingerprint] = now + milliseconds{quarantine.remaining_ms};
    std::vector<call_id> out;
    for (const auto& [call, waiting] : view.waiting)
        out.push_back(call);
    return out;
}

core::routing::replica* replica_views::find(const std::string& service, const std::string& model,
                                            const std::string& target) {
    const auto view = views_.find(key_of(service, model));
    if (view == views_.end())
        return nullptr;
    auto& replicas = view->second.replicas;
    const auto found =
        std::find_if(replicas.begin(), replicas.end(),
                     [&](const core::routing::replica& replica) { return replica.target == target; });
    return found == replicas.end() ? nullptr : &*found;
}

void replica_views::apply_load(const std::string& service, const std::string& model,
                               const std::string& target, const wire::replica_load& load) {
    core::routing::replica* replica = find(service, model, target);
    if (replica == nullptr || load.limit <= 0)
        return;
    replica->running =
        std::max(0, load.running - replica->unreported); // the report includes this router's own requests
    replica->waiting = load.waiting;
    replica->limit = load.limit;
    replica->draining = load.draining;
    replica->boot = load.boot;
    replica->estimate_ms = load.estimate_ms;
}

void replica_views::adjust_unreported(const std::string& service, const std::string& model,
                                      const std::string& target, int change) {
    core::routing::replica* replica = find(service, model, target);
    if (replica != nullptr)
        replica->unreported = std::max(0, replica->unreported + change);
    const auto view = views_.find(key_of(service, model));
    if (change > 0 && view != views_.end())
        ++view->second.served_since;
}

void replica_views::tick(time_point now) {
    for (auto next = views_.begin(); next != views_.end();) {
        replica_set_view& view = next->second;
        if (view.waiting.empty() && now - view.last_used >= unused_view_lifetime) {
            next = views_.erase(next);
            continue;
        }
        const bool waiting = !view.waiting.empty();
        const bool renew = waiting && now + renew_before >= view.valid_until;
        if (view.has_new_waiting || renew)
            request_view(view, now);
        ++next;
    }
}

} // namespace waxwinglb::programs::router
