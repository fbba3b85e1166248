#include "edge/link.hpp"

#include "edge/link_impl.hpp"

#include <ace/ACE.h>
#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>

#include <array>
#include <csignal>

namespace waxwinglb::edge {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds tick_every{100}; // interval of the checks for heartbeats and silence

time_point now() {
    return core::common::clock::now();
}

std::string text_of(const ACE_INET_Addr& address) {
    std::array<char, 64> buffer{};
    address.addr_to_string(buffer.data(), buffer.size());
    return buffer.data();
}

} // namespace

link_hub::impl::impl(link_options options, link_sink sink)
    : options_(std::move(options)), sink_(std::move(sink)),
      reactor_(new ACE_Dev_Poll_Reactor(max_handles, true), true), waker_(*this) {
    std::signal(SIGPIPE, SIG_IGN);
}

link_hub::impl::~impl() {
    stop();
    for (auto& [id, open_connection] : connections_)
        close_connection(*open_connection);
    for (auto& listener : acceptors_) {
        reactor_.remove_handler(listener.get(),
                                ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        listener->socket.close();
    }
}

void link_hub::impl::start() {
    thread_ = std::thread{[this] { run(); }};
}

void link_hub::impl::stop() {
    if (!thread_.joinable())
        return;
    stopping_ = true;
    reactor_.notify(&waker_);
    thread_.join();
}

std::uint16_t link_hub::impl::listen(const std::string& address) {
    auto listener = std::make_unique<acceptor>(*this);
    ACE_INET_Addr local;
    if (local.set(address.c_str()) != 0 || listener->socket.open(local, 1, AF_INET, 1024) != 0)
        return 0;
    listener->socket.enable(ACE_NONBLOCK);
    listener->socket.get_local_addr(local);
    listener->reactor(&reactor_);
    if (reactor_.register_handler(listener.get(), ACE_Event_Handler::ACCEPT_MASK) != 0)
        return 0;
    acceptors_.push_back(std::move(listener));
    return local.get_port_number();
}

void link_hub::impl::enqueue(command&& added) {
    bool first = false;
    {
        const std::scoped_lock hold{commands_mutex_};
        first = commands_.empty();
        commands_.push_back(std::move(added));
    }
    if (first)
        reactor_.notify(&waker_);
}

link_id link_hub::impl::next_id() {
    return ++last_id_;
}

void link_hub::impl::run() {
    reactor_.owner(ACE_OS::thr_self());
    const ACE_Time_Value every{0, static_cast<suseconds_t>(tick_every.count() * 1000)};
    reactor_.schedule_timer(&waker_, nullptr, every, every);
    while (!stopping_) {
        ACE_Time_Value wait{0, static_cast<suseconds_t>(tick_every.count() * 1000)};
        reactor_.handle_events(wait);
        free_removed();
    }
    reactor_.cancel_timer(&waker_);
}

void link_hub::impl::run_commands() {
    std::vector<command> batch;
    {
        const std::scoped_lock hold{commands_mutex_};
        batch.swap(commands_);
    }
    for (command& next : batch)
        run(next);
}

void link_hub::impl::run(command& next) {
    if (next.type == command::action::connect) {
        outbound_links_[next.link].address = std::move(next.payload);
        open_outbound(next.link);
        return;
    }
    if (next.type == command::action::disconnect) {
        outbound_links_.erase(next.link);
        remove(next.link);
        return;
    }
    const auto found = connections_.find(next.link);
    if (found != connections_.end())
        found->second->write(next.payload);
}

void link_hub::impl::open_outbound(link_id id) {
    outbound_link& outbound = outbound_links_[id];
    outbound.next_attempt = now() + options_.reconnect_after;
    ACE_INET_Addr remote;
    if (remote.set(outbound.address.c_str()) != 0)
        return;
    auto opened = std::make_unique<connection>(*this, id, true);
    opened->address = outbound.address;
    ACE_SOCK_Connector connector;
    const int result = connector.connect(opened->stream(), remote, &ACE_Time_Value::zero);
    if (result != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
        opened->stream().close();
        return;
    }
    outbound.connected = true;
    adopt(id, std::move(opened), result != 0);
}

void link_hub::impl::adopt(link_id id, std::unique_ptr<connection> owned, bool connecting) {
    connection& added = *owned;
    connections_[id] = std::move(owned);
    added.begin(connecting);
}

void link_hub::impl::tick() {
    const time_point at = now();
    std::vector<link_id> ids;
    for (const auto& [id, open_connection] : connections_)
        ids.push_back(id);
    for (const link_id id : ids) {
        const auto found = connections_.find(id);
        if (found != connections_.end())
            found->second->tick(at);
    }
    std::vector<link_id> due;
    for (const auto& [id, outbound] : outbound_links_)
        if (!outbound.connected && at >= outbound.next_attempt)
            due.push_back(id);
    for (const link_id id : due)
        open_outbound(id);
}

void link_hub::impl::remove(link_id id) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    close_connection(*found->second);
    removed_.push_back(std::move(found->second));
    connections_.erase(found);
    const auto outbound = outbound_links_.find(id);
    if (outbound == outbound_links_.end())
        return;
    outbound->second.connected = false;
    outbound->second.next_attempt = now() + options_.reconnect_after;
}

void link_hub::impl::close_connection(connection& closing) {
    reactor_.remove_handler(&closing, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    closing.stream().close();
}

void link_hub::impl::free_removed() {
    removed_.clear();
}

int link_hub::impl::acceptor::handle_input(ACE_HANDLE handle) {
    (void)handle;
    for (;;) {
        const link_id id = hub_.next_id();
        auto accepted = std::make_unique<connection>(hub_, id, false);
        ACE_INET_Addr remote;
        ACE_Time_Value none = ACE_Time_Value::zero;
        if (socket.accept(accepted->stream(), &remote, &none) != 0)
            return 0;
        accepted->address = text_of(remote);
        hub_.adopt(id, std::move(accepted), false);
    }
}

link_hub::link_hub(link_options options, link_sink sink)
    : impl_(std::make_unique<impl>(std::move(options), std::move(sink))) {}
link_hub::~link_hub() = default;

void link_hub::start() {
    impl_->start();
}
std::uint16_t link_hub::listen(const std::string& address) {
    return impl_->listen(address);
}

link_id link_hub::connect(const std::string& address) {
    const link_id id = impl_->next_id();
    impl_->enqueue({impl::command::action::connect, id, address});
    return id;
}

void link_hub::disconnect(link_id link) {
    impl_->enqueue({impl::command::action::disconnect, link, {}});
}

void link_hub::send_bytes(link_id link, std::string frame_bytes) {
    impl_->enqueue({impl::command::action::send, link, std::move(frame_bytes)});
}

} // namespace waxwinglb::edge
