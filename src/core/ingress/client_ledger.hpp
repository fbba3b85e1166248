/// Accounts for the memory that clients' connections hold, against one budget of the process, and decides
/// which connections wait, are closed or are refused when it is short.
///
/// Amounts are upper bounds of the real memory: copies and the overhead of many small fields count. What is
/// already held is recorded without a condition (hold()); larger amounts are granted before the memory is
/// used (reserve()), so that a connection with a granted amount can always finish and the others wait without
/// holding it. Only a large answer of unknown length grows while it holds, so such answers may use more of
/// the budget than requests.
#pragma once

#include "core/common/time.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace waxwinglb::core::ingress {

using connection_id = std::uint64_t;
using peer_address = std::uint32_t; // IPv4, host byte order

struct ledger_limits {
    std::size_t memory = 960'000'000;             // bytes that all clients together may hold
    std::size_t connections = 900;                // of clients
    common::milliseconds progress_timeout{2'000}; // of a peer, while the budget is short
    bool operator==(const ledger_limits&) const = default;
};

/// Amounts up to this are never made to wait. The memory beyond large_share() is left for them.
inline constexpr std::size_t small_amount = 64U << 10U;
/// Cost of a connection without a request: session, parser, handlers and the reactor's entry.
inline constexpr std::size_t connection_cost = 4U << 10U;
/// A peer that sends or takes fewer bytes a second counts as one that makes no progress: otherwise one byte
/// now and then would keep its memory for ever. The slowest links in use carry more.
inline constexpr std::size_t least_bytes_per_second = 4'000;

enum class part : std::uint8_t {
    request, // head, fields and body of the request that is read or open, and requests read ahead
    answer,  // of the open request, received but not yet passed on
    unread,  // answer bytes that the peer has not taken
    count
};

enum class phase : std::uint8_t {
    idle,    // no byte of a request has been received
    reading, // a part of a request
    open,    // a whole request: waits, runs or is being answered
    closing, // the last answer is being sent
};

class client_ledger {
public:
    explicit client_ledger(const ledger_limits& limits) : limits_(limits) {}
    void change_limits(const ledger_limits& limits) { limits_ = limits; }

    // Connections and their phases.
    connection_id open(peer_address peer, common::time_point now);
    void close(connection_id id);
    void enter(connection_id id, phase next, common::time_point now);
    void note_received(connection_id id, std::size_t bytes, common::time_point now);
    /// `taken`: bytes of answers that the peer has acknowledged since the connection began.
    void note_taken(connection_id id, std::uint64_t taken, common::time_point now);

    // Memory.
    void hold(connection_id id, part what, std::size_t bytes);
    /// Raises a part to `bytes` if there is room. Otherwise the connection waits, and take_granted() names it
    /// later; the part then stands at `bytes`. A repeated call replaces the earlier amount.
    [[nodiscard]] bool reserve(connection_id id, part what, std::size_t bytes, common::time_point now);
    void stop_waiting(connection_id id);
    [[nodiscard]] bool waits(connection_id id) const;
    /// Waiting connections for which there is room now, from the address that holds least; their amounts are
    /// granted.
    [[nodiscard]] std::vector<connection_id> take_granted();

    // Decisions.
    [[nodiscard]] bool is_short() const { return waiting_ > 0 || held_ > large_share(); }
    [[nodiscard]] bool exhausted() const { return held_ > limits_.memory; }
    /// Takes note of whether the budget is short; call it regularly.
    void observe(common::time_point now);
    /// While the budget is short: a connection whose peer has made no progress for the progress timeout, from
    /// the address that holds most.
    [[nodiscard]] std::optional<connection_id> choose_stalled(common::time_point now) const;
    /// Connections whose request has waited for room for the progress timeout and has not begun to run.
    [[nodiscard]] std::vector<connection_id> overdue_requests(common::time_point now) const;
    [[nodiscard]] bool full() const { return entries_.size() >= limits_.connections; }
    /// The connection to close in favour of a new one: the one that has been idle or half-read longest; if
    /// there is none, one whose peer takes no bytes of its answer. `usable` is asked before one is chosen.
    [[nodiscard]] std::optional<connection_id>
    choose_evicted(common::time_point now, const std::function<bool(connection_id)>& usable) const;

    // State.
    struct address_use {
        std::size_t connections = 0;
        std::size_t bytes = 0;
    };
    [[nodiscard]] std::size_t held() const { return held_; }
    [[nodiscard]] std::size_t held_by(connection_id id) const;
    [[nodiscard]] std::size_t connections() const { return entries_.size(); }
    [[nodiscard]] std::size_t waiting() const { return waiting_; }
    [[nodiscard]] address_use use_of(peer_address peer) const;
    [[nodiscard]] peer_address peer_of(connection_id id) const;
    [[nodiscard]] std::size_t small_reserve() const { return limits_.memory / 4; }
    [[nodiscard]] std::size_t large_share() const { return limits_.memory - small_reserve(); }

private:
    struct entry {
        peer_address peer = 0;
        phase now = phase::idle;
        common::time_point since{}; // of the phase
        common::time_point last_received{};
        std::size_t received = 0; // bytes of the request being read
        std::array<std::size_t, static_cast<std::size_t>(part::count)> parts{};
        std::size_t held = connection_cost; // with all parts
        std::optional<part> waits_for;
        std::size_t wanted = 0; // amount of that part
        common::time_point waits_since{};
        std::uint64_t taken = 0;        // bytes that the peer has acknowledged
        std::uint64_t taken_before = 0; // when the watch began
        common::time_point
            watched_since{}; // the peer's reading, while the budget is short; default: not watched
        common::time_point last_taken{};
    };
    using entry_map = std::unordered_map<connection_id, entry>;

    [[nodiscard]] bool has_room(const entry& of, part what, std::size_t bytes) const;
    void set(entry& of, part what, std::size_t bytes);
    void clear_wait(entry& of);
    [[nodiscard]] static common::time_point progress_until(common::time_point begun, std::size_t bytes,
                                                           common::time_point last);
    /// When the peer last made the progress that it owes; nullopt if it owes none.
    [[nodiscard]] static std::optional<common::time_point> owes_since(const entry& of);

    ledger_limits limits_;
    entry_map entries_;
    std::unordered_map<peer_address, address_use> addresses_;
    std::size_t held_ = 0;
    std::size_t waiting_ = 0;
    connection_id last_id_ = 0;
    common::time_point short_since_{}; // default: not short
};

} // namespace waxwinglb::core::ingress
