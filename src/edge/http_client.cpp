#include "edge/http_client.hpp"

#include "edge/crash_report.hpp"

#include <curl/curl.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace waxwinglb::edge {
namespace {

constexpr int idle_poll_ms = 1000;
constexpr long max_connections_cached = 256;
constexpr std::size_t max_headers = 256U << 10U; // bytes, of all header fields of one answer
constexpr core::common::milliseconds shortest_poll{1};
// Of an answer limited by progress. A megabyte, as of a configuration of 4,000 routes, takes a second on the
// slowest links (10 Mbit/s) alone, and several times that beside other traffic.
constexpr core::common::milliseconds progress_timeout{1'000};
constexpr core::common::milliseconds max_transfer_time{15'000};

struct curl_globals {
    curl_globals() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

} // namespace

void limit_by_progress(client_request& request, core::common::milliseconds answer_timeout) {
    request.answer_timeout = answer_timeout;
    request.stall_timeout = progress_timeout;
    request.timeout = answer_timeout + max_transfer_time;
}

class http_client::impl {
public:
    impl() : multi_(init()), thread_([this] { run(); }) {}
    ~impl() {
        stop();
        curl_multi_cleanup(multi_);
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    void stop() {
        stopping_ = true;
        curl_multi_wakeup(multi_);
        if (thread_.joinable())
            thread_.join();
    }
    client_call add(client_request request, std::function<void(client_result&&)> on_done,
                    std::function<void(int, std::string_view)> on_data) {
        auto made = std::make_unique<call>();
        made->id = ++last_id_;
        made->request = std::move(request);
        made->on_done = std::move(on_done);
        made->on_data = std::move(on_data);
        const client_call id = made->id;
        {
            const std::scoped_lock hold{mutex_};
            added_.push_back(std::move(made));
        }
        curl_multi_wakeup(multi_);
        return id;
    }
    void cancel(client_call id) {
        {
            const std::scoped_lock hold{mutex_};
            cancelled_.push_back(id);
        }
        curl_multi_wakeup(multi_);
    }

private:
    struct call {
        client_call id = 0;
        client_request request;
        client_result result;
        std::function<void(client_result&&)> on_done;
        std::function<void(int, std::string_view)> on_data;
        CURL* easy = nullptr;
        curl_slist* headers = nullptr;
        std::size_t header_bytes = 0; // received
        std::size_t held = 0;         // bytes of the head and of a collected body
        bool too_large = false;       // the answer was given up because of its size
        bool head_complete = false;   // of the answer; trailers come later
        core::common::time_point last_byte{};
    };

    static CURLM* init() {
        static const curl_globals once;
        CURLM* multi = curl_multi_init();
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, max_connections_cached);
        return multi;
    }
    static void note_bytes(call& transfer, std::size_t count) {
        transfer.result.received += count;
        if (transfer.request.stall_timeout.count() > 0)
            transfer.last_byte = core::common::clock::now();
        if (transfer.request.progress)
            transfer.request.progress->received += count;
    }
    /// Charges for bytes that are kept. Returns false if the answer has become too large.
    static bool hold_bytes(call& transfer, std::size_t count) {
        const client_request& request = transfer.request;
        transfer.too_large =
            transfer.held + count > request.max_answer || (request.memory && !request.memory->take(count));
        if (!transfer.too_large)
            transfer.held += count;
        return !transfer.too_large;
    }
    static std::size_t receive_body(char* data, std::size_t unit, std::size_t count, void* self) {
        auto& transfer = *static_cast<call*>(self);
        note_bytes(transfer, unit * count);
        long status = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
        if (transfer.on_data)
            transfer.on_data(static_cast<int>(status), {data, unit * count});
        else if (!hold_bytes(transfer, unit * count))
            return 0; // ends the call as interrupted
        else
            transfer.result.body.append(data, unit * count);
        return unit * count;
    }
    static std::size_t receive_header(char* data, std::size_t unit, std::size_t count, void* self) {
        auto& transfer = *static_cast<call*>(self);
        note_bytes(transfer, unit * count);
        transfer.header_bytes += unit * count;
        if (transfer.header_bytes > max_headers || !hold_bytes(transfer, unit * count))
            return 0; // ends the call as interrupted
        std::string_view line{data, unit * count};
        if (line.starts_with("HTTP/"))
            transfer.head_complete = false; // an interim answer came before
        else if (line == "\r\n" || line == "\n")
            transfer.head_complete = true;
        const auto colon = line.find(':');
        if (colon != line.npos) {
            std::string name{line.substr(0, colon)};
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            line.remove_prefix(colon + 1);
            while (!line.empty() && std::isspace(static_cast<unsigned char>(line.front())) != 0)
                line.remove_prefix(1);
            while (!line.empty() && std::isspace(static_cast<unsigned char>(line.back())) != 0)
                line.remove_suffix(1);
            transfer.result.headers.push_back({std::move(name), std::string{line}});
        }
        return unit * count;
    }
    static int reset_on_close(void*, curl_socket_t socket, curlsocktype) {
        const linger reset{1, 0};
        const bool set = ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset) == 0;
        return set ? CURL_SOCKOPT_OK : CURL_SOCKOPT_ERROR;
    }
    void start_call(std::unique_ptr<call> transfer) {
        const client_request& request = transfer->request;
        transfer->easy = curl_easy_init();
        CURL* easy = transfer->easy;
        for (const http_field& field : request.headers)
            transfer->headers =
                curl_slist_append(transfer->headers, (field.name + ": " + field.value).c_str());
        transfer->headers = curl_slist_append(transfer->headers, "Expect:"); // no 100-continue round trip
        curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
        if (request.method != "GET" && request.method != "HEAD") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        }
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(request.connect_timeout.count()));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &impl::receive_body);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &impl::receive_header);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
        curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
        if (request.accepts_gzip)
            curl_easy_setopt(easy, CURLOPT_ACCEPT_ENCODING, "gzip");
        if (request.send_once) {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
        if (request.withdrawn_when_ended)
            curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &impl::reset_on_close);
        transfer->last_byte = core::common::clock::now();
        curl_multi_add_handle(multi_, easy);
        calls_[transfer->id] = std::move(transfer);
    }
    void finish_call(call& transfer, CURLcode code) {
        const std::unique_ptr<call> done = std::move(calls_[transfer.id]);
        calls_.erase(done->id);
        long status = 0;
        curl_easy_getinfo(done->easy, CURLINFO_RESPONSE_CODE, &status);
        done->result.status = static_cast<int>(status);
        done->result.outcome = outcome_of(*done, code);
        done->result.timed_out = code == CURLE_OPERATION_TIMEDOUT;
        done->result.connected = was_connected(*done);
        done->result.refused = was_refused(*done, code);
        if (done->request.memory)
            done->request.memory->give_back(done->held);
        if (code != CURLE_OK)
            done->result.why = {done->request.method + " request", done->request.url,
                                done->too_large ? "the answer is too large" : curl_easy_strerror(code)};
        else if (done->result.outcome != client_outcome::answered)
            done->result.why = {done->request.method + " request", done->request.url,
                                "the answer ended inside its head"};
        curl_multi_remove_handle(multi_, done->easy);
        curl_easy_cleanup(done->easy);
        curl_slist_free_all(done->headers);
        done->on_done(std::move(done->result));
    }
    static bool was_connected(const call& transfer) {
        double connected_s = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_CONNECT_TIME, &connected_s);
        long request_bytes = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &request_bytes);
        return connected_s > 0 || request_bytes > 0;
    }
    static bool was_refused(const call& transfer, CURLcode code) {
        long reason = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_OS_ERRNO, &reason);
        return code == CURLE_COULDNT_CONNECT && reason == ECONNREFUSED;
    }
    /// Without a connection the peer never received the request; after any other failure it may have run it.
    static client_outcome outcome_of(const call& transfer, CURLcode code) {
        if (code == CURLE_OK) // also if the connection ended inside the head
            return transfer.head_complete ? client_outcome::answered : client_outcome::interrupted;
        if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
            return client_outcome::not_sent;
        return code == CURLE_OPERATION_TIMEDOUT && !was_connected(transfer) ? client_outcome::not_sent
                                                                            : client_outcome::interrupted;
    }
    void run() {
        const crash_reported_thread this_thread{"http_client"};
        while (!stopping_) {
            take_commands();
            int running = 0;
            curl_multi_perform(multi_, &running);
            read_finished();
            end_stalled();
            curl_multi_poll(multi_, nullptr, 0, poll_ms(), nullptr);
        }
        while (!calls_.empty())
            finish_call(*calls_.begin()->second, CURLE_ABORTED_BY_CALLBACK);
    }
    /// When the call ends unless a byte comes; nullopt: no limit of this kind applies to it now.
    [[nodiscard]] static std::optional<core::common::time_point> stalled_at(const call& transfer) {
        const client_request& request = transfer.request;
        const bool awaits_answer = transfer.result.received == 0 && request.answer_timeout.count() > 0;
        const auto limit = awaits_answer ? request.answer_timeout : request.stall_timeout;
        return limit.count() > 0 ? std::optional{transfer.last_byte + limit} : std::nullopt;
    }
    [[nodiscard]] int poll_ms() const {
        core::common::milliseconds wait{idle_poll_ms};
        const auto at = core::common::clock::now();
        for (const auto& [id, transfer] : calls_)
            if (const auto end = stalled_at(*transfer))
                wait = std::min(wait, std::chrono::ceil<core::common::milliseconds>(*end - at));
        return static_cast<int>(std::max(wait, shortest_poll).count());
    }
    void take_commands() {
        std::vector<std::unique_ptr<call>> added;
        std::vector<client_call> cancelled;
        {
            const std::scoped_lock hold{mutex_};
            added.swap(added_);
            cancelled.swap(cancelled_);
        }
        for (auto& transfer : added)
            start_call(std::move(transfer));
        for (const client_call id : cancelled) {
            const auto found = calls_.find(id);
            if (found != calls_.end())
                finish_call(*found->second, CURLE_ABORTED_BY_CALLBACK);
        }
    }
    void read_finished() {
        int left = 0;
        while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            char* owner = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &owner);
            finish_call(*reinterpret_cast<call*>(owner), message->data.result);
        }
    }
    void end_stalled() {
        const auto at = core::common::clock::now();
        std::vector<call*> stalled;
        for (const auto& [id, transfer] : calls_)
            if (const auto end = stalled_at(*transfer); end && at >= *end)
                stalled.push_back(transfer.get());
        for (call* transfer : stalled)
            finish_call(*transfer, CURLE_OPERATION_TIMEDOUT);
    }

    CURLM* multi_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<call>> added_;
    std::vector<client_call> cancelled_;
    std::map<client_call, std::unique_ptr<call>> calls_;
    std::atomic<client_call> last_id_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

http_client::http_client() : impl_(std::make_unique<impl>()) {}
http_client::~http_client() = default;
client_call http_client::send(client_request request, std::function<void(client_result&&)> on_done,
                              std::function<void(int, std::string_view)> on_data) {
    return impl_->add(std::move(request), std::move(on_done), std::move(on_data));
}
void http_client::stop() {
    impl_->stop();
}
void http_client::cancel(client_call call) {
    impl_->cancel(call);
}

} // namespace waxwinglb::edge
