#include <algorithm>
#include <numeric>

#include "steps.h"

namespace buckthornmux::home {
namespace {

Time DeadlineOf(const Step& step, const JobRequest& request) {
  return request.deadline == 0 ? Time::max()
                               : step.state.anchor.ToSteady(request.deadline);
}

bool NeedsJournal(const JobRequest& request) {
  return request.work_class != WorkClass::kUrgent || !request.idempotent;
}

/// Reason to reject a new request, if there is one.
std::optional<ErrorKind> RejectionReason(const Step& step,
                                         const PartitionState& partition,
                                         const JobRequest& request) {
  if (request.tasks == 0) {
    return ErrorKind::kMalformed;
  }
  if (request.tasks > step.state.options.max_tasks_per_job) {
    return ErrorKind::kTooLarge;
  }
  if (DeadlineOf(step, request) <= step.now) {
    return ErrorKind::kDeadlinePassed;
  }
  if (!EverFits(step.state, request)) {
    return ErrorKind::kNeverFits;
  }
  if (partition.open_jobs >= step.state.options.max_open_jobs) {
    return ErrorKind::kQueueFull;
  }
  if (NeedsJournal(request) && partition.journal_down) {
    return ErrorKind::kStoreUnavailable;
  }
  return std::nullopt;
}

Job MakeJob(const Step& step, const JobRequest& request) {
  Job job;
  job.request = request;
  job.deadline = DeadlineOf(step, request);
  job.tasks.resize(request.tasks);
  job.open_tasks = request.tasks;
  job.waiting.resize(request.tasks);
  std::iota(job.waiting.begin(), job.waiting.end(), 0U);
  return job;
}

Waiter WaiterFor(const Step& step, const Submit& event) {
  const bool urgent = event.request.work_class == WorkClass::kUrgent;
  Waiter waiter{event.token,
                urgent ? Waiter::For::kEnd : Waiter::For::kAcceptance};
  if (urgent) {
    waiter.deadline = DeadlineOf(step, event.request);
  }
  return waiter;
}

/// Creates the job of a new request, or rejects the request.
void CreateJob(Step& step, PartitionState& partition, const Submit& event) {
  const JobRequest& request = event.request;
  if (const auto reason = RejectionReason(step, partition, request)) {
    Refuse(step, event.token, request, *reason,
           RanOfUnknownRequest(partition, request));
    return;
  }
  const std::string key = KeyOf(request.team, request.id);
  Job& job = partition.jobs[key] = MakeJob(step, request);
  ++partition.open_jobs;
  if (event.token != 0) {
    job.waiters.push_back(WaiterFor(step, event));
  }
  if (job.Durable()) {
    JournalRecord record;
    record.type = JournalRecord::Type::kAccepted;
    record.request = request;
    job.acceptance_sequence =
        AppendFor(step, partition, job, std::move(record));
  } else if (request.idempotent && !partition.settled) {
    job.held = true;
    partition.held.insert(key);
  } else if (!AdoptInto(step, partition, job)) {
    --partition.open_jobs;
    partition.jobs.erase(key);
    Refuse(step, event.token, request, ErrorKind::kDuplicateRequest,
           Ran::kUnknown);
    return;
  }
  DriveJob(step, partition, job);
}

/// Whether a repeated request restarts an ended job: the job is known not to
/// have run, or it is idempotent and its caller has no final answer yet.
bool MayRestart(const Job& job) {
  if (job.Durable() || job.phase != JobPhase::kFailed) {
    return false;
  }
  const bool has_final_answer = job.error == ErrorKind::kTaskFailed ||
                                job.error == ErrorKind::kJobRefused;
  return RanOf(job) == Ran::kNo ||
         (job.request.idempotent && !has_final_answer);
}

void RestartJob(Step& step, PartitionState& partition, Job& job) {
  job.phase = JobPhase::kAccepted;
  job.error = ErrorKind::kInternal;
  job.retry_after = Millis(0);
  job.request_journaled = false;
  for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
    Task& task = job.tasks[index];
    if (task.end == TaskEnd::kDone) {
      continue;
    }
    task.state = TaskState::kWaiting;
    task.end = TaskEnd::kNotRun;
    task.retries = 0;
    task.not_before = step.now;
    task.refused_by.clear();
    task.never_fits.clear();
    job.waiting.push_back(index);
    ++job.open_tasks;
  }
  ++partition.open_jobs;
  if (job.request.idempotent && !partition.settled) {
    job.held = true;
    partition.held.insert(KeyOf(job));
  } else {
    AdoptOrRejectAttempts(step, partition, job);
  }
  Note(step, job, "requested again");
}

/// Adds the caller of a repeated urgent request to its job, which is restarted
/// if it may be.
void JoinUrgent(Step& step, PartitionState& partition, Job& job,
                const Submit& event) {
  const Waiter waiter = WaiterFor(step, event);
  if (job.Ended() && !MayRestart(job)) {
    AnswerStatus(step, event.token, job, false);
    return;
  }
  if (waiter.deadline <= step.now) {
    AnswerError(step, event.token, job, ErrorKind::kDeadlinePassed);
    return;
  }
  if (job.Ended()) {
    if (NeedsJournal(job.request) && partition.journal_down) {
      AnswerError(step, event.token, job, ErrorKind::kStoreUnavailable);
      return;
    }
    RestartJob(step, partition, job);
    job.deadline = waiter.deadline;
  }
  if (event.token != 0) {
    job.waiters.push_back(waiter);
  }
  job.deadline = std::max(job.deadline, waiter.deadline);
  job.withdrawn = false;
  if (!job.cancelled) {
    job.next_cancel_at = Time::max();
  }
  DriveJob(step, partition, job);
}

/// Handles a repeated request.
void JoinJob(Step& step, PartitionState& partition, Job& job,
             const Submit& event) {
  if (!SameWork(job.request, event.request)) {
    Refuse(step, event.token, event.request, ErrorKind::kDuplicateRequest,
           std::max(RanOf(job), Ran::kUnknown));
  } else if (!job.Durable()) {
    JoinUrgent(step, partition, job, event);
  } else if (job.acceptance_durable) {
    AnswerStatus(step, event.token, job, true);
  } else if (partition.journal_down) {
    AnswerError(step, event.token, job, ErrorKind::kStoreUnknown);
  } else if (event.token != 0) {
    job.waiters.push_back(WaiterFor(step, event));
  }
}

}  // namespace

