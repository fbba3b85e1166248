/// Hybrid logical clock: orders events across processes. Not for deadlines, leases or expiry.
#pragma once

#include <atomic>
#include <cstdint>

namespace waxwinglb::edge {

/// Stamps: the upper 48 bits are Unix milliseconds, the lower 16 a counter. Each tick and each observed
/// message advances the clock.
class hybrid_clock {
public:
    /// The clock of this process, which stamps every frame and timeline event.
    static hybrid_clock& process();

    std::int64_t tick();              // returns a stamp above all earlier and observed ones
    void observe(std::int64_t stamp); // advances to a peer's stamp; ignores a stamp too far ahead

private:
    std::atomic<std::int64_t> last_{0};
};

} // namespace waxwinglb::edge
