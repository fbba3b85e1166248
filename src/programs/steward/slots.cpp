#include "programs/steward/slots.hpp"

#include <algorithm>

namespace waxwinglb::programs::steward {

using core::common::time_point;
using core::placement::slot_answer;
using kind = wire::message_kind;

namespace {

constexpr core::common::milliseconds wish_kept{5'000}; // a wish that its load no longer renews is given up

wire::slot_result result_of(const std::string& service, const std::string& model, const slot_answer& answer) {
    wire::slot_result out;
    out.__set_service_name(service);
    out.__set_model(model);
    out.__set_granted(answer.granted);
    out.__set_estimate_ms(core::common::to_wire_ms(answer.estimate));
    return out;
}

std::string asker_of(const std::string& process, const wire::slot_request& request) {
    return process + "|" + request.service_name + "/" + request.model;
}

} // namespace

void slot_service::acquired(bool first_holder, time_point now) {
    queue_.emplace(core::placement::slot_limits{});
    learning_until_ = first_holder ? now : now + slot_learning;
    askers_.clear();
}

/// A new holder grants nothing new until loads that run under its predecessor's slots have been named.
slot_answer slot_service::ask(const std::string& asker, const wire::slot_request& request, time_point now) {
    if (now < learning_until_ && !request.held)
        return {false, learning_until_ - now};
    core::placement::slot_claim wish;
    wish.asker = asker;
    wish.customer = request.customer;
    wish.adapters = request.adapters;
    wish.deadline = now + core::common::milliseconds{request.remaining_ms};
    const auto customer = context_.state().customers.find(request.customer);
    if (customer != context_.state().customers.end())
        wish.weight = customer->second.weight;
    return queue_->request(now, wish);
}

void slot_service::request(edge::link_id link, std::int64_t call, const std::string& process,
                           const wire::slot_request& request, time_point now) {
    if (!queue_)
        return; // the asker asks again and finds the new holder
    const std::string asker = asker_of(process, request);
    if (request.release)
        return release(asker, now);
    askers_[asker] = {link, call, request.service_name, request.model};
    const slot_answer answer = ask(asker, request, now);
    context_.links.send(link, kind::slot_result, call,
                        result_of(request.service_name, request.model, answer));
}

slot_answer slot_service::request_own(const std::string& asker, const wire::slot_request& request,
                                      time_point now) {
    askers_[asker] = {0, 0, request.service_name, request.model};
    return ask(asker, request, now);
}

void slot_service::release(const std::string& asker, time_point now) {
    askers_.erase(asker);
    if (queue_)
        queue_->release(now, asker);
}

void slot_service::tick(time_point now) {
    if (!queue_)
        return;
    for (const std::string& asker : queue_->granted(now)) {
        const auto found = askers_.find(asker);
        if (found == askers_.end())
            continue;
        const asker_entry& one = found->second;
        if (one.link == 0)
            own_granted_.insert(asker);
        else
            context_.links.send(one.link, kind::slot_result, one.call,
                                result_of(one.service, one.model, {true, {}}));
    }
}

bool slot_client::granted(const wish& wish, time_point now) {
    wish_entry& one = wishes_[wish.service + "/" + name_of(wish)];
    if (one.asked.target.empty()) {
        one.asked = wish;
        one.deadline = now + wish.remaining;
    }
    one.wanted_at = now;
    if (!one.granted && now - one.asked_at >= slot_again)
        ask(one, now);
    return one.granted;
}

void slot_client::ask(wish_entry& one, time_point now) {
    one.asked_at = now;
    if (!local_.holds())
        return send(one, false, now);
    wire::slot_request request;
    request.__set_service_name(one.asked.service);
    request.__set_model(name_of(one.asked));
    request.__set_customer(one.asked.customer);
    request.__set_held(one.granted);
    request.__set_remaining_ms(core::common::to_wire_ms(one.deadline - now));
    const auto answer = local_.request_own(asker_of(context_.self.holder, request), request, now);
    one.granted = one.granted || answer.granted;
    estimate_ = answer.estimate;
}

void slot_client::send(const wish_entry& one, bool release, time_point now) {
    if (holder_ == 0)
        return;
    wire::slot_request request;
    request.__set_service_name(one.asked.service);
    request.__set_model(name_of(one.asked));
    request.__set_customer(one.asked.customer);
    request.__set_held(one.granted);
    request.__set_release(release);
    request.__set_remaining_ms(core::common::to_wire_ms(one.deadline - now));
    context_.links.send(holder_, kind::slot_request, context_.next_call(), request);
}

void slot_client::release(const std::string& service, const std::string& model, const std::string& target,
                          time_point now) {
    const auto found = wishes_.find(service + "/" + model + "|" + target);
    if (found == wishes_.end())
        return;
    if (local_.holds())
        local_.release(context_.self.holder + "|" + found->first, now);
    else
        send(found->second, true, now);
    wishes_.erase(found);
}

void slot_client::answered(const wire::slot_result& result) {
    estimate_ = core::common::milliseconds{result.estimate_ms};
    const auto found = wishes_.find(result.service_name + "/" + result.model);
    if (found != wishes_.end() && result.granted)
        found->second.granted = true;
}

/// Repeats what is held, so that a new holder of the queue learns of it; drops what its load gave up.
void slot_client::tick(time_point now) {
    for (const std::string& asker : local_.take_own_granted()) {
        const auto found =
            wishes_.find(asker.substr(std::min(asker.size(), context_.self.holder.size() + 1)));
        if (found != wishes_.end())
            found->second.granted = true;
    }
    for (auto one = wishes_.begin(); one != wishes_.end();) {
        wish_entry& entry = one->second;
        if (now - entry.wanted_at > wish_kept) {
            const wish given_up = entry.asked;
            ++one;
            release(given_up.service, given_up.model, given_up.target, now);
            continue;
        }
        if (now - entry.asked_at >= slot_again)
            ask(entry, now);
        ++one;
    }
}

} // namespace waxwinglb::programs::steward
