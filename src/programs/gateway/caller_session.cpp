#include "programs/gateway/caller_session.hpp"

#include <boost/beast/http/status.hpp>

#include <charconv>

namespace waxwinglb::programs::gateway {
namespace {

constexpr std::size_t max_read_ahead = 64U << 10U; // bytes read while an earlier request is open

} // namespace

std::string_view reason_phrase(int status) {
    const auto text =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

void caller_session::start(int socket) {
    edge::connection::events handlers;
    handlers.on_data = [this](std::string_view bytes) { receive(bytes); };
    handlers.on_drained = [this] {
        if (request_open_)
            callbacks_.on_drained(*this);
    };
    handlers.on_closed = [this](edge::close_reason) { handle_close(); };
    connection_ = edge::connection::adopt(loop_, socket, std::move(handlers));
    restart_timeout();
}

void caller_session::receive(std::string_view bytes) {
    const auto self = shared_from_this();
    if (reader_.current() == edge::request_reader::state::idle)
        update_limits();
    const bool had_header = reader_.header_complete();
    const auto state = reader_.feed(bytes);
    if (request_open_) {
        if (reader_.buffered() > max_read_ahead && !paused_) {
            paused_ = true;
            connection_->pause_reading();
        }
        return;
    }
    if (state == edge::request_reader::state::refused)
        return refuse(reader_.refusal());
    if (state == edge::request_reader::state::complete)
        return open_request();
    if (reader_.wants_continue() && !continue_sent_) {
        continue_sent_ = true;
        connection_->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (timeout_at_ == core::common::time_point{} || had_header != reader_.header_complete() || had_header)
        restart_timeout();
}

void caller_session::open_request() {
    request_open_ = true;
    answer_begun_ = false;
    continue_sent_ = false;
    loop_.cancel(timer_);
    update_limits();
    auto request = reader_.take();
    keep_alive_ = request.keep_alive;
    callbacks_.on_request(shared_from_this(), std::move(request));
}

void caller_session::update_limits() {
    const auto in_force = callbacks_.limits();
    if (in_force == limits_)
        return;
    limits_ = in_force;
    reader_.change_limits(limits_.max_header, limits_.max_body);
}

/// Starts the header timeout while a header is incomplete, otherwise the idle timeout.
void caller_session::restart_timeout() {
    const bool in_header =
        reader_.current() == edge::request_reader::state::partial && !reader_.header_complete();
    const auto timeout_at = loop_.now() + (in_header ? limits_.header_timeout : limits_.idle_timeout);
    if (in_header && timeout_at_ != core::common::time_point{} && timer_.second != 0 &&
        timeout_at_ <= timeout_at && reader_.buffered() > 0 && header_timeout_)
        return; // more bytes of a header don't extend its timeout
    header_timeout_ = in_header;
    loop_.cancel(timer_);
    timeout_at_ = timeout_at;
    timer_ = loop_.schedule(timeout_at, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->handle_timeout();
    });
}

void caller_session::handle_timeout() {
    if (request_open_ || !connection_)
        return;
    if (reader_.current() == edge::request_reader::state::partial)
        return refuse(408);
    if (connection_->unsent() > 0)
        return restart_timeout(); // not idle: an answer is still being sent
    abort();
}

void caller_session::refuse(int status) {
    keep_alive_ = false;
    request_open_ = true;
    answer(status, {}, "");
}

std::string caller_session::head(int status, const std::vector<edge::http_field>& fields) const {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out.append(reason_phrase(status)).append("\r\n");
    for (const edge::http_field& field : fields)
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    if (!keep_alive_ || callbacks_.draining())
        out.append("Connection: close\r\n");
    return out;
}

void caller_session::answer(int status, const std::vector<edge::http_field>& fields, std::string_view body) {
    if (!connection_ || !request_open_ || answer_begun_)
        return;
    std::string out = head(status, fields);
    if (status != 204 && status != 304)
        out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    out.append("\r\n").append(body);
    connection_->send(out);
    finish_answer();
}

void caller_session::begin_answer(int status, const std::vector<edge::http_field>& fields) {
    if (!connection_ || !request_open_ || answer_begun_)
        return;
    answer_begun_ = true;
    connection_->send(head(status, fields) + "Transfer-Encoding: chunked\r\n\r\n");
}

void caller_session::write(std::string_view piece) {
    if (!connection_ || !answer_begun_ || piece.empty())
        return;
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), piece.size(), 16).ptr;
    std::string out{size.data(), end};
    out.append("\r\n").append(piece).append("\r\n");
    connection_->send(out);
}

void caller_session::end_answer() {
    if (!connection_ || !answer_begun_)
        return;
    connection_->send("0\r\n\r\n");
    finish_answer();
}

void caller_session::finish_answer() {
    const auto self = shared_from_this();
    request_open_ = false;
    answer_begun_ = false;
    if (!keep_alive_ || callbacks_.draining()) {
        loop_.cancel(timer_);
        closing_ = true;
        connection_->close_when_sent(); // handle_close() follows
        return;
    }
    if (paused_) {
        paused_ = false;
        connection_->resume_reading();
    }
    timeout_at_ = {};
    // Deferred to the event loop: pipelined requests would otherwise recurse and grow the stack.
    timer_ = loop_.schedule(loop_.now(), [weak = weak_from_this()] {
        const auto session = weak.lock();
        if (!session || !session->connection_ || session->request_open_)
            return;
        session->timer_ = {};
        session->receive("");
        if (!session->request_open_ && !session->closing_ && session->connection_)
            session->restart_timeout();
    });
}

void caller_session::abort() {
    const auto self = shared_from_this();
    if (!connection_)
        return;
    connection_->close();
    connection_.reset();
    request_open_ = false;
    loop_.cancel(timer_);
    callbacks_.on_closed(*this);
}

void caller_session::close_if_idle() {
    if (!request_open_)
        abort();
}

void caller_session::handle_close() {
    const auto self = shared_from_this();
    connection_.reset();
    loop_.cancel(timer_);
    if (request_open_) {
        request_open_ = false;
        callbacks_.on_disconnected(*this);
    }
    callbacks_.on_closed(*this);
}

} // namespace waxwinglb::programs::gateway
