#include <algorithm>

#include "steps.h"

namespace buckthornmux::home {
namespace {

using Type = JournalRecord::Type;

Job* JobOf(PartitionState& partition, const JournalRecord& record) {
  const std::string key = KeyOf(record.team, record.job);
  if (record.request.id.empty()) {
    return FindJobByKey(partition, key);
  }
  const auto [found, fresh] = partition.jobs.try_emplace(key);
  Job& job = found->second;
  if (fresh) {
    job.request = record.request;
    job.tasks.resize(record.request.tasks);
  }
  return &job;
}

void ApplyIntent(Job& job, const JournalRecord& record) {
  job.phase = JobPhase::kAccepted;  // A restarted job may have ended before.
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    if (!IsGang(job) && index != record.task) {
      continue;
    }
    Task& task = job.tasks[index];
    task.state = TaskState::kSent;
    task.attempt = record.attempt;
    task.shard = record.shard;
    task.shard_epoch = record.shard_epoch;
    task.end = TaskEnd::kNotRun;
  }
}

void ApplyTaskEnd(Job& job, const JournalRecord& record) {
  if (record.task >= job.tasks.size()) {
    return;
  }
  Task& task = job.tasks[record.task];
  const bool ran =
      record.end == TaskEnd::kDone || record.end == TaskEnd::kFailed;
  task.started = task.started || ran;
  task.uncertain = task.uncertain || record.end == TaskEnd::kUnknown ||
                   record.end == TaskEnd::kCancelled;
  const bool failed =
      record.end == TaskEnd::kFailed || record.end == TaskEnd::kUnknown;
  task.failures += failed ? 1 : 0;
  task.attempt = std::max(task.attempt, record.attempt);
  if (task.attempt == record.attempt) {
    task.state = TaskState::kEnded;
    task.end = record.end;
    task.error = record.error;
    task.result = record.result;
  }
}

void ApplyJobEnd(const Step& step, Job& job, const JournalRecord& record) {
  job.phase = record.end == TaskEnd::kDone        ? JobPhase::kDone
              : record.end == TaskEnd::kCancelled ? JobPhase::kCancelled
                                                  : JobPhase::kFailed;
  job.error = record.error;
  job.ended = std::min(step.state.anchor.ToSteady(record.at), step.now);
}

void ApplyRecord(const Step& step, PartitionState& partition,
                 const JournalRecord& record) {
  Job* const job = JobOf(partition, record);
  if (job == nullptr) {
    return;
  }
  job->journaled = true;
  switch (record.type) {
    case Type::kAccepted:
      job->acceptance_durable = true;
      job->request_journaled = true;
      break;
    case Type::kIntent:
      ApplyIntent(*job, record);
      break;
    case Type::kEnded:
      ApplyTaskEnd(*job, record);
      break;
    case Type::kJobEnded:
      ApplyJobEnd(step, *job, record);
      break;
    case Type::kCancelled:
      job->cancelled = true;
      job->cancel_durable = true;
      break;
  }
}

/// Continues an ended attempt of an open job as the former owner would have
/// done.
void ResumeTask(Step& step, Job& job, std::uint32_t index) {
  Task& task = job.tasks[index];
  const AttemptEnd end{task.end, task.error, Millis(0), {}};
  const bool again = task.state == TaskState::kEnded && !IsGang(job) &&
                     MayRetry(step, job, task, end);
  if (task.state == TaskState::kWaiting) {
    job.waiting.push_back(index);
  } else if (again) {
    WaitForRetry(step, job, index, end);
  }
  job.open_tasks += task.state == TaskState::kEnded ? 0 : 1;
}

void Resume(Step& step, PartitionState& partition, const std::string& key,
            Job& job) {
  ++partition.open_jobs;
  if (job.Durable() && job.request.deadline != 0) {
    job.deadline = step.state.anchor.ToSteady(job.request.deadline);
  }
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    Task& task = job.tasks[index];
    ResumeTask(step, job, index);
    if (task.started || task.state == TaskState::kStarted) {
      job.phase = JobPhase::kRunning;
    }
    if (task.state == TaskState::kSent) {
      task.unresolved = true;
      job.possibly_run.insert({index, task.attempt});
      partition.at_shard[task.shard].insert(key);
    } else if (task.started || task.uncertain) {
      job.possibly_run.insert({index, task.attempt});
    }
  }
}

void RestoreEnded(Job& job) {
  bool all_done = true;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    Task& task = job.tasks[index];
    task.state = TaskState::kEnded;
    all_done = all_done && task.end == TaskEnd::kDone;
    if (task.started || task.uncertain) {
      job.possibly_run.insert({index, task.attempt});
    }
  }
  // A late report may have completed the job.
  job.phase = all_done ? JobPhase::kDone : job.phase;
  job.end_durable = true;
}

}  // namespace

void Rebuild(Step& step, PartitionState& partition,
             const std::vector<JournalRecord>& records) {
  for (const JournalRecord& record : records) {
    ApplyRecord(step, partition, record);
  }
  std::vector<std::pair<Time, std::string>> ended;
  for (auto& [key, job] : partition.jobs) {
    if (job.Ended()) {
      RestoreEnded(job);
      ended.emplace_back(job.ended, key);
    } else {
      Resume(step, partition, key, job);
    }
  }
  std::ranges::sort(ended);
  for (const auto& [at, key] : ended) {
    KeepForRetention(step, partition, partition.jobs.at(key));
  }
}

}  // namespace buckthornmux::home
