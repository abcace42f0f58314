/// State of the key-value stand-in: keys, leases, bounded history, rates.
/// Pure: no I/O and no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::standins {

/// Bounds of the stand-in service.
struct KvLimits {
  double writes_per_second = 0;  ///< 0: no limit.
  double reads_per_second = 0;   ///< 0: no limit; a waiting watch counts too.
  std::size_t history = 10'000;  ///< Changes that a watch can look back.
  std::size_t max_value_bytes = 1 << 20;
};

/// A bucket of permits, filled at a rate, one second's worth at most.
struct RateBucket {
  double permits = 0;
  std::optional<Time> filled_at;
};

/// @brief Takes one permit.
/// @param per_second rate; 0: no limit
/// @return whether there was one
[[nodiscard]] bool TakePermit(RateBucket& bucket, double per_second, Time now);

/// A change of a key, in the order of revisions.
struct Change {
  store::Entry entry;
  bool deleted = false;
};

/// A lease with the keys that go with it.
struct KvLease {
  Millis ttl{0};
  Time expires;
  std::set<std::string> keys;
};

/// A stored value.
struct KvValue {
  std::string value;
  Revision revision = 0;
  store::LeaseId lease = store::kNoLease;
};

/// Everything the service knows.
struct KvState {
  KvLimits limits;
  Revision revision = 0;
  store::LeaseId last_lease = 0;
  Revision compacted_up_to = 0;  ///< Changes up to this one are forgotten.
  std::map<std::string, KvValue, std::less<>> keys;
  std::map<store::LeaseId, KvLease> leases;
  std::deque<Change> history;
  RateBucket reads;
  RateBucket writes;
};

/// How a write ended.
enum class WriteEnd : std::uint8_t { kDone, kConflict, kNoLease, kTooLarge };

/// One page of a list.
struct KvPage {
  std::vector<store::Entry> entries;
  bool more = false;
  bool changed = false;  ///< A key changed after `unchanged_since`.
};

/// @brief Writes a key whose revision is `expected`; 0: absent.
[[nodiscard]] WriteEnd Put(KvState& state, std::string_view key,
                           std::string_view value, Revision expected,
                           store::LeaseId lease);

/// @brief Deletes a key whose revision is `expected`.
[[nodiscard]] WriteEnd Erase(KvState& state, std::string_view key,
                             Revision expected);

/// @brief Grants a lease.
store::LeaseId Grant(KvState& state, Millis ttl, Time now);

/// @brief Renews a lease.
/// @return whether it still stood
[[nodiscard]] bool KeepAlive(KvState& state, store::LeaseId lease, Time now);

/// @brief Ends a lease and deletes its keys.
/// @return whether it still stood
[[nodiscard]] bool Revoke(KvState& state, store::LeaseId lease);

/// @brief Ends every lease that has run out.
/// @return whether any did
bool ExpireLeases(KvState& state, Time now);

/// @brief Lists keys below a prefix, up to a bound of bytes.
/// @param start_after key after which the page begins; empty: the first page
/// @param unchanged_since for later pages; 0: don't care
[[nodiscard]] KvPage List(const KvState& state, std::string_view prefix,
                          std::string_view start_after,
                          Revision unchanged_since, std::size_t max_bytes);

/// @brief Changes below a prefix after a revision, the last one of each key.
[[nodiscard]] store::WatchBatch ChangesAfter(const KvState& state,
                                             std::string_view prefix,
                                             Revision after);

}  // namespace buckthornmux::standins
