/// Versioned objects behind the platform's object API.
#pragma once

#include "core/common/store_position.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::standins::platform {

constexpr std::size_t max_value_bytes = 1'000'000; // larger values get a 413

using core::common::store_position;

struct object {
    std::string value;      // opaque to the store
    store_position version; // from one counter for the whole store; never reused within an era
};

enum class write_status { created, replaced, removed, missing, condition_failed, too_large };

struct write_outcome {
    write_status status = write_status::condition_failed;
    store_position version; // of the object after the call; revision 0: no such object
};

class object_store {
public:
    /// Returns nullptr if there is no such object.
    [[nodiscard]] const object* find(const std::string& key) const;
    /// Revision 0 if there is no such object.
    [[nodiscard]] store_position version_of(const std::string& key) const;
    [[nodiscard]] std::vector<std::pair<std::string, store_position>> list(const std::string& prefix) const;

    /// Writes if the object's version equals `expected_version`; revision 0 means that it must not exist.
    write_outcome put(const std::string& key, std::string value, store_position expected_version);
    /// Removes if the object's version equals `expected_version`; nullopt removes any version.
    write_outcome remove(const std::string& key, std::optional<store_position> expected_version);

    void take_copy(); // for restore()
    /// Brings back the latest copy, or an empty store. The objects keep their revisions, and revisions since
    /// the copy are given out again, all in the next era.
    void restore();

private:
    std::map<std::string, object> objects_;
    std::int64_t last_revision_ = 0;
    std::int64_t era_ = 0;
    std::map<std::string, object> copied_objects_;
    std::int64_t copied_revision_ = 0;
};

} // namespace waxwinglb::standins::platform
