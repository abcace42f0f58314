#include <algorithm>
#include <cmath>

#include "src/cell/admission/admission.h"
#include "src/cell/admission/queues.h"
#include "src/cell/admission/team_limits.h"
#include "src/cell/placement/gang_waits.h"
#include "src/cell/placement/interference.h"
#include "src/cell/placement/isolation.h"
#include "src/cell/runs/verdicts.h"

namespace buckthornmux::cell {
namespace {

/// A job that ends after this multiple of its objective has no value left.
constexpr int kHopelessFactor = 3;
/// Maximum number of steps for which targets are looked at in one round, and of
/// gangs among them. Steps that can't start for another reason don't count.
constexpr std::size_t kMaxPlannedSteps = 150;
constexpr std::size_t kMaxPlannedGangs = 100;
/// Of the steps that may start, at least this many may ask the adviser.
constexpr std::size_t kMinAskers = 15;
/// A job with this many more late starts than another one comes after it, among
/// late steps; far more than the tasks of usual jobs.
constexpr std::uint64_t kLateStartsPerRank = 500;
/// One job on probation at a time for this many targets, or for this many empty
/// ones if that is more.
constexpr std::size_t kTargetsPerProbation = 4;
constexpr std::size_t kEmptyTargetsPerProbation = 2;
/// Beyond that, suspects may use the targets that all other work has left
/// empty, except for one in this many, for work that arrives meanwhile.
constexpr std::size_t kTargetsPerSpare = 8;

/// Maximum wait of tasks for the suspected ones of their step, one of which has
/// run by then or may be given up.
constexpr Millis kMaxStepWait{4000};

/// Returns the priority class of a step; lower classes are planned first.
int ClassOf(const Candidate& candidate) {
  enum Class : int {
    kUrgent,
    kUrgentLate,
    kInTime,
    kLate,
    kHopeless,
    kExcess,
    kExcessLate,
    kExcessHopeless
  };
  if (candidate.excess) {
    // Otherwise what is overdue for longest, and may never find targets, would
    // be all of the excess that a round looks at.
    if (candidate.hopeless) {
      return kExcessHopeless;
    }
    return candidate.late ? kExcessLate : kExcess;
  }
  const bool far_behind =
      candidate.hopeless && candidate.job->spec.recurrence.count > 0;
  if (candidate.Urgent() && !far_behind) {
    return candidate.late ? kUrgentLate : kUrgent;
  }
  if (candidate.hopeless) {
    return kHopeless;
  }
  return candidate.late ? kLate : kInTime;
}

/// Planning order of steps. Late steps come after those that can still meet
/// their objective; otherwise every job would be late under overload. Of those,
/// each job's oldest occurrence comes first, so that a job that is far behind
/// doesn't keep others waiting. Urgent occurrences without any value left lose
/// their precedence for the same reason.
bool Before(const Candidate& a, const Candidate& b) {
  if (a.order_class != b.order_class) {
    return a.order_class < b.order_class;
  }
  const auto rank = [](const Candidate& candidate) {
    return candidate.late || candidate.hopeless ? candidate.rank : 0;
  };
  if (rank(a) != rank(b)) {
    return rank(a) < rank(b);
  }
  if (a.slack != b.slack) {
    return a.slack < b.slack;
  }
  return a.ref < b.ref;
}

/// Returns the time from which the objective of an occurrence is measured.
Time BeganAt(const Cell& cell, const Job& job, std::uint32_t occurrence) {
  const Recurrence& recurrence = job.spec.recurrence;
  if (recurrence.count == 0) {
    return job.arrived;
  }
  const WallMillis due =
      recurrence.first + recurrence.interval.count() * occurrence;
  return Time(Millis(due - cell.wall_offset));
}

Candidate MakeCandidate(const Cell& cell, const StepRef& ref, Job& job,
                        Time now) {
  Candidate candidate;
  candidate.ref = ref;
  candidate.job = &job;
  candidate.step = FindStep(job, ref.occurrence, ref.step);
  candidate.queue = QueueOf(cell, job);
  candidate.priority = job.priority;
  candidate.excess = job.excess;
  // What is held for a gang would be lost if it fell back once it is late.
  const bool keeps_place =
      candidate.Spec().gang && HoldsRoom(*candidate.step, now) && !IsBusy(cell);
  candidate.excess = candidate.excess && !keeps_place;
  const Time began = BeganAt(cell, job, ref.occurrence);
  if (job.chains.empty()) {
    job.chains = ChainsOf(job.spec);
  }
  const Millis chain = job.chains[ref.step];
  if (candidate.Spec().service) {
    // A service has no completion objective; it is ordered by waiting time.
    candidate.slack = candidate.step->ready_at - now;
    return candidate;
  }
  candidate.slack = began + job.objective - now - chain;
  // Estimates are off, so that a step counts as late only if it is behind by
  // more than that.
  candidate.late =
      !keeps_place && candidate.slack < -chain / kEstimateErrorDivisor;
  candidate.hopeless =
      !keeps_place && now + chain > began + kHopelessFactor * job.objective;
  return candidate;
}

/// Penalties in a target's score, whose other parts stay below 3. A target far
/// from the data is chosen only if there is none near the data, and a target on
/// which the task failed only if the alternative is far from the data.
constexpr double kRemoteDataPenalty = 10;
constexpr double kFailedTargetPenalty = 5;
/// Urgent work on a target that is reserved for a gang delays the gang.
constexpr double kReservedTargetPenalty = 1;
/// A cold target gets urgent work only if no warm one near the data has room.
constexpr double kColdTargetPenalty = 4;

/// A slowdown by interference outweighs that the target is fuller than others.
constexpr double kInterferenceWeight = 2;
/// Weights of a target's run time in its score.
constexpr double kRunTimeWeight = 1;
constexpr double kSlackRunTimeWeight = 0.2;

/// Whether a step may miss its objective on a slow target.
bool NeedsFastTarget(const Round& round, const Candidate& candidate) {
  /// A run takes up to 0.7 times longer there.
  constexpr int kSlowPercent = 70;
  constexpr int kAllPercent = 100;
  return candidate.Urgent() ||
         (round.speeds_differ && !candidate.Spec().service && !candidate.late &&
          !candidate.hopeless &&
          candidate.slack < candidate.job->chains[candidate.ref.step] *
                                kSlowPercent / kAllPercent);
}

/// Scores a slot for a task; lower is better.
double Score(const Round& round, const Slot& slot, const Resources& room,
             const StepSpec& spec, const Task* task,
             const Candidate& candidate) {
  const Target& target = *slot.target;
  const auto total = static_cast<double>(
      std::max<std::int64_t>(1, target.entry.capacity.cpu_milli));
  const double left =
      static_cast<double>(room.cpu_milli - spec.demand.cpu_milli) / total;
  double score = left + slot.run_time * (NeedsFastTarget(round, candidate)
                                             ? kRunTimeWeight
                                             : kSlackRunTimeWeight);
  if (candidate.kind != 0) {
    score += kInterferenceWeight *
             Disturbance(round.cell.interference, candidate.kind, slot.kinds);
  }
  if (slot.reserved.cpu_milli > 0) {
    score += kReservedTargetPenalty;
  }
  if (round.cell.options.avoid_cold && candidate.Urgent() &&
      target.entry.cold > Millis(0)) {
    score += kColdTargetPenalty;
  }
  if (!spec.data_rack.empty() &&
      std::ranges::count(target.entry.labels, spec.data_rack) == 0) {
    score += kRemoteDataPenalty;
  }
  if (task != nullptr && task->failed_on == target.entry.id) {
    score += kFailedTargetPenalty;
  }
  return score;
}

Slot* BestSlot(const Round& round, const Candidate& candidate,
               const Queue& queue, const Task* task,
               const std::vector<Slot*>& allowed) {
  const StepSpec& spec = candidate.Spec();
  Slot* best = nullptr;
  double best_score = 0;
  const Resources need = ReservedBy(spec);
  for (Slot* slot : allowed) {
    const Target& target = *slot->target;
    const Resources room = RoomFor(*slot, candidate);
    if (!need.FitsIn(room) || !MayUse(round, candidate, queue, task, *slot) ||
        SlotsOn(target, room, spec, candidate.ref) == 0) {
      continue;
    }
    const std::int64_t taken = HeadroomTakenBy(round, candidate, *slot);
    if (taken > 0 && taken > round.beyond_headroom) {
      continue;
    }
    const double score = Score(round, *slot, room, spec, task, candidate);
    if (best == nullptr || score < best_score) {
      best = slot;
      best_score = score;
    }
  }
  return best;
}

/// Returns why a task that found no slot waits for its isolation; kNone if it
/// wouldn't have one without.
HoldReason ReasonToHold(Round& round, const Candidate& candidate,
                        const Queue& queue, const Task* task, Sharing sharing) {
  const bool isolated =
      sharing < Sharing::kUnreserved || !round.on_probation.empty();
  return isolated && sharing != Sharing::kAny &&
                 BestSlot(round, candidate, queue, task,
                          AllowedSlots(round, candidate, queue,
                                       Sharing::kAny)) != nullptr
             ? ReasonFor(sharing)
             : HoldReason::kNone;
}

TaskId TaskIdOf(const Candidate& candidate, std::uint32_t index) {
  return {candidate.ref.job, candidate.ref.occurrence, candidate.ref.step,
          index};
}

/// Starts a suspected task, or notes why it is held back.
/// @return whether it has started
bool StartSuspect(Round& round, const Candidate& candidate, const Queue& queue,
                  std::uint32_t index, Task& task) {
  const TaskId id = TaskIdOf(candidate, index);
  const Suspicion suspicion = SuspicionOf(task);
  const Millis held = HeldFor(task.hold, round.now);
  const Millis apart_for = ApartFor(round.cell.options, task);
  if (candidate.held_by != HoldReason::kNone &&
      MayWait(suspicion, apart_for, held)) {
    NoteHeld(round, candidate, &id, task.hold, candidate.held_by);
    return false;
  }
  const Sharing sharing = SharingOf(suspicion, apart_for, held);
  if (Yields(task, held)) {
    NoteHeld(round, candidate, &id, task.hold, HoldReason::kTurn);
    return false;
  }
  if (!AnyMayShare(round, candidate, queue, sharing, &task)) {
    NoteHeld(round, candidate, &id, task.hold, ReasonFor(sharing));
    return false;
  }
  Slot* slot = BestSlot(round, candidate, queue, &task,
                        AllowedSlots(round, candidate, queue, sharing, &task));
  if (slot == nullptr) {
    const HoldReason reason =
        ReasonToHold(round, candidate, queue, &task, sharing);
    if (reason != HoldReason::kNone) {
      NoteHeld(round, candidate, &id, task.hold, reason);
    }
    return false;
  }
  StartTask(round, candidate, index, task.next_run, *slot);
  return true;
}

/// Starts a suspected task of a step: one at a time, on one target, but for
/// those that have waited for long.
void StartSuspects(Round& round, const Candidate& candidate,
                   const Queue& queue) {
  for (auto& [index, task] : candidate.step->tasks.Started()) {
    if (task.phase != TaskPhase::kWaiting || !IsSuspect(task)) {
      continue;
    }
    if (round.starts_left == 0 ||
        !MayUseMore(round, candidate, candidate.Spec().demand)) {
      return;
    }
    const bool may_wait =
        MayWait(SuspicionOf(task), ApartFor(round.cell.options, task),
                HeldFor(task.hold, round.now));
    if (StartSuspect(round, candidate, queue, index, task) && may_wait) {
      return;
    }
  }
}

/// Whether tasks of a step wait that aren't suspected.
bool HasUnsuspectedWaiting(const Step& step) {
  return step.tasks.CountUnstarted() > 0 ||
         std::ranges::any_of(step.tasks.Started(), [](const auto& entry) {
           return entry.second.phase == TaskPhase::kWaiting &&
                  !IsSuspect(entry.second);
         });
}

/// Starts the tasks of a step that aren't suspected.
void StartUnsuspected(Round& round, const Candidate& candidate,
                      const Queue& queue) {
  const StepSpec& spec = candidate.Spec();
  Step& step = *candidate.step;
  const Sharing sharing = SharingOf(Suspicion::kNone, Millis(0),
                                    HeldFor(step.crash_hold, round.now));
  const std::vector<Slot*> allowed =
      AllowedSlots(round, candidate, queue, sharing);
  const auto note_if_held = [&](const Task* task) {
    const HoldReason reason =
        ReasonToHold(round, candidate, queue, task, sharing);
    if (reason != HoldReason::kNone) {
      NoteHeld(round, candidate, nullptr, step.crash_hold, reason);
    }
  };
  // Those that have been started before come first.
  for (const auto& [index, task] : step.tasks.Started()) {
    if (task.phase != TaskPhase::kWaiting || IsSuspect(task)) {
      continue;
    }
    if (round.starts_left == 0 || !MayUseMore(round, candidate, spec.demand)) {
      return;
    }
    Slot* slot = BestSlot(round, candidate, queue, &task, allowed);
    if (slot == nullptr) {
      note_if_held(&task);
      if (task.failed_runs.empty()) {
        return;  // The other untried tasks have the same demand.
      }
      continue;
    }
    StartTask(round, candidate, index, task.next_run, *slot);
  }
  for (std::uint32_t i = step.tasks.NextUnstarted(0); i < step.tasks.Count();
       i = step.tasks.NextUnstarted(i + 1)) {
    if (round.starts_left == 0 || !MayUseMore(round, candidate, spec.demand)) {
      return;
    }
    Slot* slot = BestSlot(round, candidate, queue, nullptr, allowed);
    if (slot == nullptr) {
      note_if_held(nullptr);
      return;
    }
    StartTask(round, candidate, i, step.tasks.FirstRun(), *slot);
  }
}

void StartSingles(Round& round, const Candidate& candidate,
                  const Queue& queue) {
  if (!MayUseMore(round, candidate, candidate.Spec().demand) ||
      !AnyHasRoom(round, candidate, queue)) {
    return;
  }
  if (!candidate.suspect) {
    StartUnsuspected(round, candidate, queue);
    return;
  }
  StartSuspects(round, candidate, queue);
  Step& step = *candidate.step;
  if (!HasUnsuspectedWaiting(step)) {
    return;
  }
  // The other tasks of a step do what its suspected ones do.
  if (HeldFor(step.crash_hold, round.now) < kMaxStepWait) {
    NoteHeld(round, candidate, nullptr, step.crash_hold,
             HoldReason::kStepOnProbation);
    return;
  }
  StartUnsuspected(round, candidate, queue);
}

/// Notes whether a step has suspected tasks. Done for planned steps only, since
/// a long queue has many more.
void FindSuspects(Candidate& candidate) {
  candidate.suspect = std::ranges::any_of(
      candidate.step->tasks.Started(),
      [](const auto& task) { return IsSuspect(task.second); });
  candidate.repeated_suspect = std::ranges::any_of(
      candidate.step->tasks.Started(),
      [](const auto& task) { return IsRepeatedSuspect(task.second); });
}

/// Whether the crashes of a step's suspected tasks are stored.
bool AreCrashesStored(const Candidate& candidate) {
  const Job& job = *candidate.job;
  return std::ranges::all_of(candidate.step->tasks.Started(),
                             [&](const auto& task) {
                               return task.second.crash_version <= job.durable;
                             });
}

std::size_t CountEmpty(const Round& round) {
  return static_cast<std::size_t>(
      std::ranges::count(round.slots, true, &Slot::empty));
}

/// Whether few enough other jobs are on probation for one more.
bool MayTrySuspects(const Round& round, const Candidate& candidate) {
  const std::size_t empty = CountEmpty(round);
  const std::size_t most =
      std::max({std::size_t{1}, round.slots.size() / kTargetsPerProbation,
                empty / kEmptyTargetsPerProbation});
  return round.on_probation.contains(candidate.ref.job) ||
         round.on_probation.size() < most;
}

void PlanStep(Round& round, const Candidate& candidate) {
  Job& job = *candidate.job;
  const Queue* queue = candidate.queue;
  const bool gang = candidate.Spec().gang;
  if (gang && round.gang_looks >= kMaxPlannedGangs) {
    return;
  }
  // Without a ticket nothing can start.
  if (!queue->advice || !candidate.step->advice.tickets.empty()) {
    if (gang) {
      StartGang(round, candidate, *queue);
    } else {
      StartSingles(round, candidate, *queue);
    }
    RefreshStep(round.cell, job, candidate.ref.occurrence, candidate.ref.step);
    if (!round.cell.ready.contains(candidate.ref)) {
      return;
    }
  }
  if (candidate.held_by != HoldReason::kNone) {
    return;
  }
  if (queue->advice && candidate.may_ask) {
    AskAdviceIfUseful(round, candidate, *queue);
  }
  if (gang && candidate.step->live == 0) {
    ReserveForGang(round, candidate, *queue);
  }
}

std::int64_t WaitingCpu(const Step& step, const StepSpec& spec) {
  const auto waiting =
      static_cast<std::int64_t>(spec.count - step.done - step.live);
  return waiting * ReservedBy(spec).cpu_milli;
}

void AddTargets(const Cell& cell, Load& load) {
  for (const auto& [id, target] : cell.targets) {
    if (target.listed && IsEvacuated(cell, target)) {
      ++load.targets_evacuated;
    } else if (target.reported && target.listed && !target.entry.draining) {
      ++load.targets;
      load.capacity += target.entry.capacity;
      load.free += RoomOf(target);
    }
  }
}

/// Updates the capacity and free CPU of the cell.
void CountCapacity(Cell& cell) {
  Load load;
  AddTargets(cell, load);
  cell.capacity_cpu = load.capacity.cpu_milli;
  cell.free_cpu = load.free.cpu_milli;
  if (load.targets > 0 || load.targets_evacuated == 0) {
    return;
  }
  // If all targets are evacuated, the cell counts as a full one and not as one
  // without targets, so that jobs beyond a team's share are refused.
  for (const auto& [id, target] : cell.targets) {
    cell.capacity_cpu += target.listed ? target.entry.capacity.cpu_milli : 0;
  }
}

/// Counts what a step adds to the backlog that admission looks at.
void CountWaiting(Cell& cell, const Candidate& candidate) {
  const StepSpec& spec = candidate.Spec();
  const bool excess = candidate.job->excess;
  cell.excess_cpu += excess ? WaitingCpu(*candidate.step, spec) : 0;
  // What has no value any more comes after all that has.
  if (!spec.service && !candidate.hopeless) {
    AddWaitingWork(cell.waiting_work, candidate.priority, excess,
                   WorkOf(spec, candidate.step->CountWaiting()));
  }
}

/// Returns the waiting steps, and updates the backlog of the cell.
std::vector<Candidate> WaitingSteps(Cell& cell, Time now) {
  std::vector<Candidate> candidates;
  std::int64_t backlog = 0;
  cell.excess_cpu = 0;
  cell.waiting_work = {};
  std::uint32_t rank = 0;
  const StepRef* last = nullptr;
  for (const StepRef& ref : cell.ready) {
    Job& job = *FindJob(cell, ref.job);
    if (!MayStartTasks(cell, job)) {
      continue;
    }
    const bool same_job = last != nullptr && last->job == ref.job;
    const bool next = same_job && last->occurrence != ref.occurrence;
    rank = same_job ? rank + (next ? 1 : 0) : 0;
    last = &ref;
    Candidate candidate = MakeCandidate(cell, ref, job, now);
    candidate.rank = rank + job.late_starts / kLateStartsPerRank;
    candidate.order_class = ClassOf(candidate);
    backlog += WaitingCpu(*candidate.step, candidate.Spec());
    CountWaiting(cell, candidate);
    candidates.push_back(std::move(candidate));
  }
  cell.backlog_cpu = backlog;
  const bool much =
      static_cast<double>(backlog) >
      cell.options.busy_backlog * static_cast<double>(cell.capacity_cpu);
  cell.backlog_since =
      much ? std::optional(cell.backlog_since.value_or(now)) : std::nullopt;
  return candidates;
}

/// Lets the first steps ask the adviser, also those without room.
void MarkAskers(std::vector<Candidate>& candidates) {
  const auto front =
      candidates.begin() + static_cast<std::ptrdiff_t>(
                               std::min(candidates.size(), kMaxPlannedSteps));
  std::ranges::nth_element(candidates, front, Before);
  for (auto next = candidates.begin(); next != front; ++next) {
    next->may_ask = true;
  }
}

/// Plans a step. Its suspected tasks may have to wait.
/// @param held_back receives it if its repeated suspects wait for their turn
void PlanWithSuspects(Round& round, Candidate& candidate,
                      std::vector<Candidate>& held_back) {
  FindSuspects(candidate);
  if (candidate.suspect && !AreCrashesStored(candidate)) {
    candidate.held_by = HoldReason::kCrashesUnstored;
  } else if (candidate.suspect && !MayTrySuspects(round, candidate)) {
    candidate.held_by = HoldReason::kTurn;
    // One that has crashed a target soon after its start waits for its turn.
    if (candidate.repeated_suspect) {
      held_back.push_back(candidate);
    }
  }
  candidate.ends_before_gangs = EndsBeforeGangs(round, candidate);
  if (round.cell.interference.found > 0) {
    candidate.kind = KindOf(round.cell, candidate, round.now);
  }
  PlanStep(round, candidate);
}

/// Counts the waiting tasks of a step that has tickets or waits for them.
void CoverByAdvice(Round& round, const Candidate& candidate) {
  const Step& step = *candidate.step;
  if (round.cell.ready.contains(candidate.ref) &&
      (!step.advice.asks.empty() || !step.advice.tickets.empty())) {
    round.advice_limit.covered += WaitingCpu(step, candidate.Spec());
  }
}

/// Notes since when room has been free beside waiting single tasks that fit
/// into it and whose team is within its limit.
void NoteIdleRoom(Round& round, const std::vector<Candidate>& candidates) {
  Cell& cell = round.cell;
  std::int64_t free = 0;
  for (const Slot& slot : round.slots) {
    free += std::max<std::int64_t>(0, slot.room.cpu_milli);
  }
  free -= cell.headroom_cpu;
  constexpr std::int64_t kIdlePart = 20;  // 5 % of the cell.
  const bool idle =
      free > cell.capacity_cpu / kIdlePart &&
      std::ranges::any_of(candidates, [&](const Candidate& candidate) {
        return !candidate.Spec().gang && cell.ready.contains(candidate.ref) &&
               AnyHasRoom(round, candidate, *candidate.queue);
      });
  if (!idle) {
    cell.idle_since.reset();
    return;
  }
  cell.idle_since = cell.idle_since.value_or(round.now);
}

/// Ages the evidence on interference, and logs what was found or has ended.
void AgeInterference(Cell& cell, Actions& actions, Time now) {
  constexpr Millis kInterval{500};
  if (!cell.options.interference ||
      now - cell.interference.judged_at < kInterval) {
    return;
  }
  for (const PairChange& change : Age(cell.interference, now)) {
    constexpr int kAllPercent = 100;
    Note(actions, change.found ? "interference_found" : "interference_gone",
         {{"kind", change.kind},
          {"beside", change.beside},
          {"run_time_percent",
           std::to_string(std::lround(change.slowdown * kAllPercent))},
          {"pairs", std::to_string(cell.interference.found)}});
  }
}

std::size_t CountReserved(const Cell& cell, Time now) {
  return static_cast<std::size_t>(
      std::ranges::count_if(cell.targets, [&](const auto& entry) {
        return std::ranges::any_of(entry.second.runs, [&](const auto& run) {
          return ReservesTarget(cell.options, run.second, now);
        });
      }));
}

std::string_view NameOf(LeaseBound bound) {
  switch (bound) {
    case LeaseBound::kStored:
      return "stored";
    case LeaseBound::kFormerOwner:
      return "told by the former owner";
    case LeaseBound::kSeen:
      return "seen when replaced";
  }
  return "unknown";
}

/// Adds the waits of a step that suspicions cause.
void AddCrashHolds(const Step& step, Load& load, Time now) {
  Millis longest = HeldFor(step.crash_hold, now);
  for (const auto& [index, task] : step.tasks.Started()) {
    if (task.phase == TaskPhase::kWaiting && IsSuspect(task)) {
      ++load.suspects_waiting;
      longest = std::max(longest, HeldFor(task.hold, now));
    }
  }
  load.longest_crash_hold = std::max(load.longest_crash_hold, longest);
}

}  // namespace

Load LoadOf(const Cell& cell, Time now) {
  Load load;
  AddTargets(cell, load);
  for (const TargetId& id : Unreported(cell, now)) {
    ++load.unreported;
    const ExpectedTarget& expected = cell.expected.at(id);
    if (const Millis left = expected.until - now; left > load.unreported_for) {
      load.unreported_last = id;
      load.unreported_for = left;
      load.unreported_owner = expected.last_owner;
      load.unreported_bound = NameOf(expected.bound);
    }
  }
  load.unrecovered = UnrecoveredFor(cell, now);
  load.targets_reserved = CountReserved(cell, now);
  for (const StepRef& ref : cell.ready) {
    const Job& job = *FindJob(cell, ref.job);
    const Step& step = *FindStep(job, ref.occurrence, ref.step);
    const StepSpec& spec = job.spec.steps[ref.step];
    AddCrashHolds(step, load, now);
    load.adopted_waiting += cell.recovered || !job.adopted ? 0U : 1U;
    const std::int64_t waiting = WaitingCpu(step, spec);
    load.waiting_cpu_milli += waiting;
    if (!TeamAllowsTask(cell, job.spec.team, spec.demand)) {
      load.limited_cpu_milli += waiting;
    } else if (step.advice.tickets.empty()) {
      ++load.steps_without_ticket;
    }
  }
  load.steps_waiting = cell.ready.size();
  load.jobs_behind = cell.behind.size();
  for (const JobId& id : cell.behind) {
    const Job* job = FindJob(cell, id);
    load.occurrences_waiting +=
        job == nullptr ? 0 : CountUnopened(cell, *job, now);
  }
  load.list_age = ListAge(cell, now);
  if (cell.first_start) {
    load.first_start = *cell.first_start - cell.claimed_at;
  }
  load.headroom_cpu_milli = cell.headroom_cpu;
  load.idle_beside_work = cell.idle_since ? now - *cell.idle_since : Millis(0);
  load.interfering_pairs = cell.interference.found;
  const GangWaits gangs = GangWaitsAt(cell, now);
  load.gangs_waiting = gangs.count;
  load.longest_gang_wait = gangs.longest;
  load.runs = cell.run_count;
  load.job_bytes = cell.job_bytes;
  load.lanes_busy = static_cast<std::size_t>(std::ranges::count_if(
      cell.lanes, [](const AdviceLane& lane) { return lane.open > 0; }));
  return load;
}

void Plan(Cell& cell, Actions& actions, Time now) {
  cell.plan_due = false;
  if (!cell.loaded) {
    return;
  }
  JudgeAccused(cell, actions, now);
  AgeInterference(cell, actions, now);
  OpenDue(cell, actions, now);
  std::vector<Candidate> candidates = WaitingSteps(cell, now);
  CountCapacity(cell);
  CountUnknownRuns(cell, now);
  Round round = BeginRound(cell, actions, now);
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return candidate.queue == nullptr || !TeamMayStart(round, candidate);
  });
  MarkAskers(candidates);
  std::erase_if(candidates, [&](const Candidate& candidate) {
    return !candidate.Spec().gang && !MayAskAhead(round, candidate) &&
           !AnyHasRoom(round, candidate, *candidate.queue);
  });
  // Those that may ask come before all others, whose order is rarely needed.
  const auto first_part =
      std::ranges::find(candidates, false, &Candidate::may_ask);
  std::sort(candidates.begin(), first_part, Before);
  std::vector<Candidate> held_back;
  std::size_t planned = 0;
  for (auto next = candidates.begin();
       next != candidates.end() && round.looks < kMaxPlannedSteps; ++next) {
    if (next == first_part) {
      std::sort(first_part, candidates.end(), Before);
    }
    next->may_ask = (next->may_ask || planned++ < kMinAskers) &&
                    MayAsk(round.advice_limit, next->Urgent());
    PlanWithSuspects(round, *next, held_back);
    CoverByAdvice(round, *next);
  }
  NoteIdleRoom(round, candidates);
  const std::size_t spare = round.slots.size() / kTargetsPerSpare;
  for (Candidate& candidate : held_back) {
    if (CountEmpty(round) <= spare) {
      break;
    }
    candidate.held_by = HoldReason::kNone;
    PlanStep(round, candidate);
  }
  NoteGangWaits(round, candidates);
  NoteLimits(cell, actions, round.limited, now);
  // Those that this round didn't get to start in the next one.
  cell.plan_due = cell.plan_due || (round.starts_left == 0 &&
                                    cell.run_count < cell.options.max_runs);
}

}  // namespace buckthornmux::cell
