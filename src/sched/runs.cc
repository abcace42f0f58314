#include "buckthornmux/detail/sched/runs.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/sched/answers.h"
#include "buckthornmux/detail/sched/estimates.h"
#include "buckthornmux/detail/sched/gangs.h"
#include "buckthornmux/detail/sched/health.h"
#include "buckthornmux/detail/sched/holds.h"
#include "buckthornmux/detail/sched/preemption.h"
#include "buckthornmux/detail/sched/queue.h"

namespace buckthornmux::sched {
namespace {

// Finds the record that a target's message refers to; null if the message is
// outdated.
TaskRecord* Match(ShardState& state, const TargetId& target,
                  const std::string& id, std::uint32_t attempt) {
  TaskRecord* const task = FindTask(state, id);
  if (task == nullptr || task->spec.attempt != attempt ||
      task->phase == TaskPhase::kQueued) {
    return nullptr;
  }
  return state.targets[task->target].spec.id == target ? task : nullptr;
}

bool TargetLeft(const ShardState& state, const TaskRecord& task) {
  const auto may_hold = [&](const TargetRecord& target) {
    return target.in_config && task.spec.demand.FitsIn(target.spec.capacity);
  };
  const auto fitting = std::ranges::count_if(state.targets, may_hold);
  return static_cast<std::size_t>(fitting) > task.tried.size();
}

// Returns a task to the head of the queue, or refuses it if every target has
// been tried.
void Requeue(Step& step, TaskRecord& task) {
  task.moved_at = step.now;
  if (!TargetLeft(step.state, task)) {
    AnswerNotStarted(step, task.spec.Id(), ErrorKind::kCellFull,
                     RetryAfter(step.state));
    return;
  }
  TaskRecord* const record = &task;
  PushUnit(step, std::span(&record, 1), true);
}

void ReleaseResources(Step& step, const TaskRecord& task) {
  DropHold(step.state, task.target, task.spec.Id(), task.spec.attempt);
}

// Handles a refused start that is known not to have run.
void HandleRefusedStart(Step& step, TaskRecord& task, ErrorKind error) {
  ReleaseResources(step, task);
  const std::string id = task.spec.Id();
  if (task.cancelled) {
    AnswerNotStarted(step, id, ErrorKind::kCancelled, Millis{0});
    return;
  }
  RecordRefusedStart(step, task.target, task.spec);
  const bool out_of_tries =
      task.tried.size() >= step.state.policy.max_start_tries;
  if (task.spec.gang_size > 1) {
    StopGangMembers(step, task.spec);
  }
  if (out_of_tries || task.spec.gang_size > 1 || task.gang_broken) {
    AnswerNotStarted(step, id, error, RetryAfter(step.state));
    return;
  }
  Requeue(step, task);
}

void FinishStopped(Step& step, TaskRecord& task) {
  const std::string id = task.spec.Id();
  task.has_run = true;
  if (task.cancelled) {
    AnswerEnded(step, id, TaskEnd::kCancelled, ErrorKind::kCancelled, Millis{0},
                {});
  } else if (task.gang_broken) {
    AnswerEnded(step, id, TaskEnd::kFailed, ErrorKind::kTargetRefused,
                RetryAfter(step.state), {});
  } else if (task.spec.idempotent && task.spec.gang_size <= 1) {
    Requeue(step, task);
  } else {
    AnswerEnded(step, id, TaskEnd::kUnknown, ErrorKind::kOutcomeUnknown,
                Millis{0}, {});
  }
}

void FinishFailed(Step& step, TaskRecord& task, std::string result) {
  const bool refuse_job = RecordFailure(step, task.target, task.spec);
  const ErrorKind error =
      refuse_job ? ErrorKind::kJobRefused : ErrorKind::kTaskFailed;
  AnswerEnded(step, task.spec.Id(), TaskEnd::kFailed, error, Millis{0},
              std::move(result));
}

}  // namespace

void RecordRunning(Step& step, TaskRecord& task) {
  if (task.phase == TaskPhase::kRunning) {
    return;
  }
  task.phase = TaskPhase::kRunning;
  task.started_at = step.now;
  task.conclusive_at = step.now + step.state.policy.report_delay;
  step.actions.emplace_back(Started{LatestHome(step.state, task.partition),
                                    task.spec.Id(), task.spec.attempt,
                                    step.state.targets[task.target].spec.id});
}

void ResendStop(Step& step, const TaskRecord& task) {
  if (task.cancelled || task.gang_broken) {
    StopTask(step, task, false);
  } else if (task.preempted) {
    StopTask(step, task, true);
  }
}

void HandleStartAnswered(Step& step, const StartAnswered& answer) {
  TaskRecord* const task =
      Match(step.state, answer.target, answer.task_id, answer.attempt);
  if (task == nullptr || task->phase == TaskPhase::kRunning) {
    return;
  }
  if (answer.accepted) {
    RecordRunning(step, *task);
    // A stop that reached the target before the start had no effect.
    ResendStop(step, *task);
  } else if (answer.may_run) {
    task->phase = TaskPhase::kMayRun;
  } else if (task->phase == TaskPhase::kStarting) {
    HandleRefusedStart(step, *task, answer.error);
  }
}

void HandleTaskEnded(Step& step, const TaskEnded& ended) {
  TaskRecord* const task =
      Match(step.state, ended.target, ended.task_id, ended.attempt);
  if (task != nullptr) {
    FinishRun(step, ended.task_id, ended.end, ended.result);
    return;
  }
  const auto target = step.state.target_index.find(ended.target);
  if (target != step.state.target_index.end()) {
    DropHold(step.state, target->second, ended.task_id, ended.attempt);
  }
}

void FinishRun(Step& step, const std::string& id, TaskEnd end,
               std::string result) {
  TaskRecord& task = step.state.tasks.find(id)->second;
  const bool timed = task.phase == TaskPhase::kRunning;
  const Millis run = step.now - task.started_at;
  if (end == TaskEnd::kNotRun) {
    HandleRefusedStart(step, task, ErrorKind::kTargetRefused);
    return;
  }
  ReleaseResources(step, task);
  const bool stopped = task.preempted || task.gang_broken || task.cancelled;
  if (end == TaskEnd::kDone) {
    if (timed) {
      UpdateRunEstimates(step.state, task.spec, run);
    }
    RecordSuccess(step, task.target, task.spec);
    AnswerEnded(step, id, TaskEnd::kDone, ErrorKind::kInternal, Millis{0},
                std::move(result));
  } else if (end == TaskEnd::kFailed && !stopped) {
    FinishFailed(step, task, std::move(result));
  } else if (end == TaskEnd::kUnknown) {
    task.has_run = true;
    HandleLostRun(step, id);
  } else {
    FinishStopped(step, task);
  }
}

void HandleLostRun(Step& step, const std::string& id) {
  TaskRecord& task = step.state.tasks.find(id)->second;
  ReleaseResources(step, task);
  task.has_run = true;
  StopGangMembers(step, task.spec);
  const bool again = task.spec.idempotent && task.spec.gang_size <= 1 &&
                     !task.cancelled && !task.gang_broken;
  if (again) {
    Requeue(step, task);
    return;
  }
  AnswerEnded(step, id, TaskEnd::kUnknown, ErrorKind::kOutcomeUnknown,
              Millis{0}, {});
}

}  // namespace buckthornmux::sched
