#include <algorithm>

#include "steps.h"

namespace buckthornmux::home {
namespace {

bool HasAttempts(const PartitionState& partition, const ShardId& shard) {
  const auto at = partition.at_shard.find(shard);
  const bool jobs = at != partition.at_shard.end() && !at->second.empty();
  return jobs || std::ranges::any_of(partition.adopted, [&](const auto& item) {
           return item.second.shard == shard &&
                  item.second.state != TaskState::kEnded;
         });
}

/// Sends another Inquire to a shard that may hold attempts or has not given a
/// conclusive answer.
void InquireIfNeeded(Step& step, const ShardId& shard) {
  for (auto& [number, partition] : step.state.partitions) {
    const auto inquiry = partition.inquiries.find(shard);
    const bool settled =
        inquiry != partition.inquiries.end() && inquiry->second.settled;
    if (!(settled || partition.settled) || HasAttempts(partition, shard)) {
      SendInquire(step, partition, shard);
    }
  }
}

/// Ends the attempts at a removed shard, which can't be queried for their
/// outcome.
void ResolveRemovedShard(Step& step, PartitionState& partition,
                         const ShardId& shard) {
  partition.inquiries.erase(shard);
  const auto at = partition.at_shard.find(shard);
  if (at == partition.at_shard.end()) {
    return;
  }
  const std::set<std::string> keys = std::move(at->second);
  partition.at_shard.erase(at);
  for (const std::string& key : keys) {
    Job* job = FindJobByKey(partition, key);
    for (std::uint32_t index = 0; job != nullptr && index < job->tasks.size();
         ++index) {
      const Task& task = job->tasks[index];
      const bool holds =
          task.shard == shard &&
          (task.state == TaskState::kSent || task.state == TaskState::kStarted);
      if (holds) {
        EndAttempt(step, partition, *job, index,
                   {TaskEnd::kUnknown, ErrorKind::kOutcomeUnknown});
      }
    }
    if (job != nullptr) {
      DriveJob(step, partition, *job);
    }
  }
}

void DriveWaiting(Step& step) {
  for (auto& [number, partition] : step.state.partitions) {
    for (const std::string& key : std::exchange(partition.awaiting_shard, {})) {
      if (Job* job = FindJobByKey(partition, key)) {
        DriveJob(step, partition, *job);
      }
    }
  }
}

}  // namespace

void NoteShardEpoch(Step& step, const ShardId& shard, Epoch epoch) {
  const auto found = step.state.shards.find(shard);
  if (found == step.state.shards.end() || found->second.epoch >= epoch) {
    return;
  }
  found->second.epoch = epoch;
  if (found->second.reachable) {
    InquireIfNeeded(step, shard);
  }
}

void OnShards(Step& step, const ShardsChanged& event) {
  std::map<ShardId, ShardView> before = std::exchange(step.state.shards, {});
  std::vector<ShardId> to_inquire;
  for (ShardView view : event.shards) {
    const auto known = before.find(view.id);
    const bool fresh = known == before.end();
    const Epoch epoch = fresh ? 0 : known->second.epoch;
    const bool back = fresh || (view.reachable && !known->second.reachable);
    if (view.reachable && (back || view.epoch > epoch)) {
      to_inquire.push_back(view.id);
    }
    view.epoch = std::max(view.epoch, epoch);  // Heartbeats may arrive late.
    step.state.shards[view.id] = std::move(view);
  }
  for (const ShardId& shard : to_inquire) {
    InquireIfNeeded(step, shard);
  }
  for (const auto& [shard, view] : before) {
    if (step.state.shards.contains(shard)) {
      continue;
    }
    for (auto& [number, partition] : step.state.partitions) {
      ResolveRemovedShard(step, partition, shard);
    }
  }
  for (auto& [number, partition] : step.state.partitions) {
    SettleIfKnown(step, partition);
  }
  DriveWaiting(step);
}

}  // namespace buckthornmux::home
