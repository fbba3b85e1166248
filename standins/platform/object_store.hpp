/// Objects with versions: what the platform's object API keeps.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::standins::platform {

constexpr std::size_t max_value_bytes = 1'000'000; // larger values are refused with 413

struct object {
    std::string value;        // opaque to the store
    std::int64_t version = 0; // rises by one over the whole store, never reused
};

enum class write_status { created, replaced, removed, missing, condition_failed, too_large };

struct write_outcome {
    write_status status = write_status::condition_failed;
    std::int64_t version = 0; // of the object after the call; 0: absent
};

class object_store {
public:
    /// nullptr if there is none.
    [[nodiscard]] const object* find(const std::string& key) const;
    /// 0 if there is none.
    [[nodiscard]] std::int64_t version_of(const std::string& key) const;
    [[nodiscard]] std::vector<std::pair<std::string, std::int64_t>> list(const std::string& prefix) const;

    /// Writes if the object's version equals `expected`; 0 expects its absence.
    write_outcome put(const std::string& key, std::string value, std::int64_t expected);
    /// Removes if the version equals `expected`; nullopt expects nothing.
    write_outcome remove(const std::string& key, std::optional<std::int64_t> expected);

private:
    std::map<std::string, object> objects_;
    std::int64_t last_version_ = 0;
};

} // namespace waxwinglb::standins::platform
