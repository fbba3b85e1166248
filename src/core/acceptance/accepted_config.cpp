#include "core/acceptance/accepted_config.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>

namespace waxwinglb::core::acceptance {
namespace {

using nlohmann::json;

constexpr std::size_t max_name_length = 63;
constexpr std::string_view preset_in_force_key = "preset-in-force";

/// A string member of a JSON object; empty if it is missing or no string.
std::string member(const std::string& value, const char* name) {
    const json parsed = json::parse(value, nullptr, false);
    if (!parsed.is_object())
        return {};
    const auto found = parsed.find(name);
    return found != parsed.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

std::string name_of(const std::string& key) {
    const auto slash = key.find('/');
    return slash == std::string::npos ? std::string{} : key.substr(slash + 1);
}

/// The value with defaults filled in. `value` must have passed check_entry.
std::string canonical(const std::string& key, const std::string& value) {
    config::snapshot scratch;
    config::apply_entry(scratch, key, value);
    const auto canonical_entries = config::entries(scratch);
    return canonical_entries.empty() ? value : canonical_entries.front().second;
}

std::vector<config::fault> check_name(const std::string& key) {
    if (key == preset_in_force_key)
        return {};
    const std::string form = "a name of letters, digits, '.', '_' and '-', at most 63";
    std::string rest = name_of(key);
    if (kind_of(key) == "model") {
        const auto slash = rest.find('/');
        if (slash == std::string::npos || !is_name(rest.substr(0, slash)))
            return {{"/service", form}};
        rest = rest.substr(slash + 1);
    }
    return is_name(rest) ? std::vector<config::fault>{} : std::vector<config::fault>{{"/name", form}};
}

std::vector<config::fault> check_adapter_names(const std::string& value) {
    std::vector<config::fault> out;
    const json parsed = json::parse(value, nullptr, false);
    const json adapters = parsed.value("adapters", json::array());
    for (std::size_t i = 0; i < adapters.size(); ++i)
        if (!is_name(adapters[i].value("name", std::string{})))
            out.push_back({"/adapters/" + std::to_string(i) + "/name",
                           "a name of letters, digits, '.', '_' and '-', at most 63"});
    return out;
}

bool is_team_owned(const std::string& kind) {
    return kind == "service" || kind == "model" || kind == "customer" || kind == "key";
}

} // namespace

std::string kind_of(const std::string& key) {
    return key.substr(0, key.find('/'));
}

bool is_name(std::string_view text) {
    const auto allowed_char = [](unsigned char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
               c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= max_name_length &&
           std::isalnum(static_cast<unsigned char>(text.front())) != 0 &&
           std::all_of(text.begin(), text.end(), allowed_char);
}

const accepted_entry* accepted_config::find(const std::string& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() ? nullptr : found->second.get();
}

std::vector<accepted_config::entry_ptr> accepted_config::with_prefix(const std::string& prefix) const {
    std::vector<entry_ptr> out;
    for (auto i = entries_.lower_bound(prefix); i != entries_.end() && i->first.starts_with(prefix); ++i)
        out.push_back(i->second);
    return out;
}

std::vector<accepted_entry> accepted_config::all() const {
    std::vector<accepted_entry> out;
    for (const auto& [key, entry] : entries_)
        out.push_back(*entry);
    return out;
}

std::string accepted_config::preset_in_force() const {
    const accepted_entry* found = find(std::string(preset_in_force_key));
    return found == nullptr ? std::string{} : member(found->change.value, "name");
}

verdict accepted_config::judge(const proposal& proposed, const actor& by) const {
    verdict out;
    const accepted_entry* current = find(proposed.key);
    out.revision = current == nullptr ? 0 : current->change.revision;
    const std::string kind = kind_of(proposed.key);
    if (!is_allowed(proposed.key, proposed.value, by)) {
        out.kind = verdict_kind::forbidden;
        return out;
    }
    if (const accepted_entry* earlier = find_created_by(kind, proposed.creation)) {
        out.kind = verdict_kind::repeated;
        out.revision = earlier->change.revision;
        out.value = earlier->change.value;
        return out;
    }
    if (proposed.value.empty() && current == nullptr) {
        out.kind = verdict_kind::absent;
        return out;
    }
    if (proposed.expected && *proposed.expected != out.revision) {
        out.kind = *proposed.expected == 0 ? verdict_kind::exists : verdict_kind::condition_failed;
        if (current == nullptr)
            out.kind = verdict_kind::absent;
        return out;
    }
    if (proposed.value.empty()) {
        out.faults = find_users(proposed.key);
        out.kind = out.faults.empty() ? verdict_kind::accepted : verdict_kind::in_use;
        return out;
    }
    out.faults = check_name(proposed.key);
    for (auto& fault : config::check_entry(proposed.key, proposed.value))
        out.faults.push_back(std::move(fault));
    if (out.faults.empty() && kind == "model")
        out.faults = check_adapter_names(proposed.value);
    if (out.faults.empty())
        out.faults = missing_references(proposed.key, proposed.value);
    if (!out.faults.empty())
        return out;
    out.value = canonical(proposed.key, proposed.value);
    const bool same = current != nullptr && current->change.value == out.value;
    out.kind = same ? verdict_kind::unchanged : verdict_kind::accepted;
    return out;
}

std::vector<config::fault> accepted_config::missing_references(const std::string& key,
                                                               const std::string& value) const {
    const std::string kind = kind_of(key);
    const auto require = [this](const std::string& prefix, const std::string& name,
                                const char* pointer) -> std::vector<config::fault> {
        if (find(prefix + name) != nullptr)
            return {};
        return {{pointer,
                 "the name of an existing " + prefix.substr(0, prefix.size() - 1) + "; there is no " + name}};
    };
    if (kind == "model") {
        const accepted_entry* service = find("service/" + member(value, "service"));
        if (service != nullptr && member(service->change.value, "kind") != "model")
            return {{"/service", "a service of kind model"}};
        return require("service/", member(value, "service"), "/service");
    }
    if (kind == "key")
        return require("customer/", member(value, "customer"), "/customer");
    if (kind == preset_in_force_key)
        return require("preset/", member(value, "name"), "/name");
    return {};
}

std::vector<config::fault> accepted_config::find_users(const std::string& key) const {
    std::vector<config::fault> out;
    const std::string kind = kind_of(key);
    const std::string name = name_of(key);
    const auto add_fault = [&out](const std::string& user) {
        out.push_back({"", "not in use; " + user + " needs it"});
    };
    if (kind == "service")
        for (const entry_ptr& entry : with_prefix("model/" + name + "/"))
            add_fault(entry->change.key);
    if (kind == "customer")
        for (const entry_ptr& entry : with_prefix("key/"))
            if (member(entry->change.value, "customer") == name)
                add_fault(entry->change.key);
    if (kind == "preset" && preset_in_force() == name)
        add_fault(std::string(preset_in_force_key));
    if (kind == preset_in_force_key)
        out.push_back({"", "a preset stays in force; change it instead"});
    return out;
}

bool accepted_config::is_owned_by(const std::string& key, const actor& by) const {
    const accepted_entry* current = find(key);
    return current == nullptr || current->from.team == by.team;
}

bool accepted_config::is_allowed(const std::string& key, const std::string& value, const actor& by) const {
    if (by.role == role::owner)
        return true;
    const std::string kind = kind_of(key);
    if (by.role == role::reader || !is_team_owned(kind) || !is_owned_by(key, by))
        return false;
    // A new model belongs to its service's team, a new key to its customer's.
    if (kind == "model")
        return is_owned_by("service/" + name_of(key).substr(0, name_of(key).find('/')), by);
    if (kind == "key" && !value.empty())
        return is_owned_by("customer/" + member(value, "customer"), by);
    return true;
}

const accepted_entry* accepted_config::find_created_by(const std::string& kind,
                                                       const std::string& creation) const {
    if (creation.empty())
        return nullptr;
    for (const entry_ptr& entry : with_prefix(kind + "/"))
        if (entry->from.creation == creation)
            return entry.get();
    return nullptr;
}

void accepted_config::apply(accepted_entry entry) {
    revision_ = entry.change.revision;
    const std::string key = entry.change.key;
    if (entry.change.value.empty()) {
        entries_.erase(key);
        return;
    }
    // An update by another team keeps the creator's team and the creation digest.
    if (const accepted_entry* current = find(key)) {
        entry.from.team = current->from.team;
        entry.from.creation = current->from.creation;
    }
    entries_[key] = std::make_shared<const accepted_entry>(std::move(entry));
}

void accepted_config::replace(std::int64_t revision, std::vector<accepted_entry> entries) {
    entries_.clear();
    for (accepted_entry& entry : entries) {
        const std::string key = entry.change.key;
        entries_[key] = std::make_shared<const accepted_entry>(std::move(entry));
    }
    revision_ = revision;
}

} // namespace waxwinglb::core::acceptance
