/// Which waiting steps may query the adviser in a full cell.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace buckthornmux::cell {

/// Room that tickets can still be used for, and the part of it that steps with
/// tickets or open queries will use. Amounts are in millicores.
struct AdviceLimit {
  bool on = false;
  std::int64_t usable = 0;
  std::int64_t covered = 0;
};

/// @brief Sets the limit for a planning round.
/// @param free processor that work that isn't urgent may use now
/// @param freed_per_second processor that ending runs release
/// @param ticket_seconds how long a ticket is valid
[[nodiscard]] inline AdviceLimit MakeAdviceLimit(std::int64_t free,
                                                 std::int64_t freed_per_second,
                                                 double ticket_seconds) {
  /// Each step is allowed on some targets only, so that room on the others is
  /// left unless more work has tickets than can start.
  constexpr std::int64_t kCoverage = 2;
  const auto freed = static_cast<std::int64_t>(
      static_cast<double>(freed_per_second) * ticket_seconds);
  return {true, kCoverage * (std::max<std::int64_t>(0, free) + freed), 0};
}

/// @brief Whether the next step in planning order may query the adviser.
[[nodiscard]] inline bool MayAsk(const AdviceLimit& limit, bool urgent) {
  return !limit.on || urgent || limit.covered < limit.usable;
}

/// @brief Lanes that long calls leave to those of urgent steps.
/// @param work adviser time of urgent calls, in seconds a second
/// @param least number of lanes that are left in any case
[[nodiscard]] inline std::ptrdiff_t LanesForUrgent(double work,
                                                   std::ptrdiff_t lanes,
                                                   std::ptrdiff_t least) {
  /// Calls come unevenly.
  constexpr double kSpare = 1.5;
  constexpr std::ptrdiff_t kMaxPart = 3;
  const auto wanted = static_cast<std::ptrdiff_t>(std::ceil(work * kSpare));
  return std::max(least, std::min(wanted, lanes / kMaxPart));
}

}  // namespace buckthornmux::cell
