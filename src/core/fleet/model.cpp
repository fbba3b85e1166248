#include "core/fleet/model.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace waxwinglb::core::fleet {
namespace {

/// Host names compare without case and without the port.
std::string normal_host(std::string_view host) {
    std::string result{host.substr(0, host.find(':'))};
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

} // namespace

void config::index_routes() {
    routes_by_host_.clear();
    for (std::size_t at = 0; at < routes.size(); ++at)
        routes_by_host_[normal_host(routes[at].host)].push_back(at);
    for (auto& [host, places] : routes_by_host_)
        std::stable_sort(places.begin(), places.end(), [&](std::size_t a, std::size_t b) {
            return routes[a].path_prefix.size() > routes[b].path_prefix.size();
        });
}

const route* config::find_route(std::string_view host, std::string_view path) const {
    const auto found = routes_by_host_.find(normal_host(host));
    if (found == routes_by_host_.end())
        return nullptr;
    const auto match = std::find_if(found->second.begin(), found->second.end(),
                                    [&](std::size_t at) { return path.starts_with(routes[at].path_prefix); });
    return match == found->second.end() ? nullptr : &routes[*match];
}

const service* config::find_service(const std::string& name) const {
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

const customer* config::owner_of(const std::string& key) const {
    const auto owner = key_owner.find(key);
    if (owner == key_owner.end())
        return nullptr;
    const auto found = customers.find(owner->second);
    return found == customers.end() ? nullptr : &found->second;
}

model_ref parse_model_ref(std::string_view text) {
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return {std::string{text}, {}};
    return {std::string{text.substr(0, slash)}, std::string{text.substr(slash + 1)}};
}

std::string to_text(const model_ref& ref) {
    std::string text = ref.model;
    if (!ref.adapter.empty())
        text.append("/").append(ref.adapter);
    return text;
}

bool offers(const engine_spec& engine, const model_ref& ref) {
    const auto model = engine.models.find(ref.model);
    if (model == engine.models.end())
        return false;
    if (ref.adapter.empty())
        return true;
    const char* end = ref.adapter.data() + ref.adapter.size();
    int number = 0;
    const auto [stop, failure] = std::from_chars(ref.adapter.data() + 1, end, number);
    return ref.adapter.front() == 'a' && failure == std::errc{} && stop == end && number >= 1 &&
           number <= model->second.adapters;
}

} // namespace waxwinglb::core::fleet
