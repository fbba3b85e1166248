#include "standins/platform/object_store.hpp"

namespace waxwinglb::standins::platform {

const object* object_store::find(const std::string& key) const {
    const auto found = objects_.find(key);
    return found == objects_.end() ? nullptr : &found->second;
}

store_position object_store::version_of(const std::string& key) const {
    const object* found = find(key);
    return found == nullptr ? store_position{era_, 0} : found->version;
}

std::vector<std::pair<std::string, store_position>> object_store::list(const std::string& prefix) const {
    std::vector<std::pair<std::string, store_position>> out;
    for (auto i = objects_.lower_bound(prefix); i != objects_.end() && i->first.starts_with(prefix); ++i)
        out.emplace_back(i->first, i->second.version);
    return out;
}

write_outcome object_store::put(const std::string& key, std::string value, store_position expected_version) {
    const store_position current = version_of(key);
    if (value.size() > max_value_bytes)
        return {write_status::too_large, current};
    const bool expects_absence = expected_version.revision == 0;
    if (expects_absence ? current.revision != 0 : current != expected_version)
        return {write_status::condition_failed, current};
    const store_position next{era_, ++last_revision_};
    objects_[key] = {std::move(value), next};
    return {expects_absence ? write_status::created : write_status::replaced, next};
}

write_outcome object_store::remove(const std::string& key, std::optional<store_position> expected_version) {
    const store_position current = version_of(key);
    if (current.revision == 0)
        return {write_status::missing, current};
    if (expected_version && *expected_version != current)
        return {write_status::condition_failed, current};
    objects_.erase(key);
    ++last_revision_; // keeps a recreated key from reusing a version
    return {write_status::removed, {era_, 0}};
}

void object_store::take_copy() {
    copied_objects_ = objects_;
    copied_revision_ = last_revision_;
}

void object_store::restore() {
    ++era_;
    objects_ = copied_objects_;
    for (auto& [key, restored] : objects_)
        restored.version.era = era_;
    last_revision_ = copied_revision_;
}

} // namespace waxwinglb::standins::platform
