#include "steps.h"

namespace buckthornmux::home {
namespace {

using IdsByShard = std::map<ShardId, std::vector<std::string>>;

void SendCancels(Step& step, PartitionState& partition, IdsByShard by_shard) {
  for (auto& [shard, ids] : by_shard) {
    sched::Home home = partition.home;
    home.inquiry = partition.inquiries[shard].number;
    step.actions.emplace_back(
        ToShard{shard, 0, sched::Cancel{home, std::move(ids)}});
  }
}

std::string TaskIdOf(const Job& job, std::uint32_t index) {
  return KeyOf(job) + "/" + std::to_string(index);
}

/// Cancels the attempts of a former owner for a request that was not submitted
/// to this one.
void CancelAdopted(Step& step, PartitionState& partition,
                   const std::string& key) {
  const std::string id_prefix = key + "/";
  IdsByShard by_shard;
  for (auto task = partition.adopted.lower_bound(id_prefix);
       task != partition.adopted.end() && task->first.starts_with(id_prefix);
       ++task) {
    if (task->second.state != TaskState::kEnded) {
      by_shard[task->second.shard].push_back(task->first);
    }
  }
  SendCancels(step, partition, std::move(by_shard));
}

/// Answers a cancel call if the cancellation is durable or can't become so now;
/// otherwise the call waits.
void AnswerCanceller(Step& step, PartitionState& partition, Job& job,
                     std::uint64_t token) {
  if (token == 0) {
    return;
  }
  if (job.cancellation_sequence <= partition.durable) {
    AnswerStatus(step, token, job, false);
  } else if (partition.journal_down) {
    AnswerError(step, token, job, ErrorKind::kStoreUnknown);
  } else {
    job.waiters.push_back({token, Waiter::For::kCancel});
  }
}

}  // namespace

void WithdrawTasks(Step& step, PartitionState& partition, Job& job,
                   bool started_too, ErrorKind error) {
  if (job.held && job.cancelled) {
    // Attempts of a former owner, if any, are adopted and cancelled when the
    // job is no longer held.
    return;
  }
  IdsByShard by_shard;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    Task& task = job.tasks[index];
    switch (task.state) {
      case TaskState::kWaiting:
      case TaskState::kIntending:
        task.uncertain = task.uncertain || job.held;
        EndTask(step, partition, job, index, {TaskEnd::kNotRun, error});
        break;
      case TaskState::kStarted:
        if (!started_too) {
          break;
        }
        [[fallthrough]];
      case TaskState::kSent:
        by_shard[task.shard].push_back(TaskIdOf(job, index));
        break;
      case TaskState::kEnded:
        break;
    }
  }
  job.waiting.clear();
  job.intending.clear();
  if (!by_shard.empty()) {
    job.next_cancel_at = step.now + step.state.options.cancel_interval;
  }
  SendCancels(step, partition, std::move(by_shard));
}

void OnCancel(Step& step, const CancelJob& event) {
  const Partition number = PartitionOf(event.team, event.job);
  const std::string key = KeyOf(event.team, event.job);
  OpenCallFor(step, event.token, number, key);
  JobRequest request;
  request.team = event.team;
  request.id = event.job;
  PartitionState* partition = FindPartition(step.state, number);
  if (partition == nullptr) {
    Refuse(step, event.token, request, ErrorKind::kOwnerStale, Ran::kUnknown);
    return;
  }
  Job* job = FindJobByKey(*partition, key);
  if (job == nullptr) {
    CancelAdopted(step, *partition, key);
    Refuse(step, event.token, request, ErrorKind::kNotFound, Ran::kUnknown);
    return;
  }
  if (job->Ended() || job->cancelled) {
    AnswerCanceller(step, *partition, *job, event.token);
    return;
  }
  job->cancelled = true;
  Note(step, *job, "cancelled by caller");
  if (job->journaled) {
    JournalRecord record;
    record.type = JournalRecord::Type::kCancelled;
    job->cancellation_sequence =
        AppendFor(step, *partition, *job, std::move(record));
  }
  WithdrawTasks(step, *partition, *job, true, ErrorKind::kCancelled);
  DriveJob(step, *partition, *job);
  AnswerCanceller(step, *partition, *job, event.token);
}

}  // namespace buckthornmux::home
