#include "programs/gateway/kind_watch.hpp"

#include "core/common/hash.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using core::common::store_position;
using core::fleet::list_source;
using platform::store_reply;
using platform::store_result;

// Until the first byte of an answer, in addition to a watch's wait. Doubles while calls fail, for a store
// that answers late; its limit leaves time to try again within the shortest time in which a gateway must be
// in touch again (3 s).
constexpr milliseconds min_answer_timeout{600};
constexpr milliseconds max_answer_timeout{1'800};
constexpr milliseconds min_retry_delay{100}; // after a failed call, doubles
constexpr milliseconds max_retry_delay{800};
constexpr int max_doublings = 4;            // of both
constexpr milliseconds unnamed_delay{800};  // before the list that follows a change without a readable name
constexpr milliseconds restore_spread{400}; // over which gateways list again after a restore of the store
// The store answers a watch with a part of a long history. The rest comes with the next ones.
constexpr std::size_t least_partial_reply = 100; // events

const char* name_of(store_result result) {
    switch (result) {
    case store_result::ok:
        return "ok";
    case store_result::absent:
        return "absent";
    case store_result::conflict:
        return "conflict";
    case store_result::history_expired:
        return "forgotten";
    case store_result::refused:
        return "refused";
    case store_result::unknown:
        return "unknown";
    }
    return "unknown";
}

/// Moves the elements of `from` to the end of `to`.
template<class element>
void append(std::vector<element>& to, std::vector<element>& from) {
    std::move(from.begin(), from.end(), std::back_inserter(to));
    from.clear();
}

} // namespace

void kind_watch::start() {
    answered_at_ = context_.loop.now();
    list();
}

bool kind_watch::record_reply(store_reply& reply, const char* call) {
    const std::size_t received = std::exchange(call_, {}).received();
    const auto generation = generation_;
    context_.history.note(reply, call);
    if (generation != generation_)
        return false;
    context_.metrics.count_store_call(call, name_of(reply.result));
    const bool was_answering = answering_;
    answering_ = reply.store_answered();
    failures_ = answering_ ? 0 : failures_ + 1;
    if (answering_) {
        answered_at_ = context_.loop.now();
        context_.directory.store_answered(answered_at_);
    } else {
        context_.directory.store_failed();
    }
    if (was_answering && !answering_)
        context_.log.write(edge::events::store_lost, kind_,
                           {{"call", call},
                            {"result", name_of(reply.result)},
                            {"received", received},
                            {"why", describe(reply.why)}});
    if (!was_answering && answering_)
        context_.log.write(edge::events::store_regained, kind_, {{"call", call}});
    return true;
}

void kind_watch::schedule_next(milliseconds after) {
    context_.loop.schedule(context_.loop.now() + after, [this, generation = generation_] {
        if (generation == generation_)
            call_next();
    });
}

void kind_watch::call_next() {
    const bool looks = !context_.reads_store_closely && timing_.relaxed_lists;
    position_.revision == 0 || looks || !next_confirmations_.empty() ? list() : watch();
}

milliseconds kind_watch::answer_timeout() const {
    return std::min(max_answer_timeout, min_answer_timeout * (1 << std::min(failures_, max_doublings)));
}

void kind_watch::retry_later() {
    schedule_next(std::min(max_retry_delay, min_retry_delay * (1 << std::min(failures_, max_doublings))));
    end_confirmations(false);
}

void kind_watch::supersede() {
    ++generation_;
    call_.cancel();
    call_ = {};
    relaxed_ = false;
    append(next_confirmations_, confirmations_);
}

/// Watches may be silent for a while although there are changes, so this is a list.
void kind_watch::confirm(confirmation on_done) {
    if (!answering_)
        return on_done(false);
    next_confirmations_.push_back(std::move(on_done));
    if (!confirmations_.empty() || receiving())
        return;
    supersede();
    list();
}

/// Those that came after the call was sent need another one, unless the store doesn't answer.
void kind_watch::end_confirmations(bool applied) {
    if (!applied)
        append(confirmations_, next_confirmations_);
    for (const confirmation& done : std::exchange(confirmations_, {}))
        done(applied);
}

