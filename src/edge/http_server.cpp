#include "edge/http_server.hpp"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cstring>
#include <list>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

namespace waxwinglb::edge {
namespace {

constexpr std::size_t stream_block = 32U << 10U; // bytes that MHD requests from a stream at a time
constexpr unsigned closing_connections = 32;     // beyond kept_connections: evicted, not yet closed by MHD

std::string lower(std::string_view text) {
    std::string out{text};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

MHD_Result collect_header(void* target, MHD_ValueKind kind, const char* name, const char* value) {
    (void)kind;
    (*static_cast<std::map<std::string, std::string>*>(target))[lower(name)] = value != nullptr ? value : "";
    return MHD_YES;
}
MHD_Result collect_query(void* target, MHD_ValueKind kind, const char* name, const char* value) {
    (void)kind;
    (*static_cast<std::map<std::string, std::string>*>(target))[name] = value != nullptr ? value : "";
    return MHD_YES;
}

} // namespace

// A connection is suspended in MHD while it has neither an answer nor stream data to send. Suspending and
// resuming happen under `mutex_`: otherwise a resume could be lost between the check and the suspension.

void http_exchange::respond(http_response response) {
    const std::scoped_lock hold{mutex_};
    if (answer_)
        return;
    answer_ = std::move(response);
    resume();
}

void http_exchange::begin_stream(int status, std::vector<http_field> headers) {
    const std::scoped_lock hold{mutex_};
    if (answer_)
        return;
    answer_ = http_response{status, std::move(headers), {}};
    streaming_ = true;
    resume();
}

bool http_exchange::write_stream(std::string_view data) {
    const std::scoped_lock hold{mutex_};
    if (completed_ || stream_.size() - stream_start_ + data.size() > max_unsent_)
        return false;
    stream_ += data;
    resume();
    return true;
}

void http_exchange::cut() {
    const std::scoped_lock hold{mutex_};
    if (answer_)
        return;
    close_unanswered_ = true;
    resume();
}

bool http_exchange::caller_gone() const {
    const std::scoped_lock hold{mutex_};
    return completed_;
}

int http_exchange::queue_or_suspend() {
    const std::scoped_lock hold{mutex_};
    if (close_unanswered_ || ending_)
        return MHD_NO;
    if (answer_)
        return queue_response();
    suspended_ = true;
    MHD_suspend_connection(connection_);
    return MHD_YES;
}

std::int64_t http_exchange::read_stream(char* out, std::size_t room) {
    const std::scoped_lock hold{mutex_};
    const std::size_t count = std::min(stream_.size() - stream_start_, room);
    if (count > 0) {
        std::memcpy(out, stream_.data() + stream_start_, count);
        stream_start_ += count;
        if (stream_start_ == stream_.size()) {
            stream_.clear();
            stream_start_ = 0;
        }
        return static_cast<std::int64_t>(count);
    }
    if (stream_ended_)
        return stream_cut_ ? MHD_CONTENT_READER_END_WITH_ERROR : MHD_CONTENT_READER_END_OF_STREAM;
    if (ending_)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    suspended_ = true;
    MHD_suspend_connection(connection_);
    return 0;
}

void http_exchange::completed() {
    const std::scoped_lock hold{mutex_};
    completed_ = true;
    suspended_ = false;
}

void http_exchange::finish(bool cut) {
    const std::scoped_lock hold{mutex_};
    stream_ended_ = true;
    stream_cut_ = cut;
    resume();
}

void http_exchange::end_connection() {
    const std::scoped_lock hold{mutex_};
    resume();
}

void http_exchange::resume() {
    if (!suspended_ || completed_)
        return;
    suspended_ = false;
    MHD_resume_connection(connection_);
}

class http_server::impl {
public:
    impl(http_server_options options, http_handler handler)
        : options_(std::move(options)), handler_(std::move(handler)) {}
    /// MHD aborts the process if a connection is still suspended when its daemon stops. Once `ending_` is
    /// set, no connection is suspended; those suspended before are resumed here.
    ~impl() {
        ending_ = true;
        for (const exchange_ptr& exchange : copy_open())
            exchange->end_connection();
        if (daemon_ != nullptr)
            MHD_stop_daemon(daemon_);
        if (quiesced_ != MHD_INVALID_SOCKET)
            ::close(quiesced_);
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    bool start();
    /// Shuts the listening socket down but does not close it: MHD's threads may still be waiting on it.
    void stop_accepting() {
        if (daemon_ == nullptr || !options_.drains || quiesced_ != MHD_INVALID_SOCKET)
            return;
        quiesced_ = MHD_quiesce_daemon(daemon_);
        if (quiesced_ != MHD_INVALID_SOCKET)
            ::shutdown(quiesced_, SHUT_RDWR);
    }
    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::size_t open() const {
        const std::scoped_lock hold{open_mutex_};
        return open_.size();
    }

    http_server::evictions take_evicted() {
        const std::scoped_lock hold{connections_mutex_};
        return std::exchange(evicted_, {});
    }

private:
    static void connection_changed(void* self, MHD_Connection* connection, void** state,
                                   MHD_ConnectionNotificationCode code);
    [[nodiscard]] std::set<exchange_ptr> copy_open() const {
        const std::scoped_lock hold{open_mutex_};
        return open_;
    }
    void track_open(const exchange_ptr& exchange, bool begun) {
        const std::scoped_lock hold{open_mutex_};
        if (begun)
            open_.insert(exchange);
        else
            open_.erase(exchange);
    }
    static MHD_Result handle(void* self, MHD_Connection* connection, const char* url, const char* method,
                             const char* version, const char* data, std::size_t* size, void** state);
    static void completed(void* self, MHD_Connection* connection, void** state,
                          MHD_RequestTerminationCode code);

    http_server_options options_;
    http_handler handler_;
    MHD_Daemon* daemon_ = nullptr;
    std::atomic<bool> ending_{false};
    mutable std::mutex open_mutex_;
    std::set<exchange_ptr> open_; // exchanges not yet completely answered
    struct open_connection {
        MHD_Connection* connection;
        MHD_socket socket;
        bool evicted = false;
    };
    std::mutex connections_mutex_;
    std::list<open_connection> connections_; // oldest first; only with kept_connections
    http_server::evictions evicted_;
    std::uint16_t port_ = 0;
    MHD_socket quiesced_ = MHD_INVALID_SOCKET; // the listening socket after stop_accepting()
};

int http_exchange::queue_response() {
    MHD_Response* response = nullptr;
    if (streaming_) {
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, stream_block,
            [](void* self, std::uint64_t position, char* out, std::size_t room) -> ssize_t {
                (void)position;
                return static_cast<http_exchange*>(self)->read_stream(out, room);
            },
            this, nullptr);
    } else {
        response = MHD_create_response_from_buffer(answer_->body.size(), answer_->body.data(),
                                                   MHD_RESPMEM_MUST_COPY);
    }
    if (response == nullptr)
        return MHD_NO;
    for (const http_field& field : answer_->headers)
        MHD_add_response_header(response, field.name.c_str(), field.value.c_str());
    const MHD_Result result =
        MHD_queue_response(connection_, static_cast<unsigned>(answer_->status), response);
    MHD_destroy_response(response);
    return result;
}

MHD_Result http_server::impl::handle(void* self, MHD_Connection* connection, const char* url,
                                     const char* method, const char* version, const char* data,
                                     std::size_t* size, void** state) {
    (void)version;
    auto& server = *static_cast<impl*>(self);
    if (*state == nullptr) {
        auto made = std::make_shared<http_exchange>(connection, server.options_.max_unsent, server.ending_);
        server.track_open(made, true);
        made->request_.method = method;
        made->request_.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collect_header, &made->request_.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collect_query, &made->request_.query);
        *state = new exchange_ptr(std::move(made)); // freed in completed()
        return MHD_YES;
    }
    const exchange_ptr current = *static_cast<exchange_ptr*>(*state);
    if (*size > 0) {
        if (current->request_.body.size() + *size > server.options_.max_body)
            current->body_too_large_ = true;
        else
            current->request_.body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!current->handled_) {
        current->handled_ = true;
        if (current->body_too_large_)
            current->respond(
                {413,
                 {{"Content-Type", "application/problem+json"}},
                 R"({"code":"body_too_large","status":413,"ran":"not_run","title":"The body is too large."})"});
        else
            server.handler_(current);
    }
    return static_cast<MHD_Result>(current->queue_or_suspend());
}

void http_server::impl::completed(void* self, MHD_Connection* connection, void** state,
                                  MHD_RequestTerminationCode code) {
    (void)connection;
    (void)code;
    if (*state == nullptr)
        return;
    auto* current = static_cast<exchange_ptr*>(*state);
    (*current)->completed();
    static_cast<impl*>(self)->track_open(*current, false);
    delete current;
    *state = nullptr;
}

/// Called by MHD's thread for each connection that it opens and closes. An evicted one is shut down; MHD then
/// reads its end and closes it.
void http_server::impl::connection_changed(void* self, MHD_Connection* connection, void** state,
                                           MHD_ConnectionNotificationCode code) {
    (void)state;
    auto& server = *static_cast<impl*>(self);
    const std::scoped_lock hold{server.connections_mutex_};
    auto& all = server.connections_;
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        all.remove_if([&](const open_connection& each) { return each.connection == connection; });
        return;
    }
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info == nullptr)
        return;
    all.push_back({connection, info->connect_fd});
    const auto kept = static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const open_connection& each) { return !each.evicted; }));
    if (kept <= server.options_.kept_connections)
        return;
    const auto oldest =
        std::find_if(all.begin(), all.end(), [](const open_connection& each) { return !each.evicted; });
    oldest->evicted = true;
    ++server.evicted_.connections;
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    if (getpeername(oldest->socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0)
        server.evicted_.peer = ntohl(peer.sin_addr.s_addr);
    ::shutdown(oldest->socket, SHUT_RDWR);
}

