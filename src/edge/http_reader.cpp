#include "edge/http_reader.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <bit>
#include <cctype>

namespace waxwinglb::edge {
namespace {

namespace http = boost::beast::http;

constexpr std::array<std::string_view, 9> connection_fields{
    "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",    "transfer-encoding", "upgrade"};
constexpr std::uint32_t max_answer_header = 64U << 10U; // bytes
// Memory of one parsed field beyond its text: the parser's entry (about 80 bytes with its allocation) and the
// copy that the request keeps (two strings, 64 bytes).
constexpr std::size_t field_cost = 160;
constexpr std::size_t max_unreserved_lines = 256;   // of a head that is parsed without asking for room
constexpr std::size_t min_counted_head = 2U << 10U; // bytes; shorter heads hold few lines and are not counted
constexpr std::size_t kept_capacity = 4U << 10U;    // bytes of an empty buffer that are not given back
// Length of a last chunk. Beast's parser asserts that it is never called with less of one that it has begun
// to read, but a request whose body is just "0\r\n" and then one byte at a time does so. Found by
// waxwing-fuzz-clients.
constexpr std::size_t least_chunked_rest = 5;
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::size_t max_framing = 64U << 10U; // bytes of a chunk's head or a trailer that has not ended

/// A message body that grows with the bytes that come. string_body would allocate the whole length that the
/// sender states.
struct growing_body {
    using value_type = std::string;
    class reader {
    public:
        template<bool is_request, class fields>
        reader(http::header<is_request, fields>&, value_type& body) : body_(body) {}
        static void init(const boost::optional<std::uint64_t>&, boost::system::error_code& failure) {
            failure = {};
        }
        std::size_t put(const boost::asio::const_buffer& bytes, boost::system::error_code& failure) {
            failure = {};
            body_.append(static_cast<const char*>(bytes.data()), bytes.size());
            return bytes.size();
        }
        static void finish(boost::system::error_code& failure) { failure = {}; }

