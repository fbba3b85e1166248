/// Idempotency claims of calls that may run at most once, as kept in the platform's store.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglb::core::claims {

enum class claim_state {
    running, // granted; no outcome reported yet
    done,    // ran; status and answer are known
    not_run, // certainly not run; the key may be claimed again
    unknown, // may have run
};

struct claim {
    std::string key;         // membership::claim_name of service, customer and the caller's key
    std::string fingerprint; // of the request's body
    std::string request_id;  // owner of the claim
    int attempt = 0;         // attempt number of that request
    std::string target;      // where it runs
    std::string address;     // of that target's agent
    claim_state state = claim_state::running;
    int status = 0;                      // of the answer, once done
    std::string content_type;            // of the answer
    std::string answer;                  // empty if larger than max_kept_answer; the agent may still have it
    std::int64_t expires_unix_ms = 0;    // end of the time in which the request may run, set by its router
    std::int64_t kept_until_unix_ms = 0; // the record may be deleted from then on

    [[nodiscard]] bool same_request(const claim& other) const {
        return request_id == other.request_id && attempt == other.attempt;
    }
};

constexpr std::size_t max_kept_answer = 16U << 10U; // bytes

/// Object claims/SHARD/head: the newest records, and the names of the sealed segments before them.
struct log_head {
    std::int64_t next_segment = 1;
    std::vector<std::int64_t> segments;   // oldest first
    std::map<std::string, claim> records; // by key
};

[[nodiscard]] const char* name_of(claim_state state);
[[nodiscard]] std::optional<claim_state> state_of(std::string_view name);
[[nodiscard]] std::string encode(const log_head& head);
[[nodiscard]] std::optional<log_head> decode_log_head(std::string_view text); // nullopt: malformed
/// Object claims/SHARD/SEQUENCE: a sealed segment, whose records never change.
[[nodiscard]] std::string encode_segment(const std::map<std::string, claim>& records);
[[nodiscard]] std::optional<std::map<std::string, claim>> decode_segment(std::string_view text);
[[nodiscard]] std::size_t size_of(const claim& record); // approximate encoded size, bytes
[[nodiscard]] std::string head_key(int shard);
[[nodiscard]] std::string segment_key(int shard, std::int64_t segment);

} // namespace waxwinglb::core::claims
