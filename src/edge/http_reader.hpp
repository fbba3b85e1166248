/// Incremental readers of HTTP/1.1 requests and answers, on Boost.Beast's parser.
///
/// They refuse what two parsers might read differently (several lengths, a length beside chunks, unknown
/// transfer codings), so that no request can be hidden inside another.
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

/// Value of the first field with this name, compared without case; nullptr if there is none.
[[nodiscard]] const std::string* find_field(const std::vector<http_field>& fields, std::string_view name);
[[nodiscard]] bool same_name(std::string_view a, std::string_view b); // without case

/// True for fields that concern one connection only and are never passed on.
[[nodiscard]] bool concerns_connection(std::string_view name);

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

class request_reader {
public:
    enum class state {
        idle,     // nothing of a request has come
        partial,  // the request is incomplete
        complete, // take() returns it
        refused,  // refusal() is the status to answer; the connection can't go on
    };

    request_reader(std::size_t max_header, std::size_t max_body);
    ~request_reader();
    request_reader(const request_reader&) = delete;
    request_reader& operator=(const request_reader&) = delete;
    request_reader(request_reader&&) = delete;
    request_reader& operator=(request_reader&&) = delete;

    state feed(std::string_view bytes); // bytes behind a complete request stay for the next one
    [[nodiscard]] state current() const { return state_; }
    [[nodiscard]] int refusal() const { return refusal_; }
    [[nodiscard]] bool header_complete() const;
    [[nodiscard]] bool wants_continue() const; // the caller waits for "100 Continue"
    [[nodiscard]] std::size_t buffered() const { return buffer_.size(); }
    wire_request take(); // begins to read the next one; call feed("") for bytes that are there

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
    std::optional<std::uint64_t> length; // told beforehand
    bool ends_with_connection = false;   // the body has no other end
    bool keep_alive = false;             // the connection may carry another request
};

/// Reads one answer.
class answer_reader {
public:
    enum class state { reading, complete, broken };

    answer_reader();
    ~answer_reader();
    answer_reader(const answer_reader&) = delete;
    answer_reader& operator=(const answer_reader&) = delete;
    answer_reader(answer_reader&&) = delete;
    answer_reader& operator=(answer_reader&&) = delete;

    /// Takes bytes in; what lies behind the answer's end is left in rest().
    state feed(std::string_view bytes);
    state feed_end();                                   // the connection has ended in order
    [[nodiscard]] bool begun() const { return begun_; } // any byte came
    [[nodiscard]] const answer_head* head() const { return head_ ? &*head_ : nullptr; }
    std::string take_body(); // what has been read of the body since the last call
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
