/// Longest of the durations that were measured lately.
#pragma once

#include <algorithm>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::entry {

/// @brief Keeps the longest duration of the last one to two kPeriod.
class RecentPeak {
 public:
  static constexpr Millis kPeriod{5000};

  void Add(Millis took, Time now) {
    if (now - m_began >= kPeriod) {
      m_former = now - m_began < 2 * kPeriod ? m_current : Millis(0);
      m_current = Millis(0);
      m_began = now;
    }
    m_current = std::max(m_current, took);
  }

  /// @brief The longest duration; 0 if none was added lately.
  [[nodiscard]] Millis Longest(Time now) const {
    const Millis age = now - m_began;
    if (age >= 2 * kPeriod) {
      return Millis(0);
    }
    return age >= kPeriod ? m_current : std::max(m_current, m_former);
  }

 private:
  Time m_began;
  Millis m_current{0};
  Millis m_former{0};
};

}  // namespace buckthornmux::entry
