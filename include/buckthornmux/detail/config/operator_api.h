/// Bodies of the operators' calls: JSON in, JSON out, against the store.
/// Blocking; for a thread that may wait for the store.
#pragma once

#include <string>
#include <string_view>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/time.h"
#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::config {

/// @brief GET /v1/config.
/// @return {"revision", "config"}, without salts and hashes of keys
[[nodiscard]] Result<std::string> GetConfigCall(const store::Store& store);

/// @brief POST /v1/config: checks, plans and writes, or changes nothing.
/// @param store platform's store
/// @param body {"expected_revision", "who", "inventory", "rules"}
/// @param now for the audit trail
/// @return {"revision", "summary"}; where nothing differs, the revision in
///   force, and nothing is written
/// Errors: kMalformed, kConfigInvalid with every problem, kConfigConflict with
/// the changes made since, kStoreUnavailable (not applied), kStoreUnknown.
[[nodiscard]] Result<std::string> PostConfigCall(const store::Store& store,
                                                 std::string_view body,
                                                 WallMillis now);

/// @brief POST /v1/keys: grants a key to a team.
/// @param store platform's store
/// @param body {"team", "who"}
/// @param now for the audit trail
/// @return {"id", "key", "revision"}; the key is shown this once
/// Errors: kMalformed, kNotFound for an undeclared team, store errors.
[[nodiscard]] Result<std::string> GrantKeyCall(const store::Store& store,
                                               std::string_view body,
                                               WallMillis now);

/// @brief DELETE /v1/keys/<id>?who=: withdraws a key.
/// @return {"id", "revision"}; kNotFound where no such key stands
[[nodiscard]] Result<std::string> WithdrawKeyCall(const store::Store& store,
                                                  std::string_view id,
                                                  std::string_view who,
                                                  WallMillis now);

/// @brief GET /v1/keys.
/// @return {"revision", "keys": [{"id", "team"}]}
[[nodiscard]] Result<std::string> ListKeysCall(const store::Store& store);

/// @brief GET /v1/audit.
/// @return {"revision", "entries": [{"at", "who", "what", "from", "to",
///   "summary"}]}, oldest first
[[nodiscard]] Result<std::string> ListAuditCall(const store::Store& store);

}  // namespace buckthornmux::config
