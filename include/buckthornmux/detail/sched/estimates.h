/// Run-time estimates from history, and the capacity reserved for urgent work.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Estimates the run time of a task. Uses the history of its team and
///   kind where there is enough, since declared run times are often far off.
/// @return mean plus mean deviation, which most runs do not exceed
[[nodiscard]] Millis EstimatedRun(const ShardState& state,
                                  const TaskSpec& spec);

/// @brief Updates the run-time estimates with a finished run.
void UpdateRunEstimates(ShardState& state, const TaskSpec& spec, Millis run);

/// @brief Counts an urgent arrival and updates the average demand.
void RecordUrgentArrival(Step& step, const TaskSpec& spec);

/// @brief Updates the arrival rate when the current counting window has ended.
void UpdateArrivalRate(Step& step);

/// @brief Capacity that patient work must leave free: the expected concurrent
///   urgent work (arrival rate times run time) plus two standard deviations,
///   minus what urgent work holds already.
[[nodiscard]] Resources UrgentReserve(const ShardState& state);

}  // namespace buckthornmux::sched
