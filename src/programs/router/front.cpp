#include "programs/router/front.hpp"

#include <algorithm>
#include <array>

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;

constexpr std::string_view service_prefix = "/s/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_idempotency_key = 200;
constexpr milliseconds busy_retry{1'000}; // Retry-After while the event ring is full

constexpr std::array forwarded_headers{
    std::string_view{"accept"},          std::string_view{"accept-language"},
    std::string_view{"content-type"},    std::string_view{"if-match"},
    std::string_view{"if-none-match"},   std::string_view{"traceparent"},
    std::string_view{"content-encoding"}};

problem make_problem(int status, const char* code, std::string title) {
    problem out;
    out.code = code;
    out.status = status;
    out.title = std::move(title);
    return out;
}

const std::string* header(const edge::http_request& request, const char* name) {
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? nullptr : &found->second;
}

/// Percent-encodes all characters except unreserved ones and those in `also_kept`.
std::string encode_url(std::string_view text, std::string_view also_kept) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view kept = "-._~";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool plain = (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
                           (byte >= 'A' && byte <= 'Z') || kept.find(c) != kept.npos ||
                           also_kept.find(c) != also_kept.npos;
        if (plain) {
            out += c;
            continue;
        }
        out += '%';
        out += digits[byte >> 4U];
        out += digits[byte & 15U];
    }
    return out;
}

std::string with_query(std::string path, const edge::http_request& request) {
    char separator = '?';
    for (const auto& [name, value] : request.query) {
        path += separator;
        path += encode_url(name, "") + "=" + encode_url(value, "");
        separator = '&';
    }
    return path;
}

/// Splits "/s/SERVICE/REST"; false if the path has another form.
bool read_service_path(const edge::http_request& request, arrival& out) {
    const std::string_view path{request.path};
    if (!path.starts_with(service_prefix))
        return false;
    const std::string_view rest = path.substr(service_prefix.size());
    const auto slash = rest.find('/');
    out.service = rest.substr(0, slash);
    const std::string_view below = slash == rest.npos ? std::string_view{"/"} : rest.substr(slash);
    // Dot segments could escape from the path prefix of a route rule.
    if (out.service.empty() || below.find("/..") != below.npos || below.find("/./") != below.npos ||
        below.find("//") != below.npos)
        return false;
    out.path = with_query(encode_url(below, "/:@!$&'()*+,;="), request);
    return true;
}

std::optional<problem> read_headers(const edge::http_request& request, arrival& out) {
    if (const std::string* authorization = header(request, "authorization")) {
        if (!authorization->starts_with(bearer_prefix))
            return make_problem(401, "bad_key", "Authorization: expected Bearer and a key.");
        out.key = authorization->substr(bearer_prefix.size());
    }
    if (const std::string* timeout = header(request, "x-request-timeout-ms")) {
        if (*timeout == "0")
            return make_problem(504, "deadline_passed", "The deadline has passed.");
        out.timeout = milliseconds{core::routing::read_timeout_ms(*timeout)};
        if (out.timeout.count() == 0)
            return make_problem(400, "bad_deadline",
                                "X-Request-Timeout-Ms: expected whole milliseconds up to 24 hours.");
    }
    if (const std::string* key = header(request, "idempotency-key")) {
        const bool printable =
            std::all_of(key->begin(), key->end(), [](char c) { return c > ' ' && c < '\x7f'; });
        if (key->empty() || key->size() > max_idempotency_key || !printable)
            return make_problem(400, "bad_idempotency_key",
                                "Idempotency-Key: expected 1 to 200 printable characters.");
        out.idempotency_key = *key;
    }
    return std::nullopt;
}

std::optional<problem> read_target(const edge::http_request& request, arrival& out) {
    if (request.path == "/v1/models") {
        if (request.method != "GET")
            return make_problem(405, "bad_method", "Expected GET.");
        out.kind = arrival_kind::models;
        return std::nullopt;
    }
    if (request.path == "/v1/chat/completions") {
        if (request.method != "POST")
            return make_problem(405, "bad_method", "Expected POST.");
        out.kind = arrival_kind::chat;
        auto read = core::routing::read_chat_request(request.body);
        if (const auto* fault = std::get_if<core::routing::bad_request>(&read))
            return make_problem(400, "bad_request", fault->title);
        out.chat = std::get<core::routing::chat_request>(std::move(read));
        return std::nullopt;
    }
    out.kind = arrival_kind::plain;
    if (!read_service_path(request, out))
        return make_problem(404, "unknown_path",
                            "Expected /v1/chat/completions, /v1/models or /s/SERVICE/PATH.");
    return std::nullopt;
}

} // namespace

bool is_forwarded(std::string_view header_name) {
    return std::find(forwarded_headers.begin(), forwarded_headers.end(), header_name) !=
           forwarded_headers.end();
}

bool carries_key(const arrival& incoming) {
    if (incoming.key.empty())
        return false;
    const auto holds = [&](std::string_view text) { return text.find(incoming.key) != text.npos; };
    const edge::http_request& request = incoming.exchange->request();
    for (const auto& [name, value] : request.headers)
        if (is_forwarded(name) && holds(value))
            return true;
    for (const auto& [name, value] : request.query)
        if (holds(name) || holds(value))
            return true;
    // The prompt is checked besides the body, since JSON escapes can spell the same characters differently.
    return holds(request.path) || holds(request.body) || holds(incoming.chat.prompt) ||
           holds(incoming.chat.model) || holds(incoming.chat.adapter) || holds(incoming.idempotency_key);
}

std::variant<arrival, problem> read_arrival(const edge::exchange_ptr& exchange,
                                            core::common::time_point now) {
    arrival out;
    out.exchange = exchange;
    out.at = now;
    if (auto fault = read_headers(exchange->request(), out))
        return *fault;
    if (auto fault = read_target(exchange->request(), out))
        return *fault;
    if (carries_key(out))
        return make_problem(400, "key_in_request", "The key may stand in the Authorization header alone.");
    return out;
}

void http_frontend::handle(const edge::exchange_ptr& exchange) {
    if (edge::answer_operations(exchange, context_))
        return;
    auto read = read_arrival(exchange, core::common::clock::now());
    if (const auto* fault = std::get_if<problem>(&read)) {
        exchange->respond(to_response(*fault));
        return;
    }
    const bool room = events_.size() < ring_arrival_limit;
    if (room && events_.try_push(std::get<arrival>(std::move(read))))
        return;
    problem busy = make_problem(503, "overloaded", "This router can take no more work now.");
    busy.retry_after = busy_retry;
    exchange->respond(to_response(busy));
}

} // namespace waxwinglb::programs::router
