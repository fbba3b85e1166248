#include "programs/gateway/scaling.hpp"

#include "platform/documents.hpp"
#include "platform/duties.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using core::scaling::observation;

constexpr milliseconds evaluation_interval{1'000};
constexpr milliseconds answer_limit{15'000}; // a call that is still repeated then is only replaced by itself
constexpr double least_rate_in_use = 0.02;   // requests per second of a model that is still in use
constexpr double usable_slots = 0.75;        // of an engine's; only where no target says how many it has

double rounded(double value) {
    return std::round(value * 100) / 100;
}

} // namespace

void scaling::change_members(const std::map<std::string, store_watch::member>& members) {
    data_centres_.clear();
    for (const auto& [name, member] : members)
        if (!member.data_centre.empty())
            data_centres_.insert(member.data_centre);
    if (!context_.settings.data_centre.empty())
        data_centres_.insert(context_.settings.data_centre);
}

void scaling::step() {
    const auto now = context_.loop.now();
    if (now < evaluate_at_)
        return;
    evaluate_at_ = now + evaluation_interval;
    const auto token = dependencies_.calls.token();
    if (std::exchange(token_, token) != token) { // a new holder begins with what it sees
        known_.clear();
        open_calls_.clear();
    }
    if (!context_.settings.duties.autoscale || !token || !dependencies_.orders.may_order(now))
        return;
    repeat_dropped_calls();
    std::erase_if(known_, [&](const auto& entry) {
        const auto* service = context_.config->find_service(entry.first);
        return service == nullptr || !service->scaling;
    });
    for (const auto& [name, service] : context_.config->services)
        if (service.scaling)
            evaluate(service);
}

void scaling::evaluate(const core::fleet::service& service) {
    const observation seen = observe(service);
    auto& scaler = known_[service.name];
    const auto calls = scaler.evaluate(*service.scaling, seen, context_.loop.now());
    const auto& estimate = scaler.latest();
    context_.metrics.set_targets_needed(service.name, estimate.needed);
    for (const auto& call : calls) {
        const std::string subject = service.name + "/" + call.data_centre;
        context_.metrics.count_scale_call(service.name);
        context_.log.write(edge::events::scale_decided, subject,
                           {{"desired", call.desired},
                            {"before", call.before},
                            {"why", call.why},
                            {"needed", estimate.needed},
                            {"level", rounded(estimate.level)},
                            {"expected", rounded(estimate.expected)},
                            {"room", seen.room},
                            {"running", seen.running},
                            {"waiting", seen.waiting},
                            {"per_second", rounded(seen.per_second)},
                            {"holders_needed", seen.holders_needed},
                            {"models_placed", seen.models_placed}});
        this->call(subject, platform::encode_scale(service.name, call.data_centre, call.desired));
    }
}

void scaling::call(const std::string& subject, const std::string& body) {
    open_calls_[subject] = {body, context_.loop.now()};
    dependencies_.calls.enqueue(subject, platform::scale_path, body,
                                [this, subject](core::duties::call_answer) { open_calls_.erase(subject); });
}

/// Calls are dropped when the term ends, also if this gateway renews its lease at once, with the same token.
void scaling::repeat_dropped_calls() {
    std::map<std::string, std::string> due;
    for (const auto& [subject, open] : open_calls_)
        if (context_.loop.now() - open.enqueued_at >= answer_limit)
            due[subject] = open.body;
    for (const auto& [subject, body] : due)
        call(subject, body);
}

// ---- what is seen ----------------------------------------------------------------------------------

bool scaling::serves(const core::fleet::target& target, const std::string& service) const {
    return target.entry.service == service && !target.leaving() &&
           !context_.centres.out().contains(target.entry.data_centre);
}

void scaling::add_use(const std::string& service, const std::string& target,
                      const core::fleet::model_ref& ref, int running, demand_sum& to) const {
    const auto* known = context_.directory.find(target);
    if (known == nullptr || known->entry.service != service || running <= 0)
        return;
    to.running += running;
    to.models_in_use.insert(ref.model);
}

scaling::demand_sum scaling::sum_demand(const std::string& service) const {
    demand_sum out;
    const auto add_demand = [&](const core::fleet::model_ref& ref, int waiting, double per_second) {
        out.waiting += waiting;
        out.per_second += per_second;
        if (waiting > 0 || per_second >= least_rate_in_use)
            out.models_in_use.insert(ref.model);
    };
    for (const auto& [key, use] : dependencies_.dispatch.usage())
        add_use(service, key.first, key.second, use.running, out);
    for (const auto& [ref, waiting] : dependencies_.dispatch.waiting_by_model())
        if (waiting.service == service)
            add_demand(ref, waiting.count, 0);
    for (const auto& [ref, rate] : dependencies_.dispatch.arrival_rates())
        if (rate.service == service)
            add_demand(ref, 0, rate.per_second);
    for (const auto& [name, details] : dependencies_.others.fresh_details()) {
        for (const auto& use : details->uses)
            add_use(service, use.target, core::fleet::parse_model_ref(use.model), use.running, out);
        for (const auto& demand : details->demands)
            if (demand.service_name == service)
                add_demand(core::fleet::parse_model_ref(demand.model), std::max(0, demand.waiting),
                           std::max(0.0, demand.per_second));
    }
    return out;
}

observation scaling::observe(const core::fleet::service& service) const {
    const demand_sum demand = sum_demand(service.name);
    observation out;
    out.running = demand.running;
    out.waiting = demand.waiting;
    out.per_second = demand.per_second;
    for (const std::string& centre : data_centres_)
        out.centres[centre].out = context_.centres.out().contains(centre);
    add_targets(service, out);
    if (service.engine)
        add_models(*service.engine, service.name, demand.models_in_use, out);
    return out;
}

void scaling::add_targets(const core::fleet::service& service, observation& to) const {
    double room = 0;
    int serving = 0;
    for (const auto& [id, target] : context_.directory.targets()) {
        if (target.entry.service != service.name)
            continue;
        if (target.entry.data_centre.empty())
            continue; // a call must name one
        auto& centre = to.centres[target.entry.data_centre];
        centre.out = context_.centres.out().contains(target.entry.data_centre);
        centre.targets += target.leaving() ? 0 : 1;
        if (!serves(target, service.name))
            continue;
        room += dependencies_.dispatch.room_of(target);
        ++serving;
    }
    if (serving > 0)
        to.room = room / serving;
    else if (service.engine)
        to.room = std::max(1.0, service.engine->slots * usable_slots);
    else
        to.room = 1;
}

void scaling::add_models(const core::fleet::engine_spec& engine, const std::string& service,
                         const std::set<std::string>& in_use, observation& to) const {
    std::set<std::string> held;
    for (const auto& [id, target] : context_.directory.targets())
        if (serves(target, service))
            for (const auto& [model, adapters] : target.entry.models)
                held.insert(model);
    std::vector<double> sizes;
    for (const auto& [name, model] : engine.models) {
        if (!in_use.contains(name))
            continue;
        sizes.push_back(model.megabytes);
        to.load_time = std::max(to.load_time, model.store_load);
        to.models_placed = to.models_placed && held.contains(name);
    }
    to.holders_needed = core::scaling::targets_to_hold(std::move(sizes), engine.megabytes);
}

} // namespace waxwinglb::programs::gateway
