/// Run times from history, and room to keep for urgent work.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Run time of a task: from history of its team and kind once there is
///   some, since declared ones are often far off.
/// @return a time that most runs keep (mean plus mean deviation)
[[nodiscard]] Millis EstimatedRun(const ShardState& state,
                                  const TaskSpec& spec);

/// @brief Learns from a run that ended.
void LearnRun(ShardState& state, const TaskSpec& spec, Millis run);

/// @brief Counts an arrival of urgent work.
void NoteUrgentArrival(Step& step, const TaskSpec& spec);

/// @brief Ends the counting window of arrivals where it is over.
void RollArrivals(Step& step);

/// @brief Room that patient work leaves free: expected concurrent urgent work
///   (arrival rate times run time) plus two deviations, less what it holds.
[[nodiscard]] Resources UrgentReserve(const ShardState& state);

}  // namespace buckthornmux::sched
