#include "programs/gateway/target_history.hpp"

#include "platform/documents.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace waxwinglb::programs::gateway {
namespace {

namespace leaf = boost::leaf;
using core::common::milliseconds;
using core::common::store_position;
using core::common::time_point;
using platform::store_result;

constexpr milliseconds answer_timeout{1'800};
constexpr milliseconds retry_delay{500};

/// nullopt: it names no target that can be used.
std::optional<core::fleet::target_entry> decode(const platform::stored_object& object) {
    using entry = std::optional<core::fleet::target_entry>;
    if (!object.flaw.empty())
        return std::nullopt;
    return leaf::try_handle_all(
        [&]() -> leaf::result<entry> { return platform::decode_target(object.name, object.spec); },
        [] { return entry{}; });
}

} // namespace

void target_history::note_gap(const kind_watch::gap& gap) {
    if (gap.from && gap.until - *gap.from <= core::streams::shortest_registration)
        return;
    const bool was_complete = context_.versions.is_complete(context_.loop.now());
    context_.versions.begin(gap.until);
    listed_ = gap.listed;
    if (was_complete && gap.since.revision > 0 && gap.since.era == gap.listed.era)
        begin_reading(gap.since);
    else if (!gap.from)
        read_since_first_gateway();
}

/// In a restored store, registrations of gateways may be younger than they are.
void target_history::note_gateways(const platform::store_reply& list) {
    if (list.result != store_result::ok || list.unnamed > 0 || first_gateway_)
        return;
    store_position first = list.at;
    for (const platform::stored_object& object : list.objects) {
        if (platform::decode_registration(object.spec).first_era < list.at.era)
            return;
        first.revision = std::min(first.revision, object.created);
    }
    first_gateway_ = first;
    if (!reading_)
        read_since_first_gateway();
}

void target_history::read_since_first_gateway() {
    const bool known = listed_ && first_gateway_ && first_gateway_->revision > 0;
    const bool needed = !context_.versions.is_complete(context_.loop.now());
    if (known && needed && first_gateway_->era == listed_->era)
        begin_reading({first_gateway_->era, first_gateway_->revision - 1});
}

void target_history::begin_reading(store_position since) {
    ++generation_;
    reading_ = true;
    read(since);
}

void target_history::read(store_position since) {
    const auto on_reply = [this, since, generation = generation_](platform::store_reply&& reply) {
        context_.loop.post([this, since, generation, reply = std::move(reply)] {
            if (generation == generation_)
                handle(reply, since);
        });
    };
    store_.watch(platform::targets_kind, since, milliseconds{0}, answer_timeout, on_reply);
}

void target_history::handle(const platform::store_reply& reply, store_position since) {
    if (context_.versions.is_complete(context_.loop.now()))
        return end_reading();
    if (!reply.store_answered())
        return retry_later(since);
    if (reply.result != store_result::ok || reply.at.era != since.era || !note_statements(reply))
        return end_reading();
    if (reply.at < *listed_ && !reply.objects.empty())
        return read(reply.at);
    context_.versions.mark_complete();
    end_reading();
}

void target_history::when_read(std::function<void()> on_read) {
    if (!reading_)
        return on_read();
    waiting_.push_back(std::move(on_read));
}

void target_history::end_reading() {
    reading_ = false;
    end_waiting();
}

void target_history::end_waiting() {
    for (const auto& on_read : std::exchange(waiting_, {}))
        on_read();
}

void target_history::retry_later(store_position since) {
    context_.loop.schedule(context_.loop.now() + retry_delay, [this, since, generation = generation_] {
        if (generation == generation_)
            read(since);
    });
    end_waiting();
}

bool target_history::note_statements(const platform::store_reply& reply) {
    for (const platform::stored_object& object : reply.objects) {
        if (const auto entry = decode(object))
            context_.versions.note(*entry, context_.loop.now());
        else if (object.removed)
            return false;
    }
    return reply.unnamed == 0;
}

} // namespace waxwinglb::programs::gateway
