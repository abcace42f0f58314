/// Capacity of a host as the owner of a cell.
#pragma once

#include <algorithm>
#include <cstdint>

#include "buckthornmux/detail/entry/settings.h"

namespace buckthornmux::entry {

/// @brief Returns the weight of a host in thousandths of a core: its processor
///   share, or the part of it that its network link can keep busy. 0 if neither
///   is configured.
[[nodiscard]] inline std::uint32_t WeightOf(const HostCapacity& capacity) {
  constexpr double kMilli = 1000;
  /// An owner of 350 targets transfers about 24 Mbit/s per core that it uses,
  /// so each Mbit/s keeps 42 thousandths of a core busy.
  constexpr double kMilliPerMbps = 42;
  const double processor = capacity.cores * kMilli;
  const double link = capacity.link_mbps * kMilliPerMbps;
  const double weight = processor > 0 && link > 0 ? std::min(processor, link)
                                                  : std::max(processor, link);
  return static_cast<std::uint32_t>(weight);
}

}  // namespace buckthornmux::entry
