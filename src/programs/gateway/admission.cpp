#include "programs/gateway/admission.hpp"

#include "core/common/hash.hpp"
#include "platform/headers.hpp"

#include <algorithm>
#include <charconv>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::duration;
using core::common::hash_of;
using core::common::milliseconds;

constexpr std::int64_t max_prompt_tokens = 1'000'000; // upper bound for the count of one request
constexpr std::int64_t max_output_tokens = 1'000'000;
constexpr std::size_t max_parts = 32;              // of a prompt that are told apart
constexpr milliseconds origin_retry_after{400};    // peers tell of their streams every 350 ms
constexpr milliseconds default_retry_after{1'000}; // Retry-After while the gateway has no configuration

/// Hashes of the ids of a prompt's parts ("ID:TOKENS,ID:TOKENS"); the last one is the session's. Of more than
/// max_parts the first ones and the last one.
std::vector<std::uint64_t> hash_parts(std::string_view prefix) {
    std::vector<std::uint64_t> out;
    while (true) {
        const auto comma = prefix.find(',');
        const bool last = comma == std::string_view::npos;
        if (last || out.size() + 1 < max_parts)
            out.push_back(hash_of(prefix.substr(0, std::min(comma, prefix.find(':')))));
        if (last)
            return out;
        prefix.remove_prefix(comma + 1);
    }
}

/// Token counts that a request states.
struct token_count {
    std::int64_t prompt = 0;
    std::int64_t max_output = 0;
};

/// Reads "PROMPT,MAX_OUTPUT"; nullopt if malformed.
std::optional<token_count> parse_token_count(const std::string& text) {
    const auto comma = text.find(',');
    token_count out;
    if (comma == std::string::npos)
        return std::nullopt;
    const auto prompt_result = std::from_chars(text.data(), text.data() + comma, out.prompt);
    const auto output_result =
        std::from_chars(text.data() + comma + 1, text.data() + text.size(), out.max_output);
    if (prompt_result.ec != std::errc{} || output_result.ec != std::errc{} || out.prompt < 0 ||
        out.max_output < 0)
        return std::nullopt;
    return out;
}

} // namespace

void admission::handle_request(const std::shared_ptr<caller_session>& session,
                               edge::wire_request&& received) {
    static const core::fleet::route no_route;
    auto request = std::make_shared<caller_request>();
    request->session = session;
    request->received = std::move(received);
    request->config = context_.config;
    request->route = &no_route;
    request->arrived = context_.loop.now();
    request->deadline = request->arrived + default_retry_after;
    requests_[session.get()] = request;
    if (const std::string* id = edge::find_field(request->received.fields, platform::request_id_header))
        request->request_id = *id;
    if (!request->config) {
        request->config = std::make_shared<const core::fleet::config>();
        return reject(request, 503, "no_configuration", default_retry_after);
    }
    if (!context_.informed())
        return reject(request, 503, "starting", core::membership::catch_up::limit);
    if (request->request_id.empty())
        return reject(request, 400, "no_request_id");
    // A request that arrives late in the drain might not finish before the process ends.
    if (context_.draining && context_.loop.now() - context_.drain_started > drain_accept_period)
        return reject(request, 503, "ending", drain_retry_after);
    if (!find_route(request) || !identify_caller(request) || !read_deadline(request) ||
        !find_model(request) || !charge(request))
        return;
    request->timer =
        context_.loop.schedule(request->deadline, [this, request] { forwarder_.on_deadline(request); });
    find_origin(request);
}

bool admission::find_route(const caller_request_ptr& request) {
    const std::string* host = edge::find_field(request->received.fields, "Host");
    const auto* route =
        host == nullptr ? nullptr : request->config->find_route(*host, request->received.path());
    if (route == nullptr || route->destinations.empty()) {
        reject(request, 404, "no_route");
        return false;
    }
    request->route = route;
    request->priority = route->priority;
    int weight_sum = 0;
    for (const auto& destination : route->destinations)
        weight_sum += std::max(0, destination.weight);
    int offset = weight_sum > 0
                     ? static_cast<int>(hash_of(request->request_id) % static_cast<std::uint64_t>(weight_sum))
                     : 0;
    for (const auto& destination : route->destinations) {
        offset -= std::max(0, destination.weight);
        if (offset < 0 || weight_sum == 0) {
            request->service = destination.service;
            break;
        }
    }
    return true;
}

