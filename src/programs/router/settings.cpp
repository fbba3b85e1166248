#include "programs/router/settings.hpp"

namespace waxwinglb::programs::router {
namespace {

constexpr std::int64_t max_shards = 4'096;
constexpr std::int64_t max_body_limit = 6 << 20; // a request must fit one frame between processes

} // namespace

void read_settings(edge::settings_section& in, router_settings& out) {
    out.vm = in.text("vm");
    out.data_centre = in.text("data_centre");
    out.http = in.address("http");
    out.stewards = in.addresses("stewards");
    if (out.stewards.empty())
        in.fault("stewards", "expected at least one \"ip:port\"");
    out.control_shards = static_cast<int>(in.integer("control_shards", 1, max_shards, out.control_shards));
    out.max_body = in.bytes("max_body", out.max_body);
    if (out.max_body < 1 || out.max_body > max_body_limit)
        in.fault("max_body", "expected a size from 1B to 6MB");
    in.section("tls", false, [&](edge::settings_section& tls) {
        out.certificate_file = tls.text("certificate");
        out.key_file = tls.text("key");
    });
}

} // namespace waxwinglb::programs::router
