#include "programs/ctl/commands.hpp"

#include "core/timeline/merge.hpp"
#include "programs/ctl/admin_client.hpp"
#include "programs/ctl/deployment_file.hpp"
#include "programs/ctl/output.hpp"

#include <iostream>
#include <thread>

namespace waxwinglb::programs::ctl {
namespace {

using core::common::milliseconds;
using nlohmann::json;

constexpr milliseconds poll_every{100};          // of --wait
constexpr std::size_t max_apply_bytes = 300'000; // one call; the API takes 400 KB

int usage_fault(const std::string& message) {
    std::cerr << "waxwingctl: " << message << "; see --help\n";
    return exit_usage;
}

/// Prints why a call failed; returns the exit code.
int report_failure(const api_answer& answer) {
    if (answer.status == 0) {
        std::cerr << "waxwingctl: " << answer.error << "\n";
        if (answer.maybe_applied)
            std::cerr << "waxwingctl: it is unknown whether the change was accepted; read the entry again\n";
        return answer.maybe_applied ? exit_unknown : exit_refused;
    }
    const json body = answer.body.is_object() ? answer.body : json::object();
    std::cerr << "waxwingctl: " << body.value("title", "status " + std::to_string(answer.status)) << "\n";
    for (const json& fault : body.value("faults", json::array()))
        std::cerr << "  " << fault.value("pointer", "") << ": expected " << fault.value("expected", "")
                  << "\n";
    return body.value("accepted", "no") == "unknown" ? exit_unknown : exit_refused;
}

/// Waits until `revision` is in force in every process that a steward serves.
int wait_until_in_force(admin_client& client, std::int64_t revision, milliseconds timeout,
                        core::common::time_point started_at) {
    std::string last;
    while (core::common::clock::now() - started_at < timeout) {
        const api_answer answer = client.call("GET", "/v1/in-force?revision=" + std::to_string(revision));
        if (answer.succeeded()) {
            const std::size_t live = answer.body.value("live", std::size_t{0});
            const std::size_t applied = answer.body.value("applied", std::size_t{0});
            const std::size_t silent = answer.body.value("silent_stewards", json::array()).size();
            std::string progress = "revision " + std::to_string(revision) + " is in force in " +
                                   std::to_string(applied) + " of " + std::to_string(live) + " processes";
            if (silent > 0)
                progress += "; " + std::to_string(silent) + " stewards do not answer";
            if (progress != last)
                std::cerr << progress << "\n";
            last = progress;
            if (live > 0 && applied == live && silent == 0) {
                const auto took =
                    std::chrono::duration_cast<milliseconds>(core::common::clock::now() - started_at);
                std::cerr << "in force in all " << live << " processes " << took.count()
                          << " ms after the command began\n";
                return exit_ok;
            }
        }
        std::this_thread::sleep_for(poll_every);
    }
    std::cerr << "waxwingctl: not in force everywhere within " << timeout.count() / 1000 << " s\n";
    return exit_not_in_force;
}

class command_runner {
public:
    explicit command_runner(const command_line& line) : line_(line), client_(line.admin, line.token) {}

    int run();

private:
    [[nodiscard]] std::string argument(std::size_t i) const {
        return i < line_.arguments.size() ? line_.arguments[i] : "";
    }
    [[nodiscard]] std::string dry_run_query() const { return line_.dry_run ? "?dry_run=true" : ""; }
    int finish_change(const api_answer& answer);
    int show_file();
    int apply(bool diff_only);
    int get();
    int use_preset();
    int change_key();
    int change_data_centre_state();
    int status();
    int explain();
    api_answer apply_changes(const json& changes, bool dry_run);

