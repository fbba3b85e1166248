#include "programs/gateway/admission.hpp"

#include "core/common/hash.hpp"
#include "platform/headers.hpp"

#include <charconv>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::duration;
using core::common::hash_of;
using core::common::milliseconds;

constexpr std::int64_t most_prompt_tokens = 1'000'000; // counted of one request
constexpr milliseconds later{1'000}; // Retry-After of a gateway that knows no configuration yet

/// The last part of a prompt's prefix names its session.
std::uint64_t session_of(const std::string& prefix) {
    const auto comma = prefix.rfind(',');
    const std::string_view last = std::string_view{prefix}.substr(comma == std::string::npos ? 0 : comma + 1);
    return hash_of(last.substr(0, last.find(':')));
}

/// What a request says of its size.
struct token_count {
    std::int64_t prompt = 0;
    std::int64_t most_output = 0;
};

/// Reads "PROMPT,MOST_OUTPUT"; nullopt if malformed.
std::optional<token_count> tokens_of(const std::string& text) {
    const auto comma = text.find(',');
    token_count out;
    if (comma == std::string::npos)
        return std::nullopt;
    const auto one = std::from_chars(text.data(), text.data() + comma, out.prompt);
    const auto two = std::from_chars(text.data() + comma + 1, text.data() + text.size(), out.most_output);
    if (one.ec != std::errc{} || two.ec != std::errc{} || out.prompt < 0 || out.most_output < 0)
        return std::nullopt;
    return out;
}

} // namespace

void admission::take(const std::shared_ptr<caller_session>& session, edge::wire_request&& request) {
    static const core::fleet::route no_route;
    auto one = std::make_shared<call>();
    one->session = session;
    one->request = std::move(request);
    one->config = context_.config;
    one->route = &no_route;
    one->arrived = context_.loop.now();
    one->deadline = one->arrived + later;
    calls_[session.get()] = one;
    if (const std::string* id = edge::find_field(one->request.fields, platform::request_id_header))
        one->request_id = *id;
    if (!one->config) {
        one->config = std::make_shared<const core::fleet::config>();
        return reject(one, 503, "no_configuration", later);
    }
    if (one->request_id.empty())
        return reject(one, 400, "no_request_id");
    // A request that comes late in a drain might outlast the process.
    if (context_.ending && context_.loop.now() - context_.ending_since > drain_accepts)
        return reject(one, 503, "ending", drain_retry_after);
    if (!find_route(one) || !identify_caller(one) || !read_deadline(one) || !charge(one))
        return;
    one->timer = context_.loop.schedule(one->deadline, [this, one] { forwarder_.deadline_passed(one); });
    dispatcher_.submit(one);
}

bool admission::find_route(const call_ptr& one) {
    const std::string* host = edge::find_field(one->request.fields, "Host");
    const auto* route = host == nullptr ? nullptr : one->config->find_route(*host, one->request.path());
    if (route == nullptr || route->destinations.empty()) {
        reject(one, 404, "no_route");
        return false;
    }
    one->route = route;
    one->priority = route->priority;
    int sum = 0;
    for (const auto& destination : route->destinations)
        sum += std::max(0, destination.weight);
    int place = sum > 0 ? static_cast<int>(hash_of(one->request_id) % static_cast<std::uint64_t>(sum)) : 0;
    for (const auto& destination : route->destinations) {
        place -= std::max(0, destination.weight);
        if (place < 0 || sum == 0) {
            one->service = destination.service;
            break;
        }
    }
    return true;
}

bool admission::identify_caller(const call_ptr& one) {
    if (one->route->open || one->config->customers.empty())
        return true;
    const std::string* key = edge::find_field(one->request.fields, platform::key_header);
    const auto* customer = key == nullptr ? nullptr : one->config->owner_of(*key);
    if (customer == nullptr) {
        reject(one, 401, key == nullptr ? "no_key" : "unknown_key");
        return false;
    }
    one->customer = customer->name;
    one->priority = customer->priority.value_or(one->priority);
    one->tokens = customer->tokens_without_count;
    return true;
}

bool admission::read_deadline(const call_ptr& one) {
    auto left = one->route->timeout;
    if (const std::string* text = edge::find_field(one->request.fields, platform::deadline_header)) {
        std::int64_t value = 0;
        const auto [end, failure] = std::from_chars(text->data(), text->data() + text->size(), value);
        if (failure != std::errc{} || end != text->data() + text->size()) {
            reject(one, 400, "malformed_deadline");
            return false;
        }
        left = std::min(left, milliseconds{value});
    }
    one->deadline = one->arrived + left;
    if (left.count() > 0)
        return true;
    reject(one, 503, "deadline_passed");
    return false;
}

/// Reads what the request asks for and takes its tokens from the customer's rate.
bool admission::charge(const call_ptr& one) {
    const auto& fields = one->request.fields;
    if (const std::string* model = edge::find_field(fields, platform::model_header))
        one->model = core::fleet::parse_model_ref(*model);
    const auto* service = one->config->find_service(one->service);
    if (service == nullptr || !service->engine)
        one->model = {};
    else if (!one->model.model.empty() && !core::fleet::offers(*service->engine, one->model)) {
        reject(one, 503, "unknown_model");
        return false;
    }
    if (const std::string* text = edge::find_field(fields, platform::tokens_header)) {
        const auto tokens = tokens_of(*text);
        if (!tokens) {
            reject(one, 400, "malformed_token_count");
            return false;
        }
        one->tokens = static_cast<double>(tokens->prompt) + static_cast<double>(tokens->most_output);
        one->prompt_tokens = static_cast<int>(std::min<std::int64_t>(tokens->prompt, most_prompt_tokens));
    }
    if (const std::string* prefix = edge::find_field(fields, platform::prefix_header);
        prefix && one->route->sticky)
        one->sticky_session = session_of(*prefix);
    one->fingerprint = hash_of(one->request.body, hash_of(one->request.target, hash_of(one->customer)));
    if (forwarder_.condemned(one->fingerprint)) {
        reject(one, 503, "condemned");
        return false;
    }
    if (one->customer.empty())
        return true;
    const auto quota = context_.quota.take(one->customer, one->tokens, context_.loop.now());
    if (!quota.granted) {
        context_.log.write(edge::events::rate_refused, one->request_id,
                           {{"customer", one->customer},
                            {"tokens", one->tokens},
                            {"level", context_.quota.level(one->customer)},
                            {"available_part", context_.quota.available_part(context_.loop.now())},
                            {"retry_ms", core::common::to_wire_ms(quota.retry_after)}});
        reject(one, 429, "over_rate", quota.retry_after);
    }
    return quota.granted;
}

void admission::reject(const call_ptr& one, int status, const std::string& reason, duration retry_after) {
    one->tokens = 0;
    forwarder_.refuse(one, status, reason, retry_after);
}

void admission::finished(const call_ptr& one) {
    if (one->sends == 0 && one->tokens > 0)
        context_.quota.give_back(one->customer, one->tokens);
    calls_.erase(one->session.get());
}

void admission::caller_left(caller_session& session) {
    if (const auto found = calls_.find(&session); found != calls_.end())
        forwarder_.abandon(call_ptr{found->second});
}

void admission::caller_drained(caller_session& session) {
    if (const auto found = calls_.find(&session); found != calls_.end())
        forwarder_.caller_drained(found->second);
}

} // namespace waxwinglb::programs::gateway
