// Readers of HTTP requests and answers: request smuggling, limits, answers that are cut short or followed by
// bytes.
#include "edge/http_reader.hpp"

#include <gtest/gtest.h>

using namespace waxwinglb;
using edge::answer_reader;
using edge::request_reader;
using state = edge::request_reader::state;

namespace {

constexpr std::size_t max_header = 1'024;
constexpr std::size_t max_body = 100;

int refusal_of(const std::string& text) {
    request_reader reader{max_header, max_body};
    return reader.feed(text) == state::refused ? reader.refusal() : 0;
}

answer_reader::state read(answer_reader& reader, const std::string& text) {
    // Byte by byte: the result must not depend on how the bytes are split.
    for (const char byte : text)
        reader.feed({&byte, 1});
    return reader.feed("");
}

} // namespace

TEST(request_reader, ambiguous_requests_are_refused) {
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    EXPECT_EQ(refusal_of(head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 400);
    EXPECT_EQ(refusal_of(head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"), 400);
    EXPECT_EQ(refusal_of(head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"), 400);
    EXPECT_EQ(refusal_of(head + "Transfer-Encoding: xchunked\r\n\r\nabc"), 400);
    EXPECT_EQ(refusal_of(head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), 400);
    EXPECT_EQ(refusal_of(head + "Content-Length: 3x\r\n\r\nabc"), 400);
    EXPECT_EQ(refusal_of(head + "Host: b\r\n\r\n"), 400);
    EXPECT_EQ(refusal_of("GET / HTTP/1.1\r\n\r\n"), 400);
    EXPECT_EQ(refusal_of("GET / HTTP/1.0\r\nHost: a\r\n\r\n"), 400);
    EXPECT_EQ(refusal_of("GET / HTTP/1.1\nHost: a\r\n\r\n"), 400);
    EXPECT_EQ(refusal_of("nonsense\r\n\r\n"), 400);
}

TEST(request_reader, each_limit_has_its_own_status) {
    EXPECT_EQ(refusal_of("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2'000, 'x') + "\r\n\r\n"), 431);
    EXPECT_EQ(refusal_of("GET /" + std::string(2'000, 'x')), 431); // refused before the header is complete
    EXPECT_EQ(refusal_of("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n"), 413);
    const std::string chunk = "40\r\n" + std::string(64, 'x') + "\r\n";
    EXPECT_EQ(refusal_of("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk),
              413);
}

TEST(request_reader, pipelined_requests_are_read_in_order) {
    request_reader reader{max_header, max_body};
    ASSERT_EQ(
        reader.feed("POST /a?q HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nabGET /b HTTP/1.1\r\nHo"),
        state::complete);
    const auto first = reader.take();
    EXPECT_EQ(first.target, "/a?q");
    EXPECT_EQ(first.path(), "/a");
    EXPECT_EQ(first.body, "ab");
    EXPECT_EQ(reader.feed("st: a\r\nConnection: close\r\n\r\n"), state::complete);
    const auto second = reader.take();
    EXPECT_EQ(second.target, "/b");
    EXPECT_FALSE(second.keep_alive);
    EXPECT_EQ(reader.current(), state::idle);
}

TEST(request_reader, a_chunked_body_is_joined) {
    request_reader reader{max_header, max_body};
    ASSERT_EQ(
        reader.feed(
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
        state::complete);
    EXPECT_EQ(reader.take().body, "abc");
}

TEST(answer_reader, a_body_that_ends_with_its_connection_is_complete_after_an_orderly_close) {
    answer_reader reader;
    EXPECT_EQ(read(reader, "HTTP/1.1 200 OK\r\n\r\nabc"), answer_reader::state::reading);
    EXPECT_TRUE(reader.head()->ends_with_connection);
    EXPECT_EQ(reader.take_body(), "abc");
    EXPECT_EQ(reader.feed_end(), answer_reader::state::complete);
}

TEST(answer_reader, an_answer_cut_short_is_broken) {
    for (const char* text :
         {"", "HTTP/1.1 200 OK\r\nContent-", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
        answer_reader reader;
        read(reader, text);
        EXPECT_EQ(reader.feed_end(), answer_reader::state::broken) << text;
    }
}

TEST(answer_reader, memory_is_not_allocated_for_the_length_that_an_answer_states) {
    for (const char* length : {"1000000000", "99999999999", "18446744073709551614"}) {
        answer_reader reader;
        EXPECT_NO_THROW(
            reader.feed("HTTP/1.1 200 OK\r\nContent-Length: " + std::string{length} + "\r\n\r\nabc"))
            << length;
        EXPECT_LT(reader.take_body().capacity(), 1'000U) << length;
    }
}

TEST(answer_reader, bytes_after_an_answer_are_kept_apart) {
    answer_reader reader;
    EXPECT_EQ(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 500 x\r\n"),
              answer_reader::state::complete);
    EXPECT_EQ(reader.take_body(), "ab");
    EXPECT_EQ(reader.rest(), "HTTP/1.1 500 x\r\n");
}

TEST(answer_reader, malformed_answers_are_broken) {
    answer_reader first;
    EXPECT_EQ(first.feed("\x01\x02 what is this\r\n\r\n"), answer_reader::state::broken);
    answer_reader second;
    EXPECT_EQ(second.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"),
              answer_reader::state::broken);
}

TEST(answer_reader, a_whole_answer_with_two_lengths_stays_broken) {
    answer_reader reader;
    EXPECT_EQ(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"),
              answer_reader::state::broken);
    EXPECT_EQ(reader.feed(""), answer_reader::state::broken);
}

TEST(answer_reader, an_answer_whose_status_is_none_is_broken) {
    for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
        answer_reader reader;
        EXPECT_EQ(reader.feed("HTTP/1.1 " + std::string{status} + " X\r\nContent-Length: 2\r\n\r\nok"),
                  answer_reader::state::broken)
            << status;
        EXPECT_EQ(reader.head(), nullptr) << status;
        EXPECT_EQ(reader.feed(""), answer_reader::state::broken) << "it stays so";
    }
    answer_reader interim;
    EXPECT_EQ(interim.feed("HTTP/1.1 103 Early Hints\r\n\r\n"), answer_reader::state::complete);
}

TEST(http_fields, hop_by_hop_fields_are_recognised_in_any_case) {
    EXPECT_TRUE(edge::concerns_connection("transfer-ENCODING"));
    EXPECT_FALSE(edge::concerns_connection("Request-Id"));
}