bool admission::identify_caller(const caller_request_ptr& request) {
    if (request->route->open || request->config->customers.empty())
        return true;
    const std::string* key = edge::find_field(request->received.fields, platform::key_header);
    const auto* customer = key == nullptr ? nullptr : request->config->owner_of(*key);
    if (customer == nullptr) {
        reject(request, 401, key == nullptr ? "no_key" : "unknown_key");
        return false;
    }
    request->customer = customer->name;
    request->session->note_customer(customer->name);
    request->priority = customer->priority.value_or(request->priority);
    request->tokens = customer->tokens_without_count;
    return true;
}

bool admission::read_deadline(const caller_request_ptr& request) {
    auto left = request->route->timeout;
    if (const std::string* text = edge::find_field(request->received.fields, platform::deadline_header)) {
        std::int64_t value = 0;
        const auto [end, failure] = std::from_chars(text->data(), text->data() + text->size(), value);
        if (failure != std::errc{} || end != text->data() + text->size()) {
            reject(request, 400, "malformed_deadline");
            return false;
        }
        left = std::min(left, milliseconds{value});
    }
    request->deadline = request->arrived + left;
    if (left.count() > 0)
        return true;
    reject(request, 503, "deadline_passed");
    return false;
}

/// A stream that its caller takes up goes on at the version that began it.
void admission::find_origin(const caller_request_ptr& request) {
    const auto& fields = request->received.fields;
    const std::string* after = edge::find_field(fields, platform::resume_header);
    if (!request->is_stream() || after == nullptr)
        return dispatcher_.submit(request);
    if (request->route->resumable)
        request->sequence.continue_after(*after);
    if (const std::string* origin = edge::find_field(fields, platform::origin_header))
        request->resumes = *origin;
    request->begun_at = context_.origins.version_of(hash_of(request->resumes));
    if (!request->begun_at)
        return confirm_origin(request);
    log_origin(request, "noted");
    dispatcher_.submit(request);
}

/// Where the origin isn't known, the stream can have begun at any version that targets had before the request
/// came: also at one that this gateway hasn't heard of yet.
void admission::confirm_origin(const caller_request_ptr& request) {
    if (!context_.versions.is_complete(context_.loop.now()))
        return refuse_unknown_origin(request, "versions_before_unknown");
    if (versions_of(*request).several())
        return refuse_unknown_origin(request, "several_versions");
    confirm_targets_([this, request](bool confirmed) {
        if (request->finished)
            return;
        if (!confirmed)
            return refuse_unknown_origin(request, "targets_unconfirmed");
        assume_only_version(request);
    });
}

void admission::assume_only_version(const caller_request_ptr& request) {
    if (!context_.versions.is_complete(context_.loop.now())) // the list may have skipped some
        return refuse_unknown_origin(request, "versions_before_unknown");
    const auto versions = versions_of(*request);
    request->begun_at = versions.only();
    if (!request->begun_at)
        return refuse_unknown_origin(request, versions.several() ? "several_versions" : "no_version_known");
    log_origin(request, "only_version");
    dispatcher_.submit(request);
}

core::streams::stated_versions admission::versions_of(const caller_request& request) {
    context_.versions.update(context_.directory.targets(), context_.loop.now());
    return context_.versions.versions_of(request.service, request.model);
}

void admission::refuse_unknown_origin(const caller_request_ptr& request, const char* why) {
    log_origin(request, why);
    reject(request, 503, "unknown_origin", origin_retry_after);
}

