#include "programs/gateway/target_probe.hpp"

#include "edge/http_reader.hpp"
#include "platform/documents.hpp"
#include "platform/headers.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <iterator>
#include <utility>

namespace waxwinglb::programs::gateway {
namespace {

namespace leaf = boost::leaf;
using core::common::milliseconds;

constexpr milliseconds inquiry_limit{1'000}; // no call begins later, but for the second one
constexpr milliseconds call_limit{500};      // of one call
constexpr milliseconds repeat_after{50};
constexpr int min_calls = 2;                    // before the result is unknown
constexpr int min_refusals = 2;                 // before a target counts as ended
constexpr std::size_t max_answer = 256U << 10U; // bytes
constexpr int ok = 200;

/// What a report says of the start that was asked for.
probe_answer answer_of_report(const std::string& body, std::int64_t born) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<probe_answer> {
            BOOST_LEAF_AUTO(report, platform::decode_report(body));
            if (report.born == 0 || born == 0)
                return probe_answer{probe_result::listening, report};
            return probe_answer{report.born == born ? probe_result::running : probe_result::ended, report};
        },
        [] {
            return probe_answer{probe_result::listening, {}};
        });
}

bool names_another_target(const edge::client_result& answer, const std::string& id) {
    const std::string* named = edge::find_field(answer.headers, platform::answering_instance_header);
    return answer.status == platform::wrong_target_status || (named != nullptr && *named != id);
}

probe_answer decode_answer(const probed_target& target, const edge::client_result& answer) {
    if (answer.outcome != edge::client_outcome::answered) // a target that is full may answer late
        return {answer.connected && answer.timed_out ? probe_result::listening : probe_result::unknown, {}};
    if (names_another_target(answer, target.start.id))
        return {probe_result::ended, {}};
    if (target.path == platform::report_path && answer.status == ok)
        return answer_of_report(answer.body, target.start.born);
    return {probe_result::listening, {}};
}

} // namespace

void target_probe::ask(const probed_target& target, handler on_result) {
    if (const auto found = inquiries_.find(target.start); found != inquiries_.end()) {
        found->second->later_handlers.push_back(std::move(on_result));
        return;
    }
    const auto made = std::make_shared<inquiry>();
    made->target = target;
    made->handlers.push_back(std::move(on_result));
    inquiries_[target.start] = made;
    begin(made);
}

void target_probe::begin(const inquiry_ptr& current) {
    current->deadline = context_.loop.now() + inquiry_limit;
    current->calls = 0;
    current->refusals = 0;
    call(current);
}

void target_probe::call(const inquiry_ptr& current) {
    ++current->calls;
    edge::client_request request;
    request.url = "http://" + current->target.address + current->target.path;
    request.headers.push_back({std::string{platform::instance_header}, current->target.start.id});
    request.timeout = call_limit;
    request.connect_timeout = call_limit;
    request.max_answer = max_answer;
    client_.send(std::move(request), [this, current](edge::client_result&& answer) {
        context_.loop.post([this, current, answer = std::move(answer)] { handle_answer(current, answer); });
    });
}

void target_probe::handle_answer(const inquiry_ptr& current, const edge::client_result& answer) {
    probe_answer decoded = decode_answer(current->target, answer);
    current->refusals += answer.refused ? 1 : 0;
    if (current->refusals >= min_refusals)
        decoded.result = probe_result::ended;
    const auto next_call = context_.loop.now() + repeat_after;
    const bool may_repeat = current->calls < min_calls || next_call < current->deadline;
    if (decoded.result != probe_result::unknown || !may_repeat)
        return finish(current, decoded);
    context_.loop.schedule(next_call, [this, current] { call(current); });
}

void target_probe::finish(const inquiry_ptr& current, const probe_answer& answer) {
    auto answered = std::exchange(current->handlers, {});
    auto later = std::exchange(current->later_handlers, {});
    if (answer.result == probe_result::ended) { // a start that has ended doesn't run again
        answered.insert(answered.end(), std::make_move_iterator(later.begin()),
                        std::make_move_iterator(later.end()));
        later.clear();
    }
    current->handlers = std::move(later);
    if (current->handlers.empty())
        inquiries_.erase(current->target.start);
    else
        begin(current);
    for (const handler& on_result : answered)
        on_result(answer);
}

const char* name_of(probe_result result) {
    switch (result) {
    case probe_result::running:
        return "running";
    case probe_result::listening:
        return "listening";
    case probe_result::ended:
        return "ended";
    case probe_result::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace waxwinglb::programs::gateway
