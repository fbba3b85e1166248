// Creates and connects the parts of waxwing-steward: links, HTTP, platform client and deciding thread.
#include "programs/steward/steward.hpp"

#include <random>

namespace waxwinglb::programs::steward {
namespace {

constexpr core::common::milliseconds store_timeout{1'000}; // of one call, in addition to a watch's own wait

/// Returns a random number that identifies this start of the process. It has 53 bits because JSON readers
/// that use doubles lose larger integers.
std::int64_t make_boot_number() {
    std::random_device source;
    const std::uint64_t bits = (std::uint64_t{source()} << 32U) | source();
    return static_cast<std::int64_t>((bits >> 11U) | 1U);
}

std::unique_ptr<edge::http_server>
start_operations_server(const std::string& address, edge::program_context& program, event_ring& events) {
    edge::http_server_options options;
    options.address = address;
    options.threads = 1;
    auto server =
        std::make_unique<edge::http_server>(std::move(options), [&](const edge::exchange_ptr& exchange) {
            if (edge::answer_operations(exchange, program))
                return;
            if (exchange->request().path != "/in-force" || !events.try_push(page_event{exchange}))
                exchange->respond({404, {{"Content-Type", "text/plain"}}, "not found\n"});
        });
    return server->start() ? std::move(server) : nullptr;
}

} // namespace

int run_steward(const steward_settings& settings, edge::program_context& program) {
    const auto log = edge::make_logger("steward");
    event_ring events{ring_capacity};
    edge::link_options options;
    options.self.__set_process(program.name);
    options.self.__set_role("steward");
    options.self.__set_data_centre(settings.data_centre);
    options.self.__set_boot(make_boot_number());
    const std::int64_t boot = options.self.boot;
    edge::http_client client;
    edge::platform_client platform{client, settings.platform, store_timeout};
    store platform_calls{platform, events};
    edge::link_hub links{std::move(options), [&](edge::link_event&& event) {
                             if (!events.try_push(std::move(event)))
                                 log->warn("event ring is full; link event dropped");
                         }};
    if (links.listen(settings.listen) == 0) {
        log->error("cannot listen on {} for links", settings.listen);
        return edge::exit_failed;
    }
    const auto operations = start_operations_server(settings.operations, program, events);
    if (!operations) {
        log->error("cannot listen on {} for operations pages", settings.operations);
        return edge::exit_failed;
    }
    steward_context context{settings, program, links, platform_calls, {program.name, settings.listen, boot},
                            {},       0};
    links.start();
    log->info("started, {} control shards", settings.control_shards);
    steward{context, events}.run();
    log->info("stopped");
    events.close();
    // Cuts HTTP requests that were not answered: the server can't stop while their exchanges are held.
    while (const auto left = events.pop_until(core::common::clock::now()))
        if (const auto* page = std::get_if<page_event>(&*left))
            page->exchange->cut();
    return edge::exit_ok;
}

} // namespace waxwinglb::programs::steward
