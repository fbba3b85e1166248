#include "core/keys/access.hpp"

#include <sodium.h>

#include <array>

namespace waxwinglb::core::keys {
namespace {

constexpr std::string_view prefix = "wxk_";
constexpr std::size_t max_key_length = 256;

} // namespace

std::string digest_of(std::string_view key_text) {
    std::array<unsigned char, crypto_generichash_BYTES> digest{};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<const unsigned char*>(key_text.data()),
                       key_text.size(), nullptr, 0);
    std::array<char, 2 * crypto_generichash_BYTES + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    return hex.data();
}

std::optional<std::string> id_of(std::string_view key_text) {
    if (key_text.size() > max_key_length || !key_text.starts_with(prefix))
        return std::nullopt;
    key_text.remove_prefix(prefix.size());
    const auto end = key_text.find('_');
    if (end == key_text.npos || end == 0 || end + 1 == key_text.size())
        return std::nullopt;
    return std::string{key_text.substr(0, end)};
}

const config::customer* find_customer(const config::snapshot& state, std::string_view key_text) {
    const auto id = id_of(key_text);
    if (!id)
        return nullptr;
    const auto key = state.keys.find(*id);
    if (key == state.keys.end())
        return nullptr;
    const std::string digest = digest_of(key_text);
    if (digest.size() != key->second.digest.size() ||
        sodium_memcmp(digest.data(), key->second.digest.data(), digest.size()) != 0)
        return nullptr;
    const auto customer = state.customers.find(key->second.customer);
    return customer == state.customers.end() ? nullptr : &customer->second;
}

bool still_granted(const config::snapshot& state, const std::string& id, const std::string& customer) {
    const auto key = state.keys.find(id);
    return key != state.keys.end() && key->second.customer == customer && state.customers.contains(customer);
}

} // namespace waxwinglb::core::keys
