#include <algorithm>
#include <utility>

#include "buckthornmux/detail/core/invariant.h"
#include "src/cell/admission/team_limits.h"
#include "src/cell/runs/verdicts.h"

namespace buckthornmux::cell {
namespace {

constexpr int kPerMille = 1000;
/// Delay before the first resend of a stop; Options::stop_retry_delay applies
/// to the later ones.
constexpr Millis kFirstStopRetryDelay{100};

/// Releases a run that the target never started, so that its task can start
/// elsewhere.
void ReleaseUnstartedRun(Cell& cell, Target& target, const RunId& id) {
  ReleaseRun(cell, target, id);
  cell.plan_due = true;
}

/// Stops the other members of a gang that lost one, so that all start again.
void StopGang(Cell& cell, Actions& actions, const RunId& id, Time now) {
  Job* job = FindJob(cell, id.task.job);
  if (job == nullptr || job->Ended()) {
    return;
  }
  Step* step = FindStep(*job, id.task.occurrence, id.task.step);
  if (step == nullptr || !job->spec.steps[id.task.step].gang) {
    return;
  }
  for (const auto& [i, task] : step->tasks.Started()) {
    if (task.phase != TaskPhase::kLive) {
      continue;
    }
    const TargetId target_id = task.target;
    const RunId member{{id.task.job, id.task.occurrence, id.task.step, i},
                       task.run};
    if (Target* target = FindTarget(cell, target_id)) {
      StopRun(cell, actions, *target, member, "gang member missing", now);
    }
  }
}

/// Whether a start may be sent again. Since the run was reserved, the target's
/// room may have shrunk, the team's limit may have been lowered, the evacuation
/// of the target's data centre may have begun, the target may drain, or the
/// list be too old.
bool MayResendStart(const Cell& cell, const Target& target, const Run& run,
                    Time now) {
  return MayStartOn(cell, target, now) &&
         target.used.FitsIn(target.entry.capacity) && TeamAllowsRun(cell, run);
}

void ResendStart(Cell& cell, Actions& actions, Target& target, const RunId& id,
                 Run& run, Time now) {
  const Job* job = FindJob(cell, id.task.job);
  if (job == nullptr || job->Ended()) {
    StopRun(cell, actions, target, id, "job ended", now);
    return;
  }
  Job& known = *FindJob(cell, id.task.job);
  const Step* step = FindStep(known, id.task.occurrence, id.task.step);
  if (step == nullptr || run.tries >= cell.options.start_tries) {
    StopRun(cell, actions, target, id, "start not answered", now);
    return;
  }
  const auto ticket = step->advice.tickets.find(target.entry.id);
  const StepSpec& spec = known.spec.steps[id.task.step];
  SendStart start{target.entry.id,
                  target.entry.life,
                  id,
                  known.spec.payload,
                  step->tasks.CheckpointOf(spec.gang ? 0 : id.task.index),
                  ticket == step->advice.tickets.end() ? std::string()
                                                       : ticket->second.text,
                  DeadlineAt(cell, target, now),
                  target.life_confirmed,
                  ListUsableUntil(cell)};
  ++run.tries;
  run.in_flight = true;
  OnLeaseSent(cell, target.entry.id, now);
  actions.emplace_back(std::move(start));
  Note(actions, "start_resent",
       {{"job", id.task.job},
        {"task", TaskName(id.task)},
        {"run", std::to_string(id.number)},
        {"target", target.entry.id},
        {"life", std::to_string(target.entry.life)},
        {"send", std::to_string(run.tries)},
        {"list_age_ms", std::to_string(ListAge(cell, now).count())}});
}

std::string_view RunPhaseName(RunPhase phase) {
  switch (phase) {
    case RunPhase::kSent:
      return "sent";
    case RunPhase::kRunning:
      return "running";
    case RunPhase::kStopping:
      return "stopping";
  }
  return "unknown";
}

/// Logs what is known of a run that is given up with its target.
void NoteDroppedRun(Actions& actions, const Target& target, const RunId& id,
                    std::string_view why) {
  const Run& run = target.runs.at(id);
  Note(actions, "run_dropped",
       {{"job", id.task.job},
        {"task", TaskName(id.task)},
        {"run", std::to_string(id.number)},
        {"target", target.entry.id},
        {"life", std::to_string(target.entry.life)},
        {"phase", std::string(RunPhaseName(run.phase))},
        {"listed", run.listed ? "true" : "false"},
        {"unsure", run.unsure || run.in_flight ? "true" : "false"},
        {"sent_ms", std::to_string(ToMs(run.sent))},
        {"reason", std::string(why)}});
}

/// Returns the sum that a run is charged to.
Resources& ChargedTo(Cell& cell, const Run& run) {
  return run.team_unknown ? cell.unattributed : cell.usage[run.team].used;
}

/// Takes a run off those of ended jobs.
void DiscountEndedRun(Cell& cell, const RunId& id) {
  const auto ended = cell.ended_runs.find({id.task.job, id.task.step});
  if (ended == cell.ended_runs.end()) {
    return;
  }
  if (--ended->second.count == 0) {
    cell.ended_runs.erase(ended);
  }
  cell.ended_runs_dirty = true;
}

}  // namespace

std::string_view OutcomeName(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kNotSent:
      return "not_sent";
    case OrderOutcome::kUnknown:
      return "unknown";
    case OrderOutcome::kFenced:
      return "fenced";
    case OrderOutcome::kOld:
      return "old_run";
    case OrderOutcome::kLate:
      return "too_late";
    case OrderOutcome::kNoRoom:
      return "no_room";
    case OrderOutcome::kBadTicket:
      return "bad_ticket";
    case OrderOutcome::kUnhealthy:
      return "unhealthy";
    case OrderOutcome::kOtherLife:
      return "other_life";
    case OrderOutcome::kRefused:
      return "refused";
  }
  return "unknown";
}

