/// In-memory mock of the platform's key-value service with fault injection.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::store {

/// Fault to inject into one call.
enum class MockFault {
  kNone,
  kUnavailable,  ///< Not applied; kStoreUnavailable is returned.
  kLostAnswer,   ///< Applied; kStoreUnknown is returned.
  kLostRequest,  ///< Not applied; kStoreUnknown is returned.
};

/// The mock service. Handles refer to it, so it must outlive them and must not
/// be moved.
class MockStore {
 public:
  std::map<std::string, Entry> entries;
  /// Returns the fault of a call, from its name ("get", "put", ...) and key.
  std::function<MockFault(std::string_view call, std::string_view key)> fault;
  /// Runs before each call, for instance to simulate a concurrent writer.
  std::function<void(std::string_view call, std::string_view key)> before;
  std::map<std::string, int> calls;  ///< Number of calls by name.
  std::size_t largest_value = 0;
  std::size_t bytes_written = 0;

  /// @brief Creates a handle for one client.
  [[nodiscard]] Store Handle() {
    Store store;
    store.get = [this](std::string_view key) { return Get(key); };
    store.list = [this](std::string_view prefix) { return List(prefix); };
    store.put = [this](std::string_view key, std::string_view value,
                       Revision expected, LeaseId lease) {
      return Run<Revision>("put", key,
                           [&] { return Put(key, value, expected, lease); });
    };
    store.erase = [this](std::string_view key, Revision expected) {
      return Run<Revision>("erase", key, [&] { return Erase(key, expected); });
    };
    store.grant_lease = [this](Millis) {
      return Run<LeaseId>("grant_lease", {}, [&]() -> Result<LeaseId> {
        m_leases.insert(++m_last_lease);
        return m_last_lease;
      });
    };
    store.keep_alive = [this](LeaseId lease) {
      return Run<LeaseId>("keep_alive", {}, [&] { return KeepAlive(lease); });
    };
    store.revoke_lease = [this](LeaseId lease) {
      return Run<LeaseId>("revoke_lease", {}, [&]() -> Result<LeaseId> {
        Expire(lease);
        return lease;
      });
    };
    store.watch = [this](std::string_view prefix, Revision after, Millis) {
      return Watch(prefix, after);
    };
    return store;
  }

  /// @brief Ends a lease, as if it had not been renewed.
  void Expire(LeaseId lease) {
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, holder] : m_lease_of) {
      if (holder == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
  }

 private:
  struct Change {
    Entry entry;
    bool deleted = false;
  };

  MockFault Begin(std::string_view call, std::string_view key) {
    ++calls[std::string(call)];
    if (before) {
      before(call, key);
    }
    return fault ? fault(call, key) : MockFault::kNone;
  }

  /// Starts a read; returns whether it succeeds. Any fault makes a read fail
  /// with kStoreUnavailable.
  bool BeginRead(std::string_view call, std::string_view key) {
    return Begin(call, key) == MockFault::kNone;
  }

  template <class Value, class Function>
  Result<Value> Run(std::string_view call, std::string_view key,
                    Function function) {
    switch (Begin(call, key)) {
      case MockFault::kUnavailable:
        return Fail(ErrorKind::kStoreUnavailable, "mock store is unavailable");
      case MockFault::kLostRequest:
        return Fail(ErrorKind::kStoreUnknown, "mock store lost the request");
      case MockFault::kLostAnswer:
        static_cast<void>(Capture(function));
        return Fail(ErrorKind::kStoreUnknown, "mock store lost the answer");
      case MockFault::kNone:
        break;
    }
    return function();
  }

  Result<std::optional<Entry>> Get(std::string_view key) {
    if (!BeginRead("get", key)) {
      return Fail(ErrorKind::kStoreUnavailable, "mock store is unavailable");
    }
    const auto found = entries.find(std::string(key));
    return found == entries.end() ? std::optional<Entry>()
                                  : std::optional<Entry>(found->second);
  }

  Result<std::vector<Entry>> List(std::string_view prefix) {
    if (!BeginRead("list", prefix)) {
      return Fail(ErrorKind::kStoreUnavailable, "mock store is unavailable");
    }
    std::vector<Entry> found;
    for (const auto& [key, entry] : entries) {
      if (key.starts_with(prefix)) {
        found.push_back(entry);
      }
    }
    return found;
  }

  Result<WatchBatch> Watch(std::string_view prefix, Revision after) {
    if (!BeginRead("watch", prefix)) {
      return Fail(ErrorKind::kStoreUnavailable, "mock store is unavailable");
    }
    WatchBatch batch;
    batch.revision = m_revision;
    for (const Change& change : m_changes) {
      if (change.entry.revision > after &&
          change.entry.key.starts_with(prefix)) {
        (change.deleted ? batch.deletes : batch.puts).push_back(change.entry);
      }
    }
    return batch;
  }

  Result<Revision> Put(std::string_view key, std::string_view value,
                       Revision expected, LeaseId lease) {
    const std::string name(key);
    const auto found = entries.find(name);
    const Revision present =
        found == entries.end() ? kAbsent : found->second.revision;
    if (present != expected ||
        (lease != kNoLease && !m_leases.contains(lease))) {
      return Fail(ErrorKind::kStoreConflict, "mock store: compare failed");
    }
    largest_value = std::max(largest_value, value.size());
    bytes_written += value.size();
    const Entry entry{name, std::string(value), ++m_revision};
    entries[name] = entry;
    m_changes.push_back({entry, false});
    m_lease_of.erase(name);
    if (lease != kNoLease) {
      m_lease_of[name] = lease;
    }
    return m_revision;
  }

  Result<Revision> Erase(std::string_view key, Revision expected) {
    const auto found = entries.find(std::string(key));
    if (found == entries.end() || found->second.revision != expected) {
      return Fail(ErrorKind::kStoreConflict, "mock store: compare failed");
    }
    Remove(std::string(key));
    return m_revision;
  }

  Result<LeaseId> KeepAlive(LeaseId lease) {
    if (!m_leases.contains(lease)) {
      return Fail(ErrorKind::kNotFound, "mock store: lease has ended");
    }
    return lease;
  }

  void Remove(const std::string& key) {
    entries.erase(key);
    m_lease_of.erase(key);
    m_changes.push_back({{key, {}, ++m_revision}, true});
  }

  Revision m_revision = 0;
  LeaseId m_last_lease = 0;
  std::set<LeaseId> m_leases;
  std::map<std::string, LeaseId> m_lease_of;
  std::vector<Change> m_changes;
};

}  // namespace buckthornmux::store
