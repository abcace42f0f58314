/// Moving measurements of a cell's load.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::cell {

/// Amounts of the last seconds, in buckets of equal length.
struct RateGauge {
  static constexpr Millis kBucket{100};
  static constexpr std::int64_t kBuckets = 40;
  std::array<std::int64_t, std::size_t{kBuckets}> amounts{};
  std::int64_t last = 0;  ///< Number of the latest bucket since the epoch.
  std::int64_t total = 0;
};

/// @brief Adds an amount to the current bucket.
void AddAmount(RateGauge& gauge, std::int64_t amount, Time now);

/// @brief Drops the buckets that are too old.
void AdvanceTo(RateGauge& gauge, Time now);

/// @brief Mean amount per second over all buckets.
[[nodiscard]] std::int64_t PerSecond(const RateGauge& gauge);

/// @brief Largest amount within any `length` of the buckets.
[[nodiscard]] std::int64_t PeakWithin(const RateGauge& gauge, Millis length);

/// Declared work of waiting tasks: their processor times their estimated run
/// time, in millicore-milliseconds.
struct WaitingWork {
  /// Priorities from this one on are counted together.
  static constexpr std::size_t kPriorities = 10;
  /// Of jobs within their team's share that can still be of use, by priority.
  std::array<std::int64_t, kPriorities> within{};
  /// Of jobs beyond their team's share.
  std::array<std::int64_t, kPriorities> excess{};
};

/// Arrivals of urgent jobs.
struct UrgentArrivals {
  RateGauge cpu;           ///< Demand of all their tasks, in millicores.
  double task_cpu = 0;     ///< Of one task, in millicores, smoothed.
  double estimate_ms = 0;  ///< Declared run time of the longest task, smoothed.
  double slack_ms = 0;     ///< Objective less the declared run time, smoothed.
  Time last;               ///< When the latest one arrived; unset if none has.
};

/// @brief Notes an urgent job.
/// @param cpu demand of all its tasks, in millicores
/// @param tasks number of its tasks
/// @param objective time from its arrival in which it should end
/// @param chain declared run time of its critical path
void NoteUrgentArrival(UrgentArrivals& arrivals, std::int64_t cpu,
                       std::int64_t tasks, Millis objective, Millis chain,
                       Time now);

}  // namespace buckthornmux::cell
