/// Answers to homes, and the memory that answers repeats.
#pragma once

#include <string>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Whether a home's epoch is the highest heard; raises it.
/// @return false for a stale sender
bool HearHome(ShardState& state, const Home& home);

/// @brief Where answers for a partition go: to its latest owner.
[[nodiscard]] Home LatestHome(const ShardState& state, Partition partition);

/// @brief Ends a task: tells the home, remembers the answer and drops the
///   record. Its room must have been given back.
void AnswerEnded(Step& step, const std::string& id, TaskEnd end,
                 ErrorKind error, Millis retry_after, std::string result);

/// @brief Ends a task that is not started: as not run, or as unknown where an
///   earlier start of this attempt ran.
void AnswerNotStarted(Step& step, const std::string& id, ErrorKind error,
                      Millis retry_after);

/// @brief Refuses a task that was never taken up: not run. The refusal is
///   remembered, so that a repeat of this attempt is never started.
void RefuseTask(Step& step, Partition partition, const TaskSpec& spec,
                ErrorKind error, Millis retry_after);

/// @brief Keeps an answer for repeats, within bounds.
void RememberEnded(ShardState& state, EndedRecord record);

/// @brief Sends Known for a partition.
void AnswerKnown(Step& step, Partition partition);

/// @brief Takes tasks back: queued ones end, running ones are stopped, unknown
///   ones are not started later.
/// Complexity: linear in the ids, each with a logarithmic look-up.
void CancelTasks(Step& step, const Cancel& cancel);

/// @brief Answers a new home owner, now and again once all targets reported.
void TakeInquiry(Step& step, const Inquire& inquire);

/// @brief When a refused caller may come back, from run times and the queue.
[[nodiscard]] Millis RetryAfter(const ShardState& state);

}  // namespace buckthornmux::sched
