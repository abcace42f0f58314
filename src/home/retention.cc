#include <algorithm>

#include "steps.h"

namespace buckthornmux::home {
namespace {

/// Removes an ended job, unless it was restarted or has waiting callers.
void Drop(Step& step, PartitionState& partition, const std::string& key,
          Time ended) {
  Job* job = FindJobByKey(partition, key);
  if (job == nullptr || !job->Ended() || job->ended != ended ||
      !job->waiters.empty()) {
    return;
  }
  DropJobTimer(step, partition, *job);
  partition.jobs.erase(key);
}

Time ExpiryOf(const Step& step, const Job& job) {
  return job.ended +
         RetentionOf(job.request, step.state.options.result_retention);
}

}  // namespace

Millis RetentionOf(const JobRequest& request, Millis result_retention) {
  const bool durable = request.work_class != WorkClass::kUrgent;
  return durable && !request.idempotent
             ? std::max(result_retention, kNonIdempotentRetention)
             : result_retention;
}

void KeepForRetention(Step& step, PartitionState& partition, const Job& job) {
  const std::string key = KeyOf(job);
  partition.expiries.insert({ExpiryOf(step, job), key});
  if (job.request.idempotent) {
    partition.ended_idempotent.emplace_back(job.ended, key);
  }
}

void DropExpired(Step& step, PartitionState& partition) {
  const HomeOptions& options = step.state.options;
  while (!partition.expiries.empty() &&
         partition.expiries.begin()->first <= step.now) {
    const auto [expiry, key] = *partition.expiries.begin();
    partition.expiries.erase(partition.expiries.begin());
    const Job* job = FindJobByKey(partition, key);
    if (job != nullptr && job->Ended() && ExpiryOf(step, *job) == expiry) {
      Drop(step, partition, key, job->ended);
    }
  }
  while (partition.ended_idempotent.size() > options.max_results_kept) {
    const auto [ended, key] = partition.ended_idempotent.front();
    partition.ended_idempotent.pop_front();
    Drop(step, partition, key, ended);
  }
  if (step.now < partition.next_adopted_check) {
    return;  // The check visits all adopted tasks, so its rate is limited.
  }
  partition.next_adopted_check = step.now + options.audit_interval;
  std::erase_if(partition.adopted, [&](const auto& item) {
    return item.second.state == TaskState::kEnded &&
           step.now - item.second.seen >= options.result_retention;
  });
}

}  // namespace buckthornmux::home
