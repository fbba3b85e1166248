#include "programs/gateway/duties.hpp"

#include "edge/boot_clock.hpp"
#include "platform/duties.hpp"
#include "programs/gateway/order_lease.hpp"

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;
using core::duties::call_answer;

constexpr milliseconds tick_interval{20};  // a call is aborted at most so long after the end of the term
constexpr milliseconds idle_interval{100}; // while this gateway may not call
constexpr milliseconds connect_timeout{500};
constexpr milliseconds call_timeout{1'200}; // of one attempt; longer than most terms last without a renewal

const char* name_of(call_answer answer) {
    switch (answer) {
    case call_answer::accepted:
        return "accepted";
    case call_answer::refused:
        return "refused";
    case call_answer::none:
        return "no_answer";
    }
    return "unknown";
}

} // namespace

duties::duties(gateway_context& context, edge::http_client& client, order_lease& lease)
    : context_(context), client_(client), lease_(lease),
      calls_({context.settings.duties.calls_per_second, {}}) {}

void duties::start() {
    const auto& settings = context_.settings.duties;
    if (settings.address.empty())
        return;
    for (const std::string& kind : settings.unknown_kinds)
        context_.log.write(edge::events::duty_unknown, kind);
    tick();
}

void duties::tick() {
    update_token();
    send_due();
    context_.loop.schedule(context_.loop.now() + (calls_.token() ? tick_interval : idle_interval),
                           [this] { tick(); });
}

/// Reads the clock anew: the process may have been frozen since the iteration of the loop began.
void duties::update_token() {
    const bool may_call = lease_.may_order(edge::boot_now()) && !context_.draining;
    if (!lease_.held())
        held_since_.reset();
    else if (!held_since_)
        held_since_ = context_.loop.now();
    const auto aborted = calls_.allow(may_call ? std::optional{lease_.fencing()} : std::nullopt);
    for (const std::int64_t number : aborted)
        if (const auto call = in_flight_.find(number); call != in_flight_.end())
            client_.cancel(call->second);
    if (!may_call)
        callbacks_.clear();
}

bool duties::enqueue(const std::string& subject, const std::string& path, const std::string& body,
                     on_over done) {
    if (!calls_.enqueue(subject, path, body))
        return false;
    callbacks_[subject] = std::move(done);
    return true;
}

void duties::send_due() {
    for (;;) {
        update_token();
        const auto call = calls_.next(context_.loop.now());
        if (!call)
            return;
        context_.log.write(edge::events::duty_call_sent, call->subject,
                           {{"path", call->path},
                            {"fencing", call->token},
                            {"attempt", call->attempt},
                            {"body", call->body}});
        edge::client_request request;
        request.method = "POST";
        request.url = "http://" + context_.settings.duties.address + call->path;
        request.headers = {{"Content-Type", "application/json"},
                           {std::string{platform::duty_holder_header}, context_.settings.name},
                           {std::string{platform::fencing_token_header}, std::to_string(call->token)}};
        request.body = call->body;
        request.timeout = call_timeout;
        request.connect_timeout = connect_timeout;
        request.send_once = true;            // a resend by the library might come after the term
        request.withdrawn_when_ended = true; // the next holder may call before a held-up one arrives
        in_flight_[call->number] =
            client_.send(std::move(request), [this, call = *call](edge::client_result&& answer) {
                context_.loop.post([this, call, answer = std::move(answer)] { handle_answer(call, answer); });
            });
    }
}

void duties::handle_answer(const core::duties::fenced_call& call, const edge::client_result& answer) {
    in_flight_.erase(call.number);
    const bool answered = answer.outcome == edge::client_outcome::answered;
    const call_answer meaning = core::duties::answer_of(answered ? answer.status : 0);
    context_.metrics.count_duty_call(call.path, name_of(meaning));
    context_.log.write(meaning == call_answer::refused ? edge::events::duty_call_refused
                                                       : edge::events::duty_call_answered,
                       call.subject,
                       {{"path", call.path},
                        {"fencing", call.token},
                        {"attempt", call.attempt},
                        {"status", answered ? answer.status : 0},
                        {"why", answered ? "" : describe(answer.why)}});
    const auto over = calls_.note_answer(call.number, meaning, context_.loop.now());
    if (!over)
        return;
    // A call that replaced this one keeps the callback: it was set with it.
    if (const auto found = callbacks_.find(call.subject);
        found != callbacks_.end() && !calls_.pending(call.subject)) {
        const auto done = std::move(found->second);
        callbacks_.erase(found);
        if (done)
            done(meaning);
    }
}

} // namespace waxwinglb::programs::gateway
