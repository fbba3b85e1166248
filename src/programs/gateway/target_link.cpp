#include "programs/gateway/target_link.hpp"

#include "platform/headers.hpp"

#include <algorithm>
#include <charconv>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;

constexpr milliseconds connect_timeout{700};        // a reachable target accepts within a few ms
constexpr milliseconds default_idle_timeout{3'000}; // for targets that state no idle timeout
constexpr double idle_part = 0.8;       // share of the stated timeout for which a connection is kept
constexpr double fresh_idle_part = 0.4; // share of that time for which non-repeatable requests use it
constexpr std::size_t max_skipped_bytes = 8U << 20U; // of such answers
constexpr int max_skipped_answers = 2;               // late answers to earlier requests on one connection

/// How long to keep a connection idle, from the target's "Keep-Alive: timeout=SECONDS".
milliseconds usable_idle_time(const edge::answer_head& head) {
    const std::string* field = edge::find_field(head.fields, "Keep-Alive");
    if (field == nullptr)
        return default_idle_timeout;
    const auto position = field->find("timeout=");
    int seconds = 0;
    if (position == std::string::npos ||
        std::from_chars(field->data() + position + 8, field->data() + field->size(), seconds).ec !=
            std::errc{})
        return default_idle_timeout;
    return std::chrono::duration_cast<milliseconds>(std::chrono::seconds{seconds} * idle_part);
}

} // namespace

exchange::exchange(std::shared_ptr<target_link> link, std::string request_id, events handlers)
    : link_(std::move(link)), request_id_(std::move(request_id)), events_(std::move(handlers)),
      reader_(std::make_unique<edge::answer_reader>()) {}

exchange::~exchange() {
    cancel();
}

void exchange::cancel() {
    if (!connection_)
        return;
    connection_->close();
    connection_.reset();
    --link_->open_;
}

void exchange::pause() {
    if (connection_)
        connection_->pause_reading();
}

void exchange::resume() {
    if (connection_)
        connection_->resume_reading();
}

void exchange::receive(std::string_view bytes) {
    reader_->feed(bytes);
    deliver();
}

/// Delivers what has been read as events. An event may cancel this exchange, which then has no connection.
void exchange::deliver() {
    for (;;) {
        if (const edge::answer_head* head = reader_->head(); head != nullptr && !head_delivered_) {
            const std::string* id = edge::find_field(head->fields, platform::request_id_header);
            head_delivered_ = true;
            const bool interim = head->status < 200; // the answer follows it
            other_request_ =
                interim || (id != nullptr ? *id != request_id_ : (reused_ || head->status < 300));
            if (!other_request_) {
                events_.on_head(*head);
                if (!connection_)
                    return;
            }
        }
        if (head_delivered_) {
            std::string body = reader_->take_body();
            if (other_request_ && (skipped_bytes_ += body.size()) > max_skipped_bytes)
                return fail(exchange_failure::malformed);
            if (!other_request_ && !body.empty()) {
                events_.on_body(std::move(body));
                if (!connection_)
                    return;
            }
        }
        const auto state = reader_->feed("");
        if (state == edge::answer_reader::state::broken)
            return fail(exchange_failure::malformed);
        if (state == edge::answer_reader::state::reading)
            return;
        if (!other_request_)
            return complete();
        if (++skipped_answers_ > max_skipped_answers)
            return fail(exchange_failure::malformed);
        std::string rest = reader_->rest();
        reader_ = std::make_unique<edge::answer_reader>();
        head_delivered_ = false;
        other_request_ = false;
        reader_->feed(rest);
    }
}

void exchange::handle_close(edge::close_reason reason) {
    if (reason == edge::close_reason::not_connected) {
        --link_->open_;
        connection_.reset();
        return fail(exchange_failure::not_sent);
    }
    if (reason == edge::close_reason::ended && reader_->feed_end() == edge::answer_reader::state::complete &&
        !other_request_) {
        deliver();
        return;
    }
    fail(reason == edge::close_reason::timed_out ? exchange_failure::silent : exchange_failure::broken);
}

