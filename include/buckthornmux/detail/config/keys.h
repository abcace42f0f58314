/// Keys that teams and operators present: "id.secret".
#pragma once

#include <string>
#include <string_view>

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::config {

/// A key as granted; `text` is shown once and stored nowhere.
struct GrantedKey {
  std::string text;  ///< "id.secret".
  TeamKey stored;
};

/// @brief Random bytes as lower-case hex, from OpenSSL.
/// @return kInternal where the machine has no randomness to give
[[nodiscard]] Result<std::string> RandomHex(std::size_t bytes);

/// @brief SHA-256 of a text as lower-case hex.
[[nodiscard]] std::string Sha256Hex(std::string_view text);

/// @brief Makes a key for a team, with an id that `config` doesn't hold yet.
/// @return the key; kNotFound where the team isn't declared
[[nodiscard]] Result<GrantedKey> MakeKey(const Config& config,
                                         std::string_view team);

/// @brief Finds the key that a caller presents.
/// @param config in force
/// @param presented text after "Bearer "
/// @return the key; null where it is unknown, withdrawn or wrong
/// The time taken does not depend on how much of the secret is right.
[[nodiscard]] const TeamKey* MatchKey(const Config& config,
                                      std::string_view presented);

/// @brief Whether a presented key is the operators' key of the settings.
/// @param key_sha256 lower-case hex, Settings::operator_key_sha256
/// @param presented text after "Bearer "
[[nodiscard]] bool IsOperatorKey(std::string_view key_sha256,
                                 std::string_view presented);

/// @brief The key within an Authorization header; empty where there is none.
[[nodiscard]] std::string_view BearerKey(std::string_view authorization);

}  // namespace buckthornmux::config
