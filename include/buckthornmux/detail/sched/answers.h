/// Answers sent to homes, and the cache of final answers for repeated requests.
#pragma once

#include <string>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Records a home's epoch and inquiry number if they are not older than
///   the highest seen for its partition.
/// @return false for a stale sender
bool AcceptHomeEpoch(ShardState& state, const Home& home);

/// @brief Latest known owner of a partition, which receives its answers.
[[nodiscard]] Home LatestHome(const ShardState& state, Partition partition);

/// @brief Ends a task: notifies the home, caches the answer and erases the
///   task record. The task's reservation must have been released before.
void AnswerEnded(Step& step, const std::string& id, TaskEnd end,
                 ErrorKind error, Millis retry_after, std::string result);

/// @brief Ends a task that will not be started: as kNotRun, or as kUnknown if
///   an earlier start of this attempt ran.
void AnswerNotStarted(Step& step, const std::string& id, ErrorKind error,
                      Millis retry_after);

/// @brief Refuses a task that was never queued; it ends as kNotRun. The refusal
///   is cached, so that a repeat of this attempt is never started.
void RefuseTask(Step& step, Partition partition, const TaskSpec& spec,
                ErrorKind error, Millis retry_after);

/// @brief Caches an answer for repeated requests, within the count and byte
///   limits of the policy.
void CacheEnded(ShardState& state, EndedRecord record);

/// @brief Sends Known for a partition.
void AnswerKnown(Step& step, Partition partition);

/// @brief Cancels tasks: queued tasks end, running tasks are stopped, and
///   unknown tasks are remembered so that they are not started later.
/// Complexity: linear in the ids, with a logarithmic look-up for each.
void CancelTasks(Step& step, const Cancel& cancel);

/// @brief Answers the inquiry of a new home owner at once, and again when all
///   targets have reported.
void HandleInquire(Step& step, const Inquire& inquire);

/// @brief Delay after which a refused caller may retry, estimated from run
///   times and the queue length.
[[nodiscard]] Millis RetryAfter(const ShardState& state);

}  // namespace buckthornmux::sched
