#include "standins/platform/object_store.hpp"

namespace waxwinglb::standins::platform {

const object* object_store::find(const std::string& key) const {
    const auto found = objects_.find(key);
    return found == objects_.end() ? nullptr : &found->second;
}

std::int64_t object_store::version_of(const std::string& key) const {
    const object* found = find(key);
    return found == nullptr ? 0 : found->version;
}

std::vector<std::pair<std::string, std::int64_t>> object_store::list(const std::string& prefix) const {
    std::vector<std::pair<std::string, std::int64_t>> out;
    for (auto i = objects_.lower_bound(prefix); i != objects_.end() && i->first.starts_with(prefix); ++i)
        out.emplace_back(i->first, i->second.version);
    return out;
}

write_outcome object_store::put(const std::string& key, std::string value, std::int64_t expected_version) {
    const std::int64_t current = version_of(key);
    if (value.size() > max_value_bytes)
        return {write_status::too_large, current};
    if (current != expected_version)
        return {write_status::condition_failed, current};
    objects_[key] = {std::move(value), ++last_version_};
    return {current == 0 ? write_status::created : write_status::replaced, last_version_};
}

write_outcome object_store::remove(const std::string& key, std::optional<std::int64_t> expected_version) {
    const std::int64_t current = version_of(key);
    if (current == 0)
        return {write_status::missing, 0};
    if (expected_version && *expected_version != current)
        return {write_status::condition_failed, current};
    objects_.erase(key);
    ++last_version_; // keeps a recreated key from reusing a version
    return {write_status::removed, 0};
}

} // namespace waxwinglb::standins::platform
