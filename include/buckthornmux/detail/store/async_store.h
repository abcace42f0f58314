/// The platform's key-value service without blocking, as a narrow struct of
/// functions that tests replace.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::store {

/// @brief Time that so many bytes may take on the slowest link of an entry
/// host.
[[nodiscard]] constexpr Millis TransferTime(std::size_t bytes) {
  constexpr std::size_t kBytesPerMilli = 600;  ///< Half of 10 Mbit/s.
  return Millis(bytes / kBytesPerMilli);
}

/// @brief Size of a value in a call: as text of base 64.
[[nodiscard]] constexpr std::size_t EncodedSize(std::size_t bytes) {
  return (bytes + 2) / 3 * 4;
}

/// One page of a list. Pages are no snapshot.
struct ItemPage {
  std::vector<Entry> items;
  bool more = false;      ///< The next page begins after the last key.
  Revision revision = 0;  ///< Of the service.
};

/// A key that must have this revision; kAbsent: must not exist.
struct Condition {
  std::string key;
  Revision revision = kAbsent;
};

struct ItemWrite {
  std::string key;
  std::string value;
  LeaseId lease = kNoLease;
};

/// Writes and erasures that happen together, if all conditions hold.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<ItemWrite> writes;
  std::vector<std::string> erasures;
};

struct TransactionEnd {
  enum class Kind : std::uint8_t { kApplied, kConditionFailed, kLeaseGone };
  Kind kind = Kind::kApplied;
  Revision revision = 0;       ///< Of the writes, where applied.
  std::vector<Entry> current;  ///< Keys of the conditions, where these failed.
};

struct LeaseGrant {
  LeaseId lease = kNoLease;
  Millis ttl{0};  ///< That applies.
};

template <class T>
using Reply = std::function<void(Outcome<T>)>;

/// @brief The service's calls; each completes once, on the loop's thread.
/// Errors: kStoreUnavailable (had no effect), kStoreUnknown (may have had
/// effect, also later).
struct AsyncStore {
  std::function<void(std::string key, Reply<std::optional<Entry>>)> get;
  /// Lists a page of keys below a prefix, from after the key `after`.
  std::function<void(std::string prefix, std::string after, Reply<ItemPage>)>
      list;
  /// Waits for changes after a revision; kStoreConflict: the history is gone.
  std::function<void(std::string prefix, Revision after, Millis wait,
                     Reply<WatchBatch>)>
      watch;
  std::function<void(Transaction, Reply<TransactionEnd>)> commit;
  std::function<void(Millis ttl, Reply<LeaseGrant>)> grant_lease;
  /// Tells false where the lease has ended.
  std::function<void(LeaseId, Reply<bool>)> renew_lease;
  std::function<void(LeaseId, Reply<bool>)> end_lease;
};

}  // namespace buckthornmux::store
