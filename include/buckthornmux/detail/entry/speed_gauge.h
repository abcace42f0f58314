/// How fast this machine works, against how fast it did.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>

namespace buckthornmux::entry {

/// @brief Compares the time of a fixed piece of work with the best seen.
///
/// A host that has much to do is late and still as fast as ever; one whose
/// machine has turned slow takes longer for the same work.
class SpeedGauge {
 public:
  using Nanos = std::chrono::nanoseconds;

  /// @brief Takes in how long the piece of work took.
  void Add(Nanos took) {
    m_recent[m_next++ % m_recent.size()] = took;
    if (m_next >= m_recent.size()) {
      const Nanos typical = Typical();
      m_best = m_best == Nanos(0) ? typical : std::min(m_best, typical);
    }
  }
  /// @brief Median of the last measurements; one of them may have been
  ///   interrupted.
  [[nodiscard]] Nanos Typical() const {
    auto sorted = m_recent;
    std::ranges::sort(sorted);
    return sorted[sorted.size() / 2];
  }
  /// @brief Best such median so far; 0 before there are enough.
  [[nodiscard]] Nanos Best() const { return m_best; }
  /// @brief How many times longer the work takes than at best; 1 while that is
  ///   not known.
  [[nodiscard]] double Slowdown() const {
    return m_best > Nanos(0) ? static_cast<double>(Typical().count()) /
                                   static_cast<double>(m_best.count())
                             : 1;
  }
  /// @brief Whether the machine works much slower than it did.
  [[nodiscard]] bool Slowed() const { return Slowdown() >= kSlowed; }

 private:
  /// Up to 1.35 was seen on busy machines in order, 8 and more on slow ones.
  static constexpr double kSlowed = 2;
  static constexpr std::size_t kKept = 5;
  std::array<Nanos, kKept> m_recent{};
  std::size_t m_next = 0;
  Nanos m_best{0};
};

/// @brief Runs the piece of work.
/// @return how long it took, on the steady clock
[[nodiscard]] SpeedGauge::Nanos TimeWork();

}  // namespace buckthornmux::entry
