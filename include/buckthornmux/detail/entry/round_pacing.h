/// Intervals between the rounds of planning and writing.
#pragma once

#include <algorithm>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// Events within this interval share one round of planning and one write.
inline constexpr Millis kRoundInterval{8};
/// A round begins no earlier than this many times its predecessor's duration
/// after that one began, so that a slow host has time left for calls.
inline constexpr int kRoundPacing = 2;
/// Upper bound of the interval: a host may have been paused during a round.
inline constexpr Millis kMaxRoundInterval{400};

/// @brief Returns how long to wait until the next round may begin.
/// @param took duration of the last round
/// @param since time since the last round began
[[nodiscard]] inline Millis DelayOfNextRound(Millis took, Millis since) {
  const Millis interval =
      std::clamp(kRoundPacing * took, kRoundInterval, kMaxRoundInterval);
  return std::max(Millis(0), interval - since);
}

}  // namespace buckthornmux::entry
