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
    watched_version_ = version_;
    store_.watch(store_call::watch_head, core::acceptance::head_key(), version_,
                 known_ ? watch_wait : core::common::milliseconds{0});
}

void head_copy::take(const store_event& event, time_point now) {
    if (event.call == store_call::read_part)
        return take_part(event);
    watching_ = false;
    next_watch_ = event.answer.store_answered() ? now : now + watch_retry_after;
    if (event.answer.outcome == store_outcome::ok || event.answer.outcome == store_outcome::absent)
        learn(event.answer, watched_version_);
    if (event.answer.outcome == store_outcome::unchanged)
        known_ = true;
}

bool head_copy::learn(const edge::store_answer& answer, std::int64_t asked_at) {
    if (answer.outcome == store_outcome::absent) {
        if (asked_at != version_)
            return true; // overtaken: the object was made meanwhile
        if (version_ != 0)
            log_->error("The store has lost config/head; revision {} stays in force.", book_.revision());
        known_ = true;
        return version_ == 0;
    }
    if (answer.version == version_ && known_)
        return !fetch_;
    if (answer.version < version_)
        return true; // overtaken by a newer answer
    auto document = core::acceptance::decode_head(answer.body);
    if (!document || document->revision < book_.revision()) {
        log_->error("Head of version {} is {}; revision {} stays in force.", answer.version,
                    document ? "older" : "malformed", book_.revision());
        return false;
    }
    if (document->snapshot.base <= book_.revision()) {
        fetch_.reset();
        adopt(answer.version, std::move(*document));
        return true;
    }
    if (fetch_ && fetch_->version == answer.version)
        return false;
    fetch_ = snapshot_fetch{answer.version, std::move(*document), 0, 0, {}};
    fetch_->number =
        store_.read(store_call::read_part, core::acceptance::part_key(fetch_->document.snapshot.base, 0));
    return false;
}

void head_copy::take_part(const store_event& event) {
    if (!fetch_ || fetch_->number != event.number)
        return;
    auto part = event.answer.outcome == store_outcome::ok ? core::acceptance::decode_part(event.answer.body)
                                                          : std::nullopt;
    if (!part) {
        // Removed behind a newer snapshot, or out of reach: the next watch begins again.
        log_->warn("Part {} of snapshot {} can't be read.", fetch_->next_part,
                   fetch_->document.snapshot.base);
        fetch_.reset();
        return;
    }
    for (accepted_entry& one : *part)
        fetch_->entries.push_back(std::move(one));
    if (++fetch_->next_part < fetch_->document.snapshot.parts) {
        fetch_->number =
            store_.read(store_call::read_part,
                        core::acceptance::part_key(fetch_->document.snapshot.base, fetch_->next_part));
        return;
    }
    snapshot_fetch whole = std::move(*fetch_);
    fetch_.reset();
    if (whole.document.revision < book_.revision())
        return;
    book_.replace(whole.document.snapshot.base, std::move(whole.entries));
    adopt(whole.version, std::move(whole.document));
}

void head_copy::adopt(std::int64_t version, head_document document) {
    known_ = true;
    version_ = version;
    document_ = std::move(document);
    apply_tail();
}

void head_copy::apply_tail() {
    for (const accepted_entry& one : document_.entries) {
        if (one.change.revision <= book_.revision())
            continue;
        const accepted_entry* present = book_.find(one.change.key);
        replaced_[one.change.revision] = present == nullptr ? std::string{} : present->change.value;
        book_.apply(one);
    }
    replaced_.erase(replaced_.begin(), replaced_.upper_bound(document_.snapshot.base));
}

std::vector<core::acceptance::audit_record> head_copy::tail() const {
    std::vector<core::acceptance::audit_record> out;
    for (const accepted_entry& one : document_.entries) {
        const auto before = replaced_.find(one.change.revision);
        out.push_back({one, before == replaced_.end() ? std::string{} : before->second});
    }
    return out;
}

} // namespace waxwinglb::programs::admin
