#include <algorithm>

#include "steps.h"

namespace buckthornmux::home {
namespace {

std::string TaskIdOf(const Job& job, std::uint32_t index) {
  return KeyOf(job) + "/" + std::to_string(index);
}

void Take(Step& step, PartitionState& partition, Job& job, std::uint32_t index,
          const AdoptedTask& adopted) {
  Task& task = job.tasks[index];
  task.attempt_heard = std::max(adopted.attempt_heard, adopted.attempt);
  // Shards tell of the latest try only; earlier ones may have run.
  task.uncertain =
      task.uncertain || adopted.attempt != 1 || task.attempt_heard > 1;
  if (adopted.state == TaskState::kEnded && adopted.end == TaskEnd::kNotRun) {
    return;
  }
  std::erase(job.waiting, index);
  task.attempt = adopted.attempt;
  task.shard = adopted.shard;
  task.shard_epoch = adopted.shard_epoch;
  task.home_epoch = adopted.home_epoch;
  task.state = TaskState::kSent;
  job.left.insert({index, task.attempt});
  partition.at_shard[task.shard].insert(KeyOf(job));
  // What was heard of it may be old by now.
  Inquiry& inquiry = partition.inquiries[task.shard];
  inquiry.again =
      std::min(inquiry.again, step.now + step.state.options.inquire_every);
  SetPartitionTimer(step, partition);
  if (adopted.state != TaskState::kSent) {
    MarkStarted(step, job, index, "adopted");
  }
  if (adopted.state == TaskState::kEnded) {
    EndTry(step, partition, job, index,
           {adopted.end, ErrorKind::kInternal, Millis(0), adopted.result});
  }
}

}  // namespace

bool AdoptInto(Step& step, PartitionState& partition, Job& job) {
  std::vector<std::uint32_t> found;
  for (const std::uint32_t index : job.waiting) {
    if (job.tasks[index].attempt != 0) {
      continue;  // Tried from here.
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
    Take(step, partition, job, index, task);
  }
  return true;
}

void NoteAdoptedStart(Step& step, PartitionState& partition,
                      const FromShard& event, const sched::Started& started) {
  const auto found = partition.adopted.find(started.task_id);
  if (found == partition.adopted.end()) {
    return;
  }
  AdoptedTask& task = found->second;
  task.attempt_heard = std::max(task.attempt_heard, started.attempt);
  const bool same = task.attempt == started.attempt;
  if (same && task.shard == event.shard && task.state == TaskState::kSent) {
    task.state = TaskState::kStarted;
    task.seen = step.now;
  }
}

void NoteAdoptedEnd(Step& step, PartitionState& partition,
                    const FromShard& event, const sched::Ended& ended) {
  const auto found = partition.adopted.find(ended.task_id);
  const bool known = found != partition.adopted.end();
  if (ended.end == TaskEnd::kNotRun || (!known && partition.settled)) {
    return;  // Not run: the next answer to an Inquire leaves it out.
  }
  if (known && found->second.attempt != ended.attempt) {
    // Of an earlier try; what waits under no known number may be a later one.
    found->second.attempt_heard =
        std::max(found->second.attempt_heard, ended.attempt);
    return;
  }
  AdoptedTask& task = partition.adopted[ended.task_id];
  task.attempt_heard = std::max(task.attempt_heard, ended.attempt);
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
