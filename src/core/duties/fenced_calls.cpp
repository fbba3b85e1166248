#include "core/duties/fenced_calls.hpp"

#include <algorithm>

namespace waxwinglb::core::duties {

using common::duration;
using common::time_point;

call_answer answer_of(int status) {
    constexpr int too_many_requests = 429;
    if (status >= 200 && status < 300)
        return call_answer::accepted;
    return status >= 400 && status < 500 && status != too_many_requests ? call_answer::refused
                                                                        : call_answer::none;
}

std::vector<std::int64_t> fenced_calls::allow(std::optional<std::int64_t> token) {
    std::vector<std::int64_t> in_flight;
    if (token == token_)
        return in_flight;
    for (const auto& [subject, call] : calls_)
        if (call.in_flight != 0)
            in_flight.push_back(call.in_flight);
    calls_.clear();
    token_ = token;
    return in_flight;
}

bool fenced_calls::enqueue(const std::string& subject, std::string path, std::string body) {
    if (!token_)
        return false;
    const auto found = calls_.find(subject);
    if (found != calls_.end() && found->second.in_flight != 0) {
        found->second.successor = {std::move(path), std::move(body)};
        return true;
    }
    entry& call = calls_[subject];
    const std::int64_t order = call.order != 0 ? call.order : ++last_order_;
    // A replacement keeps the delay of the call before it: the platform may not answer this subject now.
    const time_point not_before = call.not_before;
    call = {std::move(path), std::move(body), order, 0, not_before, 0, false, std::nullopt};
    return true;
}

void fenced_calls::withdraw(const std::string& subject) {
    const auto found = calls_.find(subject);
    if (found == calls_.end())
        return;
    found->second.successor.reset();
    found->second.withdrawn = true;
    if (found->second.in_flight == 0)
        calls_.erase(found);
}

duration fenced_calls::interval() const {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{1 / options_.per_second});
}

std::optional<fenced_call> fenced_calls::next(time_point now) {
    if (!token_ || now < next_at_)
        return std::nullopt;
    auto best = calls_.end();
    for (auto it = calls_.begin(); it != calls_.end(); ++it) {
        if (it->second.in_flight != 0 || now < it->second.not_before)
            continue;
        if (it->first == usage_subject) {
            best = it;
            break;
        }
        if (best == calls_.end() || it->second.order < best->second.order)
            best = it;
    }
    if (best == calls_.end())
        return std::nullopt;
    entry& call = best->second;
    call.in_flight = ++last_number_;
    ++call.attempts;
    next_at_ = now + interval();
    return fenced_call{call.in_flight, best->first, call.path, call.body, *token_, call.attempts};
}

std::optional<fenced_call> fenced_calls::note_answer(std::int64_t number, call_answer answer,
                                                     time_point now) {
    const auto found = std::find_if(calls_.begin(), calls_.end(), [&](const auto& known) {
        return known.second.in_flight == number && number != 0;
    });
    if (found == calls_.end())
        return std::nullopt;
    entry& call = found->second;
    fenced_call over{number, found->first, call.path, call.body, token_.value_or(0), call.attempts};
    call.in_flight = 0;
    const bool repeat = answer == call_answer::none && !call.successor && !call.withdrawn;
    // Every second call of the budget is left to other subjects, however often this one is repeated.
    if (answer == call_answer::none)
        call.not_before = now + std::max<duration>(options_.retry_delay, 2 * interval());
    if (repeat) {
        call.order = ++last_order_; // behind the calls of other subjects
        return std::nullopt;
    }
    if (!call.successor) {
        calls_.erase(found);
        return over;
    }
    const time_point not_before = answer == call_answer::none ? call.not_before : time_point{};
    auto [path, body] = std::move(*call.successor);
    call = {std::move(path), std::move(body), ++last_order_, 0, not_before, 0, false, std::nullopt};
    return over;
}

} // namespace waxwinglb::core::duties
