/// Lets a host that the store rejects go on by what other hosts read.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "buckthornmux/detail/entry/calls.h"
#include "buckthornmux/detail/entry/rules_reader.h"
#include "buckthornmux/detail/entry/store_gauge.h"

namespace buckthornmux::entry {

/// What the relay needs of the process around it.
struct StoreRelayLinks {
  /// Hosts that can be spoken to, those first that could own the cell.
  std::function<std::vector<HostId>()> peers;
  std::function<void(const HostId& to, const StoreQuery& ask)> ask;
  std::function<void(const HostId& to, const StoreStatus& status)> tell;
  /// The owner as this host has read it; nothing where none is registered.
  std::function<std::optional<member::OwnerRecord>()> owner;
  std::function<void(const member::OwnerRecord& record)> owner_heard;
  /// Whether this host would take the cell over.
  std::function<bool()> may_own;
  /// The store serves that host, which would own the cell, and not this one.
  std::function<void(const HostId& to)> served_there;
};

/// @brief Asks other hosts while the store does not serve this one, and answers
///   theirs.
///
/// A key or an owner that another host has read is as good as one read here, at
/// the age that the other one tells: the age counts from before the question
/// left, so no clock but this host's own is trusted.
class StoreRelay {
 public:
  /// @param gauge of this host's calls to the store
  StoreRelay(RulesReader& rules, const StoreGauge& gauge,
             StoreRelayLinks links);

  void Tick(Time now);
  void Take(const HostId& from, const StoreQuery& query, Time now);
  void Take(const HostId& from, const StoreStatus& status, Time now);

  /// @brief Whether a lost owner is about to be replaced: somebody reaches the
  ///   store.
  [[nodiscard]] bool OwnerExpected(Time now) const;

  /// @brief Whether the store rejects this host and serves others.
  [[nodiscard]] bool StoreServesOthers(Time now) const;

 private:
  RulesReader& m_rules;
  const StoreGauge& m_gauge;
  StoreRelayLinks m_links;
  std::optional<Time> m_trouble;         ///< Since when, as of the last tick.
  std::map<std::uint64_t, Time> m_asks;  ///< Open questions: when they left.
  std::uint64_t m_next_ask = 1;
  std::size_t m_next_peer = 0;
  Time m_ask_at;
  Time m_others_served;  ///< Start of a call that the store answered elsewhere.
};

}  // namespace buckthornmux::entry
