/// All accepted configuration entries with their origins, and the rules that decide whether the next change
/// is accepted: permissions, preconditions, validity and references between entries.
#pragma once

#include "core/acceptance/document.hpp"
#include "core/config/codec.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::core::acceptance {

enum class role {
    reader, // may read
    editor, // may also change services, models, customers and keys of its own team
    owner,  // may change everything, including presets, data centres and acceptors
};

struct actor {
    std::string name;
    std::string team;
    acceptance::role role = role::reader;
};

/// A requested change of one entry.
struct proposal {
    std::string key;                      // "<kind>/<name>"
    std::string value;                    // JSON; empty deletes
    std::optional<std::int64_t> expected; // current revision; 0: must be absent; nullopt: any
    std::string creation;                 // digest of the Idempotency-Key; empty if none was sent
};

enum class verdict_kind {
    accepted,         // the change may be applied
    unchanged,        // the entry has that value already
    repeated,         // an earlier creation with the same Idempotency-Key made the entry
    absent,           // there is no entry to delete or to change
    exists,           // the entry must be absent but exists
    condition_failed, // the entry's revision is not the expected one
    invalid,          // `faults` lists every reason
    in_use,           // `faults` lists the entries that refer to it
    forbidden,        // the actor has no permission
};

struct verdict {
    verdict_kind kind = verdict_kind::invalid;
    std::vector<config::fault> faults;
    std::string value;         // in canonical form, with defaults filled in
    std::int64_t revision = 0; // current revision of the entry; 0: absent
};

class accepted_config {
public:
    using entry_ptr = std::shared_ptr<const accepted_entry>;

    [[nodiscard]] const accepted_entry* find(const std::string& key) const;
    [[nodiscard]] std::vector<entry_ptr> with_prefix(const std::string& prefix) const;
    [[nodiscard]] std::vector<accepted_entry> all() const;
    [[nodiscard]] std::int64_t revision() const { return revision_; }
    [[nodiscard]] std::string preset_in_force() const;

    /// Decides whether a change is acceptable against the current entries, without applying it.
    [[nodiscard]] verdict judge(const proposal& proposed, const actor& by) const;

    void apply(accepted_entry entry);                                         // must follow revision()
    void replace(std::int64_t revision, std::vector<accepted_entry> entries); // loads a snapshot

private:
    [[nodiscard]] std::vector<config::fault> missing_references(const std::string& key,
                                                                const std::string& value) const;
    [[nodiscard]] std::vector<config::fault> find_users(const std::string& key) const;
    [[nodiscard]] bool is_allowed(const std::string& key, const std::string& value, const actor& by) const;
    [[nodiscard]] bool is_owned_by(const std::string& key, const actor& by) const;
    [[nodiscard]] const accepted_entry* find_created_by(const std::string& kind,
                                                        const std::string& creation) const;

    std::map<std::string, entry_ptr> entries_; // by key; deleted entries are removed
    std::int64_t revision_ = 0;
};

/// The "<kind>" part of a key.
[[nodiscard]] std::string kind_of(const std::string& key);
/// True for 1 to 63 letters, digits, '.', '_' and '-' that start with a letter or digit.
[[nodiscard]] bool is_name(std::string_view text);

} // namespace waxwinglb::core::acceptance
