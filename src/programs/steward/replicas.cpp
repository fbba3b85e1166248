#include "programs/steward/replicas.hpp"

#include "core/membership/shard.hpp"

#include <algorithm>

namespace waxwinglb::programs::steward {

using core::common::milliseconds;
using core::common::time_point;
using core::placement::member;
using core::placement::member_state;
using core::placement::order_result;
using kind = wire::message_kind;
using nlohmann::json;

namespace {

constexpr milliseconds retry_if_unknown{500}; // the model or service is not in this copy of the configuration
constexpr milliseconds order_deadline{60'000}; // time that an agent has for a load

std::optional<member_state> member_state_of(const std::string& text) {
    if (text == "loading")
        return member_state::loading;
    if (text == "loaded")
        return member_state::loaded;
    if (text == "unloading")
        return member_state::unloading;
    return std::nullopt;
}

order_result outcome_of(const wire::order_result& result) {
    if (result.reason != wire::refusal::none)
        return order_result::refused;
    if (result.state == "loading")
        return order_result::loading;
    if (result.state == "loaded")
        return order_result::loaded;
    if (result.state == "unloading")
        return order_result::unloading;
    return result.state == "absent" ? order_result::unloaded : order_result::refused;
}

} // namespace

const wire::loaded_model* find_model(const wire::target_report& report, const std::string& model) {
    const auto found = std::find_if(report.models.begin(), report.models.end(),
                                    [&](const wire::loaded_model& loaded) { return loaded.model == model; });
    return found == report.models.end() ? nullptr : &*found;
}

const member* find_member(const core::placement::replica_set& set, const std::string& target) {
    const auto& members = set.current().members;
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const member& candidate) { return candidate.target == target; });
    return found == members.end() ? nullptr : &*found;
}

int replica_service::shard_of(const set_name& name) const {
    return core::membership::shard_of(core::membership::replica_set_name(name.service, name.model),
                                      context_.settings.control_shards);
}

void replica_service::on_acquired(int shard, const json& state, std::int64_t fencing) {
    std::erase_if(sets_, [&](const auto& named_set) { return named_set.second.shard == shard; });
    fencing_[shard] = fencing;
    const auto sets = state.find("sets");
    if (sets == state.end() || !sets->is_object())
        return;
    for (const auto& [key, value] : sets->items()) {
        const auto slash = key.find('/');
        if (slash == std::string::npos || !value.contains("set"))
            continue;
        auto decoded = core::placement::replica_set::decode(value["set"]);
        if (!decoded) {
            log_->error("stored replica set {} of shard {} is malformed", key, shard);
            continue;
        }
        set_entry& entry = entry_of({key.substr(0, slash), key.substr(slash + 1)});
        entry.set = std::move(*decoded);
        if (value.contains("gaps"))
            entry.gaps.decode(value["gaps"]);
    }
}

void replica_service::on_stored(int shard, std::int64_t generation, time_point now) {
    (void)now;
    for (auto& [name, entry] : sets_) {
        if (entry.shard != shard || entry.awaited_generation == 0 || entry.awaited_generation > generation)
            continue;
        entry.awaited_generation = 0;
        entry.set.stored(entry.proposed.number);
        entry.dirty = true;
        context_.program.timeline.add(edge::event_kind::load, name.text(), "decision stored",
                                      "decision " + std::to_string(entry.set.current().number));
    }
}

void replica_service::on_lost(int shard, time_point now) {
    (void)now;
    std::erase_if(sets_, [&](const auto& named_set) { return named_set.second.shard == shard; });
    fencing_.erase(shard);
}

void replica_service::encode(int shard, json& state) const {
    json sets = json::object();
    for (const auto& [name, entry] : sets_) {
        if (entry.shard != shard || name.model.empty())
            continue;
        const core::placement::decision& newest = entry.set.open() ? entry.proposed : entry.set.current();
        if (newest.number > 0)
            sets[name.text()] = {{"set", core::placement::replica_set::encode(newest)},
                                 {"gaps", entry.gaps.encode()}};
    }
    state["sets"] = std::move(sets);
}

replica_service::set_entry& replica_service::entry_of(const set_name& name) {
    const auto [found, made] = sets_.try_emplace(name);
    if (made)
        found->second.shard = shard_of(name);
    return found->second;
}

const core::config::model* replica_service::model_of(const set_name& name) const {
    const auto found = context_.state().models.find(name.text());
    return found == context_.state().models.end() ? nullptr : &found->second;
}