Target* FindTarget(Cell& cell, const TargetId& id) {
  const auto found = cell.targets.find(id);
  return found == cell.targets.end() ? nullptr : &found->second;
}

std::int64_t DeadlineAt(const Cell& cell, const Target& target, Time now) {
  return ToMs(now) + target.clock_offset + cell.options.lease.count();
}

void CountEndedRun(Cell& cell, const RunId& id, const Run& run) {
  EndedRuns& ended = cell.ended_runs[{id.task.job, id.task.step}];
  ended = {ended.count + 1, run.charged};
  cell.ended_runs_dirty = true;
}

void AddRun(Cell& cell, Target& target, const RunId& id, Run run) {
  const Job* job = FindJob(std::as_const(cell), id.task.job);
  if (job != nullptr && job->Ended()) {
    CountEndedRun(cell, id, run);
  }
  target.used += run.demand;
  ChargedTo(cell, run) += run.charged;
  target.unknown_runs += run.demand_unknown ? 1 : 0;
  const bool added = target.runs.emplace(id, std::move(run)).second;
  Invariant(added, "run_held_once", id.task.job);
  ++cell.run_count;
}

Run MakeRun(const Job& job, std::uint32_t step, Time now) {
  const StepSpec& spec = job.spec.steps[step];
  Run run;
  run.phase = RunPhase::kRunning;
  run.sent = now;
  run.confirmed_at = now;
  run.progress_at = now;
  run.listed = true;
  run.demand = ReservedBy(spec);
  run.charged = spec.demand;
  run.team = job.spec.team;
  run.priority = job.priority;
  run.checkpoints = spec.checkpoints;
  run.gang = spec.gang;
  run.service = spec.service;
  run.estimate = spec.estimate;
  return run;
}

void NoteBegun(Cell& cell, Job& job) {
  if (!job.started) {
    job.started = true;
    job.phase = JobPhase::kRunning;
    --cell.pending[job.spec.queue];
  }
}

void HoldTask(Cell& cell, Job& job, const RunId& id, const Target& target) {
  Task& task = *FindTask(job, id.task);
  task.phase = TaskPhase::kLive;
  task.target = target.entry.id;
  task.run = id.number;
  task.next_run = std::max(task.next_run, id.number + 1);
  ++FindStep(job, id.task.occurrence, id.task.step)->live;
  RefreshStep(cell, job, id.task.occurrence, id.task.step);
  NoteBegun(cell, job);
}

