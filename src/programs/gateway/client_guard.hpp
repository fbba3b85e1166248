/// Watches the clients' connections: finds a place for new ones, closes or refuses those that the client
/// ledger names, and tells operators which clients they are.
#pragma once

#include "core/ingress/client_ledger.hpp"
#include "programs/gateway/caller_session.hpp"
#include "programs/gateway/context.hpp"

#include <unordered_map>

namespace waxwinglb::programs::gateway {

class client_guard {
public:
    explicit client_guard(gateway_context& context);

    [[nodiscard]] core::ingress::client_ledger& ledger() { return ledger_; }
    void change_settings() { ledger_.change_limits(context_.settings.ingress.clients()); }
    /// Finds a place for a new connection, if need be by closing another. False: there is none.
    [[nodiscard]] bool make_place(int socket);
    void add(caller_session& session) { sessions_[session.id()] = &session; }
    void remove(const caller_session& session) { sessions_.erase(session.id()); }
    void grant_soon(); // memory was released
    void sweep();      // regularly
    void report(const caller_session& session, const char* action, const char* reason);
    void report_page(const char* page, core::ingress::peer_address peer, std::uint64_t connections);

private:
    void grant();
    void report(core::ingress::peer_address peer, const std::string& customer, std::size_t bytes,
                const char* action, const char* reason);

    gateway_context& context_;
    core::ingress::client_ledger ledger_;
    std::unordered_map<core::ingress::connection_id, caller_session*> sessions_;
    bool grant_scheduled_ = false;
};

} // namespace waxwinglb::programs::gateway
