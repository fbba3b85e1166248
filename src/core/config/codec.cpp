#include "core/config/codec.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <functional>
#include <set>

namespace waxwinglb::core::config {
namespace {

using nlohmann::json;

constexpr std::size_t max_name_length = 128;
constexpr double max_tokens_per_second = 1e9;
constexpr std::int64_t max_bytes = 1LL << 44;
constexpr std::int64_t max_duration_ms = 7LL * 24 * 3600 * 1000;

/// Reads the members of one JSON object and collects every fault: wrong type, out of range, unknown member.
class reader {
public:
    reader(const json& value, std::string pointer, std::vector<fault>& faults)
        : value_(value), pointer_(std::move(pointer)), faults_(faults) {
        if (!value_.is_object())
            add("", "an object");
    }

    void text(const char* name, std::string& out, bool required = true) {
        const json* member = find(name, required);
        if (member == nullptr)
            return;
        if (!member->is_string() || member->get<std::string>().size() > max_name_length)
            return add(name, "a string of at most 128 bytes");
        out = member->get<std::string>();
        if (required && out.empty())
            add(name, "a non-empty string");
    }
    void boolean(const char* name, bool& out) {
        const json* member = find(name, false);
        if (member == nullptr)
            return;
        if (!member->is_boolean())
            return add(name, "true or false");
        out = member->get<bool>();
    }
    void number(const char* name, double& out, double low, double high, bool required = true) {
        const json* member = find(name, required);
        if (member == nullptr)
            return;
        if (!member->is_number() || !is_in_range(member->get<double>(), low, high))
            return add(name, "a number from " + std::to_string(low) + " to " + std::to_string(high));
        out = member->get<double>();
    }
    template<class integer>
    void whole_number(const char* name, integer& out, std::int64_t low, std::int64_t high,
                      bool required = true) {
        const json* member = find(name, required);
        if (member == nullptr)
            return;
        if (!member->is_number_integer() || !is_in_range(member->get<double>(), double(low), double(high)))
            return add(name, "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        out = member->get<integer>();
    }
    void duration_ms(const char* name, common::milliseconds& out, bool required = false) {
        std::int64_t count = out.count();
        whole_number(name, count, 0, max_duration_ms, required);
        out = common::milliseconds{count};
    }
    template<class each>
    void list(const char* name, each&& read_element) {
        const json* member = find(name, false);
        if (member == nullptr)
            return;
        if (!member->is_array())
            return add(name, "a list");
        for (std::size_t i = 0; i < member->size(); ++i) {
            reader element{(*member)[i], pointer_ + "/" + name + "/" + std::to_string(i), faults_};
            read_element(element);
            element.finish();
        }
    }
    template<class value_type>
    void choice(const char* name, value_type& out,
                std::initializer_list<std::pair<const char*, value_type>> options) {
        std::string word;
        const json* member = find(name, true);
        if (member == nullptr)
            return;
        std::string expected = "one of";
        for (const auto& [option, meaning] : options) {
            expected += std::string(" ") + option;
            if (member->is_string() && member->get<std::string>() == option) {
                out = meaning;
                return;
            }
        }
        add(name, expected);
    }
    /// Reports members that none of the calls above has read.
    void finish() {
        if (!value_.is_object())
            return;
        for (const auto& [name, member] : value_.items())
            if (!known_members_.contains(name))
                add(name, "no such member here");
    }

private:
    static bool is_in_range(double x, double low, double high) {
        return std::isfinite(x) && x >= low && x <= high;
    }
    const json* find(const char* name, bool required) {
        known_members_.insert(name);
        if (!value_.is_object())
            return nullptr;
        const auto found = value_.find(name);
        if (found != value_.end())
            return &*found;
        if (required)
            add(name, "a value; it is missing");
        return nullptr;
    }
    void add(const std::string& name, const std::string& expected) {
        faults_.push_back({name.empty() ? pointer_ : pointer_ + "/" + name, expected});
    }

    const json& value_;
    std::string pointer_;
    std::vector<fault>& faults_;
    std::set<std::string> known_members_;
};

void read(reader& in, service& out) {
    in.text("name", out.name);
    in.choice<service_kind>("kind", out.kind,
                            {{"model", service_kind::model}, {"plain", service_kind::plain}});
    in.boolean("checks_orders", out.checks_orders);
    in.duration_ms("default_deadline_ms", out.default_deadline);
    in.duration_ms("max_deadline_ms", out.max_deadline);
    in.list("routes", [&](reader& element) {
        route_rule rule;
        element.text("path_prefix", rule.path_prefix);
        element.text("method", rule.method);
        element.boolean("repeatable", rule.repeatable);
        element.boolean("open", rule.open);
        element.whole_number("cost_tokens", rule.cost_tokens, 0, 1'000'000, false);
        out.routes.push_back(std::move(rule));
    });
}

void read(reader& in, model& out) {
    in.text("name", out.name);
    in.text("service", out.service);
    in.text("version", out.version);
    in.whole_number("bytes", out.bytes, 1, max_bytes);
    in.whole_number("max_replicas", out.max_replicas, 1, 10'000, false);
    in.duration_ms("load_estimate_ms", out.load_estimate);
    in.list("adapters", [&](reader& element) {
        adapter decoded;
        element.text("name", decoded.name);
        element.whole_number("bytes", decoded.bytes, 1, max_bytes);
        out.adapters.push_back(std::move(decoded));
    });
}

void read(reader& in, customer& out) {
    in.text("name", out.name);
    in.number("tokens_per_second", out.tokens_per_second, 0, max_tokens_per_second);
    in.number("burst_tokens", out.burst_tokens, 0, max_tokens_per_second);
    in.number("weight", out.weight, 0.001, 1000, false);
}

void read(reader& in, access_key& out) {
    in.text("id", out.id);
    in.text("customer", out.customer);
    in.text("digest", out.digest);
}

void read(reader& in, preset& out) {
    in.text("name", out.name);
    in.number("idle_price", out.idle_price, 0.001, 1000, false);
    in.duration_ms("max_idle_ms", out.max_idle);
    in.whole_number("spare_replicas", out.spare_replicas, 0, 10'000, false);
}

void read(reader& in, data_centre& out) {
    in.text("name", out.name);
    in.text("region", out.region);
    in.choice<data_centre_state>("state", out.state,
                                 {{"in", data_centre_state::in}, {"out", data_centre_state::out}});
}

struct acceptor_entry {
    std::string name;
    std::int64_t boot = 0;
};
void read(reader& in, acceptor_entry& out) {
    in.text("name", out.name);
    in.whole_number("boot", out.boot, 0, INT64_MAX / 2, false);
}

struct preset_choice {
    std::string name;
};
void read(reader& in, preset_choice& out) {
    in.text("name", out.name);
}

template<class value_type>
value_type decode(std::string_view text, std::vector<fault>& faults) {
    value_type out;
    const json parsed = json::parse(text, nullptr, false);
    if (parsed.is_discarded()) {
        faults.push_back({"", "valid JSON"});
        return out;
    }
    reader in{parsed, "", faults};
    read(in, out);
    in.finish();
    return out;
}

struct split_key {
    std::string_view kind;
    std::string_view name;
};
split_key split(std::string_view key) {
    const auto slash = key.find('/');
    return slash == key.npos ? split_key{key, {}} : split_key{key.substr(0, slash), key.substr(slash + 1)};
}

/// Decodes an entry and, if `store` is set and there is no fault, puts it into `table`. The name in the value
/// must equal the name in the key.
template<class value_type, class name_of>
bool put_value(std::map<std::string, value_type>& table, std::string_view name, std::string_view value,
               name_of&& own_name, std::vector<fault>& faults, bool store) {
    value_type decoded = decode<value_type>(value, faults);
    if (faults.empty() && own_name(decoded) != name)
        faults.push_back({"/name", "the name in the key: " + std::string(name)});
    if (!faults.empty())
        return false;
    if (store)
        table[std::string(name)] = std::move(decoded);
    return true;
}

bool put_entry(snapshot& state, std::string_view key, std::string_view value, std::vector<fault>& faults,
               bool store) {
    const auto [kind, name] = split(key);
    const auto by_name = [](const auto& x) { return x.name; };
    if (kind == "service")
        return put_value(state.services, name, value, by_name, faults, store);
    if (kind == "model")
        return put_value(
            state.models, name, value, [](const model& m) { return m.service + "/" + m.name; }, faults,
            store);
    if (kind == "customer")
        return put_value(state.customers, name, value, by_name, faults, store);
    if (kind == "key")
        return put_value(
            state.keys, name, value, [](const access_key& k) { return k.id; }, faults, store);
    if (kind == "preset")
        return put_value(state.presets, name, value, by_name, faults, store);
    if (kind == "data-centre")
        return put_value(state.data_centres, name, value, by_name, faults, store);
    if (kind == "acceptor") {
        const auto entry = decode<acceptor_entry>(value, faults);
        if (faults.empty() && store)
            state.acceptors[std::string(name)] = entry.boot;
        return faults.empty();
    }
    if (kind == "preset-in-force") {
        auto choice = decode<preset_choice>(value, faults);
        if (faults.empty() && store)
            state.preset_in_force = std::move(choice.name);
        return faults.empty();
    }
    faults.push_back({"", "a key of a known kind; got " + std::string(kind)});
    return false;
}

bool erase_entry(snapshot& state, std::string_view key) {
    const auto [kind, name] = split(key);
    const std::string name_text{name};
    if (kind == "service")
        return state.services.erase(name_text), true;
    if (kind == "model")
        return state.models.erase(name_text), true;
    if (kind == "customer")
        return state.customers.erase(name_text), true;
    if (kind == "key")
        return state.keys.erase(name_text), true;
    if (kind == "preset")
        return state.presets.erase(name_text), true;
    if (kind == "data-centre")
        return state.data_centres.erase(name_text), true;
    if (kind == "acceptor")
        return state.acceptors.erase(name_text), true;
    return false;
}

} // namespace

std::vector<fault> check_entry(std::string_view key, std::string_view value) {
    snapshot unused;
    std::vector<fault> faults;
    if (!value.empty())
        put_entry(unused, key, value, faults, false);
    return faults;
}

bool apply_entry(snapshot& state, std::string_view key, std::string_view value) {
    if (value.empty())
        return erase_entry(state, key);
    std::vector<fault> faults;
    return put_entry(state, key, value, faults, true);
}

std::string encode(const service& value) {
    json routes = json::array();
    for (const auto& rule : value.routes)
        routes.push_back({{"path_prefix", rule.path_prefix},
                          {"method", rule.method},
                          {"repeatable", rule.repeatable},
                          {"open", rule.open},
                          {"cost_tokens", rule.cost_tokens}});
    return json{{"name", value.name},
                {"kind", value.kind == service_kind::model ? "model" : "plain"},
                {"checks_orders", value.checks_orders},
                {"default_deadline_ms", value.default_deadline.count()},
                {"max_deadline_ms", value.max_deadline.count()},
                {"routes", routes}}
        .dump();
}

std::string encode(const model& value) {
    json adapters = json::array();
    for (const auto& adapter_entry : value.adapters)
        adapters.push_back({{"name", adapter_entry.name}, {"bytes", adapter_entry.bytes}});
    return json{{"name", value.name},
                {"service", value.service},
                {"version", value.version},
                {"bytes", value.bytes},
                {"max_replicas", value.max_replicas},
                {"load_estimate_ms", value.load_estimate.count()},
                {"adapters", adapters}}
        .dump();
}

std::string encode(const customer& value) {
    return json{{"name", value.name},
                {"tokens_per_second", value.tokens_per_second},
                {"burst_tokens", value.burst_tokens},
                {"weight", value.weight}}
        .dump();
}

std::string encode(const access_key& value) {
    return json{{"id", value.id}, {"customer", value.customer}, {"digest", value.digest}}.dump();
}

std::string encode(const preset& value) {
    return json{{"name", value.name},
                {"idle_price", value.idle_price},
                {"max_idle_ms", value.max_idle.count()},
                {"spare_replicas", value.spare_replicas}}
        .dump();
}

std::string encode(const data_centre& value) {
    return json{{"name", value.name},
                {"region", value.region},
                {"state", value.state == data_centre_state::in ? "in" : "out"}}
        .dump();
}

std::vector<std::pair<std::string, std::string>> entries(const snapshot& state) {
    std::vector<std::pair<std::string, std::string>> out;
    const auto add = [&out](const char* kind, const auto& table) {
        for (const auto& [name, value] : table)
            out.emplace_back(std::string(kind) + "/" + name, encode(value));
    };
    for (const auto& [name, boot] : state.acceptors)
        out.emplace_back("acceptor/" + name, json{{"name", name}, {"boot", boot}}.dump());
    add("customer", state.customers);
    add("data-centre", state.data_centres);
    add("key", state.keys);
    add("model", state.models);
    add("preset", state.presets);
    if (!state.preset_in_force.empty())
        out.emplace_back("preset-in-force", json{{"name", state.preset_in_force}}.dump());
    add("service", state.services);
    return out;
}

} // namespace waxwinglb::core::config
