#include "standins/target_state.h"

#include <algorithm>

#include "standins/json_http.h"
#include "standins/target_log.h"

namespace buckthornmux::standins {
namespace {

namespace json = boost::json;
using sched::ReportedTask;
using target::Refusal;

constexpr std::int64_t kPercent = 100;

std::string_view EndName(TaskEnd end) {
  switch (end) {
    case TaskEnd::kDone:
      return "done";
    case TaskEnd::kFailed:
      return "failed";
    default:
      return "cancelled";
  }
}

Resources Committed(const TargetState& state) {
  Resources sum;
  for (const auto& [id, task] : state.tasks) {
    if (task.report.running) {
      sum += task.report.spec.demand;
    }
  }
  return sum;
}

Resources Used(const TargetState& state) {
  Resources sum;
  for (const auto& [id, task] : state.tasks) {
    if (task.report.running) {
      Resources use = task.report.spec.demand;
      use.cpu_milli = task.behaviour.use_cpu_milli.value_or(use.cpu_milli) *
                      state.faults.usage_percent / kPercent;
      use.memory_mb = use.memory_mb * state.faults.usage_percent / kPercent;
      sum += use;
    }
  }
  return sum;
}

void Log(TargetState& state, Moment now, std::string_view what,
         const ReportedTask& task, std::string_view detail) {
  state.log.push_back(LogLine(state, now.wall, what, task, detail));
}

void End(TargetState& state, TargetTask& task, TaskEnd end, std::string result,
         std::string_view what, Moment now) {
  task.report.running = false;
  task.report.end = end;
  task.report.result = std::move(result);
  task.ended = now.steady;
  task.ends_at.reset();
  task.sequence = ++state.sequence;
  Log(state, now, what, task.report, EndName(end));
}

/// Whether the epoch is below the highest seen; remembers a higher one.
bool IsFenced(TargetState& state, const ShardId& shard, Epoch epoch) {
  if (state.guard == Guard::kNone || state.faults.ignore_epoch) {
    return false;
  }
  Epoch& highest = state.epochs[shard];
  highest = std::max(highest, epoch);
  return epoch < highest;
}

std::optional<Refusal> WhyRefused(TargetState& state,
                                  const target::StartRequest& request,
                                  Moment now) {
  const bool guarded = state.guard == Guard::kEpoch;
  if (IsFenced(state, request.shard, request.epoch)) {
    return Refusal::kStaleEpoch;
  }
  if (state.stopped.contains({request.task.Id(), request.task.attempt})) {
    return Refusal::kStopped;
  }
  if (guarded && !state.faults.ignore_start_by && now.wall > request.start_by) {
    return Refusal::kTooLate;
  }
  if (state.faults.leaving) {
    return Refusal::kLeaving;
  }
  Resources wanted = Committed(state);
  wanted += request.task.demand;
  if (guarded && !wanted.FitsIn(state.capacity)) {
    return Refusal::kFull;
  }
  return std::nullopt;
}

std::string ResultOf(const TargetState& state, const TargetTask& task) {
  return json::serialize(
      json::object{{"echo", task.behaviour.echo}, {"target", state.id}});
}

void EndDue(TargetState& state, TargetTask& task, Moment now) {
  const bool failed = task.behaviour.fail || state.faults.fail_all;
  End(state, task, failed ? TaskEnd::kFailed : TaskEnd::kDone,
      ResultOf(state, task), "end", now);
}

/// A lease that ran out while the process was frozen ended its task then: such
/// a task is never seen as finished, and does nothing after the lease.
void Expire(TargetState& state, TargetTask& task, Moment now) {
  const Moment then{task.lease_until,
                    now.wall - (now.steady - task.lease_until).count()};
  End(state, task, TaskEnd::kFailed, "", "lease_expired", then);
}

void Run(TargetState& state, const target::StartRequest& request, Moment now) {
  TargetTask task;
  task.report = {request.task.Id(), request.task.attempt, request.epoch, true};
  task.report.spec = request.task;
  task.report.home = request.home;
  task.shard = request.shard;
  task.sequence = ++state.sequence;
  task.lease_until = now.steady + request.lease;
  task.behaviour = ReadBehaviour(request.task);
  if (state.faults.fail_all) {
    task.ends_at = now.steady;
  } else if (!state.faults.black_hole && !task.behaviour.runs_on) {
    task.ends_at = now.steady + task.behaviour.run;
  }
  Log(state, now, "start", task.report, "");
  state.tasks.insert_or_assign(task.report.id, std::move(task));
}

void ForgetOld(TargetState& state, Time now) {
  const auto old = [&](Time ended) { return ended + kKeepEnded < now; };
  std::size_t ended = 0;
  for (const auto& [id, task] : state.tasks) {
    ended += task.report.running ? 0 : 1;
  }
  std::erase_if(state.tasks, [&](const auto& item) {
    const bool forget = !item.second.report.running &&
                        (old(item.second.ended) || ended > kMaxEnded);
    ended -= forget ? 1 : 0;
    return forget;
  });
  std::erase_if(state.stopped,
                [&](const auto& item) { return old(item.second); });
}

}  // namespace

Behaviour ReadBehaviour(const TaskSpec& task) {
  Behaviour behaviour;
  behaviour.runs_on = task.work_class == WorkClass::kService;
  const auto object = ParseObject(task.payload);
  if (!object) {
    behaviour.echo = task.payload;
    return behaviour;
  }
  behaviour.echo = StringAt(*object, "echo");
  behaviour.fail = BoolAt(*object, "fail", false);
  if (object->contains("run_ms")) {
    behaviour.run = Millis(IntegerAt(*object, "run_ms", 1));
    behaviour.runs_on = behaviour.run < Millis(0);
  }
  if (object->contains("use_cpu_milli")) {
    behaviour.use_cpu_milli = IntegerAt(*object, "use_cpu_milli", 0);
  }
  return behaviour;
}

std::optional<Refusal> StartTask(TargetState& state,
                                 const target::StartRequest& request,
                                 Moment now) {
  Advance(state, now);
  const auto known = state.tasks.find(request.task.Id());
  if (known != state.tasks.end() &&
      !IsFenced(state, request.shard, request.epoch)) {
    const ReportedTask& report = known->second.report;
    if (report.attempt == request.task.attempt) {
      return std::nullopt;
    }
    if (report.running || report.attempt > request.task.attempt) {
      return Refusal::kDuplicate;
    }
  }
  const auto refusal = WhyRefused(state, request, now);
  if (refusal) {
    ReportedTask refused{request.task.Id(), request.task.attempt,
                         request.epoch};
    refused.spec = request.task;
    Log(state, now, "refused", refused, target::RefusalName(*refusal));
    return refusal;
  }
  Run(state, request, now);
  return std::nullopt;
}

std::optional<Refusal> StopTask(TargetState& state,
                                const target::StopRequest& request,
                                Moment now) {
  Advance(state, now);
  if (IsFenced(state, request.shard, request.epoch)) {
    return Refusal::kStaleEpoch;
  }
  state.stopped[{request.task_id, request.attempt}] = now.steady;
  const auto found = state.tasks.find(request.task_id);
  if (found != state.tasks.end() && found->second.report.running &&
      found->second.report.attempt == request.attempt) {
    End(state, found->second, TaskEnd::kCancelled,
        request.checkpoint ? R"({"checkpoint":true})" : "", "stop", now);
  }
  return std::nullopt;
}

std::optional<Refusal> RenewLeases(TargetState& state,
                                   const target::RenewRequest& request,
                                   Moment now) {
  Advance(state, now);
  if (IsFenced(state, request.shard, request.epoch)) {
    return Refusal::kStaleEpoch;
  }
  for (auto& [id, task] : state.tasks) {
    if (task.shard == request.shard && task.report.running) {
      task.lease_until = now.steady + request.lease;
    }
  }
  return std::nullopt;
}

bool HasChanges(const TargetState& state, const target::RenewRequest& request) {
  return request.after == 0 || request.instance != state.instance ||
         request.after != state.sequence;
}

target::RenewAnswer ChangesFor(const TargetState& state,
                               const target::RenewRequest& request) {
  target::RenewAnswer answer;
  answer.instance = state.instance;
  answer.sequence = state.sequence;
  answer.full = request.after == 0 || request.instance != state.instance;
  answer.leaving = state.faults.leaving;
  answer.used = Used(state);
  for (const auto& [id, task] : state.tasks) {
    if (task.shard == request.shard &&
        (answer.full || task.sequence > request.after)) {
      answer.tasks.push_back(task.report);
    }
  }
  return answer;
}

void Advance(TargetState& state, Moment now) {
  for (auto& [id, task] : state.tasks) {
    if (!task.report.running) {
      continue;
    }
    if (task.lease_until <= now.steady) {
      Expire(state, task, now);
    } else if (task.ends_at && *task.ends_at <= now.steady) {
      EndDue(state, task, now);
    }
  }
  ForgetOld(state, now.steady);
}

std::optional<Time> NextDue(const TargetState& state) {
  std::optional<Time> next;
  for (const auto& [id, task] : state.tasks) {
    if (task.report.running) {
      const Time due = task.ends_at ? std::min(*task.ends_at, task.lease_until)
                                    : task.lease_until;
      next = next ? std::min(*next, due) : due;
    }
  }
  return next;
}

}  // namespace buckthornmux::standins
