#include "programs/admin/head_copy.hpp"

namespace waxwinglb::programs::admin {

using core::acceptance::accepted_entry;
using core::acceptance::head_document;
using core::common::time_point;
using edge::store_outcome;

void head_copy::tick(time_point now) {
    if (watching_ || now < next_watch_)
        return;
    watching_ = true;
    version_when_watched_ = version_;
    store_.watch(store_call::watch_head, core::acceptance::head_key(), version_,
                 known_ ? watch_wait : core::common::milliseconds{0});
}

void head_copy::handle(const store_event& event, time_point now) {
    if (event.call == store_call::read_part)
        return handle_part(event);
    watching_ = false;
    next_watch_ = event.answer.store_answered() ? now : now + watch_retry_after;
    if (event.answer.outcome == store_outcome::ok || event.answer.outcome == store_outcome::absent)
        apply_answer(event.answer, version_when_watched_);
    if (event.answer.outcome == store_outcome::unchanged)
        known_ = true;
}

bool head_copy::apply_answer(const edge::store_answer& answer,
                             core::common::store_position version_when_asked) {
    if (answer.outcome == store_outcome::absent) {
        if (version_when_asked != version_)
            return true; // outdated answer: the object has been created since
        if (version_.revision != 0)
            log_->error("The store has no config/head any more; revision {} stays in force.",
                        entries_.revision());
        known_ = true;
        return version_.revision == 0;
    }
    if (answer.version == version_ && known_)
        return !snapshot_fetch_;
    if (answer.version < version_)
        return true; // outdated: a newer version is known
    auto document = core::acceptance::decode_head(answer.body);
    if (!document || document->revision < entries_.revision()) {
        log_->error("config/head of object version {} is {}; revision {} stays in force.",
                    to_text(answer.version), document ? "older" : "malformed", entries_.revision());
        return false;
    }
    if (document->snapshot.base <= entries_.revision()) {
        snapshot_fetch_.reset();
        adopt(answer.version, std::move(*document));
        return true;
    }
    if (snapshot_fetch_ && snapshot_fetch_->version == answer.version)
        return false;
    snapshot_fetch_ = snapshot_fetch{answer.version, std::move(*document), 0, 0, {}};
    snapshot_fetch_->number = store_.read(
        store_call::read_part, core::acceptance::part_key(snapshot_fetch_->document.snapshot.base, 0));
    return false;
}

void head_copy::handle_part(const store_event& event) {
    if (!snapshot_fetch_ || snapshot_fetch_->number != event.number)
        return;
    auto part = event.answer.outcome == store_outcome::ok ? core::acceptance::decode_part(event.answer.body)
                                                          : std::nullopt;
    if (!part) {
        // Removed after a newer snapshot, or the store is unreachable: the next watch starts over.
        log_->warn("Part {} of snapshot {} can't be read or decoded.", snapshot_fetch_->next_part,
                   snapshot_fetch_->document.snapshot.base);
        snapshot_fetch_.reset();
        return;
    }
    for (accepted_entry& entry : *part)
        snapshot_fetch_->entries.push_back(std::move(entry));
    if (++snapshot_fetch_->next_part < snapshot_fetch_->document.snapshot.parts) {
        snapshot_fetch_->number = store_.read(
            store_call::read_part,
            core::acceptance::part_key(snapshot_fetch_->document.snapshot.base, snapshot_fetch_->next_part));
        return;
    }
    snapshot_fetch fetched = std::move(*snapshot_fetch_);
    snapshot_fetch_.reset();
    if (fetched.document.revision < entries_.revision())
        return;
    entries_.replace(fetched.document.snapshot.base, std::move(fetched.entries));
    adopt(fetched.version, std::move(fetched.document));
}

void head_copy::adopt(core::common::store_position version, head_document document) {
    known_ = true;
    version_ = version;
    document_ = std::move(document);
    apply_tail();
}

void head_copy::apply_tail() {
    for (const accepted_entry& entry : document_.entries) {
        if (entry.change.revision <= entries_.revision())
            continue;
        const accepted_entry* present = entries_.find(entry.change.key);
        previous_values_[entry.change.revision] = present == nullptr ? std::string{} : present->change.value;
        entries_.apply(entry);
    }
    previous_values_.erase(previous_values_.begin(), previous_values_.upper_bound(document_.snapshot.base));
}

std::vector<core::acceptance::audit_record> head_copy::tail() const {
    std::vector<core::acceptance::audit_record> out;
    for (const accepted_entry& entry : document_.entries) {
        const auto before = previous_values_.find(entry.change.revision);
        out.push_back({entry, before == previous_values_.end() ? std::string{} : before->second});
    }
    return out;
}

} // namespace waxwinglb::programs::admin
