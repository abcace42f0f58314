#include <algorithm>

#include "steps.h"

namespace buckthornmux::home {
namespace {

void InquireAll(Step& step, PartitionState& partition) {
  for (const auto& [id, view] : step.state.shards) {
    partition.inquiries[id];
    if (view.reachable) {
      SendInquire(step, partition, id);
    }
  }
}

/// Ends unsent urgent work of a former owner: its callers were told that it has
/// not run, or have disconnected.
void EndUnsentUrgent(Step& step, PartitionState& partition, Job& job) {
  if (job.Durable() || job.Ended()) {
    return;
  }
  job.withdrawn = true;
  WithdrawTasks(step, partition, job, false, ErrorKind::kOwnerStale);
}

std::vector<std::string> KeysOf(const PartitionState& partition) {
  std::vector<std::string> keys;
  keys.reserve(partition.jobs.size());
  for (const auto& [key, job] : partition.jobs) {
    keys.push_back(key);
  }
  std::ranges::sort(keys);
  return keys;
}

void AnswerCallersOfLost(Step& step, PartitionState& partition, Job& job) {
  if (!job.Durable() && !job.Ended()) {
    job.phase = JobPhase::kFailed;  // This owner sends nothing more for it.
  }
  for (const Waiter& waiter : std::exchange(job.waiters, {})) {
    AnswerError(step, waiter.token, job, ErrorKind::kOwnerStale);
  }
  DropJobTimer(step, partition, job);
}

}  // namespace

void AdoptOrRejectAttempts(Step& step, PartitionState& partition, Job& job) {
  if (AdoptInto(step, partition, job)) {
    return;
  }
  for (const std::uint32_t index : std::exchange(job.waiting, {})) {
    job.tasks[index].uncertain = true;
    EndTask(step, partition, job, index,
            {TaskEnd::kNotRun, ErrorKind::kDuplicateRequest});
  }
}

void OnGained(Step& step, const PartitionGained& event) {
  const Partition number = event.home.partition;
  OnLost(step, {number});
  PartitionState& partition = step.state.partitions[number];
  partition.home = event.home;
  partition.home.inquiry = 0;
  Rebuild(step, partition, event.records);
  InquireAll(step, partition);
  for (const std::string& key : KeysOf(partition)) {
    Job& job = partition.jobs.at(key);
    EndUnsentUrgent(step, partition, job);
    if (job.cancelled && !job.Ended()) {
      WithdrawTasks(step, partition, job, true, ErrorKind::kCancelled);
    }
    DriveJob(step, partition, job);
  }
  SetPartitionTimer(step, partition);
  SettleIfKnown(step, partition);
}

void OnLost(Step& step, const PartitionLost& event) {
  PartitionState* partition = FindPartition(step.state, event.partition);
  if (partition == nullptr) {
    return;
  }
  for (const std::string& key : KeysOf(*partition)) {
    AnswerCallersOfLost(step, *partition, partition->jobs.at(key));
  }
  step.state.timers.erase({partition->wake, {event.partition, {}}});
  step.state.partitions.erase(event.partition);
}

void SettleIfKnown(Step& step, PartitionState& partition) {
  if (partition.settled || step.state.shards.empty()) {
    return;
  }
  for (const auto& [id, view] : step.state.shards) {
    if (!partition.inquiries[id].settled) {
      return;
    }
  }
  partition.settled = true;
  for (const std::string& key : std::exchange(partition.held, {})) {
    Job* job = FindJobByKey(partition, key);
    if (job == nullptr || !job->held) {
      continue;
    }
    job->held = false;
    if (job->Ended()) {
      continue;
    }
    AdoptOrRejectAttempts(step, partition, *job);
    if (job->cancelled) {
      WithdrawTasks(step, partition, *job, true, ErrorKind::kCancelled);
    }
    DriveJob(step, partition, *job);
  }
}

}  // namespace buckthornmux::home
