/// The process's copy of config/head with the snapshot that precedes its tail, kept up to date by watching
/// the object. Revisions only rise: an older head is refused, whoever wrote it.
#pragma once

#include "core/acceptance/accepted_config.hpp"
#include "edge/log.hpp"
#include "programs/admin/store.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::programs::admin {

constexpr core::common::milliseconds watch_wait{1'000}; // of one watch; its end shows that the store answers
constexpr core::common::milliseconds watch_retry_after{200}; // pause after a failed watch

class head_copy {
public:
    explicit head_copy(store& objects) : store_(objects) {}

    void tick(core::common::time_point now);
    void handle(const store_event& answer, core::common::time_point now); // watch_head and read_part

    /// Applies a head that was requested when this copy had object version `version_when_asked`. Returns
    /// false if a snapshot has to be fetched first, or if the head is lost, malformed or older.
    bool apply_answer(const edge::store_answer& answer, core::common::store_position version_when_asked);
    /// Takes over a document that was read or written here.
    void adopt(core::common::store_position version, core::acceptance::head_document document);

    [[nodiscard]] bool known() const { return known_; } // the store has answered about the head at least once
    [[nodiscard]] bool fetching() const { return snapshot_fetch_.has_value(); }
    [[nodiscard]] core::common::store_position version() const { return version_; } // of the object
    [[nodiscard]] const core::acceptance::head_document& document() const { return document_; }
    [[nodiscard]] const core::acceptance::accepted_config& entries() const { return entries_; }
    [[nodiscard]] std::vector<core::acceptance::audit_record> tail() const; // with the values replaced

private:
    struct snapshot_fetch {
        core::common::store_position version;
        core::acceptance::head_document document;
        int next_part = 0;
        std::uint64_t number = 0; // of the read in progress
        std::vector<core::acceptance::accepted_entry> entries;
    };
    void handle_part(const store_event& answer);
    void apply_tail();

    store& store_;
    edge::logger log_ = edge::make_logger("admin.head");
    bool known_ = false;
    bool watching_ = false;
    core::common::store_position version_when_watched_; // version_ when the current watch was sent
    core::common::time_point next_watch_{};
    core::common::store_position version_;
    core::acceptance::head_document document_;
    core::acceptance::accepted_config entries_;
    std::map<std::int64_t, std::string> previous_values_; // value before each change of the tail, by revision
    std::optional<snapshot_fetch> snapshot_fetch_;
};

} // namespace waxwinglb::programs::admin
