/// The store's configuration objects as an acceptor writes them: config/head, the parts of a snapshot, and
/// the sealed audit trail. Readers of the configuration feed use only revision, base, parts and each entry's
/// key and value.
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
constexpr std::size_t max_tail_entries = 200;        // entries after the snapshot; more are compacted first
constexpr std::size_t max_tail_bytes = 512U << 10U;  // likewise, in bytes
constexpr std::size_t max_batch_bytes = 400U << 10U; // of one write; fits into the head with a full tail
constexpr std::size_t max_part_bytes = 512U << 10U;  // entries of one part of a snapshot

/// Author and owner of a change, stored with it.
struct origin {
    std::string operator_name; // author of the change
    std::string team;          // owner of the entry: its creator's team
    std::int64_t unix_ms = 0;  // submission time
    std::string creation;      // digest of the creation's Idempotency-Key; empty if none was sent
};

struct accepted_entry {
    config::change change;
    origin from;
};

struct snapshot_location {
    std::int64_t base = 0; // revision of the snapshot; 0: no snapshot
    int parts = 0;
};

struct head_document {
    std::int64_t revision = 0;                   // newest accepted change
    snapshot_location snapshot;                  // state before `entries`
    snapshot_location previous;                  // kept for readers that are still fetching it
    std::map<std::string, std::int64_t> batches; // last batch by acceptor; shows if a lost write took effect
    std::vector<accepted_entry> entries;         // snapshot.base + 1 ... revision
};

[[nodiscard]] std::string encode(const head_document& document);
[[nodiscard]] std::optional<head_document> decode_head(std::string_view text); // nullopt: malformed

/// Splits the entries into parts of about max_part_bytes each; returns at least one part.
[[nodiscard]] std::vector<std::string> encode_parts(const std::vector<accepted_entry>& entries);
[[nodiscard]] std::optional<std::vector<accepted_entry>> decode_part(std::string_view text);

/// One operator's change in the audit trail.
struct audit_record {
    accepted_entry entry;
    std::string before; // replaced value; empty if none
};
/// JSON list for audit/FIRST-LAST. Omits the replaced values if the object would exceed max_object_bytes.
[[nodiscard]] std::string encode_audit(const std::vector<audit_record>& records);

[[nodiscard]] std::string head_key();
[[nodiscard]] std::string part_key(std::int64_t base, int part); // part counts from 0
[[nodiscard]] std::string audit_key(std::int64_t first, std::int64_t last);

/// True if the entries must be compacted into a new snapshot before the next batch.
[[nodiscard]] bool needs_compaction(const head_document& document);

} // namespace waxwinglb::core::acceptance
