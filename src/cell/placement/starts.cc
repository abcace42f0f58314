// Placement restrictions for retried tasks, and the start of tasks.
#include "src/cell/placement/health.h"
#include "src/cell/placement/interference.h"
#include "src/cell/placement/isolation.h"

namespace buckthornmux::cell {
namespace {

/// Maximum age of a success that qualifies a target for a task's last attempt.
constexpr Millis kMaxProvenAge{10'000};
/// Maximum time that a last attempt waits for a target with a recent success. A
/// mostly idle cell may have no such target.
constexpr Millis kMaxProvenTargetDelay{1500};
/// Maximum time that a last attempt waits for a target without recent failures;
/// after that it may use any target.
constexpr Millis kMaxHealthyTargetDelay{4000};

}  // namespace

bool MayUse(const Round& round, const Candidate& candidate, const Queue& queue,
            const Task* task, const Slot& slot) {
  if (slot.trial_begun) {
    return false;
  }
  if (task == nullptr) {
    return true;
  }
  const Target& target = *slot.target;
  const StepSpec& spec = candidate.Spec();
  const bool last_attempt = task->Failures() + 1 >= queue.max_attempts;
  const Millis waited = round.now - task->failed_at;
  if (task->failed_runs.empty() || !last_attempt || spec.service ||
      waited > kMaxHealthyTargetDelay) {
    return true;
  }
  const bool healthy = task->failed_on != target.entry.id &&
                       target.health.consecutive_failures == 0;
  const bool proven = round.now - target.health.last_success <= kMaxProvenAge;
  return healthy && (proven || waited > kMaxProvenTargetDelay);
}

void StartTask(Round& round, const Candidate& candidate, std::uint32_t index,
               std::uint32_t number, Slot& slot) {
  Target& target = *slot.target;
  Job& job = *candidate.job;
  Step& step = *candidate.step;
  const StepSpec& spec = candidate.Spec();
  Task& task = step.tasks.Get(index);
  const RunId id{
      {job.spec.id, candidate.ref.occurrence, candidate.ref.step, index},
      number};
  Run run;
  run.demand = ReservedBy(spec);
  run.charged = spec.demand;
  run.team = job.spec.team;
  run.sent = round.now;
  run.tries = 1;
  run.in_flight = true;
  run.priority = job.priority;
  run.checkpoints = spec.checkpoints;
  run.gang = spec.gang;
  run.service = spec.service;
  run.trial = IsOnProbation(target);
  run.estimate = spec.estimate;
  run.kind = KindOf(round.cell, candidate, round.now);
  run.probation = spec.gang ? candidate.suspect : IsSuspect(task);
  if (IsRepeatedSuspect(task)) {
    run.apart_for = ApartFor(round.cell.options, task);
    slot.suspects.push_back(&task);
  }
  AddRun(round.cell, target, id, run);
  round.cell.first_start = round.cell.first_start.value_or(round.now);
  round.starts_left -= round.starts_left > 0 ? 1 : 0;
  round.beyond_headroom -= HeadroomTakenBy(round, candidate, slot);
  slot.room -= run.demand;
  if (run.service) {
    slot.services += run.demand;
  }
  slot.trial_begun = run.trial;
  slot.kinds |= SetOf(run.kind);
  slot.fresh = true;
  slot.empty = false;
  if (run.probation) {
    slot.probation = &job.spec.id;
    round.on_probation.insert(job.spec.id);
  }
  task.phase = TaskPhase::kLive;
  task.target = target.entry.id;
  task.run = number;
  task.next_run = number + 1;
  ++step.live;
  job.late_starts += candidate.late || candidate.hopeless ? 1U : 0U;
  const auto ticket = step.advice.tickets.find(target.entry.id);
  const std::string checkpoint = step.tasks.CheckpointOf(spec.gang ? 0 : index);
  round.actions.emplace_back(SendStart{
      target.entry.id, target.entry.life, id, job.spec.payload, checkpoint,
      ticket == step.advice.tickets.end() ? std::string() : ticket->second.text,
      DeadlineAt(round.cell, target, round.now), target.life_confirmed,
      ListUsableUntil(round.cell)});
  OnLeaseSent(round.cell, target.entry.id, round.now);
  Note(round.actions, "task_start",
       {{"job", job.spec.id},
        {"task", TaskName(id.task)},
        {"run", std::to_string(number)},
        {"target", target.entry.id},
        {"life", std::to_string(target.entry.life)},
        {"team", job.spec.team},
        {"waited_ms", std::to_string((round.now - step.ready_at).count())},
        {"slack_ms", std::to_string(candidate.slack.count())},
        {"list_age_ms",
         std::to_string(ListAge(round.cell, round.now).count())}});
  EndHold(round, id.task,
          run.probation && !spec.gang ? task.hold : step.crash_hold);
}

}  // namespace buckthornmux::cell