void ReleaseSupersededRun(Cell& cell, Job& job, const RunId& later) {
  const Task* task = FindTask(job, later.task);
  if (task == nullptr || task->phase != TaskPhase::kLive ||
      task->run >= later.number) {
    return;
  }
  Target* target = FindTarget(cell, task->target);
  const RunId id{later.task, task->run};
  const auto run = target == nullptr ? std::map<RunId, Run>::iterator()
                                     : target->runs.find(id);
  if (target != nullptr && run != target->runs.end() && run->second.inherited) {
    ReleaseRun(cell, *target, id);
  }
}

void ReleaseRun(Cell& cell, Target& target, const RunId& id) {
  const auto found = target.runs.find(id);
  if (found != target.runs.end()) {
    DiscountEndedRun(cell, id);
    const Run& run = found->second;
    target.used -= run.demand;
    cell.freed_since_round += run.demand.cpu_milli;
    ChargedTo(cell, run) -= run.charged;
    target.unknown_runs -= run.demand_unknown ? 1 : 0;
    target.runs.erase(found);
    --cell.run_count;
    cell.targets_dirty =
        cell.targets_dirty || (target.entry.draining && target.runs.empty());
  }
  Job* job = FindJob(cell, id.task.job);
  Task* task = job == nullptr ? nullptr : FindTask(*job, id.task);
  if (task != nullptr && task->phase == TaskPhase::kLive &&
      task->run == id.number && task->target == target.entry.id) {
    task->phase = TaskPhase::kWaiting;
    task->target.clear();
    --FindStep(*job, id.task.occurrence, id.task.step)->live;
    RefreshStep(cell, *job, id.task.occurrence, id.task.step);
  }
  cell.plan_due = true;
}

void SendStopNow(Cell& cell, Actions& actions, Target& target, const RunId& id,
                 Run& run, Time now) {
  run.in_flight = true;
  ++run.tries;
  run.next_try = now + (run.tries == 1 ? kFirstStopRetryDelay
                                       : cell.options.stop_retry_delay);
  actions.emplace_back(SendStop{target.entry.id, target.entry.life, id});
}

void StopRun(Cell& cell, Actions& actions, Target& target, const RunId& id,
             std::string_view why, Time now) {
  const auto found = target.runs.find(id);
  if (found == target.runs.end() ||
      found->second.phase == RunPhase::kStopping) {
    return;
  }
  Run& run = found->second;
  run.phase = RunPhase::kStopping;
  run.tries = 0;
  run.stop_done = false;
  Note(actions, "task_stop",
       {{"job", id.task.job},
        {"task", TaskName(id.task)},
        {"run", std::to_string(id.number)},
        {"target", target.entry.id},
        {"reason", std::string(why)}});
  SendStopNow(cell, actions, target, id, run, now);
}

void StartAnswered(Cell& cell, Actions& actions, const TargetId& target_id,
                   const RunId& id, OrderOutcome outcome, Time now) {
  Target* target = FindTarget(cell, target_id);
  if (target == nullptr) {
    return;
  }
  const auto found = target->runs.find(id);
  if (outcome != OrderOutcome::kDone) {
    Note(actions, "start_answered",
         {{"job", id.task.job},
          {"task", TaskName(id.task)},
          {"run", std::to_string(id.number)},
          {"target", target_id},
          {"outcome", std::string(OutcomeName(outcome))}});
  }
  if (outcome == OrderOutcome::kFenced) {
    actions.emplace_back(FencedOff{target_id});
  }
  if (found == target->runs.end()) {
    return;
  }
  Run& run = found->second;
  if (run.phase == RunPhase::kStopping) {
    return;  // The outcome of the stop decides.
  }
  run.in_flight = false;
  switch (outcome) {
    case OrderOutcome::kDone:
      if (run.phase == RunPhase::kSent) {
        run.phase = RunPhase::kRunning;
        run.confirmed_at = now;
        run.progress_at = now;
      }
      if (Job* job = FindJob(cell, id.task.job)) {
        NoteBegun(cell, *job);
      }
      return;
    case OrderOutcome::kUnknown:
      run.unsure = true;
      run.next_try = now;
      if (run.phase == RunPhase::kSent &&
          MayResendStart(cell, *target, run, now)) {
        ResendStart(cell, actions, *target, id, run, now);
      }
      return;
    case OrderOutcome::kOld:
      // The run has ended or was stopped; its end is or will be reported.
      run.phase = RunPhase::kStopping;
      run.stop_done = true;
      run.stop_done_at = now;
      return;
    case OrderOutcome::kNotSent:
      target->health.suspended_until =
          std::max(target->health.suspended_until, now + Millis(500));
      break;
    case OrderOutcome::kUnhealthy:
      target->health.suspended_until =
          std::max(target->health.suspended_until, now + Millis(1000));
      break;
    case OrderOutcome::kBadTicket:
      if (Job* job = FindJob(cell, id.task.job)) {
        if (Step* step = FindStep(*job, id.task.occurrence, id.task.step)) {
          step->advice.tickets.erase(target_id);
        }
      }
      break;
    case OrderOutcome::kOtherLife:
      target->reported = false;
      break;
    default:
      break;
  }
  if (run.phase == RunPhase::kRunning) {
    return;  // A report confirmed the run before this answer arrived.
  }
  if (Judge(cell.options, *target, run, StartOutcome{outcome}, now) ==
      RunVerdict::kNotStarted) {
    ReleaseUnstartedRun(cell, *target, id);
  } else {
    StopRun(cell, actions, *target, id, "start uncertain", now);
  }
  StopGang(cell, actions, id, now);
}