void exchange::fail(exchange_failure failure) {
    cancel();
    const auto handler = std::move(events_.on_failed);
    events_ = {};
    if (handler)
        handler(failure);
}

void exchange::complete() {
    const edge::answer_head head = *reader_->head();
    const bool no_extra_bytes = reader_->rest().empty();
    auto connection = std::move(connection_);
    connection_.reset();
    if (connection) {
        if (no_extra_bytes && head.keep_alive && connection->open() && connection->unsent() == 0) {
            link_->keep_idle(std::move(connection), head);
        } else {
            connection->close();
            --link_->open_;
        }
    }
    const auto handler = std::move(events_.on_complete);
    events_ = {};
    if (handler)
        handler();
}

target_link::~target_link() {
    loop_.cancel(timer_);
    for (idle_connection& idle : idle_)
        idle.connection->close();
}

std::unique_ptr<exchange> target_link::send(std::string request, const std::string& request_id,
                                            connection_choice choice, exchange::events handlers) {
    std::unique_ptr<exchange> created{new exchange{shared_from_this(), request_id, std::move(handlers)}};
    exchange* self = created.get();
    edge::connection::events events;
    events.on_data = [self](std::string_view bytes) { self->receive(bytes); };
    events.on_closed = [self](edge::close_reason reason) { self->handle_close(reason); };
    if (auto idle = take_idle(choice)) {
        ++totals_.reused;
        created->reused_ = true;
        idle->change_events(std::move(events));
        created->connection_ = std::move(idle);
        created->connection_->send(request);
        return created;
    }
    ++totals_.opened;
    ++open_;
    created->request_ = std::move(request);
    events.on_connected = [self] {
        if (self->events_.may_send && !self->events_.may_send())
            return self->fail(exchange_failure::withdrawn);
        self->connection_->send(self->request_);
        self->request_.clear();
    };
    created->connection_ = edge::connection::open(loop_, address_, connect_timeout, std::move(events));
    return created;
}

std::shared_ptr<edge::connection> target_link::take_idle(connection_choice choice) {
    drop_expired();
    if (idle_.empty() || choice == connection_choice::unused)
        return nullptr;
    idle_connection& freshest = idle_.back();
    const auto now = loop_.now();
    const auto age = now - freshest.since;
    if (choice == connection_choice::recent && age > (freshest.until - freshest.since) * fresh_idle_part)
        return nullptr;
    auto out = std::move(freshest.connection);
    idle_.pop_back();
    return out;
}

void target_link::keep_idle(std::shared_ptr<edge::connection> connection, const edge::answer_head& head) {
    const auto now = loop_.now();
    edge::connection* raw = connection.get();
    // Bytes that arrive on an idle connection belong to no request, so the connection can't be reused.
    const auto discard = [this, raw] {
        const auto found = std::find_if(idle_.begin(), idle_.end(), [&](const idle_connection& idle) {
            return idle.connection.get() == raw;
        });
        if (found == idle_.end())
            return;
        const auto held = std::move(found->connection);
        idle_.erase(found);
        held->close();
        --open_;
    };
    edge::connection::events events;
    events.on_data = [discard](std::string_view) { discard(); };
    events.on_closed = [discard](edge::close_reason) { discard(); };
    connection->change_events(std::move(events));
    connection->resume_reading();
    idle_.push_back({std::move(connection), now, now + usable_idle_time(head)});
    schedule_expiry();
}

void target_link::schedule_expiry() {
    if (timer_.second != 0 || idle_.empty())
        return;
    timer_ = loop_.schedule(loop_.now() + default_idle_timeout, [this] {
        timer_ = {};
        drop_expired();
        schedule_expiry();
    });
}

void target_link::drop_expired() {
    const auto now = loop_.now();
    for (auto idle = idle_.begin(); idle != idle_.end();) {
        if (now < idle->until) {
            ++idle;
            continue;
        }
        idle->connection->close();
        idle = idle_.erase(idle);
        --open_;
    }
}

} // namespace waxwinglb::programs::gateway
