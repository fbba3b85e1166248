#include "programs/steward/slots.hpp"

#include <algorithm>

namespace waxwinglb::programs::steward {

using core::common::time_point;
using core::placement::slot_answer;
using kind = wire::message_kind;

namespace {

constexpr core::common::milliseconds load_claim_ttl{5'000}; // a load not requested for this long is given up

wire::slot_result result_of(const std::string& service, const std::string& model, const slot_answer& answer) {
    wire::slot_result out;
    out.__set_service_name(service);
    out.__set_model(model);
    out.__set_granted(answer.granted);
    out.__set_estimate_ms(core::common::to_wire_ms(answer.estimate));
    return out;
}

std::string requester_of(const std::string& process, const wire::slot_request& request) {
    return process + "|" + request.service_name + "/" + request.model;
}

} // namespace

void slot_service::on_acquired(bool first_holder, time_point now) {
    queue_.emplace(core::placement::slot_limits{});
    learning_until_ = first_holder ? now : now + slot_learning_period;
    requesters_.clear();
}

/// Requests a slot from the queue. A new holder grants no new slots until the holders of its predecessor's
/// slots have had time to report them.
slot_answer slot_service::ask(const std::string& requester, const wire::slot_request& request,
                              time_point now) {
    if (now < learning_until_ && !request.held)
        return {false, learning_until_ - now};
    core::placement::slot_claim claim;
    claim.requester = requester;
    claim.customer = request.customer;
    claim.adapters = request.adapters;
    claim.deadline = now + core::common::milliseconds{request.remaining_ms};
    const auto customer = context_.state().customers.find(request.customer);
    if (customer != context_.state().customers.end())
        claim.weight = customer->second.weight;
    return queue_->request(now, claim);
}

void slot_service::on_request(edge::link_id link, std::int64_t call, const std::string& process,
                              const wire::slot_request& request, time_point now) {
    if (!queue_)
        return; // the requester repeats the request to the new holder
    const std::string requester = requester_of(process, request);
    if (request.release)
        return release(requester, now);
    requesters_[requester] = {link, call, request.service_name, request.model};
    const slot_answer answer = ask(requester, request, now);
    context_.links.send(link, kind::slot_result, call,
                        result_of(request.service_name, request.model, answer));
}

slot_answer slot_service::request_local(const std::string& requester, const wire::slot_request& request,
                                        time_point now) {
    requesters_[requester] = {0, 0, request.service_name, request.model};
    return ask(requester, request, now);
}

void slot_service::release(const std::string& requester, time_point now) {
    requesters_.erase(requester);
    if (queue_)
        queue_->release(now, requester);
}

void slot_service::tick(time_point now) {
    if (!queue_)
        return;
    for (const std::string& requester : queue_->granted(now)) {
        const auto found = requesters_.find(requester);
        if (found == requesters_.end())
            continue;
        const requester_entry& asked_by = found->second;
        if (asked_by.link == 0)
            local_granted_.insert(requester);
        else
            context_.links.send(asked_by.link, kind::slot_result, asked_by.call,
                                result_of(asked_by.service, asked_by.model, {true, {}}));
    }
}

bool slot_client::granted(const pending_load& load, time_point now) {
    load_entry& entry = loads_[load.service + "/" + name_of(load)];
    if (entry.load.target.empty()) {
        entry.load = load;
        entry.deadline = now + load.remaining;
    }
    entry.requested_at = now;
    if (!entry.granted && now - entry.asked_at >= slot_repeat_interval)
        ask(entry, now);
    return entry.granted;
}

void slot_client::ask(load_entry& entry, time_point now) {
    entry.asked_at = now;
    if (!local_.holds())
        return send(entry, false, now);
    wire::slot_request request;
    request.__set_service_name(entry.load.service);
    request.__set_model(name_of(entry.load));
    request.__set_customer(entry.load.customer);
    request.__set_held(entry.granted);
    request.__set_remaining_ms(core::common::to_wire_ms(entry.deadline - now));
    const auto answer = local_.request_local(requester_of(context_.self.holder, request), request, now);
    entry.granted = entry.granted || answer.granted;
    estimate_ = answer.estimate;
}

void slot_client::send(const load_entry& entry, bool release, time_point now) {
    if (holder_ == 0)
        return;
    wire::slot_request request;
    request.__set_service_name(entry.load.service);
    request.__set_model(name_of(entry.load));
    request.__set_customer(entry.load.customer);
    request.__set_held(entry.granted);
    request.__set_release(release);
    request.__set_remaining_ms(core::common::to_wire_ms(entry.deadline - now));
    context_.links.send(holder_, kind::slot_request, context_.next_call(), request);
}

void slot_client::release(const std::string& service, const std::string& model, const std::string& target,
                          time_point now) {
    const auto found = loads_.find(service + "/" + model + "|" + target);
    if (found == loads_.end())
        return;
    if (local_.holds())
        local_.release(context_.self.holder + "|" + found->first, now);
    else
        send(found->second, true, now);
    loads_.erase(found);
}

void slot_client::on_result(const wire::slot_result& result) {
    estimate_ = core::common::milliseconds{result.estimate_ms};
    const auto found = loads_.find(result.service_name + "/" + result.model);
    if (found != loads_.end() && result.granted)
        found->second.granted = true;
}

/// Repeats requests, also for slots already held, so that a new holder of the queue learns of them. Releases
/// the slots of loads that were given up.
void slot_client::tick(time_point now) {
    for (const std::string& requester : local_.take_local_granted()) {
        const auto found =
            loads_.find(requester.substr(std::min(requester.size(), context_.self.holder.size() + 1)));
        if (found != loads_.end())
            found->second.granted = true;
    }
    for (auto it = loads_.begin(); it != loads_.end();) {
        load_entry& entry = it->second;
        if (now - entry.requested_at > load_claim_ttl) {
            const pending_load given_up = entry.load;
            ++it;
            release(given_up.service, given_up.model, given_up.target, now);
            continue;
        }
        if (now - entry.asked_at >= slot_repeat_interval)
            ask(entry, now);
        ++it;
    }
}

} // namespace waxwinglb::programs::steward
