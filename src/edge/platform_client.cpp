#include "edge/platform_client.hpp"

#include "edge/http_reader.hpp"

#include <nlohmann/json.hpp>

namespace waxwinglb::edge {
namespace {

using core::common::milliseconds;
using core::common::store_position;
using nlohmann::json;

constexpr int status_precondition_failed = 412;
constexpr int status_too_large = 413;

/// Returns the position in an entity tag such as "17" or "2.17"; none without a valid ETag header.
store_position version_of(const std::vector<http_field>& headers) {
    const std::string* tag = find_field(headers, "etag");
    if (tag == nullptr || tag->size() < 2)
        return {};
    return core::common::parse_store_position(std::string_view{*tag}.substr(1, tag->size() - 2))
        .value_or(store_position{});
}

std::string make_tag(const store_position& version) {
    return '"' + core::common::to_text(version) + '"';
}

store_outcome outcome_of(const client_result& result, bool writes) {
    if (result.outcome == client_outcome::not_sent)
        return store_outcome::unavailable;
    if (result.outcome == client_outcome::answered) {
        if (result.status == 304)
            return store_outcome::unchanged;
        if (result.status >= 200 && result.status < 300)
            return store_outcome::ok;
        if (result.status == 404)
            return store_outcome::absent;
        if (result.status == status_precondition_failed)
            return store_outcome::conflict;
        if (result.status == status_too_large)
            return store_outcome::too_large;
    }
    return writes ? store_outcome::unknown : store_outcome::unavailable;
}

std::string string_field(const json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

/// A listed object's version: a number in era 0, "ERA.REVISION" in others.
std::optional<store_position> decode_version(const json& item) {
    const auto found = item.find("version");
    if (found != item.end() && found->is_number_integer())
        return store_position{0, found->get<std::int64_t>()};
    return core::common::parse_store_position(string_field(item, "version"));
}

} // namespace

std::optional<std::vector<listed_object>> decode_objects(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_array())
        return std::nullopt;
    std::vector<listed_object> out;
    for (const json& item : parsed) {
        const auto version = item.is_object() ? decode_version(item) : std::nullopt;
        if (!version)
            return std::nullopt;
        out.push_back({string_field(item, "key"), *version});
    }
    return out;
}

std::optional<std::vector<listed_vm>> decode_vms(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_array())
        return std::nullopt;
    std::vector<listed_vm> out;
    for (const json& item : parsed) {
        if (!item.is_object())
            return std::nullopt;
        out.push_back({string_field(item, "vm"), string_field(item, "data_centre"),
                       string_field(item, "role"), string_field(item, "service"),
                       string_field(item, "address"), string_field(item, "state") == "leaving"});
    }
    return out;
}

platform_client::platform_client(http_client& client, const std::string& address, milliseconds timeout)
    : client_(client), base_("http://" + address), timeout_(timeout) {}

client_request platform_client::make_request(const std::string& method, const std::string& path) const {
    client_request out;
    out.method = method;
    out.url = base_ + path;
    out.timeout = timeout_;
    return out;
}

void platform_client::send(client_request request, on_answer done) {
    const bool writes = request.method == "PUT" || request.method == "DELETE";
    const std::string peer = request.url;
    client_.send(std::move(request), [done = std::move(done), writes, peer](client_result&& result) {
        store_answer out;
        out.outcome = outcome_of(result, writes);
        out.version = version_of(result.headers);
        if (!out.store_answered())
            out.why = result.outcome == client_outcome::answered
                          ? core::common::error{writes ? "store.write" : "store.read", peer,
                                                "status " + std::to_string(result.status)}
                          : result.why;
        out.body = std::move(result.body);
        done(std::move(out));
    });
}

void platform_client::read(const std::string& key, on_answer done) {
    send(make_request("GET", "/objects/" + key), std::move(done));
}

void platform_client::watch(const std::string& key, store_position version, milliseconds wait,
                            on_answer done) {
    client_request request =
        make_request("GET", "/objects/" + key + "?watch=" + core::common::to_text(version) +
                                "&wait_ms=" + std::to_string(wait.count()));
    request.timeout = timeout_ + wait;
    send(std::move(request), std::move(done));
}

void platform_client::list(const std::string& prefix, on_answer done) {
    send(make_request("GET", "/objects?prefix=" + prefix), std::move(done));
}

void platform_client::put(const std::string& key, store_position if_version, std::string body,
                          on_answer done) {
    client_request request = make_request("PUT", "/objects/" + key);
    request.headers.push_back(if_version.revision == 0 ? http_field{"If-None-Match", "*"}
                                                       : http_field{"If-Match", make_tag(if_version)});
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = std::move(body);
    send(std::move(request), std::move(done));
}

void platform_client::remove(const std::string& key, store_position if_version, on_answer done) {
    client_request request = make_request("DELETE", "/objects/" + key);
    request.headers.push_back({"If-Match", make_tag(if_version)});
    send(std::move(request), std::move(done));
}

void platform_client::vms(on_answer done) {
    send(make_request("GET", "/vms"), std::move(done));
}

} // namespace waxwinglb::edge
