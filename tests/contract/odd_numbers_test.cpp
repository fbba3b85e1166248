// Numbers and addresses of other writers that no type or no connection holds.
#include "platform/documents.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <limits>

using namespace waxwinglb;
using namespace std::chrono_literals;
using nlohmann::json;

namespace leaf = boost::leaf;

namespace {

constexpr auto year = 365 * 24h;
const json odd_numbers =
    json::array({1e300, -1e300, 1.8446744073709552e19, std::numeric_limits<std::uint64_t>::max(),
                 std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min(),
                 2147483648, -2147483649, 0.5, -0.0});
const json good_target{{"service", "s"}, {"address", "10.0.0.1:80"}, {"slots", 4}, {"state", "ready"}};

json with(json document, const char* field, const json& value) {
    document[field] = value;
    return document;
}

template<class decoder>
auto value_of(decoder&& decode) {
    using value = std::decay_t<decltype(*decode())>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<value>> {
            BOOST_LEAF_AUTO(made, decode());
            return std::optional<value>{std::move(made)};
        },
        [] { return std::optional<value>{}; });
}

std::optional<core::fleet::target_entry> target(const json& spec) {
    return value_of([&] { return platform::decode_target("t1", spec); });
}

} // namespace

TEST(odd_numbers, slots_or_births_that_no_type_holds_name_no_target) {
    for (const json& odd : odd_numbers)
        EXPECT_FALSE(target(with(good_target, "slots", odd)).has_value()) << odd;
    for (const json& odd :
         {json(1e300), json(std::numeric_limits<std::uint64_t>::max()),
          json(std::numeric_limits<std::int64_t>::max()), json(std::numeric_limits<std::int64_t>::min())})
        EXPECT_FALSE(target(with(good_target, "born", odd)).has_value()) << odd;
    EXPECT_EQ(target(with(good_target, "born", 1796441263335))->born, 1796441263335);
}

TEST(odd_numbers, times_of_a_registration_are_bounded) {
    for (const json& odd : odd_numbers) {
        const auto cold = target(with(good_target, "cold_left_ms", odd));
        ASSERT_TRUE(cold.has_value()) << odd;
        EXPECT_GE(cold->cold_left, 0ms) << odd;
        EXPECT_LE(cold->cold_left, year) << odd;
    }
}