    private:
        value_type& body_;
    };
};

bool equal_letter(char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
}

std::vector<http_field> copy_fields(const http::fields& from) {
    std::vector<http_field> out;
    out.reserve(static_cast<std::size_t>(std::distance(from.begin(), from.end())));
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

/// Whether it is one that an answer can have. No request asks to switch protocols.
bool is_status(unsigned status) {
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    constexpr unsigned switching_protocols = 101;
    return status >= first && status <= last && status != switching_protocols;
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
    parts_->parser.header_limit(
        static_cast<std::uint32_t>(max_header_ + head_end.size())); // see may_parse_head()
    parts_->parser.body_limit(max_body_);
    parts_->parser.eager(true);
    head_scanned_ = 0;
    head_used_ = 0;
    lines_ = 0;
    head_cost_ = 0;
    fields_allowed_ = false;
    awaits_room_ = false;
    state_ = buffer_.empty() ? state::idle : state::partial;
}

void request_reader::change_limits(std::size_t max_header, std::size_t max_body) {
    max_header_ = max_header;
    max_body_ = max_body;
    if (state_ == state::idle)
        begin();
}

request_reader::state request_reader::feed(std::string_view bytes) {
    if (state_ == state::refused)
        return state_; // its memory has been given back
    if (state_ == state::complete) {
        buffer_.append(bytes);
        return state_;
    }
    if (state_ == state::idle && (!bytes.empty() || !buffer_.empty()))
        state_ = state::partial;
    if (state_ != state::partial)
        return state_;
    if (buffer_.empty()) {
        const std::size_t used = parse(bytes);
        if (state_ != state::refused)
            buffer_.assign(bytes.substr(used));
    } else {
        buffer_.append(bytes);
        const std::size_t used = parse(buffer_);
        buffer_.erase(0, used);
    }
    if (buffer_.empty() && buffer_.capacity() > kept_capacity)
        std::string{}.swap(buffer_);
    return state_;
}

void request_reader::store(std::string_view bytes) {
    if (state_ == state::refused || bytes.empty())
        return;
    buffer_.append(bytes);
    if (state_ == state::idle)
        state_ = state::partial;
}

void request_reader::discard() {
    refuse(refusal_);
}

/// Gives back what was read: the rest of a refused request is not kept.
void request_reader::refuse(int status) {
    refusal_ = status;
    begin();
    std::string{}.swap(buffer_);
    state_ = state::refused;
}

/// Looks for the end of a head before it is parsed, whose first `head_used_` bytes the parser has taken.
/// Returns false if the head is too large, or needs room for very many fields. The parser's own limit counts
/// some heads differently when they come in pieces.
bool request_reader::may_parse_head(std::string_view head) {
    if (fields_allowed_ || head_used_ + head.size() < std::min(min_counted_head, max_header_))
        return true;
    if (awaits_room_)
        return false;
    const auto end = head.find(head_end, head_scanned_ - std::min(head_scanned_, head_end.size()));
    head_scanned_ = head.size();
    const bool complete = end != std::string_view::npos;
    if (complete ? head_used_ + end + head_end.size() > max_header_
                 : head_used_ + head.size() >= max_header_) {
        refuse(431);
        return false;
    }
    if (!complete)
        return true;
    lines_ = static_cast<std::size_t>(
        std::count(head.begin(), head.begin() + static_cast<std::ptrdiff_t>(end), '\n'));
    awaits_room_ = lines_ > max_unreserved_lines;
    return !awaits_room_;
}

/// Parses bytes of the present request; returns how many were used.
std::size_t request_reader::parse(std::string_view bytes) {
    auto& parser = parts_->parser;
    std::size_t done = 0;
    while (done < bytes.size() && !parser.is_done()) {
        const bool had_header = parser.is_header_done();
        const std::string_view rest = bytes.substr(done);
        if (!had_header && !may_parse_head(rest))
            break;
        if (had_header && parser.chunked() && rest.size() < least_chunked_rest)
            break;
        boost::system::error_code failure;
        const auto used = parser.put(boost::asio::const_buffer{rest.data(), rest.size()}, failure);
        done += used;
        if (failure && failure != http::error::need_more) {
            refuse(status_for(failure));
            break;
        }
        if (!had_header && parser.is_header_done()) {
            if (ambiguous_length(parser.get()) || parser.get().version() != 11 ||
                count_fields(parser.get(), http::field::host) != 1) {
                refuse(400);
                break;
            }
            note_head();
        } else if (!had_header) {
            head_used_ += used;
            head_scanned_ -= std::min(head_scanned_, used);
        }
        if (used == 0)
            break;
    }
    if (state_ != state::refused && parts_->parser.is_done())
        state_ = state::complete;
    return done;
}

void request_reader::note_head() {
    const auto& message = parts_->parser.get();
    head_cost_ = 2 * message.target().size();
    for (const auto& field : message)
        head_cost_ += field_cost + 2 * (field.name_string().size() + field.value().size());
}

std::size_t request_reader::cost() const {
    std::size_t out = stored();
    if (!header_complete())
        return out + (lines_ > max_unreserved_lines ? lines_ * field_cost + 2 * buffer_.size() : 0);
    out += head_cost_;
    const auto& parser = parts_->parser;
    if (const auto length = parser.content_length())
        return out + 2 * static_cast<std::size_t>(*length);
    if (const std::size_t size = parser.get().body().size(); size > 0)
        out += 2 * std::bit_ceil(std::max(size, least_chunked_body));
    return out;
}

std::string_view request_reader::field(std::string_view name) const {
    if (!header_complete())
        return {};
    const auto value = parts_->parser.get()[boost::beast::string_view{name.data(), name.size()}];
    return {value.data(), value.size()};
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
    http::response_parser<growing_body> parser;
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
            if (!is_status(parser.get().result_int()) || ambiguous_length(parser.get()))
                return state_ = state::broken;
            read_head();
        }
        if (used == 0)
            break;
    }
    if (state_ == state::broken)
        return state_;
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
