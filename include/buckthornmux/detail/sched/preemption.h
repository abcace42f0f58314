/// Preemption: frees resources by stopping idempotent patient work, with a
/// checkpoint.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Preempts patient work for the first urgent units of a lane.
void PreemptForLane(Step& step, Lane& lane);

/// @brief Preempts work of teams above their share for the first units of a
///   lane whose team is below its share.
void PreemptForShare(Step& step, Lane& lane);

/// @brief Sends a stop for a task, also if one was sent before.
void StopTask(Step& step, const TaskRecord& task, bool checkpoint);

}  // namespace buckthornmux::sched
