#include "programs/router/feed.hpp"

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds feed_timeout{1'500};   // a feed that is silent for so long is replaced
constexpr milliseconds renew_interval{400};   // short, since freshness counts from the sending of a request
constexpr std::size_t max_sent_requests = 16; // whose time of sending is kept

} // namespace

config_feed::config_feed(edge::link_hub& links, steward_directory& stewards, edge::program_context& context)
    : links_(links), stewards_(stewards), context_(context) {}

void config_feed::tick(time_point now) {
    if (!source_ || now - last_message_ >= feed_timeout)
        subscribe(now);
    else if (now - last_sent_ >= renew_interval)
        send_subscription(now);
}

void config_feed::subscribe(time_point now) {
    const auto chosen = stewards_.choose_feed(source_);
    if (!chosen)
        return;
    source_ = chosen;
    last_message_ = now;
    parts_.clear();
    next_part_ = 0;
    sent_requests_.clear();
    send_subscription(now);
}

/// Subscribes, or renews the subscription. A message may lie unread in a buffer while this process is paused,
/// so the freshness that it confirms counts from the sending of the request, not from reading the answer.
void config_feed::send_subscription(time_point now) {
    last_sent_ = now;
    sent_requests_[++last_request_] = now;
    if (sent_requests_.size() > max_sent_requests)
        sent_requests_.erase(sent_requests_.begin());
    wire::subscribe_config request;
    request.__set_have_revision(copy_.revision());
    links_.send(*source_, wire::message_kind::subscribe_config, last_request_, request);
}

void config_feed::handle_feed_elsewhere(edge::link_id from, const wire::feed_elsewhere& message) {
    for (const std::string& address : message.addresses)
        stewards_.add(address);
    if (from != source_)
        return;
    stewards_.avoid_as_feed(from);
    drop_source();
}

void config_feed::handle_link_closed(edge::link_id link) {
    if (source_ == link)
        source_.reset();
}

void config_feed::drop_source() {
    source_.reset();
}

bool config_feed::handle_update(edge::link_id from, const wire::config_update& update) {
    if (from != source_)
        return false; // belongs to an abandoned subscription
    const bool first = update.parts <= 1 || update.part == 0;
    if (first) {
        parts_.clear();
        next_part_ = 0;
    }
    if (update.parts > 1 && update.part != next_part_) {
        drop_source();
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
        report_applied();
        return true;
    }
    if (result != core::config::apply_result::old) {
        log_->warn("Configuration {} does not follow the local revision {}.", update.revision,
                   copy_.revision());
        drop_source();
    }
    return false;
}

void config_feed::report_applied() {
    data_centres_out_.clear();
    for (const auto& [name, data_centre] : copy_.state().data_centres)
        if (data_centre.state == core::config::data_centre_state::out)
            data_centres_out_.insert(name);
    wire::apply_report report;
    report.__set_process(context_.name);
    report.__set_revision(copy_.revision());
    links_.send(*source_, wire::message_kind::apply_report, 0, report);
    context_.timeline.add(edge::event_kind::configuration, std::to_string(copy_.revision()),
                          "in force at this router");
    log_->info("Configuration {} is in force.", copy_.revision());
}

void config_feed::handle_fresh(edge::link_id from, std::int64_t request, const wire::config_fresh& message,
                               time_point now) {
    if (from != source_)
        return;
    last_message_ = now;
    const auto sent = sent_requests_.find(request);
    if (message.revision > copy_.revision() && parts_.empty())
        drop_source();
    if (sent != sent_requests_.end())
        copy_.confirm(message.revision, milliseconds{message.fresh_ms}, sent->second);
}

} // namespace waxwinglb::programs::router
