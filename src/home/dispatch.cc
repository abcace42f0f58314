#include <algorithm>

#include "buckthornmux/detail/core/invariant.h"
#include "steps.h"

namespace buckthornmux::home {
namespace {

using Indexes = std::vector<std::uint32_t>;

bool NeedsIntent(const Job& job) {
  return job.Durable() || !job.request.idempotent;
}

bool MayHaveRun(const Job& job, std::uint32_t index) {
  const auto first = job.possibly_run.lower_bound({index, 0});
  return first != job.possibly_run.end() && first->first == index;
}

TaskSpec SpecOf(const Job& job, std::uint32_t index) {
  const JobRequest& request = job.request;
  TaskSpec spec;
  spec.job = request.id;
  spec.index = index;
  spec.attempt = job.tasks[index].attempt;
  spec.team = request.team;
  spec.kind = request.kind;
  spec.work_class = request.work_class;
  spec.idempotent = request.idempotent;
  spec.open_to_all = request.open_to_all;
  spec.demand = request.demand;
  spec.expected_run = request.expected_run;
  spec.deadline = request.deadline;
  spec.gang_size = IsGang(job) ? request.tasks : 1;
  spec.labels = request.labels;
  spec.payload = request.payload;
  return spec;
}

/// Deadline to send to the shard. A repeated request moves the job's deadline.
WallMillis DeadlineToSend(const Step& step, const Job& job) {
  return job.deadline == Time::max() ? 0
                                     : step.state.anchor.ToWall(job.deadline);
}

void AssertMaySend(const PartitionState& partition, const Job& job,
                   std::uint32_t index) {
  const std::string key = KeyOf(job);
  Invariant(!job.cancelled && !job.withdrawn && !job.Ended(),
            "cancelled_never_starts", key);
  Invariant(job.request.idempotent || !MayHaveRun(job, index),
            "non_idempotent_at_most_once", key);
  const Task& task = job.tasks[index];
  Invariant(!NeedsIntent(job) ||
                (task.intent != 0 && task.intent <= partition.durable),
            "intent_before_start", key);
}

/// Sends tasks that were assigned to one shard as one message.
void Send(Step& step, PartitionState& partition, Job& job,
          const Indexes& indexes) {
  const ShardId shard = job.tasks[indexes.front()].shard;
  Inquiry& inquiry = partition.inquiries[shard];
  sched::Enqueue message;
  message.home = partition.home;
  message.home.inquiry = inquiry.number;
  for (const std::uint32_t index : indexes) {
    AssertMaySend(partition, job, index);
    Task& task = job.tasks[index];
    task.state = TaskState::kSent;
    task.unresolved = false;
    job.possibly_run.insert({index, task.attempt});
    message.tasks.push_back(SpecOf(job, index));
    message.tasks.back().deadline = DeadlineToSend(step, job);
  }
  partition.at_shard[shard].insert(KeyOf(job));
  inquiry.next_inquire_at = std::min(
      inquiry.next_inquire_at, step.now + step.state.options.audit_interval);
  SetPartitionTimer(step, partition);
  step.actions.emplace_back(ToShard{
      shard, job.tasks[indexes.front()].shard_epoch, std::move(message)});
}

void Intend(Step& step, PartitionState& partition, Job& job,
            const Indexes& indexes) {
  // One record covers a whole gang, because its tasks start together.
  const Task& first = job.tasks[indexes.front()];
  JournalRecord record;
  record.type = JournalRecord::Type::kIntent;
  record.task = indexes.front();
  record.attempt = first.attempt;
  record.shard = first.shard;
  record.shard_epoch = first.shard_epoch;
  const std::uint64_t sequence =
      AppendFor(step, partition, job, std::move(record));
  for (const std::uint32_t index : indexes) {
    job.tasks[index].state = TaskState::kIntending;
    job.tasks[index].intent = sequence;
    job.intending.push_back(index);
  }
}

enum class AssignResult : std::uint8_t { kYes, kNoShard, kNoBudget };

/// Handles tasks that no shard can take: they wait if a shard may become
/// available, otherwise they end.
void HandleUnassigned(Step& step, PartitionState& partition, Job& job,
                      std::uint32_t index, AssignResult why) {
  Task& task = job.tasks[index];
  const bool refused = why == AssignResult::kNoBudget ||
                       !task.refused_by.empty() || !task.never_fits.empty();
  const bool any_reachable = std::ranges::any_of(
      step.state.shards,
      [](const auto& item) { return item.second.reachable; });
  // Every reachable shard has an unanswered Inquire, so a retry is due soon.
  const bool soon = !refused && any_reachable;
  if (job.Durable() || soon) {
    task.refused_by.clear();
    task.not_before =
        soon ? step.now : step.now + step.state.options.initial_retry_delay;
    job.waiting.push_back(index);
    partition.awaiting_shard.insert(KeyOf(job));
    return;
  }
  const ErrorKind error = refused ? task.error : ErrorKind::kPeerUnreachable;
  EndTask(step, partition, job, index,
          {TaskEnd::kNotRun, error, AnswerFor(error).retry_after});
}

/// Whether the shard's retry budget allows this attempt. First attempts add to
/// the budget.
bool BudgetAllows(Step& step, const Task& task, const ShardId& shard) {
  if (task.retries == 0) {
    AddRetryCredit(step, shard);
    return true;
  }
  return ConsumeRetry(step, shard);
}

/// Assigns tasks to one shard.
AssignResult Assign(Step& step, PartitionState& partition, Job& job,
                    const Indexes& indexes) {
  const Task& first = job.tasks[indexes.front()];
  std::vector<ShardId> excluded = first.refused_by;
  excluded.insert(excluded.end(), first.never_fits.begin(),
                  first.never_fits.end());
  const Resources demand =
      Multiply(job.request.demand, static_cast<std::uint32_t>(indexes.size()));
  const auto shard = ChooseShard(step, partition, demand, excluded);
  if (!shard) {
    return AssignResult::kNoShard;
  }
  if (!BudgetAllows(step, first, *shard)) {
    return AssignResult::kNoBudget;
  }
  ShardView& view = step.state.shards.at(*shard);
  view.free -= demand;  // The next heartbeat replaces this estimate.
  std::uint32_t attempt = 0;
  for (const std::uint32_t index : indexes) {
    const Task& task = job.tasks[index];
    attempt = std::max({attempt, task.attempt, task.max_reported_attempt});
  }
  for (const std::uint32_t index : indexes) {
    Task& task = job.tasks[index];
    task.attempt = attempt + 1;
    task.shard = *shard;
    task.shard_epoch = view.epoch;
    task.home_epoch = partition.home.epoch;
  }
  if (NeedsIntent(job)) {
    Intend(step, partition, job, indexes);
  } else {
    Send(step, partition, job, indexes);
  }
  return AssignResult::kYes;
}

bool IsShardUnchanged(const Step& step, const PartitionState& partition,
                      const Task& task) {
  const auto view = step.state.shards.find(task.shard);
  const auto inquiry = partition.inquiries.find(task.shard);
  return view != step.state.shards.end() && view->second.reachable &&
         view->second.epoch == task.shard_epoch &&
         (inquiry == partition.inquiries.end() || !inquiry->second.open);
}

void StartGang(Step& step, PartitionState& partition, Job& job) {
  if (job.waiting.size() < job.tasks.size() ||
      job.tasks.front().not_before > step.now) {
    return;
  }
  const Indexes all = std::exchange(job.waiting, {});
  const AssignResult result = Assign(step, partition, job, all);
  if (result == AssignResult::kYes) {
    return;
  }
  for (const std::uint32_t index : all) {
    HandleUnassigned(step, partition, job, index, result);
  }
}

/// Handles tasks whose intents can't be written: urgent ones end, the others
/// wait.
void WaitForJournal(Step& step, PartitionState& partition, Job& job) {
  if (job.Durable()) {
    partition.awaiting_journal.insert(KeyOf(job));
    return;
  }
  for (const std::uint32_t index : std::exchange(job.waiting, {})) {
    EndTask(step, partition, job, index,
            {TaskEnd::kNotRun, ErrorKind::kStoreUnavailable});
  }
}

}  // namespace

void StartWaiting(Step& step, PartitionState& partition, Job& job) {
  if (job.Ended() || job.cancelled || job.withdrawn || job.held ||
      job.waiting.empty()) {
    return;
  }
  if (NeedsIntent(job) && partition.journal_down) {
    WaitForJournal(step, partition, job);
    return;
  }
  if (IsGang(job)) {
    StartGang(step, partition, job);
    return;
  }
  for (const std::uint32_t index : std::exchange(job.waiting, {})) {
    if (job.tasks[index].not_before > step.now) {
      job.waiting.push_back(index);
      continue;
    }
    const AssignResult result = Assign(step, partition, job, {index});
    if (result != AssignResult::kYes) {
      HandleUnassigned(step, partition, job, index, result);
    }
  }
}

void SendIntended(Step& step, PartitionState& partition, Job& job) {
  if (job.intending.empty()) {
    return;
  }
  Indexes pending;
  Indexes ready;
  for (const std::uint32_t index : std::exchange(job.intending, {})) {
    Task& task = job.tasks[index];
    if (task.intent > partition.durable) {
      pending.push_back(index);
    } else if (IsShardUnchanged(step, partition, task)) {
      ready.push_back(index);
    } else {
      task.state = TaskState::kWaiting;
      task.not_before = step.now;
      job.waiting.push_back(index);
    }
  }
  job.intending = std::move(pending);
  if (IsGang(job) && !ready.empty()) {
    Send(step, partition, job, ready);
    return;
  }
  for (const std::uint32_t index : ready) {
    Send(step, partition, job, {index});
  }
}

}  // namespace buckthornmux::home
