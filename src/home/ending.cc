#include <algorithm>

#include "buckthornmux/detail/core/invariant.h"
#include "steps.h"

namespace buckthornmux::home {
namespace {

/// Keeps the retry delay from overflowing before its upper bound is applied.
constexpr std::uint32_t kMaxDoublings = 16;

/// Whether neither another shard nor a later attempt can avoid the error.
bool IsFinal(ErrorKind error) {
  switch (error) {
    case ErrorKind::kJobRefused:
    case ErrorKind::kDeadlineUnmeetable:
    case ErrorKind::kDeadlinePassed:
    case ErrorKind::kKindRefused:
    case ErrorKind::kMalformed:
    case ErrorKind::kTooLarge:
      return true;
    default:
      return false;
  }
}

/// Whether the error is a lack of capacity. Urgent tasks are then sent to one
/// other shard at max_retries.
bool IsCapacityError(ErrorKind error) {
  return error == ErrorKind::kCellFull || error == ErrorKind::kQueueFull ||
         error == ErrorKind::kTeamLimit;
}

/// Whether a task that was not run may be sent to another shard.
bool MayTryAnotherShard(Step& step, const Job& job, const Task& task,
                        ErrorKind error) {
  if (IsFinal(error)) {
    return false;
  }
  if (error == ErrorKind::kNeverFits) {
    return task.never_fits.size() + 1 < step.state.shards.size();
  }
  if (job.Durable()) {
    return true;
  }
  const std::uint32_t max_retries =
      IsCapacityError(error) ? 1 : step.state.options.max_urgent_attempts - 1;
  return task.retries < max_retries;
}

/// Whether a task that has run, or may have, may run again.
bool MayRunAgain(Step& step, const Job& job, const Task& task,
                 ErrorKind error) {
  if (!job.request.idempotent || IsFinal(error)) {
    return false;
  }
  switch (job.request.work_class) {
    case WorkClass::kService:
      return true;
    case WorkClass::kPatient:
      return task.failures < step.state.options.max_patient_failures;
    case WorkClass::kUrgent:
      return task.retries + 1 < step.state.options.max_urgent_attempts;
  }
  return false;
}

Millis Backoff(const Step& step, const Task& task) {
  const std::uint32_t doublings = std::min(task.retries, kMaxDoublings);
  const Millis wait =
      step.state.options.initial_retry_delay * (1U << doublings);
  return std::min(wait, step.state.options.max_retry_delay);
}

const Task* FirstNotDone(const Job& job) {
  const auto found = std::ranges::find_if(
      job.tasks, [](const Task& task) { return task.end != TaskEnd::kDone; });
  return found == job.tasks.end() ? nullptr : &*found;
}

/// Retries a gang as a whole, once all of its attempts have ended.
bool RetryGang(Step& step, Job& job) {
  const Task* const worst = FirstNotDone(job);
  if (!IsGang(job) || worst == nullptr) {
    return false;
  }
  const AttemptEnd why{worst->end, worst->error, worst->retry_after};
  const bool none_ran = std::ranges::all_of(
      job.tasks, [](const Task& task) { return task.end == TaskEnd::kNotRun; });
  if (!none_ran && !job.request.idempotent) {
    return false;
  }
  if (!MayRetry(step, job, *worst, why)) {
    return false;
  }
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    ++job.open_tasks;
    WaitForRetry(step, job, index, why);
  }
  return true;
}

/// Sets the job's phase and error from its first task that is not done; a task
/// with an unknown outcome takes precedence.
void SetOutcome(Job& job) {
  const Task* const worst = FirstNotDone(job);
  if (worst == nullptr) {
    job.phase = JobPhase::kDone;
    return;
  }
  job.phase = job.cancelled ? JobPhase::kCancelled : JobPhase::kFailed;
  job.error = job.cancelled ? ErrorKind::kCancelled : worst->error;
  if (job.overrun && worst->end == TaskEnd::kCancelled) {
    // Stopped by this owner, not by a caller.
    job.error = ErrorKind::kDeadlinePassed;
  }
  job.retry_after = worst->retry_after;
  for (const Task& task : job.tasks) {
    if (!job.cancelled && task.end == TaskEnd::kUnknown) {
      job.error = ErrorKind::kOutcomeUnknown;
    }
  }
}

TaskEnd EndOf(JobPhase phase) {
  switch (phase) {
    case JobPhase::kDone:
      return TaskEnd::kDone;
    case JobPhase::kCancelled:
      return TaskEnd::kCancelled;
    default:
      return TaskEnd::kFailed;
  }
}

void RemoveFromShards(PartitionState& partition, const Job& job) {
  const std::string key = KeyOf(job);
  for (const Task& task : job.tasks) {
    const auto at = partition.at_shard.find(task.shard);
    if (at != partition.at_shard.end()) {
      at->second.erase(key);
    }
  }
}

}  // namespace

