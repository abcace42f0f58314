/// Capacity of a host as the owner of a cell.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "buckthornmux/detail/entry/settings.h"
#include "buckthornmux/detail/member/rendezvous.h"

namespace buckthornmux::entry {

/// Link rate that an owner of 350 targets needs for each core that it uses, in
/// Mbit/s: 24 on average, and twice that at the peak.
inline constexpr double kPeakMbpsPerCore = 2 * 24;

/// What the traffic of a cell needs of its owner at the peak. The default holds
/// until the traffic has been measured.
struct HostNeed {
  double cores = 1;
  double link_mbps = kPeakMbpsPerCore;
};

/// @brief Returns the weight of a host in thousandths of a core: its processor
///   share, or the part of it that its network link can keep busy if the cell
///   needs processor and link in the ratio of `need`. 0 if neither is
///   configured.
[[nodiscard]] inline std::uint32_t WeightOf(const HostCapacity& capacity,
                                            const HostNeed& need = {}) {
  constexpr double kMilli = 1000;
  const double processor = capacity.cores * kMilli;
  const double link = need.link_mbps > 0 ? capacity.link_mbps * kMilli *
                                               need.cores / need.link_mbps
                                         : 0;
  const double weight = processor > 0 && link > 0 ? std::min(processor, link)
                                                  : std::max(processor, link);
  return static_cast<std::uint32_t>(weight);
}

/// @brief Returns the weight in the record of a host; 0 if there is none.
[[nodiscard]] inline std::uint32_t WeightIn(
    std::span<const member::Member> members, const HostId& host) {
  const auto found = std::ranges::find(members, host, &member::Member::id);
  return found == members.end() ? 0 : found->weight;
}

/// @brief Lists the hosts that can take a range over, the one with the highest
///   weight first. Unlike a host that claims a free range, the successor in an
///   immediate hand-over gets all traffic of the cell and its backlog at once.
///   Hosts of equal weight are in the order of member::OwnersInOrder, so all
///   processes with the same members choose the same host.
/// @param usable whether a host is reachable and may own the range
[[nodiscard]] inline std::vector<HostId> SuccessorsInOrder(
    const std::string& range, std::span<const member::Member> members,
    const std::function<bool(const HostId&)>& usable) {
  std::vector<HostId> hosts = member::OwnersInOrder(range, members);
  std::erase_if(hosts, [&](const HostId& host) { return !usable(host); });
  std::ranges::stable_sort(
      hosts, std::ranges::greater{},
      [&](const HostId& host) { return WeightIn(members, host); });
  return hosts;
}

}  // namespace buckthornmux::entry
