/// Measures how fast this machine runs compared to its best.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>

namespace buckthornmux::entry {

/// @brief Compares the duration of a fixed computation with the best one seen.
///
/// A busy host runs late but computes at its usual speed. A host whose machine
/// became slow takes longer for the same computation.
class SpeedGauge {
 public:
  using Nanos = std::chrono::nanoseconds;

  /// @brief Adds the duration of one run of the computation.
  void Add(Nanos took) {
    m_recent[m_next++ % m_recent.size()] = took;
    if (m_next >= m_recent.size()) {
      const Nanos typical = Typical();
      m_best = m_best == Nanos(0) ? typical : std::min(m_best, typical);
    }
  }
  /// @brief Median of the last measurements. A median, since single
  ///   measurements may have been interrupted.
  [[nodiscard]] Nanos Typical() const {
    auto sorted = m_recent;
    std::ranges::sort(sorted);
    return sorted[sorted.size() / 2];
  }
  /// @brief Lowest median so far; 0 until there are enough measurements.
  [[nodiscard]] Nanos Best() const { return m_best; }
  /// @brief Ratio of Typical() to Best(); 1 until Best() is known.
  [[nodiscard]] double Slowdown() const {
    return m_best > Nanos(0) ? static_cast<double>(Typical().count()) /
                                   static_cast<double>(m_best.count())
                             : 1;
  }
  /// @brief Whether the machine is much slower than at its best.
  [[nodiscard]] bool Slowed() const { return Slowdown() >= kMinSlowdown; }

 private:
  /// Slowdown reaches 1.35 on healthy but busy machines, and 8 or more on slow
  /// ones.
  static constexpr double kMinSlowdown = 2;
  static constexpr std::size_t kSampleCount = 5;
  std::array<Nanos, kSampleCount> m_recent{};
  std::size_t m_next = 0;
  Nanos m_best{0};
};

/// @brief Runs the computation that SpeedGauge compares.
/// @return its duration on the steady clock
[[nodiscard]] SpeedGauge::Nanos MeasureReferenceWork();

}  // namespace buckthornmux::entry
