#include "programs/gateway/store_watch.hpp"

#include "platform/documents.hpp"

#include <boost/leaf/handle_errors.hpp>

namespace waxwinglb::programs::gateway {
namespace {

namespace leaf = boost::leaf;
using core::common::milliseconds;
using core::common::time_point;
using core::fleet::list_source;
using core::membership::stored_kind;
using platform::store_reply;

constexpr std::size_t max_ignored_lines = 64; // entries that name no target and have a line, at one time
// A dead connection is only noticed when its watch times out. Gateways that watch closely use watches that
// are short enough to stay within the platform's tightest bound (2 s, for a leaving target and for a
// configuration).
constexpr milliseconds short_watch_timeout{800};
// The store ends watches after 30 s.
constexpr milliseconds long_watch_timeout{25'000};
// The copies that targets have of models are read only here; they change when a model comes from the weight
// store, which takes about as long.
constexpr milliseconds targets_look{10'000};
constexpr milliseconds seldom_look{60'000}; // a safeguard: all changes come from other gateways
constexpr kind_watch::watch_timing targets_timing{short_watch_timeout, milliseconds{250}, milliseconds{0},
                                                  targets_look, true};
constexpr kind_watch::watch_timing config_timing{short_watch_timeout, milliseconds{20}, long_watch_timeout,
                                                 milliseconds{20}};
constexpr kind_watch::watch_timing centres_timing{short_watch_timeout, milliseconds{20}, milliseconds{0},
                                                  seldom_look};
constexpr kind_watch::watch_timing members_timing{milliseconds{5'000}, milliseconds{500}, milliseconds{0},
                                                  seldom_look};

} // namespace

store_watch::store_watch(gateway_context& context, platform::store_client& store, callbacks handlers)
    : context_(context), callbacks_(std::move(handlers)), history_(context, store),
      config_watch_(context, store, platform::config_kind, config_timing,
                    {[this](const store_reply& reply, list_source) { apply_config_objects(reply); },
                     [this](const store_reply& reply) { apply_config_objects(reply); },
                     [this](time_point until) { context_.view.confirm(stored_kind::configuration, until); }}),
      targets_watch_(context, store, platform::targets_kind, targets_timing,
                     {[this](const store_reply& reply, list_source source) { list_targets(reply, source); },
                      [this](const store_reply& reply) { change_targets(reply); },
                      [this](time_point until) { context_.view.confirm(stored_kind::departures, until); },
                      [this](const kind_watch::gap& gap) { history_.note_gap(gap); }}),
      centres_watch_(context, store, platform::evacuations_kind, centres_timing,
                     {[this](const store_reply& reply, list_source) { list_centres(reply); },
                      [this](const store_reply& reply) { change_centres(reply); },
                      [this](time_point until) { context_.view.confirm(stored_kind::data_centres, until); }}),
      members_watch_(context, store, platform::routers_kind, members_timing,
                     {[this](const store_reply& reply, list_source source) { list_members(reply, source); },
                      [this](const store_reply& reply) { change_members(reply); }, [](time_point) {}}) {}

void store_watch::start() {
    config_watch_.start();
    targets_watch_.start();
    centres_watch_.start();
    members_watch_.start();
}

void store_watch::report_ages(core::common::time_point now) {
    for (const kind_watch* watch : {&config_watch_, &targets_watch_, &centres_watch_, &members_watch_})
        context_.metrics.set_watch_age(watch->kind(), now - watch->answered_at());
    for (const auto& [kind, watch] : viewed_kinds())
        if (const auto age = context_.view.age(kind, now))
            context_.metrics.set_view_age(name_of(kind), *age);
}

std::array<store_watch::viewed_kind, core::membership::stored_kinds> store_watch::viewed_kinds() {
    return {{{stored_kind::departures, targets_watch_},
             {stored_kind::configuration, config_watch_},
             {stored_kind::data_centres, centres_watch_}}};
}

void store_watch::read_if_old(time_point now) {
    for (const auto& [kind, watch] : viewed_kinds()) {
        const auto limit = context_.settings.view_limits[static_cast<std::size_t>(kind)];
        if (!watch.relies_on_peers() || !context_.view.take_read_due(kind, limit, now))
            continue;
        const auto age = context_.view.age(kind, now).value_or(core::common::duration{});
        context_.log.write(edge::events::store_view_old, name_of(kind),
                           {{"age_ms", core::common::to_wire_ms(age)}, {"limit_ms", limit.count()}});
        context_.metrics.count_own_read(name_of(kind));
        watch.read_now();
    }
}

void store_watch::list_again() {
    for (kind_watch* watch : {&config_watch_, &targets_watch_, &centres_watch_, &members_watch_})
        watch->list_again();
}

void store_watch::confirm_targets(kind_watch::confirmation on_done) {
    targets_watch_.confirm([this, on_done = std::move(on_done)](bool confirmed) {
        history_.when_read([on_done, confirmed] { on_done(confirmed); });
    });
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
    context_.start.configuration_read(context_.loop.now());
    context_.quota.configure(decoded->customers, context_.loop.now());
    context_.metrics.config_version.Set(static_cast<double>(decoded->version));
    context_.log.write(edge::events::config_in_force, std::to_string(decoded->version),
                       {{"source", source},
                        {"routes", decoded->routes.size()},
                        {"services", decoded->services.size()},
                        {"customers", decoded->customers.size()},
                        {"not_understood", decoded->not_understood}});
    callbacks_.on_config(spec.dump());
}

/// Logs what decides on a target's use. Its models change with each order, which has its own lines.
void store_watch::log_target(const core::fleet::target_entry& entry, const char* change) {
    const auto* known = context_.directory.find(entry.id);
    const auto decisive = [](const core::fleet::target_entry& from) {
        return std::tie(from.service, from.address, from.data_centre, from.born, from.draining, from.slots);
    };
    if (known != nullptr && !known->lapsed_until && decisive(known->entry) == decisive(entry) &&
        (entry.cold_left > milliseconds{0}) == (known->cold_until > context_.loop.now()) &&
        entry.remaining.has_value() == known->gone_at.has_value())
        return;
    context_.log.write(edge::events::target_changed, entry.id,
                       {{"change", change},
                        {"service", entry.service},
                        {"address", entry.address},
                        {"data_centre", entry.data_centre},
                        {"software_version", entry.software_version},
                        {"born", entry.born},
                        {"draining", entry.draining},
                        {"remaining_ms", entry.remaining ? entry.remaining->count() : -1},
                        {"cold_ms", entry.cold_left.count()},
                        {"models", entry.models.size()}});
}

/// One line for each entry and reason, however often it is listed or written.
void store_watch::log_ignored(const std::string& target, const std::string& why) {
    const auto known = ignored_.find(target);
    if (known == ignored_.end() ? ignored_.size() >= max_ignored_lines : known->second == why)
        return;
    ignored_[target] = why;
    context_.log.write(edge::events::target_ignored, target, {{"why", why}});
}

/// One line for each value of each target, however often it is listed or written.
void store_watch::log_not_understood(const core::fleet::target_entry& entry) {
    if (entry.not_understood.empty()) {
        not_understood_.erase(entry.id);
        return;
    }
    const auto known = not_understood_.find(entry.id);
    if (known == not_understood_.end() ? not_understood_.size() >= max_ignored_lines
                                       : known->second == entry.not_understood)
        return;
    not_understood_[entry.id] = entry.not_understood;
    context_.log.write(edge::events::target_notice_ignored, entry.id,
                       {{"born", entry.born}, {"status", 0}, {"fields", entry.not_understood}});
}

/// nullopt if the registration is invalid; the reason is logged.
std::optional<core::fleet::target_entry> store_watch::decode_target(const platform::stored_object& object) {
    const auto report = [&](const core::common::error& why) {
        log_ignored(object.name, describe(why));
        return std::optional<core::fleet::target_entry>{};
    };
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<core::fleet::target_entry>> {
            if (!object.flaw.empty())
                return leaf::new_error(core::common::error{"read registration", object.name, object.flaw});
            BOOST_LEAF_AUTO(entry, platform::decode_target(object.name, object.spec));
            entry.changed = object.changed;
            log_not_understood(entry);
            ignored_.erase(object.name);
            return std::optional{std::move(entry)};
        },
        report,
        [&] {
            return report({"decode registration", object.name, "unknown"});
        });
}

void store_watch::list_targets(const store_reply& reply, list_source source) {
    std::set<std::string> listed;
    for (const auto& object : reply.objects)
        listed.insert(object.name);
    std::erase_if(ignored_, [&](const auto& entry) { return !listed.contains(entry.first); });
    std::erase_if(not_understood_, [&](const auto& entry) { return !listed.contains(entry.first); });
    std::vector<core::fleet::target_entry> entries;
    for (const auto& object : reply.objects)
        if (auto entry = decode_target(object)) {
            log_target(*entry, "listed");
            entries.push_back(std::move(*entry));
        } else {
            context_.directory.forget(object.name);
        }
    context_.directory.replace_all({std::move(entries), reply.at, source}, context_.loop.now());
    callbacks_.on_targets();
}

void store_watch::change_targets(const store_reply& reply) {
    std::vector<core::fleet::target_change> changes;
    for (const auto& object : reply.objects) {
        if (object.removed) {
            context_.log.write(edge::events::target_changed, object.name, {{"change", "removed"}});
            ignored_.erase(object.name);
            not_understood_.erase(object.name);
            changes.push_back({object.name, std::nullopt});
        } else if (auto entry = decode_target(object)) {
            log_target(*entry, "changed");
            context_.versions.note(*entry, context_.loop.now()); // one change may follow at once and end it
            changes.push_back({object.name, std::move(entry)});
        } else {
            // Whatever the entry named before, it names no target now.
            changes.push_back({object.name, std::nullopt, true});
        }
    }
    context_.directory.apply(changes, reply.at, context_.loop.now());
    callbacks_.on_targets();
}

void store_watch::list_centres(const store_reply& reply) {
    std::set<std::string> listed;
    for (const auto& object : reply.objects)
        listed.insert(object.name);
    if (context_.centres.apply_list(listed, reply.at, context_.loop.now()))
        centres_changed(reply.at, "store");
}

void store_watch::change_centres(const store_reply& reply) {
    std::vector<core::fleet::centre_change> changes;
    for (const auto& object : reply.objects)
        changes.push_back({object.name, object.removed});
    if (context_.centres.apply_changes(changes, reply.at))
        centres_changed(reply.at, "store");
}

void store_watch::centres_changed(core::common::store_position at, const std::string& source) {
    std::vector<std::string> held;
    for (const auto& [centre, until] : context_.centres.held())
        held.push_back(centre);
    context_.log.write(edge::events::data_centres_out, "",
                       {{"out", context_.centres.out()},
                        {"held", held},
                        {"era", at.era},
                        {"revision", at.revision},
                        {"source", source}});
    callbacks_.on_targets();
}

/// Gateways that registered after a restored store's copy was made register again: they stay members.
void store_watch::list_members(const store_reply& reply, list_source source) {
    if (source == list_source::store)
        members_.clear();
    history_.note_gateways(reply);
    std::vector<std::int64_t> running_since;
    for (const auto& object : reply.objects)
        if (object.name != context_.settings.name)
            running_since.push_back(platform::decode_registration(object.spec).first_era);
    context_.start.registrations_read(running_since, reply.at.era, context_.loop.now());
    change_members(reply);
}

void store_watch::change_members(const store_reply& reply) {
    for (const auto& object : reply.objects) {
        const auto registration = platform::decode_registration(object.spec);
        if (object.removed || registration.address.empty())
            members_.erase(object.name);
        else
            members_[object.name] = {registration.address, registration.data_centre};
    }
    callbacks_.on_members(members_);
}

} // namespace waxwinglb::programs::gateway