void replica_service::on_view_request(const edge::link_event& event, const wire::view_request& request,
                                      int shard, time_point now) {
    (void)shard;
    const set_name name{request.service_name, request.model};
    const bool known =
        name.model.empty() ? context_.state().services.contains(name.service) : model_of(name) != nullptr;
    if (!known) {
        wire::replica_view out;
        out.__set_service_name(name.service);
        out.__set_model(name.model);
        out.__set_reason(wire::refusal::not_fresh);
        out.__set_retry_after_ms(retry_if_unknown.count());
        return context_.links.send(event.link, kind::replica_view, event.frame.header.call, out);
    }
    set_entry& entry = entry_of(name);
    entry.subscribers[event.link] = {now, event.frame.header.call, event.peer.process};
    core::placement::waiting_work work;
    work.oldest_remaining = core::common::duration::max();
    for (const wire::waiting_work& part : request.waiting) {
        work.requests += part.requests;
        work.tokens += part.tokens;
        work.oldest_remaining =
            std::min<core::common::duration>(work.oldest_remaining, milliseconds{part.oldest_remaining_ms});
    }
    entry.set.note_waiting(now, event.peer.process, work);
    if (work.requests > 0 || request.served_since > 0)
        record_use(entry, name, now);
    if (work.requests > 0 && entry.customer.empty())
        entry.customer = request.waiting.front().customer;
    entry.dirty = true;
    const wire::replica_view out = make_view(name, entry, now);
    context_.links.send(event.link, kind::replica_view, event.frame.header.call, out);
}

