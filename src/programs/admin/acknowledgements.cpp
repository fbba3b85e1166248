#include "programs/admin/acknowledgements.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::programs::admin {

using core::common::time_point;
using edge::store_outcome;
using nlohmann::json;

namespace {

constexpr std::string_view entry_prefix = "acceptor/";

std::string ack_key(const std::string& vm) {
    return "acceptors/" + vm;
}

std::int64_t seen_in(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    return parsed.is_object() && parsed.contains("seen") && parsed["seen"].is_number_integer()
               ? parsed["seen"].get<std::int64_t>()
               : 0;
}

} // namespace

bool acknowledgements::confirmed() const {
    if (!changes_.registered() || own_registered_ == 0)
        return false;
    for (const auto& [vm, other] : others_)
        // One that registered later did so on a head that held this process's entry.
        if (other.registered < own_registered_ && other.seen < own_registered_)
            return false;
    return true;
}

void acknowledgements::tick(time_point now) {
    read_list();
    if (acknowledged_ < newest_registration_ && own_call_ == 0 && now >= next_own_)
        acknowledge(now);
    if (changes_.registered() && !confirmed())
        ask_others(now);
}

void acknowledgements::read_list() {
    const core::acceptance::accepted_config& entries = changes_.head().entries();
    if (entries.revision() == read_revision_)
        return;
    read_revision_ = entries.revision();
    std::map<std::string, acceptor_view> present;
    newest_registration_ = 0;
    own_registered_ = 0;
    for (const auto& entry : entries.with_prefix(std::string(entry_prefix))) {
        const std::string vm = entry->change.key.substr(entry_prefix.size());
        newest_registration_ = std::max(newest_registration_, entry->change.revision);
        if (vm == settings_.vm) {
            own_registered_ = entry->change.revision;
            continue;
        }
        acceptor_view& one = present[vm];
        if (const auto known = others_.find(vm); known != others_.end())
            one = known->second;
        one.registered = entry->change.revision;
    }
    others_ = std::move(present);
}

void acknowledgements::acknowledge(time_point now) {
    next_own_ = now + ack_poll_every;
    own_call_ = store_.read(store_call::read_ack, ack_key(settings_.vm));
}

void acknowledgements::take_own(const store_event& event) {
    own_call_ = 0;
    if (event.call == store_call::write_ack) {
        if (event.answer.outcome == store_outcome::ok)
            acknowledged_ = written_; // a newer registration may have been read meanwhile
        return;                       // otherwise read and written again
    }
    if (event.answer.outcome != store_outcome::ok && event.answer.outcome != store_outcome::absent)
        return;
    if (seen_in(event.answer.body) >= newest_registration_) {
        acknowledged_ = newest_registration_;
        return;
    }
    written_ = newest_registration_;
    own_call_ = store_.put(store_call::write_ack, ack_key(settings_.vm), event.answer.version,
                           json{{"seen", written_}}.dump());
}

void acknowledgements::ask_others(time_point now) {
    if (now >= next_ask_) {
        next_ask_ = now + ack_poll_every;
        for (auto& [vm, other] : others_)
            if (other.registered < own_registered_ && other.seen < own_registered_)
                other.asked = store_.read(store_call::read_ack, ack_key(vm));
    }
    if (now >= next_vms_ && vms_call_ == 0) {
        next_vms_ = now + vm_poll_every;
        vms_call_ = store_.vms(store_call::list_vms);
    }
}

void acknowledgements::take(const store_event& event, time_point now) {
    if (event.number == own_call_)
        return take_own(event);
    if (event.number == vms_call_) {
        vms_call_ = 0;
        return take_vms(event.answer, now);
    }
    for (auto& [vm, other] : others_)
        if (other.asked == event.number && event.answer.outcome == store_outcome::ok)
            other.seen = std::max(other.seen, seen_in(event.answer.body));
}

void acknowledgements::take_vms(const edge::store_answer& answer, time_point now) {
    const auto listed = answer.outcome == store_outcome::ok ? edge::decode_vms(answer.body) : std::nullopt;
    if (!listed)
        return;
    std::set<std::string> present;
    for (const edge::listed_vm& one : *listed)
        present.insert(one.vm);
    if (!present.contains(settings_.vm))
        return; // a list that lacks this VM is wrong or too old
    for (auto& [vm, other] : others_) {
        if (present.contains(vm))
            other.absent_since.reset();
        else if (!other.absent_since)
            other.absent_since = now;
        else if (now - *other.absent_since >= vm_gone_after && removing_.insert(vm).second)
            remove_gone(vm, now);
    }
}

void acknowledgements::remove_gone(const std::string& vm, time_point now) {
    log_->info("The VM of acceptor {} is gone; removing it from the list.", vm);
    submission removal;
    removal.proposals.push_back({std::string(entry_prefix) + vm, {}, others_.at(vm).registered, {}});
    removal.by = {settings_.vm, "", core::acceptance::role::owner};
    removal.registers = true;
    removal.done = [this, vm](submit_result&&) { removing_.erase(vm); };
    changes_.submit(std::move(removal), now);
}

} // namespace waxwinglb::programs::admin