    const command_line& line_;
    admin_client client_;
    core::common::time_point started_at_ = core::common::clock::now();
};

int command_runner::run() {
    const std::string command = argument(0);
    if (command == "completion") {
        std::cout << completion_script();
        return exit_ok;
    }
    if (command == "explain")
        return explain();
    const bool needs_file = command == "apply" || command == "diff" || command == "show";
    if (needs_file && line_.file.empty())
        return usage_fault(command + " needs -f FILE");
    if (command == "show")
        return show_file();
    if (line_.admin.empty())
        return usage_fault("--admin IP:PORT or WAXWING_ADMIN is needed");
    if (command == "apply" || command == "diff")
        return apply(command == "diff");
    if (command == "get" && !argument(1).empty())
        return get();
    if (command == "preset" && argument(1) == "use" && !argument(2).empty())
        return use_preset();
    if (command == "key" && (argument(1) == "grant" || argument(1) == "withdraw") && !argument(2).empty())
        return change_key();
    if (command == "data-centre" && (argument(1) == "take-out" || argument(1) == "bring-back") &&
        !argument(2).empty())
        return change_data_centre_state();
    if (command == "status")
        return status();
    return usage_fault("unknown command or missing argument");
}

int command_runner::finish_change(const api_answer& answer) {
    if (!answer.succeeded())
        return report_failure(answer);
    if (line_.wait && !line_.dry_run)
        return wait_until_in_force(client_, answer.body.value("revision", std::int64_t{0}), line_.timeout,
                                   started_at_);
    return exit_ok;
}

int command_runner::show_file() {
    const deployment_file file = read_deployment(line_.file);
    for (const std::string& fault : file.faults)
        std::cerr << fault << "\n";
    if (!file.faults.empty())
        return exit_file;
    std::cout << file.document.dump(2) << "\n";
    return exit_ok;
}

api_answer command_runner::apply_changes(const json& changes, bool dry_run) {
    return client_.call("POST", dry_run ? "/v1/changes?dry_run=true" : "/v1/changes",
                        json{{"changes", changes}});
}

int command_runner::apply(bool diff_only) {
    const deployment_file file = read_deployment(line_.file);
    for (const std::string& fault : file.faults)
        std::cerr << fault << "\n";
    if (!file.faults.empty())
        return exit_file;
    const api_answer preview = apply_changes(file.changes, true);
    if (!preview.succeeded())
        return report_failure(preview);
    json rows = json::array();
    json changes = json::array();
    for (std::size_t i = 0; i < file.changes.size(); ++i) {
        const json& result = preview.body["results"][i];
        if (result["effect"] == "unchanged")
            continue;
        rows.push_back(result);
        // Conditional on the previewed revision, which protects another operator's change made since.
        changes.push_back({{"key", result["key"]},
                           {"value", file.changes[i]["value"]},
                           {"if_revision", result["if_revision"]}});
    }
    const std::vector<std::string> columns{"effect", "key", "before", "after"};
    if (diff_only || line_.dry_run || changes.empty()) {
        print(line_.output, rows, rows, columns);
        return diff_only && !rows.empty() ? exit_differs : exit_ok;
    }
    api_answer last;
    json part = json::array();
    std::size_t size = 0;
    for (std::size_t i = 0; i < changes.size(); ++i) {
        part.push_back(changes[i]);
        size += changes[i].dump().size();
        if (i + 1 < changes.size() && size + changes[i + 1].dump().size() < max_apply_bytes)
            continue;
        last = apply_changes(part, false);
        if (!last.succeeded()) {
            if (part.size() < changes.size())
                std::cerr << "waxwingctl: " << i + 1 - part.size() << " of " << changes.size()
                          << " changes were accepted before the failed call\n";
            return report_failure(last);
        }
        part = json::array();
        size = 0;
    }
    print(line_.output, rows, rows, {"effect", "key"});
    return finish_change(last);
}

int command_runner::get() {
    const bool single = argument(1) == "preset-in-force" || !argument(2).empty();
    const api_answer answer =
        client_.call("GET", "/v1/" + argument(1) + (argument(2).empty() ? "" : "/" + argument(2)));
    if (!answer.succeeded())
        return report_failure(answer);
    if (single)
        print(line_.output, answer.body, json::array({{{"value", answer.body}}}), {"value"});
    else if (argument(1) == "audit")
        print(line_.output, answer.body, answer.body["records"],
              {"revision", "by", "key", "before", "after"});
    else
        print(line_.output, answer.body, answer.body["items"], {"key", "revision", "team", "value"});
    return exit_ok;
}

int command_runner::use_preset() {
    const api_answer present = client_.call("GET", "/v1/preset-in-force");
    if (!present.succeeded() && present.status != 404)
        return report_failure(present);
    const edge::http_field condition = present.succeeded() ? edge::http_field{"If-Match", present.entity_tag}
                                                           : edge::http_field{"If-None-Match", "*"};
    const api_answer answer = client_.call("PUT", "/v1/preset-in-force" + dry_run_query(),
                                           json{{"name", argument(2)}}, {condition});
    if (answer.succeeded())
        std::cout << "preset " << argument(2)
                  << (answer.body.value("changed", false) ? " is accepted" : " was in force") << ", revision "
                  << answer.body["revision"] << "\n";
    return finish_change(answer);
}

int command_runner::change_key() {
    if (argument(1) == "grant") {
        const api_answer answer =
            client_.call("POST", "/v1/keys" + dry_run_query(), json{{"customer", argument(2)}});
        if (answer.succeeded())
            print(line_.output, answer.body, json::array({answer.body}), {"id", "customer", "key"});
        return finish_change(answer);
    }
    const api_answer answer = client_.call("DELETE", "/v1/keys/" + argument(2) + dry_run_query());
    if (answer.succeeded())
        std::cout << "key " << argument(2) << " is withdrawn, revision " << answer.body["revision"] << "\n";
    return finish_change(answer);
}

int command_runner::change_data_centre_state() {
    const std::string path = "/v1/data-centres/" + argument(2);
    const api_answer present = client_.call("GET", path);
    if (!present.succeeded())
        return report_failure(present);
    json changed = present.body;
    changed["state"] = argument(1) == "take-out" ? "out" : "in";
    const api_answer answer =
        client_.call("PUT", path + dry_run_query(), changed, {{"If-Match", present.entity_tag}});
    if (answer.succeeded())
        std::cout << "data centre " << argument(2) << " is " << changed["state"].get<std::string>()
                  << ", revision " << answer.body["revision"] << "\n";
    return finish_change(answer);
}

int command_runner::status() {
    const api_answer answer = client_.call("GET", "/v1/status");
    if (!answer.succeeded())
        return report_failure(answer);
    const api_answer in_force = client_.call("GET", "/v1/in-force");
    json all = answer.body;
    if (in_force.succeeded())
        all["in_force"] = in_force.body;
    json rows = json::array();
    for (const auto& [name, value] : all.items())
        if (name != "in_force")
            rows.push_back({{"what", name}, {"value", value}});
    if (in_force.succeeded()) {
        rows.push_back({{"what", "in force in"},
                        {"value", in_force.body["applied"].dump() + " of " + in_force.body["live"].dump()}});
        for (const json& lacking : in_force.body["lacking"])
            rows.push_back({{"what", "lacking"}, {"value", lacking}});
    }
    print(line_.output, all, rows, {"what", "value"});
    return exit_ok;
}

int command_runner::explain() {
    if (argument(1).empty() || line_.pages.empty())
        return usage_fault("explain needs REQUEST and --pages or WAXWING_PAGES");
    std::vector<core::timeline::page> pages;
    std::vector<core::timeline::silent_process> silent;
    for (const std::string& address : line_.pages) {
        const auto text = client_.page(address, "/timeline");
        auto page = text ? core::timeline::decode_page(*text) : std::nullopt;
        if (page)
            pages.push_back(std::move(*page));
        else
            silent.push_back({address});
    }
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto all =
        core::timeline::merge(pages, silent, std::chrono::duration_cast<milliseconds>(now).count());
    json rows = json::array();
    std::int64_t first = 0;
    bool found_event = false;
    for (const auto& event : core::timeline::follow(all, argument(1))) {
        const std::int64_t at = core::timeline::unix_ms_of(event.clock);
        first = first == 0 ? at : first;
        found_event = found_event || event.kind != "gap";
        rows.push_back({{"ms", at - first},
                        {"process", event.process},
                        {"kind", event.kind},
                        {"subject", event.subject},
                        {"what", event.what}});
    }
    if (!found_event) {
        std::cerr << "waxwingctl: no process has events of " << argument(1) << "\n";
        return exit_refused;
    }
    print(line_.output, rows, rows, {"ms", "process", "kind", "subject", "what"});
    return exit_ok;
}

} // namespace

int run_command(const command_line& line) {
    return command_runner{line}.run();
}

} // namespace waxwinglb::programs::ctl
