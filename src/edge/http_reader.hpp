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
    wire_request take(); // then call feed("") to read the next request from the buffer

private:
    struct parts;
    void parse();
    void refuse(int status);
    void begin();

    std::size_t max_header_;
    std::size_t max_body_;
    std::string buffer_;
    state state_ = state::idle;
    int refusal_ = 0;
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
