/// Asks targets whether the process that answered a request still runs. The kernel closes the connections of
/// a killed process in order, so the end of a connection alone doesn't show that an answer is complete.
#pragma once

#include "core/fleet/departures.hpp"
#include "edge/http_client.hpp"
#include "platform/documents.hpp"
#include "programs/gateway/context.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace waxwinglb::programs::gateway {

enum class probe_result {
    running,   // this start of the target has answered
    listening, // a process listens at its address and hasn't shown which start it is
    ended,     // nothing listens there, or another start does
    unknown,   // no connection in time
};

struct probed_target {
    core::fleet::target_start start;
    std::string address; // IP:PORT
    std::string path;    // of a call that runs nothing
};

struct probe_answer {
    probe_result result = probe_result::unknown;
    std::optional<platform::target_report> report; // if the path is that of reports, and one came
};

class target_probe {
public:
    using handler = std::function<void(const probe_answer&)>;
    target_probe(gateway_context& context, edge::http_client& client) : context_(context), client_(client) {}

    /// Calls `on_result` on the event loop, after two inquiries at the latest: one that has begun before
    /// doesn't count.
    void ask(const probed_target& target, handler on_result);

private:
    /// The calls to one start of a target, one at a time.
    struct inquiry {
        probed_target target;
        std::vector<handler> handlers;       // of those who asked before its first call
        std::vector<handler> later_handlers; // and since then: the next inquiry is theirs
        core::common::time_point deadline{};
        int calls = 0;
        int refusals = 0; // of connections
    };
    using inquiry_ptr = std::shared_ptr<inquiry>;
    void begin(const inquiry_ptr& current);
    void call(const inquiry_ptr& current);
    void handle_answer(const inquiry_ptr& current, const edge::client_result& answer);
    void finish(const inquiry_ptr& current, const probe_answer& answer);

    gateway_context& context_;
    edge::http_client& client_;
    std::map<core::fleet::target_start, inquiry_ptr> inquiries_;
};

[[nodiscard]] const char* name_of(probe_result result);

} // namespace waxwinglb::programs::gateway
