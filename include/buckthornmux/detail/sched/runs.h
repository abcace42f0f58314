/// Handling of target messages about started tasks.
#pragma once

#include <string>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Handles a target's answer to a start, or its absence.
void HandleStartAnswered(Step& step, const StartAnswered& answer);

/// @brief Handles the end of a task at a target. Ignored unless the shard's
///   record places the task on that target.
void HandleTaskEnded(Step& step, const TaskEnded& ended);

/// @brief Completes a run as reported by its target: answers the home, or
///   returns preempted work to the queue.
/// @param step current step
/// @param id task that has a hold
/// @param end how the run ended
/// @param result result sent by the target
void FinishRun(Step& step, const std::string& id, TaskEnd end,
               std::string result);

/// @brief Handles a run whose outcome can no longer be learned: idempotent work
///   returns to the queue, other work ends as kUnknown.
void HandleLostRun(Step& step, const std::string& id);

/// @brief Marks a task as running and notifies its home.
void RecordRunning(Step& step, TaskRecord& task);

/// @brief Resends the stop of a task that was cancelled or preempted.
void ResendStop(Step& step, const TaskRecord& task);

}  // namespace buckthornmux::sched
