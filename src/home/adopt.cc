#include <algorithm>

#include "steps.h"

namespace buckthornmux::home {
namespace {

std::string TaskIdOf(const Job& job, std::uint32_t index) {
  return KeyOf(job) + "/" + std::to_string(index);
}

void AdoptTask(Step& step, PartitionState& partition, Job& job,
               std::uint32_t index, const AdoptedTask& adopted) {
  Task& task = job.tasks[index];
  task.max_reported_attempt =
      std::max(adopted.max_reported_attempt, adopted.attempt);
  // Shards report only the latest attempt; earlier ones may have run.
  task.uncertain =
      task.uncertain || adopted.attempt != 1 || task.max_reported_attempt > 1;
  if (adopted.state == TaskState::kEnded && adopted.end == TaskEnd::kNotRun) {
    return;
  }
  std::erase(job.waiting, index);
  task.attempt = adopted.attempt;
  task.shard = adopted.shard;
  task.shard_epoch = adopted.shard_epoch;
  task.home_epoch = adopted.home_epoch;
  task.state = TaskState::kSent;
  job.possibly_run.insert({index, task.attempt});
  partition.at_shard[task.shard].insert(KeyOf(job));
  // The reported state may be outdated.
  Inquiry& inquiry = partition.inquiries[task.shard];
  inquiry.next_inquire_at = std::min(
      inquiry.next_inquire_at, step.now + step.state.options.inquiry_interval);
  SetPartitionTimer(step, partition);
  if (adopted.state != TaskState::kSent) {
    MarkStarted(step, job, index, "adopted");
  }
  if (adopted.state == TaskState::kEnded) {
    EndAttempt(step, partition, job, index,
               {adopted.end, ErrorKind::kInternal, Millis(0), adopted.result});
  }
}

}  // namespace

bool AdoptInto(Step& step, PartitionState& partition, Job& job) {
  std::vector<std::uint32_t> found;
  for (const std::uint32_t index : job.waiting) {
    if (job.tasks[index].attempt != 0) {
      continue;  // This owner has sent an attempt.
    }
    const auto adopted = partition.adopted.find(TaskIdOf(job, index));
    if (adopted == partition.adopted.end()) {
      continue;
    }
    if (adopted->second.has_spec &&
        adopted->second.payload != job.request.payload) {
      return false;
    }
    found.push_back(index);
  }
  for (const std::uint32_t index : found) {
    const auto adopted = partition.adopted.find(TaskIdOf(job, index));
    const AdoptedTask task = adopted->second;
    partition.adopted.erase(adopted);
    AdoptTask(step, partition, job, index, task);
  }
  return true;
}

void RecordAdoptedStart(Step& step, PartitionState& partition,
                        const FromShard& event, const sched::Started& started) {
  const auto found = partition.adopted.find(started.task_id);
  if (found == partition.adopted.end()) {
    return;
  }
  AdoptedTask& task = found->second;
  task.max_reported_attempt =
      std::max(task.max_reported_attempt, started.attempt);
  const bool same = task.attempt == started.attempt;
  if (same && task.shard == event.shard && task.state == TaskState::kSent) {
    task.state = TaskState::kStarted;
    task.seen = step.now;
  }
}

void RecordAdoptedEnd(Step& step, PartitionState& partition,
                      const FromShard& event, const sched::Ended& ended) {
  const auto found = partition.adopted.find(ended.task_id);
  const bool known = found != partition.adopted.end();
  if (ended.end == TaskEnd::kNotRun || (!known && partition.settled)) {
    // An attempt that did not run is missing from the next Inquire answer.
    return;
  }
  if (known && found->second.attempt != ended.attempt) {
    // The message is about an earlier attempt; one queued under an unknown
    // number may be a later one.
    found->second.max_reported_attempt =
        std::max(found->second.max_reported_attempt, ended.attempt);
    return;
  }
  AdoptedTask& task = partition.adopted[ended.task_id];
  task.max_reported_attempt =
      std::max(task.max_reported_attempt, ended.attempt);
  task.shard = event.shard;
  task.shard_epoch = event.epoch;
  task.home_epoch = ended.home.epoch;
  task.attempt = ended.attempt;
  task.state = TaskState::kEnded;
  task.end = ended.end;
  task.result = ended.result;
  task.seen = step.now;
}

}  // namespace buckthornmux::home
