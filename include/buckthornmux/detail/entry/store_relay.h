/// Lets a host that the store rejects continue with data that other hosts read.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "buckthornmux/detail/entry/calls.h"
#include "buckthornmux/detail/entry/rules_reader.h"
#include "buckthornmux/detail/entry/store_gauge.h"

namespace buckthornmux::entry {

/// Functions of the surrounding process that StoreRelay uses.
struct StoreRelayLinks {
  /// Reachable hosts; those that could own the cell come first.
  std::function<std::vector<HostId>()> peers;
  std::function<void(const HostId& to, const StoreQuery& ask)> send_query;
  std::function<void(const HostId& to, const StoreStatus& status)> send_status;
  /// The owner that this host last read; nothing if none is registered.
  std::function<std::optional<member::OwnerRecord>()> owner;
  std::function<void(const member::OwnerRecord& record)> owner_reported;
  /// Whether this host would claim the cell.
  std::function<bool()> may_own;
  /// Called if the store serves `to`, which would claim the cell, but not this
  /// host. Not called in an outage of the store that affects all hosts.
  std::function<void(const HostId& to)> store_serves_peer;
};

/// @brief Queries other hosts while the store does not serve this one, and
///   answers their queries.
///
/// Data that another host has read is as valid as data read here, given the age
/// that the other host reports. The age is counted back from the time when the
/// query was sent, so only this host's clock is trusted.
class StoreRelay {
 public:
  /// @param gauge records this host's calls to the store
  StoreRelay(RulesReader& rules, const StoreGauge& gauge,
             StoreRelayLinks links);

  void Tick(Time now);
  void HandleQuery(const HostId& from, const StoreQuery& query, Time now);
  void HandleStatus(const HostId& from, const StoreStatus& status, Time now);

  /// @brief Whether a lost owner will be replaced soon, since some host reaches
  ///   the store.
  [[nodiscard]] bool OwnerExpected(Time now) const;

  /// @brief Whether the store rejects this host and serves others.
  [[nodiscard]] bool StoreServesOthers(Time now) const;

 private:
  void QuerySome(std::span<const HostId> hosts, std::size_t count,
                 std::size_t& next, Time now);

  RulesReader& m_rules;
  const StoreGauge& m_gauge;
  StoreRelayLinks m_links;
  std::optional<Time> m_failing_since;   ///< FailingSince at the last tick.
  std::map<std::uint64_t, Time> m_asks;  ///< Open queries and their send times.
  std::uint64_t m_next_ask = 1;
  std::size_t m_next_preferred = 0;
  std::size_t m_next_other = 0;
  Time m_ask_at;  ///< When the next round of queries is sent.
  /// Start of the latest call that the store answered for another host.
  Time m_others_served_at;
};

}  // namespace buckthornmux::entry
