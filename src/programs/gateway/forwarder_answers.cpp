// Answers of targets: what is passed on of them, when they are complete, and which start of the target they
// are of.
#include "core/common/hash.hpp"
#include "platform/documents.hpp"
#include "platform/headers.hpp"
#include "platform/weights.hpp"
#include "programs/gateway/forwarder.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace waxwinglb::programs::gateway {
namespace {

using core::common::time_point;
using core::streams::event_fault;

constexpr std::size_t max_buffered_answer = 8U << 20U; // bytes of an answer that isn't streamed
constexpr std::size_t max_event = 1U << 20U; // bytes of one event of a stream; usual ones have some hundred
constexpr std::size_t copies = 2; // of an answer while it is handed over to the caller's connection
constexpr std::size_t small_event = 16U << 10U; // bytes of an incomplete event that needs no room of its own
constexpr const char* ended_by_connection = "connection"; // of an answer with neither length nor chunks

constexpr core::common::milliseconds max_report_age{1'000}; // the pages say some hundred
constexpr core::common::milliseconds report_interval{100};  // between questions to one target

/// Header fields of a target's answer that are forwarded to the caller.
std::vector<edge::http_field> forwarded_fields(const std::vector<edge::http_field>& from) {
    std::vector<edge::http_field> out;
    for (const edge::http_field& field : from)
        if (!edge::concerns_connection(field.name) && !edge::same_name(field.name, "content-length"))
            out.push_back(field);
    return out;
}

bool reports_not_run(const edge::answer_head& head) {
    return head.status == platform::wrong_target_status ||
           edge::find_field(head.fields, platform::not_run_header) != nullptr;
}

/// Whether an answer to a plain call shows that the target ran it, well or not.
bool began_to_run(const edge::answer_head& head) {
    constexpr int too_many_requests = 429;
    return edge::find_field(head.fields, platform::signature_header) != nullptr &&
           head.status != platform::unavailable_status && head.status != too_many_requests;
}

/// What marks the end of the answer's body, for the log.
const char* name_of_end(const edge::answer_head& head) {
    if (head.length)
        return "length";
    return head.ends_with_connection ? ended_by_connection : "chunks";
}

/// Whether the targets of the request's service report their birth.
bool service_reports(const caller_request& request) {
    const auto* service = request.config->find_service(request.service);
    return service != nullptr && service->engine;
}

/// Path of a call to a target of the request's service that runs nothing; empty if none is known.
std::string probe_path(const caller_request& request) {
    const auto* service = request.config->find_service(request.service);
    if (service == nullptr)
        return {};
    return service->engine ? platform::report_path : service->health_path;
}

bool has_unmarked_end(const caller_request& request) {
    return std::string_view{request.ended_by} == ended_by_connection;
}

/// Why a stream whose body has ended was broken off; nullptr if it is whole. The end of a connection alone
/// doesn't show that a target which sent no event had none.
const char* incompleteness_of(const caller_request& request) {
    if (request.events.inside_event())
        return "ended_inside_event";
    return has_unmarked_end(request) && !request.events.any_taken() ? "ended_without_event" : nullptr;
}

bool has_changed_weights(const caller_request& request) {
    return request.target_version.weights && request.target_version.weights != request.begun_at->weights;
}

/// Whether the target reports the version of the adapter at which the stream began, or none. Adapters come
/// and go without news in registrations.
bool has_adapter_of(const platform::target_report& report, const caller_request& request) {
    const auto reported = report.versions.adapters.find(request.model);
    const std::string& begun_at = request.begun_at->adapter;
    return begun_at.empty() || reported == report.versions.adapters.end() || reported->second == begun_at;
}

/// Events that the caller has of the whole stream; nullopt where their ids don't count them.
std::optional<int> events_passed(const caller_request& request) {
    const bool taken_up = edge::find_field(request.received.fields, platform::resume_header) != nullptr;
    const std::string& id = request.last_event;
    int out = 0;
    if (taken_up || !request.sequence.consecutive() ||
        std::from_chars(id.data(), id.data() + id.size(), out).ec != std::errc{})
        return std::nullopt;
    return out;
}

/// When the last report on the end of an answer may be asked for: the deadline doesn't cut one that has come.
time_point latest_report(const caller_request& request, time_point now) {
    return std::min(now + max_report_age, request.deadline - max_report_age);
}

/// Events that the target reports of the request's run; nullopt if it reports no such run.
std::optional<int> events_reported(const caller_request& request, const probe_answer& answer) {
    if (!request.streaming || !answer.report)
        return std::nullopt;
    const auto& runs = answer.report->events_made;
    const auto run = runs.find(request.request_id);
    return run == runs.end() ? std::nullopt : std::optional{run->second};
}

/// An answer without any event shows neither that the stream before it was whole nor that its target knew of
/// it.
bool resumed_with_nothing(const caller_request& request) {
    return request.session->answer_begun() && !request.sequence.answer_has_event();
}

} // namespace

void forwarder::on_head(const caller_request_ptr& request, const edge::answer_head& head) {
    dispatcher_->note_answer(request->target_start, head.status, head.fields, answered_call::request);
    if (request->expects_weights() && head.status == platform::wrong_target_status)
        return handle_other_version(request);
    if (reports_not_run(head))
        return handle_rejection(request, head.status == platform::wrong_target_status
                                             ? dispatcher::attempt_outcome::lacks_model
                                             : dispatcher::attempt_outcome::not_run);
    request->may_have_run = true;
    request->ended_by = name_of_end(head);
    const bool success = head.status >= 200 && head.status < 300;
    const bool genuine = edge::find_field(head.fields, platform::signature_header) != nullptr &&
                         edge::find_field(head.fields, "Content-Encoding") == nullptr;
    if (success && !genuine)
        return handle_lost_answer(request, "answer_without_signature");
    note_weights(*request, head);
    if (success && request->begun_at && !may_continue(*request->begun_at, request->target_version))
        return handle_lost_answer(request, "other_version");
    if (!request->is_stream() && began_to_run(head))
        count_run(*request, request->sent_at);
    if (request->session->answer_begun()) { // the caller has the head under which the stream goes on
        if (head.status != request->head.status)
            return handle_lost_answer(request, "resumption_failed");
        return hold_until_start_known(request);
    }
    if (head.status >= 500 && request->repeatable() && request->has_attempts_left()) {
        const std::string failed_target = request->target;
        request->failed_targets.insert(failed_target);
        if (retry(request, "target_error", true))
            return;
        request->failed_targets.erase(failed_target);
    }
    request->head = head;
    request->streaming = success && request->is_stream();
    if (request->streaming && request->begun_at)
        hold_until_start_known(request);
    if (!request->streaming && head.length)
        wait_for_room(*request,
                      static_cast<std::size_t>(std::min<std::uint64_t>(*head.length, max_buffered_answer)));
}

/// Targets are registered with the weights that they had some seconds ago.
void forwarder::note_weights(caller_request& request, const edge::answer_head& head) {
    const auto stated = platform::decode_weights(head.fields);
    if (!stated || request.model.model.empty())
        return;
    request.target_version.weights = stated;
    context_.directory.note_weights(request.target_start, request.model.model, *stated);
}

/// A stream goes on only at the software version that began it. A target may have started again with another
/// one, under its id, since its registration was read.
void forwarder::hold_until_start_known(const caller_request_ptr& request) {
    request->held = true;
    request->target_exchange->pause();
    probe(request, "start", [this, request](const probe_answer& answer) {
        const bool shown = answer.result == probe_result::running ||
                           (answer.result == probe_result::listening && !service_reports(*request));
        if (!shown)
            return handle_lost_answer(request, "target_start_unconfirmed");
        if (answer.report && !has_adapter_of(*answer.report, *request))
            return handle_lost_answer(request, "other_version");
        request->held = false;
        request->target_exchange->resume();
        pass_on_events(request);
        if (request->ended_while_held)
            on_complete(request);
    });
}

/// Passes the result on unless the request has ended or left its target meanwhile.
void forwarder::probe(const caller_request_ptr& request, const char* why, target_probe::handler on_result) {
    const std::string path = probe_path(*request);
    if (path.empty())
        return on_result({probe_result::listening, {}});
    probe_.ask({request->target_start, request->target_address, path},
               [this, request, why, attempt = request->send_count,
                on_result = std::move(on_result)](const probe_answer& answer) {
                   if (request->finished || !request->target_exchange || request->send_count != attempt)
                       return;
                   context_.log.write(edge::events::target_probed, request->request_id,
                                      {{"target", request->target},
                                       {"born", request->target_start.born},
                                       {"why", why},
                                       {"result", name_of(answer.result)}});
                   on_result(answer);
               });
}

void forwarder::on_body(const caller_request_ptr& request, std::string&& piece) {
    if (request->streaming) {
        request->events.add(piece);
        return pass_on_events(request);
    }
    request->body.append(piece);
    if (request->body.size() > max_buffered_answer)
        handle_lost_answer(request, "answer_too_large");
    else
        wait_for_room(*request, request->body.size());
}

void forwarder::pass_on_events(const caller_request_ptr& request) {
    if (request->held) {
        if (request->target_exchange)
            request->target_exchange->pause();
        return;
    }
    if (const event_fault fault = relay_events(request); fault != event_fault::none)
        handle_lost_answer(request, name_of(fault));
    else if (request->events.size() > max_event)
        handle_lost_answer(request, "event_too_large");
    else if (request->events.size() > small_event)
        wait_for_room(*request, request->events.size());
}

/// Stops reading from the target while there is no memory for `bytes` of its answer.
void forwarder::wait_for_room(caller_request& request, std::size_t bytes) {
    if (!request.session->reserve_answer(copies * bytes) && request.target_exchange)
        request.target_exchange->pause();
}

/// Forwards the events that have come up to the first that doesn't belong to the stream. Returns its fault.
event_fault forwarder::relay_events(const caller_request_ptr& request) {
    std::string events = request->events.take_complete();
    const auto checked = request->sequence.check(events);
    events.resize(checked.sound);
    request->progress.note(checked.events, request->sent_at, context_.loop.now());
    if (checked.version)
        request->target_version.weights = static_cast<std::int64_t>(*checked.version);
    if (!events.empty())
        write_events(request, events);
    return checked.fault;
}

void forwarder::write_events(const caller_request_ptr& request, const std::string& events) {
    if (!request->session->answer_begun()) {
        const auto waited = context_.loop.now() - request->arrived;
        context_.metrics.observe_first_byte(metric_kind(*request), waited);
        request->session->begin_answer(request->head.status, forwarded_fields(request->head.fields));
    }
    const time_point now = context_.loop.now();
    if (request->first_chunk_at == time_point{}) {
        request->first_chunk_at = now;
        note_origin(*request);
        if (edge::find_field(request->received.fields, platform::resume_header) == nullptr)
            count_run(*request, now); // a stream that is resumed began earlier
    } else {
        request->longest_pause = std::max(request->longest_pause, now - request->last_chunk_at);
        if (has_changed_weights(*request))
            note_origin(*request);
    }
    request->last_chunk_at = now;
    if (const auto each = request->pace.add(core::streams::count_events(events), now))
        dispatcher_->note_work(*request, *each);
    dispatcher_->on_answer_started(request);
    request->session->write(events);
    if (std::string id = core::streams::last_event_id(events); !id.empty())
        request->last_event = std::move(id);
    if (request->session->unsent() > request->session->max_unsent()) {
        request->target_exchange->pause();
        request->pace.restart(); // the next pause is the caller's
    }
}

/// From its first event on, a stream goes on only at targets of the version that sent it.
void forwarder::note_origin(caller_request& request) {
    if (request.begun_at)
        request.target_version = core::fleet::completed(request.target_version, *request.begun_at);
    request.begun_at = request.target_version;
    const std::string& attempt = request.resumes.empty() ? request.request_id : request.resumes;
    context_.origins.note(core::common::hash_of(attempt), request.target_version,
                          core::streams::origin_source::own, context_.loop.now());
}

void forwarder::count_run(caller_request& request, time_point began) {
    if (request.run_counted || !context_.count_run)
        return;
    request.run_counted = true;
    context_.count_run(request.customer, began);
}

void forwarder::on_caller_drained(const caller_request_ptr& request) {
    request->pace.restart();
    if (request->target_exchange && !request->held)
        request->target_exchange->resume();
}

void forwarder::on_complete(const caller_request_ptr& request) {
    if (request->finished || !request->target_exchange)
        return;
    if (request->held) {
        request->ended_while_held = true;
        return;
    }
    if (request->streaming) {
        if (const char* fault = incompleteness_of(*request))
            return handle_broken_answer(request, fault);
        if (resumed_with_nothing(*request))
            return handle_lost_answer(request, "resumption_empty");
    }
    if (has_unmarked_end(*request))
        return confirm_end(request);
    complete(request);
}

/// Completes an answer that only the end of its connection ends, if its target still runs.
void forwarder::confirm_end(const caller_request_ptr& request) {
    probe(request, "end", [this, request](const probe_answer& answer) {
        const probe_result result = answer.result;
        if (result == probe_result::running || result == probe_result::listening)
            return complete_unless_running(request, answer, latest_report(*request, context_.loop.now()));
        if (result == probe_result::ended && request->head.status < 300)
            return handle_broken_answer(request, "target_ended");
        handle_lost_answer(request, "end_unconfirmed");
    });
}

/// Completes an answer unless its target reports more events of the run than have come. A report may be older
/// than the answer's end, so a target that still reports the run is asked again.
void forwarder::complete_unless_running(const caller_request_ptr& request, const probe_answer& answer,
                                        time_point until) {
    const auto made = events_reported(*request, answer);
    const auto passed = events_passed(*request);
    if (!made || !passed)
        return complete(request);
    if (*made > *passed)
        return cut_running(request);
    if (context_.loop.now() >= until)
        return complete(request);
    ask_again_at_end(request, until);
}

void forwarder::ask_again_at_end(const caller_request_ptr& request, time_point until) {
    request->confirming_end = true;
    const auto ask = [this, request, until, attempt = request->send_count] {
        if (request->finished || !request->target_exchange || request->send_count != attempt)
            return;
        probe(request, "end", [this, request, until](const probe_answer& answer) {
            complete_unless_running(request, answer, until);
        });
    };
    context_.loop.schedule(context_.loop.now() + report_interval, ask);
}

/// The run can't be ended, its connection being closed, so the request may not go on elsewhere.
void forwarder::cut_running(const caller_request_ptr& request) {
    note_broken_run(*request);
    close_exchange(request, dispatcher::attempt_outcome::failed);
    fail(request, 502, "run_goes_on");
}

void forwarder::complete(const caller_request_ptr& request) {
    if (!request->streaming || !request->session->answer_begun())
        return send_answer(request);
    request->session->end_answer();
    note_sound(*request);
    note_duration(*request);
    close_exchange(request, dispatcher::attempt_outcome::succeeded);
    finish(request, edge::events::request_answered, "answered", "whole", {request->head.status});
}

void forwarder::send_answer(const caller_request_ptr& request) {
    const bool failed = request->head.status >= 500;
    if (request->head.status < 300) {
        note_sound(*request);
        note_duration(*request);
    } else if (!failed) // of a part of the prompt it says nothing: the target may not have begun to read it
        suspect_requests_.add_sound({&request->fingerprint, 1}, context_.loop.now());
    context_.metrics.observe_first_byte(metric_kind(*request), context_.loop.now() - request->arrived);
    if (!request->is_stream() && request->head.status < 300)
        dispatcher_->note_work(*request, context_.loop.now() - request->sent_at);
    request->session->answer(request->head.status, forwarded_fields(request->head.fields), request->body);
    close_exchange(request,
                   failed ? dispatcher::attempt_outcome::failed : dispatcher::attempt_outcome::succeeded);
    finish(request, edge::events::request_answered, failed ? "failed" : "answered",
           failed ? "target_error" : "whole", {request->head.status});
}

} // namespace waxwinglb::programs::gateway
