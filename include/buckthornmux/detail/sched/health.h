/// Failure detection by target and by job: a target on which several jobs fail
/// is quarantined and probed later; a job that fails on several targets is
/// refused.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Records a successful run, which clears the target's failures.
void RecordSuccess(Step& step, TargetIndex target, const TaskSpec& spec);

/// @brief Records a failed run.
/// @return whether the task's job is refused from now on
bool RecordFailure(Step& step, TargetIndex target, const TaskSpec& spec);

/// @brief Records a refused start, which counts against the target but not
///   against the job.
void RecordRefusedStart(Step& step, TargetIndex target, const TaskSpec& spec);

/// @brief Whether a target's failures allow it to take this task: a target with
///   failures gets one task at a time, a quarantined target only probes.
[[nodiscard]] bool HealthAllows(const TargetRecord& target,
                                const TaskSpec& spec, Time now);

/// @brief Called when a task starts. If the target is quarantined, the task is
///   a probe, and the next probe is postponed.
void RecordProbe(TargetRecord& target, Time now);

/// @brief Makes targets available to waiting work again when their probe is due
///   or their suspect time has passed.
void UnblockProbeTargets(Step& step);

/// @brief Whether a job was refused after failures on distinct targets.
[[nodiscard]] bool JobRefused(ShardState& state, const TaskSpec& spec);

}  // namespace buckthornmux::sched
