#include "programs/admin/answers.hpp"

namespace waxwinglb::programs::admin {

using core::acceptance::verdict_kind;
using nlohmann::json;

namespace {

std::string dump(const json& body) {
    return body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

} // namespace

void respond_json(const edge::exchange_ptr& exchange, int status, const json& body,
                  std::vector<edge::http_field> headers) {
    headers.push_back({"Content-Type", "application/json"});
    exchange->respond({status, std::move(headers), dump(body)});
}

void refuse(const edge::exchange_ptr& exchange, const problem& why, std::vector<edge::http_field> headers) {
    json body{{"code", why.code}, {"status", why.status}, {"title", why.title}, {"accepted", why.accepted}};
    for (const core::config::fault& fault : why.faults)
        body["faults"].push_back({{"pointer", fault.pointer}, {"expected", fault.expected}});
    if (why.status == 503)
        headers.push_back({"Retry-After", "1"});
    headers.push_back({"Content-Type", "application/problem+json"});
    exchange->respond({why.status, std::move(headers), dump(body)});
}

problem problem_of(const std::string& key, const core::acceptance::verdict& result) {
    switch (result.kind) {
    case verdict_kind::accepted:
    case verdict_kind::unchanged:
    case verdict_kind::repeated:
        return {0, {}, {}, {}, {}};
    case verdict_kind::absent:
        return {404, "not_found", "There is no " + key + "; nothing was changed.", {}};
    case verdict_kind::exists:
        return {409, "exists", key + " exists already.", {}};
    case verdict_kind::condition_failed:
        return {412, "changed_meanwhile", key + " was changed meanwhile; read it again.", {}};
    case verdict_kind::invalid:
        return {422, "invalid", "The value of " + key + " has faults.", result.faults};
    case verdict_kind::in_use:
        return {409, "in_use", key + " is in use.", result.faults};
    case verdict_kind::forbidden:
        return {403, "forbidden", "This operator may not change " + key + ".", {}};
    }
    return {500, "internal", "The change could not be judged.", {}};
}

problem problem_of(submit_outcome outcome) {
    switch (outcome) {
    case submit_outcome::accepted:
    case submit_outcome::judged:
        return {0, {}, {}, {}, {}};
    case submit_outcome::too_large:
        return {413, "too_large", "Changes that belong together may have 400 KB.", {}};
    case submit_outcome::unavailable:
        return {503, "store_unavailable", "The store is out of reach; the change was not accepted.", {}};
    case submit_outcome::unconfirmed:
        return {503,
                "not_an_acceptor",
                "Not every other acceptor knows this process yet; the change was not accepted.",
                {}};
    case submit_outcome::unknown:
        return {504,
                "outcome_unknown",
                "The store did not say whether it took the change; read it again.",
                {},
                "unknown"};
    }
    return {500, "internal", "The change could not be handed in.", {}};
}

std::string entity_tag(std::int64_t revision) {
    return "\"" + std::to_string(revision) + "\"";
}

} // namespace waxwinglb::programs::admin
