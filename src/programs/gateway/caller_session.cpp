#include "programs/gateway/caller_session.hpp"

#include "platform/headers.hpp"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <bit>
#include <charconv>

namespace waxwinglb::programs::gateway {
namespace {

using core::ingress::part;
using core::ingress::phase;

constexpr std::size_t max_read_ahead = 8U << 10U; // bytes read while an earlier request is open
constexpr std::size_t max_unsent_bytes =
    256U << 10U; // to a slow caller; then nothing more is read from its target
constexpr std::size_t max_unsent_when_short = 16U << 10U; // the same while the memory for clients is short
constexpr std::size_t max_unread_answers = 64U
                                           << 10U; // of finished answers, before the next request is opened
constexpr std::size_t least_answer_charge = 4U << 10U;
constexpr std::size_t copied_answer = 16U << 10U;  // bytes up to which a body is joined with its head
constexpr const char* room_retry_after_s = "1.00"; // in which large bodies end or time out

} // namespace

std::string_view reason_phrase(int status) {
    const auto text =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

void caller_session::start(int socket) {
    edge::connection::events handlers;
    handlers.on_data = [this](std::string_view bytes) { receive(bytes); };
    handlers.on_drained = [this] { handle_drained(); };
    handlers.on_closed = [this](edge::close_reason) { handle_close(); };
    peer_ = edge::peer_address_of(socket);
    id_ = ledger_.open(peer_, loop_.now());
    connection_ = edge::connection::adopt(loop_, socket, std::move(handlers));
    restart_timeout();
}

void caller_session::receive(std::string_view bytes) {
    const auto self = shared_from_this();
    if (busy())
        return store(bytes);
    const bool begins = reader_.current() == edge::request_reader::state::idle;
    if (begins)
        update_limits();
    const bool had_header = reader_.header_complete();
    auto state = reader_.feed(bytes);
    while (true) {
        if (state == edge::request_reader::state::refused)
            return refuse(reader_.refusal());
        if (!account())
            return wait_for_room();
        if (!reader_.awaits_room())
            break;
        reader_.allow_fields();
        state = reader_.feed("");
    }
    if (ledger_.exhausted() && reader_.header_complete())
        return refuse_for_room();
    if (state == edge::request_reader::state::complete)
        return open_request();
    if (state == edge::request_reader::state::partial) {
        resume_reading(); // the rest of this request is needed
        if (begins || timeout_at_ == core::common::time_point{})
            ledger_.enter(id_, phase::reading, loop_.now());
        ledger_.note_received(id_, bytes.size(), loop_.now());
    }
    if (reader_.wants_continue() && !continue_sent_) {
        continue_sent_ = true;
        connection_->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (timeout_at_ == core::common::time_point{} || had_header != reader_.header_complete() || had_header)
        restart_timeout();
}

/// Keeps what comes while a request is open, up to a limit.
void caller_session::store(std::string_view bytes) {
    reader_.store(bytes);
    charge(open_cost_ + reader_.stored());
    limit_read_ahead();
}

void caller_session::limit_read_ahead() {
    if (reader_.buffered() <= max_read_ahead || paused_)
        return;
    paused_ = true;
    connection_->pause_reading();
}

void caller_session::charge(std::size_t bytes) {
    if (bytes == charged_)
        return;
    const bool released = bytes < charged_;
    charged_ = bytes;
    ledger_.hold(id_, part::request, bytes);
    if (released)
        callbacks_.on_room();
}

void caller_session::resume_reading() {
    if (!paused_)
        return;
    paused_ = false;
    connection_->resume_reading();
}

/// Charges for the request being read. Returns false if there is no room for it now.
bool caller_session::account() {
    const std::size_t cost = reader_.cost();
    if (cost == charged_)
        return true;
    if (cost < charged_ || cost <= core::ingress::small_amount) {
        charge(cost);
        return true;
    }
    wanted_ = cost;
    if (!ledger_.reserve(id_, part::request, cost, loop_.now()))
        return false;
    charged_ = cost;
    return true;
}

/// No timeout runs meanwhile: it isn't the caller that makes no progress.
void caller_session::wait_for_room() {
    if (awaits_room_)
        return;
    awaits_room_ = true;
    ledger_.enter(id_, phase::reading, loop_.now());
    connection_->pause_reading();
    loop_.cancel(timer_);
    callbacks_.on_limited(*this, "paused", "no_room_for_request");
}

void caller_session::handle_room() {
    const auto self = shared_from_this();
    if (!connection_)
        return;
    if (answer_waits_) {
        answer_waits_ = false;
        answer_charged_ = wanted_;
        if (request_open_)
            callbacks_.on_drained(*this);
        return;
    }
    if (!awaits_room_)
        return;
    awaits_room_ = paused_ = false;
    charged_ = wanted_;
    ledger_.enter(id_, phase::reading, loop_.now());
    connection_->resume_reading();
    timeout_at_ = {};
    receive("");
}

void caller_session::refuse_for_room() {
    const auto self = shared_from_this();
    if (!connection_ || request_open_)
        return;
    callbacks_.on_limited(*this, "refused", "no_room_for_request");
    std::vector<edge::http_field> fields{{"Retry-After", room_retry_after_s}};
    if (const auto id = reader_.field(platform::request_id_header); !id.empty())
        fields.push_back({std::string{platform::request_id_header}, std::string{id}});
    refuse(503, fields);
}

std::string caller_session::key() const {
    return std::string{reader_.field(platform::key_header)};
}

std::size_t caller_session::max_unsent() const {
    return ledger_.is_short() ? max_unsent_when_short : max_unsent_bytes;
}

bool caller_session::reserve_answer(std::size_t bytes) {
    if (!connection_ || bytes <= answer_charged_)
        return true;
    const std::size_t amount = std::bit_ceil(std::max(bytes, least_answer_charge));
    if (answer_waits_ && amount <= wanted_)
        return false; // a smaller amount, granted now, would end the wait for the whole answer
    wanted_ = amount;
    if (!ledger_.reserve(id_, part::answer, amount, loop_.now())) {
        if (!answer_waits_)
            callbacks_.on_limited(*this, "paused", "no_room_for_answer");
        answer_waits_ = true;
        return false;
    }
    answer_waits_ = false;
    answer_charged_ = amount;
    return true;
}

void caller_session::handle_drained() {
    note_unread();
    if (answers_unread_)
        return read_next();
    if (request_open_ && !answer_waits_)
        callbacks_.on_drained(*this);
}

void caller_session::note_unread() {
    const std::size_t left = unsent();
    if (left == unread_)
        return;
    const bool released = left < unread_;
    unread_ = left;
    ledger_.hold(id_, part::unread, left);
    if (released)
        callbacks_.on_room();
}

void caller_session::note_progress() {
    if (unread_ == 0 || !connection_)
        return;
    ledger_.note_taken(id_, connection_->taken(), loop_.now());
    note_unread();
}

bool caller_session::may_be_evicted() const {
    if (!connection_)
        return false;
    if (closing_)
        return connection_->not_taken() == 0 || unread_ > 0;
    const bool idle = !busy() && reader_.current() == edge::request_reader::state::idle;
    return !idle || !connection_->has_unread();
}

void caller_session::drop() {
    const auto self = shared_from_this();
    if (!connection_)
        return;
    connection_->close();
    handle_close();
}

void caller_session::open_request() {
    request_open_ = true;
    answer_begun_ = false;
    continue_sent_ = false;
    loop_.cancel(timer_);
    ledger_.enter(id_, phase::open, loop_.now());
    update_limits();
    auto request = reader_.take();
    open_cost_ = charged_;
    keep_alive_ = request.keep_alive;
    limit_read_ahead();
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
    if (busy() || awaits_room_ || !connection_)
        return;
    if (reader_.current() == edge::request_reader::state::partial)
        return refuse(408);
    if (connection_->unsent() > 0)
        return restart_timeout(); // not idle: an answer is still being sent
    abort();
}

void caller_session::refuse(int status, const std::vector<edge::http_field>& fields) {
    keep_alive_ = false;
    request_open_ = true;
    awaits_room_ = false;
    ledger_.stop_waiting(id_);
    reader_.discard();
    open_cost_ = 0;
    answer(status, fields, "");
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
    out.append("\r\n");
    if (body.size() <= copied_answer) {
        connection_->send(out.append(body));
    } else {
        connection_->send(out);
        connection_->send(body);
    }
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
    note_unread();
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
    open_cost_ = 0;
    if (answer_waits_)
        ledger_.stop_waiting(id_);
    answer_waits_ = false;
    if (answer_charged_ > 0) {
        answer_charged_ = 0;
        ledger_.hold(id_, part::answer, 0);
        callbacks_.on_room();
    }
    note_unread();
    if (!keep_alive_ || callbacks_.draining()) {
        reader_.discard();
        charge(0);
        ledger_.enter(id_, phase::closing, loop_.now());
        loop_.cancel(timer_);
        closing_ = true;
        connection_->close_when_sent(); // handle_close() follows
        return;
    }
    charge(reader_.stored());
    ledger_.enter(id_, phase::idle, loop_.now());
    if (unread_ > max_unread_answers) {
        // Otherwise answers to pipelined requests would pile up for a caller that doesn't read them.
        answers_unread_ = true;
        return;
    }
    read_next();
}

/// Goes on to the next request, which may have been read already.
void caller_session::read_next() {
    answers_unread_ = false;
    // What was read ahead comes first: a caller would otherwise fill the buffer faster than its requests are
    // answered.
    if (reader_.buffered() <= max_read_ahead)
        resume_reading();
    timeout_at_ = {};
    // Deferred to the event loop: pipelined requests would otherwise recurse and grow the stack.
    loop_.cancel(timer_);
    timer_ = loop_.schedule(loop_.now(), [weak = weak_from_this()] {
        const auto session = weak.lock();
        if (!session || !session->connection_ || session->busy() || session->awaits_room_)
            return;
        session->timer_ = {};
        session->receive("");
        if (!session->busy() && !session->closing_ && !session->awaits_room_ && session->connection_)
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
    leave();
    callbacks_.on_closed(*this);
}

void caller_session::leave() {
    loop_.cancel(timer_);
    ledger_.close(id_);
    callbacks_.on_room();
}

void caller_session::close_if_idle() {
    if (!request_open_)
        abort();
}

void caller_session::handle_close() {
    const auto self = shared_from_this();
    connection_.reset();
    leave();
    if (request_open_) {
        request_open_ = false;
        callbacks_.on_disconnected(*this);
    }
    callbacks_.on_closed(*this);
}

} // namespace waxwinglb::programs::gateway
