#include <algorithm>
#include <utility>

#include "buckthornmux/detail/core/invariant.h"
#include "src/cell/admission/admission.h"
#include "src/cell/admission/permissions.h"
#include "src/cell/admission/queues.h"
#include "src/cell/admission/shares.h"
#include "src/cell/admission/team_limits.h"
#include "src/cell/records/record_codec.h"

namespace buckthornmux::cell {
namespace {

/// Priority of jobs whose queue isn't known.
constexpr int kNoPriority = 9;
/// One job may take one part of this many of the memory of all jobs, and its
/// record one part of the maximum value.
constexpr std::size_t kJobPart = 8;
constexpr std::size_t kRecordPart = 2;
/// The jobs of one team may take this part of the memory, in percent.
constexpr std::size_t kTeamPercent = 75;

void Refuse(Actions& actions, CallId call, const JobSpec& spec, ErrorKind kind,
            std::string message, bool exists = false) {
  Note(actions, "job_refused",
       {{"job", spec.id},
        {"queue", spec.queue},
        {"team", spec.team},
        {"error", std::string(AnswerFor(kind).name)},
        {"reason", message}});
  actions.emplace_back(
      AnswerSubmit{call, Error{kind, std::move(message), {}}, exists});
}

/// Whether any target is or was large enough for a task, since its capacity may
/// grow again; true if no target is known.
bool CanEverFit(const Cell& cell, const Queue& queue, const StepSpec& step) {
  bool any = false;
  for (const auto& [id, target] : cell.targets) {
    if (target.entry.service != queue.service) {
      continue;
    }
    any = true;
    if (ReservedBy(step).FitsIn(target.largest)) {
      return true;
    }
  }
  const auto stored = cell.largest.find(queue.service);
  return !any || (stored != cell.largest.end() &&
                  std::ranges::any_of(stored->second, [&](const auto& room) {
                    return ReservedBy(step).FitsIn(room);
                  }));
}

/// Whether the tasks of a job that last could ever run all at once.
bool MayAllLast(const Cell& cell, const JobSpec& spec) {
  const std::uint64_t times = std::max(1U, spec.recurrence.count);
  std::uint64_t lasting = 0;
  for (const StepSpec& step : spec.steps) {
    lasting += step.service ? step.count * times : 0;
  }
  return lasting <= cell.options.max_runs;
}

/// Returns the reason to refuse a job that is too large at any time.
std::optional<Error> ReasonToRefuseSize(const Cell& cell, const JobSpec& spec) {
  const Options& options = cell.options;
  if (spec.steps.size() > kMaxSteps) {
    return Error{ErrorKind::kTooLarge, "the job has too many steps", {}};
  }
  if (BytesOf(spec, false) > options.max_job_bytes / kJobPart) {
    return Error{ErrorKind::kTooLarge, "the job takes too much memory", {}};
  }
  if (StoredBytes(spec) > options.max_value_bytes / kRecordPart) {
    return Error{ErrorKind::kTooLarge, "the job doesn't fit in a record", {}};
  }
  if (!MayAllLast(cell, spec)) {
    return Error{
        ErrorKind::kNeverFits, "the cell could not run all lasting tasks", {}};
  }
  return std::nullopt;
}

/// Returns the reason to refuse a job while other jobs take the memory, if any.
std::optional<Error> ReasonToRefuseNow(const Cell& cell, const JobSpec& spec) {
  const std::size_t most = cell.options.max_job_bytes;
  const std::size_t bytes = BytesOf(spec, false);
  if (cell.job_bytes + bytes > most) {
    return Error{ErrorKind::kQueueFull, "the open jobs take all memory", {}};
  }
  const auto usage = cell.usage.find(spec.team);
  constexpr std::size_t kAllPercent = 100;
  if (usage != cell.usage.end() &&
      usage->second.job_bytes + bytes > most / kAllPercent * kTeamPercent) {
    return Error{ErrorKind::kTeamLimit,
                 "the team's open jobs take most of the memory",
                 {}};
  }
  return std::nullopt;
}

/// Returns the reason to refuse a new job, if any.
std::optional<Error> ReasonToRefuse(const Cell& cell, const JobSpec& spec) {
  if (!cell.loaded) {
    return Error{ErrorKind::kNotReady, "stored jobs are being read", {}};
  }
  if (!cell.store_healthy) {
    return Error{ErrorKind::kStoreUnavailable, "writes are not answered", {}};
  }
  const Queue* queue = FindQueue(cell, spec.queue);
  if (queue == nullptr) {
    return Error{ErrorKind::kNotReady, "the queue is not in force here", {}};
  }
  if (cell.jobs.size() >= cell.options.max_open_jobs) {
    return Error{ErrorKind::kQueueFull, "too many jobs are open", {}};
  }
  if (auto reason = ReasonToRefuseSize(cell, spec)) {
    return reason;
  }
  for (const StepSpec& step : spec.steps) {
    if (!CanEverFit(cell, *queue, step)) {
      return Error{ErrorKind::kNeverFits, "no target could hold a task", {}};
    }
  }
  return ReasonToRefuseNow(cell, spec);
}

/// Returns the refusal of a job that can't end while it is of use, if so.
Verdict JudgeCompletion(Cell& cell, const JobSpec& spec, const Queue& queue,
                        bool excess, Time now) {
  const bool ends = std::ranges::none_of(
      spec.steps, [](const StepSpec& step) { return step.service; });
  if (!ends || spec.recurrence.count > 0) {
    return {};
  }
  const std::vector<Millis> chains = ChainsOf(spec);
  const Millis chain =
      chains.empty() ? Millis(0) : *std::ranges::max_element(chains);
  return Admit(MakeAdmissionView(cell, queue.priority, excess, now),
               {spec.id, chain, ObjectiveOf(queue, spec)});
}

void RefuseLate(Actions& actions, CallId call, const JobSpec& spec,
                const Verdict& verdict) {
  constexpr std::string_view kReason = "can't end while it is of use";
  Note(actions, "job_refused",
       {{"job", spec.id},
        {"queue", spec.queue},
        {"team", spec.team},
        {"error", std::string(AnswerFor(ErrorKind::kCellFull).name)},
        {"reason", std::string(kReason)},
        {"ends_in_ms", std::to_string(verdict.ends_in.count())},
        {"retry_after_ms", std::to_string(verdict.retry_after.count())}});
  actions.emplace_back(
      AnswerSubmit{call, Error{ErrorKind::kCellFull, std::string(kReason), {}},
                   false, verdict.retry_after});
}

/// Whether no write has been sent for a new job, so that it can still be
/// refused.
bool IsUnsent(const Job& job) {
  return job.durable == 0 && job.stored_in.empty() && !job.Ended();
}

void RefuseUnsent(Cell& cell, Actions& actions, std::span<const JobId> jobs,
                  std::string_view reason) {
  for (const JobId& id : jobs) {
    Job* found = FindJob(cell, id);
    if (found == nullptr) {
      continue;  // Listed twice if the job was refused and resubmitted.
    }
    for (const CallId call : found->submit_calls) {
      Refuse(actions, call, found->spec, ErrorKind::kStoreUnavailable,
             std::string(reason));
    }
    cell.writes.count -= found->unstored ? 1 : 0;
    --cell.pending[found->spec.queue];
    DropJob(cell, id);
  }
}

/// Notes the arrival of an urgent job that ends by itself and starts now.
void NoteIfUrgent(Cell& cell, const Queue& queue, const JobSpec& spec,
                  Time now) {
  if (queue.priority != 0 || spec.recurrence.count > 0) {
    return;
  }
  std::int64_t cpu = 0;
  std::int64_t tasks = 0;
  for (const StepSpec& step : spec.steps) {
    if (!step.service) {
      cpu += ReservedBy(step).cpu_milli * step.count;
      tasks += step.count;
    }
  }
  if (tasks == 0) {
    return;
  }
  NoteUrgentArrival(cell.urgent_arrivals, cpu, tasks, ObjectiveOf(queue, spec),
                    ChainFrom(spec, 0), now);
}

/// Stops the runs of a job that has ended.
void StopAll(Cell& cell, Actions& actions, const Job& job, std::string_view why,
             Time now) {
  const RunId first{{job.spec.id, 0, 0, 0}, 0};
  for (auto& [id, target] : cell.targets) {
    std::vector<RunId> runs;
    for (auto run = target.runs.lower_bound(first);
         run != target.runs.end() && run->first.task.job == job.spec.id;
         ++run) {
      runs.push_back(run->first);
      CountEndedRun(cell, run->first, run->second);
    }
    for (const RunId& run : runs) {
      StopRun(cell, actions, target, run, why, now);
    }
  }
}

}  // namespace

void Note(Actions& actions, std::string event,
          std::initializer_list<std::pair<std::string, std::string>> fields) {
  actions.emplace_back(
      Decision{std::move(event), std::vector(fields.begin(), fields.end())});
}

std::string TaskName(const TaskId& task) {
  return task.job + '.' + std::to_string(task.occurrence) + '.' +
         std::to_string(task.step) + '.' + std::to_string(task.index);
}

std::string_view PhaseName(JobPhase phase) {
  switch (phase) {
    case JobPhase::kQueued:
      return "queued";
    case JobPhase::kRunning:
      return "running";
    case JobPhase::kCompleted:
      return "completed";
    case JobPhase::kFailed:
      return "failed";
    case JobPhase::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

bool IsBusy(const Cell& cell) {
  const auto capacity = static_cast<double>(cell.capacity_cpu);
  return static_cast<double>(cell.backlog_cpu) >
             cell.options.busy_backlog * capacity &&
         static_cast<double>(cell.free_cpu) < cell.options.busy_free * capacity;
}

const Job* FindJob(const Cell& cell, std::string_view id) {
  const auto found = cell.jobs.find(JobId(id));
  return found == cell.jobs.end() ? nullptr : &found->second;
}

Job* FindJob(Cell& cell, std::string_view id) {
  return const_cast<Job*>(FindJob(std::as_const(cell), id));
}

const Step* FindStep(const Job& job, std::uint32_t occurrence,
                     std::uint32_t step) {
  const auto found = job.occurrences.find(occurrence);
  if (found == job.occurrences.end() || step >= found->second.steps.size()) {
    return nullptr;
  }
  return &found->second.steps[step];
}

Step* FindStep(Job& job, std::uint32_t occurrence, std::uint32_t step) {
  return const_cast<Step*>(FindStep(std::as_const(job), occurrence, step));
}

Task* FindTask(Job& job, const TaskId& id) {
  Step* step = FindStep(job, id.occurrence, id.step);
  if (step == nullptr || id.index >= step->tasks.Count() ||
      step->tasks.IsDone(id.index)) {
    return nullptr;
  }
  return &step->tasks.Get(id.index);
}

void MarkChanged(Cell& cell, Job& job, bool urgent, Time now) {
  ++job.version;
  WriteQueues& writes = cell.writes;
  if (!job.unstored) {
    job.unstored = true;
    ++writes.count;
    writes.since = writes.since.value_or(now);
    if (!urgent) {
      writes.others.push_back(job.spec.id);
    }
  }
  if (urgent && !job.urgent_write) {
    job.urgent_write = true;
    writes.urgent.push_back(job.spec.id);
  }
}

std::vector<Millis> ChainsOf(const JobSpec& spec) {
  std::vector<Millis> chains(spec.steps.size());
  std::vector<Millis> longest_after(spec.steps.size());
  for (std::size_t i = spec.steps.size(); i-- > 0;) {
    chains[i] = spec.steps[i].estimate + longest_after[i];
    for (const std::uint32_t before : spec.steps[i].after) {
      if (before < i) {
        longest_after[before] = std::max(longest_after[before], chains[i]);
      }
    }
  }
  return chains;
}

Millis ChainFrom(const JobSpec& spec, std::uint32_t step) {
  return ChainsOf(spec)[step];
}

Millis ObjectiveOf(const Queue& queue, const JobSpec& spec) {
  const std::vector<Millis> chains = ChainsOf(spec);
  const Millis chain =
      chains.empty() ? Millis(0) : *std::ranges::max_element(chains);
  const auto stretched = static_cast<std::int64_t>(
      queue.stretch * static_cast<double>(chain.count()));
  return Millis(stretched) + queue.target_runtime;
}

std::optional<JobPhase> PhaseOf(const Cell& cell, std::string_view job) {
  const auto found = cell.jobs.find(JobId(job));
  if (found == cell.jobs.end() || found->second.durable == 0) {
    return std::nullopt;
  }
  const Job& known = found->second;
  if (known.Ended() && known.durable < known.end_version) {
    return JobPhase::kRunning;  // Its end isn't durable yet.
  }
  return known.phase;
}

std::uint32_t PendingOf(const Cell& cell, std::string_view queue) {
  const std::string_view current = CurrentName(cell, queue);
  std::uint32_t pending = 0;
  for (const auto& [name, count] : cell.pending) {
    pending += CurrentName(cell, name) == current ? count : 0;
  }
  return pending;
}

void Submit(Cell& cell, Actions& actions, CallId call, JobSpec spec, Time now,
            Time answer_by) {
  if (Job* known = FindJob(cell, spec.id)) {
    if (auto denied = ReasonToDeny(cell, *known, {spec.queue, spec.team})) {
      const bool foreign = denied->kind == ErrorKind::kNotPermitted;
      Refuse(actions, call, spec,
             foreign ? ErrorKind::kDuplicateRequest : denied->kind,
             std::move(denied->message), true);
    } else if (known->durable > 0) {
      actions.emplace_back(AnswerSubmit{call, std::nullopt, true});
    } else {
      known->submit_calls.push_back(call);
      known->answer_by = std::max(known->answer_by, answer_by);
    }
    return;
  }
  if (auto reason = ReasonToRefuse(cell, spec)) {
    Refuse(actions, call, spec, reason->kind, std::move(reason->message));
    return;
  }
  const bool excess = !TakeToken(cell, spec.team, now);
  if (excess && (IsBusy(cell) || IsExcessFull(cell))) {
    Refuse(actions, call, spec, ErrorKind::kTeamLimit,
           "the team sends more than its share while work waits");
    return;
  }
  const Queue& queue = *FindQueue(cell, spec.queue);
  if (const Verdict verdict = JudgeCompletion(cell, spec, queue, excess, now);
      !verdict.admitted) {
    RefuseLate(actions, call, spec, verdict);
    return;
  }
  KeepQueue(cell, queue, now);
  KeepTeam(cell, spec.team, now);
  NoteIfUrgent(cell, queue, spec, now);
  Job job;
  job.excess = excess;
  job.objective = ObjectiveOf(queue, spec);
  job.priority = queue.priority;
  job.arrived = now;
  job.arrived_wall = ToMs(now) + cell.wall_offset;
  job.submit_calls.push_back(call);
  job.answer_by = answer_by;
  job.spec = std::move(spec);
  ++cell.pending[job.spec.queue];
  Job& kept = cell.jobs.emplace(job.spec.id, std::move(job)).first->second;
  CountBytes(cell, kept);
  MarkChanged(cell, kept, true, now);
}

void RefuseOverdue(Cell& cell, Actions& actions, Time now) {
  std::vector<JobId> overdue;
  for (const JobId& id : cell.writes.urgent) {
    const Job* job = FindJob(cell, id);
    if (job != nullptr && IsUnsent(*job) && now >= job->answer_by) {
      overdue.push_back(id);
    }
  }
  RefuseUnsent(cell, actions, overdue, "no write has begun in time");
}

void Cancel(Cell& cell, Actions& actions, CallId call, std::string_view id,
            const Caller& caller, Time now) {
  Job* job = FindJob(cell, id);
  if (job == nullptr) {
    actions.emplace_back(AnswerCancel{call, false, std::nullopt});
    return;
  }
  if (auto denied = ReasonToDeny(cell, *job, caller)) {
    Note(actions, "cancel_refused",
         {{"job", job->spec.id},
          {"queue", caller.queue},
          {"team", caller.team},
          {"of_team", job->spec.team},
          {"error", std::string(AnswerFor(denied->kind).name)}});
    actions.emplace_back(AnswerCancel{call, false, std::move(denied)});
    return;
  }
  if (!job->Ended()) {
    EndJob(cell, actions, *job, JobPhase::kCancelled, "caller", now);
  }
  if (job->durable >= job->end_version) {
    actions.emplace_back(AnswerCancel{call, true, std::nullopt});
  } else {
    job->cancel_calls.push_back(call);
  }
}

void EndJob(Cell& cell, Actions& actions, Job& job, JobPhase phase,
            std::string_view why, Time now) {
  Invariant(!job.Ended(), "job_ends_once", job.spec.id);
  KeepUnknownRuns(cell, job, now);
  if (!job.started) {
    --cell.pending[job.spec.queue];
    job.started = true;
  }
  job.phase = phase;
  job.ended_at = now;
  CloseOccurrences(cell, job);
  StopAll(cell, actions, job, PhaseName(phase), now);
  job.spec.payload.clear();
  job.spec.payload.shrink_to_fit();
  CountBytes(cell, job);
  MarkChanged(cell, job, true, now);
  job.end_version = job.version;
  Note(actions, "job_ended",
       {{"job", job.spec.id},
        {"queue", job.spec.queue},
        {"team", job.spec.team},
        {"phase", std::string(PhaseName(phase))},
        {"reason", std::string(why)},
        {"took_ms", std::to_string((now - job.arrived).count())},
        {"objective_ms", std::to_string(job.objective.count())}});
  cell.plan_due = true;
}

void SetRules(Cell& cell, Actions& actions, Rules rules, Time now) {
  if (rules.version < cell.rules.version) {
    Note(actions, "rules_older_ignored",
         {{"version", std::to_string(rules.version)},
          {"in_force", std::to_string(cell.rules.version)}});
    return;
  }
  cell.rules = std::move(rules);
  cell.queues.clear();
  cell.teams.clear();
  cell.services.clear();
  for (const Queue& queue : cell.rules.queues) {
    cell.queues.emplace(queue.name, queue);
  }
  for (const Team& team : cell.rules.teams) {
    cell.teams.emplace(team.name, team);
  }
  for (const Service& service : cell.rules.services) {
    cell.services.emplace(service.name, service);
  }
  UpdateKeptQueues(cell, actions, now);
  UpdateKeptTeams(cell, now);
  for (auto& [id, job] : cell.jobs) {
    const Queue* queue = QueueOf(cell, job);
    job.priority = queue == nullptr ? kNoPriority : queue->priority;
  }
  cell.plan_due = true;
}

void SetStoreHealthy(Cell& cell, Actions& actions, bool healthy) {
  if (cell.store_healthy == healthy) {
    return;
  }
  cell.store_healthy = healthy;
  Note(actions, healthy ? "store_regained" : "store_lost",
       {{"by", "journal"},
        {"unstored_jobs", std::to_string(cell.writes.count)}});
  if (healthy) {
    return;
  }
  std::vector<JobId> unsent;
  for (const auto& [id, job] : cell.jobs) {
    if (IsUnsent(job)) {
      unsent.push_back(id);
    }
  }
  RefuseUnsent(cell, actions, unsent, "writes are not answered");
}

}  // namespace buckthornmux::cell
