#include "edge/link.hpp"

#include <ace/ACE.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Log_Msg.h>
#include <ace/OS_NS_sys_socket.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <netinet/tcp.h>

#include <array>
#include <atomic>
#include <csignal>
#include <mutex>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

namespace waxwinglb::edge {
namespace {

using core::common::error;
using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds tick_every{100};        // granularity of heartbeats and silence checks
constexpr std::size_t read_chunk = 64U << 10U; // bytes asked of one recv
constexpr int max_reads_per_wakeup = 8;        // keeps one busy peer from holding up the others
constexpr std::size_t length_prefix = 4;

time_point now() {
    return core::common::clock::now();
}

std::string text_of(const ACE_INET_Addr& address) {
    std::array<char, 64> buffer{};
    address.addr_to_string(buffer.data(), buffer.size());
    return buffer.data();
}

std::size_t read_length(std::string_view prefix) {
    std::size_t out = 0;
    for (std::size_t i = 0; i < length_prefix; ++i)
        out = (out << 8U) | static_cast<unsigned char>(prefix[i]);
    return out;
}

} // namespace

/// All state below is used by the reactor thread alone, but for the command queue.
class link_hub::impl {
public:
    /// One TCP connection. `outbound` ones belong to an entry of `wanted_`.
    class connection : public ACE_Event_Handler {
    public:
        connection(impl& hub, link_id id, bool outbound) : hub_(hub), id_(id), outbound_(outbound) {}
        ACE_HANDLE get_handle() const override { return stream_.get_handle(); } // ACE's own name
        int handle_input(ACE_HANDLE handle) override;
        int handle_output(ACE_HANDLE handle) override;
        void begin(bool connecting);
        void write(std::string_view bytes);
        void fail(const error& why);
        void tick(time_point at);
        ACE_SOCK_Stream& stream() { return stream_; }

        std::string address; // remote end, for events and errors
        bool connecting = false;

    private:
        bool flush();
        bool take_frames();
        bool take(frame&& received);
        void say_hello();

        impl& hub_;
        link_id id_;
        bool outbound_;
        bool open_ = false; // hello received
        bool dead_ = false;
        bool wants_output_ = false;
        ACE_SOCK_Stream stream_;
        std::string in_;
        std::string out_;
        std::size_t out_start_ = 0;
        wire::hello peer_;
        time_point last_received_{};
        time_point last_sent_{};
        std::int64_t sequence_ = 0;
    };

    class acceptor : public ACE_Event_Handler {
    public:
        explicit acceptor(impl& hub) : hub_(hub) {}
        ACE_HANDLE get_handle() const override { return socket.get_handle(); }
        int handle_input(ACE_HANDLE handle) override;
        ACE_SOCK_Acceptor socket;

    private:
        impl& hub_;
    };

    /// Runs queued commands when another thread has called notify().
    class waker : public ACE_Event_Handler {
    public:
        explicit waker(impl& hub) : hub_(hub) {}
        int handle_exception(ACE_HANDLE handle) override {
            (void)handle;
            hub_.run_commands();
            return 0;
        }
        int handle_timeout(const ACE_Time_Value& at, const void* arg) override {
            (void)at;
            (void)arg;
            hub_.tick();
            return 0;
        }

    private:
        impl& hub_;
    };

    struct wanted_link {
        std::string address;
        time_point next_try{};
        bool connected = false;
    };
    struct command {
        enum class action { connect, disconnect, send } what;
        link_id link;
        std::string text; // address or frame
    };

