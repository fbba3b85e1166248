/// Callers' access keys: "wxk_<id>_<secret>". Only the digest of the whole text is stored or compared.
#pragma once

#include "core/config/model.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace waxwinglb::core::keys {

/// Hex BLAKE2b-256 of a key's text.
[[nodiscard]] std::string digest_of(std::string_view key_text);

/// The id inside a key's text; nullopt if the text does not have the form of a key.
[[nodiscard]] std::optional<std::string> id_of(std::string_view key_text);

/// The customer that a key belongs to in this configuration; nullptr if the key is unknown, revoked or wrong.
/// Digests are compared in constant time.
[[nodiscard]] const config::customer* find_customer(const config::snapshot& state, std::string_view key_text);

/// True while key `id` still belongs to `customer`; rechecked while its streams run.
[[nodiscard]] bool still_granted(const config::snapshot& state, const std::string& id,
                                 const std::string& customer);

} // namespace waxwinglb::core::keys
