#include "programs/admin/operators.hpp"

#include "core/keys/access.hpp"

#include <sodium.h>

#include <vector>

namespace waxwinglb::programs::admin {
namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t id_bytes = 6;      // 48 bits: collisions are unlikely
constexpr std::size_t secret_bytes = 32; // 256 bits: can't be guessed

std::string random_hex(std::size_t count) {
    std::vector<unsigned char> bytes(count);
    randombytes_buf(bytes.data(), bytes.size());
    std::string out(2 * count + 1, '\0');
    sodium_bin2hex(out.data(), out.size(), bytes.data(), bytes.size());
    out.pop_back();
    return out;
}

} // namespace

const core::acceptance::actor* find_operator(const std::vector<operator_account>& accounts,
                                             const std::string& authorization) {
    if (!authorization.starts_with(bearer))
        return nullptr;
    const std::string digest = core::keys::digest_of(std::string_view{authorization}.substr(bearer.size()));
    const core::acceptance::actor* found = nullptr;
    for (const operator_account& account : accounts) // no early exit: the duration must not reveal a match
        if (account.token_digest.size() == digest.size() &&
            sodium_memcmp(account.token_digest.data(), digest.data(), digest.size()) == 0)
            found = &account.identity;
    return found;
}

std::string creation_digest(const core::acceptance::actor& by, const std::string& idempotency_key) {
    return idempotency_key.empty() ? std::string{} : core::keys::digest_of(by.name + "\n" + idempotency_key);
}

generated_key generate_key() {
    generated_key out;
    out.id = random_hex(id_bytes);
    out.text = "wxk_" + out.id + "_" + random_hex(secret_bytes);
    return out;
}

} // namespace waxwinglb::programs::admin
