/// Admission control: a request is answered from existing records, refused
/// immediately with a reason, or queued.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Queues one task or a whole gang, or refuses it.
void HandleEnqueue(Step& step, const Enqueue& enqueue);

/// @brief After a configuration change, refuses queued units that would not
///   fit on the targets even if these were empty.
void RefuseOversized(Step& step);

/// @brief Refuses urgent tasks of an Enqueue that are not expected to start in
///   time, so that the caller can still try another cell.
void RefuseUnattainableUrgent(Step& step, const Enqueue& enqueue);

}  // namespace buckthornmux::sched
