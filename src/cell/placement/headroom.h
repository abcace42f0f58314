/// Room that is kept free for urgent work, and whether a cell needs that.
#pragma once

#include <cstdint>

#include "buckthornmux/detail/cell/gauges.h"

namespace buckthornmux::cell {

/// @brief Whether room for urgent work must be free before it arrives: a stop
///   takes longer than urgent jobs may wait. Headroom, the limit on advice and
///   admission by completion time apply only then.
[[nodiscard]] bool OverloadControlOn(Millis stop_time,
                                     const UrgentArrivals& arrivals);

/// @brief Processor to keep free for urgent arrivals, in millicores. 0 if no
///   urgent job has arrived lately.
/// @param capacity of the targets that accept work, in millicores
[[nodiscard]] std::int64_t HeadroomFor(const UrgentArrivals& arrivals,
                                       std::int64_t capacity, Time now);

/// @brief Part of a target's free processor that urgent tasks can use: whole
///   tasks only.
[[nodiscard]] inline std::int64_t UsableByUrgent(std::int64_t free,
                                                 std::int64_t task_cpu) {
  return free <= 0 || task_cpu <= 0 ? 0 : free / task_cpu * task_cpu;
}

/// @brief Usable headroom that a start takes away from a target.
[[nodiscard]] inline std::int64_t HeadroomTaken(std::int64_t free,
                                                std::int64_t demand,
                                                std::int64_t task_cpu) {
  return UsableByUrgent(free, task_cpu) -
         UsableByUrgent(free - demand, task_cpu);
}

}  // namespace buckthornmux::cell
