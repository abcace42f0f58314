/// Clock of an entry host's event loop.
#pragma once

#include <ctime>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// @brief Monotonic time that includes suspends of the machine, so that a lease
///   is never considered valid after it has expired.
[[nodiscard]] inline Time Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  constexpr std::int64_t kMillisPerSecond = 1000;
  constexpr std::int64_t kNanosPerMilli = 1'000'000;
  return Time(
      Millis(now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli));
}

/// @brief Wall clock minus Now(), in milliseconds.
[[nodiscard]] inline WallMillis WallOffset() {
  const auto wall = std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
  return wall.count() - Now().time_since_epoch().count();
}

}  // namespace buckthornmux::entry
