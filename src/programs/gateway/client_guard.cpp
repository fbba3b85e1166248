#include "programs/gateway/client_guard.hpp"

#include <sys/select.h>

namespace waxwinglb::programs::gateway {
namespace {

// The select reactor serves descriptors below FD_SETSIZE. The last of them are left for the connections to
// targets; those of the store and of the pages have their own threads, which serve any descriptor.
constexpr int reserved_descriptors = 64;
constexpr int max_caller_descriptor = FD_SETSIZE - reserved_descriptors;

} // namespace

client_guard::client_guard(gateway_context& context)
    : context_(context), ledger_(context.settings.ingress.clients()) {}

bool client_guard::make_place(int socket) {
    if (!ledger_.full() && socket < max_caller_descriptor)
        return true;
    const auto chosen = ledger_.choose_evicted(context_.loop.now(), [this](core::ingress::connection_id id) {
        const auto found = sessions_.find(id);
        return found != sessions_.end() && found->second->may_be_evicted();
    });
    if (!chosen) {
        report(edge::peer_address_of(socket), "", 0, "turned_away", "no_connection_free");
        return false;
    }
    caller_session& evicted = *sessions_.at(*chosen);
    report(evicted, "closed", "connection_limit");
    evicted.drop();
    return true;
}

void client_guard::grant_soon() {
    if (grant_scheduled_ || ledger_.waiting() == 0)
        return;
    grant_scheduled_ = true;
    context_.loop.schedule(context_.loop.now(), [this] {
        grant_scheduled_ = false;
        grant();
    });
}

void client_guard::grant() {
    for (const auto id : ledger_.take_granted())
        if (const auto found = sessions_.find(id); found != sessions_.end())
            found->second->handle_room();
}

void client_guard::sweep() {
    const auto now = context_.loop.now();
    context_.metrics.client_memory.Set(static_cast<double>(ledger_.held()));
    context_.metrics.client_connections.Set(static_cast<double>(ledger_.connections()));
    context_.metrics.clients_waiting.Set(static_cast<double>(ledger_.waiting()));
    ledger_.observe(now);
    if (!ledger_.is_short() && !ledger_.full())
        return;
    for (const auto& [id, session] : sessions_)
        session->note_progress();
    while (const auto stalled = ledger_.choose_stalled(now)) {
        const auto found = sessions_.find(*stalled);
        if (found == sessions_.end())
            break;
        caller_session& session = *found->second;
        report(session, "closed", "no_progress");
        session.drop();
    }
    for (const auto id : ledger_.overdue_requests(now))
        if (const auto found = sessions_.find(id); found != sessions_.end())
            found->second->refuse_for_room();
    grant();
}

void client_guard::report(const caller_session& session, const char* action, const char* reason) {
    std::string customer = session.customer();
    if (const std::string key = session.key(); !key.empty() && context_.config)
        if (const auto* owner = context_.config->owner_of(key))
            customer = owner->name;
    report(session.peer(), customer, ledger_.held_by(session.id()), action, reason);
}

void client_guard::report(core::ingress::peer_address peer, const std::string& customer, std::size_t bytes,
                          const char* action, const char* reason) {
    const auto use = ledger_.use_of(peer);
    context_.metrics.count_limited_client(action, reason);
    context_.log.write(edge::events::client_limited, edge::address_text(peer),
                       {{"action", action},
                        {"reason", reason},
                        {"customer", customer},
                        {"bytes", bytes},
                        {"address_connections", use.connections},
                        {"address_bytes", use.bytes},
                        {"all_bytes", ledger_.held()},
                        {"connections", ledger_.connections()}});
}

void client_guard::report_page(const char* page, core::ingress::peer_address peer,
                               std::uint64_t connections) {
    for (std::uint64_t count = 0; count < connections; ++count)
        context_.metrics.count_limited_client("closed", page);
    context_.log.write(edge::events::client_limited, edge::address_text(peer),
                       {{"action", "closed"}, {"reason", page}, {"connections", connections}});
}

} // namespace waxwinglb::programs::gateway
