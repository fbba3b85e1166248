#include "programs/gateway/peer_config_reader.hpp"

#include "core/common/json_text.hpp"

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;

constexpr milliseconds answer_timeout{
    800}; // a gateway compresses a new version when it is first asked for it
constexpr milliseconds stall_timeout{1'000};
constexpr milliseconds max_transfer_time{15'000};

} // namespace

void peer_config_reader::follow(std::int64_t version, const std::string& address) {
    const auto now = context_.loop.now();
    const std::int64_t own = context_.config ? context_.config->version : 0;
    reads_.note_in_force(own);
    if (version <= own)
        return;
    reads_.note_newer(version, now);
    // A gateway that starts serves when it knows what the others know, and a restored store may not have it.
    const bool store_answers = context_.informed() && watch_.reads_config();
    if (reads_.due(address, store_answers, now))
        read(address);
}

void peer_config_reader::read(const std::string& address) {
    reads_.begin(address);
    edge::client_request request;
    request.url = "http://" + address + peer_config_path;
    request.accepts_gzip = true;
    request.answer_timeout = answer_timeout;
    request.stall_timeout = stall_timeout;
    request.timeout = answer_timeout + max_transfer_time;
    request.progress = std::make_shared<edge::transfer_progress>();
    const auto progress = request.progress;
    client_.send(std::move(request), [this, address, progress](edge::client_result&& answer) {
        context_.loop.post([this, address, progress, answer = std::move(answer)] {
            handle_answer(address, answer, progress->received);
        });
    });
}

void peer_config_reader::handle_answer(const std::string& address, const edge::client_result& answer,
                                       std::size_t received) {
    const bool read = answer.outcome == edge::client_outcome::answered && answer.status == 200;
    reads_.end(read, context_.loop.now());
    if (!read)
        return context_.log.write(
            edge::events::peer_lost, address,
            {{"step", "read configuration"},
             {"status", answer.status},
             {"received", received},
             {"why", answer.outcome == edge::client_outcome::answered ? "" : describe(answer.why)}});
    watch_.apply_config(core::common::parse_json(answer.body), address);
}

} // namespace waxwinglb::programs::gateway
