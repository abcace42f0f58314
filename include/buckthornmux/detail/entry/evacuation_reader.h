/// Reads which data centres operators want to be evacuated.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/core/types.h"
#include "buckthornmux/detail/entry/calls.h"
#include "buckthornmux/detail/store/async_store.h"

namespace buckthornmux::entry {

/// Decodes the key of an evacuation request.
using EvacuationParser =
    std::function<Result<DataCentre>(std::string_view key)>;

/// Maximum number of unreadable keys that are remembered and logged one by one.
inline constexpr std::size_t kMaxUnreadableEvacuations = 256;

/// @brief Lists the requests at a fixed interval and watches them, while this
///   host owns the cell or another host has asked for them.
///
/// Each list is complete. The last one stays in force if the store fails.
class EvacuationReader {
 public:
  /// Gets each list that was confirmed while active.
  using Listed = std::function<void(const std::vector<DataCentre>&)>;

  EvacuationReader(const store::AsyncStore& store, std::string prefix,
                   EvacuationParser parse, Listed listed);

  /// @brief Starts or stops the reading. After a start, only lists that are
  ///   confirmed later are passed on, since the former owner may have known a
  ///   later list than this host.
  void SetActive(bool active, Time now);
  /// @brief Also reads until this time although inactive.
  void ReadUntil(Time until);
  void Tick(Time now);

  /// @brief Latest list; empty before the first one.
  [[nodiscard]] const EvacuationList& Current() const { return m_current; }
  /// @brief Time at which `Current` was certainly the latest; empty before the
  ///   first list.
  [[nodiscard]] std::optional<Time> ConfirmedAt() const {
    return m_confirmed_at;
  }
  [[nodiscard]] bool Active() const { return m_active; }

  /// @brief Takes a list that another host has read, unless an equally recent
  ///   or a later one is known.
  void AdoptRemote(const EvacuationList& list, Time confirmed_at);

 private:
  /// What the pages of one list have shown so far.
  struct Reading {
    Time began;
    EvacuationList list;
    std::set<std::string> unreadable;
  };

  void Read(const std::string& after, Reading reading);
  void ParseKey(const std::string& key, Reading& reading);
  void Fail(const Error& error);
  void Finish(Reading reading);
  void Take(EvacuationList list, Time confirmed_at);
  void Watch();
  void LogWait(Time now);
  [[nodiscard]] bool Wanted() const { return m_active || m_now < m_read_until; }
  /// Whether a list was passed on since the reading was started.
  [[nodiscard]] bool Known() const {
    return m_confirmed_at && *m_confirmed_at >= m_active_since;
  }

  const store::AsyncStore& m_store;
  std::string m_prefix;
  EvacuationParser m_parse;
  Listed m_listed;
  bool m_active = false;
  Time m_active_since;
  Time m_read_until;
  Time m_now;  ///< Of the latest tick.
  bool m_reading = false;
  Time m_next;
  bool m_watching = false;
  Time m_watch_at;
  Time m_wait_logged;
  bool m_store_healthy = true;
  std::set<std::string> m_unreadable;  ///< At most kMaxUnreadableEvacuations.
  EvacuationList m_current;
  std::optional<Time> m_confirmed_at;
};

}  // namespace buckthornmux::entry
