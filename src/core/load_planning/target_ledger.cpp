#include "core/load_planning/target_ledger.hpp"

#include <algorithm>

namespace waxwinglb::core::load_planning {

using common::milliseconds;
using common::time_point;

void target_ledger::describe(std::int64_t born, std::int64_t sequence,
                             const std::map<std::string, std::vector<std::string>>& models,
                             time_point as_of) {
    if (known_ && born == born_ && sequence < sequence_)
        return;
    const bool restarted = known_ && born != born_;
    if (!restarted && pending_)
        return; // the answer to the pending order will be newer
    if (restarted)
        *this = {};
    confirm(models, as_of);
    drop_failed_loads(models, as_of);
    const bool advanced = !known_ || sequence > sequence_;
    // The same sequence number covers the same orders; only a report made after the lost answer settles it.
    if (unsettled_ && !advanced && as_of < unsettled_at_ + report_delay)
        return;
    if (advanced || unsettled_) {
        models_.clear();
        for (const auto& [model, adapters] : models)
            models_[model] = {adapters.begin(), adapters.end()};
        // A model that is still being loaded isn't listed, but already takes up memory.
        for (const auto& [model, at] : ready_at_)
            if (as_of < at && !unsettled_)
                models_.try_emplace(model);
    }
    known_ = true;
    born_ = born;
    sequence_ = sequence;
    unsettled_ = false;
}

/// Drops loads that have failed: their model should have been ready at least `long_load` ago, but the report
/// does not list it.
void target_ledger::drop_failed_loads(const std::map<std::string, std::vector<std::string>>& models,
                                      time_point as_of) {
    std::erase_if(unconfirmed_, [&](const auto& entry) {
        const bool failed = !models.contains(entry.first) && as_of >= loaded_at(entry.first) + long_load;
        if (failed) {
            models_.erase(entry.first);
            ready_at_.erase(entry.first);
        }
        return failed;
    });
}

std::vector<finished_load>
target_ledger::confirm(const std::map<std::string, std::vector<std::string>>& models, time_point now) {
    std::vector<finished_load> finished;
    std::erase_if(unconfirmed_, [&](const auto& entry) {
        if (!models.contains(entry.first))
            return false;
        ready_at_[entry.first] = std::min(ready_at_[entry.first], now);
        store_load_until_ = std::min(store_load_until_, now);
        finished.push_back({entry.second.expected_time,
                            std::chrono::duration_cast<milliseconds>(now - entry.second.accepted_at)});
        return true;
    });
    return finished;
}

void target_ledger::note_busy(const std::map<std::string, std::vector<std::string>>& models, time_point as_of,
                              time_point now) {
    for (auto& [model, load] : unconfirmed_) {
        if (models.contains(model) || (!load.overdue && as_of < loaded_at(model)))
            continue;
        load.overdue = true;
        ready_at_[model] = now + overdue_step;
        store_load_until_ = std::max(store_load_until_, ready_at_[model]);
    }
}

bool target_ledger::needs_report(time_point now) const {
    return unsettled_ || std::any_of(unconfirmed_.begin(), unconfirmed_.end(), [&](const auto& entry) {
               return entry.second.overdue || now >= loaded_at(entry.first);
           });
}

void target_ledger::note_sent(std::int64_t number, const planned_order& order, milliseconds load_time,
                              time_point now) {
    pending_ = pending{number, order, load_time, now};
}

void target_ledger::note_answer(std::int64_t number, answer result, time_point now) {
    if (!pending_ || pending_->number != number)
        return;
    const pending answered = std::move(*pending_);
    pending_.reset();
    switch (result) {
    case answer::accepted:
        ++sequence_;
        accepted_at_ = now;
        apply(answered, now);
        break;
    case answer::holds_already:
        apply(answered, now);
        break;
    case answer::rejected: // the target was busy, or the sequence number differs
        if (accepted_at_ != time_point{} && now - accepted_at_ < busy_limit) {
            not_before_ = now + busy_pause; // most likely it still carries out the previous order
            break;
        }
        unsettled_ = true;
        unsettled_at_ = now - report_delay;
        break;
    case answer::unknown:
        unsettled_ = true;
        unsettled_at_ = now;
        // Counts as started until a report settles it.
        if (answered.order.from_weight_store)
            store_load_until_ = now + answered.load_time;
        break;
    }
}

void target_ledger::apply(const pending& applied, time_point now) {
    const auto& ref = applied.order.ref;
    if (applied.order.load && ref.adapter.empty()) {
        models_[ref.model];
        ready_at_[ref.model] = now + applied.load_time;
        if (applied.load_time >= long_load)
            unconfirmed_[ref.model] = {now, applied.load_time, applied.order.from_weight_store, false};
        if (applied.order.from_weight_store)
            store_load_until_ = now + applied.load_time;
    } else if (applied.order.load) {
        models_[ref.model].insert(ref.adapter);
    } else if (ref.adapter.empty()) {
        models_.erase(ref.model);
        ready_at_.erase(ref.model);
        unconfirmed_.erase(ref.model);
    } else if (const auto model = models_.find(ref.model); model != models_.end()) {
        model->second.erase(ref.adapter);
    }
}

bool target_ledger::takes_orders(time_point now) const {
    return known_ && !pending_ && !unsettled_ && now >= not_before_ && loading(now).empty();
}

time_point target_ledger::takes_orders_at(time_point now) const {
    time_point result = std::max(now, not_before_);
    if (pending_)
        result = std::max(result, now + answer_time);
    if (unsettled_)
        result = std::max(result, now + settle_time);
    for (const auto& [model, at] : coming(now))
        result = std::max(result, at);
    return result;
}

bool target_ledger::store_load_under_way(time_point now) const {
    const bool unconfirmed = std::any_of(unconfirmed_.begin(), unconfirmed_.end(),
                                         [](const auto& entry) { return entry.second.from_weight_store; });
    return unconfirmed || now < store_load_until_ || (pending_ && pending_->order.from_weight_store);
}

std::set<std::string> target_ledger::loading(time_point now) const {
    std::set<std::string> result;
    for (const auto& [model, at] : ready_at_)
        if (now < at && models_.contains(model))
            result.insert(model);
    return result;
}

std::map<std::string, time_point> target_ledger::coming(time_point now) const {
    std::map<std::string, time_point> result;
    for (const std::string& model : loading(now))
        result[model] = loaded_at(model);
    return result;
}

time_point target_ledger::loaded_at(const std::string& model) const {
    const auto found = ready_at_.find(model);
    return found == ready_at_.end() ? time_point{} : found->second;
}

} // namespace waxwinglb::core::load_planning
