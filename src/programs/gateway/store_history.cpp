#include "programs/gateway/store_history.hpp"

namespace waxwinglb::programs::gateway {
namespace {

using verdict = core::membership::store_eras::verdict;

std::string describe_outdated(std::int64_t era, std::int64_t newest) {
    return "the answer is of era " + std::to_string(era) + ", the newest is " + std::to_string(newest);
}

} // namespace

void store_history::note(platform::store_reply& reply, const char* call) {
    // Without an answer the era is not known; a refusal may come from a part of the platform that states
    // none.
    if (!reply.store_answered())
        return;
    const std::int64_t before = eras_.newest();
    switch (eras_.observe(reply.at.era)) {
    case verdict::current:
        return;
    case verdict::outdated:
        reply.result = platform::store_result::unknown;
        reply.objects.clear();
        reply.why = {std::string{"store "} + call, "", describe_outdated(reply.at.era, before)};
        return;
    case verdict::first:
        first_era_ = reply.at.era;
        metrics_.store_era.Set(static_cast<double>(reply.at.era));
        return callbacks_.on_first_answer();
    case verdict::risen:
        metrics_.store_era.Set(static_cast<double>(reply.at.era));
        log_.write(edge::events::store_restored, std::to_string(reply.at.era),
                   {{"before", before}, {"call", call}});
        return callbacks_.on_restored();
    }
}

} // namespace waxwinglb::programs::gateway
