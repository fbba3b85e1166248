#include "programs/gateway/target_history.hpp"

#include "platform/documents.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

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

void target_history::note_gap(store_position listed, std::optional<time_point> from, time_point until) {
    if (from && until - *from <= core::streams::shortest_registration)
        return;
    context_.versions.begin(until);
    wanted_until_ = listed;
    read_if_known();
}

void target_history::note_gateways(const platform::store_reply& list) {
    if (list.result != store_result::ok || list.unnamed > 0)
        return;
    store_position first = list.at;
    for (const platform::stored_object& object : list.objects)
        first.revision = std::min(first.revision, object.created);
    first_gateway_ = first;
    read_if_known();
}

void target_history::read_if_known() {
    const bool known = wanted_until_ && first_gateway_ && first_gateway_->revision > 0;
    if (!known || first_gateway_->era != wanted_until_->era)
        return;
    ++generation_;
    read({first_gateway_->era, first_gateway_->revision - 1});
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
    if (!wanted_until_ || reply.result == store_result::history_expired || reply.at.era != since.era)
        return wanted_until_.reset();
    if (reply.result != store_result::ok) {
        context_.loop.schedule(context_.loop.now() + retry_delay, [this, since, generation = generation_] {
            if (generation == generation_)
                read(since);
        });
        return;
    }
    if (!note_statements(reply))
        return wanted_until_.reset();
    if (reply.at < *wanted_until_ && !reply.objects.empty())
        return read(reply.at);
    wanted_until_.reset();
    context_.versions.complete();
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
