/// All accepted entries with their origins, and the rules by which the next change is judged.
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
    reader, // reads
    editor, // also changes services, models, customers and keys of its own team
    owner,  // changes everything: presets, data centres and acceptors too
};

struct actor {
    std::string name;
    std::string team;
    acceptance::role role = role::reader;
};

/// A change that someone asks for.
struct proposal {
    std::string key;                      // "<kind>/<name>"
    std::string value;                    // JSON; empty deletes
    std::optional<std::int64_t> expected; // entry's revision; 0: must be absent; nullopt: any
    std::string creation;                 // digest of an Idempotency-Key; empty without
};

enum class verdict_kind {
    accepted,         // would change the book
    unchanged,        // the entry has that value already
    repeated,         // an earlier creation with the same Idempotency-Key made it
    absent,           // nothing to delete or to change
    exists,           // a creation met an entry
    condition_failed, // the entry's revision is another
    invalid,          // faults name every reason
    in_use,           // faults name the entries that need it
    forbidden,        // the actor may not do that
};

struct verdict {
    verdict_kind kind = verdict_kind::invalid;
    std::vector<config::fault> faults;
    std::string value;         // in canonical form: defaults filled in
    std::int64_t revision = 0; // of the entry as it stands; 0: absent
};

class accepted_config {
public:
    using entry_ptr = std::shared_ptr<const accepted_entry>;

    [[nodiscard]] const accepted_entry* find(const std::string& key) const;
    [[nodiscard]] std::vector<entry_ptr> with_prefix(const std::string& prefix) const;
    [[nodiscard]] std::vector<accepted_entry> all() const;
    [[nodiscard]] std::int64_t revision() const { return revision_; }
    [[nodiscard]] std::string preset_in_force() const;

    /// Judges a change against the book as it stands; the book stays as it is.
    [[nodiscard]] verdict judge(const proposal& wanted, const actor& by) const;

    void apply(accepted_entry entry);                                         // must follow revision()
    void replace(std::int64_t revision, std::vector<accepted_entry> entries); // by a snapshot

private:
    [[nodiscard]] std::vector<config::fault> references_missing(const std::string& key,
                                                                const std::string& value) const;
    [[nodiscard]] std::vector<config::fault> users_of(const std::string& key) const;
    [[nodiscard]] bool allowed(const std::string& key, const std::string& value, const actor& by) const;
    [[nodiscard]] bool owned_by(const std::string& key, const actor& by) const;
    [[nodiscard]] const accepted_entry* created_by(const std::string& kind,
                                                   const std::string& creation) const;

    std::map<std::string, entry_ptr> entries_; // by key; deleted ones are gone
    std::int64_t revision_ = 0;
};

/// "<kind>" of a key.
[[nodiscard]] std::string kind_of(const std::string& key);
/// Letters, digits, '.', '_' and '-', at most 63, first a letter or digit.
[[nodiscard]] bool is_name(std::string_view text);

} // namespace waxwinglb::core::acceptance