bool http_server::impl::start() {
    const auto colon = options_.address.rfind(':');
    if (colon == std::string::npos)
        return false;
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port =
        htons(static_cast<std::uint16_t>(std::strtoul(options_.address.c_str() + colon + 1, nullptr, 10)));
    if (inet_pton(AF_INET, options_.address.substr(0, colon).c_str(), &local.sin_addr) != 1)
        return false;
    // With epoll, MHD_quiesce_daemon and MHD's own threads both remove the listening socket from the epoll
    // set, and the second removal aborts the process. A poll set is rebuilt for each wait.
    unsigned flags = options_.drains ? MHD_USE_POLL_INTERNAL_THREAD : MHD_USE_EPOLL_INTERNAL_THREAD;
    flags |= MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
    std::vector<MHD_OptionItem> extra{
        {MHD_OPTION_THREAD_POOL_SIZE, static_cast<intptr_t>(std::max(1U, options_.threads)), nullptr},
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<intptr_t>(options_.kept_connections == 0
                                   ? options_.max_connections
                                   : options_.kept_connections + closing_connections),
         nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         static_cast<intptr_t>(options_.connection_memory == 0 ? options_.max_header + stream_block * 2
                                                               : options_.connection_memory),
         nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(options_.timeout_s), nullptr},
        {MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024, nullptr},
    };
    if (options_.threads <= 1)
        extra.erase(extra.begin());
    if (!options_.certificate.empty()) {
        flags |= MHD_USE_TLS;
        extra.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, options_.certificate.data()});
        extra.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, options_.key.data()});
    }
    if (options_.kept_connections > 0)
        extra.push_back(
            {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(&impl::connection_changed), this});
    extra.push_back({MHD_OPTION_END, 0, nullptr});
    daemon_ = MHD_start_daemon(flags, 0, nullptr, nullptr, &impl::handle, this, MHD_OPTION_SOCK_ADDR, &local,
                               MHD_OPTION_NOTIFY_COMPLETED, &impl::completed, this, MHD_OPTION_ARRAY,
                               extra.data(), MHD_OPTION_END);
    if (daemon_ == nullptr)
        return false;
    const MHD_DaemonInfo* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    port_ = info != nullptr ? info->port : ntohs(local.sin_port);
    return true;
}

http_server::http_server(http_server_options options, http_handler handler)
    : impl_(std::make_unique<impl>(std::move(options), std::move(handler))) {}
http_server::~http_server() = default;
bool http_server::start() {
    return impl_->start();
}
void http_server::stop_accepting() {
    impl_->stop_accepting();
}
std::uint16_t http_server::port() const {
    return impl_->port();
}
http_server::evictions http_server::take_evicted() {
    return impl_->take_evicted();
}
std::size_t http_server::open_exchanges() const {
    return impl_->open();
}

} // namespace waxwinglb::edge
