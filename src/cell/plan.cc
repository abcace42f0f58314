#include <algorithm>
#include <set>

#include "round.h"

namespace buckthornmux::cell {
namespace {

constexpr int kUrgentPriority = 0;
/// Share of its objective past which a late job yields to those in time.
constexpr int kHopelessFactor = 3;
/// Successes this recent make a target fit for a task's last attempt.
constexpr Millis kProvenWithin{10'000};
/// A last attempt waits so long for such a target: in a quiet cell there is
/// none.
constexpr Millis kProofWait{1500};
/// Then so long for one that has not failed lately; after that it takes any.
constexpr Millis kHealthyWait{4000};
/// Steps looked at in one round: what comes later finds no room anyway.
constexpr std::size_t kMostPlanned = 150;

/// A step in the order of its turn.
struct Candidate {
  StepRef ref;
  Job* job = nullptr;  ///< Of the step; a round adds and removes no jobs.
  Step* step = nullptr;
  int priority = 0;
  bool excess = false;    ///< Beyond its team's share.
  bool hopeless = false;  ///< No longer worth anything by its objective.
  Millis slack{0};        ///< Time left before it must start.
};

bool Before(const Candidate& a, const Candidate& b) {
  const bool a_urgent = a.priority == kUrgentPriority;
  const bool b_urgent = b.priority == kUrgentPriority;
  if (a.excess != b.excess) {
    return b.excess;
  }
  if (a_urgent != b_urgent) {
    return a_urgent;
  }
  if (a.hopeless != b.hopeless) {
    return b.hopeless;
  }
  if (a.slack != b.slack) {
    return a.slack < b.slack;
  }
  return a.ref < b.ref;
}

Candidate MakeCandidate(const StepRef& ref, Job& job, Time now) {
  Candidate candidate{
      ref,          &job,       FindStep(job, ref.occurrence, ref.step),
      job.priority, job.excess, false,
      Millis(0)};
  const Millis chain = ChainFrom(job.spec, ref.step);
  Time due = job.arrived + job.objective;
  if (job.spec.recurrence.count > 0) {
    due = now + job.objective;  // Counted from the occurrence's due time.
  }
  candidate.slack = due - now - chain;
  candidate.hopeless =
      now + chain > job.arrived + kHopelessFactor * job.objective;
  return candidate;
}

/// Whether a task may be started on a target, room aside.
bool MayUse(const Round& round, const Candidate& candidate, const Job& job,
            const Queue& queue, const Task& task, const Slot& slot) {
  const Target& target = *slot.target;
  const StepSpec& spec = job.spec.steps[candidate.ref.step];
  if (!Suits(target, queue, spec) ||
      (slot.kept && candidate.priority != kUrgentPriority)) {
    return false;
  }
  const bool last_attempt = task.Failures() + 1 >= queue.max_attempts;
  const Millis waited = round.now - task.failed_at;
  if (task.failed_runs.empty() || !last_attempt || spec.service ||
      waited > kHealthyWait) {
    return true;
  }
  const bool healthy =
      task.failed_on != target.entry.id && target.health.failures_in_row == 0;
  const bool proven = round.now - target.health.last_success <= kProvenWithin;
  return healthy && (proven || waited > kProofWait);
}

/// Calls `use` for each target that the step has a right to.
template <class Use>
void ForEachAllowed(Round& round, const Queue& queue, const Step& step,
                    Use use) {
  if (!queue.advice) {
    for (Slot& slot : round.slots) {
      use(slot);
    }
    return;
  }
  for (const auto& [id, ticket] : step.advice.tickets) {
    Slot* slot = ticket.until > round.now ? FindSlot(round, id) : nullptr;
    if (slot != nullptr && slot->target->entry.life == ticket.life) {
      use(*slot);
    }
  }
}

/// Costs in a target's score, whose other parts stay below 3: far from the data
/// is never chosen while there is a near one, a failed place only before that.
constexpr double kAwayFromData = 10;
constexpr double kFailedThere = 5;

/// Lower is better.
double Score(const Target& target, const Resources& room, const StepSpec& spec,
             const Task& task, int priority) {
  const auto total = static_cast<double>(
      std::max<std::int64_t>(1, target.entry.capacity.cpu_milli));
  const double left =
      static_cast<double>(room.cpu_milli - spec.demand.cpu_milli) / total;
  double score =
      left + target.health.slowness * (priority == kUrgentPriority ? 1.0 : 0.2);
  if (!spec.data_rack.empty() &&
      std::ranges::count(target.entry.labels, spec.data_rack) == 0) {
    score += kAwayFromData;
  }
  if (task.failed_on == target.entry.id) {
    score += kFailedThere;
  }
  return score;
}

Target* BestTarget(Round& round, const Candidate& candidate, const Job& job,
                   const Queue& queue, const Step& step, const Task& task) {
  const StepSpec& spec = job.spec.steps[candidate.ref.step];
  Target* best = nullptr;
  double best_score = 0;
  ForEachAllowed(round, queue, step, [&](const Slot& slot) {
    Target& target = *slot.target;
    const Resources room = RoomOf(target);
    if (!ReservedBy(spec).FitsIn(room) ||
        !MayUse(round, candidate, job, queue, task, slot) ||
        SlotsOn(target, spec, candidate.ref) == 0) {
      return;
    }
    const double score = Score(target, room, spec, task, candidate.priority);
    if (best == nullptr || score < best_score) {
      best = &target;
      best_score = score;
    }
  });
  return best;
}

void StartTask(Round& round, const Candidate& candidate, Job& job, Step& step,
               std::uint32_t index, std::uint32_t number, Target& target) {
  const StepSpec& spec = job.spec.steps[candidate.ref.step];
  Task& task = step.tasks[index];
  const RunId id{
      {job.spec.id, candidate.ref.occurrence, candidate.ref.step, index},
      number};
  Run run;
  run.demand = ReservedBy(spec);
  run.team = job.spec.team;
  run.sent = round.now;
  run.tries = 1;
  run.in_flight = true;
  run.priority = job.priority;
  run.checkpoints = spec.checkpoints;
  run.gang = spec.gang;
  run.estimate = spec.estimate;
  HoldRoom(round.cell, target, id, run);
  task.phase = TaskPhase::kLive;
  task.target = target.entry.id;
  task.run = number;
  task.next_run = number + 1;
  ++step.live;
  const auto ticket = step.advice.tickets.find(target.entry.id);
  const std::string checkpoint = step.tasks[spec.gang ? 0 : index].checkpoint;
  round.actions.emplace_back(SendStart{
      target.entry.id, target.entry.life, id, job.spec.payload, checkpoint,
      ticket == step.advice.tickets.end() ? std::string() : ticket->second.text,
      DeadlineAt(round.cell, target, round.now)});
  LeaseSent(round.cell, target.entry.id, round.now);
  Note(round.actions, "task_start",
       {{"job", job.spec.id},
        {"task", TaskName(id.task)},
        {"run", std::to_string(number)},
        {"target", target.entry.id},
        {"team", job.spec.team},
        {"waited_ms", std::to_string((round.now - step.ready_at).count())},
        {"slack_ms", std::to_string(candidate.slack.count())}});
  if (!job.started) {
    job.started = true;
    job.phase = JobPhase::kRunning;
    --round.cell.pending[job.spec.queue];
  }
}

void StartSingles(Round& round, const Candidate& candidate, Job& job,
                  Step& step, const Queue& queue) {
  const StepSpec& spec = job.spec.steps[candidate.ref.step];
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    const Task& task = step.tasks[i];
    if (task.phase != TaskPhase::kWaiting) {
      continue;
    }
    if (!TeamAllows(round.cell, job.spec.team, ReservedBy(spec))) {
      break;
    }
    Target* target = BestTarget(round, candidate, job, queue, step, task);
    if (target == nullptr) {
      if (task.failed_runs.empty()) {
        break;  // The other untried tasks are alike.
      }
      continue;
    }
    StartTask(round, candidate, job, step, i, task.next_run, *target);
  }
}

/// Targets for all tasks of a gang, or nothing.
std::vector<Target*> ChooseForGang(Round& round, const Candidate& candidate,
                                   const Job& job, const Queue& queue,
                                   const Step& step) {
  const StepSpec& spec = job.spec.steps[candidate.ref.step];
  struct Place {
    Target* target;
    std::uint32_t slots;
  };
  std::map<std::string, std::vector<Place>> racks;
  ForEachAllowed(round, queue, step, [&](const Slot& slot) {
    if (!MayUse(round, candidate, job, queue, step.tasks[0], slot)) {
      return;
    }
    Target& target = *slot.target;
    const std::uint32_t slots = SlotsOn(target, spec, candidate.ref);
    if (slots > 0) {
      racks[spec.same_rack ? target.rack : std::string()].push_back(
          {&target, slots});
    }
  });
  for (auto& [rack, places] : racks) {
    std::ranges::sort(places, std::ranges::greater{}, &Place::slots);
    std::vector<Target*> chosen;
    for (const Place& place : places) {
      for (std::uint32_t i = 0;
           i < place.slots && chosen.size() < step.tasks.size(); ++i) {
        chosen.push_back(place.target);
      }
    }
    if (chosen.size() == step.tasks.size()) {
      return chosen;
    }
  }
  return {};
}

Resources Times(const Resources& one, std::size_t count) {
  const auto n = static_cast<std::int64_t>(count);
  return {one.slots * n, one.cpu_milli * n, one.memory_mb * n,
          one.accelerators * n};
}

void StartGang(Round& round, const Candidate& candidate, Job& job, Step& step,
               const Queue& queue) {
  const StepSpec& spec = job.spec.steps[candidate.ref.step];
  if (step.live > 0 ||
      !TeamAllows(round.cell, job.spec.team,
                  Times(ReservedBy(spec), step.tasks.size()))) {
    return;
  }
  const std::vector<Target*> chosen =
      ChooseForGang(round, candidate, job, queue, step);
  if (chosen.empty()) {
    return;
  }
  std::uint32_t number = 1;
  for (const Task& task : step.tasks) {
    number = std::max(number, task.next_run);
  }
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    StartTask(round, candidate, job, step, i, number, *chosen[i]);
  }
}

/// Keeps the targets of the first waiting gang free of lower work.
void KeepForGang(Round& round, const Step& step) {
  if (round.gang_waits) {
    return;
  }
  for (const auto& [id, ticket] : step.advice.tickets) {
    if (Slot* slot = FindSlot(round, id); slot != nullptr) {
      slot->kept = true;
      round.gang_waits = true;
    }
  }
}

void PlanStep(Round& round, const Candidate& candidate) {
  Job& job = *candidate.job;
  Step* step = candidate.step;
  const Queue* queue = QueueOf(round.cell, job.spec.queue);
  if (queue == nullptr || step == nullptr) {
    return;
  }
  const bool gang = job.spec.steps[candidate.ref.step].gang;
  // Without a ticket nothing can start.
  if (!queue->advice || !step->advice.tickets.empty()) {
    if (gang) {
      StartGang(round, candidate, job, *step, *queue);
    } else {
      StartSingles(round, candidate, job, *step, *queue);
    }
    RefreshStep(round.cell, job, candidate.ref.occurrence, candidate.ref.step);
    if (!round.cell.ready.contains(candidate.ref)) {
      return;
    }
  }
  if (queue->advice) {
    AskIfUseful(round, candidate.ref, job, *step, *queue);
  }
  if (gang && step->live == 0) {
    KeepForGang(round, *step);
    if (step->advice.asking || !step->advice.tickets.empty()) {
      const StepSpec& spec = job.spec.steps[candidate.ref.step];
      round.promised_cpu += spec.count * ReservedBy(spec).cpu_milli;
    }
  }
}

/// How much work waits, against all that the targets hold.
void CountBacklog(Cell& cell, const std::vector<Candidate>& candidates) {
  cell.backlog_cpu = 0;
  for (const Candidate& candidate : candidates) {
    const Step& step = *candidate.step;
    const StepSpec& spec = candidate.job->spec.steps[candidate.ref.step];
    const auto waiting =
        static_cast<std::int64_t>(spec.count - step.done - step.live);
    cell.backlog_cpu += waiting * ReservedBy(spec).cpu_milli;
  }
  cell.capacity_cpu = 0;
  cell.free_cpu = 0;
  for (const auto& [id, target] : cell.targets) {
    if (target.reported && target.listed && !target.entry.draining) {
      cell.capacity_cpu += target.entry.capacity.cpu_milli;
      cell.free_cpu += RoomOf(target).cpu_milli;
    }
  }
}

}  // namespace

void Plan(Cell& cell, Actions& actions, Time now) {
  cell.plan_due = false;
  if (!cell.loaded) {
    return;
  }
  std::vector<Candidate> candidates;
  for (const StepRef& ref : cell.ready) {
    Job& job = *FindJob(cell, ref.job);
    if (job.durable > 0 && (cell.recovered || !job.adopted)) {
      candidates.push_back(MakeCandidate(ref, job, now));
    }
  }
  CountBacklog(cell, candidates);
  const std::size_t planned = std::min(candidates.size(), kMostPlanned);
  std::ranges::partial_sort(
      candidates, candidates.begin() + static_cast<std::ptrdiff_t>(planned),
      Before);
  candidates.resize(planned);
  Round round = BeginRound(cell, actions, now);
  for (const Candidate& candidate : candidates) {
    PlanStep(round, candidate);
  }
}

}  // namespace buckthornmux::cell
