/// Administration API: /v1/... as described in docs/openapi.yaml. Runs on the deciding thread.
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

    void take(const edge::exchange_ptr& exchange, core::common::time_point now);

private:
    struct call {
        edge::exchange_ptr exchange;
        core::acceptance::actor by;
        std::string kind; // of the entries that the path is about
        std::string name; // empty: the collection
        bool dry_run = false;
        core::common::time_point now{};

        [[nodiscard]] const edge::http_request& request() const { return exchange->request(); }
        [[nodiscard]] std::string key() const { return name.empty() ? kind : kind + "/" + name; }
    };

    void route(call& one);
    void read(const call& one) const;
    void list(const call& one) const;
    void create(const call& one);
    void grant_key(const call& one);
    void change(const call& one);
    void remove(const call& one);
    void change_many(const call& one);
    void show_status(const call& one) const;
    void show_audit(const call& one) const;
    void submit(const call& one, std::vector<core::acceptance::proposal> proposals,
                std::function<void(const submit_result&)> answer);
    void submit_one(const call& one, core::acceptance::proposal wanted, int status_when_accepted);

    const admin_settings& settings_;
    acceptor& changes_;
    in_force_pages& pages_;
    edge::program_context& context_;
};

} // namespace waxwinglb::programs::admin
