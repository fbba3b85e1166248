/// Versioned objects behind the platform's object API.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::standins::platform {

constexpr std::size_t max_value_bytes = 1'000'000; // larger values get a 413

struct object {
    std::string value;        // opaque to the store
    std::int64_t version = 0; // from one counter for the whole store; never reused
};

enum class write_status { created, replaced, removed, missing, condition_failed, too_large };

struct write_outcome {
    write_status status = write_status::condition_failed;
    std::int64_t version = 0; // of the object after the call; 0: no such object
};

class object_store {
public:
    /// Returns nullptr if there is no such object.
    [[nodiscard]] const object* find(const std::string& key) const;
    /// Returns 0 if there is no such object.
    [[nodiscard]] std::int64_t version_of(const std::string& key) const;
    [[nodiscard]] std::vector<std::pair<std::string, std::int64_t>> list(const std::string& prefix) const;

    /// Writes if the object's version equals `expected_version`; 0 means that it must not exist.
    write_outcome put(const std::string& key, std::string value, std::int64_t expected_version);
    /// Removes if the object's version equals `expected_version`; nullopt removes any version.
    write_outcome remove(const std::string& key, std::optional<std::int64_t> expected_version);

private:
    std::map<std::string, object> objects_;
    std::int64_t last_version_ = 0;
};

} // namespace waxwinglb::standins::platform