bool MayRetry(Step& step, const Job& job, const Task& task,
              const AttemptEnd& end) {
  if (job.cancelled || job.withdrawn || job.deadline <= step.now ||
      end.end == TaskEnd::kDone) {
    return false;
  }
  return end.end == TaskEnd::kNotRun
             ? MayTryAnotherShard(step, job, task, end.error)
             : MayRunAgain(step, job, task, end.error);
}

void WaitForRetry(Step& step, Job& job, std::uint32_t index,
                  const AttemptEnd& end) {
  Task& task = job.tasks[index];
  if (end.end == TaskEnd::kNotRun && end.error == ErrorKind::kNeverFits) {
    task.never_fits.push_back(task.shard);
  } else {
    task.not_before = job.Durable() ? step.now + std::max(Backoff(step, task),
                                                          end.retry_after)
                                    : step.now;
    ++task.retries;
  }
  if (end.end == TaskEnd::kNotRun && IsCapacityError(end.error)) {
    task.refused_by.push_back(task.shard);
  }
  task.state = TaskState::kWaiting;
  task.end = TaskEnd::kNotRun;
  task.error = end.error;
  job.waiting.push_back(index);
}

void EndTask(Step& step, PartitionState& partition, Job& job,
             std::uint32_t index, AttemptEnd end) {
  static_cast<void>(step);
  static_cast<void>(partition);
  Task& task = job.tasks[index];
  Invariant(task.state != TaskState::kEnded, "task_ends_once", KeyOf(job));
  task.state = TaskState::kEnded;
  task.unresolved = false;
  task.end = end.end;
  task.error = end.error;
  task.retry_after = end.retry_after;
  task.result = std::move(end.result);
  --job.open_tasks;
}

bool FinishIfEnded(Step& step, PartitionState& partition, Job& job) {
  if (job.Ended() || job.open_tasks > 0) {
    return false;
  }
  if (RetryGang(step, job)) {
    return true;
  }
  SetOutcome(job);
  job.ended = step.now;
  job.waiting.clear();
  job.intending.clear();
  job.next_cancel_at = Time::max();
  job.overrun_at = Time::max();
  --partition.open_jobs;
  KeepForRetention(step, partition, job);
  RemoveFromShards(partition, job);
  SetPartitionTimer(step, partition);
  Note(step, job, "ended");
  job.end_durable = !job.journaled;
  if (job.journaled) {
    JournalRecord record;
    record.type = JournalRecord::Type::kJobEnded;
    record.end = EndOf(job.phase);
    record.error = job.error;
    AppendFor(step, partition, job, std::move(record));
  }
  // "Not run" and "cancelled" hold for a durable job only once they are in the
  // journal; until then a successor would start it.
  const bool not_run = RanOf(job) == Ran::kUnknown && job.possibly_run.empty();
  const bool cancel_pending = job.cancelled && !job.cancel_durable;
  const bool wait_for_record = job.Durable() && !job.end_durable &&
                               (not_run || cancel_pending) &&
                               !partition.journal_down;
  if (!wait_for_record) {
    AnswerAllWaiters(step, job);
  }
  return false;
}

}  // namespace buckthornmux::home
