/// What targets say of the tasks that were started there.
#pragma once

#include <string>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief A target answered a start, or did not.
void TakeStartAnswer(Step& step, const StartAnswered& answer);

/// @brief A task ended at a target; ignored unless it is there by our record.
void TakeTaskEnded(Step& step, const TaskEnded& ended);

/// @brief Ends the record of a run by the target's word: answers the home, or
///   returns preempted work to the queue.
/// @param step the decision
/// @param id task that holds room
/// @param end how it ended
/// @param result as the target sent it
void FinishRun(Step& step, const std::string& id, TaskEnd end,
               std::string result);

/// @brief A run of which nothing more can be heard: idempotent work returns to
///   the queue, other work ends as unknown.
void LoseRun(Step& step, const std::string& id);

/// @brief Notes that a task runs, and tells its home.
void NoteRunning(Step& step, TaskRecord& task);

/// @brief Sends the stop of a task again, where it is to be stopped.
void StopAgain(Step& step, const TaskRecord& task);

}  // namespace buckthornmux::sched
