/// Estimates how fast targets are, from run times of tasks of the same step on
/// different targets. Declared estimates are off by a factor of ten and more,
/// so that run times of different steps can't be compared.
#pragma once

#include <span>

#include "buckthornmux/detail/cell/target_speed.h"
#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::cell {

/// Run time of a task of the same step on another target.
struct SpeedPeer {
  TargetSpeed* speed = nullptr;
  Millis run_time{0};
};

/// @brief Notes the duration of a complete run, for its target and for those
///   that it is compared with; otherwise fast targets, whose tasks end first,
///   would have no comparison.
/// @param peers other targets; without any, the run time tells nothing
void AddRunTime(TargetSpeed& target, Millis run_time,
                std::span<const SpeedPeer> peers, Time now);

/// @brief Logarithm of the run time that a task would have at the usual speed,
///   as far as that of its target is known.
[[nodiscard]] double LogTimeAtUsualSpeed(const TargetSpeed& target,
                                         Millis run_time);

/// @brief Run time of a target relative to the others, within 0.25 to 4. Is 1
///   unless the evidence for a difference exceeds what chance explains.
[[nodiscard]] double RelativeRunTime(const TargetSpeed& target, Time now);

/// @brief Whether enough targets of a cell differ for it to matter.
/// @param run_times of all targets, as RelativeRunTime gives them
[[nodiscard]] bool DoSpeedsDiffer(std::span<const double> run_times);

/// @brief Run time to expect of a target now.
/// @param run_time as RelativeRunTime gives it, from complete runs
/// @param slowness from the progress of present runs, which shows first that a
///   target has turned slow, but is noisy
[[nodiscard]] double ExpectedRunTime(double run_time, double slowness);

}  // namespace buckthornmux::cell
