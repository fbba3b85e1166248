/// Answers as they come from the target: pieces, ends, broken streams.
#pragma once

#include "programs/agent/state.hpp"

namespace waxwinglb::programs::agent {

void take_data(state& all, target_data&& data, time_point now);
void take_done(state& all, target_done&& done, time_point now);
/// The target was seen up with the same boot by this probe: takes broken streams up again, or ends them.
void settle_broken(state& all, std::uint64_t probe, time_point now);

} // namespace waxwinglb::programs::agent
