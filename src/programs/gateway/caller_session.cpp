#include "programs/gateway/caller_session.hpp"

#include <boost/beast/http/status.hpp>

#include <charconv>

namespace waxwinglb::programs::gateway {
namespace {

constexpr std::size_t max_read_ahead = 64U << 10U; // bytes taken while an earlier request is open

} // namespace

std::string_view reason_of(int status) {
    const auto text =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

void caller_session::start(int socket) {
    edge::connection::events handlers;
    handlers.on_data = [this](std::string_view bytes) { take_in(bytes); };
    handlers.on_drained = [this] {
        if (busy_)
            owner_.on_drained(*this);
    };
    handlers.on_closed = [this](edge::close_reason) { closed(); };
    connection_ = edge::connection::adopt(loop_, socket, std::move(handlers));
    arm();
}

void caller_session::take_in(std::string_view bytes) {
    const auto self = shared_from_this();
    const bool had_header = reader_.header_complete();
    const auto state = reader_.feed(bytes);
    if (busy_) {
        if (reader_.buffered() > max_read_ahead && !paused_) {
            paused_ = true;
            connection_->pause_reading();
        }
        return;
    }
    if (state == edge::request_reader::state::refused)
        return refuse(reader_.refusal());
    if (state == edge::request_reader::state::complete)
        return next_request();
    if (reader_.wants_continue() && !continued_) {
        continued_ = true;
        connection_->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (limit_at_ == core::common::time_point{} || had_header != reader_.header_complete() || had_header)
        arm();
}

void caller_session::next_request() {
    busy_ = true;
    begun_ = false;
    continued_ = false;
    loop_.cancel(timer_);
    auto request = reader_.take();
    keep_alive_ = request.keep_alive;
    owner_.on_request(shared_from_this(), std::move(request));
}

/// Before a header is whole its timeout runs; then, and between requests, the idle timeout.
void caller_session::arm() {
    const bool in_header =
        reader_.current() == edge::request_reader::state::partial && !reader_.header_complete();
    const auto at = loop_.now() + (in_header ? limits_.header_timeout : limits_.idle_timeout);
    if (in_header && limit_at_ != core::common::time_point{} && timer_.second != 0 && limit_at_ <= at &&
        reader_.buffered() > 0 && timer_in_header_)
        return; // the header's time isn't prolonged by its bytes
    timer_in_header_ = in_header;
    loop_.cancel(timer_);
    limit_at_ = at;
    timer_ = loop_.schedule(at, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->check_limits();
    });
}

void caller_session::check_limits() {
    if (busy_ || !connection_)
        return;
    if (reader_.current() == edge::request_reader::state::partial)
        return refuse(408);
    abort();
}

void caller_session::refuse(int status) {
    keep_alive_ = false;
    busy_ = true;
    answer(status, {}, "");
}

std::string caller_session::head(int status, const std::vector<edge::http_field>& fields) const {
    std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
    out.append(reason_of(status)).append("\r\n");
    for (const edge::http_field& one : fields)
        out.append(one.name).append(": ").append(one.value).append("\r\n");
    if (!keep_alive_ || owner_.ending())
        out.append("Connection: close\r\n");
    return out;
}

void caller_session::answer(int status, const std::vector<edge::http_field>& fields, std::string_view body) {
    if (!connection_ || !busy_ || begun_)
        return;
    std::string out = head(status, fields);
    if (status != 204 && status != 304)
        out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    out.append("\r\n").append(body);
    connection_->send(out);
    finish();
}

void caller_session::begin_answer(int status, const std::vector<edge::http_field>& fields) {
    if (!connection_ || !busy_ || begun_)
        return;
    begun_ = true;
    connection_->send(head(status, fields) + "Transfer-Encoding: chunked\r\n\r\n");
}

void caller_session::write(std::string_view piece) {
    if (!connection_ || !begun_ || piece.empty())
        return;
    std::array<char, 20> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), piece.size(), 16).ptr;
    std::string out{size.data(), end};
    out.append("\r\n").append(piece).append("\r\n");
    connection_->send(out);
}

void caller_session::end_answer() {
    if (!connection_ || !begun_)
        return;
    connection_->send("0\r\n\r\n");
    finish();
}

void caller_session::finish() {
    const auto self = shared_from_this();
    busy_ = false;
    begun_ = false;
    if (!keep_alive_ || owner_.ending()) {
        connection_->close_when_sent();
        connection_.reset();
        loop_.cancel(timer_);
        owner_.on_closed(*this);
        return;
    }
    if (paused_) {
        paused_ = false;
        connection_->resume_reading();
    }
    limit_at_ = {};
    // From the loop, so that a run of pipelined requests doesn't grow the stack.
    timer_ = loop_.schedule(loop_.now(), [weak = weak_from_this()] {
        const auto live = weak.lock();
        if (!live || !live->connection_ || live->busy_)
            return;
        live->timer_ = {};
        live->take_in("");
        if (!live->busy_ && live->connection_)
            live->arm();
    });
}

void caller_session::abort() {
    const auto self = shared_from_this();
    if (!connection_)
        return;
    connection_->close();
    connection_.reset();
    busy_ = false;
    loop_.cancel(timer_);
    owner_.on_closed(*this);
}

void caller_session::close_if_idle() {
    if (!busy_)
        abort();
}

void caller_session::closed() {
    const auto self = shared_from_this();
    connection_.reset();
    loop_.cancel(timer_);
    if (busy_) {
        busy_ = false;
        owner_.on_gone(*this);
    }
    owner_.on_closed(*this);
}

} // namespace waxwinglb::programs::gateway
