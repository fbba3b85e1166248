#include "programs/router/feed.hpp"

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds quiet_after{1'500}; // a feed that says nothing for so long is replaced
constexpr milliseconds ask_every{400};     // trust is counted from the question, so it is asked often
constexpr std::size_t max_questions = 16;  // of which the time of sending is remembered

} // namespace

config_feed::config_feed(edge::link_hub& links, steward_directory& stewards, edge::program_context& context)
    : links_(links), stewards_(stewards), context_(context) {}

void config_feed::tick(time_point now) {
    if (!source_ || now - heard_ >= quiet_after)
        subscribe(now);
    else if (now - asked_ >= ask_every)
        ask(now);
}

void config_feed::subscribe(time_point now) {
    const auto chosen = stewards_.feed(source_);
    if (!chosen)
        return;
    source_ = chosen;
    heard_ = now;
    parts_.clear();
    next_part_ = 0;
    questions_.clear();
    ask(now);
}

/// Subscribes, or renews the subscription. A message may lie unread in a buffer while this process is paused:
/// what vouches for the configuration counts from when it was asked for, not from when it was read.
void config_feed::ask(time_point now) {
    asked_ = now;
    questions_[++last_question_] = now;
    if (questions_.size() > max_questions)
        questions_.erase(questions_.begin());
    wire::subscribe_config request;
    request.__set_have_revision(copy_.revision());
    links_.send(*source_, wire::message_kind::subscribe_config, last_question_, request);
}

void config_feed::refused(edge::link_id from, const wire::feed_elsewhere& told) {
    for (const std::string& address : told.addresses)
        stewards_.add(address);
    if (from != source_)
        return;
    stewards_.avoid_as_feed(from);
    resubscribe();
}

void config_feed::link_closed(edge::link_id link) {
    if (source_ == link)
        source_.reset();
}

void config_feed::resubscribe() {
    source_.reset();
}

bool config_feed::updated(edge::link_id from, const wire::config_update& update) {
    if (from != source_)
        return false; // of a subscription that was given up
    const bool first = update.parts <= 1 || update.part == 0;
    if (first) {
        parts_.clear();
        next_part_ = 0;
    }
    if (update.parts > 1 && update.part != next_part_) {
        resubscribe();
        return false;
    }
    for (const wire::config_entry& entry : update.entries)
        parts_.push_back({entry.revision, entry.key, entry.value});
    if (++next_part_ < update.parts)
        return false;
    const auto result = copy_.apply(update.from_revision, update.revision, parts_);
    parts_.clear();
    next_part_ = 0;
    if (result == core::config::apply_result::applied) {
        after_apply();
        return true;
    }
    if (result != core::config::apply_result::old) {
        log_->warn("Configuration {} does not fit revision {}.", update.revision, copy_.revision());
        resubscribe();
    }
    return false;
}

void config_feed::after_apply() {
    out_.clear();
    for (const auto& [name, one] : copy_.state().data_centres)
        if (one.state == core::config::data_centre_state::out)
            out_.insert(name);
    wire::apply_report report;
    report.__set_process(context_.name);
    report.__set_revision(copy_.revision());
    links_.send(*source_, wire::message_kind::apply_report, 0, report);
    context_.timeline.add(edge::event_kind::configuration, std::to_string(copy_.revision()),
                          "in force at this router");
    log_->info("Configuration {} is in force.", copy_.revision());
}

void config_feed::vouched(edge::link_id from, std::int64_t question, const wire::config_fresh& told,
                          time_point now) {
    if (from != source_)
        return;
    heard_ = now;
    const auto asked = questions_.find(question);
    if (told.revision > copy_.revision() && parts_.empty())
        resubscribe();
    if (asked != questions_.end())
        copy_.confirm(told.revision, milliseconds{told.fresh_ms}, asked->second);
}

} // namespace waxwinglb::programs::router
