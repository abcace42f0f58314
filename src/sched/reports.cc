#include "buckthornmux/detail/sched/reports.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "buckthornmux/detail/sched/answers.h"
#include "buckthornmux/detail/sched/holds.h"
#include "buckthornmux/detail/sched/queue.h"
#include "buckthornmux/detail/sched/remembered.h"
#include "buckthornmux/detail/sched/runs.h"
#include "buckthornmux/detail/sched/setup.h"

namespace buckthornmux::sched {
namespace {

/// Context for reconciling one target's report with the state.
struct ReportContext {
  Step& step;
  TargetIndex target = 0;
};

// Whether a report may have been made before `received_at`, when the shard
// received another message about the same task.
bool ReportMayBeOlder(const Step& step, Time received_at) {
  return step.now < received_at + step.state.policy.report_delay;
}

void StopStray(const ReportContext& at, const ReportedTask& task) {
  TaskSpec spec = task.spec;
  spec.attempt = task.attempt;
  TargetRecord& target = at.step.state.targets[at.target];
  if (FindHold(target, task.id, task.attempt) == nullptr) {
    AddHold(at.step.state, at.target, spec, true, at.step.now);
  }
  at.step.actions.emplace_back(
      Stop{target.spec.id, task.id, task.attempt, false});
}

// Creates the record of a running task that a former owner started.
void Adopt(const ReportContext& at, const ReportedTask& task) {
  ShardState& state = at.step.state;
  TaskRecord record;
  record.spec = task.spec;
  record.spec.attempt = task.attempt;
  record.partition = task.home.partition;
  record.phase = TaskPhase::kStarting;
  record.queued_at = at.step.now;
  record.target = at.target;
  record.epoch = task.epoch;
  record.tried.push_back(at.target);
  record.cancelled = FindBounded(state.cancelled, task.id) != nullptr;
  AcceptHomeEpoch(state, task.home);
  AddHold(state, at.target, record.spec, false, at.step.now);
  TaskRecord& added =
      state.tasks.insert_or_assign(task.id, std::move(record)).first->second;
  RecordRunning(at.step, added);
  ResendStop(at.step, added);
}

// Removes a task from the queue because a former owner has started it. Other
// members of its gang are refused, since they can't start without it.
void TakeFromQueue(const ReportContext& at, const std::string& task_id,
                   const UnitPlace& place) {
  const Unit unit = RemoveUnit(at.step.state, place);
  for (const std::string& id : unit.task_ids) {
    if (id != task_id) {
      AnswerNotStarted(at.step, id, ErrorKind::kNotReady,
                       AnswerFor(ErrorKind::kNotReady).retry_after);
    }
  }
  at.step.state.tasks.erase(task_id);
}

void ReconcileMismatch(const ReportContext& at, const ReportedTask& task,
                       const TaskRecord& known) {
  const bool was_here =
      std::ranges::find(known.tried, at.target) != known.tried.end();
  if (was_here && ReportMayBeOlder(at.step, known.moved_at)) {
    return;
  }
  const bool same_start = known.spec.attempt == task.attempt &&
                          known.phase == TaskPhase::kQueued && !was_here;
  if (same_start && !at.step.state.hold_counts.contains(task.id)) {
    TakeFromQueue(at, task.id, known.place);
    Adopt(at, task);
    return;
  }
  StopStray(at, task);
}

void ReconcileUnknown(const ReportContext& at, const ReportedTask& task) {
  const EndedRecord* const ended = FindBounded(at.step.state.ended, task.id);
  const bool has_ended = ended != nullptr && ended->attempt >= task.attempt;
  // The report may have been made before the run ended, but only if the run was
  // on this target.
  if (has_ended && ended->ended_at == at.target &&
      ReportMayBeOlder(at.step, ended->at)) {
    return;
  }
  if (has_ended || at.step.state.hold_counts.contains(task.id)) {
    StopStray(at, task);
    return;
  }
  Adopt(at, task);
}

void ReconcileRunning(const ReportContext& at, const ReportedTask& task) {
  ShardState& state = at.step.state;
  TaskRecord* const known = FindTask(state, task.id);
  const bool ours = known != nullptr && known->phase != TaskPhase::kQueued &&
                    known->target == at.target &&
                    known->spec.attempt == task.attempt;
  if (ours) {
    RecordRunning(at.step, *known);
    ResendStop(at.step, *known);
  } else if (known != nullptr) {
    ReconcileMismatch(at, task, *known);
  } else {
    ReconcileUnknown(at, task);
  }
}

// Answers the home for a task that a former owner started and that has ended.
void AnswerFormerOwnersEnd(const ReportContext& at, const ReportedTask& task) {
  ShardState& state = at.step.state;
  const EndedRecord* const ended = FindBounded(state.ended, task.id);
  if (ended != nullptr && ended->attempt >= task.attempt) {
    return;
  }
  AcceptHomeEpoch(state, task.home);
  TaskRecord record;
  record.spec = task.spec;
  record.spec.attempt = task.attempt;
  record.partition = task.home.partition;
  record.epoch = task.epoch;
  record.phase = TaskPhase::kRunning;
  record.target = at.target;
  state.tasks.insert_or_assign(task.id, std::move(record));
  // Other ends follow a stop, and only the home knows whether the caller asked
  // for it.
  const bool not_stopped =
      task.end == TaskEnd::kDone || task.end == TaskEnd::kFailed;
  const ErrorKind error = task.end == TaskEnd::kFailed
                              ? ErrorKind::kTaskFailed
                              : ErrorKind::kOutcomeUnknown;
  AnswerEnded(at.step, task.id, not_stopped ? task.end : TaskEnd::kUnknown,
              error, Millis{0}, task.result);
}

// Whether the task may have been started on another target after this end, as
// happens after a stop.
bool MayContinueElsewhere(const ReportedTask& task) {
  return task.end != TaskEnd::kDone && task.end != TaskEnd::kFailed;
}

void ReconcileEndedElsewhere(const ReportContext& at, const ReportedTask& task,
                             TaskRecord& known) {
  const bool was_here =
      std::ranges::find(known.tried, at.target) != known.tried.end();
  if (was_here) {
    return;
  }
  // The task must not start here again, because this end would be mistaken for
  // the end of the new run.
  known.tried.push_back(at.target);
  if (known.phase == TaskPhase::kQueued && !MayContinueElsewhere(task)) {
    TakeFromQueue(at, task.id, known.place);
    AnswerFormerOwnersEnd(at, task);
  }
}

void ReconcileEnded(const ReportContext& at, const ReportedTask& task) {
  ShardState& state = at.step.state;
  TaskRecord* const known = FindTask(state, task.id);
  const bool same = known != nullptr && known->spec.attempt == task.attempt;
  if (same && known->phase != TaskPhase::kQueued &&
      known->target == at.target) {
    FinishRun(at.step, task.id, task.end, task.result);
    return;
  }
  DropHold(state, at.target, task.id, task.attempt);
  if (same) {
    ReconcileEndedElsewhere(at, task, *known);
  } else if (known == nullptr &&
             (!MayContinueElsewhere(task) || AllReported(state))) {
    AnswerFormerOwnersEnd(at, task);
  }
}

// Handles holds of tasks that the report does not list as running.
void ReconcileAbsentHolds(const ReportContext& at, const TargetReport& report) {
  ShardState& state = at.step.state;
  std::set<std::pair<std::string_view, std::uint32_t>> listed;
  for (const ReportedTask& task : report.tasks) {
    if (task.running) {
      listed.emplace(task.id, task.attempt);
    }
  }
  std::vector<Hold> absent;
  for (const Hold& hold : state.targets[at.target].holds) {
    if (!listed.contains({hold.task_id, hold.attempt})) {
      absent.push_back(hold);
    }
  }
  for (const Hold& hold : absent) {
    const TaskRecord* const task = FindTask(state, hold.task_id);
    if (hold.stray || task == nullptr) {
      DropHold(state, at.target, hold.task_id, hold.attempt);
    } else if (at.step.now > task->conclusive_at) {
      HandleLostRun(at.step, hold.task_id);
    }
  }
}

Resources UnreservedUse(const TargetReport& report) {
  Resources over = report.used;
  for (const ReportedTask& task : report.tasks) {
    if (task.running) {
      over -= task.spec.demand;
    }
  }
  over.slots = std::max<std::int64_t>(over.slots, 0);
  over.cpu_milli = std::max<std::int64_t>(over.cpu_milli, 0);
  over.memory_mb = std::max<std::int64_t>(over.memory_mb, 0);
  over.accelerators = std::max<std::int64_t>(over.accelerators, 0);
  return over;
}

void AnswerInquiries(Step& step) {
  if (step.state.inquiries.empty() || !AllReported(step.state)) {
    return;
  }
  for (const auto& [partition, epoch] : step.state.inquiries) {
    AnswerKnown(step, partition);
  }
  step.state.inquiries.clear();
}

}  // namespace

void HandleTargetReport(Step& step, const TargetReport& report) {
  ShardState& state = step.state;
  const auto found = state.target_index.find(report.target);
  if (found == state.target_index.end()) {
    return;
  }
  const ReportContext at{step, found->second};
  for (const ReportedTask& task : report.tasks) {
    if (task.running) {
      ReconcileRunning(at, task);
    } else {
      ReconcileEnded(at, task);
    }
  }
  ReconcileAbsentHolds(at, report);
  TargetRecord& target = state.targets[at.target];
  target.over = UnreservedUse(report);
  target.reported = true;
  UpdateUnreportedSlots(state);
  RefreshTarget(state, at.target);
  AnswerInquiries(step);
}

void HandleTargetHealth(Step& step, const TargetHealth& health) {
  ShardState& state = step.state;
  const auto found = state.target_index.find(health.target);
  if (found == state.target_index.end()) {
    return;
  }
  TargetRecord& target = state.targets[found->second];
  if (target.reachable && !health.reachable) {
    target.unreachable_since = step.now;
  }
  target.reachable = health.reachable;
  target.leaving = health.leaving;
  RefreshTarget(state, found->second);
}

void ExpireLostTargets(Step& step) {
  const Millis lost_target_timeout = step.state.policy.lost_target_timeout;
  if (lost_target_timeout == Millis{0}) {
    return;
  }
  for (TargetRecord& target : step.state.targets) {
    const bool lost =
        !target.reachable && !target.holds.empty() &&
        step.now - target.unreachable_since >= lost_target_timeout;
    if (!lost) {
      continue;
    }
    const std::vector<Hold> holds = target.holds;
    for (const Hold& hold : holds) {
      if (hold.stray) {
        const TargetIndex index =
            step.state.target_index.find(target.spec.id)->second;
        DropHold(step.state, index, hold.task_id, hold.attempt);
      } else {
        HandleLostRun(step, hold.task_id);
      }
    }
  }
}

}  // namespace buckthornmux::sched
