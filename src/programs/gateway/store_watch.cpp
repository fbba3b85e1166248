#include "programs/gateway/store_watch.hpp"

#include "platform/documents.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace waxwinglb::programs::gateway {
namespace {

namespace leaf = boost::leaf;
using core::common::milliseconds;
using platform::store_reply;
using platform::store_result;

constexpr milliseconds first_retry{100}; // after a failed call, doubling
constexpr milliseconds longest_retry{800};
// A connection that fell silent shows only when its watch's time is over. One gateway, the order giver,
// watches for so short a time that it is behind by no more than the platform's tightest bound (2 s, for a
// target that leaves and for a configuration); the others rely on its word, and follow as closely themselves
// while they don't hear it.
constexpr milliseconds close_wait{1'000};
// The pause stays within that bound too, for the moment at which the order giver is lost.
constexpr milliseconds relaxed_wait{8'000};
constexpr kind_watch::follow_times targets_times{close_wait, milliseconds{250}, relaxed_wait,
                                                 milliseconds{1'400}};
constexpr kind_watch::follow_times config_times{close_wait, milliseconds{20}, relaxed_wait, milliseconds{20}};
constexpr kind_watch::follow_times centres_times{close_wait, milliseconds{20}, relaxed_wait,
                                                 milliseconds{20}};
constexpr kind_watch::follow_times members_times{milliseconds{5'000}, milliseconds{500}, milliseconds{10'000},
                                                 milliseconds{500}};

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

} // namespace

// ---- one kind --------------------------------------------------------------------------------------

void kind_watch::start() {
    answered_at_ = context_.loop.now();
    list();
}

void kind_watch::heard(const store_reply& reply, const char* call) {
    context_.numbers.count_store_call(call, name_of(reply.result));
    const bool was = answering_;
    answering_ = reply.store_answered();
    failures_ = answering_ ? 0 : failures_ + 1;
    if (answering_) {
        answered_at_ = context_.loop.now();
        context_.directory.store_answered(answered_at_);
    } else {
        context_.directory.store_failed();
    }
    if (was && !answering_)
        context_.log.write(edge::events::store_lost, kind_,
                           {{"call", call}, {"result", name_of(reply.result)}, {"why", describe(reply.why)}});
    if (!was && answering_)
        context_.log.write(edge::events::store_regained, kind_, {{"call", call}});
}

void kind_watch::next(milliseconds after) {
    context_.loop.schedule(context_.loop.now() + after, [this, generation = generation_] {
        if (generation == generation_)
            revision_ > 0 ? watch() : list();
    });
}

void kind_watch::follow_closely() {
    if (!relaxed_)
        return;
    ++generation_;
    watch();
}

void kind_watch::list() {
    store_.list(kind_, [this](store_reply&& reply) {
        context_.loop.post([this, reply = std::move(reply)] {
            heard(reply, "list");
            if (reply.result != store_result::ok)
                return next(std::min(longest_retry, first_retry * (1 << std::min(failures_, 4))));
            revision_ = reply.revision;
            owner_.on_list(reply);
            next(times_.pause);
        });
    });
}

void kind_watch::watch() {
    relaxed_ = context_.order_giver_speaks;
    const auto wait = relaxed_ ? times_.relaxed_wait : times_.wait;
    store_.watch(kind_, revision_, wait, [this, generation = generation_](store_reply&& reply) {
        context_.loop.post([this, generation, reply = std::move(reply)] {
            if (generation == generation_)
                take(reply);
        });
    });
}

/// The answer of a watch.
void kind_watch::take(const store_reply& reply) {
    heard(reply, "watch");
    relaxed_ = false;
    if (reply.result == store_result::history_expired) {
        revision_ = 0;
        return next(milliseconds{0});
    }
    if (reply.result != store_result::ok)
        return next(std::min(longest_retry, first_retry * (1 << std::min(failures_, 4))));
    if (revision_ > 0 && reply.revision > 0)
        revision_ = reply.revision;
    if (reply.objects.empty())
        return next(milliseconds{0});
    owner_.on_events(reply);
    relaxed_ = context_.order_giver_speaks;
    next(relaxed_ ? times_.relaxed_pause : times_.pause);
}

// ---- all kinds -------------------------------------------------------------------------------------

store_watch::store_watch(gateway_context& context, platform::store_client& store, owner to)
    : context_(context), owner_(std::move(to)),
      config_(context, store, platform::config_kind, config_times,
              {[this](const store_reply& reply) { take_config(reply); },
               [this](const store_reply& reply) { take_config(reply); }}),
      targets_(context, store, platform::targets_kind, targets_times,
               {[this](const store_reply& reply) { take_targets(reply, true); },
                [this](const store_reply& reply) { take_targets(reply, false); }}),
      centres_(context, store, platform::evacuations_kind, centres_times,
               {[this](const store_reply& reply) { take_centres(reply, true); },
                [this](const store_reply& reply) { take_centres(reply, false); }}),
      members_watch_(context, store, platform::routers_kind, members_times,
                     {[this](const store_reply& reply) { take_members(reply, true); },
                      [this](const store_reply& reply) { take_members(reply, false); }}) {}

void store_watch::start() {
    config_.start();
    targets_.start();
    centres_.start();
    members_watch_.start();
}

void store_watch::tell_ages(core::common::time_point now) {
    for (const kind_watch* one : {&config_, &targets_, &centres_, &members_watch_})
        context_.numbers.tell_watch_age(one->kind(), now - one->answered_at());
}

void store_watch::follow_closely() {
    for (kind_watch* one : {&config_, &targets_, &centres_, &members_watch_})
        one->follow_closely();
}

void store_watch::take_config(const store_reply& reply) {
    for (const auto& object : reply.objects)
        if (object.name == platform::config_name && !object.removed)
            offer_config(object.spec, "store");
}

void store_watch::offer_config(const nlohmann::json& spec, const std::string& source) {
    auto decoded = leaf::try_handle_all(
        [&]() -> leaf::result<core::fleet::config_ptr> {
            BOOST_LEAF_AUTO(made, platform::decode_config(spec));
            return std::make_shared<const core::fleet::config>(std::move(made));
        },
        [&](const core::common::error& why) -> core::fleet::config_ptr {
            context_.log.write(edge::events::config_refused, source, {{"why", describe(why)}});
            return nullptr;
        },
        [&]() -> core::fleet::config_ptr {
            context_.log.write(edge::events::config_refused, source, {{"why", "unknown"}});
            return nullptr;
        });
    if (!decoded || (context_.config && decoded->version <= context_.config->version))
        return;
    context_.config = decoded;
    config_text_ = spec.dump();
    context_.quota.configure(decoded->customers, context_.loop.now());
    context_.numbers.config_version.Set(static_cast<double>(decoded->version));
    context_.log.write(edge::events::config_in_force, std::to_string(decoded->version),
                       {{"source", source},
                        {"routes", decoded->routes.size()},
                        {"services", decoded->services.size()},
                        {"customers", decoded->customers.size()}});
    owner_.on_config();
}

void store_watch::log_target(const core::fleet::target_entry& entry, const char* change) {
    context_.log.write(edge::events::target_changed, entry.id,
                       {{"change", change},
                        {"service", entry.service},
                        {"address", entry.address},
                        {"data_centre", entry.data_centre},
                        {"born", entry.born},
                        {"draining", entry.draining},
                        {"cold_ms", entry.cold_left.count()},
                        {"models", entry.models.size()}});
}

/// Nothing if the registration names no target to use; the reason is logged.
std::optional<core::fleet::target_entry> store_watch::decode_target(const platform::stored_object& object) {
    const auto report = [&](const core::common::error& why) {
        context_.log.write(edge::events::target_ignored, object.name, {{"why", describe(why)}});
        return std::optional<core::fleet::target_entry>{};
    };
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<core::fleet::target_entry>> {
            BOOST_LEAF_AUTO(entry, platform::decode_target(object.name, object.spec));
            return std::optional{std::move(entry)};
        },
        report,
        [&] {
            return report({"decode registration", object.name, "unknown"});
        });
}

void store_watch::take_targets(const store_reply& reply, bool complete) {
    const auto now = context_.loop.now();
    std::vector<core::fleet::target_change> changes;
    std::vector<core::fleet::target_entry> entries;
    for (const auto& object : reply.objects) {
        if (object.removed) {
            context_.log.write(edge::events::target_changed, object.name, {{"change", "removed"}});
            changes.push_back({object.name, std::nullopt});
            continue;
        }
        auto entry = decode_target(object);
        if (!entry)
            continue;
        log_target(*entry, complete ? "listed" : "changed");
        if (complete)
            entries.push_back(std::move(*entry));
        else
            changes.push_back({object.name, std::move(entry)});
    }
    if (complete)
        context_.directory.replace_all(entries, now);
    else
        context_.directory.apply(changes, now);
    owner_.on_targets();
}

void store_watch::take_centres(const store_reply& reply, bool complete) {
    auto out = complete ? std::set<std::string>{} : context_.centres_out;
    for (const auto& object : reply.objects)
        if (object.removed)
            out.erase(object.name);
        else
            out.insert(object.name);
    context_.centres_revision = std::max(context_.centres_revision, reply.revision);
    if (out == context_.centres_out)
        return;
    context_.centres_out = out;
    context_.log.write(edge::events::data_centres_out, "", {{"out", out}, {"revision", reply.revision}});
    owner_.on_targets();
}

void store_watch::take_members(const store_reply& reply, bool complete) {
    if (complete)
        members_.clear();
    for (const auto& object : reply.objects) {
        const auto address = object.spec.is_object() ? object.spec.value("address", "") : std::string{};
        if (object.removed || address.empty())
            members_.erase(object.name);
        else
            members_[object.name] = address;
    }
    owner_.on_members(members_);
}

} // namespace waxwinglb::programs::gateway
