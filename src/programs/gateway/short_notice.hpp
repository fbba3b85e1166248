/// Moves requests off targets that their registrations announce to be gone at a known time. The rules are in
/// core/dispatch/short_notice.
#pragma once

#include "programs/gateway/admission.hpp"

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace waxwinglb::programs::gateway {

class short_notice {
public:
    short_notice(gateway_context& context, dispatcher& dispatch, forwarder& forward,
                 const admission& requests)
        : context_(context), dispatcher_(dispatch), forwarder_(forward), admission_(requests) {}

    void step(); // looks through the requests at such targets; to be called every 100 ms

private:
    struct notice {
        std::int64_t born = 0;
        core::common::time_point gone_at{};
    };
    void follow_directory();
    void look_at(const std::string& target, const notice& known);
    void consider(const caller_request_ptr& request, core::common::time_point gone_at);
    [[nodiscard]] core::dispatch::notice_decision decide(const caller_request& request,
                                                         const std::optional<core::common::time_point>& end,
                                                         core::common::time_point gone_at);

    gateway_context& context_;
    dispatcher& dispatcher_;
    forwarder& forwarder_;
    const admission& admission_;
    /// Requests that go to the same targets: service, model, version if it matters.
    using group_key =
        std::tuple<std::string, core::fleet::model_ref, std::optional<core::fleet::serving_version>>;

    std::map<std::string, notice> notices_; // by target
    std::set<group_key> full_groups_;       // found without room in this step
    std::int64_t followed_ = 0;             // removals noted by the directory
};

} // namespace waxwinglb::programs::gateway
