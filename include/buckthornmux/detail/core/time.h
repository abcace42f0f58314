/// Time types: steady time for decisions, wall time for stored and sent values.
#pragma once

#include <chrono>
#include <cstdint>

namespace buckthornmux {

/// Duration in milliseconds, the unit of all settings and messages.
using Millis = std::chrono::milliseconds;

/// Monotonic time of this process. CAF's actor clock has the same epoch, so
/// tests that advance that clock also advance the decisions. It is never stored
/// or sent to another process.
using Time = std::chrono::time_point<std::chrono::steady_clock, Millis>;

/// Milliseconds since the Unix epoch, the only form of time that is stored or
/// sent.
using WallMillis = std::int64_t;

/// @brief Simultaneous readings of both clocks, to convert between them.
/// @see Time, WallMillis
struct ClockAnchor {
  Time steady;
  WallMillis wall = 0;

  /// @brief Converts steady time to wall time.
  /// @param time steady time of this process
  /// @return milliseconds since the Unix epoch
  [[nodiscard]] WallMillis ToWall(Time time) const {
    return wall + (time - steady).count();
  }

  /// @brief Converts wall time to steady time of this process.
  /// @param millis milliseconds since the Unix epoch
  /// @return steady time
  [[nodiscard]] Time ToSteady(WallMillis millis) const {
    return steady + Millis(millis - wall);
  }
};

}  // namespace buckthornmux
