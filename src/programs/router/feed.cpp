#include "programs/router/feed.hpp"

namespace waxwinglb::programs::router {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr milliseconds quiet_after{1'500}; // a feed that says nothing for so long is replaced

} // namespace

config_feed::config_feed(edge::link_hub& links, steward_directory& stewards, edge::program_context& context)
    : links_(links), stewards_(stewards), context_(context) {}

void config_feed::tick(time_point now) {
    if (!source_ || now - heard_ >= quiet_after)
        subscribe(now);
}

void config_feed::subscribe(time_point now) {
    const auto chosen = stewards_.feed(source_);
    if (!chosen)
        return;
    source_ = chosen;
    heard_ = now;
    parts_.clear();
    next_part_ = 0;
    wire::subscribe_config request;
    request.__set_have_revision(copy_.revision());
    links_.send(*chosen, wire::message_kind::subscribe_config, 0, request);
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

void config_feed::vouched(edge::link_id from, const wire::config_fresh& told, time_point now) {
    if (from != source_)
        return;
    heard_ = now;
    if (told.revision > copy_.revision() && parts_.empty())
        resubscribe();
    copy_.confirm(told.revision, milliseconds{told.fresh_ms}, now);
}

} // namespace waxwinglb::programs::router