TEST(odd_numbers, a_removal_at_a_time_that_makes_no_sense_does_not_name_an_end) {
    json odd_values = odd_numbers;
    for (const json& odd :
         json::array({-1, -0.5, "soon", "5000", true, nullptr, json::array({1}), json::object()}))
        odd_values.push_back(odd);
    for (const json& odd : odd_values) {
        const auto leaving = target(with(with(good_target, "remaining_ms", odd), "state", "draining"));
        ASSERT_TRUE(leaving.has_value()) << odd;
        EXPECT_TRUE(leaving->draining) << odd;
        const bool usable =
            odd.is_number() && odd.get<double>() >= 0 && odd.get<double>() <= 31'536'000'000.0;
        EXPECT_EQ(leaving->remaining.has_value(), usable) << odd;
        EXPECT_EQ(leaving->not_understood.empty(), usable) << odd;
        if (leaving->remaining) {
            EXPECT_GE(*leaving->remaining, 0ms) << odd;
            EXPECT_LE(*leaving->remaining, year) << odd;
        }
    }
    EXPECT_EQ(target(with(good_target, "remaining_ms", 1'500))->remaining, 1'500ms);
    EXPECT_TRUE(target(good_target)->not_understood.empty());
}

TEST(odd_numbers, a_scaling_object_that_is_invalid_counts_as_absent) {
    const auto service = [](const json& scaling) {
        const json spec{{"version", 1}, {"services", json::array({{{"name", "s"}, {"scaling", scaling}}})}};
        const auto decoded = value_of([&] { return platform::decode_config(spec); });
        EXPECT_EQ(decoded->not_understood.empty(), decoded->services.at("s").scaling.has_value()) << scaling;
        return decoded->services.at("s");
    };
    const json good{{"min", 1}, {"max", 6}, {"boot_s", 30}};
    ASSERT_TRUE(service(good).scaling.has_value());
    EXPECT_EQ(service(good).scaling->max, 6);
    EXPECT_EQ(service(good).scaling->boot, 30s);
    EXPECT_TRUE(service({{"min", 0}, {"max", 0}, {"boot_s", 0}}).scaling.has_value());
    for (const char* field : {"min", "max", "boot_s"}) {
        for (const json& odd : json::array({-1, 1.5, "3", true, nullptr, 1e300, json::array()}))
            EXPECT_FALSE(service(with(good, field, odd)).scaling.has_value()) << field << " " << odd;
        json lacking = good;
        lacking.erase(field);
        EXPECT_FALSE(service(lacking).scaling.has_value()) << field;
    }
    EXPECT_FALSE(service(with(good, "min", 7)).scaling.has_value()) << "min above max";
    for (const json& odd : json::array({1, "x", nullptr, json::array()}))
        EXPECT_FALSE(service(odd).scaling.has_value()) << odd;
}

TEST(odd_numbers, an_address_that_is_no_ip_and_port_names_no_target) {
    for (const char* odd :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:-1", "10.0.0.1:+80",
          "10.0.0.1:80x", "10.0.0.1: 80", "10.0.0.1:", "10.0.0.1", ":80", "host:80", "10.0.0:80",
          "10.0.0.256:80", "10.0.0.1:80:80", "10.0.0.1:80/x", "x@10.0.0.1:80", "[::1]:80", " 10.0.0.1:80"}) {
        EXPECT_FALSE(target(with(good_target, "address", odd)).has_value()) << odd;
        EXPECT_EQ(platform::decode_registration({{"address", odd}, {"boot", 1}}).address, "") << odd;
    }
    EXPECT_TRUE(target(with(good_target, "address", "10.0.0.1:65535")).has_value());
    EXPECT_EQ(platform::decode_registration({{"address", "10.0.0.1:1"}, {"boot", 1}}).address, "10.0.0.1:1");
}

TEST(odd_numbers, a_report_with_them_is_decoded_within_bounds) {
    for (const char* odd : {"1e300", "-1e300", "18446744073709551615", "9223372036854775807"}) {
        std::string body;
        for (const char* field : {"born", "sequence", "running", "waiting", "kv_used"})
            body.append(body.empty() ? "{" : ",").append("\"").append(field).append("\":").append(odd);
        body.append("}");
        const auto report = value_of([&] { return platform::decode_report(body); });
        ASSERT_TRUE(report.has_value()) << odd;
        EXPECT_LE(std::abs(report->running), 1'000'000) << odd;
        EXPECT_LE(std::abs(report->cache_used), 9'007'199'254'740'992) << odd;
    }
}

TEST(odd_numbers, a_configuration_with_them_is_decoded_within_bounds) {
    for (const json& odd : odd_numbers) {
        const json spec{
            {"version", 7},
            {"routes",
             json::array({{{"name", "r"}, {"timeout_ms", odd}, {"priority", odd}, {"max_attempts", odd}}})},
            {"services", json::array({{{"name", "s"},
                                       {"max_conns", odd},
                                       {"engine",
                                        {{"slots", odd},
                                         {"models", json::array({{{"name", "m"}, {"disk_s", odd}}})}}}}})},
            {"tenants", json::array({{{"name", "c"}, {"priority", odd}, {"rate_per_s", odd}}})},
            {"limits", {{"max_body_bytes", odd}, {"idle_timeout_ms", odd}}}};
        const auto decoded = value_of([&] { return platform::decode_config(spec); });
        ASSERT_TRUE(decoded.has_value()) << odd;
        EXPECT_GE(decoded->routes[0].timeout, 0ms) << odd;
        EXPECT_LE(decoded->routes[0].timeout, year) << odd;
        EXPECT_GE(decoded->routes[0].max_attempts, 1) << odd;
        EXPECT_LE(decoded->routes[0].max_attempts, 1'000'000) << odd;
        EXPECT_LE(std::abs(*decoded->customers.at("c").priority), 1'000'000) << odd;
        EXPECT_LE(std::abs(decoded->services.at("s").engine->slots), 1'000'000) << odd;
        EXPECT_LE(decoded->services.at("s").engine->models.at("m").disk_load, year) << odd;
        EXPECT_LE(decoded->limits.max_body, 1'073'741'824U) << odd;
        EXPECT_LE(decoded->limits.idle_timeout, year) << odd;
    }
}