    impl(link_options options, link_sink sink)
        : options_(std::move(options)), sink_(std::move(sink)),
          reactor_(new ACE_Dev_Poll_Reactor(max_handles, true), true), waker_(*this) {
        std::signal(SIGPIPE, SIG_IGN);
    }
    /// Every handler leaves the reactor before it is freed: the reactor's own end would call into it.
    ~impl() {
        stop();
        for (auto& [id, one] : connections_)
            drop(*one);
        for (auto& one : acceptors_) {
            reactor_.remove_handler(one.get(),
                                    ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
            one->socket.close();
        }
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    void start() {
        thread_ = std::thread{[this] { run(); }};
    }
    void stop() {
        if (!thread_.joinable())
            return;
        stopping_ = true;
        reactor_.notify(&waker_);
        thread_.join();
    }
    std::uint16_t listen(const std::string& address) {
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
    void enqueue(command&& one) {
        bool first = false;
        {
            const std::scoped_lock hold{commands_mutex_};
            first = commands_.empty();
            commands_.push_back(std::move(one));
        }
        if (first)
            reactor_.notify(&waker_);
    }
    link_id next_id() { return ++last_id_; }

private:
    friend class connection;
    friend class acceptor;
    static constexpr std::size_t max_handles = 16'384;

    void run() {
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
    void run_commands() {
        std::vector<command> batch;
        {
            const std::scoped_lock hold{commands_mutex_};
            batch.swap(commands_);
        }
        for (command& one : batch)
            run(one);
    }
    void run(command& one) {
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
    void open_outbound(link_id id) {
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
    void adopt(link_id id, std::unique_ptr<connection> one, bool connecting) {
        connection& added = *one;
        connections_[id] = std::move(one);
        added.begin(connecting);
    }
    void tick() {
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
    /// Takes a connection out of use; it is freed after the reactor's upcall has returned.
    void remove(link_id id) {
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
    void drop(connection& one) {
        reactor_.remove_handler(&one, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
        one.stream().close();
    }
    void bury() { graveyard_.clear(); }

    link_options options_;
    link_sink sink_;
    ACE_Reactor reactor_;
    waker waker_;
    std::vector<std::unique_ptr<acceptor>> acceptors_;
    std::unordered_map<link_id, std::unique_ptr<connection>> connections_;
    std::unordered_map<link_id, wanted_link> wanted_;
    std::vector<std::unique_ptr<connection>> graveyard_;
    std::mutex commands_mutex_;
    std::vector<command> commands_;
    std::atomic<link_id> last_id_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

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

void link_hub::impl::connection::begin(bool is_connecting) {
    connecting = is_connecting;
    last_received_ = now();
    stream_.enable(ACE_NONBLOCK);
    reactor(&hub_.reactor_);
    const auto mask = connecting ? ACE_Event_Handler::READ_MASK | ACE_Event_Handler::WRITE_MASK
                                 : ACE_Event_Handler::READ_MASK;
    wants_output_ = connecting;
    if (hub_.reactor_.register_handler(this, mask) != 0)
        return fail({"register", address, "the reactor took no further handle"});
    if (!connecting)
        say_hello();
}

void link_hub::impl::connection::say_hello() {
    int on = 1;
    stream_.set_option(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    write(encode_frame(wire::message_kind::hello, 0, hub_.options_.self));
}

void link_hub::impl::connection::write(std::string_view bytes) {
    if (dead_)
        return;
    if (out_.size() - out_start_ + bytes.size() > hub_.options_.max_unsent)
        return fail({"send", address, "the peer reads too slowly"});
    if (out_start_ == out_.size()) {
        out_.clear();
        out_start_ = 0;
    }
    out_ += bytes;
    last_sent_ = now();
    if (!connecting && !wants_output_)
        flush();
}

/// Sends what the socket takes; asks the reactor for a wake-up if something is left.
bool link_hub::impl::connection::flush() {
    while (out_start_ < out_.size()) {
        const ssize_t sent = stream_.send(out_.data() + out_start_, out_.size() - out_start_);
        if (sent > 0) {
            out_start_ += static_cast<std::size_t>(sent);
            continue;
        }
        if (sent < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
            break;
        fail({"send", address, "the connection broke"});
        return false;
    }
    const bool left = out_start_ < out_.size();
    if (left && out_start_ > read_chunk) {
        out_.erase(0, out_start_);
        out_start_ = 0;
    }
    if (left && !wants_output_)
        hub_.reactor_.schedule_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    if (!left && wants_output_)
        hub_.reactor_.cancel_wakeup(this, ACE_Event_Handler::WRITE_MASK);
    wants_output_ = left;
    return true;
}

int link_hub::impl::connection::handle_output(ACE_HANDLE handle) {
    (void)handle;
    if (dead_)
        return 0;
    if (connecting) {
        int failure = 0;
        int size = sizeof failure;
        if (stream_.get_option(SOL_SOCKET, SO_ERROR, &failure, &size) != 0 || failure != 0) {
            fail({"connect", address, "the peer does not answer"});
            return 0;
        }
        connecting = false;
        last_received_ = now();
        say_hello();
    }
    flush();
    return 0;
}

int link_hub::impl::connection::handle_input(ACE_HANDLE handle) {
    (void)handle;
    std::array<char, read_chunk> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    for (int i = 0; i < max_reads_per_wakeup && !dead_; ++i) {
        const ssize_t got = stream_.recv(buffer.data(), buffer.size());
        if (got > 0) {
            last_received_ = now();
            in_.append(buffer.data(), static_cast<std::size_t>(got));
            if (!take_frames())
                return 0;
            continue;
        }
        if (got < 0 && (errno == EWOULDBLOCK || errno == EAGAIN))
            return 0;
        fail({"receive", address, got == 0 ? "the peer closed the connection" : "the connection broke"});
        return 0;
    }
    return 0;
}

bool link_hub::impl::connection::take_frames() {
    std::size_t start = 0;
    while (in_.size() - start >= length_prefix) {
        const std::size_t length = read_length(std::string_view{in_}.substr(start));
        if (length > max_frame_bytes) {
            fail({"receive", address, "a frame of " + std::to_string(length) + " bytes is over the limit"});
            return false;
        }
        if (in_.size() - start < length_prefix + length)
            break;
        auto received = decode_frame(std::string_view{in_}.substr(start + length_prefix, length));
        start += length_prefix + length;
        if (!received) {
            fail({"decode frame", address, "the header is malformed"});
            return false;
        }
        if (!take(std::move(*received)))
            return false;
    }
    in_.erase(0, start);
    return true;
}

bool link_hub::impl::connection::take(frame&& received) {
    using kind = wire::message_kind;
    if (received.header.kind == kind::heartbeat) {
        write(encode_frame(kind::heartbeat_ack, 0, wire::heartbeat_ack{}));
        return !dead_;
    }
    if (received.header.kind == kind::heartbeat_ack)
        return true;
    if (received.header.kind == kind::hello) {
        auto hello = decode_body<wire::hello>(received.body);
        if (!hello || open_) {
            fail({"hello", address, "malformed or repeated"});
            return false;
        }
        open_ = true;
        peer_ = std::move(*hello);
        hub_.sink_({link_event_kind::opened, id_, peer_, address, {}, {}});
        return !dead_;
    }
    if (!open_) {
        fail({"receive", address, "a message came before hello"});
        return false;
    }
    hub_.sink_({link_event_kind::message, id_, peer_, address, std::move(received), {}});
    return !dead_;
}

void link_hub::impl::connection::tick(time_point at) {
    if (at - last_received_ > hub_.options_.silent_after)
        return fail({"heartbeat", address, "the connection is silent"});
    if (!connecting && at - last_sent_ >= hub_.options_.heartbeat_every) {
        wire::heartbeat beat;
        beat.__set_sequence(++sequence_);
        write(encode_frame(wire::message_kind::heartbeat, 0, beat));
    }
}

void link_hub::impl::connection::fail(const error& why) {
    if (dead_)
        return;
    dead_ = true;
    const bool was_open = open_;
    const wire::hello peer = peer_;
    hub_.remove(id_); // `this` lives on in the graveyard until the upcall returns
    if (was_open)
        hub_.sink_({link_event_kind::closed, id_, peer, address, {}, why});
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
