/// Non-blocking interface to the platform's key-value service, as a struct of
/// functions that tests can replace.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::store {

/// @brief Time to transfer a number of bytes over the slowest link of an entry
/// host.
[[nodiscard]] constexpr Millis TransferTime(std::size_t bytes) {
  constexpr std::size_t kBytesPerMilli = 600;  ///< About half of 10 Mbit/s.
  return Millis(bytes / kBytesPerMilli);
}

/// @brief Size of a value in a call, which encodes it as Base64.
[[nodiscard]] constexpr std::size_t EncodedSize(std::size_t bytes) {
  return (bytes + 2) / 3 * 4;
}

/// One page of a list. The pages of a list don't form a snapshot.
struct ItemPage {
  std::vector<Entry> items;
  bool more = false;      ///< The next page begins after the last item.
  Revision revision = 0;  ///< Revision of the service.
};

/// Condition that a key has a revision; kAbsent: that it doesn't exist.
struct Condition {
  std::string key;
  Revision revision = kAbsent;
};

struct ItemWrite {
  std::string key;
  std::string value;
  LeaseId lease = kNoLease;
};

/// Writes and erasures that are applied atomically if all conditions hold.
struct Transaction {
  std::vector<Condition> conditions;
  std::vector<ItemWrite> writes;
  std::vector<std::string> erasures;
};

struct TransactionEnd {
  enum class Kind : std::uint8_t {
    kApplied,
    kConditionFailed,
    kLeaseGone,
    kRejected,  ///< The service will never apply it, whatever is stored.
  };
  Kind kind = Kind::kApplied;
  std::string reason;          ///< If kRejected.
  Revision revision = 0;       ///< Revision of the writes, if kApplied.
  std::vector<Entry> current;  ///< Keys of the conditions, if kConditionFailed.
};

struct LeaseGrant {
  LeaseId lease = kNoLease;
  Millis ttl{0};  ///< Time to live that the service granted.
};

template <class T>
using Reply = std::function<void(Outcome<T>)>;

/// @brief The calls of the service. Each completes once, on the thread of the
///   event loop.
/// Errors: kStoreUnavailable (had no effect), kStoreUnknown (may have had an
/// effect or may still have one).
struct AsyncStore {
  std::function<void(std::string key, Reply<std::optional<Entry>>)> get;
  /// Lists a page of the keys with a prefix, starting after the key `after`.
  std::function<void(std::string prefix, std::string after, Reply<ItemPage>)>
      list;
  /// Waits for changes after a revision. `compacted` is set in the batch if the
  /// history since that revision is no longer available; the batch then has no
  /// revision, and the next watch starts at the revision of a new list.
  std::function<void(std::string prefix, Revision after, Millis wait,
                     Reply<WatchBatch>)>
      watch;
  std::function<void(Transaction, Reply<TransactionEnd>)> commit;
  std::function<void(Millis ttl, Reply<LeaseGrant>)> grant_lease;
  /// Replies false if the lease has already ended; so does `end_lease`.
  std::function<void(LeaseId, Reply<bool>)> renew_lease;
  std::function<void(LeaseId, Reply<bool>)> end_lease;
};

}  // namespace buckthornmux::store
