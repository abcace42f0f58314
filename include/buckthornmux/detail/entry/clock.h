/// The clock of an entry host's loop.
#pragma once

#include <ctime>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// @brief Time of this process that goes on while the machine is suspended, so
///   that leases are never believed longer than they are.
[[nodiscard]] inline Time Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr std::int64_t kMillisPerSecond = 1000;
  constexpr std::int64_t kNanosPerMilli = 1'000'000;
  return Time(
      Millis(now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli));
}

/// @brief Wall clock minus Now(), ms.
[[nodiscard]] inline WallMillis WallOffset() {
  const auto wall = std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
  return wall.count() - Now().time_since_epoch().count();
}

}  // namespace buckthornmux::entry
