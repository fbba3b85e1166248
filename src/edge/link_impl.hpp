/// Inside of link_hub: its reactor's handlers and its connections. For link.cpp and link_connection.cpp
/// alone.
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
        void fail(const core::common::error& why);
        void tick(core::common::time_point at);
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
        core::common::time_point next_try{};
        bool connected = false;
    };
    struct command {
        enum class action { connect, disconnect, send } what;
        link_id link;
        std::string text; // address or frame
    };

    impl(link_options options, link_sink sink);
    /// Every handler leaves the reactor before it is freed: the reactor's own end would call into it.
    ~impl();
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    void start();
    void stop();
    std::uint16_t listen(const std::string& address);
    void enqueue(command&& one);
    link_id next_id();

private:
    friend class connection;
    friend class acceptor;
    static constexpr std::size_t max_handles = 16'384;

    void run();
    void run_commands();
    void run(command& one);
    void open_outbound(link_id id);
    void adopt(link_id id, std::unique_ptr<connection> one, bool connecting);
    void tick();
    /// Takes a connection out of use; it is freed after the reactor's upcall has returned.
    void remove(link_id id);
    void drop(connection& one);
    void bury();

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

} // namespace waxwinglb::edge
