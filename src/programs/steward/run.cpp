// Joins the parts of waxwing-steward: links, HTTP, the platform's client and the deciding thread.
#include "programs/steward/steward.hpp"

#include <random>

namespace waxwinglb::programs::steward {
namespace {

constexpr core::common::milliseconds store_timeout{1'000}; // of one call, besides a watch's own wait

/// Distinguishes each start of each process; 53 bits, so that every JSON reader keeps it.
std::int64_t make_boot() {
    std::random_device source;
    const std::uint64_t bits = (std::uint64_t{source()} << 32U) | source();
    return static_cast<std::int64_t>((bits >> 11U) | 1U);
}

std::unique_ptr<edge::http_server> make_operations(const std::string& address, edge::program_context& program,
                                                   event_ring& events) {
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
    options.self.__set_boot(make_boot());
    const std::int64_t boot = options.self.boot;
    edge::http_client client;
    edge::platform_client platform{client, settings.platform, store_timeout};
    store platform_calls{platform, events};
    edge::link_hub links{std::move(options), [&](edge::link_event&& event) {
                             if (!events.try_push(std::move(event)))
                                 log->warn("ring is full, a link event is dropped");
                         }};
    if (links.listen(settings.listen) == 0) {
        log->error("can't listen on {}", settings.listen);
        return edge::exit_failed;
    }
    const auto operations = make_operations(settings.operations, program, events);
    if (!operations) {
        log->error("can't listen on {}", settings.operations);
        return edge::exit_failed;
    }
    steward_context context{settings, program, links, platform_calls, {program.name, settings.listen, boot},
                            {},       0};
    links.start();
    log->info("started, {} control shards", settings.control_shards);
    steward{context, events}.run();
    log->info("stopped");
    events.close();
    // Pages that nobody will answer any more; the server can't stop while they are held.
    while (const auto left = events.pop_until(core::common::clock::now()))
        if (const auto* page = std::get_if<page_event>(&*left))
            page->exchange->cut();
    return edge::exit_ok;
}

} // namespace waxwinglb::programs::steward
