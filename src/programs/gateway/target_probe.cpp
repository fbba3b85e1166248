#include "programs/gateway/target_probe.hpp"

#include "platform/documents.hpp"
#include "platform/headers.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <utility>

namespace waxwinglb::programs::gateway {
namespace {

namespace leaf = boost::leaf;
using core::common::milliseconds;

constexpr milliseconds probe_limit{1'000};      // for all calls of one inquiry
constexpr milliseconds answer_limit{500};       // of one call
constexpr milliseconds repeat_after{50};        // when a connection was broken
constexpr std::size_t max_answer = 256U << 10U; // bytes

/// Whether a report is that of another start of its target. A report that can't be read shows no other one.
bool is_other_start(const std::string& report, std::int64_t born) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(decoded, platform::decode_report(report));
            return decoded.born != 0 && born != 0 && decoded.born != born;
        },
        [] { return false; });
}

} // namespace

void target_probe::ask(const probed_target& target, handler on_result) {
    if (const auto found = inquiries_.find(target.start); found != inquiries_.end()) {
        found->second->waiting.push_back(std::move(on_result));
        return;
    }
    const auto made = std::make_shared<inquiry>();
    made->target = target;
    made->asked.push_back(std::move(on_result));
    inquiries_[target.start] = made;
    begin(made);
}

void target_probe::begin(const inquiry_ptr& asked) {
    asked->deadline = context_.loop.now() + probe_limit;
    call(asked);
}

void target_probe::call(const inquiry_ptr& asked) {
    edge::client_request request;
    request.url = "http://" + asked->target.address + asked->target.path;
    request.headers.push_back({std::string{platform::instance_header}, asked->target.start.id});
    const auto left = std::chrono::ceil<milliseconds>(asked->deadline - context_.loop.now());
    request.timeout = std::clamp(left, milliseconds{1}, answer_limit);
    request.connect_timeout = request.timeout;
    request.max_answer = max_answer;
    client_.send(std::move(request), [this, asked](edge::client_result&& answer) {
        context_.loop.post([this, asked, answer = std::move(answer)] { handle_answer(asked, answer); });
    });
}

void target_probe::handle_answer(const inquiry_ptr& asked, const edge::client_result& answer) {
    const auto now = context_.loop.now();
    const probe_result result = result_of(asked->target, answer);
    if (result == probe_result::unknown && now + repeat_after < asked->deadline) {
        context_.loop.schedule(now + repeat_after, [this, asked] { call(asked); });
        return;
    }
    finish(asked, result);
}

probe_result target_probe::result_of(const probed_target& target, const edge::client_result& answer) {
    if (answer.outcome == edge::client_outcome::not_sent && !answer.timed_out)
        return probe_result::ended;
    if (answer.outcome != edge::client_outcome::answered)
        return probe_result::unknown;
    constexpr int ok = 200;
    const bool is_report = target.path == platform::report_path && answer.status == ok;
    if (answer.status == platform::wrong_target_status ||
        (is_report && is_other_start(answer.body, target.start.born)))
        return probe_result::ended;
    return probe_result::running;
}

void target_probe::finish(const inquiry_ptr& asked, probe_result result) {
    auto handlers = std::exchange(asked->asked, std::exchange(asked->waiting, {}));
    if (result == probe_result::ended) // and stays so
        handlers.insert(handlers.end(), std::make_move_iterator(asked->asked.begin()),
                        std::make_move_iterator(asked->asked.end()));
    if (result == probe_result::ended || asked->asked.empty())
        inquiries_.erase(asked->target.start);
    else
        begin(asked);
    for (const handler& on_result : handlers)
        on_result(result);
}

const char* name_of(probe_result result) {
    switch (result) {
    case probe_result::running:
        return "running";
    case probe_result::ended:
        return "ended";
    case probe_result::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace waxwinglb::programs::gateway
