/// Incremental readers of HTTP/1.1 requests and answers, on Boost.Beast's parser.
///
/// They refuse messages that two parsers could read differently (several lengths, a length with chunked
/// coding, unknown transfer codings), which prevents request smuggling.
#pragma once

#include "core/common/error.hpp"
#include "edge/http_server.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waxwinglb::edge {

/// Returns the value of the first field with this name, ignoring case; nullptr if there is none.
[[nodiscard]] const std::string* find_field(const std::vector<http_field>& fields, std::string_view name);
[[nodiscard]] bool same_name(std::string_view a, std::string_view b); // ignores case

/// True for hop-by-hop fields, which are never forwarded.
[[nodiscard]] bool concerns_connection(std::string_view name);

/// A request as it came on the wire.
struct wire_request {
    std::string method;
    std::string target;             // path and query as sent
    std::vector<http_field> fields; // in order, names as sent
    std::string body;
    bool keep_alive = true;
    [[nodiscard]] std::string_view path() const {
        return std::string_view{target}.substr(0, target.find('?'));
    }
};

/// A chunked body, whose length isn't known, is charged as a power of two from this size on, as its buffer
/// grows.
inline constexpr std::size_t least_chunked_body = 4U << 10U; // bytes

/// Reads the requests of one connection, one after the other.
class request_reader {
public:
    enum class state {
        idle,     // no byte of a request has been received
        partial,  // the request is incomplete
        complete, // take() returns the request
        refused,  // refusal() is the status to answer; then the connection must be closed
    };

    request_reader(std::size_t max_header, std::size_t max_body);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;
    request_reader(request_reader&&) = delete;
    request_reader& operator=(request_reader&&) = delete;

    void change_limits(std::size_t max_header, std::size_t max_body); // for the next request that begins
    state feed(std::string_view bytes); // bytes after a complete request stay buffered
    [[nodiscard]] state current() const { return state_; }
    [[nodiscard]] int refusal() const { return refusal_; }
    [[nodiscard]] bool header_complete() const;
    [[nodiscard]] bool wants_continue() const; // the caller waits for "100 Continue"
    [[nodiscard]] std::size_t buffered() const { return buffer_.size(); }
    /// Upper bound of the memory that the request being read takes once it is whole, as far as that is known,
    /// with the copy of its body that is sent to a target, and of the bytes buffered.
    [[nodiscard]] std::size_t cost() const;
    /// A head of very many fields is complete but not parsed, as the fields take much more memory than its
    /// text. Once there is room for cost(), call allow_fields() and feed("").
    [[nodiscard]] bool awaits_room() const { return awaits_room_; }
    void allow_fields() {
        fields_allowed_ = true;
        awaits_room_ = false;
    }
    [[nodiscard]] std::string_view field(std::string_view name) const; // of a complete header; empty: none
    /// Keeps bytes that come while an earlier request is open; feed("") parses them later.
    void store(std::string_view bytes);
    /// Memory of the bytes that are buffered; 0 while the text is short enough to stay in the object.
    [[nodiscard]] std::size_t stored() const {
        return buffer_.capacity() < sizeof(std::string) ? 0 : buffer_.capacity();
    }
    void discard();      // drops what was read, for a connection that is closed after its answer
    wire_request take(); // then call feed("") to read the next request from the buffer

private:
    struct parts;
    std::size_t parse(std::string_view bytes);
    bool may_parse_head(std::string_view head);
    void note_head();
    void refuse(int status);
    void begin();

    std::size_t max_header_;
    std::size_t max_body_;
    std::string buffer_;
    state state_ = state::idle;
    int refusal_ = 0;
    std::size_t head_used_ = 0;    // bytes of the head that the parser has taken
    std::size_t head_scanned_ = 0; // bytes of the head in which its end was not found
    std::size_t lines_ = 0;        // of a complete head that was counted
    std::size_t head_cost_ = 0;    // memory of the parsed fields
    bool fields_allowed_ = false;
    bool awaits_room_ = false;
    std::unique_ptr<parts> parts_;
};

struct answer_head {
    int status = 0;
    std::vector<http_field> fields;      // in order, names as sent
    std::optional<std::uint64_t> length; // from Content-Length
    bool ends_with_connection = false;   // only the connection's end marks the end of the body
    bool keep_alive = false;             // the connection may carry another request
};

/// Reads one answer of a target.
class answer_reader {
public:
    enum class state { reading, complete, broken };

    answer_reader();
    ~answer_reader();
    answer_reader(const answer_reader&) = delete;
    answer_reader& operator=(const answer_reader&) = delete;
    answer_reader(answer_reader&&) = delete;
    answer_reader& operator=(answer_reader&&) = delete;

    /// Parses received bytes; those after the end of the answer are left in rest().
    state feed(std::string_view bytes);
    state feed_end();                                   // the peer closed the connection in order
    [[nodiscard]] bool begun() const { return begun_; } // a byte has been received
    [[nodiscard]] const answer_head* head() const { return head_ ? &*head_ : nullptr; }
    std::string take_body(); // returns the part of the body read since the last call
    [[nodiscard]] const std::string& rest() const { return buffer_; }

private:
    struct parts;
    void read_head();
    std::unique_ptr<parts> parts_;
    std::string buffer_;
    std::optional<answer_head> head_;
    state state_ = state::reading;
    bool begun_ = false;
};

} // namespace waxwinglb::edge
