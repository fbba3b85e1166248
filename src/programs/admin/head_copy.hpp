/// The process's copy of config/head: kept by a standing watch, complete with the snapshot behind the tail.
/// Revisions only rise: an older head, from whoever, is refused.
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

constexpr core::common::milliseconds watch_wait{1'000}; // one watch; its end shows that the store answers
constexpr core::common::milliseconds watch_retry_after{200}; // pause after a watch that failed

class head_copy {
public:
    explicit head_copy(store& objects) : store_(objects) {}

    void tick(core::common::time_point now);
    void take(const store_event& answer, core::common::time_point now); // watch_head and read_part

    /// Takes in a head that was read when this copy stood at object version `asked_at`; false while a
    /// snapshot has to be fetched first, or on a head that can't be taken.
    bool learn(const edge::store_answer& answer, std::int64_t asked_at);
    void adopt(std::int64_t version, core::acceptance::head_document document); // written by this process

    [[nodiscard]] bool known() const { return known_; } // heard of the store at least once
    [[nodiscard]] bool fetching() const { return fetch_.has_value(); }
    [[nodiscard]] std::int64_t version() const { return version_; } // of the object; 0: absent
    [[nodiscard]] const core::acceptance::head_document& document() const { return document_; }
    [[nodiscard]] const core::acceptance::accepted_config& entries() const { return book_; }
    [[nodiscard]] std::vector<core::acceptance::audit_record> tail() const; // with the values replaced

private:
    struct snapshot_fetch {
        std::int64_t version = 0;
        core::acceptance::head_document document;
        int next_part = 0;
        std::uint64_t number = 0; // of the call under way
        std::vector<core::acceptance::accepted_entry> entries;
    };
    void take_part(const store_event& answer);
    void apply_tail();

    store& store_;
    edge::logger log_ = edge::make_logger("admin.head");
    bool known_ = false;
    bool watching_ = false;
    std::int64_t watched_version_ = 0; // at which the standing watch was asked
    core::common::time_point next_watch_{};
    std::int64_t version_ = 0;
    core::acceptance::head_document document_;
    core::acceptance::accepted_config book_;
    std::map<std::int64_t, std::string> replaced_; // value before each change of the tail, by revision
    std::optional<snapshot_fetch> fetch_;
};

} // namespace waxwinglb::programs::admin
