#include "steps.h"

namespace buckthornmux::home {

void DropExpired(Step& step, PartitionState& partition) {
  const HomeOptions& options = step.state.options;
  while (!partition.ended.empty()) {
    const auto& [ended, key] = partition.ended.front();
    const bool old = step.now - ended >= options.result_retention;
    if (!old && partition.ended.size() <= options.results_kept) {
      break;
    }
    Job* job = FindJobByKey(partition, key);
    // A job that was asked for again has a later entry of its own.
    if (job != nullptr && job->Ended() && job->ended == ended &&
        job->waiters.empty()) {
      DropJobTimer(step, partition, *job);
      partition.jobs.erase(key);
    }
    partition.ended.pop_front();
  }
  std::erase_if(partition.adopted, [&](const auto& item) {
    return item.second.state == TaskState::kEnded &&
           step.now - item.second.seen >= options.result_retention;
  });
}

}  // namespace buckthornmux::home
