#include "core/placement/replica_set.hpp"

#include <algorithm>

namespace waxwinglb::core::placement {
namespace {

using nlohmann::json;

const target_view* find_view(std::span<const target_view> targets, const std::string& name) {
    const auto found = std::find_if(targets.begin(), targets.end(),
                                    [&name](const target_view& view) { return view.target == name; });
    return found == targets.end() ? nullptr : &*found;
}

const member* find_member(const decision& set, const std::string& target) {
    const auto found = std::find_if(set.members.begin(), set.members.end(),
                                    [&target](const member& entry) { return entry.target == target; });
    return found == set.members.end() ? nullptr : &*found;
}

} // namespace

struct replica_set::plan_state {
    common::time_point now;
    const plan_input& input;
    decision next;
    bool changed = false;

    void unload(member& entry) {
        entry.intended = intent::unload;
        entry.since = next.number;
        changed = true;
    }
};

std::optional<replica_set> replica_set::decode(const json& value, replica_set_options options) {
    replica_set result{options};
    try {
        result.current_.number = value.at("number").get<std::int64_t>();
        for (const json& item : value.at("members")) {
            const auto action = item.at("wanted").get<std::string>();
            if (action != "load" && action != "unload")
                return std::nullopt;
            result.current_.members.push_back(
                {item.at("target").get<std::string>(), item.at("version").get<std::string>(),
                 action == "load" ? intent::load : intent::unload, item.at("since").get<std::int64_t>()});
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return result;
}

json replica_set::encode(const decision& value) {
    json members = json::array();
    for (const member& entry : value.members)
        members.push_back({{"target", entry.target},
                           {"version", entry.version},
                           {"wanted", entry.intended == intent::load ? "load" : "unload"},
                           {"since", entry.since}});
    return {{"number", value.number}, {"members", std::move(members)}};
}

void replica_set::note_waiting(common::time_point now, const std::string& router, const waiting_work& work) {
    if (work.requests > 0)
        waiting_[router] = {work, now};
    else
        waiting_.erase(router);
}

std::optional<decision> replica_set::plan(common::time_point now, const plan_input& input) {
    note_silence(now, input.targets);
    std::erase_if(waiting_,
                  [&](const auto& report) { return now - report.second.at > options_.waiting_report_ttl; });
    std::erase_if(avoid_until_, [now](const auto& entry) { return now >= entry.second; });
    if (proposed_)
        return std::nullopt;
    plan_state work{now, input, current_};
    ++work.next.number;
    drop_members(work);
    add_members(work);
    unload_surplus_members(work);
    unload_surplus(work);
    if (!work.changed)
        return std::nullopt;
    proposed_ = work.next;
    return proposed_;
}

void replica_set::stored(std::int64_t number) {
    if (!proposed_ || proposed_->number != number)
        return;
    for (const member& entry : proposed_->members) {
        const member* before = find_member(current_, entry.target);
        if (before == nullptr || before->since != entry.since)
            agent_states_[entry.target].order_due = {}; // a new order is due immediately
    }
    current_ = std::move(*proposed_);
    proposed_.reset();
    const auto left = [this](const auto& entry) { return find_member(current_, entry.first) == nullptr; };
    std::erase_if(agent_states_, left);
    std::erase_if(unloaded_, left);
    std::erase_if(failed_, left);
}

void replica_set::dropped(std::int64_t number) {
    if (proposed_ && proposed_->number == number)
        proposed_.reset();
}

std::vector<order> replica_set::orders(common::time_point now, std::span<const target_view> targets) const {
    std::vector<order> due;
    for (const member& entry : current_.members) {
        const target_view* view = find_view(targets, entry.target);
        if (view == nullptr || !view->reachable || view->vm_removed)
            continue;
        const auto found = agent_states_.find(entry.target);
        const agent_state known = found == agent_states_.end() ? agent_state{} : found->second;
        if (now < known.order_due)
            continue;
        const bool load = entry.intended == intent::load;
        if (load && (known.state != member_state::unknown || !view->usable()))
            continue;
        if (!load && unloaded_.contains(entry.target))
            continue;
        due.push_back({entry.intended, entry.target, entry.version, view->boot, entry.since});
    }
    return due;
}

void replica_set::sent(common::time_point now, const order& order_sent) {
    const member* mine = find_member(current_, order_sent.target);
    if (mine != nullptr && mine->since == order_sent.decision)
        agent_states_[order_sent.target].order_due = now + options_.order_repeat;
}

void replica_set::on_outcome(common::time_point now, const order_outcome& outcome) {
    const member* mine = find_member(current_, outcome.target);
    if (mine == nullptr || outcome.decision != mine->since)
        return; // the answer to an order that a later decision replaced
    agent_state& known = agent_states_[outcome.target];
    const bool load = mine->intended == intent::load;
    switch (outcome.result) {
    case order_result::loading:
        if (load && known.state != member_state::loaded)
            known.state = member_state::loading;
        break;
    case order_result::loaded:
        if (load)
            known.state = member_state::loaded;
        break;
    case order_result::unloading:
        if (!load)
            known.state = member_state::unloading;
        break;
    case order_result::unloaded:
        if (!load)
            unloaded_[outcome.target] = mine->since;
        break;
    case order_result::refused:
        if (!load)
            break;
        failed_[outcome.target] = mine->since;
        avoid_until_[outcome.target] = now + options_.avoid_refused;
        break;
    }
}

void replica_set::on_report(const std::string& target, member_state state, common::duration idle) {
    const member* mine = find_member(current_, target);
    if (mine == nullptr || mine->intended == intent::unload)
        return; // only the answer to the unload order shows that no load can still arrive
    agent_state& known = agent_states_[target];
    known.state = state;
    known.idle = idle;
}

waiting_work replica_set::waiting_now(common::time_point now) const {
    waiting_work sum;
    for (const auto& [router, reported] : waiting_) {
        if (now - reported.at > options_.waiting_report_ttl)
            continue;
        const bool first = sum.requests == 0;
        sum.requests += reported.work.requests;
        sum.tokens += reported.work.tokens;
        const auto left = reported.work.oldest_remaining - (now - reported.at);
        sum.oldest_remaining = first ? left : std::min(sum.oldest_remaining, left);
    }
    return sum;
}

member_state replica_set::state_of(const std::string& target) const {
    const auto found = agent_states_.find(target);
    return found == agent_states_.end() ? member_state::unknown : found->second.state;
}

void replica_set::note_silence(common::time_point now, std::span<const target_view> targets) {
    for (const member& entry : current_.members) {
        const target_view* view = find_view(targets, entry.target);
        agent_state& known = agent_states_[entry.target];
        if (view != nullptr && view->reachable)
            known.silent_since.reset();
        else if (!known.silent_since)
            known.silent_since = now;
    }
}

bool replica_set::silent(common::time_point now, const std::string& target) const {
    const auto found = agent_states_.find(target);
    return found != agent_states_.end() && found->second.silent_since &&
           now - *found->second.silent_since >= options_.silent_after;
}

/// True if the member should serve and its target is expected to be able to.
bool replica_set::serves(const plan_state& work, const member& entry) const {
    if (entry.intended == intent::unload || entry.version != work.input.version ||
        failed_.contains(entry.target))
        return false;
    const target_view* view = find_view(work.input.targets, entry.target);
    if (view != nullptr && (view->draining || view->leaving || view->centre_out))
        return false;
    return !silent(work.now, entry.target);
}

void replica_set::drop_members(plan_state& work) const {
    const auto removed = std::erase_if(work.next.members, [&](const member& entry) {
        const target_view* view = find_view(work.input.targets, entry.target);
        const auto confirmed = unloaded_.find(entry.target);
        return (view != nullptr && view->vm_removed) ||
               (confirmed != unloaded_.end() && confirmed->second == entry.since);
    });
    work.changed = work.changed || removed > 0;
}

int replica_set::desired(const plan_state& work) const {
    const plan_input& in = work.input;
    const int requests = waiting_now(work.now).requests + in.queued + in.running;
    const int per_replica = std::max(in.concurrency, 1);
    const int needed = (requests + per_replica - 1) / per_replica;
    // A set in use keeps one replica plus the preset's spares; replicas on targets that are left are replaced
    // only while the set is in use.
    const auto& members = work.next.members;
    const bool in_use = requests > 0 || std::any_of(members.begin(), members.end(), [&](const member& entry) {
                            return serves(work, entry) || used_recently(entry, in.idle_limit);
                        });
    const int least = in_use ? 1 + in.spare_replicas : 0;
    return std::min(std::max(needed, least), in.max_replicas);
}

bool replica_set::used_recently(const member& entry, common::duration idle_limit) const {
    const auto found = agent_states_.find(entry.target);
    return entry.intended == intent::load && found != agent_states_.end() &&
           found->second.state == member_state::loaded && found->second.idle < idle_limit;
}

void replica_set::add_members(plan_state& work) const {
    const plan_input& in = work.input;
    std::vector<std::string> taken;
    std::vector<std::string> centres;
    int kept = 0;
    for (const member& entry : work.next.members) {
        taken.push_back(entry.target);
        if (!serves(work, entry))
            continue;
        ++kept;
        if (const target_view* view = find_view(in.targets, entry.target))
            centres.push_back(view->data_centre);
    }
    for (const auto& [target, until] : avoid_until_)
        taken.push_back(target);
    const int most = 2 * in.max_replicas; // including replacements
    const int target_count = desired(work);
    while (kept < target_count && static_cast<int>(work.next.members.size()) < most) {
        const auto choice = choose_replica_target(in.targets, in.bytes, in.times, taken, centres);
        if (!choice)
            return;
        work.next.members.push_back({choice->target, in.version, intent::load, work.next.number});
        work.changed = true;
        taken.push_back(choice->target);
        centres.push_back(find_view(in.targets, choice->target)->data_centre);
        ++kept;
    }
}

void replica_set::unload_surplus_members(plan_state& work) const {
    const auto serving = [&](const member& entry) {
        return serves(work, entry) && state_of(entry.target) == member_state::loaded;
    };
    const auto coming = [&](const member& entry) {
        return serves(work, entry) && state_of(entry.target) != member_state::loaded;
    };
    auto& members = work.next.members;
    const bool served = std::any_of(members.begin(), members.end(), serving);
    const bool replaced_soon = std::any_of(members.begin(), members.end(), coming);
    for (member& entry : members) {
        if (entry.intended == intent::unload || serves(work, entry))
            continue;
        const bool failed = failed_.contains(entry.target);
        if (silent(work.now, entry.target) && !failed)
            continue; // no order reaches it; it stays listed until its agent answers or its VM is removed
        // If a replacement is being loaded and nothing else serves, the member stays until that is ready.
        if (failed || served || !replaced_soon)
            work.unload(entry);
    }
}

void replica_set::unload_surplus(plan_state& work) {
    const plan_input& in = work.input;
    std::vector<member*> idle; // serving replicas, longest idle last
    for (member& entry : work.next.members)
        if (serves(work, entry))
            idle.push_back(&entry);
    const auto idle_of = [this](const member* entry) {
        const auto found = agent_states_.find(entry->target);
        const bool known = found != agent_states_.end() && found->second.state == member_state::loaded;
        return known ? found->second.idle : common::duration{};
    };
    std::sort(idle.begin(), idle.end(),
              [&](const member* a, const member* b) { return idle_of(a) < idle_of(b); });
    const int waiting = waiting_now(work.now).requests + in.queued + in.running;
    const bool all_idle = waiting == 0 && !idle.empty() && idle_of(idle.front()) >= in.idle_limit;
    const int kept = static_cast<int>(idle.size());
    const bool fewer_suffice = kept > std::max(desired(work), 1) &&
                               waiting <= options_.scale_down_load * in.concurrency * (kept - 1);
    if (!fewer_suffice)
        surplus_since_.reset();
    else if (!surplus_since_)
        surplus_since_ = work.now;
    while (!idle.empty()) {
        const int left = static_cast<int>(idle.size());
        const bool too_many = left > in.max_replicas;
        const bool unused = left > desired(work) && idle_of(idle.back()) >= in.idle_limit;
        const bool low = left == kept && surplus_since_ && work.now - *surplus_since_ >= in.idle_limit;
        if (!too_many && !unused && !low && !all_idle)
            return;
        work.unload(*idle.back());
        idle.pop_back();
        if (low)
            surplus_since_.reset();
    }
}

} // namespace waxwinglb::core::placement
