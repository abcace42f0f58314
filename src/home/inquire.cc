#include <algorithm>
#include <unordered_map>

#include "steps.h"

namespace buckthornmux::home {
namespace {

/// Limits the delay of a repeated Inquire to 16 times the inquiry interval.
constexpr std::uint32_t kMaxDoublings = 4;

using Reported = std::unordered_map<std::string, const sched::ReportedTask*>;

Time NextInquireTime(const Step& step, const Inquiry& inquiry) {
  const std::uint32_t doublings = std::min(inquiry.unanswered, kMaxDoublings);
  return step.now + step.state.options.inquiry_interval * (1U << doublings);
}

bool Holds(const Task& task, const ShardId& shard) {
  return task.shard == shard &&
         (task.state == TaskState::kSent || task.state == TaskState::kStarted);
}

/// A shard's answer, indexed by task id.
struct Answer {
  const ShardId& shard;
  const sched::Known& known;
  Reported reported;
  std::set<std::string> queued;
};

/// Resolves an attempt that the shard does not list.
void ResolveMissing(Step& step, PartitionState& partition, Job& job,
                    std::uint32_t index, const Answer& answer) {
  Task& task = job.tasks[index];
  const bool conclusive =
      answer.known.complete || answer.known.epoch == task.shard_epoch;
  if (task.unresolved_since == Time()) {
    task.unresolved_since = step.now;
  }
  const bool timed_out =
      step.now - task.unresolved_since >= step.state.options.resolve_timeout;
  if (conclusive && task.state == TaskState::kSent) {
    EndAttempt(step, partition, job, index,
               {TaskEnd::kNotRun, ErrorKind::kTargetUnreachable});
  } else if (conclusive || timed_out) {
    EndAttempt(step, partition, job, index,
               {TaskEnd::kUnknown, ErrorKind::kOutcomeUnknown});
  } else {
    task.unresolved = true;
  }
}

void ResolveListed(Step& step, PartitionState& partition, Job& job,
                   std::uint32_t index, const Answer& answer,
                   const sched::ReportedTask& listed) {
  Task& task = job.tasks[index];
  task.shard_epoch = answer.known.epoch;
  task.unresolved = false;
  task.unresolved_since = Time();
  if (!listed.running) {
    const ErrorKind error = listed.end == TaskEnd::kFailed
                                ? ErrorKind::kTaskFailed
                                : ErrorKind::kTargetUnreachable;
    EndAttempt(step, partition, job, index,
               {listed.end, error, Millis(0), listed.result});
  } else if (task.state == TaskState::kSent) {
    MarkStarted(step, job, index, "reported");
  }
}

void ResolveTask(Step& step, PartitionState& partition, Job& job,
                 std::uint32_t index, const Answer& answer) {
  const std::string id = KeyOf(job) + "/" + std::to_string(index);
  Task& task = job.tasks[index];
  const auto listed = answer.reported.find(id);
  const bool queued = answer.queued.contains(id);
  // An attempt that was queued under an unknown number may differ from the
  // listed one, unless the owner that held it answers or every target has
  // reported.
  const bool conclusive =
      answer.known.complete || answer.known.epoch == task.shard_epoch;
  const bool may_be_other = task.attempt == 0 && !conclusive &&
                            listed != answer.reported.end() &&
                            !listed->second->running;
  if (listed != answer.reported.end() && !queued && !may_be_other) {
    SetAttemptNumber(job, index, listed->second->attempt);
    if (listed->second->attempt == task.attempt) {
      ResolveListed(step, partition, job, index, answer, *listed->second);
      return;
    }
  }
  if (queued && task.state == TaskState::kStarted) {
    return;  // The answer is older than the reported start.
  }
  if (queued) {
    task.shard_epoch = answer.known.epoch;
    task.unresolved = false;
    task.unresolved_since = Time();
    return;
  }
  ResolveMissing(step, partition, job, index, answer);
}

/// Resolves the attempts at the shard; returns true while some outcome is
/// unresolved.
bool ResolveJobs(Step& step, PartitionState& partition, const Answer& answer) {
  bool open = false;
  const std::set<std::string> keys = partition.at_shard[answer.shard];
  for (const std::string& key : keys) {
    Job* job = FindJobByKey(partition, key);
    bool holds = false;
    for (std::uint32_t index = 0; job != nullptr && index < job->tasks.size();
         ++index) {
      if (!Holds(job->tasks[index], answer.shard)) {
        continue;
      }
      ResolveTask(step, partition, *job, index, answer);
      holds = holds || Holds(job->tasks[index], answer.shard);
      open = open || job->tasks[index].unresolved;
    }
    if (!holds) {
      partition.at_shard[answer.shard].erase(key);
    }
    if (job != nullptr) {
      DriveJob(step, partition, *job);
    }
  }
  return open;
}

AdoptedTask Adopted(const Step& step, const Answer& answer,
                    const sched::ReportedTask& task) {
  AdoptedTask adopted;
  adopted.shard = answer.shard;
  adopted.shard_epoch = answer.known.epoch;
  adopted.home_epoch = task.home.epoch;
  adopted.attempt = task.attempt;
  adopted.state = task.running ? TaskState::kStarted : TaskState::kEnded;
  adopted.end = task.end;
  adopted.result = task.result;
  adopted.payload = task.spec.payload;
  // Shards keep no payload of ended tasks.
  adopted.has_spec = task.running && !task.spec.job.empty();
  adopted.seen = step.now;
  return adopted;
}

bool HasTask(PartitionState& partition, const std::string& id) {
  const auto name = ParseTaskId(id);
  const Job* job = name ? FindJobByKey(partition, name->key) : nullptr;
  // A job that was held until its deadline has not adopted its attempts yet.
  return job != nullptr && name->index < job->tasks.size() &&
         (job->tasks[name->index].attempt != 0 ||
          job->tasks[name->index].state == TaskState::kSent);
}

/// Keeps the most informative report of a task: a live attempt takes precedence
/// over an ended one, which may be an earlier attempt at another shard; of
/// ended ones, the latest is kept.
void Adopt(PartitionState& partition, const std::string& id, AdoptedTask task,
           bool complete) {
  if (HasTask(partition, id)) {
    return;
  }
  const auto [found, inserted] = partition.adopted.try_emplace(id, task);
  AdoptedTask& known = found->second;
  const bool live = task.state != TaskState::kEnded;
  const bool known_live = known.state != TaskState::kEnded;
  const bool same_shard = known.shard == task.shard;
  const std::uint32_t max_reported =
      std::max({known.max_reported_attempt, known.attempt, task.attempt,
                task.max_reported_attempt});
  // An attempt that was live at a former owner may still be live until all
  // targets have reported.
  const bool over = same_shard && (complete || task.attempt == known.attempt ||
                                   task.shard_epoch == known.shard_epoch);
  const bool is_more_informative =
      known_live == live ? same_shard || known.attempt < task.attempt ||
                               (!live && known.end == TaskEnd::kUnknown)
                         : live || over;
  if (!inserted && is_more_informative) {
    known = std::move(task);
  }
  known.max_reported_attempt = max_reported;
}

/// Resolves live attempts that their shard no longer lists. If some shard has
/// reported an attempt of the task, its outcome is unknown; otherwise nothing
/// has run.
void ResolveUnlistedAdopted(PartitionState& partition, const Answer& answer) {
  auto item = partition.adopted.begin();
  while (item != partition.adopted.end()) {
    AdoptedTask& task = item->second;
    const bool conclusive =
        answer.known.complete || task.shard_epoch == answer.known.epoch;
    const bool vanished = task.shard == answer.shard &&
                          task.state != TaskState::kEnded && conclusive &&
                          !answer.reported.contains(item->first) &&
                          !answer.queued.contains(item->first);
    if (vanished && task.max_reported_attempt == 0) {
      item = partition.adopted.erase(item);
      continue;
    }
    if (vanished) {
      task.attempt = task.max_reported_attempt;
      task.state = TaskState::kEnded;
      task.end = TaskEnd::kUnknown;
    }
    ++item;
  }
}

/// Stores the tasks that the shard reported and that no job here has.
void AdoptUnknown(Step& step, PartitionState& partition, const Answer& answer) {
  ResolveUnlistedAdopted(partition, answer);
  for (const sched::ReportedTask& task : answer.known.tasks) {
    Adopt(partition, task.id, Adopted(step, answer, task),
          answer.known.complete);
  }
  for (const std::string& id : answer.known.queued) {
    AdoptedTask task;
    task.shard = answer.shard;
    task.shard_epoch = answer.known.epoch;
    task.seen = step.now;
    Adopt(partition, id, std::move(task), answer.known.complete);
  }
}

/// Whether the answer is valid: it answers an Inquire after which no work was
/// sent, and does not come from a former owner of the shard.
bool IsValid(const Step& step, const Inquiry& inquiry, const FromShard& event,
             const sched::Known& known) {
  const auto view = step.state.shards.find(event.shard);
  return inquiry.open && known.home.inquiry >= inquiry.first_valid &&
         known.home.inquiry <= inquiry.number && event.epoch == known.epoch &&
         view != step.state.shards.end() && known.epoch >= view->second.epoch;
}

void NoteAnswer(const Step& step, Inquiry& inquiry, const sched::Known& known) {
  inquiry.open = false;
  inquiry.unanswered = 0;
  inquiry.next_inquire_at = Time::max();
  if (inquiry.epoch != known.epoch) {
    inquiry.epoch = known.epoch;
    inquiry.first_answer = step.now;
  }
  const bool timed_out =
      step.now - inquiry.first_answer >= step.state.options.resolve_timeout;
  inquiry.settled = inquiry.settled || known.complete || timed_out;
}

void DriveWaiting(Step& step, PartitionState& partition) {
  for (const std::string& key : std::exchange(partition.awaiting_shard, {})) {
    if (Job* job = FindJobByKey(partition, key)) {
      DriveJob(step, partition, *job);
    }
  }
}

}  // namespace

void SendInquire(Step& step, PartitionState& partition, const ShardId& shard) {
  Inquiry& inquiry = partition.inquiries[shard];
  ++inquiry.number;
  if (!inquiry.open) {
    inquiry.open = true;
    inquiry.first_valid = inquiry.number;
  }
  inquiry.next_inquire_at = NextInquireTime(step, inquiry);
  ++inquiry.unanswered;
  sched::Home home = partition.home;
  home.inquiry = inquiry.number;
  step.actions.emplace_back(ToShard{shard, 0, sched::Inquire{home}});
  SetPartitionTimer(step, partition);
}

void InquireDue(Step& step, PartitionState& partition) {
  for (auto& [shard, inquiry] : partition.inquiries) {
    if (inquiry.next_inquire_at > step.now) {
      continue;
    }
    inquiry.next_inquire_at = Time::max();
    const auto view = step.state.shards.find(shard);
    const bool audit_only =
        !inquiry.open && inquiry.settled && partition.at_shard[shard].empty();
    if (view != step.state.shards.end() && view->second.reachable &&
        !audit_only) {
      SendInquire(step, partition, shard);
    }
  }
}

void OnKnown(Step& step, PartitionState& partition, const FromShard& event,
             const sched::Known& known) {
  Inquiry& inquiry = partition.inquiries[event.shard];
  if (known.home.epoch != partition.home.epoch ||
      !IsValid(step, inquiry, event, known)) {
    return;
  }
  Answer answer{event.shard, known, {}, {}};
  for (const sched::ReportedTask& task : known.tasks) {
    answer.reported[task.id] = &task;
  }
  answer.queued.insert(known.queued.begin(), known.queued.end());
  AdoptUnknown(step, partition, answer);
  // Attempts are resolved before new ones may be sent to the shard.
  const bool open = ResolveJobs(step, partition, answer);
  NoteAnswer(step, inquiry, known);
  if (open || !inquiry.settled) {
    inquiry.next_inquire_at = step.now + step.state.options.inquiry_interval;
  } else if (!partition.at_shard[event.shard].empty()) {
    inquiry.next_inquire_at = step.now + step.state.options.audit_interval;
  }
  SetPartitionTimer(step, partition);
  SettleIfKnown(step, partition);
  DriveWaiting(step, partition);
}

}  // namespace buckthornmux::home
