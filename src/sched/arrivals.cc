#include "buckthornmux/detail/sched/arrivals.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "buckthornmux/detail/core/invariant.h"
#include "buckthornmux/detail/sched/answers.h"
#include "buckthornmux/detail/sched/estimates.h"
#include "buckthornmux/detail/sched/health.h"
#include "buckthornmux/detail/sched/holds.h"
#include "buckthornmux/detail/sched/placement.h"
#include "buckthornmux/detail/sched/queue.h"
#include "buckthornmux/detail/sched/remembered.h"

namespace buckthornmux::sched {
namespace {

/// An unanswered grant request older than this is no reason to let urgent work
/// wait.
constexpr Millis kLedgerResponseTimeout{500};
constexpr Millis kMaxRetryDelay{30'000};

/// Reason for refusing a task, and when to retry.
struct Refusal {
  ErrorKind error = ErrorKind::kInternal;
  Millis retry_after{0};
};

Refusal RefusalFor(ErrorKind error) {
  return {error, AnswerFor(error).retry_after};
}

void AnswerFromRecord(Step& step, const TaskRecord& task) {
  if (task.phase == TaskPhase::kRunning) {
    step.actions.emplace_back(Started{LatestHome(step.state, task.partition),
                                      task.spec.Id(), task.spec.attempt,
                                      step.state.targets[task.target].spec.id});
  }
}

// Handles a later attempt of a known task: it replaces an earlier attempt that
// is queued, and is refused while an earlier attempt may run.
// Returns whether the later attempt is refused.
bool HandleLaterAttempt(Step& step, const Home& home, const TaskSpec& spec,
                        const TaskRecord& known) {
  const Millis retry = AnswerFor(ErrorKind::kNotReady).retry_after;
  if (known.phase == TaskPhase::kQueued) {
    RefuseUnit(step, known.place, ErrorKind::kDuplicateRequest, retry);
    return false;
  }
  RefuseTask(step, home.partition, spec, ErrorKind::kDuplicateRequest, retry);
  return true;
}

// Answers a request from the cached result of an ended attempt.
// Returns whether the request has been answered.
bool AnswerFromEnded(Step& step, const TaskSpec& spec) {
  EndedRecord* const ended = FindBounded(step.state.ended, spec.Id());
  if (ended == nullptr || ended->attempt < spec.attempt) {
    return false;
  }
  if (ended->attempt == spec.attempt) {
    ended->answer.home = LatestHome(step.state, ended->partition);
    step.actions.emplace_back(ended->answer);
  }
  return true;
}

// Answers a request for a task that is already known to this shard.
// Returns whether nothing more has to be done for the request.
bool AnswerFromKnown(Step& step, const Home& home, const TaskSpec& spec) {
  const TaskRecord* const known = FindTask(step.state, spec.Id());
  if (known == nullptr) {
    return AnswerFromEnded(step, spec);
  }
  if (known->spec.attempt < spec.attempt) {
    return HandleLaterAttempt(step, home, spec, *known);
  }
  if (known->spec.attempt == spec.attempt) {
    AnswerFromRecord(step, *known);
  }
  return true;
}

std::optional<Refusal> RefusedByDeadline(const Step& step,
                                         const TaskSpec& spec) {
  if (spec.deadline == 0) {
    return std::nullopt;
  }
  if (step.state.clock.ToSteady(spec.deadline) <= step.now) {
    return RefusalFor(ErrorKind::kDeadlinePassed);
  }
  if (LatestStart(step.state, spec, step.now) < step.now) {
    return RefusalFor(ErrorKind::kDeadlineUnmeetable);
  }
  return std::nullopt;
}

std::optional<Refusal> RefusedByLimit(const ShardState& state,
                                      const TaskSpec& spec) {
  const auto team = state.teams.find(spec.team);
  if (team == state.teams.end()) {
    // The team's configuration arrives within seconds.
    return RefusalFor(ErrorKind::kNotReady);
  }
  const std::int64_t slots =
      spec.demand.slots * static_cast<std::int64_t>(spec.gang_size);
  if (slots > team->second.limit) {
    return Refusal{ErrorKind::kTeamLimit, RetryAfter(state)};
  }
  return std::nullopt;
}

bool WellFormed(const TaskSpec& spec) {
  const Resources& demand = spec.demand;
  return demand.slots >= 0 && demand.cpu_milli >= 0 && demand.memory_mb >= 0 &&
         demand.accelerators >= 0 && spec.gang_size >= 1;
}

std::optional<Refusal> RefusalReason(Step& step, const TaskSpec& spec) {
  ShardState& state = step.state;
  if (!state.configured || state.epoch == 0) {
    return RefusalFor(ErrorKind::kNotReady);
  }
  if (!WellFormed(spec)) {
    return RefusalFor(ErrorKind::kMalformed);
  }
  if (FindBounded(state.cancelled, spec.Id()) != nullptr) {
    return RefusalFor(ErrorKind::kCancelled);
  }
  if (JobRefused(state, spec)) {
    return RefusalFor(ErrorKind::kJobRefused);
  }
  if (const auto refusal = RefusedByLimit(state, spec)) {
    return refusal;
  }
  if (!CouldEverFit(state, spec, spec.gang_size)) {
    return RefusalFor(ErrorKind::kNeverFits);
  }
  if (const auto refusal = RefusedByDeadline(step, spec)) {
    return refusal;
  }
  if (state.queued + spec.gang_size > state.policy.max_queued) {
    return Refusal{ErrorKind::kQueueFull, RetryAfter(state)};
  }
  return std::nullopt;
}

TaskRecord* AddRecord(Step& step, const Home& home, const TaskSpec& spec) {
  TaskRecord record;
  record.spec = spec;
  record.partition = home.partition;
  record.queued_at = step.now;
  Invariant(home.epoch >= LatestHome(step.state, home.partition).epoch,
            "no_start_from_old_home", spec.Id());
  return &step.state.tasks.emplace(spec.Id(), std::move(record)).first->second;
}

void EnqueueTask(Step& step, const Home& home, const TaskSpec& spec) {
  if (AnswerFromKnown(step, home, spec)) {
    return;
  }
  if (spec.work_class == WorkClass::kUrgent) {
    RecordUrgentArrival(step, spec);
  }
  if (const auto refusal = RefusalReason(step, spec)) {
    RefuseTask(step, home.partition, spec, refusal->error,
               refusal->retry_after);
    return;
  }
  TaskRecord* const task = AddRecord(step, home, spec);
  PushUnit(step, std::span(&task, 1), false);
}

// Whether the tasks are the members of one job, each listed once, and all have
// the same requirements.
bool IsWholeGang(std::span<const TaskSpec> tasks) {
  const TaskSpec& first = tasks.front();
  std::set<std::uint32_t> indexes;
  for (const TaskSpec& task : tasks) {
    const bool same_requirements =
        task.job == first.job && task.team == first.team &&
        task.kind == first.kind && task.work_class == first.work_class &&
        task.demand == first.demand && task.labels == first.labels &&
        task.gang_size == first.gang_size;
    if (!same_requirements || !indexes.insert(task.index).second) {
      return false;
    }
  }
  return tasks.size() == first.gang_size;
}

void EnqueueGang(Step& step, const Enqueue& enqueue) {
  const Home& home = enqueue.home;
  std::vector<const TaskSpec*> fresh;
  for (const TaskSpec& spec : enqueue.tasks) {
    if (!AnswerFromKnown(step, home, spec)) {
      fresh.push_back(&spec);
    }
  }
  if (fresh.empty()) {
    return;
  }
  std::optional<Refusal> refusal;
  if (!IsWholeGang(enqueue.tasks)) {
    refusal = RefusalFor(ErrorKind::kMalformed);
  } else if (fresh.size() != enqueue.tasks.size()) {
    // Members of an earlier request are still known to this shard.
    refusal = RefusalFor(ErrorKind::kNotReady);
  }
  for (const TaskSpec* spec : fresh) {
    refusal = refusal ? refusal : RefusalReason(step, *spec);
  }
  std::vector<TaskRecord*> members;
  for (const TaskSpec* spec : fresh) {
    if (refusal) {
      RefuseTask(step, home.partition, *spec, refusal->error,
                 refusal->retry_after);
    } else {
      members.push_back(AddRecord(step, home, *spec));
    }
  }
  if (!refusal) {
    PushUnit(step, members, false);
  }
}

// Time until `ends` holds of a team (null: of all teams) are expected to have
// ended. A hold that is overdue by some time is expected to last for the same
// time again.
Millis ExpectedWait(const Step& step, const TeamName* team, std::size_t ends) {
  std::vector<Millis> waits;
  for (const TargetRecord& target : step.state.targets) {
    for (const Hold& hold : target.holds) {
      const bool counts = team == nullptr || hold.team == *team;
      if (counts && !hold.unending) {
        const Millis left = hold.expected_end - step.now;
        waits.push_back(left >= Millis{0} ? left : -left);
      }
    }
  }
  if (waits.size() < ends || ends == 0) {
    return Millis::max();
  }
  const auto nth = waits.begin() + static_cast<std::ptrdiff_t>(ends - 1);
  std::ranges::nth_element(waits, nth);
  return *nth;
}

std::optional<Refusal> UnattainableReason(const Step& step,
                                          const TaskRecord& task,
                                          const Unit& unit) {
  const ShardState& state = step.state;
  const TeamRecord& team = state.teams.find(task.spec.team)->second;
  Refusal refusal{ErrorKind::kCellFull, Millis{0}};
  const TeamName* of_team = nullptr;
  if (team.used.slots + unit.slots > UsableGrant(state, team)) {
    const bool asking =
        team.asked < 0 || step.now - team.asked_at < kLedgerResponseTimeout;
    if (team.grant < team.limit && asking) {
      return std::nullopt;  // The ledger may still grant more slots in time.
    }
    refusal.error = ErrorKind::kTeamLimit;
    of_team = &task.spec.team;
  }
  const Millis wait = ExpectedWait(step, of_team, state.queued_urgent);
  if (wait <= unit.latest_start - step.now) {
    return std::nullopt;
  }
  refusal.retry_after =
      std::max(RetryAfter(state), std::min(wait / 2, kMaxRetryDelay));
  return refusal;
}

}  // namespace

void HandleEnqueue(Step& step, const Enqueue& enqueue) {
  if (enqueue.tasks.empty()) {
    return;
  }
  if (!AcceptHomeEpoch(step.state, enqueue.home)) {
    const Millis retry = AnswerFor(ErrorKind::kOwnerStale).retry_after;
    for (const TaskSpec& spec : enqueue.tasks) {
      step.actions.emplace_back(Ended{enqueue.home,
                                      spec.Id(),
                                      spec.attempt,
                                      TaskEnd::kNotRun,
                                      ErrorKind::kOwnerStale,
                                      retry,
                                      {}});
    }
    return;
  }
  if (enqueue.tasks.front().gang_size > 1) {
    EnqueueGang(step, enqueue);
    return;
  }
  for (const TaskSpec& spec : enqueue.tasks) {
    EnqueueTask(step, enqueue.home, spec);
  }
}

void RefuseOversized(Step& step) {
  std::vector<UnitPlace> places;
  for (const auto& [id, lane] : step.state.lanes) {
    const Unit& head = lane.units.begin()->second;
    const TaskSpec& spec =
        step.state.tasks.find(head.task_ids.front())->second.spec;
    if (CouldEverFit(step.state, spec, spec.gang_size)) {
      continue;
    }
    for (const auto& [key, unit] : lane.units) {
      places.push_back({id, key});
    }
  }
  for (const UnitPlace& place : places) {
    RefuseUnit(step, place, ErrorKind::kNeverFits, Millis{0});
  }
}

void RefuseUnattainableUrgent(Step& step, const Enqueue& enqueue) {
  ShardState& state = step.state;
  if (state.policy.choice != PolicyChoice::kFair || !state.may_start ||
      state.unreported_slots > 0) {
    return;
  }
  for (const TaskSpec& spec : enqueue.tasks) {
    const TaskRecord* const task = FindTask(state, spec.Id());
    if (task == nullptr || task->phase != TaskPhase::kQueued ||
        task->spec.work_class != WorkClass::kUrgent) {
      continue;
    }
    const UnitPlace place = task->place;
    const Unit& unit = *FindUnit(state, place);
    if (unit.preempting_until > step.now) {
      continue;  // Preemption for this unit is in progress.
    }
    if (const auto refusal = UnattainableReason(step, *task, unit)) {
      RefuseUnit(step, place, refusal->error, refusal->retry_after);
    }
  }
}

}  // namespace buckthornmux::sched