void OnStopAnswered(Cell& cell, Actions& actions, const TargetId& target_id,
                    const RunId& id, OrderOutcome outcome, Time now) {
  Target* target = FindTarget(cell, target_id);
  if (target == nullptr) {
    return;
  }
  if (outcome == OrderOutcome::kFenced) {
    actions.emplace_back(FencedOff{target_id});
  }
  const auto found = target->runs.find(id);
  if (found == target->runs.end()) {
    return;
  }
  Run& run = found->second;
  run.in_flight = false;
  if (outcome == OrderOutcome::kDone || outcome == OrderOutcome::kOld) {
    run.stop_done = true;
    run.stop_done_at = now;
  } else if (outcome == OrderOutcome::kOtherLife) {
    target->reported = false;
  } else {
    Note(actions, "stop_answered",
         {{"job", id.task.job},
          {"task", TaskName(id.task)},
          {"run", std::to_string(id.number)},
          {"target", target_id},
          {"outcome", std::string(OutcomeName(outcome))}});
  }
}

void DropRun(Cell& cell, Actions& actions, Target& target, const RunId& id,
             std::string_view why) {
  NoteDroppedRun(actions, target, id, why);
  ReleaseRun(cell, target, id);
}

Millis MaxLeaseLifetime(const Options& options) {
  // The slowest clock takes this much longer, rounded up.
  const Millis drift = options.lease * options.drift_per_mille /
                           (kPerMille - options.drift_per_mille) +
                       Millis(1);
  return options.lease + drift + options.stop_time;
}

void OnLeaseSent(Cell& cell, const TargetId& id, Time now) {
  if (Target* target = FindTarget(cell, id)) {
    target->lease_until =
        std::max(target->lease_until, now + MaxLeaseLifetime(cell.options));
  }
}

/// Decides unanswered starts that were held back by MayResendStart: they may be
/// sent again now, or a report tells that they don't run.
void SettleHeldStarts(Cell& cell, Actions& actions, Target& target, Time now) {
  std::vector<RunId> held;
  for (const auto& [id, run] : target.runs) {
    if (run.phase == RunPhase::kSent && run.unsure && !run.in_flight) {
      held.push_back(id);
    }
  }
  for (const RunId& id : held) {
    Run& run = target.runs.at(id);
    if (MayResendStart(cell, target, run, now)) {
      ResendStart(cell, actions, target, id, run, now);
    } else if (target.life_confirmed > run.next_try) {
      StopRun(cell, actions, target, id, "start not answered", now);
    }
  }
}

/// Resends stops that were not confirmed.
void ResendStops(Cell& cell, Actions& actions, Target& target, Time now) {
  std::vector<RunId> due;
  for (const auto& [id, run] : target.runs) {
    if (run.phase == RunPhase::kStopping && !run.stop_done && !run.in_flight &&
        now >= run.next_try) {
      due.push_back(id);
    }
  }
  for (const RunId& id : due) {
    SendStopNow(cell, actions, target, id, target.runs.at(id), now);
  }
}

}  // namespace buckthornmux::cell
