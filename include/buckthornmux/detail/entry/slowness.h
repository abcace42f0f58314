/// Detects that this host's event loop runs late.
#pragma once

#include <algorithm>
#include <map>

#include "buckthornmux/detail/core/time.h"
#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::entry {

/// Hosts that handed the cell over because they were slow, and when.
using SlowOwners = std::map<HostId, Time>;

/// Slowness of two owners within this time has the same cause.
inline constexpr Millis kSlowOwnerMemory{5000};

/// @brief Whether an owner is slow because of the cell: its predecessor was
///   slow too, so the next owner would be as well.
[[nodiscard]] inline bool SlownessFollowsCell(const SlowOwners& slow,
                                              const HostId& self, Time now) {
  return std::ranges::any_of(slow, [&](const auto& entry) {
    return entry.first != self && now - entry.second < kSlowOwnerMemory;
  });
}

/// @brief Decides from the lateness of ticks whether this host is too slow to
///   own a cell. A machine can become slow and still renew its lease in the
///   store.
class SlownessGauge {
 public:
  /// @brief Adds the lateness of one tick.
  void Add(Millis late) {
    const auto counted = static_cast<double>(
        std::clamp(late, Millis(0), kMaxCountedLateness).count());
    m_late_ms += kSmoothingFactor * (counted - m_late_ms);
  }
  [[nodiscard]] bool Slow() const { return m_late_ms > kMinSlowLatenessMs; }
  [[nodiscard]] bool Healthy() const {
    return m_late_ms < kMaxHealthyLatenessMs;
  }
  [[nodiscard]] Millis Late() const {
    return Millis(static_cast<std::int64_t>(m_late_ms));
  }

 private:
  static constexpr double kSmoothingFactor = 0.15;  ///< Per tick of 50 ms.
  /// Caps the lateness of one tick: a single long pause, such as for reading a
  /// cell's records, does not make the host slow.
  static constexpr Millis kMaxCountedLateness{25};
  /// Mean lateness in ms. It is below 1 on a healthy machine, and 13 or more on
  /// one that became five times slower.
  static constexpr double kMinSlowLatenessMs = 9;
  static constexpr double kMaxHealthyLatenessMs = 4;
  double m_late_ms = 0;
};

}  // namespace buckthornmux::entry
