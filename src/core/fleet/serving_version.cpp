#include "core/fleet/serving_version.hpp"

namespace waxwinglb::core::fleet {

serving_version version_at(const target_entry& target, const model_ref& ref) {
    serving_version out;
    out.software = target.software_version;
    if (const auto weights = target.versions.weights.find(ref.model);
        weights != target.versions.weights.end())
        out.weights = weights->second;
    if (const auto adapter = target.versions.adapters.find(ref); adapter != target.versions.adapters.end())
        out.adapter = adapter->second;
    return out;
}

bool may_continue(const serving_version& begun, const serving_version& other) {
    const bool same_weights = !begun.weights || !other.weights || *begun.weights == *other.weights;
    const bool same_adapter =
        begun.adapter.empty() || other.adapter.empty() || begun.adapter == other.adapter;
    return begun.software == other.software && same_weights && same_adapter;
}

serving_version completed(serving_version version, const serving_version& earlier) {
    if (!version.weights)
        version.weights = earlier.weights;
    if (version.adapter.empty())
        version.adapter = earlier.adapter;
    return version;
}

} // namespace waxwinglb::core::fleet