/// Records use of the set. A gap is the time from the end of a busy period to the next use.
void replica_service::record_use(set_entry& entry, const set_name& name, time_point now) {
    (void)name;
    if (entry.busy_until != time_point{} && now - entry.busy_until > milliseconds{1'000})
        entry.gaps.add(now - entry.busy_until);
    entry.busy_until = now;
}

void replica_service::on_report(const target_entry& target, time_point now) {
    const wire::target_report& report = *target.report;
    for (auto& [name, entry] : sets_) {
        if (name.service != target.listed.service)
            continue;
        entry.dirty = true;
        if (name.model.empty() || find_member(entry.set, report.target) == nullptr)
            continue;
        const wire::loaded_model* model = find_model(report, name.model);
        const auto state = model == nullptr ? std::nullopt : member_state_of(model->state);
        entry.set.on_report(report.target, state.value_or(member_state::unknown),
                            milliseconds{model == nullptr ? 0 : model->idle_ms});
        if (model != nullptr && model->idle_ms < milliseconds{1'000}.count())
            record_use(entry, name, now);
        if (state == member_state::loaded)
            slots_.release(name.service, name.model, report.target, now);
    }
}

void replica_service::on_order_result(const wire::order_result& result, const std::string& service,
                                      time_point now) {
    const auto found = sets_.find({service, result.model});
    if (found == sets_.end())
        return;
    const auto outcome = outcome_of(result);
    found->second.set.on_outcome(now, {result.target, result.decision, outcome});
    found->second.dirty = true;
    if (outcome != order_result::loading)
        slots_.release(service, result.model, result.target, now);
    context_.program.timeline.add(edge::event_kind::load, found->first.text(),
                                  result.target + " answers " + result.state + " " + result.detail,
                                  "decision " + std::to_string(result.decision));
}

void replica_service::on_link_closed(edge::link_id link) {
    for (auto& [name, entry] : sets_)
        entry.subscribers.erase(link);
}

std::vector<set_name> replica_service::tick(const std::function<bool(int)>& may_decide, time_point now) {
    std::vector<set_name> changed;
    for (auto& [name, entry] : sets_) {
        const bool due = entry.dirty || now - entry.planned_at >= plan_interval;
        if (due && may_decide(entry.shard)) {
            entry.planned_at = now;
            if (!name.model.empty() && plan(name, entry, now))
                changed.push_back(name);
            if (!name.model.empty())
                send_orders(name, entry, now);
        }
        if (due || now - entry.sent_at >= view_resend_interval)
            push_views(name, entry, now);
        entry.dirty = false;
    }
    return changed;
}

void replica_service::await_stored(const set_name& name, std::int64_t generation) {
    entry_of(name).awaited_generation = generation;
}

bool replica_service::plan(const set_name& name, set_entry& entry, time_point now) {
    const core::config::model* model = model_of(name);
    const auto targets = targets_.views(name.service, now);
    core::placement::plan_input input;
    input.targets = targets;
    input.max_replicas = model == nullptr ? 0 : model->max_replicas; // model withdrawn: unload all replicas
    if (model != nullptr) {
        input.bytes = model->bytes;
        input.version = model->version;
        const auto load_time =
            model->load_estimate.count() > 0 ? model->load_estimate : default_load_estimate;
        input.times = {load_time, load_time, load_time + slots_.estimate()};
    }
    const auto preset = context_.state().presets.find(context_.state().preset_in_force);
    core::placement::idle_cost cost;
    cost.load_time = input.times.remote;
    cost.max_idle = core::config::preset{}.max_idle;
    if (preset != context_.state().presets.end()) {
        input.spare_replicas = preset->second.spare_replicas;
        cost.idle_price = preset->second.idle_price;
        cost.max_idle = preset->second.max_idle;
    }
    input.idle_limit = core::placement::idle_limit(entry.gaps, cost);
    add_load(entry, input);
    auto proposed = entry.set.plan(now, input);
    if (!proposed)
        return false;
    entry.proposed = std::move(*proposed);
    std::string list;
    for (const member& planned : entry.proposed.members)
        list += (list.empty() ? "" : ", ") + planned.target +
                (planned.intended == core::placement::intent::unload ? " (unload)" : "");
    context_.program.timeline.add(edge::event_kind::load, name.text(), "decided: " + list,
                                  "decision " + std::to_string(entry.proposed.number));
    return true;
}

void replica_service::add_load(const set_entry& entry, core::placement::plan_input& input) const {
    int replicas = 0;
    int limit = 0;
    for (const member& replica : entry.set.current().members) {
        const target_entry* target = targets_.find(replica.target);
        if (entry.set.state_of(replica.target) != member_state::loaded || target == nullptr ||
            !target->report)
            continue;
        const wire::replica_load& load = target->report->load;
        input.running += load.running;
        input.queued += load.waiting;
        limit += load.limit;
        ++replicas;
    }
    if (replicas > 0 && limit > 0)
        input.concurrency = std::max(input.concurrency, limit / replicas);
}

/// Sends the orders that are due. An order that is not sent stays due, so a load that waits for its slot
/// requests the slot again at the next call.
void replica_service::send_orders(const set_name& name, set_entry& entry, time_point now) {
    const auto targets = targets_.views(name.service, now);
    const auto slot = [&](const std::string& target) {
        return slots_.granted({name.service, name.model, target, entry.customer, order_deadline}, now);
    };
    for (const core::placement::order& order : entry.set.orders(now, targets)) {
        if (order.kind == core::placement::intent::load && !slot(order.target))
            continue;
        const target_entry* target = targets_.find(order.target);
        if (target == nullptr || !target->report || target->report->boot != order.boot)
            continue;
        send_order(name, order, *target);
        entry.set.sent(now, order);
    }
    for (const member& replica : entry.set.current().members)
        if (replica.intended == core::placement::intent::load &&
            entry.set.state_of(replica.target) == member_state::loading)
            slot(replica.target); // renews the slot during the load
}

void replica_service::send_order(const set_name& name, const core::placement::order& order,
                                 const target_entry& target) {
    const core::config::model* model = model_of(name);
    const std::int64_t fencing = fencing_.at(shard_of(name));
    if (order.kind == core::placement::intent::unload) {
        wire::unload_order out;
        out.__set_model(name.model);
        out.__set_version(order.version);
        out.__set_decision(order.decision);
        out.__set_fencing(fencing);
        return context_.links.send(target.link, kind::unload_order, context_.next_call(), out);
    }
    if (model == nullptr)
        return; // model withdrawn since; the next plan unloads it
    wire::load_order out;
    out.__set_model(name.model);
    out.__set_version(order.version);
    out.__set_decision(order.decision);
    out.__set_fencing(fencing);
    out.__set_bytes(model->bytes);
    out.__set_remaining_ms(order_deadline.count());
    context_.links.send(target.link, kind::load_order, context_.next_call(), out);
}

std::set<std::string> replica_service::services() const {
    std::set<std::string> out;
    for (const auto& [name, service] : context_.state().services)
        if (service.kind == core::config::service_kind::plain && fencing_.contains(shard_of({name, ""})))
            out.insert(name);
    for (const auto& [key, model] : context_.state().models)
        if (fencing_.contains(shard_of({model.service, model.name})))
            out.insert(model.service);
    for (const auto& [name, entry] : sets_)
        out.insert(name.service); // also sets of models that have been withdrawn
    return out;
}

void replica_service::on_quarantine_changed(const std::string& service, const std::string& model) {
    const auto found = sets_.find({service, model});
    if (found != sets_.end())
        found->second.dirty = true;
}

} // namespace waxwinglb::programs::steward
