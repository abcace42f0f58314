/// Blocking interface to the platform's key-value service, as a struct of
/// functions.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::store {

using LeaseId = std::uint64_t;
inline constexpr LeaseId kNoLease = 0;
inline constexpr Revision kAbsent = 0;  ///< Expected revision of a missing key.

/// A key with its value and the store revision that wrote it.
struct Entry {
  std::string key;
  std::string value;
  Revision revision = 0;
};

/// Changes returned by a watch.
struct WatchBatch {
  Revision revision = 0;  ///< `after` of the next watch.
  /// Written keys in store order. Only the last change of a key is listed, here
  /// or in `deletes`.
  std::vector<Entry> puts;
  std::vector<Entry> deletes;  ///< Deleted keys, without values.
  /// Changes were missed: list the keys again, then watch from `revision`.
  bool compacted = false;
};

/// @brief The calls of the service. Each blocks the calling thread for at most
///   the call time-out, and can be replaced by a mock.
/// Errors: kStoreUnavailable (had no effect), kStoreUnknown (may have had
/// an effect: read back before any other call), kStoreConflict (the revision
/// differs from the expected one).
struct Store {
  std::function<Result<std::optional<Entry>>(std::string_view key)> get;
  std::function<Result<std::vector<Entry>>(std::string_view prefix)> list;
  /// Writes if the key's revision is `expected`; returns the new revision.
  std::function<Result<Revision>(std::string_view key, std::string_view value,
                                 Revision expected, LeaseId lease)>
      put;
  std::function<Result<Revision>(std::string_view key, Revision expected)>
      erase;
  std::function<Result<LeaseId>(Millis ttl)> grant_lease;
  std::function<Result<LeaseId>(LeaseId lease)> keep_alive;
  std::function<Result<LeaseId>(LeaseId lease)> revoke_lease;
  /// Waits up to `wait` for changes of keys with a prefix after revision
  /// `after`.
  std::function<Result<WatchBatch>(std::string_view prefix, Revision after,
                                   Millis wait)>
      watch;
};

/// Keys and key prefixes in the store. The keys that all entry hosts follow
/// share kStatePrefix, so that a single watch covers them.
inline constexpr std::string_view kStatePrefix = "state/";
inline constexpr std::string_view kConfigKey = "state/config";
inline constexpr std::string_view kMembersPrefix = "state/members/";
inline constexpr std::string_view kOwnersPrefix = "state/owners/";
inline constexpr std::string_view kAuditPrefix = "audit/";
inline constexpr std::string_view kGrantsPrefix = "grants/";
inline constexpr std::string_view kJournalPrefix = "journal/";

}  // namespace buckthornmux::store
