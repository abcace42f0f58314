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

/// Where a report meets the state.
struct Meeting {
  Step& step;
  TargetIndex target = 0;
};

// A report may be older than what was heard of the same task since.
bool MayBeOlder(const Step& step, Time heard_at) {
  return step.now < heard_at + step.state.policy.report_delay;
}

void HoldStray(const Meeting& at, const ReportedTask& task) {
  TaskSpec spec = task.spec;
  spec.attempt = task.attempt;
  TargetRecord& target = at.step.state.targets[at.target];
  if (FindHold(target, task.id, task.attempt) == nullptr) {
    AddHold(at.step.state, at.target, spec, true, at.step.now);
  }
  at.step.actions.emplace_back(
      Stop{target.spec.id, task.id, task.attempt, false});
}

// A task that a former owner started.
void Adopt(const Meeting& at, const ReportedTask& task) {
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
  record.cancelled = Recall(state.cancelled, task.id) != nullptr;
  HearHome(state, task.home);
  AddHold(state, at.target, record.spec, false, at.step.now);
  TaskRecord& added =
      state.tasks.insert_or_assign(task.id, std::move(record)).first->second;
  NoteRunning(at.step, added);
  StopAgain(at.step, added);
}

// Takes a task out of the queue that a former owner has started. Other members
// of its gang can't start without it.
void TakeFromQueue(const Meeting& at, const std::string& task_id,
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

void MeetOtherwiseKnown(const Meeting& at, const ReportedTask& task,
                        const TaskRecord& known) {
  const bool was_here =
      std::ranges::find(known.tried, at.target) != known.tried.end();
  if (was_here && MayBeOlder(at.step, known.moved_at)) {
    return;
  }
  const bool same_start = known.spec.attempt == task.attempt &&
                          known.phase == TaskPhase::kQueued && !was_here;
  if (same_start && !at.step.state.holds_of.contains(task.id)) {
    TakeFromQueue(at, task.id, known.place);
    Adopt(at, task);
    return;
  }
  HoldStray(at, task);
}

void MeetUnknown(const Meeting& at, const ReportedTask& task) {
  const EndedRecord* const ended = Recall(at.step.state.ended, task.id);
  const bool over = ended != nullptr && ended->attempt >= task.attempt;
  // Only the end of a run at this very target can have crossed the report.
  if (over && ended->ended_at == at.target && MayBeOlder(at.step, ended->at)) {
    return;
  }
  if (over || at.step.state.holds_of.contains(task.id)) {
    HoldStray(at, task);
    return;
  }
  Adopt(at, task);
}

void MeetRunning(const Meeting& at, const ReportedTask& task) {
  ShardState& state = at.step.state;
  TaskRecord* const known = FindTask(state, task.id);
  const bool ours = known != nullptr && known->phase != TaskPhase::kQueued &&
                    known->target == at.target &&
                    known->spec.attempt == task.attempt;
  if (ours) {
    NoteRunning(at.step, *known);
    StopAgain(at.step, *known);
  } else if (known != nullptr) {
    MeetOtherwiseKnown(at, task, *known);
  } else {
    MeetUnknown(at, task);
  }
}

// An end that no record here waits for: of a former owner's start.
void AnswerForeignEnd(const Meeting& at, const ReportedTask& task) {
  ShardState& state = at.step.state;
  const EndedRecord* const ended = Recall(state.ended, task.id);
  if (ended != nullptr && ended->attempt >= task.attempt) {
    return;
  }
  HearHome(state, task.home);
  TaskRecord record;
  record.spec = task.spec;
  record.spec.attempt = task.attempt;
  record.partition = task.home.partition;
  record.epoch = task.epoch;
  record.phase = TaskPhase::kRunning;
  record.target = at.target;
  state.tasks.insert_or_assign(task.id, std::move(record));
  // Whether a stop was the caller's wish is the home's to know.
  const bool plain = task.end == TaskEnd::kDone || task.end == TaskEnd::kFailed;
  const ErrorKind error = task.end == TaskEnd::kFailed
                              ? ErrorKind::kTaskFailed
                              : ErrorKind::kOutcomeUnknown;
  AnswerEnded(at.step, task.id, plain ? task.end : TaskEnd::kUnknown, error,
              Millis{0}, task.result);
}

// A run that was stopped may have gone on at another target since.
bool MayGoOnElsewhere(const ReportedTask& task) {
  return task.end != TaskEnd::kDone && task.end != TaskEnd::kFailed;
}

void MeetEndedElsewhere(const Meeting& at, const ReportedTask& task,
                        TaskRecord& known) {
  const bool was_here =
      std::ranges::find(known.tried, at.target) != known.tried.end();
  if (was_here) {
    return;
  }
  // Not to be started here again: this end would be taken for the new run's.
  known.tried.push_back(at.target);
  if (known.phase == TaskPhase::kQueued && !MayGoOnElsewhere(task)) {
    TakeFromQueue(at, task.id, known.place);
    AnswerForeignEnd(at, task);
  }
}

void MeetEnded(const Meeting& at, const ReportedTask& task) {
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
    MeetEndedElsewhere(at, task, *known);
  } else if (known == nullptr &&
             (!MayGoOnElsewhere(task) || AllReported(state))) {
    AnswerForeignEnd(at, task);
  }
}

// Holds that the report does not list.
void MeetAbsent(const Meeting& at, const TargetReport& report) {
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
    } else if (at.step.now > task->sure_at) {
      LoseRun(at.step, hold.task_id);
    }
  }
}

Resources UseAbove(const TargetReport& report) {
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

void TakeReport(Step& step, const TargetReport& report) {
  ShardState& state = step.state;
  const auto found = state.target_index.find(report.target);
  if (found == state.target_index.end()) {
    return;
  }
  const Meeting at{step, found->second};
  for (const ReportedTask& task : report.tasks) {
    if (task.running) {
      MeetRunning(at, task);
    } else {
      MeetEnded(at, task);
    }
  }
  MeetAbsent(at, report);
  TargetRecord& target = state.targets[at.target];
  target.over = UseAbove(report);
  target.reported = true;
  CountUnreported(state);
  RefreshTarget(state, at.target);
  AnswerInquiries(step);
}

void TakeHealth(Step& step, const TargetHealth& health) {
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

void LoseTargets(Step& step) {
  const Millis lost_after = step.state.policy.lost_after;
  if (lost_after == Millis{0}) {
    return;
  }
  for (TargetRecord& target : step.state.targets) {
    const bool lost = !target.reachable && !target.holds.empty() &&
                      step.now - target.unreachable_since >= lost_after;
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
        LoseRun(step, hold.task_id);
      }
    }
  }
}

}  // namespace buckthornmux::sched
