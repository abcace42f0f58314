/// Clocks: steady time for decisions, wall time for what must last.
#pragma once

#include <chrono>
#include <cstdint>

namespace buckthornmux {

/// Span of time in milliseconds, the unit of every setting and message.
using Millis = std::chrono::milliseconds;

/// Monotonic time of this process. CAF's actor clock has the same epoch, so
/// tests that advance that clock advance the decisions too. Never leaves the
/// process.
using Time = std::chrono::time_point<std::chrono::steady_clock, Millis>;

/// Milliseconds since the Unix epoch: the only time that is stored or sent.
using WallMillis = std::int64_t;

/// @brief Pairs one reading of both clocks, to convert between them.
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
