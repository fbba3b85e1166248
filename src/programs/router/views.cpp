#include "programs/router/views.hpp"

#include "core/membership/shard.hpp"

#include <algorithm>

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds ask_every{200};      // pause between questions for one view
constexpr milliseconds renew_before{1'500}; // an old view in use is renewed so long before its end
constexpr milliseconds keep_unused{30'000}; // a view that nobody used for so long is dropped

std::string key_of(const std::string& service, const std::string& model) {
    return service + "/" + model;
}

core::routing::replica from_wire(const wire::replica& told) {
    core::routing::replica out;
    out.target = told.target;
    out.address = told.address;
    out.data_centre = told.data_centre;
    out.ready = told.state == "loaded";
    out.draining = told.load.draining;
    out.running = told.load.running;
    out.waiting = told.load.waiting;
    out.limit = told.load.limit;
    out.boot = told.load.boot;
    out.estimate_ms = told.load.estimate_ms;
    out.adapters = told.adapters;
    return out;
}

/// Work of all waiting requests, summed by customer.
std::vector<wire::waiting_work> sum_waiting(const replica_set_view& view, time_point now) {
    std::map<std::string, wire::waiting_work> sums;
    for (const auto& [call, one] : view.waiting) {
        wire::waiting_work& sum = sums[one.customer];
        const std::int64_t left = core::common::to_wire_ms(one.deadline - now);
        sum.__set_oldest_remaining_ms(sum.requests == 0 ? left : std::min(sum.oldest_remaining_ms, left));
        sum.__set_requests(sum.requests + 1);
        sum.__set_tokens(sum.tokens + one.tokens);
        sum.__set_customer(one.customer);
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
    view.used = now;
    if (now + renew_before >= view.valid_until)
        ask(view, now);
    return view;
}

void replica_views::wait(replica_set_view& view, call_id call, waiting_call what, time_point now) {
    const bool fresh = view.waiting.insert_or_assign(call, std::move(what)).second;
    view.news = view.news || fresh;
    ask(view, now);
}

void replica_views::stop_waiting(const std::string& service, const std::string& model, call_id call) {
    const auto found = views_.find(key_of(service, model));
    if (found != views_.end())
        found->second.waiting.erase(call);
}

void replica_views::ask(replica_set_view& view, time_point now) {
    if (view.asked != time_point{} && now - view.asked < ask_every)
        return;
    const int shard = core::membership::shard_of(core::membership::replica_set_name(view.service, view.model),
                                                 settings_.control_shards);
    const auto holder = stewards_.holder(shard, now);
    if (!holder)
        return;
    view.asked = now;
    view.news = false;
    wire::view_request request;
    request.__set_service_name(view.service);
    request.__set_model(view.model);
    request.__set_waiting(sum_waiting(view, now));
    request.__set_served_since(std::exchange(view.served_since, 0));
    request.__set_data_centre(settings_.data_centre);
    links_.send(*holder, wire::message_kind::view_request, 0, request);
}

std::vector<call_id> replica_views::updated(const wire::replica_view& pushed, time_point now) {
    const auto found = views_.find(key_of(pushed.service_name, pushed.model));
    if (found == views_.end() || pushed.fencing < found->second.fencing)
        return {}; // not wanted any more, or from a holder that was replaced
    replica_set_view& view = found->second;
    std::vector<core::routing::replica> next;
    for (const wire::replica& told : pushed.replicas) {
        next.push_back(from_wire(told));
        const auto* known = find(view.service, view.model, told.target);
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
    view.condemned.clear();
    for (const wire::quarantine& one : pushed.quarantined)
        if (one.condemned)
            view.condemned[one.fingerprint] = now + milliseconds{one.remaining_ms};
    std::vector<call_id> out;
    for (const auto& [call, what] : view.waiting)
        out.push_back(call);
    return out;
}

core::routing::replica* replica_views::find(const std::string& service, const std::string& model,
                                            const std::string& target) {
    const auto view = views_.find(key_of(service, model));
    if (view == views_.end())
        return nullptr;
    auto& replicas = view->second.replicas;
    const auto found = std::find_if(replicas.begin(), replicas.end(),
                                    [&](const core::routing::replica& one) { return one.target == target; });
    return found == replicas.end() ? nullptr : &*found;
}

void replica_views::report(const std::string& service, const std::string& model, const std::string& target,
                           const wire::replica_load& load) {
    core::routing::replica* one = find(service, model, target);
    if (one == nullptr || load.limit <= 0)
        return;
    one->running = std::max(0, load.running - one->unreported); // its report counts this router's own too
    one->waiting = load.waiting;
    one->limit = load.limit;
    one->draining = load.draining;
    one->boot = load.boot;
    one->estimate_ms = load.estimate_ms;
}

void replica_views::count_sent(const std::string& service, const std::string& model,
                               const std::string& target, int change) {
    core::routing::replica* one = find(service, model, target);
    if (one != nullptr)
        one->unreported = std::max(0, one->unreported + change);
    const auto view = views_.find(key_of(service, model));
    if (change > 0 && view != views_.end())
        ++view->second.served_since;
}

void replica_views::tick(time_point now) {
    for (auto next = views_.begin(); next != views_.end();) {
        replica_set_view& view = next->second;
        if (view.waiting.empty() && now - view.used >= keep_unused) {
            next = views_.erase(next);
            continue;
        }
        const bool waiting = !view.waiting.empty();
        const bool renew = waiting && now + renew_before >= view.valid_until;
        if (view.news || renew)
            ask(view, now);
        ++next;
    }
}

} // namespace waxwinglb::programs::router
