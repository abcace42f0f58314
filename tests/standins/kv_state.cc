#include "standins/kv_state.h"

#include <algorithm>

namespace buckthornmux::standins {
namespace {

constexpr double kMillisPerSecond = 1000.0;

void Remember(KvState& state, Change change) {
  state.history.push_back(std::move(change));
  while (state.history.size() > state.limits.history) {
    state.compacted_up_to = state.history.front().entry.revision;
    state.history.pop_front();
  }
}

void Detach(KvState& state, std::string_view key, store::LeaseId lease) {
  if (const auto found = state.leases.find(lease);
      found != state.leases.end()) {
    found->second.keys.erase(std::string(key));
  }
}

void Delete(KvState& state, const std::string& key) {
  const auto found = state.keys.find(key);
  if (found == state.keys.end()) {
    return;
  }
  Detach(state, key, found->second.lease);
  state.keys.erase(found);
  ++state.revision;
  Remember(state, {{key, {}, state.revision}, true});
}

Revision RevisionOf(const KvState& state, std::string_view key) {
  const auto found = state.keys.find(key);
  return found == state.keys.end() ? store::kAbsent : found->second.revision;
}

}  // namespace

bool TakePermit(RateBucket& bucket, double per_second, Time now) {
  if (per_second <= 0) {
    return true;
  }
  if (!bucket.filled_at) {
    bucket.permits = per_second;
  } else {
    const auto elapsed = static_cast<double>((now - *bucket.filled_at).count());
    bucket.permits += elapsed * per_second / kMillisPerSecond;
  }
  bucket.filled_at = now;
  bucket.permits = std::min(bucket.permits, per_second);
  if (bucket.permits < 1) {
    return false;
  }
  bucket.permits -= 1;
  return true;
}

WriteEnd Put(KvState& state, std::string_view key, std::string_view value,
             Revision expected, store::LeaseId lease) {
  if (value.size() > state.limits.max_value_bytes) {
    return WriteEnd::kTooLarge;
  }
  if (RevisionOf(state, key) != expected) {
    return WriteEnd::kConflict;
  }
  const auto holder = state.leases.find(lease);
  if (lease != store::kNoLease && holder == state.leases.end()) {
    return WriteEnd::kNoLease;
  }
  const std::string name(key);
  KvValue& slot = state.keys[name];
  Detach(state, key, slot.lease);
  ++state.revision;
  slot = {std::string(value), state.revision, lease};
  if (lease != store::kNoLease) {
    holder->second.keys.insert(name);
  }
  Remember(state, {{name, slot.value, state.revision}, false});
  return WriteEnd::kDone;
}

WriteEnd Erase(KvState& state, std::string_view key, Revision expected) {
  if (expected == store::kAbsent || RevisionOf(state, key) != expected) {
    return WriteEnd::kConflict;
  }
  Delete(state, std::string(key));
  return WriteEnd::kDone;
}

store::LeaseId Grant(KvState& state, Millis ttl, Time now) {
  const store::LeaseId lease = ++state.last_lease;
  state.leases[lease] = {ttl, now + ttl, {}};
  return lease;
}

bool KeepAlive(KvState& state, store::LeaseId lease, Time now) {
  const auto found = state.leases.find(lease);
  if (found == state.leases.end() || found->second.expires <= now) {
    return false;
  }
  found->second.expires = now + found->second.ttl;
  return true;
}

bool Revoke(KvState& state, store::LeaseId lease) {
  const auto found = state.leases.find(lease);
  if (found == state.leases.end()) {
    return false;
  }
  const auto keys = found->second.keys;
  for (const std::string& key : keys) {
    Delete(state, key);
  }
  state.leases.erase(lease);
  return true;
}

bool ExpireLeases(KvState& state, Time now) {
  std::vector<store::LeaseId> expired;
  for (const auto& [id, lease] : state.leases) {
    if (lease.expires <= now) {
      expired.push_back(id);
    }
  }
  for (const store::LeaseId id : expired) {
    (void)Revoke(state, id);
  }
  return !expired.empty();
}

KvPage List(const KvState& state, std::string_view prefix,
            std::string_view start_after, Revision unchanged_since,
            std::size_t max_bytes) {
  KvPage page;
  if (unchanged_since > 0) {
    const auto changes = ChangesAfter(state, prefix, unchanged_since);
    page.changed =
        changes.compacted || !changes.puts.empty() || !changes.deletes.empty();
  }
  std::size_t bytes = 0;
  auto entry = start_after.empty() ? state.keys.lower_bound(prefix)
                                   : state.keys.upper_bound(start_after);
  for (; entry != state.keys.end() && entry->first.starts_with(prefix);
       ++entry) {
    bytes += entry->first.size() + entry->second.value.size();
    if (bytes > max_bytes && !page.entries.empty()) {
      page.more = true;
      break;
    }
    page.entries.push_back(
        {entry->first, entry->second.value, entry->second.revision});
  }
  return page;
}

store::WatchBatch ChangesAfter(const KvState& state, std::string_view prefix,
                               Revision after) {
  store::WatchBatch batch;
  batch.revision = state.revision;
  if (after < state.compacted_up_to) {
    batch.compacted = true;
    return batch;
  }
  std::set<std::string_view> seen;
  for (auto it = state.history.rbegin(); it != state.history.rend(); ++it) {
    const Change& change = *it;
    if (change.entry.revision <= after) {
      break;
    }
    if (change.entry.key.starts_with(prefix) &&
        seen.insert(change.entry.key).second) {
      (change.deleted ? batch.deletes : batch.puts).push_back(change.entry);
    }
  }
  std::ranges::reverse(batch.puts);
  std::ranges::reverse(batch.deletes);
  return batch;
}

}  // namespace buckthornmux::standins
