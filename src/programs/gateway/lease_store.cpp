#include "programs/gateway/lease_store.hpp"

#include "core/common/json_text.hpp"

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using core::common::store_position;
using nlohmann::json;
using platform::store_reply;
using platform::store_result;

constexpr milliseconds direct_call_backoff{2'000}; // after a failed direct call, before the next one
constexpr milliseconds peer_timeout{500};
constexpr const char* era_field = "era"; // of a call through a peer: in the query, the body and the answer

/// The integer in a field; 0 if it is absent or no integer.
std::int64_t integer_in(const json& from, const char* name) {
    const auto found = from.find(name);
    return found != from.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

/// Encodes a store's reply for the peer that asked.
std::string encode(const store_reply& reply) {
    json out{{"result", static_cast<int>(reply.result)}, {"era", reply.at.era}};
    if (!reply.objects.empty()) {
        out["revision"] = reply.objects.front().changed.revision;
        out["spec"] = reply.objects.front().spec;
    }
    return out.dump();
}

store_reply decode(const edge::client_result& answer) {
    store_reply out;
    out.why = {"store through peer", "", answer.why.detail};
    const json parsed = core::common::parse_json(answer.body);
    if (answer.outcome != edge::client_outcome::answered || !parsed.is_object() ||
        !parsed.contains("result") || !parsed["result"].is_number_integer()) {
        out.result =
            answer.outcome == edge::client_outcome::not_sent ? store_result::refused : store_result::unknown;
        return out;
    }
    out.result = static_cast<store_result>(parsed["result"].get<int>());
    out.at.era = integer_in(parsed, era_field);
    if (parsed.contains("spec") && parsed.contains("revision") && parsed["revision"].is_number_integer())
        out.objects.push_back({platform::lease_name,
                               {out.at.era, parsed["revision"].get<std::int64_t>()},
                               parsed["spec"],
                               false,
                               {}});
    return out;
}

} // namespace

std::string lease_store::relay_address() const {
    const auto now = context_.loop.now();
    if (now >= avoid_direct_until_)
        return {};
    return peers_->reader_address();
}

void lease_store::finish(bool direct, store_reply&& reply, const on_reply& done) {
    context_.loop.post([this, direct, done, reply = std::move(reply)]() mutable {
        if (direct && !reply.store_answered())
            avoid_direct_until_ = context_.loop.now() + direct_call_backoff;
        done(std::move(reply));
    });
}

void lease_store::read(on_reply done) {
    const std::int64_t era = context_.history.era();
    const std::string peer = relay_address();
    if (peer.empty())
        return direct_read(era, [this, done = std::move(done)](store_reply&& reply) {
            finish(true, std::move(reply), done);
        });
    edge::client_request request;
    request.url = "?" + std::string{era_field} + "=" + std::to_string(era);
    call_through_peer(peer, std::move(request), std::move(done));
}

void lease_store::write(store_position if_version, const std::string& value, on_reply done) {
    const std::string peer = relay_address();
    if (peer.empty())
        return direct_write(if_version, value, [this, done = std::move(done)](store_reply&& reply) {
            finish(true, std::move(reply), done);
        });
    edge::client_request request;
    request.method = "POST";
    request.body =
        json{{era_field, if_version.era}, {"if_version", if_version.revision}, {"value", value}}.dump();
    call_through_peer(peer, std::move(request), std::move(done));
}

void lease_store::direct_read(std::int64_t era, platform::store_client::on_reply done) {
    store_.read(object_.kind, object_.name_of(era), std::move(done));
}

void lease_store::direct_write(store_position if_version, const std::string& value,
                               platform::store_client::on_reply done) {
    auto spec = core::common::parse_json(value);
    const std::string name = object_.name_of(if_version.era);
    if (if_version.revision == 0)
        store_.create(object_.kind, name, std::move(spec), std::move(done));
    else
        store_.replace(object_.kind, name, if_version, std::move(spec), std::move(done));
}

/// `request` has the method, the body, and as its URL the query.
void lease_store::call_through_peer(const std::string& address, edge::client_request request, on_reply done) {
    request.url = "http://" + address + object_.peer_path + request.url;
    request.timeout = peer_timeout;
    client_.send(std::move(request), [this, done = std::move(done)](edge::client_result&& answer) {
        finish(false, decode(answer), done);
    });
}

void lease_store::serve(const edge::exchange_ptr& exchange) {
    const auto answer = [exchange](store_reply&& reply) {
        exchange->respond({200, {{"Content-Type", "application/json"}}, encode(reply)});
    };
    if (exchange->request().method == "GET") {
        const auto era = exchange->request().query.find(era_field);
        const json value =
            era == exchange->request().query.end() ? json{} : core::common::parse_json(era->second);
        return direct_read(value.is_number_integer() ? value.get<std::int64_t>() : 0, answer);
    }
    const json arguments = core::common::parse_json(exchange->request().body);
    if (!arguments.is_object() || !arguments.contains("if_version") ||
        !arguments["if_version"].is_number_integer() || !arguments.contains("value") ||
        !arguments["value"].is_string())
        return exchange->respond({400, {}, "expected if_version and value\n"});
    direct_write({integer_in(arguments, era_field), arguments["if_version"].get<std::int64_t>()},
                 arguments["value"].get<std::string>(), answer);
}

} // namespace waxwinglb::programs::gateway
