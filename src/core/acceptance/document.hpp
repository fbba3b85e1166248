/// The store's configuration objects as an acceptor writes them: config/head, the parts of a snapshot, and
/// the sealed audit trail. Readers of the feed need only revision, base, parts and each entry's key and
/// value.
#pragma once

#include "core/config/replica.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglb::core::acceptance {

constexpr std::size_t max_object_bytes = 1'000'000;  // the store's limit for one value
constexpr std::size_t max_tail_entries = 200;        // a longer tail is compacted before the next change
constexpr std::size_t max_tail_bytes = 512U << 10U;  // likewise
constexpr std::size_t max_batch_bytes = 400U << 10U; // changes written together; fits beside a full tail
constexpr std::size_t max_part_bytes = 512U << 10U;  // entries of one part of a snapshot

/// Who made a change, kept with it.
struct origin {
    std::string operator_name; // who
    std::string team;          // that owns the object: its creator's
    std::int64_t unix_ms = 0;  // when it was handed in
    std::string creation;      // digest of the creation's Idempotency-Key; empty without
};

struct accepted_entry {
    config::change change;
    origin from;
};

struct snapshot_place {
    std::int64_t base = 0; // revision of the snapshot; 0: none
    int parts = 0;
};

struct head_document {
    std::int64_t revision = 0;                   // newest accepted change
    snapshot_place snapshot;                     // that the entries follow
    snapshot_place previous;                     // kept for readers that are still fetching it
    std::map<std::string, std::int64_t> batches; // last batch number of each acceptor: settles a lost answer
    std::vector<accepted_entry> entries;         // snapshot.base + 1 ... revision
};

[[nodiscard]] std::string encode(const head_document& document);
[[nodiscard]] std::optional<head_document> decode_head(std::string_view text); // nullopt: malformed

/// Splits the entries into values below max_part_bytes each; at least one.
[[nodiscard]] std::vector<std::string> encode_parts(const std::vector<accepted_entry>& entries);
[[nodiscard]] std::optional<std::vector<accepted_entry>> decode_part(std::string_view text);

/// One operator's change in the audit trail.
struct audit_record {
    accepted_entry entry;
    std::string before; // value that it replaced; empty if none
};
/// JSON list for audit/FIRST-LAST; leaves out earlier values if the object would grow past the limit.
[[nodiscard]] std::string encode_audit(const std::vector<audit_record>& records);

[[nodiscard]] std::string head_key();
[[nodiscard]] std::string part_key(std::int64_t base, int part); // part counts from 0
[[nodiscard]] std::string audit_key(std::int64_t first, std::int64_t last);

/// True if the next batch should go into a new tail behind a snapshot.
[[nodiscard]] bool needs_compaction(const head_document& document);

} // namespace waxwinglb::core::acceptance
