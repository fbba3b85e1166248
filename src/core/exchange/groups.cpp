#include "core/exchange/groups.hpp"

#include "core/common/hash.hpp"

#include <algorithm>

namespace waxwinglb::core::exchange {
namespace {

constexpr std::size_t speaker_count = 2; // one may be lost

} // namespace

std::map<std::string, std::string> divide_into_groups(const gateway_places& gateways) {
    std::map<std::string, std::size_t> sizes; // by data centre
    for (const auto& [name, data_centre] : gateways)
        ++sizes[data_centre];
    std::map<std::string, std::string> out;
    for (const auto& [name, data_centre] : gateways) {
        if (data_centre.empty())
            continue;
        const std::size_t parts = (sizes[data_centre] + max_group - 1) / max_group;
        std::string group = data_centre;
        if (parts > 1)
            group.append("/").append(std::to_string(common::hash_of(name) % parts));
        out[name] = std::move(group);
    }
    return out;
}

std::vector<std::string> choose_speakers(const std::string& group, std::vector<candidate> members) {
    std::sort(members.begin(), members.end(), [&](const candidate& a, const candidate& b) {
        if (a.processor_share != b.processor_share)
            return a.processor_share > b.processor_share;
        return common::rendezvous_rank(a.name, group) > common::rendezvous_rank(b.name, group);
    });
    members.resize(std::min(members.size(), speaker_count));
    std::vector<std::string> out;
    for (candidate& member : members)
        out.push_back(std::move(member.name));
    return out;
}

bool repeats(const std::string& subject, const std::string& self, const std::vector<std::string>& speakers) {
    if (std::find(speakers.begin(), speakers.end(), self) == speakers.end())
        return true;
    return speakers[common::hash_of(subject) % speakers.size()] == self;
}

} // namespace waxwinglb::core::exchange
