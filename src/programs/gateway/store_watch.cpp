#include "programs/gateway/store_watch.hpp"

#include "platform/documents.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace waxwinglb::programs::gateway {
namespace {

namespace leaf = boost::leaf;
using core::common::milliseconds;
using platform::store_reply;
using platform::store_result;

constexpr milliseconds min_retry_delay{100}; // after a failed call, doubles
constexpr milliseconds max_retry_delay{800};
// A dead connection is only noticed when its watch times out. The order giver uses watches that are short
// enough to stay within the platform's tightest bound (2 s, for a leaving target and for a configuration).
// The other gateways rely on the order giver's messages, and use short watches themselves while these don't
// arrive.
constexpr milliseconds short_watch_timeout{1'000};
// The delays below stay within the same bound, in case the order giver is lost during one.
constexpr milliseconds long_watch_timeout{8'000};
constexpr kind_watch::watch_timing targets_timing{short_watch_timeout, milliseconds{250}, long_watch_timeout,
                                                  milliseconds{1'400}};
constexpr kind_watch::watch_timing config_timing{short_watch_timeout, milliseconds{20}, long_watch_timeout,
                                                 milliseconds{20}};
constexpr kind_watch::watch_timing centres_timing{short_watch_timeout, milliseconds{20}, long_watch_timeout,
                                                  milliseconds{20}};
constexpr kind_watch::watch_timing members_timing{milliseconds{5'000}, milliseconds{500},
                                                  milliseconds{10'000}, milliseconds{500}};

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

// ---- kind_watch ------------------------------------------------------------------------------------

void kind_watch::start() {
    answered_at_ = context_.loop.now();
    list();
}

void kind_watch::record_reply(const store_reply& reply, const char* call) {
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
                           {{"call", call}, {"result", name_of(reply.result)}, {"why", describe(reply.why)}});
    if (!was_answering && answering_)
        context_.log.write(edge::events::store_regained, kind_, {{"call", call}});
}

void kind_watch::schedule_next(milliseconds after) {
    context_.loop.schedule(context_.loop.now() + after, [this, generation = generation_] {
        if (generation == generation_)
            revision_ > 0 ? watch() : list();
    });
}

void kind_watch::watch_closely() {
    if (!relaxed_)
        return;
    ++generation_;
    watch();
}

void kind_watch::list() {
    store_.list(kind_, [this](store_reply&& reply) {
        context_.loop.post([this, reply = std::move(reply)] {
            record_reply(reply, "list");
            if (reply.result != store_result::ok)
                return schedule_next(
                    std::min(max_retry_delay, min_retry_delay * (1 << std::min(failures_, 4))));
            revision_ = reply.revision;
            callbacks_.on_list(reply);
            schedule_next(timing_.batch_delay);
        });
    });
}

void kind_watch::watch() {
    relaxed_ = context_.order_giver_active;
    const auto timeout = relaxed_ ? timing_.relaxed_timeout : timing_.timeout;
    store_.watch(kind_, revision_, timeout, [this, generation = generation_](store_reply&& reply) {
        context_.loop.post([this, generation, reply = std::move(reply)] {
            if (generation == generation_)
                handle_watch_reply(reply);
        });
    });
}

/// Handles the answer of a watch.
void kind_watch::handle_watch_reply(const store_reply& reply) {
    record_reply(reply, "watch");
    relaxed_ = false;
    if (reply.result == store_result::history_expired) {
        revision_ = 0;
        return schedule_next(milliseconds{0});
    }
    if (reply.result != store_result::ok)
        return schedule_next(std::min(max_retry_delay, min_retry_delay * (1 << std::min(failures_, 4))));
    if (revision_ > 0 && reply.revision > 0)
        revision_ = reply.revision;
    if (reply.objects.empty())
        return schedule_next(milliseconds{0});
    callbacks_.on_events(reply);
    relaxed_ = context_.order_giver_active;
    schedule_next(relaxed_ ? timing_.relaxed_batch_delay : timing_.batch_delay);
}

// ---- store_watch -----------------------------------------------------------------------------------

store_watch::store_watch(gateway_context& context, platform::store_client& store, callbacks handlers)
    : context_(context), callbacks_(std::move(handlers)),
      config_watch_(context, store, platform::config_kind, config_timing,
                    {[this](const store_reply& reply) { apply_config_objects(reply); },
                     [this](const store_reply& reply) { apply_config_objects(reply); }}),
      targets_watch_(context, store, platform::targets_kind, targets_timing,
                     {[this](const store_reply& reply) { apply_targets(reply, true); },
                      [this](const store_reply& reply) { apply_targets(reply, false); }}),
      centres_watch_(context, store, platform::evacuations_kind, centres_timing,
                     {[this](const store_reply& reply) { apply_centres(reply, true); },
                      [this](const store_reply& reply) { apply_centres(reply, false); }}),
      members_watch_(context, store, platform::routers_kind, members_timing,
                     {[this](const store_reply& reply) { apply_members(reply, true); },
                      [this](const store_reply& reply) { apply_members(reply, false); }}) {}

void store_watch::start() {
    config_watch_.start();
    targets_watch_.start();
    centres_watch_.start();
    members_watch_.start();
}

void store_watch::report_ages(core::common::time_point now) {
    for (const kind_watch* watch : {&config_watch_, &targets_watch_, &centres_watch_, &members_watch_})
        context_.metrics.set_watch_age(watch->kind(), now - watch->answered_at());
}

void store_watch::watch_closely() {
    for (kind_watch* watch : {&config_watch_, &targets_watch_, &centres_watch_, &members_watch_})
        watch->watch_closely();
}

void store_watch::apply_config_objects(const store_reply& reply) {
    for (const auto& object : reply.objects)
        if (object.name == platform::config_name && !object.removed)
            apply_config(object.spec, "store");
}

void store_watch::apply_config(const nlohmann::json& spec, const std::string& source) {
    auto decoded = leaf::try_handle_all(
        [&]() -> leaf::result<core::fleet::config_ptr> {
            BOOST_LEAF_AUTO(config, platform::decode_config(spec));
            return std::make_shared<const core::fleet::config>(std::move(config));
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
    context_.metrics.config_version.Set(static_cast<double>(decoded->version));
    context_.log.write(edge::events::config_in_force, std::to_string(decoded->version),
                       {{"source", source},
                        {"routes", decoded->routes.size()},
                        {"services", decoded->services.size()},
                        {"customers", decoded->customers.size()}});
    callbacks_.on_config();
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

/// nullopt if the registration is invalid; the reason is logged.
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

void store_watch::apply_targets(const store_reply& reply, bool complete) {
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
    callbacks_.on_targets();
}

void store_watch::apply_centres(const store_reply& reply, bool complete) {
    auto centres = complete ? std::set<std::string>{} : context_.centres_out;
    for (const auto& object : reply.objects)
        if (object.removed)
            centres.erase(object.name);
        else
            centres.insert(object.name);
    context_.centres_revision = std::max(context_.centres_revision, reply.revision);
    if (centres == context_.centres_out)
        return;
    context_.centres_out = centres;
    context_.log.write(edge::events::data_centres_out, "", {{"out", centres}, {"revision", reply.revision}});
    callbacks_.on_targets();
}

void store_watch::apply_members(const store_reply& reply, bool complete) {
    if (complete)
        members_.clear();
    for (const auto& object : reply.objects) {
        const auto address = object.spec.is_object() ? object.spec.value("address", "") : std::string{};
        if (object.removed || address.empty())
            members_.erase(object.name);
        else
            members_[object.name] = address;
    }
    callbacks_.on_members(members_);
}

} // namespace waxwinglb::programs::gateway
