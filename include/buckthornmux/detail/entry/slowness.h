/// Whether this host keeps up with its own loop.
#pragma once

#include <algorithm>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// @brief Tells from late ticks whether this host is too slow to decide for
///   all. A machine can turn slow while it still answers the store.
class SlownessGauge {
 public:
  /// @brief Takes in how late a tick came.
  void Add(Millis late) {
    const auto counted =
        static_cast<double>(std::clamp(late, Millis(0), kMostCounted).count());
    m_late_ms += kWeight * (counted - m_late_ms);
  }
  [[nodiscard]] bool Slow() const { return m_late_ms > kSlowAbove; }
  [[nodiscard]] bool Well() const { return m_late_ms < kWellBelow; }
  [[nodiscard]] Millis Late() const {
    return Millis(static_cast<std::int64_t>(m_late_ms));
  }

 private:
  static constexpr double kWeight = 0.15;  ///< Of one tick of 50 ms.
  /// One long pause, as for reading a cell's records, is not slowness.
  static constexpr Millis kMostCounted{25};
  /// Mean lateness, ms: below 1 on a machine in order, 13 and more on one that
  /// is five times slower than it was.
  static constexpr double kSlowAbove = 9;
  static constexpr double kWellBelow = 4;
  double m_late_ms = 0;
};

}  // namespace buckthornmux::entry
