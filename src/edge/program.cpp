#include "edge/program.hpp"

#include "edge/crash_report.hpp"
#include "edge/log.hpp"

#include <getopt.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sstream>
#include <thread>

namespace waxwinglb::edge {
namespace {

struct command_line {
    std::string config;
    bool check = false;
    int exit_code = -1; // >= 0: the program ends at once with this code
};

void print_help(const program_description& description) {
    std::cout
        << description.name << " - " << description.purpose << "\n\n"
        << "Usage: " << description.name << " --config FILE [--check]\n\n"
        << "  -c, --config FILE  settings in YAML\n"
        << "      --check        validates the settings and exits\n"
        << "  -h, --help         prints this text\n"
        << "  -V, --version      prints the version\n\n"
        << "Exit codes: 0 success, 1 failure, 2 wrong command line, 3 invalid settings.\n"
        << "SIGTERM drains: accepts no new work and finishes running work. SIGHUP reads the settings again,\n"
           "in programs that can apply them while running.\n";
}

command_line parse(int argc, char** argv, const program_description& description) {
    constexpr int check_option = 1000;
    const std::array<option, 5> options{{{"config", required_argument, nullptr, 'c'},
                                         {"check", no_argument, nullptr, check_option},
                                         {"help", no_argument, nullptr, 'h'},
                                         {"version", no_argument, nullptr, 'V'},
                                         {nullptr, 0, nullptr, 0}}};
    command_line out;
    for (;;) {
        const int next = getopt_long(argc, argv, "c:hV", options.data(), nullptr);
        if (next == -1)
            break;
        if (next == 'c')
            out.config = optarg;
        else if (next == check_option)
            out.check = true;
        else if (next == 'h') {
            print_help(description);
            out.exit_code = exit_ok;
        } else if (next == 'V') {
            std::cout << description.name << " " << description.version << "\n";
            out.exit_code = exit_ok;
        } else
            out.exit_code = exit_usage;
    }
    if (out.exit_code < 0 && (out.config.empty() || optind < argc)) {
        std::cerr << description.name << ": expected --config FILE and no other argument; see --help\n";
        out.exit_code = exit_usage;
    }
    return out;
}

/// Blocks SIGTERM, SIGINT and SIGHUP, which one thread then receives by sigwait. Ignores SIGPIPE.
sigset_t block_stop_signals() {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return set;
}

void respond(const exchange_ptr& exchange, int status, std::string body, const char* type = "text/plain") {
    exchange->respond({status, {{"Content-Type", type}}, std::move(body)});
}

} // namespace

int run_program(int argc, char** argv, const program_description& description,
                const std::function<void(settings_section&)>& read,
                const std::function<int(program_context&)>& run) {
    const command_line line = parse(argc, argv, description);
    if (line.exit_code >= 0)
        return line.exit_code;
    const auto owned = std::make_shared<program_context>(); // the signal thread may outlast this call
    program_context& context = *owned;
    context.config = line.config;
    const auto faults = settings_file::load(line.config, [&](settings_section& top) {
        context.name = top.text("name");
        set_log_level(top.text("log_level", "info"));
        read(top);
    });
    if (!faults.empty()) {
        std::cerr << describe(line.config, faults);
        return exit_settings;
    }
    if (line.check) {
        std::cout << line.config << ": settings are valid\n";
        return exit_ok;
    }
    const crash_reported_thread main_thread{"main"};
    report_crashes(context.name);
    const sigset_t set = block_stop_signals();
    std::thread{[set, owned] {
        program_context& context = *owned;
        for (;;) {
            int signal_number = 0;
            sigwait(&set, &signal_number);
            if (signal_number == SIGHUP) {
                ++context.reloads;
                continue;
            }
            if (context.stopping)
                std::_Exit(exit_failed); // a second signal ends the process at once
            context.stopping = true;
            context.stopping.notify_all();
        }
    }}.detach();
    return run(context);
}

bool answer_operations(const exchange_ptr& exchange, program_context& context) {
    const http_request& request = exchange->request();
    if (request.path == "/healthz")
        return respond(exchange, 200, "ok\n"), true;
    if (request.path == "/readyz") {
        const bool ready = context.ready && !context.stopping;
        return respond(exchange, ready ? 200 : 503, ready ? "ready\n" : "not ready\n"), true;
    }
    if (request.path == "/metrics") {
        std::ostringstream text;
        prometheus::TextSerializer{}.Serialize(text, context.metrics->Collect());
        return respond(exchange, 200, text.str(), "text/plain; version=0.0.4"), true;
    }
    if (request.path == "/timeline") {
        const auto since = request.query.find("since");
        const std::int64_t from =
            since == request.query.end() ? 0 : std::strtoll(since->second.c_str(), nullptr, 10);
        return respond(exchange, 200, to_json(context.name, context.timeline, from), "application/json"),
               true;
    }
    return false;
}

std::unique_ptr<http_server> make_operations_server(const std::string& address, program_context& context) {
    http_server_options options;
    options.address = address;
    options.threads = 1;
    auto server = std::make_unique<http_server>(std::move(options), [&context](const exchange_ptr& exchange) {
        if (!answer_operations(exchange, context))
            respond(exchange, 404, "not found\n");
    });
    return server->start() ? std::move(server) : nullptr;
}

} // namespace waxwinglb::edge
