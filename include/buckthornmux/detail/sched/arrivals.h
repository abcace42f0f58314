/// Admission: what is asked for is answered from what is known, refused at
/// once with the reason, or queued.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Takes one task or a whole gang into the queue, or refuses it.
void TakeEnqueue(Step& step, const Enqueue& enqueue);

/// @brief Refuses what no target of a changed configuration could ever hold.
void RefuseNeverFitting(Step& step);

/// @brief Refuses urgent work of an Enqueue that will not start in time, so
///   that its caller can go elsewhere while it still waits.
void RefuseHopeless(Step& step, const Enqueue& enqueue);

}  // namespace buckthornmux::sched
