#include "src/cell/placement/health.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace buckthornmux::cell {
namespace {

/// Consecutive failures after which a target is on probation.
constexpr int kFailuresToProbe = 2;
/// A pause is doubled for each failed trial after the first, so many times at
/// most.
constexpr int kMaxPauseDoublings = 2;
/// A trial that has run for this time doesn't keep another task from starting.
constexpr Millis kTrialTime{3000};
/// Probation ends if no task has failed for this time after the last pause.
constexpr Millis kProbationTime{10'000};
/// Progress of a service that is at work.
constexpr std::int32_t kAtWorkPercent = 100;

const Run* FindRun(const Target& target, const RunId& id) {
  const auto found = target.runs.find(id);
  return found == target.runs.end() ? nullptr : &found->second;
}

/// Whether a run was started on probation and has not proved anything yet.
bool IsOpenTrial(const Run& run, Time now) {
  const Time began = run.phase == RunPhase::kSent ? run.sent : run.confirmed_at;
  return run.trial && run.phase != RunPhase::kStopping &&
         now - began < kTrialTime;
}

void Trust(Actions& actions, Target& target, int failures,
           std::string_view why) {
  if (IsOnProbation(target)) {
    Note(actions, "target_trusted",
         {{"target", target.entry.id},
          {"failed_trials", std::to_string(target.health.failed_trials)},
          {"reason", std::string(why)}});
  }
  target.health.consecutive_failures = failures;
  target.health.failed_trials = 0;
  target.health.paused_until = Time();
}

/// Takes back a failure of a task that has failed elsewhere too.
void Excuse(Actions& actions, Target& target) {
  TargetHealth& health = target.health;
  if (health.consecutive_failures == kFailuresToProbe) {
    Trust(actions, target, kFailuresToProbe - 1, "task failed elsewhere too");
  } else if (health.consecutive_failures > 0) {
    --health.consecutive_failures;
  }
}

}  // namespace

bool IsOnProbation(const Target& target) {
  return target.health.consecutive_failures >= kFailuresToProbe;
}

bool MayTry(const Target& target, Time now) {
  return now >= target.health.paused_until &&
         (!IsOnProbation(target) ||
          std::ranges::none_of(target.runs, [&](const auto& entry) {
            return IsOpenTrial(entry.second, now);
          }));
}

bool IsAtWork(const Run& run) {
  return run.service && run.percent >= kAtWorkPercent;
}

void HandleSuccess(Actions& actions, Target& target, const RunId& id,
                   Time now) {
  const Run* run = FindRun(target, id);
  target.health.last_success = now;
  // What began before the last failure tells nothing about the time after it.
  if (IsOnProbation(target) &&
      (run == nullptr || run->sent <= target.health.failed_at)) {
    return;
  }
  Trust(actions, target, 0, "success");
}

void HandleFailure(Cell& cell, Actions& actions, Target& target,
                   const RunId& id, const Task* task, Time now) {
  const Run* run = FindRun(target, id);
  const bool trial = run != nullptr && run->trial;
  if (task != nullptr && !task->failed_runs.empty()) {
    const bool elsewhere = task->failed_on != target.entry.id;
    if (Target* other = FindTarget(cell, task->failed_on);
        other != nullptr && elsewhere && task->failed_runs.size() == 1) {
      Excuse(actions, *other);
    }
    if (elsewhere || !trial) {
      return;
    }
  }
  if (run != nullptr && IsAtWork(*run)) {
    return;  // A service may fail at any time.
  }
  TargetHealth& health = target.health;
  ++health.consecutive_failures;
  health.failed_at = now;
  if (!IsOnProbation(target)) {
    return;
  }
  const Millis pause =
      cell.options.suspension *
      (1 << std::min(health.failed_trials, kMaxPauseDoublings));
  health.failed_trials += trial ? 1 : 0;
  health.paused_until = now + pause;
  Note(actions, "target_probation",
       {{"target", target.entry.id},
        {"failures", std::to_string(health.consecutive_failures)},
        {"failed_trials", std::to_string(health.failed_trials)},
        {"pause_ms", std::to_string(pause.count())}});
}

void EndProbation(Actions& actions, Target& target, Time now) {
  const TargetHealth& health = target.health;
  if (IsOnProbation(target) &&
      now - std::max(health.failed_at, health.paused_until) >= kProbationTime) {
    Trust(actions, target, kFailuresToProbe - 1, "time without failures");
  }
}

}  // namespace buckthornmux::cell
