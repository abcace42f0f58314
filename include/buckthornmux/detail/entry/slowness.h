/// Whether this host keeps up with its own loop.
#pragma once

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// @brief Tells from late ticks whether this host is too slow to decide for
///   all. A machine can turn slow while it still answers the store.
class SlownessGauge {
 public:
  /// @brief Takes in how late a tick came.
  void Add(Millis late) {
    m_late_ms += kWeight * (static_cast<double>(late.count()) - m_late_ms);
  }
  [[nodiscard]] bool Slow() const { return m_late_ms > kSlowAbove; }
  [[nodiscard]] bool Well() const { return m_late_ms < kWellBelow; }
  [[nodiscard]] Millis Late() const {
    return Millis(static_cast<std::int64_t>(m_late_ms));
  }

 private:
  static constexpr double kWeight = 0.15;   ///< Of one tick of 50 ms.
  static constexpr double kSlowAbove = 25;  ///< Mean lateness, ms.
  static constexpr double kWellBelow = 15;
  double m_late_ms = 0;
};

}  // namespace buckthornmux::entry
