// Views of replica sets, sent to routers.
#include "programs/steward/replicas.hpp"

#include <algorithm>

namespace waxwinglb::programs::steward {

using core::common::milliseconds;
using core::common::time_point;
using core::placement::member;
using core::placement::member_state;
using kind = wire::message_kind;

namespace {

constexpr milliseconds retry_if_no_target{2'000};

const char* text_of(member_state state) {
    switch (state) {
    case member_state::unknown:
        return "ordered";
    case member_state::loading:
        return "loading";
    case member_state::loaded:
        return "loaded";
    case member_state::unloading:
        return "unloading";
    }
    return "unknown";
}

/// Compares views without times and loads, whose changes alone need no new message.
bool same_view(const wire::replica_view& a, const wire::replica_view& b) {
    const auto same = [](const wire::replica& x, const wire::replica& y) {
        return x.target == y.target && x.address == y.address && x.state == y.state &&
               x.adapters == y.adapters;
    };
    return a.decision == b.decision && a.fencing == b.fencing && a.reason == b.reason &&
           a.quarantined.size() == b.quarantined.size() &&
           std::equal(a.quarantined.begin(), a.quarantined.end(), b.quarantined.begin(),
                      [](const wire::quarantine& x, const wire::quarantine& y) {
                          return x.fingerprint == y.fingerprint && x.condemned == y.condemned;
                      }) &&
           std::equal(a.replicas.begin(), a.replicas.end(), b.replicas.begin(), b.replicas.end(), same);
}

} // namespace

wire::replica_view replica_service::make_view(const set_name& name, const set_entry& entry,
                                              time_point now) const {
    wire::replica_view out;
    out.__set_service_name(name.service);
    out.__set_model(name.model);
    out.__set_valid_ms(view_validity.count());
    const auto fencing = fencing_.find(entry.shard);
    out.__set_fencing(fencing == fencing_.end() ? 0 : fencing->second);
    if (name.model.empty())
        add_plain(name, out, now);
    else
        add_members(name, entry, out, now);
    out.__set_quarantined(quarantine_.entries(name.service, name.model, now));
    const bool any_loaded =
        std::any_of(out.replicas.begin(), out.replicas.end(),
                    [](const wire::replica& replica) { return replica.state == "loaded"; });
    if (any_loaded)
        return out;
    out.__set_estimate_ms(core::common::to_wire_ms(estimate(name, entry, now)));
    const auto targets = targets_.views(name.service, now);
    const bool any_usable =
        std::any_of(targets.begin(), targets.end(), [](const auto& target) { return target.usable(); });
    if (!any_usable && !targets_.awaits_first_report(name.service, now)) {
        out.__set_reason(wire::refusal::overloaded);
        out.__set_retry_after_ms(retry_if_no_target.count());
    }
    return out;
}

void replica_service::add_plain(const set_name& name, wire::replica_view& out, time_point now) const {
    for (const auto& view : targets_.views(name.service, now)) {
        if (!view.usable())
            continue;
        const target_entry& target = *targets_.find(view.target);
        wire::replica replica;
        replica.__set_target(view.target);
        replica.__set_address(target.listed.address);
        replica.__set_data_centre(view.data_centre);
        replica.__set_state("loaded");
        replica.__set_load(target.report->load);
        out.replicas.push_back(std::move(replica));
    }
}

void replica_service::add_members(const set_name& name, const set_entry& entry, wire::replica_view& out,
                                  time_point now) const {
    out.__set_decision(entry.set.current().number);
    for (const auto& view : targets_.views(name.service, now)) {
        const member* found = find_member(entry.set, view.target);
        if (found == nullptr || found->intended != core::placement::intent::load || !view.usable())
            continue;
        const target_entry& target = *targets_.find(view.target);
        wire::replica replica;
        replica.__set_target(view.target);
        replica.__set_address(target.listed.address);
        replica.__set_data_centre(view.data_centre);
        replica.__set_state(text_of(entry.set.state_of(view.target)));
        replica.__set_load(target.report->load);
        if (const wire::loaded_model* model = find_model(*target.report, name.model))
            replica.__set_adapters(model->adapters);
        out.replicas.push_back(std::move(replica));
    }
}

/// Expected time until a replica serves: load time plus the wait for a weight slot.
core::common::duration replica_service::estimate(const set_name& name, const set_entry& entry,
                                                 time_point now) const {
    (void)entry;
    (void)now;
    const core::config::model* model = model_of(name);
    if (model == nullptr)
        return {};
    const auto load_time = model->load_estimate.count() > 0 ? model->load_estimate : default_load_estimate;
    return load_time + slots_.estimate();
}

void replica_service::push_views(const set_name& name, set_entry& entry, time_point now) {
    std::erase_if(entry.subscribers, [&](const auto& subscriber) {
        return now - subscriber.second.asked_at > view_subscription_ttl;
    });
    wire::replica_view out = make_view(name, entry, now);
    const bool again = now - entry.sent_at >= view_resend_interval;
    if (!again && same_view(out, entry.sent))
        return;
    entry.sent_at = now;
    for (const auto& [link, subscriber] : entry.subscribers)
        context_.links.send(link, kind::replica_view, subscriber.call, out);
    entry.sent = std::move(out);
}

} // namespace waxwinglb::programs::steward
