#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "src/cell/admission/team_limits.h"
#include "src/cell/placement/health.h"
#include "src/cell/runs/verdicts.h"

namespace buckthornmux::cell {
namespace {

/// A run is stopped as stuck if it makes no progress for its estimated run time
/// divided by kStuckTimeoutDivisor, or for kMinStuckTimeout if that is longer.
constexpr int kStuckTimeoutDivisor = 3;
constexpr Millis kMinStuckTimeout{2500};

/// Smoothed run time relative to other targets above which a target counts as
/// slow. Healthy targets differ by half in speed, tasks of a step by a third.
constexpr double kSlowThreshold = 2.2;
constexpr double kSlownessSmoothingFactor = 0.3;  ///< Weight of one report.
/// Minimum observation of a run before its duration is estimated.
constexpr Millis kMinObservationTime{700};
/// Maximum moves of one task, since the estimate behind a move may be wrong.
constexpr int kMaxMoves = 2;
/// Time that stopping and restarting a task costs.
constexpr Millis kMoveCost{500};
/// Suspension of a slow target, extended while it stays slow.
constexpr Millis kSlowSuspension{1500};

std::string RackOf(const TargetEntry& entry) {
  return entry.labels.size() > 1 ? entry.labels.back() : std::string();
}

std::vector<RunId> RunsWith(const Cell& cell, const Target& target,
                            const RunEvidence& evidence, RunVerdict verdict,
                            Time now) {
  std::vector<RunId> found;
  for (const auto& [id, run] : target.runs) {
    if (Judge(cell.options, target, run, evidence, now) == verdict) {
      found.push_back(id);
    }
  }
  return found;
}

/// Drops runs that have ended with their target's process.
void DropCrashedRuns(Cell& cell, Actions& actions, Target& target,
                     std::span<const RunId> runs, std::string_view why,
                     Time now) {
  if (!target.entry.draining) {
    HandleCrash(cell, actions, target, target.failing_since.value_or(now), runs,
                now);
  }
  for (const RunId& id : runs) {
    DropRun(cell, actions, target, id, why);
  }
}

/// Begins a new life of a restarted target, which a report has shown.
void BeginLife(Cell& cell, Actions& actions, Target& target, std::int64_t life,
               Time now) {
  if (target.entry.life != 0) {
    Note(actions, "target_restarted",
         {{"target", target.entry.id},
          {"former_life", std::to_string(target.entry.life)},
          {"life", std::to_string(life)}});
  }
  DropCrashedRuns(
      cell, actions, target,
      RunsWith(cell, target, OtherLife{life}, RunVerdict::kProcessGone, now),
      "target restarted", now);
  target.entry.life = life;
  target.life_since = now;
  target.life_confirmed = {};
  target.reported = false;
  target.clock_known = false;
  target.seen_end = 0;
  target.acked_end = 0;
  target.pending_ends.clear();
  target.health = {};
  target.runs_known = false;
  target.failing_since.reset();
  cell.plan_due = true;
}

/// Applies the life that the list shows. The list may be ahead or behind, and
/// start times of lives don't tell, since a wall clock may have been set back;
/// so runs are kept until a report of the new life.
void UpdateListedLife(Actions& actions, Target& target, std::int64_t life) {
  if (life == 0 || life == target.listed_life) {
    return;
  }
  target.listed_life = life;
  if (target.entry.life == 0) {
    target.entry.life = life;
  } else if (life != target.entry.life) {
    target.reported = false;
    Note(actions, "target_life_unclear",
         {{"target", target.entry.id},
          {"life", std::to_string(target.entry.life)},
          {"listed_life", std::to_string(life)}});
  }
}

void RaiseLargest(Target& target) {
  const Resources& listed = target.entry.capacity;
  Resources& largest = target.largest;
  largest.slots = std::max(largest.slots, listed.slots);
  largest.cpu_milli = std::max(largest.cpu_milli, listed.cpu_milli);
  largest.memory_mb = std::max(largest.memory_mb, listed.memory_mb);
  largest.accelerators = std::max(largest.accelerators, listed.accelerators);
}

/// @param as_of when the reading of the list began
void UpdateTarget(Cell& cell, Actions& actions, Target& target,
                  const TargetEntry& entry, Time as_of) {
  UpdateListedLife(actions, target, entry.life);
  if (entry.draining && !target.entry.draining) {
    Note(actions, "target_draining",
         {{"target", entry.id},
          {"remaining_ms", std::to_string(entry.remaining.count())}});
  }
  if (entry.draining != target.entry.draining) {
    // Draining changes which targets a next owner must query.
    cell.targets_dirty = true;
  }
  if (!entry.draining || entry.remaining <= Millis(0)) {
    target.leaves_at.reset();
  } else if (!target.leaves_at || entry.remaining != target.entry.remaining) {
    target.leaves_at = as_of + entry.remaining;
  }
  const std::int64_t life = target.entry.life;
  target.entry = entry;
  target.entry.life = life;
  RaiseLargest(target);
  target.rack = RackOf(entry);
  if (!target.listed) {
    Note(actions, "target_back", {{"target", entry.id}});
  }
  target.listed = true;
  target.removed = false;
}

/// Adopts a reported run that a former owner started or that started late.
void AdoptRun(Cell& cell, Actions& actions, Target& target,
              const RunningReport& report, Time now) {
  const RunId& id = report.run;
  Job* job = FindJob(cell, id.task.job);
  Run run = MakeFormerRun(cell, target, id, now);
  run.percent = report.percent;
  run.first_percent = report.percent;
  run.first_at = now;
  // The first report to this owner shows what the former one has started.
  run.of_former_owner = !target.reported;
  AddRun(cell, target, id, run);
  if (job == nullptr || id.task.step >= job->spec.steps.size()) {
    StopRun(cell, actions, target, id, "no such job", now);
    return;
  }
  OpenReported(cell, *job, id.task, now);
  ReleaseSupersededRun(cell, *job, id);
  Task* task = job->Ended() ? nullptr : FindTask(*job, id.task);
  if (task == nullptr || task->phase != TaskPhase::kWaiting) {
    StopRun(cell, actions, target, id, "not wanted", now);
    return;
  }
  HoldTask(cell, *job, id, target);
  target.runs.at(id).probation = IsSuspect(*FindTask(*job, id.task));
  Note(actions, "task_adopted",
       {{"job", id.task.job},
        {"task", TaskName(id.task)},
        {"run", std::to_string(id.number)},
        {"target", target.entry.id},
        {"life", std::to_string(target.entry.life)}});
}

void UpdateProgress(Cell& cell, Actions& actions, const Target& target,
                    Run& run, const RunningReport& report, Time now) {
  if (run.phase == RunPhase::kSent) {
    run.phase = RunPhase::kRunning;
    run.confirmed_at = now;
    run.progress_at = now;
  }
  run.listed = true;
  run.inherited = false;
  if (report.percent > run.percent) {
    if (run.percent == 0) {
      run.first_percent = report.percent;
      run.first_at = now;
    }
    run.percent = report.percent;
    run.progress_at = now;
  }
  Job* job = FindJob(cell, report.run.task.job);
  if (job != nullptr) {
    NoteBegun(cell, *job);
  }
  Task* task = job == nullptr ? nullptr : FindTask(*job, report.run.task);
  if (task != nullptr && task->run == report.run.number) {
    KeepCheckpoint(actions, *job, report.run, target, report.checkpoint);
  }
}

/// Clears the task of a run that has not crashed its target for long enough.
void EndSuspicion(Cell& cell, Actions& actions, const RunId& id, Run& run,
                  Time now) {
  if (!run.probation || run.confirmed_at == Time() ||
      now - run.confirmed_at < cell.options.crash_clearance) {
    return;
  }
  ClearSuspicion(cell, actions, id, false, now);
  Job* job = FindJob(cell, id.task.job);
  const Task* task = job == nullptr ? nullptr : FindTask(*job, id.task);
  run.probation = task != nullptr && IsSuspect(*task);
}

/// Drops runs that the target should have reported and did not.
void DropMissingRuns(Cell& cell, Actions& actions, Target& target,
                     const std::set<RunId>& listed, const NotListed& report,
                     Time now) {
  for (const RunId& id :
       RunsWith(cell, target, report, RunVerdict::kNotThere, now)) {
    if (listed.contains(id)) {
      continue;
    }
    Note(actions, "task_not_there",
         {{"job", id.task.job},
          {"task", TaskName(id.task)},
          {"run", std::to_string(id.number)},
          {"target", target.entry.id},
          {"life", std::to_string(target.entry.life)}});
    ReleaseRun(cell, target, id);
  }
}

/// Ratio of a target's run time for a step to the median of the other targets;
/// empty if no other target has run the step. The declared estimates can't be
/// used, since those of single jobs are off by a factor of ten and more.
std::optional<double> SlownessRatio(const Step& step, const TargetId& target) {
  const auto own = step.run_times.find(target);
  std::vector<Millis> others;
  for (const auto& [id, run_times] : step.run_times) {
    if (id != target) {
      others.push_back(run_times.latest);
    }
  }
  if (own == step.run_times.end() || others.empty()) {
    return std::nullopt;
  }
  const auto middle =
      others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
  std::ranges::nth_element(others, middle);
  return static_cast<double>(own->second.latest.count()) /
         static_cast<double>(std::max<std::int64_t>(1, middle->count()));
}

/// Updates a target's slowness from the progress of its runs. The run with the
/// lowest ratio to other targets counts.
void UpdateSlowness(Cell& cell, Target& target, Time now) {
  std::optional<double> least;
  for (const auto& [id, run] : target.runs) {
    const auto run_time = EstimateRunTime(run, now);
    Job* job = run_time ? FindJob(cell, id.task.job) : nullptr;
    Step* step = job == nullptr
                     ? nullptr
                     : FindStep(*job, id.task.occurrence, id.task.step);
    if (step == nullptr) {
      continue;
    }
    step->run_times[target.entry.id].latest = *run_time;
    if (const auto ratio = SlownessRatio(*step, target.entry.id)) {
      least = std::min(least.value_or(*ratio), *ratio);
    }
  }
  if (!least) {
    return;
  }
  TargetHealth& health = target.health;
  health.slowness += kSlownessSmoothingFactor * (*least - health.slowness);
  if (health.slowness > kSlowThreshold) {
    health.suspended_until =
        std::max(health.suspended_until, now + kSlowSuspension);
  }
}

/// Stops tasks on a slow target that would end sooner if restarted elsewhere.
void MoveTasksOffSlowTarget(Cell& cell, Actions& actions, Target& target,
                            Time now) {
  if (target.health.slowness <= kSlowThreshold) {
    return;
  }
  std::vector<RunId> moved;
  for (const auto& [id, run] : target.runs) {
    const auto run_time = EstimateRunTime(run, now);
    Job* job = run_time ? FindJob(cell, id.task.job) : nullptr;
    Task* task = job == nullptr ? nullptr : FindTask(*job, id.task);
    if (task == nullptr || task->moves >= kMaxMoves) {
      continue;
    }
    const Step& step = *FindStep(*job, id.task.occurrence, id.task.step);
    const double ratio =
        SlownessRatio(step, target.entry.id).value_or(target.health.slowness);
    const auto elsewhere = Millis(static_cast<std::int64_t>(
        static_cast<double>(run_time->count()) / std::max(1.0, ratio)));
    constexpr int kAllPercent = 100;
    const Millis restart_time = elsewhere * (run.gang ? 4 : 3) / 2 + kMoveCost;
    if (*run_time * (kAllPercent - run.percent) / kAllPercent > restart_time) {
      ++task->moves;
      moved.push_back(id);
      Note(actions, "task_slow",
           {{"job", id.task.job},
            {"task", TaskName(id.task)},
            {"target", target.entry.id},
            {"percent", std::to_string(run.percent)},
            {"at_pace_ms", std::to_string(run_time->count())},
            {"elsewhere_ms", std::to_string(elsewhere.count())}});
    }
  }
  for (const RunId& id : moved) {
    StopRun(cell, actions, target, id, "target slow", now);
  }
}

void StopStuck(Cell& cell, Actions& actions, Target& target, Time now) {
  std::vector<RunId> stuck;
  for (const auto& [id, run] : target.runs) {
    const Millis timeout =
        std::max(kMinStuckTimeout, run.estimate / kStuckTimeoutDivisor);
    if (run.phase == RunPhase::kRunning && run.listed && run.percent < 100 &&
        now - run.progress_at > timeout) {
      stuck.push_back(id);
    }
  }
  for (const RunId& id : stuck) {
    target.health.suspended_until = now + cell.options.suspension;
    StopRun(cell, actions, target, id, "no progress", now);
  }
}

}  // namespace

std::optional<Millis> EstimateRunTime(const Run& run, Time now) {
  const Millis seen = now - run.first_at;
  const std::int32_t gained = run.percent - run.first_percent;
  constexpr int kAllPercent = 100;
  if (run.phase != RunPhase::kRunning || run.first_percent <= 0 ||
      run.percent >= kAllPercent || seen < kMinObservationTime) {
    return std::nullopt;
  }
  return seen * kAllPercent / std::max(1, gained);
}

void AdvanceAcks(Cell& cell, Target& target) {
  while (!target.pending_ends.empty()) {
    const PendingEnd& end = target.pending_ends.front();
    if (!MayForget(cell, end)) {
      return;
    }
    target.acked_end = end.sequence;
    target.pending_ends.pop_front();
    // A next owner needn't query it any more, or knows all its runs.
    cell.targets_dirty =
        cell.targets_dirty || (target.pending_ends.empty() &&
                               (target.entry.draining || target.silent));
  }
}

ReportCall MakeReportCall(const Cell& cell, const Target& target, Time now) {
  ReportCall call;
  call.acked_end = target.acked_end;
  call.connected_by = target.life_confirmed;
  if (target.clock_known && target.recorded && !IsSilent(target, now)) {
    call.deadline_ms = DeadlineAt(cell, target, now);
  }
  return call;
}

void OnReportSent(Cell& cell, const TargetId& id, const ReportCall& call,
                  Time now) {
  Target* target = FindTarget(cell, id);
  if (target == nullptr) {
    return;
  }
  target->called_address = target->entry.address;
  target->called_at = now;
  if (call.deadline_ms > 0) {
    OnLeaseSent(cell, id, now);
  }
}

void SetTargets(Cell& cell, Actions& actions,
                std::span<const TargetEntry> entries, Time as_of, Time now) {
  cell.targets_as_of = as_of;
  std::set<TargetId> listed;
  for (const TargetEntry& entry : entries) {
    listed.insert(entry.id);
    auto [found, added] = cell.targets.try_emplace(entry.id);
    if (added) {
      found->second.entry = entry;
      RaiseLargest(found->second);
      found->second.rack = RackOf(entry);
      found->second.listed_life = entry.life;
      found->second.last_answer = now;
      if (const auto expected = cell.expected.find(entry.id);
          expected != cell.expected.end()) {
        found->second.lease_until = expected->second.until;
        found->second.last_owner = expected->second.last_owner;
      }
      if (entry.draining && entry.remaining > Millis(0)) {
        found->second.leaves_at = as_of + entry.remaining;
      }
      cell.targets_dirty = true;
      Note(actions, "target_found",
           {{"target", entry.id},
            {"address", entry.address},
            {"service", entry.service}});
    } else {
      UpdateTarget(cell, actions, found->second, entry, as_of);
    }
  }
  for (auto& [id, target] : cell.targets) {
    if (target.listed && !listed.contains(id)) {
      target.listed = false;
      target.unlisted_at = now;
      Note(actions, "target_unlisted", {{"target", id}});
    }
  }
  cell.plan_due = true;
}

void Reported(Cell& cell, Actions& actions, const TargetId& id,
              const TargetReport& report, Time sent_at, Time now) {
  Target* target = FindTarget(cell, id);
  if (target == nullptr) {
    return;
  }
  const bool other_life = report.life != target->entry.life;
  // An answer that was under way when a new life was reported may be of the
  // former one.
  if (report.life == 0 || (other_life && sent_at < target->life_since)) {
    Note(actions, "report_ignored",
         {{"target", id},
          {"life", std::to_string(report.life)},
          {"known_life", std::to_string(target->entry.life)},
          {"running", std::to_string(report.running.size())},
          {"ended", std::to_string(report.ended.size())}});
    return;
  }
  if (other_life) {
    BeginLife(cell, actions, *target, report.life, now);
  }
  // The stored list allows only for a shorter lease of such a target.
  const bool unexpected = target->silent || !target->reported;
  cell.targets_dirty = cell.targets_dirty || (unexpected && !target->recorded);
  target->last_answer = now;
  target->life_confirmed = sent_at;
  target->confirmed_address = target->called_address.empty()
                                  ? target->entry.address
                                  : target->called_address;
  target->silent = false;
  target->failing_since.reset();
  target->runs_known = false;
  target->clock_offset = report.clock_ms - ToMs(now);
  target->clock_known = true;
  std::set<RunId> listed;
  for (const EndReport& end : report.ended) {
    listed.insert(end.run);
    if (end.sequence <= target->seen_end) {
      continue;
    }
    target->seen_end = end.sequence;
    HandleRunEnd(cell, actions, *target, end, now);
    const Job* job = FindJob(cell, end.run.task.job);
    target->pending_ends.push_back(
        {end.sequence, end.run.task.job, job == nullptr ? 0 : job->version});
  }
  for (const RunningReport& running : report.running) {
    listed.insert(running.run);
    const auto found = target->runs.find(running.run);
    if (found == target->runs.end()) {
      AdoptRun(cell, actions, *target, running, now);
    } else {
      const bool was_at_work = IsAtWork(found->second);
      UpdateProgress(cell, actions, *target, found->second, running, now);
      if (!was_at_work && IsAtWork(found->second)) {
        HandleSuccess(actions, *target, running.run, now);
      }
      EndSuspicion(cell, actions, running.run, found->second, now);
    }
  }
  DropMissingRuns(cell, actions, *target, listed, {sent_at, report.complete},
                  now);
  AdvanceAcks(cell, *target);
  StopStuck(cell, actions, *target, now);
  UpdateSlowness(cell, *target, now);
  MoveTasksOffSlowTarget(cell, actions, *target, now);
  if (!target->reported) {
    target->reported = true;
    cell.plan_due = true;
    CheckRecovery(cell, actions, now);
  }
}

/// Drops the runs of a target at whose address another target answers.
void DropReplacedTarget(Cell& cell, Actions& actions, Target& target,
                        Time now) {
  const OtherTarget evidence{target.called_address, target.called_at};
  const std::vector<RunId> gone =
      RunsWith(cell, target, evidence, RunVerdict::kProcessGone, now);
  if (gone.empty()) {
    return;
  }
  DropCrashedRuns(cell, actions, target, gone, "target replaced", now);
  target.reported = false;
  cell.targets_dirty = true;
}

void ReportFailed(Cell& cell, Actions& actions, const TargetId& id,
                  OrderOutcome outcome, Time now) {
  Target* target = FindTarget(cell, id);
  if (target == nullptr) {
    return;
  }
  if (outcome == OrderOutcome::kFenced) {
    actions.emplace_back(FencedOff{id});
    return;
  }
  if (!target->failing_since) {
    target->failing_since = now;
  }
  if (outcome == OrderOutcome::kOtherLife) {
    DropReplacedTarget(cell, actions, *target, now);
  }
  if (!target->silent && IsSilent(*target, now)) {
    target->silent = true;
    Note(actions, "target_lost",
         {{"target", id},
          {"outcome", std::string(OutcomeName(outcome))},
          {"silent_ms", std::to_string((now - target->last_answer).count())}});
  }
}

/// Drops the runs of a silent target once its lease has expired, and removes
/// the target once it is neither listed nor answering.
void ExpireTarget(Cell& cell, Actions& actions, Target& target, Time now) {
  const std::vector<RunId> lapsed =
      RunsWith(cell, target, Silence{OwnedAt(cell)}, RunVerdict::kLapsed, now);
  for (const RunId& id : lapsed) {
    DropRun(cell, actions, target, id, "lease over");
  }
  if (!lapsed.empty()) {
    target.reported = false;
    target.runs_known = target.silent;
    cell.targets_dirty = true;
  }
  const bool silent = IsSilent(target, now);
  if (!target.listed && !target.removed && silent && IsEmpty(target) &&
      now - target.unlisted_at > cell.options.unlisted_timeout) {
    target.removed = true;
    cell.targets_dirty = true;
    Note(actions, "target_gone", {{"target", target.entry.id}});
  }
}

}  // namespace buckthornmux::cell
