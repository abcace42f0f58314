/// What a host can carry as the owner of a cell.
#pragma once

#include <algorithm>
#include <cstdint>

#include "buckthornmux/detail/entry/settings.h"

namespace buckthornmux::entry {

/// @brief Weight of a host, in thousandths of a core: its processor, or as much
///   of it as its link can feed. 0 where neither is stated.
[[nodiscard]] inline std::uint32_t WeightOf(const HostCapacity& capacity) {
  constexpr double kMilli = 1000;
  /// An owner of 350 targets moves about 24 Mbit/s for each core it uses.
  constexpr double kMilliPerMbps = 42;
  const double processor = capacity.cores * kMilli;
  const double link = capacity.link_mbps * kMilliPerMbps;
  const double weight = processor > 0 && link > 0 ? std::min(processor, link)
                                                  : std::max(processor, link);
  return static_cast<std::uint32_t>(weight);
}

}  // namespace buckthornmux::entry
