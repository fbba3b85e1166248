/// Hybrid logical clock: orders events over processes; never used for deadlines, leases or expiry.
#pragma once

#include <atomic>
#include <cstdint>

namespace waxwinglb::edge {

/// Upper 48 bits: Unix milliseconds; lower 16: a counter. Rises with each tick and each observed message.
class hybrid_clock {
public:
    /// The process's one clock, stamped into every frame and event.
    static hybrid_clock& process();

    std::int64_t tick();             // next stamp, above all earlier and observed ones
    void observe(std::int64_t seen); // takes in a peer's stamp; one too far ahead is ignored

private:
    std::atomic<std::int64_t> last_{0};
};

} // namespace waxwinglb::edge
