#include "edge/http_reader.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace waxwinglb::edge {
namespace {

namespace http = boost::beast::http;

constexpr std::array<std::string_view, 9> connection_fields{
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "transfer-encoding", "upgrade"};
constexpr std::uint32_t max_answer_header = 64U << 10U; // bytes
constexpr std::size_t max_framing = 64U << 10U; // bytes of a chunk's head or a trailer that has not ended

bool equal_letter(char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
}

std::vector<http_field> copy_fields(const http::fields& from) {
    std::vector<http_field> out;
    for (const auto& field : from)
        out.push_back({std::string{field.name_string()}, std::string{field.value()}});
    return out;
}

std::size_t count_fields(const http::fields& in, http::field name) {
    return in.count(name);
}

/// True if two parsers could disagree about where the message ends.
bool ambiguous_length(const http::fields& fields) {
    const auto codings = count_fields(fields, http::field::transfer_encoding);
    const auto lengths = count_fields(fields, http::field::content_length);
    if (codings + lengths > 1)
        return true;
    return codings == 1 && !same_name(fields[http::field::transfer_encoding], "chunked");
}

int status_for(const boost::system::error_code& failure) {
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow)
        return 431;
    return failure == http::error::body_limit ? 413 : 400;
}

} // namespace

bool same_name(std::string_view a, std::string_view b) {
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), equal_letter);
}

const std::string* find_field(const std::vector<http_field>& fields, std::string_view name) {
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [&](const http_field& field) { return same_name(field.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

bool concerns_connection(std::string_view name) {
    return std::any_of(connection_fields.begin(), connection_fields.end(),
                       [&](std::string_view field) { return same_name(field, name); });
}

// ---- requests --------------------------------------------------------------------------------------

struct request_reader::parts {
    http::request_parser<http::string_body> parser;
};

request_reader::request_reader(std::size_t max_header, std::size_t max_body)
    : max_header_(max_header), max_body_(max_body) {
    begin();
}
request_reader::~request_reader() = default;

void request_reader::begin() {
    parts_ = std::make_unique<parts>();
    parts_->parser.header_limit(static_cast<std::uint32_t>(max_header_));
    parts_->parser.body_limit(max_body_);
    parts_->parser.eager(true);
    state_ = buffer_.empty() ? state::idle : state::partial;
}

void request_reader::change_limits(std::size_t max_header, std::size_t max_body) {
    max_header_ = max_header;
    max_body_ = max_body;
    if (state_ == state::idle)
        begin();
}

request_reader::state request_reader::feed(std::string_view bytes) {
    buffer_.append(bytes);
    if (state_ == state::idle && !buffer_.empty())
        state_ = state::partial;
    if (state_ == state::partial)
        parse();
    return state_;
}

void request_reader::refuse(int status) {
    refusal_ = status;
    state_ = state::refused;
}

void request_reader::parse() {
    auto& parser = parts_->parser;
    while (!buffer_.empty() && !parser.is_done()) {
        const bool had_header = parser.is_header_done();
        boost::system::error_code failure;
        const auto used = parser.put(boost::asio::const_buffer{buffer_.data(), buffer_.size()}, failure);
        buffer_.erase(0, used);
        if (failure && failure != http::error::need_more)
            return refuse(status_for(failure));
        if (!had_header && !parser.is_header_done() && buffer_.size() > max_header_)
            return refuse(431);
        if (!had_header && parser.is_header_done() &&
            (ambiguous_length(parser.get()) || parser.get().version() != 11 ||
             count_fields(parser.get(), http::field::host) != 1))
            return refuse(400);
        if (used == 0)
            break;
    }
    if (parser.is_done())
        state_ = state::complete;
}

bool request_reader::header_complete() const {
    return parts_->parser.is_header_done();
}

bool request_reader::wants_continue() const {
    return header_complete() && !parts_->parser.is_done() &&
           same_name(parts_->parser.get()[http::field::expect], "100-continue");
}

wire_request request_reader::take() {
    auto message = parts_->parser.release();
    wire_request out;
    out.method = std::string{message.method_string()};
    out.target = std::string{message.target()};
    out.fields = copy_fields(message);
    out.body = std::move(message.body());
    out.keep_alive = message.keep_alive();
    begin();
    return out;
}

// ---- answers ---------------------------------------------------------------------------------------

struct answer_reader::parts {
    http::response_parser<http::string_body> parser;
};

answer_reader::answer_reader() : parts_(std::make_unique<parts>()) {
    parts_->parser.header_limit(max_answer_header);
    parts_->parser.body_limit(boost::none);
    parts_->parser.eager(true);
}
answer_reader::~answer_reader() = default;

void answer_reader::read_head() {
    const auto& message = parts_->parser.get();
    answer_head head;
    head.status = static_cast<int>(message.result_int());
    head.fields = copy_fields(message);
    if (const auto length = parts_->parser.content_length())
        head.length = *length;
    head.ends_with_connection = parts_->parser.need_eof();
    head.keep_alive = parts_->parser.keep_alive();
    head_ = std::move(head);
}

answer_reader::state answer_reader::feed(std::string_view bytes) {
    begun_ = begun_ || !bytes.empty();
    buffer_.append(bytes);
    auto& parser = parts_->parser;
    while (state_ == state::reading && !buffer_.empty() && !parser.is_done()) {
        boost::system::error_code failure;
        const auto used = parser.put(boost::asio::const_buffer{buffer_.data(), buffer_.size()}, failure);
        buffer_.erase(0, used);
        if (failure && failure != http::error::need_more)
            return state_ = state::broken;
        if (!head_ && parser.is_header_done()) {
            if (ambiguous_length(parser.get()))
                return state_ = state::broken;
            read_head();
        }
        if (used == 0)
            break;
    }
    if (parser.is_done())
        state_ = state::complete;
    else if (buffer_.size() > max_framing) // what the parser leaves is part of the framing, never of the body
        state_ = state::broken;
    return state_;
}

answer_reader::state answer_reader::feed_end() {
    if (state_ != state::reading)
        return state_;
    boost::system::error_code failure;
    if (begun_ && parts_->parser.is_header_done() && parts_->parser.need_eof())
        parts_->parser.put_eof(failure);
    else
        return state_ = state::broken;
    return state_ = failure ? state::broken : state::complete;
}

std::string answer_reader::take_body() {
    std::string out;
    if (head_)
        out.swap(parts_->parser.get().body());
    return out;
}

} // namespace waxwinglb::edge