/// `close_delay`: until the next watch, if this gateway watches closely.
void kind_watch::schedule_after_reply(milliseconds close_delay) {
    relaxed_ = !context_.reads_store_closely;
    const milliseconds usual = relaxed_ ? timing_.relaxed_delay : close_delay;
    schedule_next(next_confirmations_.empty() ? usual : milliseconds{0});
    end_confirmations(true);
}

/// All gateways learn of a restore at about the same time: their lists are spread over a short time.
void kind_watch::list_again() {
    supersede();
    position_ = {};
    const auto spread = core::common::hash_of(context_.settings.name + kind_) %
                        static_cast<std::uint64_t>(restore_spread.count());
    schedule_next(milliseconds{static_cast<std::int64_t>(spread)});
}

/// An answer that is coming is awaited: a second one beside it would delay both.
void kind_watch::watch_closely() {
    if (!relaxed_ || receiving())
        return;
    supersede();
    position_.revision == 0 || timing_.relaxed_lists ? list() : watch();
}

void kind_watch::read_now() {
    if (!relaxed_ || receiving())
        return;
    supersede();
    position_.revision == 0 || timing_.relaxed_lists ? list() : watch_for(milliseconds{0});
}

void kind_watch::list() {
    sent_at_ = context_.loop.now();
    confirmations_ = std::exchange(next_confirmations_, {});
    call_ = store_.list(kind_, answer_timeout(), [this, generation = generation_](store_reply&& reply) {
        context_.loop.post([this, generation, reply = std::move(reply)]() mutable {
            if (generation == generation_ && record_reply(reply, "list"))
                handle_list_reply(reply);
        });
    });
}

void kind_watch::handle_list_reply(const store_reply& reply) {
    if (reply.result != store_result::ok)
        return retry_later();
    if (reply.unnamed != unnamed_in_list_)
        log_unnamed(reply, "list");
    unnamed_in_list_ = reply.unnamed;
    const store_position since = std::exchange(position_, reply.at);
    const bool restored = listed_era_ >= 0 && reply.at.era > listed_era_;
    listed_era_ = reply.at.era;
    callbacks_.on_gap({since, reply.at, current_until_, sent_at_});
    callbacks_.on_list(reply, restored ? list_source::restored_store : list_source::store);
    note_current(sent_at_);
    schedule_after_reply(timing_.batch_delay);
}

void kind_watch::watch() {
    relaxed_ = !context_.reads_store_closely;
    watch_for(relaxed_ ? timing_.relaxed_timeout : timing_.timeout);
}

void kind_watch::watch_for(milliseconds wait) {
    sent_at_ = context_.loop.now();
    wait_ = wait;
    const auto on_reply = [this, generation = generation_](store_reply&& reply) {
        context_.loop.post([this, generation, reply = std::move(reply)]() mutable {
            if (generation == generation_ && record_reply(reply, "watch"))
                handle_watch_reply(reply);
        });
    };
    call_ = store_.watch(kind_, position_, wait, answer_timeout(), on_reply);
}

void kind_watch::handle_watch_reply(const store_reply& reply) {
    relaxed_ = false;
    if (reply.result == store_result::history_expired) {
        position_ = {};
        return schedule_next(milliseconds{0});
    }
    if (reply.result != store_result::ok)
        return retry_later();
    if (reply.at.revision > 0)
        position_ = reply.at;
    if (!reply.objects.empty())
        callbacks_.on_events(reply);
    const bool may_be_partial = reply.objects.size() >= least_partial_reply;
    if (!may_be_partial) // one without events was answered at its end, others at some time after they were
                         // sent
        note_current(reply.objects.empty() ? std::min(sent_at_ + wait_, context_.loop.now()) : sent_at_);
    if (reply.unnamed > 0) {
        // The list shows which known entry is not among the readable ones any more.
        log_unnamed(reply, "watch");
        position_ = {};
        return schedule_next(unnamed_delay);
    }
    const bool at_once = reply.objects.empty() || may_be_partial;
    schedule_after_reply(at_once ? milliseconds{0} : timing_.batch_delay);
}

void kind_watch::note_current(core::common::time_point until) {
    current_until_ = until;
    callbacks_.on_current(until);
}

void kind_watch::log_unnamed(const store_reply& reply, const char* call) {
    context_.log.write(edge::events::entries_ignored, kind_, {{"call", call}, {"count", reply.unnamed}});
}

} // namespace waxwinglb::programs::gateway
