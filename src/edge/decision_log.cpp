#include "edge/decision_log.hpp"

#include "core/timeline/line_limit.hpp"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <chrono>
#include <mutex>

namespace waxwinglb::edge {
namespace {

constexpr std::size_t queue_capacity = 8'192; // lines; when full, the oldest are dropped and counted

bool is_about_request(std::string_view event) {
    return std::find(events::about_requests.begin(), events::about_requests.end(), event) !=
           events::about_requests.end();
}

} // namespace

class decision_log::impl {
public:
    impl(std::string process, int request_lines_per_second)
        : process_(std::move(process)), limit_(request_lines_per_second),
          pool_(std::make_shared<spdlog::details::thread_pool>(queue_capacity, 1)),
          logger_(std::make_shared<spdlog::async_logger>(
              "decisions", std::make_shared<spdlog::sinks::stdout_sink_mt>(), pool_,
              spdlog::async_overflow_policy::overrun_oldest)) {
        logger_->set_pattern("%v");
        logger_->set_level(spdlog::level::info);
    }

    ~impl() {
        const std::scoped_lock hold{limit_mutex_};
        report_left_out(limit_.take_all_suppressed());
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    void write(std::string_view event, std::string_view subject, const fields& inputs) {
        report_dropped();
        if (admit(event, core::common::clock::now()))
            logger_->info(format_line(event, subject, inputs));
    }
    void limit_request_lines(int per_second) {
        const std::scoped_lock hold{limit_mutex_};
        limit_.change(per_second);
    }

private:
    [[nodiscard]] std::string format_line(std::string_view event, std::string_view subject,
                                          const fields& inputs) const {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        fields out{{"unix_ms", at.count()}, {"process", process_}, {"event", event}, {"subject", subject}};
        out.update(inputs);
        return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    bool admit(std::string_view event, core::common::time_point now) {
        const std::scoped_lock hold{limit_mutex_};
        report_left_out(limit_.take_suppressed(now));
        return !is_about_request(event) || limit_.admit(event, now);
    }
    void report_left_out(const std::vector<core::timeline::line_limit::suppressed>& entries) {
        for (const auto& entry : entries)
            logger_->info(format_line(events::lines_left_out, entry.event,
                                      {{"count", entry.lines}, {"per_second", limit_.lines_per_second()}}));
    }
    void report_dropped() {
        const std::size_t dropped = pool_->overrun_counter();
        const std::size_t before = reported_drops_.exchange(dropped);
        if (dropped > before)
            logger_->info(format_line(events::lines_dropped, "", {{"count", dropped - before}}));
    }

    std::string process_;
    std::mutex limit_mutex_;
    core::timeline::line_limit limit_;
    std::shared_ptr<spdlog::details::thread_pool> pool_;
    std::shared_ptr<spdlog::async_logger> logger_;
    std::atomic<std::size_t> reported_drops_{0};
};

decision_log::decision_log(std::string process, int request_lines_per_second)
    : impl_(std::make_unique<impl>(std::move(process), request_lines_per_second)) {}
decision_log::~decision_log() = default;

void decision_log::limit_request_lines(int per_second) {
    impl_->limit_request_lines(per_second);
}

void decision_log::write(std::string_view event, std::string_view subject, const fields& inputs) {
    impl_->write(event, subject, inputs);
}

} // namespace waxwinglb::edge
