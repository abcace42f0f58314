/// Room made by stopping idempotent patient work, with a checkpoint.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Makes room for the first urgent units of a lane.
void PreemptForLane(Step& step, Lane& lane);

/// @brief Calls lent room back for the first units of a lane whose team is
///   below its share; takes it from teams above theirs.
void PreemptForShare(Step& step, Lane& lane);

/// @brief Sends the stop again for a task that is to make room.
void StopTask(Step& step, const TaskRecord& task, bool checkpoint);

}  // namespace buckthornmux::sched
