/// This gateway's part in the turns in which all gateways send prompts to targets: it asks the keeper of a
/// target for its own prompts, and is the keeper of some targets itself. Datagrams between gateways carry
/// both.
#pragma once

#include "core/dispatch/prompt_turns.hpp"
#include "edge/codec.hpp"
#include "programs/gateway/context.hpp"

#include <functional>
#include <map>
#include <vector>

namespace waxwinglb::programs::gateway {

class reading_turns {
public:
    struct owner {
        std::function<void(const std::string& gateway, const std::string& frame)> send; // a datagram
        std::function<std::vector<std::string>()> gateways; // in contact, this one included
        std::function<void()> on_turn; // one of this gateway's turns begins: what is waiting may be sent
    };
    reading_turns(gateway_context& context, owner to) : context_(context), owner_(std::move(to)) {}

    /// Whether a prompt of so many tokens may go to the target now; asks for a turn if need be.
    bool may_send(const std::string& target, int tokens);
    /// A prompt has gone to the target, in a turn or since its keeper is silent.
    void sent(const std::string& target, int tokens);
    /// The target's keeper has told this gateway to wait: another target that could serve comes first.
    [[nodiscard]] bool queued(const std::string& target) const;
    void forget_missing(); // targets that are no longer in the directory

    // Datagrams of other gateways.
    void take(const wire::turn_request& from);
    void take(const wire::turn_answer& from);
    void take(const wire::turn_use& from);

private:
    struct target_turns {
        core::dispatch::turn_client seeker;    // this gateway's questions
        core::dispatch::turn_scheduler keeper; // all gateways' questions, while this one keeps the turns
        std::string asked;                     // the keeper of the newest question
        edge::event_loop::timer_id timer;      // the keeper's next turn
    };
    void ask(const std::string& target, target_turns& one, int tokens);
    void give_due(const std::string& target);
    std::optional<std::int64_t> give_next(const std::string& target, target_turns& one);
    void look_again(const target_turns& one);
    void begin_turn(const std::string& target, std::int64_t number);
    void tell_use(const std::string& target, target_turns& one, int tokens);
    [[nodiscard]] double pace() const; // prompt tokens a ms
    [[nodiscard]] const std::string& self() const { return context_.settings.name; }

    gateway_context& context_;
    owner owner_;
    std::map<std::string, target_turns> targets_;
};

} // namespace waxwinglb::programs::gateway
