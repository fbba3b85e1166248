/// Administration API: /v1/... as described in docs/openapi.yaml. Runs on the event-loop thread.
#pragma once

#include "edge/program.hpp"
#include "programs/admin/acceptor.hpp"
#include "programs/admin/answers.hpp"
#include "programs/admin/in_force.hpp"
#include "programs/admin/settings.hpp"

#include <optional>
#include <string>

namespace waxwinglb::programs::admin {

class api {
public:
    api(const admin_settings& settings, acceptor& changes, in_force_pages& pages,
        edge::program_context& context)
        : settings_(settings), changes_(changes), pages_(pages), context_(context) {}

    void handle(const edge::exchange_ptr& exchange, core::common::time_point now);

private:
    struct api_call {
        edge::exchange_ptr exchange;
        core::acceptance::actor by;
        std::string kind; // kind of the entries that the path addresses
        std::string name; // empty: the whole collection
        bool dry_run = false;
        core::common::time_point now{};

        [[nodiscard]] const edge::http_request& request() const { return exchange->request(); }
        [[nodiscard]] std::string key() const { return name.empty() ? kind : kind + "/" + name; }
    };

    void route(api_call& call);
    void read(const api_call& call) const;
    void list(const api_call& call) const;
    void create(const api_call& call);
    void grant_key(const api_call& call);
    void change(const api_call& call);
    void remove(const api_call& call);
    void change_several(const api_call& call);
    void show_status(const api_call& call) const;
    void show_audit(const api_call& call) const;
    void submit(const api_call& call, std::vector<core::acceptance::proposal> proposals,
                std::function<void(const submit_result&)> answer);
    void submit_one(const api_call& call, core::acceptance::proposal proposed, int status_when_accepted);

    const admin_settings& settings_;
    acceptor& changes_;
    in_force_pages& pages_;
    edge::program_context& context_;
};

} // namespace waxwinglb::programs::admin
