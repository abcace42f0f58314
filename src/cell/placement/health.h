/// What the ends of runs tell about the health of their targets.
///
/// A target on which several tasks in a row failed is on probation: it pauses,
/// then it gets one task at a time, its trials. Probation ends with a success
/// of what was started after the last failure, or with time.
#pragma once

#include "src/cell/internal.h"

namespace buckthornmux::cell {

/// @brief Whether a target gets one task at a time.
[[nodiscard]] bool IsOnProbation(const Target& target);

/// @brief Whether a target may get work now, as far as its failures matter.
[[nodiscard]] bool MayTry(const Target& target, Time now);

/// @brief Whether a run of a service has got to work.
[[nodiscard]] bool IsAtWork(const Run& run);

/// @brief Handles a run that has ended as done, or a service that is at work.
void HandleSuccess(Actions& actions, Target& target, const RunId& id, Time now);

/// @brief Handles a failed run. Must be called before the failure is counted
///   for its task.
/// @param task whose failures count; null if it isn't known
void HandleFailure(Cell& cell, Actions& actions, Target& target,
                   const RunId& id, const Task* task, Time now);

/// @brief Ends probation that has lasted long enough without a failure.
void EndProbation(Actions& actions, Target& target, Time now);

}  // namespace buckthornmux::cell
