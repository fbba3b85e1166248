#include "programs/admin/settings.hpp"

#include <algorithm>

namespace waxwinglb::programs::admin {
namespace {

constexpr std::size_t digest_length = 64; // hex digits

bool is_digest(const std::string& text) {
    return text.size() == digest_length && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void read_operator(edge::settings_section& section, std::vector<operator_account>& out) {
    using core::acceptance::role;
    operator_account account;
    account.identity.name = section.text("name");
    account.identity.team = section.text("team");
    const std::string role_name = section.text("role");
    account.token_digest = section.text("token_digest");
    if (role_name != "reader" && role_name != "editor" && role_name != "owner")
        section.fault("role", "expected reader, editor or owner");
    if (!is_digest(account.token_digest))
        section.fault("token_digest", "expected 64 lower-case hex digits");
    account.identity.role = role_name == "owner"    ? role::owner
                            : role_name == "editor" ? role::editor
                                                    : role::reader;
    const bool duplicate = std::any_of(out.begin(), out.end(), [&](const operator_account& known) {
        return known.identity.name == account.identity.name || known.token_digest == account.token_digest;
    });
    if (duplicate)
        section.fault("name", "name and token_digest must be distinct among the operators");
    out.push_back(std::move(account));
}

} // namespace

void read_settings(edge::settings_section& top, admin_settings& out) {
    out.name = top.text("name");
    out.vm = top.text("vm");
    out.data_centre = top.text("data_centre");
    out.http = top.address("http");
    out.platform = top.address("platform");
    out.stewards = top.addresses("stewards");
    out.steward_operations = top.addresses("steward_operations");
    top.list("operators", [&out](edge::settings_section& section) { read_operator(section, out.operators); });
    if (!core::acceptance::is_name(out.vm))
        top.fault("vm", "expected letters, digits, '.', '_' and '-', at most 63");
}

} // namespace waxwinglb::programs::admin
