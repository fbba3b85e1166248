#include "programs/admin/run.hpp"

#include "programs/admin/acknowledgements.hpp"
#include "programs/admin/api.hpp"

#include <variant>

namespace waxwinglb::programs::admin {
namespace {

using core::common::milliseconds;
using core::common::time_point;

constexpr std::size_t ring_capacity = 20'000;
constexpr milliseconds tick_every{50};
constexpr milliseconds status_every{500};   // acceptor_status to every steward
constexpr milliseconds drain_limit{10'000}; // at most this long is spent finishing open exchanges
constexpr milliseconds register_retry{500}; // pause after a failed registration
constexpr std::size_t max_body = 4U << 20U; // bytes; batches have a far lower limit

std::int64_t unix_ms_now() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

edge::link_options link_options(const admin_settings& settings, std::int64_t boot) {
    edge::link_options out;
    out.self.__set_process(settings.name);
    out.self.__set_role("admin");
    out.self.__set_data_centre(settings.data_centre);
    out.self.__set_boot(boot);
    return out;
}

/// All state of the event-loop thread.
class admin_process {
public:
    admin_process(const admin_settings& settings, edge::program_context& context)
        : settings_(settings), context_(context), boot_(unix_ms_now()), events_(ring_capacity),
          hub_(link_options(settings, boot_),
               [this](edge::link_event&& event_received) {
                   events_.try_push(event{std::move(event_received)});
               }),
          store_(client_, settings.platform, events_), acceptor_(settings, boot_, store_, context.timeline),
          acknowledgements_(settings, acceptor_, store_),
          pages_(settings.steward_operations, client_, events_), api_(settings, acceptor_, pages_, context),
          server_(server_options(settings),
                  [this](const edge::exchange_ptr& exchange) { receive(exchange); }) {}

    int run() {
        hub_.start();
        for (const std::string& steward : settings_.stewards)
            links_.push_back(hub_.connect(steward));
        if (!server_.start()) {
            log_->error("Cannot listen on {}.", settings_.http);
            return edge::exit_failed;
        }
        log_->info("Serving the administration API on port {}.", server_.port());
        while (!drained(core::common::clock::now())) {
            auto next = events_.pop_until(core::common::clock::now() + tick_every);
            const time_point now = core::common::clock::now();
            if (next)
                std::visit([&](auto& received) { handle(received, now); }, *next);
            tick(now);
        }
        log_->info("Stopped.");
        return edge::exit_ok;
    }

private:
    static edge::http_server_options server_options(const admin_settings& settings) {
        edge::http_server_options out;
        out.address = settings.http;
        out.max_body = max_body;
        out.drains = true;
        return out;
    }

    /// Called on an HTTP thread.
    void receive(const edge::exchange_ptr& exchange) {
        if (edge::answer_operations(exchange, context_))
            return;
        if (!events_.try_push(event{exchange}))
            refuse(exchange, {503, "overloaded", "Too many calls wait; the change was not accepted.", {}});
    }

    void handle(const edge::exchange_ptr& exchange, time_point now) { api_.handle(exchange, now); }
    void handle(const store_event& answer, time_point now) {
        acceptor_.handle(answer, now);
        acknowledgements_.handle(answer, now);
    }
    void handle(const steward_page_event& page, time_point now) {
        (void)now;
        pages_.handle(page);
    }
    void handle(const edge::link_event& event, time_point now) {
        (void)now;
        if (event.kind == edge::link_event_kind::opened)
            next_status_ = {}; // a newly connected steward gets a status at the next tick
    }

    void tick(time_point now) {
        acceptor_.tick(now);
        register_self(now);
        acknowledgements_.tick(now);
        acceptor_.set_confirmed(acknowledgements_.confirmed());
        send_status(now);
        context_.ready = acceptor_.head().known() && acceptor_.accepting();
    }

    /// Writes this process into the list of acceptors. Stewards compare their copies only with acceptors in
    /// that list, so an unregistered process must not accept changes.
    void register_self(time_point now) {
        if (registering_ || acceptor_.registered() || !acceptor_.head().known() || now < next_registration_ ||
            context_.stopping)
            return;
        registering_ = true;
        next_registration_ = now + register_retry;
        submission registration;
        const nlohmann::json value{{"name", settings_.vm}, {"boot", boot_}};
        registration.proposals.push_back({"acceptor/" + settings_.vm, value.dump(), std::nullopt, {}});
        registration.by = {settings_.vm, "", core::acceptance::role::owner};
        registration.unix_ms = unix_ms_now();
        registration.changes_acceptors = true;
        registration.on_result = [this](submit_result&& result) {
            registering_ = false;
            if (result.outcome == submit_outcome::accepted)
                log_->info("Registered as an acceptor with revision {}.", result.revision);
        };
        acceptor_.submit(std::move(registration), now);
    }

    void send_status(time_point now) {
        if (now < next_status_)
            return;
        next_status_ = now + status_every;
        wire::acceptor_status status;
        status.__set_acceptor(settings_.vm);
        status.__set_accepted_revision(acceptor_.possible_revision());
        const auto since = acceptor_.unreachable_since();
        status.__set_store_unreachable_ms(
            since ? std::max<std::int64_t>(1, core::common::to_wire_ms(now - *since)) : 0);
        for (const edge::link_id link : links_)
            hub_.send(link, wire::message_kind::acceptor_status, 0, status);
    }

    bool drained(time_point now) {
        if (!context_.stopping)
            return false;
        if (!stopping_since_) {
            stopping_since_ = now;
            server_.stop_accepting();
        }
        const bool finished = server_.open_exchanges() == 0 && acceptor_.is_idle();
        return finished || now - *stopping_since_ > drain_limit;
    }

    const admin_settings& settings_;
    edge::program_context& context_;
    edge::logger log_ = edge::make_logger("admin.process");
    std::int64_t boot_;
    event_ring events_;
    edge::http_client client_;
    edge::link_hub hub_;
    store store_;
    acceptor acceptor_;
    acknowledgements acknowledgements_;
    in_force_pages pages_;
    api api_;
    edge::http_server server_;
    std::vector<edge::link_id> links_; // to the stewards
    bool registering_ = false;
    time_point next_registration_{};
    time_point next_status_{};
    std::optional<time_point> stopping_since_;
};

} // namespace

int run(const admin_settings& settings, edge::program_context& context) {
    return admin_process{settings, context}.run();
}

} // namespace waxwinglb::programs::admin
