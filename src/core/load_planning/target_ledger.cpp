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
        return; // the answer on its way says more
    if (restarted)
        *this = {};
    confirm(models, as_of);
    drop_failed_loads(models, as_of);
    const bool advanced = !known_ || sequence > sequence_;
    // The same number shows the same orders; only a report made after the lost answer can settle it.
    if (unsettled_ && !advanced && as_of < unsettled_at_ + report_delay)
        return;
    if (advanced || unsettled_) {
        models_.clear();
        for (const auto& [model, adapters] : models)
            models_[model] = {adapters.begin(), adapters.end()};
        // A model that is still being loaded isn't listed, but takes its room.
        for (const auto& [model, at] : ready_at_)
            if (as_of < at && !unsettled_)
                models_.try_emplace(model);
    }
    known_ = true;
    born_ = born;
    sequence_ = sequence;
    unsettled_ = false;
}

/// A load that should have ended long before a report that doesn't list it has failed.
void target_ledger::drop_failed_loads(const std::map<std::string, std::vector<std::string>>& models,
                                      time_point as_of) {
    std::erase_if(unconfirmed_, [&](const auto& one) {
        const bool failed = !models.contains(one.first) && as_of >= loaded_at(one.first) + long_load;
        if (failed) {
            models_.erase(one.first);
            ready_at_.erase(one.first);
        }
        return failed;
    });
}

std::vector<finished_load>
target_ledger::confirm(const std::map<std::string, std::vector<std::string>>& models, time_point now) {
    std::vector<finished_load> out;
    std::erase_if(unconfirmed_, [&](const auto& one) {
        if (!models.contains(one.first))
            return false;
        ready_at_[one.first] = std::min(ready_at_[one.first], now);
        store_load_until_ = std::min(store_load_until_, now);
        out.push_back({one.second.expected_time,
                       std::chrono::duration_cast<milliseconds>(now - one.second.accepted_at)});
        return true;
    });
    return out;
}

void target_ledger::note_busy(const std::map<std::string, std::vector<std::string>>& models, time_point as_of,
                              time_point now) {
    for (auto& [model, one] : unconfirmed_) {
        if (models.contains(model) || (!one.overdue && as_of < loaded_at(model)))
            continue;
        one.overdue = true;
        ready_at_[model] = now + overdue_step;
        store_load_until_ = std::max(store_load_until_, ready_at_[model]);
    }
}

bool target_ledger::needs_report(time_point now) const {
    return unsettled_ || std::any_of(unconfirmed_.begin(), unconfirmed_.end(), [&](const auto& one) {
               return one.second.overdue || now >= loaded_at(one.first);
           });
}

void target_ledger::note_sent(std::int64_t number, const planned_order& order, milliseconds load_time,
                              time_point now) {
    pending_ = pending{number, order, load_time, now};
}

void target_ledger::note_answer(std::int64_t number, answer what, time_point now) {
    if (!pending_ || pending_->number != number)
        return;
    const pending one = std::move(*pending_);
    pending_.reset();
    switch (what) {
    case answer::accepted:
        ++sequence_;
        accepted_at_ = now;
        apply(one, now);
        break;
    case answer::holds_already:
        apply(one, now);
        break;
    case answer::rejected: // busy, or the number differs
        if (accepted_at_ != time_point{} && now - accepted_at_ < busy_limit) {
            not_before_ = now + busy_pause; // most likely still at the order before
            break;
        }
        unsettled_ = true;
        unsettled_at_ = now - report_delay;
        break;
    case answer::unknown:
        unsettled_ = true;
        unsettled_at_ = now;
        // Counted as begun until a report settles it.
        if (one.order.from_weight_store)
            store_load_until_ = now + one.load_time;
        break;
    }
}

void target_ledger::apply(const pending& one, time_point now) {
    const auto& what = one.order.what;
    if (one.order.load && what.adapter.empty()) {
        models_[what.model];
        ready_at_[what.model] = now + one.load_time;
        if (one.load_time >= long_load)
            unconfirmed_[what.model] = {now, one.load_time, one.order.from_weight_store, false};
        if (one.order.from_weight_store)
            store_load_until_ = now + one.load_time;
    } else if (one.order.load) {
        models_[what.model].insert(what.adapter);
    } else if (what.adapter.empty()) {
        models_.erase(what.model);
        ready_at_.erase(what.model);
        unconfirmed_.erase(what.model);
    } else if (const auto held = models_.find(what.model); held != models_.end()) {
        held->second.erase(what.adapter);
    }
}

bool target_ledger::takes_orders(time_point now) const {
    return known_ && !pending_ && !unsettled_ && now >= not_before_ && loading(now).empty();
}

time_point target_ledger::takes_orders_at(time_point now) const {
    time_point out = std::max(now, not_before_);
    if (pending_)
        out = std::max(out, now + answer_time);
    if (unsettled_)
        out = std::max(out, now + settle_time);
    for (const auto& [model, at] : coming(now))
        out = std::max(out, at);
    return out;
}

bool target_ledger::store_load_under_way(time_point now) const {
    const bool unconfirmed = std::any_of(unconfirmed_.begin(), unconfirmed_.end(),
                                         [](const auto& one) { return one.second.from_weight_store; });
    return unconfirmed || now < store_load_until_ || (pending_ && pending_->order.from_weight_store);
}

std::set<std::string> target_ledger::loading(time_point now) const {
    std::set<std::string> out;
    for (const auto& [model, at] : ready_at_)
        if (now < at && models_.contains(model))
            out.insert(model);
    return out;
}

std::map<std::string, time_point> target_ledger::coming(time_point now) const {
    std::map<std::string, time_point> out;
    for (const std::string& model : loading(now))
        out[model] = loaded_at(model);
    return out;
}

time_point target_ledger::loaded_at(const std::string& model) const {
    const auto found = ready_at_.find(model);
    return found == ready_at_.end() ? time_point{} : found->second;
}

} // namespace waxwinglb::core::load_planning