/// `evidence`: for the version at which the stream goes on, or why there is none.
void admission::log_origin(const caller_request_ptr& request, const char* evidence) {
    const auto now = context_.loop.now();
    const auto targets_age = context_.view.age(core::membership::stored_kind::departures, now);
    const auto& version = request->begun_at;
    context_.log.write(edge::events::origin_decided, request->request_id,
                       {{"resumes", request->resumes},
                        {"evidence", evidence},
                        {"software_version", version ? version->software : ""},
                        {"weights", version && version->weights ? std::to_string(*version->weights) : ""},
                        {"adapter_version", version ? version->adapter : ""},
                        {"targets_age_ms", targets_age ? core::common::to_wire_ms(*targets_age) : -1},
                        {"targets", context_.directory.targets().size()}});
}

bool admission::find_model(const caller_request_ptr& request) {
    if (const std::string* model = edge::find_field(request->received.fields, platform::model_header))
        request->model = core::fleet::parse_model_ref(*model);
    const auto* service = request->config->find_service(request->service);
    if (service == nullptr || !service->engine)
        request->model = {};
    else if (!request->model.model.empty() && !core::fleet::offers(*service->engine, request->model)) {
        reject(request, 503, "unknown_model");
        return false;
    }
    return true;
}

/// Reads the token counts of the request and charges the tokens to the customer's rate.
bool admission::charge(const caller_request_ptr& request) {
    const auto& fields = request->received.fields;
    if (const std::string* text = edge::find_field(fields, platform::tokens_header)) {
        const auto tokens = parse_token_count(*text);
        if (!tokens) {
            reject(request, 400, "malformed_token_count");
            return false;
        }
        request->tokens = static_cast<double>(tokens->prompt) + static_cast<double>(tokens->max_output);
        request->prompt_tokens = static_cast<int>(std::min<std::int64_t>(tokens->prompt, max_prompt_tokens));
        request->output_tokens = static_cast<int>(std::min(tokens->max_output, max_output_tokens));
    }
    if (const std::string* prefix = edge::find_field(fields, platform::prefix_header)) {
        request->shared_parts = hash_parts(*prefix);
        if (request->route->sticky)
            request->sticky_session = request->shared_parts.back();
        request->shared_parts.pop_back();
    }
    request->fingerprint =
        hash_of(request->received.body, hash_of(request->received.target, hash_of(request->customer)));
    if (forwarder_.is_blocked(*request)) {
        reject(request, 503, "condemned");
        return false;
    }
    if (request->customer.empty())
        return true;
    // The tokens are taken when the request is sent: those of requests that wait are not in use.
    const auto quota = context_.quota.check(request->customer, request->tokens, context_.loop.now());
    if (!quota.granted)
        forwarder_.refuse_over_rate(request, quota.retry_after);
    return quota.granted;
}

void admission::reject(const caller_request_ptr& request, int status, const std::string& reason,
                       duration retry_after) {
    forwarder_.refuse(request, status, reason, retry_after);
}

void admission::on_request_finished(const caller_request_ptr& request) {
    const bool ran = request->may_have_run || request->unsettled;
    if (request->charged && !ran)
        context_.quota.give_back(request->customer, request->tokens);
    requests_.erase(request->session.get());
}

void admission::end_open_requests() {
    const auto open = requests_;
    for (const auto& [session, request] : open)
        forwarder_.on_stop(request);
}

std::vector<caller_request_ptr> admission::running_at(const std::string& target) const {
    std::vector<caller_request_ptr> out;
    for (const auto& [session, request] : requests_)
        if (!request->finished && request->target == target)
            out.push_back(request);
    return out;
}

void admission::on_caller_disconnected(caller_session& session) {
    if (const auto found = requests_.find(&session); found != requests_.end())
        forwarder_.abandon(caller_request_ptr{found->second});
}

void admission::on_caller_drained(caller_session& session) {
    if (const auto found = requests_.find(&session); found != requests_.end())
        forwarder_.on_caller_drained(found->second);
}

} // namespace waxwinglb::programs::gateway
