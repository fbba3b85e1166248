#include "programs/gateway/order_giver.hpp"

#include "platform/headers.hpp"
#include "programs/gateway/peers.hpp"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace waxwinglb::programs::gateway {
namespace {

namespace leaf = boost::leaf;
using core::common::milliseconds;
using core::common::time_point;
using core::load_planning::planned_order;
using core::load_planning::target_ledger;

constexpr milliseconds tick_interval{40};
// In large fleets plans are made less often, so that they leave a small machine time to forward requests.
constexpr std::chrono::microseconds plan_time_per_target{500};
constexpr milliseconds report_interval{1'000};
constexpr milliseconds report_interval_unsettled{300};
constexpr milliseconds order_timeout{1'200};
constexpr milliseconds report_timeout{800};
constexpr milliseconds connect_timeout{400};
constexpr std::size_t max_report = 256U << 10U;      // bytes; one of 64 running requests has about 4 kB
constexpr std::size_t max_order_answer = 16U << 10U; // bytes
constexpr milliseconds load_time_margin{40}; // added to the expected load time; then a model counts as loaded
constexpr milliseconds adapter_load_time{25}; // expected; adapters load within milliseconds
constexpr milliseconds room_retention{1'000}; // for a model to be loaded, after another was to be unloaded
constexpr int lowest_priority = 9;            // of requests

std::string operation_of(const planned_order& order) {
    return std::string{order.load ? "load" : "unload"} + (order.ref.adapter.empty() ? "_model" : "_adapter");
}

} // namespace

order_giver::order_giver(gateway_context& context, platform::store_client& store, edge::http_client& client,
                         dispatcher& dispatch, std::int64_t boot)
    : context_(context), client_(client), dispatcher_(dispatch),
      lease_(context, store, client, boot, [this] { targets_.clear(); }) {}

void order_giver::start(std::function<void()> on_read_closely) {
    on_read_closely_ = std::move(on_read_closely);
    tick();
}

void order_giver::tick() {
    const auto now = context_.loop.now();
    lease_.step();
    const bool closely = peers_->reads_store_closely(lease_.held());
    if (!std::exchange(context_.reads_store_closely, closely) && closely)
        on_read_closely_();
    follow_directory();
    if (may_order(now)) {
        request_reports();
        plan_if_due();
    }
    context_.loop.schedule(now + tick_interval, [this] { tick(); });
}

void order_giver::plan_if_due() {
    const auto now = context_.loop.now();
    if (now < plan_at_)
        return;
    plan_at_ = now + std::max<core::common::duration>(tick_interval, plan_time_per_target * targets_.size());
    for (const auto& [name, service] : context_.config->services)
        if (service.engine)
            plan_service(service);
}

bool order_giver::may_order(time_point now) const {
    return lease_.may_order(now) && context_.config && context_.directory.loaded() && !context_.draining;
}

// ---- targets ---------------------------------------------------------------------------------------

void order_giver::follow_directory() {
    if (!lease_.held())
        return;
    std::erase_if(targets_,
                  [&](const auto& entry) { return context_.directory.find(entry.first) == nullptr; });
    for (const auto& [id, target] : context_.directory.targets()) {
        const auto* service = context_.config ? context_.config->find_service(target.entry.service) : nullptr;
        if (service == nullptr || !service->engine || !target.entry.describes_models)
            continue;
        known_target& known = targets_[id];
        if (known.born != target.entry.born)
            known = {}; // restarted: nothing is left of the previous process
        known.born = target.entry.born;
        known.copies_in_memory.insert(target.entry.copies_in_memory.begin(),
                                      target.entry.copies_in_memory.end());
        known.copies_on_disk.insert(target.entry.copies_on_disk.begin(), target.entry.copies_on_disk.end());
    }
}

void order_giver::request_reports() {
    const auto now = context_.loop.now();
    for (auto& [id, known] : targets_) {
        const auto interval = known.ledger.needs_report(now) ? report_interval_unsettled : report_interval;
        const auto* target = context_.directory.find(id);
        const bool paused = target != nullptr && target->paused(now);
        if (!known.report_pending && !paused && now - known.requested_at >= interval)
            request_report(id);
    }
}

void order_giver::request_report(const std::string& id) {
    known_target& known = targets_[id];
    const auto* target = context_.directory.find(id);
    if (target == nullptr)
        return;
    known.report_pending = true;
    known.requested_at = context_.loop.now();
    edge::client_request request;
    request.url = "http://" + target->entry.address + platform::report_path;
    request.headers.push_back({std::string{platform::instance_header}, id});
    request.timeout = report_timeout;
    request.withdrawn_when_ended = true; // orders use the connection afterwards
    request.connect_timeout = connect_timeout;
    request.max_answer = max_report;
    request.memory = answer_memory_;
    client_.send(std::move(request), [this, id, at = known.requested_at](edge::client_result&& answer) {
        context_.loop.post([this, id, at, answer = std::move(answer)] { handle_report(id, answer, at); });
    });
}

void order_giver::handle_report(const std::string& id, const edge::client_result& answer,
                                time_point requested_at) {
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    known_target& known = found->second;
    known.report_pending = false;
    dispatcher_.note_answer({id, known.born}, answer.status, answer.headers, answered_call::control);
    if (answer.outcome != edge::client_outcome::answered || answer.status != 200)
        return;
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(report, platform::decode_report(answer.body));
            if (report.born != 0 && report.born != known.born)
                return {}; // restarted: its registration will follow
            record_finished_loads(id, known.ledger.confirm(report.models, context_.loop.now()));
            const auto as_of = requested_at - core::load_planning::report_delay;
            if (report.busy)
                known.ledger.note_busy(report.models, as_of, context_.loop.now());
            else
                known.ledger.describe(known.born, report.sequence, report.models, as_of);
            if (report.reports_copies) {
                known.copies_in_memory = {report.copies_in_memory.begin(), report.copies_in_memory.end()};
                known.copies_on_disk = {report.copies_on_disk.begin(), report.copies_on_disk.end()};
            }
            publish(id);
            return {};
        },
        [&](const core::common::error& why) {
            context_.log.write(edge::events::target_ignored, id, {{"why", describe(why)}});
        },
        [&] {
            context_.log.write(edge::events::target_ignored, id, {{"why", "report"}});
        });
}

/// Adjusts the limit of parallel loads from the store by those that a report shows as finished, and notifies
/// the peers.
void order_giver::record_finished_loads(const std::string& id,
                                        const std::vector<core::load_planning::finished_load>& loads) {
    const int most = context_.settings.placing.parallel_store_loads;
    for (const auto& load : loads) {
        const int before = store_load_limit_.limit(most);
        context_.metrics.count_finished_load(load.taken >
                                             load.expected_time + core::load_planning::long_load);
        store_load_limit_.note_finished(load.expected_time, load.taken, most, context_.loop.now());
        context_.log.write(edge::events::load_finished, id,
                           {{"foretold_ms", load.expected_time.count()},
                            {"taken_ms", load.taken.count()},
                            {"at_once_before", before},
                            {"at_once", store_load_limit_.limit(most)}});
    }
    if (!loads.empty())
        peers_->notify_all();
}

/// Copies the ledger's state of a target to the directory that this gateway's dispatcher uses.
void order_giver::publish(const std::string& id) {
    const auto now = context_.loop.now();
    const target_ledger& ledger = targets_.at(id).ledger;
    if (!ledger.known())
        return;
    const auto loading = ledger.loading(now);
    std::map<std::string, std::vector<std::string>> models;
    for (const auto& [model, adapters] : ledger.models())
        if (!loading.contains(model))
            models[model] = {adapters.begin(), adapters.end()};
    context_.directory.describe(id, ledger.born(), ledger.sequence(), models, ledger.coming(now), now);
    dispatcher_.schedule_dispatch();
}

std::vector<wire::target_holding> order_giver::holdings() const {
    std::vector<wire::target_holding> out;
    const auto now = context_.loop.now();
    if (!lease_.held())
        return out;
    for (const auto& [id, known] : targets_) {
        if (!known.ledger.known())
            continue;
        wire::target_holding holding;
        holding.target = id;
        holding.born = known.ledger.born();
        holding.sequence = known.ledger.sequence();
        const auto coming = known.ledger.coming(now);
        for (const auto& [model, at] : coming) {
            wire::coming_model load;
            load.model = model;
            load.ready_ms = core::common::to_wire_ms(at - now);
            holding.coming.push_back(std::move(load));
        }
        for (const auto& [model, adapters] : known.ledger.models()) {
            if (coming.contains(model))
                continue;
            holding.models.push_back(model);
            for (const std::string& adapter : adapters)
                holding.models.push_back(core::fleet::to_text({model, adapter}));
        }
        out.push_back(std::move(holding));
    }
    return out;
}

// ---- planning --------------------------------------------------------------------------------------

/// The planner's view of a target; nullopt before its first report.
std::optional<core::load_planning::target_state> order_giver::state_of(const std::string& id,
                                                                       const known_target& known) const {
    const auto now = context_.loop.now();
    const auto* target = context_.directory.find(id);
    if (target == nullptr || !known.ledger.known())
        return std::nullopt;
    core::load_planning::target_state out;
    out.id = id;
    out.data_centre = target->entry.data_centre;
    out.takes_orders = known.ledger.takes_orders(now) && !target->lapsed_until && !target->paused(now);
    if (!target->lapsed_until)
        out.takes_orders_at =
            std::max(known.ledger.takes_orders_at(now), target->pause ? target->pause->until : time_point{});
    out.coming = known.ledger.coming(now);
    out.leaving = target->leaving();
    out.serves = !target->leaving() && !context_.centres.out().contains(target->entry.data_centre);
    out.speed = context_.speed_of(*target);
    out.room_for = now < known.room_until ? known.room_for : std::string{};
    out.copies_in_memory = known.copies_in_memory;
    out.copies_on_disk = known.copies_on_disk;
    for (const auto& [model, adapters] : known.ledger.models()) {
        const auto loaded_at = known.ledger.loaded_at(model);
        out.models[model] = {0, loaded_at, loaded_at};
        for (const std::string& adapter : adapters)
            out.adapters[{model, adapter}];
    }
    return out;
}

core::load_planning::planner_input order_giver::planner_input_for(const core::fleet::service& service) const {
    core::load_planning::planner_input out;
    out.engine = &*service.engine;
    for (const auto& [id, known] : targets_) {
        const auto* target = context_.directory.find(id);
        if (target == nullptr || target->entry.service != service.name)
            continue;
        auto state = state_of(id, known);
        if (!state)
            continue;
        out.store_loads_under_way += known.ledger.store_load_under_way(context_.loop.now()) ? 1 : 0;
        out.targets.push_back(std::move(*state));
    }
    add_own_usage(service.name, out);
    for (const auto& [name, details] : peers_->fresh_details())
        add_peer_usage(service.name, *details, out);
    return out;
}

/// Adds the models that this gateway's own requests use and wait for.
void order_giver::add_own_usage(const std::string& service, core::load_planning::planner_input& to) const {
    for (const auto& [key, use] : dispatcher_.usage())
        core::load_planning::add_use(to, key.first, key.second, {use.running, use.last_used});
    for (const auto& [ref, waiting] : dispatcher_.waiting_by_model())
        if (waiting.service == service)
            core::load_planning::add_demand(to.demands[ref],
                                            {waiting.count, waiting.oldest, waiting.priority, 0, 0});
    for (const auto& [ref, rate] : dispatcher_.arrival_rates())
        if (rate.service == service)
            core::load_planning::add_demand(to.demands[ref], {0, {}, lowest_priority, rate.per_second, 0});
}

/// Adds the models that a peer reported as used and waited for.
void order_giver::add_peer_usage(const std::string& service, const peer_details& peer,
                                 core::load_planning::planner_input& to) const {
    for (const auto& use : peer.uses)
        core::load_planning::add_use(to, use.target, core::fleet::parse_model_ref(use.model),
                                     {use.running, peer.reported_at - milliseconds{use.idle_ms}});
    for (const auto& demand : peer.demands)
        if (demand.service_name == service)
            core::load_planning::add_demand(to.demands[core::fleet::parse_model_ref(demand.model)],
                                            {demand.waiting,
                                             peer.reported_at - milliseconds{demand.oldest_ms},
                                             demand.priority, demand.per_second, 0});
}

void order_giver::plan_service(const core::fleet::service& service) {
    core::load_planning::planner_limits limits = context_.settings.placing;
    limits.parallel_store_loads = store_load_limit_.limit(limits.parallel_store_loads);
    limits.by_speed = context_.settings.learn_speeds;
    const auto orders = core::load_planning::plan(planner_input_for(service), limits, context_.loop.now());
    for (const planned_order& order : orders)
        send(order, service);
}

void order_giver::send(const planned_order& order, const core::fleet::service& service) {
    const auto now = context_.loop.now();
    const auto* target = context_.directory.find(order.target);
    if (target == nullptr || !lease_.may_order(now))
        return;
    known_target& known = targets_[order.target];
    milliseconds expected = adapter_load_time;
    const auto spec = service.engine->models.find(order.ref.model);
    if (order.load && order.ref.adapter.empty() && spec != service.engine->models.end()) {
        const bool in_memory = known.copies_in_memory.contains(order.ref.model);
        expected = order.from_weight_store ? spec->second.store_load
                   : in_memory             ? spec->second.memory_load
                                           : spec->second.disk_load;
        expected += load_time_margin;
    }
    const std::int64_t number = ++last_order_number_;
    known.ledger.note_sent(number, order, expected, now);
    known.room_for = order.room_for;
    known.room_until = now + room_retention;
    context_.log.write(edge::events::order_sent, order.target,
                       {{"operation", operation_of(order)},
                        {"model", order.ref.model},
                        {"adapter", order.ref.adapter},
                        {"why", order.why},
                        {"weight_store", order.from_weight_store},
                        {"sequence", known.ledger.sequence()},
                        {"fencing", lease_.fencing()},
                        {"expected_ms", expected.count()}});
    edge::client_request request;
    request.method = "POST";
    request.url = "http://" + target->entry.address + platform::order_path;
    request.headers = {{"Content-Type", "application/json"},
                       {std::string{platform::instance_header}, order.target}};
    request.body = platform::encode_order(
        {order.load, order.ref, known.ledger.sequence(), context_.settings.name, lease_.fencing()});
    request.timeout = order_timeout;
    request.withdrawn_when_ended = true; // the next holder may order before a held-up one arrives
    request.connect_timeout = connect_timeout;
    request.max_answer = max_order_answer;
    request.memory = answer_memory_;
    client_.send(std::move(request), [this, number, order](edge::client_result&& answer) {
        context_.loop.post([this, number, order, answer = std::move(answer)] {
            handle_order_answer(number, order, answer);
        });
    });
}

void order_giver::handle_order_answer(std::int64_t number, const planned_order& order,
                                      const edge::client_result& answer) {
    const std::string& id = order.target;
    const auto found = targets_.find(id);
    const bool answered = answer.outcome == edge::client_outcome::answered;
    const auto result =
        !answered ? (answer.outcome == edge::client_outcome::not_sent ? target_ledger::answer::rejected
                                                                      : target_ledger::answer::unknown)
        : answer.status == 202 ? target_ledger::answer::accepted
        : answer.status == 200
            ? (order.load ? target_ledger::answer::holds_already : target_ledger::answer::accepted)
            : target_ledger::answer::rejected;
    context_.metrics.count_order(operation_of(order), answered ? std::to_string(answer.status) : "no_answer");
    context_.log.write(edge::events::order_answered, id,
                       {{"operation", operation_of(order)},
                        {"model", order.ref.model},
                        {"adapter", order.ref.adapter},
                        {"status", answer.status},
                        {"why", answered ? "" : describe(answer.why)}});
    if (found == targets_.end())
        return;
    const auto now = context_.loop.now();
    dispatcher_.note_answer({id, found->second.born}, answer.status, answer.headers, answered_call::control);
    found->second.ledger.note_answer(number, result, now);
    if (result == target_ledger::answer::accepted && order.load && order.ref.adapter.empty()) {
        found->second.copies_on_disk.insert(order.ref.model);
        // Peers are notified when the model is ready.
        const auto ready = found->second.ledger.loaded_at(order.ref.model);
        context_.loop.schedule(ready, [this, id] {
            if (!targets_.contains(id))
                return;
            publish(id);
            peers_->notify_all();
        });
    }
    publish(id);
    if (!order.ref.adapter.empty())
        peers_->notify_all();
}

} // namespace waxwinglb::programs::gateway
