#include "programs/gateway/target_link.hpp"

#include "platform/headers.hpp"

#include <algorithm>
#include <charconv>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;

constexpr milliseconds connect_timeout{700}; // a target that is up answers within a few ms
constexpr milliseconds default_idle{3'000};  // for targets that name no idle timeout
constexpr double idle_part = 0.8;            // of the named timeout that a connection is kept
constexpr double careful_part = 0.4;         // and is trusted with what may not be repeated
constexpr int max_skipped_answers = 2;       // late answers to earlier requests on one connection

/// Idle time that the target allows: "Keep-Alive: timeout=SECONDS".
milliseconds idle_allowed(const edge::answer_head& head) {
    const std::string* field = edge::find_field(head.fields, "Keep-Alive");
    if (field == nullptr)
        return default_idle;
    const auto at = field->find("timeout=");
    int seconds = 0;
    if (at == std::string::npos ||
        std::from_chars(field->data() + at + 8, field->data() + field->size(), seconds).ec != std::errc{})
        return default_idle;
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

void exchange::take(std::string_view bytes) {
    reader_->feed(bytes);
    advance();
}

/// Hands on what has been read. An event may cancel this exchange: it has no connection then.
void exchange::advance() {
    for (;;) {
        if (const edge::answer_head* head = reader_->head(); head != nullptr && !head_told_) {
            const std::string* id = edge::find_field(head->fields, platform::request_id_header);
            head_told_ = true;
            foreign_ = id != nullptr ? *id != request_id_ : (kept_ || head->status < 300);
            if (!foreign_) {
                events_.on_head(*head);
                if (!connection_)
                    return;
            }
        }
        if (head_told_) {
            std::string body = reader_->take_body();
            if (!foreign_ && !body.empty()) {
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
        if (!foreign_)
            return complete();
        if (++skipped_ > max_skipped_answers)
            return fail(exchange_failure::malformed);
        std::string rest = reader_->rest();
        reader_ = std::make_unique<edge::answer_reader>();
        head_told_ = false;
        foreign_ = false;
        reader_->feed(rest);
    }
}

void exchange::ended(edge::close_reason reason) {
    if (reason == edge::close_reason::not_connected) {
        --link_->open_;
        connection_.reset();
        return fail(exchange_failure::not_sent);
    }
    if (reason == edge::close_reason::ended && reader_->feed_end() == edge::answer_reader::state::complete &&
        !foreign_) {
        advance();
        return;
    }
    fail(exchange_failure::broken);
}

void exchange::fail(exchange_failure how) {
    cancel();
    const auto report = std::move(events_.on_failed);
    events_ = {};
    if (report)
        report(how);
}

void exchange::complete() {
    const edge::answer_head head = *reader_->head();
    const bool clean = reader_->rest().empty();
    auto connection = std::move(connection_);
    connection_.reset();
    if (connection) {
        if (clean && head.keep_alive && connection->open() && connection->unsent() == 0) {
            link_->keep(std::move(connection), head);
        } else {
            connection->close();
            --link_->open_;
        }
    }
    const auto report = std::move(events_.on_complete);
    events_ = {};
    if (report)
        report();
}

target_link::~target_link() {
    loop_.cancel(timer_);
    for (idle_connection& one : idle_)
        one.connection->close();
}

std::unique_ptr<exchange> target_link::send(std::string request, const std::string& request_id, bool careful,
                                            exchange::events handlers) {
    std::unique_ptr<exchange> made{new exchange{shared_from_this(), request_id, std::move(handlers)}};
    exchange* self = made.get();
    edge::connection::events events;
    events.on_data = [self](std::string_view bytes) { self->take(bytes); };
    events.on_closed = [self](edge::close_reason reason) { self->ended(reason); };
    if (auto kept = take_idle(careful)) {
        ++totals_.reused;
        made->kept_ = true;
        kept->change_events(std::move(events));
        made->connection_ = std::move(kept);
        made->connection_->send(request);
        return made;
    }
    ++totals_.opened;
    ++open_;
    made->request_ = std::move(request);
    events.on_connected = [self] {
        self->connection_->send(self->request_);
        self->request_.clear();
    };
    made->connection_ = edge::connection::open(loop_, address_, connect_timeout, std::move(events));
    return made;
}

std::shared_ptr<edge::connection> target_link::take_idle(bool careful) {
    drop_expired();
    if (idle_.empty())
        return nullptr;
    idle_connection& freshest = idle_.back();
    const auto now = loop_.now();
    const auto age = now - freshest.since;
    if (careful && age > (freshest.until - freshest.since) * careful_part)
        return nullptr;
    auto out = std::move(freshest.connection);
    idle_.pop_back();
    return out;
}

void target_link::keep(std::shared_ptr<edge::connection> connection, const edge::answer_head& head) {
    const auto now = loop_.now();
    edge::connection* raw = connection.get();
    // Whatever arrives while no request waits belongs to none: the connection is of no use any more.
    const auto forget = [this, raw] {
        const auto found = std::find_if(idle_.begin(), idle_.end(), [&](const idle_connection& one) {
            return one.connection.get() == raw;
        });
        if (found == idle_.end())
            return;
        const auto held = std::move(found->connection);
        idle_.erase(found);
        held->close();
        --open_;
    };
    edge::connection::events events;
    events.on_data = [forget](std::string_view) { forget(); };
    events.on_closed = [forget](edge::close_reason) { forget(); };
    connection->change_events(std::move(events));
    connection->resume_reading();
    idle_.push_back({std::move(connection), now, now + idle_allowed(head)});
    arm();
}

void target_link::arm() {
    if (timer_.second != 0 || idle_.empty())
        return;
    timer_ = loop_.schedule(loop_.now() + default_idle, [this] {
        timer_ = {};
        drop_expired();
        arm();
    });
}

void target_link::drop_expired() {
    const auto now = loop_.now();
    for (auto one = idle_.begin(); one != idle_.end();) {
        if (now < one->until) {
            ++one;
            continue;
        }
        one->connection->close();
        one = idle_.erase(one);
        --open_;
    }
}

} // namespace waxwinglb::programs::gateway
