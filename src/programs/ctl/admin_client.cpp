#include "programs/ctl/admin_client.hpp"

#include <future>

namespace waxwinglb::programs::ctl {
namespace {
constexpr core::common::milliseconds call_timeout{15'000}; // longer than the API waits for the store's answer
constexpr core::common::milliseconds page_timeout{3'000};
} // namespace

edge::client_result admin_client::exchange(edge::client_request request) {
    std::promise<edge::client_result> done;
    auto answer = done.get_future();
    client_.send(std::move(request),
                 [&done](edge::client_result&& result) { done.set_value(std::move(result)); });
    return answer.get();
}

api_answer admin_client::call(const std::string& method, const std::string& path,
                              const std::optional<nlohmann::json>& body,
                              std::vector<edge::http_field> headers) {
    edge::client_request request;
    request.method = method;
    request.url = "http://" + address_ + path;
    request.headers = std::move(headers);
    request.headers.push_back({"Authorization", "Bearer " + token_});
    if (body) {
        request.headers.push_back({"Content-Type", "application/json"});
        request.body = body->dump();
    }
    request.timeout = call_timeout;
    request.send_once = true;
    const edge::client_result result = exchange(std::move(request));
    api_answer out;
    if (result.outcome != edge::client_outcome::answered) {
        out.maybe_applied = result.outcome == edge::client_outcome::interrupted && method != "GET";
        out.error = core::common::describe(result.why);
        return out;
    }
    out.status = result.status;
    out.body = nlohmann::json::parse(result.body, nullptr, false);
    for (const edge::http_field& field : result.headers)
        if (field.name == "etag")
            out.entity_tag = field.value;
    return out;
}

std::optional<std::string> admin_client::page(const std::string& address, const std::string& path) {
    edge::client_request request;
    request.url = "http://" + address + path;
    request.timeout = page_timeout;
    edge::client_result result = exchange(std::move(request));
    if (result.outcome != edge::client_outcome::answered || result.status != 200)
        return std::nullopt;
    return std::move(result.body);
}

} // namespace waxwinglb::programs::ctl
