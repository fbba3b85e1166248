#include "programs/admin/api.hpp"

#include "core/keys/access.hpp"
#include "programs/admin/operators.hpp"

#include <array>
#include <charconv>

namespace waxwinglb::programs::admin {
namespace {

using core::acceptance::accepted_entry;
using core::acceptance::proposal;
using core::acceptance::verdict;
using core::acceptance::verdict_kind;
using nlohmann::json;

/// Collections of the API and the kinds of their entries.
constexpr std::array<std::pair<std::string_view, std::string_view>, 7> collections{{
    {"services", "service"},
    {"models", "model"},
    {"customers", "customer"},
    {"keys", "key"},
    {"presets", "preset"},
    {"data-centres", "data-centre"},
    {"acceptors", "acceptor"},
}};
constexpr std::string_view preset_in_force = "preset-in-force";
constexpr std::string_view prefix = "/v1/";

std::string header(const edge::http_request& request, const std::string& name) {
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string{} : found->second;
}

std::optional<std::int64_t> parse_whole_number(std::string_view text) {
    std::int64_t out = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, out);
    return failure == std::errc{} && stop == end && out >= 0 ? std::optional{out} : std::nullopt;
}

/// The revision that If-Match or If-None-Match expects; nullopt if both are absent or malformed.
std::optional<std::int64_t> expected_revision(const edge::http_request& request) {
    if (header(request, "if-none-match") == "*")
        return 0;
    const std::string tag = header(request, "if-match");
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    return parse_whole_number(std::string_view{tag}.substr(1, tag.size() - 2));
}

std::string text_member(const json& from, const char* name) {
    const auto found = from.find(name);
    return found != from.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

/// The value as returned to operators: without the digest of an access key.
json to_public_json(const std::string& key, const std::string& value) {
    if (value.empty())
        return nullptr;
    json out = json::parse(value, nullptr, false);
    if (core::acceptance::kind_of(key) == "key")
        out.erase("digest");
    return out;
}

json to_public_json(const accepted_entry& entry) {
    return {{"key", entry.change.key},     {"revision", entry.change.revision},
            {"team", entry.from.team},     {"by", entry.from.operator_name},
            {"at_ms", entry.from.unix_ms}, {"value", to_public_json(entry.change.key, entry.change.value)}};
}

const char* effect_of(const proposal& proposed, const verdict& result) {
    if (result.kind == verdict_kind::unchanged || result.kind == verdict_kind::repeated)
        return "unchanged";
    if (proposed.value.empty())
        return "delete";
    return result.revision == 0 ? "create" : "change";
}

std::int64_t unix_ms_now() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// The JSON object in a request's body; refuses the exchange and returns nullopt if there is none.
std::optional<json> parse_body(const edge::exchange_ptr& exchange) {
    json out = json::parse(exchange->request().body, nullptr, false);
    if (out.is_object())
        return out;
    refuse(exchange, {400, "malformed", "The body must be one JSON object.", {}});
    return std::nullopt;
}

/// Faults for unknown members; they are refused because a misspelt member must not be ignored silently.
std::vector<core::config::fault> unknown_members(const json& body, const std::string& pointer,
                                                 std::initializer_list<std::string_view> known) {
    std::vector<core::config::fault> out;
    for (const auto& [name, value] : body.items())
        if (std::find(known.begin(), known.end(), name) == known.end())
            out.push_back({std::string(pointer).append("/").append(name), "no such member here"});
    return out;
}

} // namespace

void api::handle(const edge::exchange_ptr& exchange, core::common::time_point now) {
    const edge::http_request& request = exchange->request();
    if (!request.path.starts_with(prefix))
        return refuse(exchange, {404, "not_found", "There is no such page.", {}});
    const core::acceptance::actor* by = find_operator(settings_.operators, header(request, "authorization"));
    if (by == nullptr)
        return refuse(exchange, {401, "unknown_operator", "An operator's bearer token is needed.", {}},
                      {{"WWW-Authenticate", "Bearer"}});
    api_call call{exchange, *by, {}, {}, false, now};
    const auto dry_run = request.query.find("dry_run");
    call.dry_run = dry_run != request.query.end() && dry_run->second == "true";
    for (const auto& [name, value] : request.query)
        if ((name != "dry_run" || (value != "true" && value != "false")) && name != "revision" &&
            name != "after")
            return refuse(exchange,
                          {400, "unknown_parameter", "The query parameter " + name + " is not known.", {}});
    route(call);
}

void api::route(api_call& call) {
    const edge::http_request& request = call.request();
    const std::string rest = request.path.substr(prefix.size());
    const auto slash = rest.find('/');
    const std::string collection = rest.substr(0, slash);
    call.name = slash == std::string::npos ? std::string{} : rest.substr(slash + 1);
    if (rest == "changes" && request.method == "POST")
        return change_several(call);
    if (rest == "in-force" && request.method == "GET") {
        const auto requested = request.query.find("revision");
        const auto revision =
            requested == request.query.end() ? std::nullopt : parse_whole_number(requested->second);
        return pages_.query_stewards(call.exchange, revision.value_or(changes_.head().entries().revision()));
    }
    if (rest == "status" && request.method == "GET")
        return show_status(call);
    if (rest == "audit" && request.method == "GET")
        return show_audit(call);
    if (rest == preset_in_force) {
        call.kind = rest;
        if (request.method == "GET")
            return read(call);
        if (request.method == "PUT")
            return change(call);
        return refuse(call.exchange,
                      {405, "method_not_allowed", "The preset in force takes GET and PUT.", {}});
    }
    for (const auto& [name, kind] : collections)
        if (name == collection)
            call.kind = kind;
    if (call.kind.empty())
        return refuse(call.exchange, {404, "not_found", "There is no such page.", {}});
    const bool is_collection = call.name.empty();
    if (request.method == "GET")
        return is_collection ? list(call) : read(call);
    if (request.method == "DELETE" && !is_collection)
        return remove(call);
    if (request.method == "POST" && call.kind == "key" && is_collection)
        return grant_key(call);
    const bool operator_written = call.kind != "key" && call.kind != "acceptor";
    if (request.method == "POST" && is_collection && operator_written)
        return create(call);
    if (request.method == "PUT" && !is_collection && operator_written)
        return change(call);
    refuse(call.exchange, {405, "method_not_allowed", "This page does not take " + request.method + ".", {}});
}

void api::read(const api_call& call) const {
    const accepted_entry* found = changes_.head().entries().find(call.key());
    if (found == nullptr)
        return refuse(call.exchange, {404, "not_found", "There is no " + call.key() + ".", {}});
    respond_json(call.exchange, 200, to_public_json(found->change.key, found->change.value),
                 {{"ETag", entity_tag(found->change.revision)}});
}

void api::list(const api_call& call) const {
    json items = json::array();
    for (const auto& entry : changes_.head().entries().with_prefix(call.kind + "/"))
        items.push_back(to_public_json(*entry));
    respond_json(call.exchange, 200,
                 {{"revision", changes_.head().entries().revision()}, {"items", std::move(items)}});
}

void api::create(const api_call& call) {
    const auto body = parse_body(call.exchange);
    if (!body)
        return;
    std::string name = text_member(*body, "name");
    if (call.kind == "model")
        name.insert(0, text_member(*body, "service") + "/");
    submit_one(call,
               {call.kind + "/" + name, body->dump(), 0,
                creation_digest(call.by, header(call.request(), "idempotency-key"))},
               201);
}

void api::grant_key(const api_call& call) {
    const auto body = parse_body(call.exchange);
    if (!body)
        return;
    if (auto faults = unknown_members(*body, "", {"customer"}); !faults.empty())
        return refuse(call.exchange,
                      {422, "invalid", "The request for a key has faults.", std::move(faults)});
    const generated_key generated = generate_key();
    const std::string customer = text_member(*body, "customer");
    const std::string value = core::config::encode(
        core::config::access_key{generated.id, customer, core::keys::digest_of(generated.text)});
    const proposal proposed{"key/" + generated.id, value, 0,
                            creation_digest(call.by, header(call.request(), "idempotency-key"))};
    submit(call, {proposed}, [exchange = call.exchange, generated, customer](const submit_result& result) {
        const verdict& decision = result.verdicts.front();
        if (decision.kind == verdict_kind::repeated) {
            const json earlier = json::parse(decision.value);
            return respond_json(exchange, 200,
                                {{"id", earlier["id"]},
                                 {"customer", earlier["customer"]},
                                 {"revision", decision.revision},
                                 {"title", "Granted before; a key's text is shown only once."}});
        }
        if (result.outcome == submit_outcome::judged)
            return respond_json(exchange, 200, {{"dry_run", true}, {"customer", customer}});
        respond_json(exchange, 201,
                     {{"id", generated.id},
                      {"customer", customer},
                      {"key", generated.text},
                      {"revision", result.revision}},
                     {{"ETag", entity_tag(result.revision)}, {"Location", "/v1/keys/" + generated.id}});
    });
}

void api::change(const api_call& call) {
    const auto expected = expected_revision(call.request());
    if (!expected)
        return refuse(
            call.exchange,
            {428, "condition_needed", "A change needs If-Match: \"REVISION\" or If-None-Match: *.", {}});
    const auto body = parse_body(call.exchange);
    if (body)
        submit_one(call, {call.key(), body->dump(), expected, {}}, *expected == 0 ? 201 : 200);
}

void api::remove(const api_call& call) {
    auto expected = expected_revision(call.request());
    // A leaked key must be deletable at once, so a key needs no expected revision.
    if (!expected && call.kind != "key")
        return refuse(call.exchange,
                      {428, "condition_needed", "A deletion needs If-Match: \"REVISION\".", {}});
    submit_one(call, {call.key(), {}, expected, {}}, 200);
}

void api::submit_one(const api_call& call, proposal proposed, int status_when_accepted) {
    const std::string key = proposed.key;
    submit(call, {std::move(proposed)},
           [exchange = call.exchange, key, status_when_accepted,
            dry = call.dry_run](const submit_result& result) {
               const verdict& decision = result.verdicts.front();
               const bool written = result.outcome == submit_outcome::accepted;
               const std::int64_t revision = written ? result.revision : decision.revision;
               respond_json(exchange, written ? status_when_accepted : 200,
                            {{"key", key},
                             {"revision", revision},
                             {"changed", written},
                             {"dry_run", dry},
                             {"value", to_public_json(key, decision.value)}},
                            {{"ETag", entity_tag(revision)}});
           });
}

/// Calls `answer` only if no proposal was refused; refusals are answered here.
void api::submit(const api_call& call, std::vector<proposal> proposals,
                 std::function<void(const submit_result&)> answer) {
    submission submitted;
    std::vector<std::string> keys;
    for (const proposal& each : proposals)
        keys.push_back(each.key);
    submitted.proposals = std::move(proposals);
    submitted.by = call.by;
    submitted.unix_ms = unix_ms_now();
    submitted.dry_run = call.dry_run;
    submitted.on_result = [exchange = call.exchange, keys,
                           answer = std::move(answer)](submit_result&& result) {
        if (const problem why = problem_of(result.outcome); why.status != 0)
            return refuse(exchange, why);
        problem combined;
        combined.status = 0;
        const bool many = keys.size() > 1;
        for (std::size_t i = 0; i < result.verdicts.size(); ++i) {
            problem why = problem_of(keys[i], result.verdicts[i]);
            if (why.status == 0)
                continue;
            if (many && why.faults.empty())
                why.faults.push_back({"", why.title});
            for (auto& fault : why.faults)
                combined.faults.push_back(
                    {many ? "/changes/" + std::to_string(i) + "/value" + fault.pointer : fault.pointer,
                     fault.expected});
            if (combined.status != 0)
                continue;
            combined.status = why.status;
            combined.code = why.code;
            combined.title = why.title;
        }
        if (combined.status == 0)
            return answer(result);
        const std::int64_t revision = result.verdicts.front().revision;
        refuse(exchange, combined,
               combined.status == 412 && !many ? std::vector<edge::http_field>{{"ETag", entity_tag(revision)}}
                                               : std::vector<edge::http_field>{});
    };
    changes_.submit(std::move(submitted), call.now);
}

void api::change_several(const api_call& call) {
    const auto body = parse_body(call.exchange);
    if (!body)
        return;
    auto faults = unknown_members(*body, "", {"changes"});
    const json changes = body->value("changes", json());
    if (!changes.is_array() || changes.empty())
        faults.push_back({"/changes", "a list with at least one change"});
    std::vector<proposal> proposals;
    for (std::size_t i = 0; changes.is_array() && i < changes.size(); ++i) {
        const json& each = changes[i];
        const std::string pointer = "/changes/" + std::to_string(i);
        if (!each.is_object() || text_member(each, "key").empty() || !each.contains("value")) {
            faults.push_back(
                {pointer, R"(an object {"key","value","if_revision"}; a value of null deletes)"});
            continue;
        }
        for (auto& fault : unknown_members(each, pointer, {"key", "value", "if_revision"}))
            faults.push_back(std::move(fault));
        proposal proposed{text_member(each, "key"),
                          each["value"].is_null() ? std::string{} : each["value"].dump(),
                          std::nullopt,
                          {}};
        const std::string kind = core::acceptance::kind_of(proposed.key);
        if (kind == "acceptor" || (kind == "key" && !proposed.value.empty()))
            faults.push_back(
                {pointer + "/key", "a kind that is written by hand; keys are granted by POST /v1/keys"});
        if (const auto revision = each.find("if_revision"); revision != each.end()) {
            if (!revision->is_number_integer() || revision->get<std::int64_t>() < 0)
                faults.push_back({pointer + "/if_revision", "a revision; 0 expects no entry"});
            else
                proposed.expected = revision->get<std::int64_t>();
        }
        proposals.push_back(std::move(proposed));
    }
    if (!faults.empty())
        return refuse(call.exchange, {422, "invalid", "The list of changes has faults.", std::move(faults)});
    // Values before the change, for the answer.
    std::vector<json> before;
    for (const proposal& each : proposals) {
        const accepted_entry* present = changes_.head().entries().find(each.key);
        before.push_back(present == nullptr ? json() : to_public_json(each.key, present->change.value));
    }
    auto proposed = proposals;
    submit(call, std::move(proposals),
           [exchange = call.exchange, proposed = std::move(proposed), before = std::move(before),
            dry = call.dry_run](const submit_result& result) {
               json results = json::array();
               for (std::size_t i = 0; i < proposed.size(); ++i)
                   results.push_back({{"key", proposed[i].key},
                                      {"effect", effect_of(proposed[i], result.verdicts[i])},
                                      {"if_revision", result.verdicts[i].revision},
                                      {"before", before[i]},
                                      {"after", to_public_json(proposed[i].key, result.verdicts[i].value)}});
               respond_json(
                   exchange, 200,
                   {{"revision", result.revision}, {"dry_run", dry}, {"results", std::move(results)}});
           });
}

void api::show_status(const api_call& call) const {
    const core::acceptance::accepted_config& entries = changes_.head().entries();
    json acceptors = json::array();
    for (const auto& entry : entries.with_prefix("acceptor/"))
        acceptors.push_back(json::parse(entry->change.value));
    json data_centres = json::object();
    for (const auto& entry : entries.with_prefix("data-centre/")) {
        const json value = json::parse(entry->change.value);
        data_centres[text_member(value, "name")] = text_member(value, "state");
    }
    respond_json(call.exchange, 200,
                 {{"process", context_.name},
                  {"revision", entries.revision()},
                  {"preset_in_force", entries.preset_in_force()},
                  {"data_centres", std::move(data_centres)},
                  {"acceptors", std::move(acceptors)},
                  {"accepting", changes_.accepting()},
                  {"store_reachable", !changes_.unreachable_since().has_value()},
                  {"services", entries.with_prefix("service/").size()},
                  {"models", entries.with_prefix("model/").size()},
                  {"customers", entries.with_prefix("customer/").size()},
                  {"keys", entries.with_prefix("key/").size()}});
}

void api::show_audit(const api_call& call) const {
    json records = json::array();
    for (const auto& record : changes_.head().tail()) {
        json line = to_public_json(record.entry);
        line["before"] = to_public_json(record.entry.change.key, record.before);
        line["after"] = line["value"];
        line.erase("value");
        records.push_back(std::move(line));
    }
    respond_json(call.exchange, 200,
                 {{"revision", changes_.head().entries().revision()},
                  {"sealed_up_to", changes_.head().document().snapshot.base},
                  {"records", std::move(records)}});
}

} // namespace waxwinglb::programs::admin
