#include "programs/gateway/lease_store.hpp"

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using nlohmann::json;
using platform::store_reply;
using platform::store_result;

constexpr milliseconds direct_pause{2'000}; // after a failed call, before the store is tried directly again
constexpr milliseconds peer_timeout{500};

/// The store's reply as a peer passes it on.
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

std::string lease_store::peer_to_ask() const {
    const auto now = context_.loop.now();
    if (now >= avoid_direct_until_)
        return {};
    for (const auto& [name, peer] : peers_->heard())
        if (peer.in_contact(now) && !peer.status.wants_registrations && !peer.status.leaving)
            return peer.status.config_address;
    return {};
}

void lease_store::finish(bool direct, store_reply&& reply, const on_reply& done) {
    context_.loop.post([this, direct, done, reply = std::move(reply)]() mutable {
        if (direct && !reply.store_answered())
            avoid_direct_until_ = context_.loop.now() + direct_pause;
        done(std::move(reply));
    });
}

void lease_store::read(on_reply done) {
    if (const std::string peer = peer_to_ask(); !peer.empty())
        return through_peer(peer, "GET", "", std::move(done));
    direct_read(
        [this, done = std::move(done)](store_reply&& reply) { finish(true, std::move(reply), done); });
}

void lease_store::write(std::int64_t if_version, const std::string& value, on_reply done) {
    if (const std::string peer = peer_to_ask(); !peer.empty())
        return through_peer(peer, "POST", json{{"if_version", if_version}, {"value", value}}.dump(),
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

void lease_store::through_peer(const std::string& address, std::string method, std::string body,
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
    const json asked = json::parse(exchange->request().body, nullptr, false);
    if (!asked.is_object() || !asked.contains("if_version") || !asked["if_version"].is_number_integer() ||
        !asked.contains("value") || !asked["value"].is_string())
        return exchange->respond({400, {}, "expected if_version and value\n"});
    direct_write(asked["if_version"].get<std::int64_t>(), asked["value"].get<std::string>(), answer);
}

} // namespace waxwinglb::programs::gateway
