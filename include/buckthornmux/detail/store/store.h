/// The platform's key-value service, as a narrow struct of functions.
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
inline constexpr Revision kAbsent = 0;  ///< "The key must not exist."

/// A key with its value and the store revision that wrote it.
struct Entry {
  std::string key;
  std::string value;
  Revision revision = 0;
};

/// What a watch brought.
struct WatchBatch {
  Revision revision = 0;       ///< Pass on to the next watch.
  std::vector<Entry> puts;     ///< In store order; of a key's changes only
                               ///< the last one shows, here or in `deletes`.
  std::vector<Entry> deletes;  ///< Key and revision only.
  bool compacted = false;      ///< Changes were missed: list again, then watch
                               ///< from `revision`.
};

/// @brief The service's calls. Each blocks its duty's thread, for the call
///   time-out at most, and may be replaced by a mock.
/// Errors: kStoreUnavailable (had no effect), kStoreUnknown (may have had
/// effect: read back before anything else), kStoreConflict (compare failed).
struct Store {
  std::function<Result<std::optional<Entry>>(std::string_view key)> get;
  std::function<Result<std::vector<Entry>>(std::string_view prefix)> list;
  /// Writes when the key's revision is `expected`; returns the new revision.
  std::function<Result<Revision>(std::string_view key, std::string_view value,
                                 Revision expected, LeaseId lease)>
      put;
  std::function<Result<Revision>(std::string_view key, Revision expected)>
      erase;
  std::function<Result<LeaseId>(Millis ttl)> grant_lease;
  std::function<Result<LeaseId>(LeaseId lease)> keep_alive;
  std::function<Result<LeaseId>(LeaseId lease)> revoke_lease;
  /// Waits up to `wait` for changes after revision `after` below a prefix.
  std::function<Result<WatchBatch>(std::string_view prefix, Revision after,
                                   Millis wait)>
      watch;
};

/// Keys in use, one place for all. Whatever every entry host must follow lies
/// below one prefix, so that one watch brings it all.
inline constexpr std::string_view kStatePrefix = "state/";
inline constexpr std::string_view kConfigKey = "state/config";
inline constexpr std::string_view kMembersPrefix = "state/members/";
inline constexpr std::string_view kOwnersPrefix = "state/owners/";
inline constexpr std::string_view kAuditPrefix = "audit/";
inline constexpr std::string_view kGrantsPrefix = "grants/";
inline constexpr std::string_view kJournalPrefix = "journal/";

}  // namespace buckthornmux::store
