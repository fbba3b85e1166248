/// Client of the administration API; makes one call at a time.
#pragma once

#include "edge/http_client.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace waxwinglb::programs::ctl {

struct api_answer {
    int status = 0;         // 0: no complete answer
    std::string entity_tag; // of the entry; empty if the answer has none
    nlohmann::json body;
    bool maybe_applied = false; // no answer, but the call may have taken effect
    std::string error;          // set if status is 0

    [[nodiscard]] bool succeeded() const { return status >= 200 && status < 300; }
};

class admin_client {
public:
    admin_client(std::string address, std::string token)
        : address_(std::move(address)), token_(std::move(token)) {}

    api_answer call(const std::string& method, const std::string& path,
                    const std::optional<nlohmann::json>& body = std::nullopt,
                    std::vector<edge::http_field> headers = {});

    /// Fetches a page of any process, without the operator's token.
    std::optional<std::string> page(const std::string& address, const std::string& path);

private:
    edge::client_result exchange(edge::client_request request);

    std::string address_;
    std::string token_;
    edge::http_client client_;
};

} // namespace waxwinglb::programs::ctl
