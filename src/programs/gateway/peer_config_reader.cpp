#include "programs/gateway/peer_config_reader.hpp"

#include "core/common/json_text.hpp"

namespace waxwinglb::programs::gateway {
namespace {

using core::common::milliseconds;

constexpr milliseconds answer_timeout{
    800}; // a gateway compresses a new version when it is first asked for it

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
        read(address, version);
}

void peer_config_reader::read(const std::string& address, std::int64_t version) {
    reads_.begin(address);
    edge::client_request request;
    request.url = "http://" + address + peer_config_path;
    request.accepts_gzip = true;
    edge::limit_by_progress(request, answer_timeout);
    client_.send(std::move(request), [this, address, version](edge::client_result&& answer) {
        context_.loop.post([this, address, version, answer = std::move(answer)] {
            handle_answer(address, version, answer);
        });
    });
}

void peer_config_reader::handle_answer(const std::string& address, std::int64_t version,
                                       const edge::client_result& answer) {
    const bool answered = answer.outcome == edge::client_outcome::answered;
    if (answered && answer.status == 200)
        watch_.apply_config(core::common::parse_json(answer.body), address);
    const bool in_force = context_.config && context_.config->version >= version;
    reads_.end(in_force, context_.loop.now());
    if (!in_force)
        context_.log.write(edge::events::peer_lost, address,
                           {{"step", "read configuration"},
                            {"version", version},
                            {"status", answer.status},
                            {"received", answer.received},
                            {"why", answered ? "" : describe(answer.why)}});
}

} // namespace waxwinglb::programs::gateway
