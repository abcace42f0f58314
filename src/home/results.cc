#include <algorithm>

#include "steps.h"

namespace buckthornmux::home {
namespace {

void InquireAgain(Step& step, PartitionState& partition, Task& task) {
  task.unresolved = true;
  if (task.unresolved_since == Time()) {
    task.unresolved_since = step.now;
  }
  const auto view = step.state.shards.find(task.shard);
  if (view != step.state.shards.end() && view->second.reachable) {
    SendInquire(step, partition, task.shard);
  }
}

/// Whether a shard owner's report about the end of an attempt is conclusive.
bool IsConclusive(const PartitionState& partition, const Task& task,
                  const FromShard& event, const sched::Ended& ended) {
  switch (ended.end) {
    case TaskEnd::kDone:
    case TaskEnd::kFailed:
      return true;  // Reported by the target itself.
    case TaskEnd::kNotRun:
      // Conclusive only from the shard owner that the attempt was sent to, and
      // only if this partition owner sent it: a shard owner refuses a
      // duplicated message of a former partition owner as not run while the
      // first copy runs.
      return task.state == TaskState::kSent && event.shard == task.shard &&
             event.epoch == task.shard_epoch &&
             ended.home.epoch == partition.home.epoch;
    case TaskEnd::kUnknown:
    case TaskEnd::kCancelled:
      return event.shard == task.shard && event.epoch >= task.shard_epoch;
  }
  return false;
}

/// Applies a late report about an attempt whose outcome was recorded as
/// unknown.
void ApplyLateEnd(Step& step, PartitionState& partition, Job& job,
                  std::uint32_t index, const sched::Ended& ended) {
  Task& task = job.tasks[index];
  const bool has_run =
      ended.end == TaskEnd::kDone || ended.end == TaskEnd::kFailed;
  if (!has_run) {
    return;
  }
  task.started = true;
  const bool was_unknown = task.state == TaskState::kEnded &&
                           task.end == TaskEnd::kUnknown &&
                           task.attempt == ended.attempt;
  if (!was_unknown) {
    return;
  }
  task.end = ended.end;
  task.error = ErrorKind::kTaskFailed;
  task.result = ended.result;
  if (!job.Ended()) {
    return;
  }
  const bool all_done = std::ranges::all_of(
      job.tasks, [](const Task& each) { return each.end == TaskEnd::kDone; });
  job.phase = all_done ? JobPhase::kDone : job.phase;
  Note(step, job, "late report of the end of " + ended.task_id);
  if (job.journaled) {
    JournalRecord record;
    record.type = JournalRecord::Type::kEnded;
    record.task = index;
    record.attempt = task.attempt;
    record.end = task.end;
    record.error = task.error;
    record.result = task.result;
    AppendFor(step, partition, job, std::move(record));
  }
}

/// Sends an Inquire for an adopted attempt that is queued under an unknown
/// number, because the message may be about an earlier one.
bool InquiresForUnknownAttempt(Step& step, PartitionState& partition,
                               Task& task, std::uint32_t reported) {
  task.max_reported_attempt = std::max(task.max_reported_attempt, reported);
  const bool unknown = task.state == TaskState::kSent && task.attempt == 0;
  if (unknown) {
    InquireAgain(step, partition, task);
  }
  return unknown;
}

void OnStarted(Step& step, PartitionState& partition, const FromShard& event,
               const sched::Started& started) {
  const auto name = ParseTaskId(started.task_id);
  Job* job = name ? FindJobByKey(partition, name->key) : nullptr;
  if (job == nullptr || name->index >= job->tasks.size()) {
    RecordAdoptedStart(step, partition, event, started);
    return;
  }
  Task& task = job->tasks[name->index];
  if (InquiresForUnknownAttempt(step, partition, task, started.attempt)) {
    return;
  }
  if (task.state == TaskState::kSent && task.attempt == started.attempt &&
      task.shard == event.shard) {
    MarkStarted(step, *job, name->index, started.target);
  } else if (started.attempt <= task.attempt) {
    task.started = true;
  }
}

void OnEnded(Step& step, PartitionState& partition, const FromShard& event,
             const sched::Ended& ended) {
  const auto name = ParseTaskId(ended.task_id);
  Job* job = name ? FindJobByKey(partition, name->key) : nullptr;
  if (job == nullptr || name->index >= job->tasks.size()) {
    RecordAdoptedEnd(step, partition, event, ended);
    return;
  }
  Task& task = job->tasks[name->index];
  if (InquiresForUnknownAttempt(step, partition, task, ended.attempt)) {
    return;
  }
  const bool open =
      task.state == TaskState::kSent || task.state == TaskState::kStarted;
  if (!open || task.attempt != ended.attempt) {
    ApplyLateEnd(step, partition, *job, name->index, ended);
    return;
  }
  if (!IsConclusive(partition, task, event, ended)) {
    InquireAgain(step, partition, task);
    return;
  }
  EndAttempt(step, partition, *job, name->index,
             {ended.end, ended.error, ended.retry_after, ended.result});
  DriveJob(step, partition, *job);
}

void JournalEnd(Step& step, PartitionState& partition, Job& job,
                std::uint32_t index, const AttemptEnd& end) {
  // A successor does not need to know that an idempotent attempt did not run.
  const bool is_needed = end.end != TaskEnd::kNotRun || !job.request.idempotent;
  if (!job.journaled || !is_needed) {
    return;
  }
  JournalRecord record;
  record.type = JournalRecord::Type::kEnded;
  record.task = index;
  record.attempt = job.tasks[index].attempt;
  record.end = end.end;
  record.error = end.error;
  record.result = end.result;
  AppendFor(step, partition, job, std::move(record));
}

ErrorKind ErrorOf(const AttemptEnd& end) {
  switch (end.end) {
    case TaskEnd::kFailed:
      return end.error == ErrorKind::kInternal ? ErrorKind::kTaskFailed
                                               : end.error;
    case TaskEnd::kUnknown:
      return ErrorKind::kOutcomeUnknown;
    case TaskEnd::kCancelled:
      return ErrorKind::kCancelled;
    default:
      return end.error;
  }
}

}  // namespace

void MarkStarted(Step& step, Job& job, std::uint32_t index,
                 std::string_view where) {
  Task& task = job.tasks[index];
  task.state = TaskState::kStarted;
  task.started = true;
  task.unresolved = false;
  if (!job.Ended()) {
    job.phase = JobPhase::kRunning;
  }
  Note(step, job,
       "started task=" + std::to_string(index) + " target=" +
           std::string(where) + " attempt=" + std::to_string(task.attempt));
}

void SetAttemptNumber(Job& job, std::uint32_t index, std::uint32_t attempt) {
  Task& task = job.tasks[index];
  if (task.attempt == 0 && task.state == TaskState::kSent) {
    job.possibly_run.erase({index, 0});
    job.possibly_run.insert({index, attempt});
    task.attempt = attempt;
  }
}

void EndAttempt(Step& step, PartitionState& partition, Job& job,
                std::uint32_t index, AttemptEnd end) {
  Task& task = job.tasks[index];
  end.error = ErrorOf(end);
  switch (end.end) {
    case TaskEnd::kNotRun:
      job.possibly_run.erase({index, task.attempt});
      break;
    case TaskEnd::kDone:
    case TaskEnd::kFailed:
      task.started = true;
      break;
    case TaskEnd::kUnknown:
    case TaskEnd::kCancelled:
      task.uncertain = true;
      break;
  }
  if (end.end == TaskEnd::kFailed || end.end == TaskEnd::kUnknown) {
    ++task.failures;
  }
  task.unresolved = false;
  task.unresolved_since = Time();
  JournalEnd(step, partition, job, index, end);
  if (!IsGang(job) && MayRetry(step, job, task, end)) {
    WaitForRetry(step, job, index, end);
    return;
  }
  EndTask(step, partition, job, index, std::move(end));
}

void OnFromShard(Step& step, const FromShard& event) {
  NoteShardEpoch(step, event.shard, event.epoch);
  const sched::Home& home = std::visit(
      [](const auto& message) -> const sched::Home& { return message.home; },
      event.message);
  PartitionState* partition = FindPartition(step.state, home.partition);
  if (partition == nullptr || home.epoch > partition->home.epoch) {
    return;
  }
  if (const auto* started = std::get_if<sched::Started>(&event.message)) {
    OnStarted(step, *partition, event, *started);
  } else if (const auto* ended = std::get_if<sched::Ended>(&event.message)) {
    OnEnded(step, *partition, event, *ended);
  } else {
    OnKnown(step, *partition, event, std::get<sched::Known>(event.message));
  }
}

void OnSendFailed(Step& step, const SendFailed& event) {
  const ToShard& sent = event.sent;
  const auto* enqueue = std::get_if<sched::Enqueue>(&sent.message);
  if (enqueue == nullptr) {
    return;  // Inquire and Cancel are repeated by their timers.
  }
  PartitionState* partition =
      FindPartition(step.state, enqueue->home.partition);
  if (partition == nullptr || enqueue->home.epoch != partition->home.epoch) {
    return;
  }
  for (const TaskSpec& spec : enqueue->tasks) {
    Job* job = FindJobByKey(*partition, KeyOf(spec.team, spec.job));
    if (job == nullptr || spec.index >= job->tasks.size()) {
      continue;
    }
    const Task& task = job->tasks[spec.index];
    if (task.state == TaskState::kSent && task.attempt == spec.attempt &&
        task.shard == sent.shard) {
      EndAttempt(step, *partition, *job, spec.index,
                 {TaskEnd::kNotRun, ErrorKind::kPeerUnreachable});
      DriveJob(step, *partition, *job);
    }
  }
}

}  // namespace buckthornmux::home
