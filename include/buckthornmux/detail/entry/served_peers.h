/// Choice of the host that gets the cell when the store rejects its owner.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <span>

#include "buckthornmux/detail/entry/fitness.h"

namespace buckthornmux::entry {

/// Hosts that the store serves and that would claim the cell, with the time of
/// their last report.
using ServedPeers = std::map<HostId, Time>;

/// How long the owner waits for the report of a better host. Covers one round
/// of queries.
inline constexpr Millis kBetterPeerWait{100};
/// Reports that are older are dropped, since the store may have failed for that
/// host as well.
inline constexpr Millis kServedReportTimeout{450};

/// @brief Chooses the host to which an owner that the store rejects hands over.
/// @param peers reports; outdated ones are erased
/// @param successors reachable hosts that may own the cell, the best one first
/// @param members give the hosts' weights
/// @return a successor with the highest weight if it has reported, otherwise
///   after kBetterPeerWait the best one that has; nothing while none with at
///   least half of the highest weight has
[[nodiscard]] inline std::optional<HostId> ChooseServedPeer(
    ServedPeers& peers, std::span<const HostId> successors,
    std::span<const member::Member> members, Time now) {
  std::erase_if(peers, [&](const auto& peer) {
    return now - peer.second > kServedReportTimeout;
  });
  const auto best = std::ranges::find_if(
      successors, [&](const HostId& host) { return peers.contains(host); });
  if (best == successors.end()) {
    return std::nullopt;
  }
  const std::uint32_t weight = WeightIn(members, *best);
  const std::uint32_t highest = WeightIn(members, successors.front());
  const bool waited = std::ranges::any_of(peers, [&](const auto& peer) {
    return now - peer.second >= kBetterPeerWait;
  });
  const bool fit = !member::HasInsufficientWeight(weight, highest);
  return weight == highest || (waited && fit) ? std::optional(*best)
                                              : std::nullopt;
}

}  // namespace buckthornmux::entry
