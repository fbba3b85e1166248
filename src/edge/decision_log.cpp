#include "edge/decision_log.hpp"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <chrono>

namespace waxwinglb::edge {
namespace {

constexpr std::size_t waiting_lines = 8'192; // beyond, the oldest are dropped and counted

} // namespace

class decision_log::impl {
public:
    explicit impl(std::string process)
        : process_(std::move(process)),
          pool_(std::make_shared<spdlog::details::thread_pool>(waiting_lines, 1)),
          logger_(std::make_shared<spdlog::async_logger>(
              "decisions", std::make_shared<spdlog::sinks::stdout_sink_mt>(), pool_,
              spdlog::async_overflow_policy::overrun_oldest)) {
        logger_->set_pattern("%v");
        logger_->set_level(spdlog::level::info);
    }

    void write(std::string_view event, std::string_view subject, const fields& inputs) {
        report_dropped();
        logger_->info(line(event, subject, inputs));
    }

private:
    [[nodiscard]] std::string line(std::string_view event, std::string_view subject,
                                   const fields& inputs) const {
        const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        fields out{{"unix_ms", at.count()}, {"process", process_}, {"event", event}, {"subject", subject}};
        out.update(inputs);
        return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    void report_dropped() {
        const std::size_t dropped = pool_->overrun_counter();
        const std::size_t before = reported_.exchange(dropped);
        if (dropped > before)
            logger_->info(line(events::lines_dropped, "", {{"count", dropped - before}}));
    }

    std::string process_;
    std::shared_ptr<spdlog::details::thread_pool> pool_;
    std::shared_ptr<spdlog::async_logger> logger_;
    std::atomic<std::size_t> reported_{0};
};

decision_log::decision_log(std::string process) : impl_(std::make_unique<impl>(std::move(process))) {}
decision_log::~decision_log() = default;

void decision_log::write(std::string_view event, std::string_view subject, const fields& inputs) {
    impl_->write(event, subject, inputs);
}

} // namespace waxwinglb::edge
