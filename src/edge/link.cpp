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

constexpr milliseconds tick_every{100}; // granularity of heartbeats and silence checks

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
    for (auto& [id, one] : connections_)
        drop(*one);
    for (auto& one : acceptors_) {
        reactor_.remove_handler(one.get(), ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        one->socket.close();
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
    auto one = std::make_unique<acceptor>(*this);
    ACE_INET_Addr local;
    if (local.set(address.c_str()) != 0 || one->socket.open(local, 1, AF_INET, 1024) != 0)
        return 0;
    one->socket.enable(ACE_NONBLOCK);
    one->socket.get_local_addr(local);
    one->reactor(&reactor_);
    if (reactor_.register_handler(one.get(), ACE_Event_Handler::ACCEPT_MASK) != 0)
        return 0;
    acceptors_.push_back(std::move(one));
    return local.get_port_number();
}

void link_hub::impl::enqueue(command&& one) {
    bool first = false;
    {
        const std::scoped_lock hold{commands_mutex_};
        first = commands_.empty();
        commands_.push_back(std::move(one));
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
        bury();
    }
    reactor_.cancel_timer(&waker_);
}

void link_hub::impl::run_commands() {
    std::vector<command> batch;
    {
        const std::scoped_lock hold{commands_mutex_};
        batch.swap(commands_);
    }
    for (command& one : batch)
        run(one);
}

void link_hub::impl::run(command& one) {
    if (one.what == command::action::connect) {
        wanted_[one.link].address = std::move(one.text);
        open_outbound(one.link);
        return;
    }
    if (one.what == command::action::disconnect) {
        wanted_.erase(one.link);
        remove(one.link);
        return;
    }
    const auto found = connections_.find(one.link);
    if (found != connections_.end())
        found->second->write(one.text);
}

void link_hub::impl::open_outbound(link_id id) {
    wanted_link& wanted = wanted_[id];
    wanted.next_try = now() + options_.reconnect_after;
    ACE_INET_Addr remote;
    if (remote.set(wanted.address.c_str()) != 0)
        return;
    auto one = std::make_unique<connection>(*this, id, true);
    one->address = wanted.address;
    ACE_SOCK_Connector connector;
    const int result = connector.connect(one->stream(), remote, &ACE_Time_Value::zero);
    if (result != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
        one->stream().close();
        return;
    }
    wanted.connected = true;
    adopt(id, std::move(one), result != 0);
}

void link_hub::impl::adopt(link_id id, std::unique_ptr<connection> one, bool connecting) {
    connection& added = *one;
    connections_[id] = std::move(one);
    added.begin(connecting);
}

void link_hub::impl::tick() {
    const time_point at = now();
    std::vector<link_id> ids;
    for (const auto& [id, one] : connections_)
        ids.push_back(id);
    for (const link_id id : ids) {
        const auto found = connections_.find(id);
        if (found != connections_.end())
            found->second->tick(at);
    }
    std::vector<link_id> due;
    for (const auto& [id, wanted] : wanted_)
        if (!wanted.connected && at >= wanted.next_try)
            due.push_back(id);
    for (const link_id id : due)
        open_outbound(id);
}

void link_hub::impl::remove(link_id id) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    drop(*found->second);
    graveyard_.push_back(std::move(found->second));
    connections_.erase(found);
    const auto wanted = wanted_.find(id);
    if (wanted == wanted_.end())
        return;
    wanted->second.connected = false;
    wanted->second.next_try = now() + options_.reconnect_after;
}

void link_hub::impl::drop(connection& one) {
    reactor_.remove_handler(&one, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    one.stream().close();
}

void link_hub::impl::bury() {
    graveyard_.clear();
}

int link_hub::impl::acceptor::handle_input(ACE_HANDLE handle) {
    (void)handle;
    for (;;) {
        const link_id id = hub_.next_id();
        auto one = std::make_unique<connection>(hub_, id, false);
        ACE_INET_Addr remote;
        ACE_Time_Value none = ACE_Time_Value::zero;
        if (socket.accept(one->stream(), &remote, &none) != 0)
            return 0;
        one->address = text_of(remote);
        hub_.adopt(id, std::move(one), false);
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
