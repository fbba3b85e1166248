#include "core/ingress/client_ledger.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace waxwinglb::core::ingress {
namespace {

using common::time_point;

} // namespace

connection_id client_ledger::open(peer_address peer, time_point now) {
    const connection_id id = ++last_id_;
    entry& made = entries_[id];
    made.peer = peer;
    made.since = now;
    auto& use = addresses_[peer];
    ++use.connections;
    use.bytes += connection_cost;
    held_ += connection_cost;
    return id;
}

void client_ledger::close(connection_id id) {
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    entry& closed = found->second;
    clear_wait(closed);
    held_ -= closed.held;
    const auto use = addresses_.find(closed.peer);
    use->second.bytes -= closed.held;
    if (--use->second.connections == 0)
        addresses_.erase(use);
    entries_.erase(found);
}

void client_ledger::enter(connection_id id, phase next, time_point now) {
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    entry& of = found->second;
    of.now = next;
    of.since = now;
    of.last_received = now;
    of.received = 0;
}

void client_ledger::note_received(connection_id id, std::size_t bytes, time_point now) {
    const auto found = entries_.find(id);
    if (found == entries_.end() || bytes == 0)
        return;
    found->second.received += bytes;
    found->second.last_received = now;
}

void client_ledger::note_taken(connection_id id, std::uint64_t taken, time_point now) {
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    entry& of = found->second;
    if (of.watched_since == time_point{} || of.watched_since < short_since_) {
        of.watched_since = of.last_taken = now;
        of.taken_before = of.taken = taken;
    } else if (taken > of.taken) {
        of.taken = taken;
        of.last_taken = now;
    }
}

void client_ledger::set(entry& of, part what, std::size_t bytes) {
    std::size_t& amount = of.parts[static_cast<std::size_t>(what)];
    const std::size_t before = amount;
    amount = bytes;
    of.held = of.held - before + bytes;
    held_ = held_ - before + bytes;
    auto& use = addresses_[of.peer];
    use.bytes = use.bytes - before + bytes;
}

void client_ledger::hold(connection_id id, part what, std::size_t bytes) {
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    entry& of = found->second;
    if (of.waits_for == what)
        clear_wait(of);
    if (what == part::unread && bytes == 0)
        of.watched_since = {};
    set(of, what, bytes);
}

bool client_ledger::has_room(const entry& of, part what, std::size_t bytes) const {
    const std::size_t before = of.parts[static_cast<std::size_t>(what)];
    if (bytes <= before || bytes <= small_amount)
        return true;
    // Answers to requests that run may use half of what is left for small requests: otherwise requests that
    // wait for room for their answers could hold all of it.
    const std::size_t share = what == part::answer ? limits_.memory - small_reserve() / 2 : large_share();
    return held_ - before + bytes <= share;
}

bool client_ledger::reserve(connection_id id, part what, std::size_t bytes, time_point now) {
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return false;
    entry& of = found->second;
    if (has_room(of, what, bytes)) {
        clear_wait(of);
        set(of, what, bytes);
        return true;
    }
    if (!of.waits_for) {
        ++waiting_;
        of.waits_since = now;
    }
    of.waits_for = what;
    of.wanted = bytes;
    return false;
}

void client_ledger::clear_wait(entry& of) {
    if (!of.waits_for)
        return;
    of.waits_for.reset();
    of.wanted = 0;
    --waiting_;
}

void client_ledger::stop_waiting(connection_id id) {
    if (const auto found = entries_.find(id); found != entries_.end())
        clear_wait(found->second);
}

bool client_ledger::waits(connection_id id) const {
    const auto found = entries_.find(id);
    return found != entries_.end() && found->second.waits_for.has_value();
}

std::vector<connection_id> client_ledger::take_granted() {
    std::vector<connection_id> out;
    if (waiting_ == 0)
        return out;
    std::vector<connection_id> order;
    for (const auto& [id, of] : entries_)
        if (of.waits_for)
            order.push_back(id);
    std::sort(order.begin(), order.end(), [this](connection_id a, connection_id b) {
        const entry& first = entries_.at(a);
        const entry& second = entries_.at(b);
        const std::size_t first_use = addresses_.at(first.peer).bytes;
        const std::size_t second_use = addresses_.at(second.peer).bytes;
        return std::tie(first_use, first.waits_since, a) < std::tie(second_use, second.waits_since, b);
    });
    for (const connection_id id : order) {
        entry& of = entries_.at(id);
        if (!has_room(of, *of.waits_for, of.wanted))
            continue;
        set(of, *of.waits_for, of.wanted);
        clear_wait(of);
        out.push_back(id);
    }
    return out;
}

