/// Failures crossed by target and by job: a bad target is put aside and probed
/// later, a bad job is refused.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief A task ended well at a target: nothing is held against it any more.
void NoteSuccess(Step& step, TargetIndex target, const TaskSpec& spec);

/// @brief A task failed at a target.
/// @return whether its job is refused from now on
bool NoteFailure(Step& step, TargetIndex target, const TaskSpec& spec);

/// @brief A target refused a start: held against it alone.
void NoteRefusedStart(Step& step, TargetIndex target, const TaskSpec& spec);

/// @brief Whether a target's record of failures lets it take this task: one
///   with failures gets one task at a time, one put aside only probes.
[[nodiscard]] bool MayTake(const TargetRecord& target, const TaskSpec& spec,
                           Time now);

/// @brief A task is started; one that probes a target puts off the next probe.
void NoteProbe(TargetRecord& target, Time now);

/// @brief Lets waiting work look at targets whose probe is due, or that are
///   free of suspicion.
void OfferProbes(Step& step);

/// @brief Whether a job was refused after failures on distinct targets.
[[nodiscard]] bool JobRefused(ShardState& state, const TaskSpec& spec);

}  // namespace buckthornmux::sched
