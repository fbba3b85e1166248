#include "programs/gateway/lease_store.hpp"

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using nlohmann::json;
using platform::store_reply;
using platform::store_result;

constexpr milliseconds direct_call_backoff{2'000}; // after a failed direct call, before the next one
constexpr milliseconds peer_timeout{500};

/// Encodes a store's reply for the peer that asked.
std::string encode(const store_reply& reply) {
    json out{{"result", static_cast<int>(reply.result)}};
    if (!reply.objects.empty()) {
        out["revision"] = reply.objects.front().revision;
        out["spec"] = reply.objects.front().spec;
    }
    return out.dump();
}

store_reply decode(const edge::client_result& answer) {
    store_reply out;
    out.why = {"lease through peer", "", answer.why.detail};
    const json parsed = json::parse(answer.body, nullptr, false);
    if (answer.outcome != edge::client_outcome::answered || !parsed.is_object() ||
        !parsed.contains("result") || !parsed["result"].is_number_integer()) {
        out.result =
            answer.outcome == edge::client_outcome::not_sent ? store_result::refused : store_result::unknown;
        return out;
    }
    out.result = static_cast<store_result>(parsed["result"].get<int>());
    if (parsed.contains("spec") && parsed.contains("revision") && parsed["revision"].is_number_integer())
        out.objects.push_back(
            {platform::lease_name, parsed["revision"].get<std::int64_t>(), parsed["spec"], false});
    return out;
}

} // namespace

std::string lease_store::relay_address() const {
    const auto now = context_.loop.now();
    if (now >= avoid_direct_until_)
        return {};
    for (const auto& [name, peer] : peers_->known_peers())
        if (peer.in_contact(now) && !peer.status.wants_registrations && !peer.status.leaving)
            return peer.status.config_address;
    return {};
}

void lease_store::finish(bool direct, store_reply&& reply, const on_reply& done) {
    context_.loop.post([this, direct, done, reply = std::move(reply)]() mutable {
        if (direct && !reply.store_answered())
            avoid_direct_until_ = context_.loop.now() + direct_call_backoff;
        done(std::move(reply));
    });
}

void lease_store::read(on_reply done) {
    if (const std::string peer = relay_address(); !peer.empty())
        return call_through_peer(peer, "GET", "", std::move(done));
    direct_read(
        [this, done = std::move(done)](store_reply&& reply) { finish(true, std::move(reply), done); });
}

void lease_store::write(std::int64_t if_version, const std::string& value, on_reply done) {
    if (const std::string peer = relay_address(); !peer.empty())
        return call_through_peer(peer, "POST", json{{"if_version", if_version}, {"value", value}}.dump(),
                                 std::move(done));
    direct_write(if_version, value, [this, done = std::move(done)](store_reply&& reply) {
        finish(true, std::move(reply), done);
    });
}

void lease_store::direct_read(platform::store_client::on_reply done) {
    store_.read(platform::lease_kind, platform::lease_name, std::move(done));
}

void lease_store::direct_write(std::int64_t if_version, const std::string& value,
                               platform::store_client::on_reply done) {
    auto spec = json::parse(value, nullptr, false);
    if (if_version == 0)
        store_.create(platform::lease_kind, platform::lease_name, std::move(spec), std::move(done));
    else
        store_.replace(platform::lease_kind, platform::lease_name, if_version, std::move(spec),
                       std::move(done));
}

void lease_store::call_through_peer(const std::string& address, std::string method, std::string body,
                                    on_reply done) {
    edge::client_request request;
    request.method = std::move(method);
    request.url = "http://" + address + "/peer/lease";
    request.body = std::move(body);
    request.timeout = peer_timeout;
    client_.send(std::move(request), [this, done = std::move(done)](edge::client_result&& answer) {
        finish(false, decode(answer), done);
    });
}

void lease_store::serve(const edge::exchange_ptr& exchange) {
    const auto answer = [exchange](store_reply&& reply) {
        exchange->respond({200, {{"Content-Type", "application/json"}}, encode(reply)});
    };
    if (exchange->request().method == "GET")
        return direct_read(answer);
    const json arguments = json::parse(exchange->request().body, nullptr, false);
    if (!arguments.is_object() || !arguments.contains("if_version") ||
        !arguments["if_version"].is_number_integer() || !arguments.contains("value") ||
        !arguments["value"].is_string())
        return exchange->respond({400, {}, "expected if_version and value\n"});
    direct_write(arguments["if_version"].get<std::int64_t>(), arguments["value"].get<std::string>(), answer);
}

} // namespace waxwinglb::programs::gateway
