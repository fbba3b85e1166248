/// Implementation of link_hub: the reactor's handlers and the connections. Included only by link.cpp and
/// link_connection.cpp.
#pragma once

#include "edge/link.hpp"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

namespace waxwinglb::edge {

/// Only the reactor thread uses this state, except for the command queue.
class link_hub::impl {
public:
    /// One TCP connection. An outbound one belongs to an entry of `outbound_links_`.
    class connection : public ACE_Event_Handler {
    public:
        connection(impl& hub, link_id id, bool outbound) : hub_(hub), id_(id), outbound_(outbound) {}
        ACE_HANDLE get_handle() const override { return stream_.get_handle(); } // name given by ACE
        int handle_input(ACE_HANDLE handle) override;
        int handle_output(ACE_HANDLE handle) override;
        void begin(bool connecting);
        void write(std::string_view bytes);
        void fail(const core::common::error& why);
        void tick(core::common::time_point at);
        ACE_SOCK_Stream& stream() { return stream_; }

        std::string address; // remote end, for events and errors
        bool connecting = false;

    private:
        bool flush();
        bool handle_frames();
        bool handle_frame(frame&& received);
        void send_hello();

        impl& hub_;
        link_id id_;
        bool outbound_;
        bool open_ = false; // hello received
        bool failed_ = false;
        bool awaits_writable_ = false;
        ACE_SOCK_Stream stream_;
        std::string received_;
        std::string unsent_;
        std::size_t unsent_start_ = 0;
        wire::hello peer_;
        core::common::time_point last_received_{};
        core::common::time_point last_sent_{};
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

    /// Runs the queued commands after notify() by another thread, and tick() on each timer.
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

    struct outbound_link {
        std::string address;
        core::common::time_point next_attempt{};
        bool connected = false;
    };
    struct command {
        enum class action { connect, disconnect, send } type;
        link_id link;
        std::string payload; // address or frame
    };

    impl(link_options options, link_sink sink);
    /// Removes every handler from the reactor before freeing it: the reactor's destructor would call freed
    /// handlers.
    ~impl();
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    void start();
    void stop();
    std::uint16_t listen(const std::string& address);
    void enqueue(command&& added);
    link_id next_id();

private:
    friend class connection;
    friend class acceptor;
    static constexpr std::size_t max_handles = 16'384;

    void run();
    void run_commands();
    void run(command& next);
    void open_outbound(link_id id);
    void adopt(link_id id, std::unique_ptr<connection> owned, bool connecting);
    void tick();
    /// Closes a connection and moves it to `removed_`, to be freed once the reactor's upcall has returned.
    void remove(link_id id);
    void close_connection(connection& closing);
    void free_removed();

    link_options options_;
    link_sink sink_;
    ACE_Reactor reactor_;
    waker waker_;
    std::vector<std::unique_ptr<acceptor>> acceptors_;
    std::unordered_map<link_id, std::unique_ptr<connection>> connections_;
    std::unordered_map<link_id, outbound_link> outbound_links_;
    std::vector<std::unique_ptr<connection>> removed_;
    std::mutex commands_mutex_;
    std::vector<command> commands_;
    std::atomic<link_id> last_id_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace waxwinglb::edge