void client_ledger::observe(time_point now) {
    if (!is_short())
        short_since_ = {};
    else if (short_since_ == time_point{})
        short_since_ = now;
}

time_point client_ledger::progress_until(time_point begun, std::size_t bytes, time_point last) {
    const auto credit = std::chrono::milliseconds{bytes * 1'000 / least_bytes_per_second};
    return std::min(last, begun + credit);
}

std::optional<time_point> client_ledger::owes_since(const entry& of) {
    if (of.now == phase::reading && !of.waits_for)
        return progress_until(of.since, of.received, of.last_received);
    const bool unread = of.parts[static_cast<std::size_t>(part::unread)] > 0;
    if (unread && of.watched_since != time_point{})
        return progress_until(of.watched_since, static_cast<std::size_t>(of.taken - of.taken_before),
                              of.last_taken);
    return std::nullopt;
}

std::optional<connection_id> client_ledger::choose_stalled(time_point now) const {
    if (short_since_ == time_point{} || !is_short())
        return std::nullopt;
    std::optional<connection_id> best;
    std::pair<std::size_t, std::size_t> most{};
    for (const auto& [id, of] : entries_) {
        const auto since = owes_since(of);
        // A peer that was slow before the budget became short has the whole timeout from then on.
        if (!since || now - std::max(*since, short_since_) < limits_.progress_timeout)
            continue;
        const std::pair rank{addresses_.at(of.peer).bytes, of.held};
        if (!best || rank > most || (rank == most && id < *best)) {
            best = id;
            most = rank;
        }
    }
    return best;
}

std::vector<connection_id> client_ledger::overdue_requests(time_point now) const {
    std::vector<connection_id> out;
    if (waiting_ == 0)
        return out;
    for (const auto& [id, of] : entries_)
        if (of.waits_for && of.now == phase::reading && now - of.waits_since >= limits_.progress_timeout)
            out.push_back(id);
    std::sort(out.begin(), out.end());
    return out;
}

std::optional<connection_id>
client_ledger::choose_evicted(time_point now, const std::function<bool(connection_id)>& usable) const {
    struct candidate {
        bool last_resort; // its peer has a whole answer coming, but doesn't take it
        time_point since;
        connection_id id;
        [[nodiscard]] auto rank() const { return std::tie(last_resort, since, id); }
    };
    std::vector<candidate> candidates;
    for (const auto& [id, of] : entries_) {
        const bool unread = of.parts[static_cast<std::size_t>(part::unread)] > 0;
        if (unread) {
            if (const auto since = owes_since(of);
                of.now != phase::reading && since && now - *since >= limits_.progress_timeout)
                candidates.push_back({true, *since, id});
        } else if (of.now == phase::idle) {
            candidates.push_back({false, of.since, id});
        } else if (of.now == phase::reading) {
            candidates.push_back({false, progress_until(of.since, of.received, of.last_received), id});
        } else if (of.now == phase::closing) {
            candidates.push_back({true, of.since, id});
        }
    }
    // A heap, as the first candidate is nearly always usable and a crowd causes many calls.
    const auto later = [](const candidate& a, const candidate& b) { return a.rank() > b.rank(); };
    std::make_heap(candidates.begin(), candidates.end(), later);
    while (!candidates.empty()) {
        if (usable(candidates.front().id))
            return candidates.front().id;
        std::pop_heap(candidates.begin(), candidates.end(), later);
        candidates.pop_back();
    }
    return std::nullopt;
}

std::size_t client_ledger::held_by(connection_id id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? 0 : found->second.held;
}

client_ledger::address_use client_ledger::use_of(peer_address peer) const {
    const auto found = addresses_.find(peer);
    return found == addresses_.end() ? address_use{} : found->second;
}

peer_address client_ledger::peer_of(connection_id id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? 0 : found->second.peer;
}

} // namespace waxwinglb::core::ingress
