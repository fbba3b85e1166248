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

std::int64_t acknowledged_revision_in(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    return parsed.is_object() && parsed.contains("seen") && parsed["seen"].is_number_integer()
               ? parsed["seen"].get<std::int64_t>()
               : 0;
}

} // namespace

bool acknowledgements::confirmed() const {
    if (!changes_.registered() || own_registration_ == 0)
        return false;
    for (const auto& [vm, other] : other_acceptors_)
        // An acceptor that registered later has read a head with this process's entry.
        if (other.registration < own_registration_ && other.acknowledged < own_registration_)
            return false;
    return true;
}

void acknowledgements::tick(time_point now) {
    refresh_acceptors();
    if (acknowledged_revision_ < newest_registration_ && own_ack_call_ == 0 && now >= next_ack_attempt_)
        write_acknowledgement(now);
    if (changes_.registered() && !confirmed())
        poll_other_acceptors(now);
}

void acknowledgements::refresh_acceptors() {
    const core::acceptance::accepted_config& entries = changes_.head().entries();
    if (entries.revision() == refreshed_revision_)
        return;
    refreshed_revision_ = entries.revision();
    std::map<std::string, acceptor_view> present;
    newest_registration_ = 0;
    own_registration_ = 0;
    for (const auto& entry : entries.with_prefix(std::string(entry_prefix))) {
        const std::string vm = entry->change.key.substr(entry_prefix.size());
        newest_registration_ = std::max(newest_registration_, entry->change.revision);
        if (vm == settings_.vm) {
            own_registration_ = entry->change.revision;
            continue;
        }
        acceptor_view& view = present[vm];
        if (const auto known = other_acceptors_.find(vm); known != other_acceptors_.end())
            view = known->second;
        view.registration = entry->change.revision;
    }
    other_acceptors_ = std::move(present);
}

void acknowledgements::write_acknowledgement(time_point now) {
    next_ack_attempt_ = now + ack_poll_every;
    own_ack_call_ = store_.read(store_call::read_ack, ack_key(settings_.vm));
}

void acknowledgements::handle_own_ack(const store_event& event) {
    own_ack_call_ = 0;
    if (event.call == store_call::write_ack) {
        if (event.answer.outcome == store_outcome::ok)
            acknowledged_revision_ = written_revision_; // newest_registration_ may have risen since
        return;                                         // after a failure it is read and written again
    }
    if (event.answer.outcome != store_outcome::ok && event.answer.outcome != store_outcome::absent)
        return;
    if (acknowledged_revision_in(event.answer.body) >= newest_registration_) {
        acknowledged_revision_ = newest_registration_;
        return;
    }
    written_revision_ = newest_registration_;
    own_ack_call_ = store_.put(store_call::write_ack, ack_key(settings_.vm), event.answer.version,
                               json{{"seen", written_revision_}}.dump());
}

void acknowledgements::poll_other_acceptors(time_point now) {
    if (now >= next_ack_poll_) {
        next_ack_poll_ = now + ack_poll_every;
        for (auto& [vm, other] : other_acceptors_)
            if (other.registration < own_registration_ && other.acknowledged < own_registration_)
                other.ack_call = store_.read(store_call::read_ack, ack_key(vm));
    }
    if (now >= next_vm_poll_ && vm_list_call_ == 0) {
        next_vm_poll_ = now + vm_poll_every;
        vm_list_call_ = store_.vms(store_call::list_vms);
    }
}

void acknowledgements::handle(const store_event& event, time_point now) {
    if (event.number == own_ack_call_)
        return handle_own_ack(event);
    if (event.number == vm_list_call_) {
        vm_list_call_ = 0;
        return handle_vm_list(event.answer, now);
    }
    for (auto& [vm, other] : other_acceptors_)
        if (other.ack_call == event.number && event.answer.outcome == store_outcome::ok)
            other.acknowledged = std::max(other.acknowledged, acknowledged_revision_in(event.answer.body));
}

void acknowledgements::handle_vm_list(const edge::store_answer& answer, time_point now) {
    const auto listed = answer.outcome == store_outcome::ok ? edge::decode_vms(answer.body) : std::nullopt;
    if (!listed)
        return;
    std::set<std::string> present;
    for (const edge::listed_vm& entry : *listed)
        present.insert(entry.vm);
    if (!present.contains(settings_.vm))
        return; // a list without this VM is wrong or outdated
    for (auto& [vm, other] : other_acceptors_) {
        if (present.contains(vm))
            other.absent_since.reset();
        else if (!other.absent_since)
            other.absent_since = now;
        else if (now - *other.absent_since >= vm_removed_after && removals_in_progress_.insert(vm).second)
            remove_acceptor(vm, now);
    }
}

void acknowledgements::remove_acceptor(const std::string& vm, time_point now) {
    log_->info(
        "The VM of acceptor {} is no longer listed by the platform; removing it from the list of acceptors.",
        vm);
    submission removal;
    removal.proposals.push_back(
        {std::string(entry_prefix) + vm, {}, other_acceptors_.at(vm).registration, {}});
    removal.by = {settings_.vm, "", core::acceptance::role::owner};
    removal.changes_acceptors = true;
    removal.on_result = [this, vm](submit_result&&) { removals_in_progress_.erase(vm); };
    changes_.submit(std::move(removal), now);
}

} // namespace waxwinglb::programs::admin