void OnSubmit(Step& step, const Submit& event) {
  const JobRequest& request = event.request;
  const Partition number = PartitionOf(request.team, request.id);
  const std::string key = KeyOf(request.team, request.id);
  OpenCallFor(step, event.token, number, key);
  PartitionState* partition = FindPartition(step.state, number);
  if (partition == nullptr) {
    // An earlier attempt of the same request may run under the partition's
    // current owner.
    Refuse(step, event.token, request, ErrorKind::kOwnerStale, Ran::kUnknown);
    return;
  }
  DropExpired(step, *partition);
  Job* job = FindJobByKey(*partition, key);
  if (job == nullptr) {
    CreateJob(step, *partition, event);
  } else {
    JoinJob(step, *partition, *job, event);
  }
}

void OnQuery(Step& step, const QueryJob& event) {
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
    Refuse(step, event.token, request, ErrorKind::kNotFound, Ran::kUnknown);
  } else if (event.wait && !job->Ended()) {
    if (event.token != 0) {
      job->waiters.push_back({event.token, Waiter::For::kEnd});
    }
  } else {
    AnswerStatus(step, event.token, *job, job->acceptance_durable);
  }
}

void OnCallerGone(Step& step, const CallerGone& event) {
  const auto call = step.state.calls.find(event.token);
  if (call == step.state.calls.end()) {
    return;
  }
  const OpenCall closed = call->second;
  step.state.calls.erase(call);
  PartitionState* partition = FindPartition(step.state, closed.partition);
  Job* job =
      partition == nullptr ? nullptr : FindJobByKey(*partition, closed.key);
  if (job != nullptr) {
    std::erase_if(job->waiters, [&](const Waiter& waiter) {
      return waiter.token == event.token;
    });
  }
}

}  // namespace buckthornmux::home
