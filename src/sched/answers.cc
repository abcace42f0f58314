#include "buckthornmux/detail/sched/answers.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "buckthornmux/detail/sched/estimates.h"
#include "buckthornmux/detail/sched/gangs.h"
#include "buckthornmux/detail/sched/queue.h"
#include "buckthornmux/detail/sched/remembered.h"

namespace buckthornmux::sched {
namespace {

constexpr Millis kMinRetryDelay{200};
constexpr Millis kMaxRetryDelay{30'000};

ReportedTask ReportOf(const ShardState& state, const TaskRecord& task) {
  ReportedTask report;
  report.id = task.spec.Id();
  report.attempt = task.spec.attempt;
  report.epoch = task.epoch;
  report.running = true;
  report.spec = task.spec;
  report.home = LatestHome(state, task.partition);
  return report;
}

ReportedTask ReportOf(const std::string& id, const EndedRecord& ended) {
  ReportedTask report;
  report.id = id;
  report.attempt = ended.attempt;
  report.epoch = ended.epoch;
  report.end = ended.answer.end;
  report.result = ended.answer.result;
  report.spec = ended.spec;
  report.home = ended.answer.home;
  return report;
}

void CancelKnown(Step& step, TaskRecord& task) {
  task.cancelled = true;
  if (task.phase != TaskPhase::kQueued) {
    const TargetRecord& target = step.state.targets[task.target];
    step.actions.emplace_back(
        Stop{target.spec.id, task.spec.Id(), task.spec.attempt, false});
    return;
  }
  // A gang starts completely or not at all, so its other members end too.
  const Unit unit = RemoveUnit(step.state, task.place);
  for (const std::string& id : unit.task_ids) {
    AnswerNotStarted(step, id, ErrorKind::kCancelled, Millis{0});
  }
}

}  // namespace

bool AcceptHomeEpoch(ShardState& state, const Home& home) {
  Home& highest = state.homes[home.partition];
  if (std::tie(home.epoch, home.inquiry) <
      std::tie(highest.epoch, highest.inquiry)) {
    return false;
  }
  highest = home;
  return true;
}

Home LatestHome(const ShardState& state, Partition partition) {
  const auto found = state.homes.find(partition);
  return found == state.homes.end() ? Home{partition} : found->second;
}

void CacheEnded(ShardState& state, EndedRecord record) {
  record.spec.payload.clear();
  const std::string id = record.answer.task_id;
  if (const EndedRecord* old = FindBounded(state.ended, id); old != nullptr) {
    state.ended.bytes -= old->answer.result.size();
  }
  state.ended.bytes += record.answer.result.size();
  if (state.ended.values.insert_or_assign(id, std::move(record)).second) {
    state.ended.order.push_back(id);
  }
  while (state.ended.order.size() > state.policy.max_remembered ||
         (state.ended.bytes > state.policy.max_remembered_bytes &&
          state.ended.order.size() > 1)) {
    const std::string oldest = state.ended.order.front();
    state.ended.bytes -= FindBounded(state.ended, oldest)->answer.result.size();
    EraseOldest(state.ended);
  }
}

void AnswerEnded(Step& step, const std::string& id, TaskEnd end,
                 ErrorKind error, Millis retry_after, std::string result) {
  const auto found = step.state.tasks.find(id);
  TaskRecord task = std::move(found->second);
  step.state.tasks.erase(found);
  RemoveGangMember(step.state, task.spec);
  EndedRecord record;
  record.attempt = task.spec.attempt;
  record.partition = task.partition;
  record.epoch = task.epoch;
  record.at = step.now;
  if (task.phase != TaskPhase::kQueued) {
    record.ended_at = task.target;
  }
  record.answer = Ended{LatestHome(step.state, task.partition),
                        task.spec.Id(),
                        task.spec.attempt,
                        end,
                        error,
                        retry_after,
                        std::move(result)};
  record.spec = std::move(task.spec);
  step.actions.emplace_back(record.answer);
  CacheEnded(step.state, std::move(record));
}

void AnswerNotStarted(Step& step, const std::string& id, ErrorKind error,
                      Millis retry_after) {
  const bool has_run = step.state.tasks.find(id)->second.has_run;
  TaskEnd end = TaskEnd::kNotRun;
  if (has_run) {
    end = error == ErrorKind::kCancelled ? TaskEnd::kCancelled
                                         : TaskEnd::kUnknown;
  }
  AnswerEnded(step, id, end, error, retry_after, {});
}

void RefuseTask(Step& step, Partition partition, const TaskSpec& spec,
                ErrorKind error, Millis retry_after) {
  EndedRecord record;
  record.attempt = spec.attempt;
  record.partition = partition;
  record.epoch = step.state.epoch;
  record.at = step.now;
  record.answer.home = LatestHome(step.state, partition);
  record.answer.task_id = spec.Id();
  record.answer.attempt = spec.attempt;
  record.answer.end = TaskEnd::kNotRun;
  record.answer.error = error;
  record.answer.retry_after = retry_after;
  record.spec = spec;
  step.actions.emplace_back(record.answer);
  CacheEnded(step.state, std::move(record));
}

void AnswerKnown(Step& step, Partition partition) {
  const ShardState& state = step.state;
  Known known;
  known.home = LatestHome(state, partition);
  known.epoch = state.epoch;
  known.complete = AllReported(state);
  for (const auto& [id, task] : state.tasks) {
    if (task.partition != partition) {
      continue;
    }
    if (task.phase == TaskPhase::kQueued) {
      known.queued.push_back(id);
    } else {
      known.tasks.push_back(ReportOf(state, task));
    }
  }
  for (const auto& [id, ended] : state.ended.values) {
    if (ended.partition == partition && !state.tasks.contains(id)) {
      known.tasks.push_back(ReportOf(id, ended));
    }
  }
  step.actions.emplace_back(std::move(known));
}

void CancelTasks(Step& step, const Cancel& cancel) {
  if (!AcceptHomeEpoch(step.state, cancel.home)) {
    return;
  }
  for (const std::string& id : cancel.task_ids) {
    InsertBounded(step.state.cancelled, id, step.now,
                  step.state.policy.max_remembered);
    TaskRecord* const task = FindTask(step.state, id);
    if (task != nullptr) {
      CancelKnown(step, *task);
      continue;
    }
    EndedRecord* const ended = FindBounded(step.state.ended, id);
    if (ended != nullptr) {
      ended->answer.home = LatestHome(step.state, ended->partition);
      step.actions.emplace_back(ended->answer);
    }
  }
}

void HandleInquire(Step& step, const Inquire& inquire) {
  if (!AcceptHomeEpoch(step.state, inquire.home)) {
    return;
  }
  AnswerKnown(step, inquire.home.partition);
  if (!AllReported(step.state)) {
    step.state.inquiries[inquire.home.partition] = inquire.home.epoch;
  }
}

Millis RetryAfter(const ShardState& state) {
  const double waiting = static_cast<double>(state.queued_urgent) + 1;
  const double running = std::max(static_cast<double>(state.holding), 1.0);
  const double wait_ms = waiting * state.overall_run.mean_ms / running;
  const Millis wait{static_cast<std::int64_t>(wait_ms)};
  return std::clamp(wait, kMinRetryDelay, kMaxRetryDelay);
}

}  // namespace buckthornmux::sched
