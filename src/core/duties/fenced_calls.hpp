/// Calls that only one gateway at a time may make: those that wait, and which of them to send now.
///
/// The leader's lease decides who may call and with which fencing token. This class sends nothing without
/// it, keeps the order of the calls of one subject, and keeps the rate of all calls within a budget. A call
/// is repeated unchanged until it gets a usable answer; the platform ignores an exact repeat.
#pragma once

#include "core/common/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::core::duties {

/// Subject of the usage reports of all windows. Its calls go before those of other subjects.
inline constexpr const char* usage_subject = "usage_report";

/// One call to send now.
struct fenced_call {
    std::int64_t number = 0; // identifies this attempt
    std::string subject;
    std::string path;
    std::string body;
    std::int64_t token = 0; // fencing token
    int attempt = 1;        // rises with each repeat
};

enum class call_answer {
    accepted, // status 2xx
    refused,  // another 4xx than 429: repeating it would not help
    none,     // no answer, 429, 5xx or an unusable answer: it may have taken effect or not
};

/// What an HTTP status means for a call; 0: no answer.
[[nodiscard]] call_answer answer_of(int status);

class fenced_calls {
public:
    struct options {
        double per_second = 1;                    // calls of all subjects together, repeats included
        common::milliseconds retry_delay{500};    // least time from an answer, or its absence, to the repeat
        common::milliseconds call_timeout{1'200}; // of one attempt
    };
    explicit fenced_calls(options chosen) : options_(chosen) {}

    /// Sets whether this gateway may call now, and with which token. When it may no longer, or with another
    /// token, all calls are dropped: whoever may call next decides anew what is due. Returns the numbers of
    /// the attempts in flight, whose connections must be reset.
    std::vector<std::int64_t> allow(std::optional<std::int64_t> token);
    [[nodiscard]] std::optional<std::int64_t> token() const { return token_; } // nullopt: may not call

    /// Adds the call that is due for `subject`. One that still waits is replaced; one in flight ends first
    /// and is not repeated. Returns false, without effect, while this gateway may not call.
    bool enqueue(const std::string& subject, std::string path, std::string body);
    /// True while a call of the subject waits or is in flight.
    [[nodiscard]] bool pending(const std::string& subject) const { return calls_.contains(subject); }
    /// Drops the subject's waiting call. One in flight ends, but is not repeated.
    void withdraw(const std::string& subject);

    /// The call to send now, if any. It counts as sent.
    std::optional<fenced_call> next(common::time_point now);
    /// Takes the answer to an attempt. Returns the call if it is over, and nullopt if it will be repeated or
    /// the attempt is not known any more.
    std::optional<fenced_call> note_answer(std::int64_t number, call_answer answer, common::time_point now);

private:
    struct entry {
        std::string path;
        std::string body;
        std::int64_t order = 0;                                       // of arrival
        int attempts = 0;                                             // sent so far
        common::time_point not_before{};                              // earliest next attempt
        std::int64_t in_flight = 0;                                   // number of the attempt; 0: none
        bool withdrawn = false;                                       // not to be sent again
        std::optional<std::pair<std::string, std::string>> successor; // path and body that replace it
    };
    [[nodiscard]] common::duration interval() const; // between two calls

    options options_;
    std::optional<std::int64_t> token_;
    std::map<std::string, entry> calls_; // by subject
    std::int64_t last_number_ = 0;       // never reset: late answers must not match
    std::int64_t last_order_ = 0;
    common::time_point next_at_{}; // earliest next call of any subject
};

} // namespace waxwinglb::core::duties
