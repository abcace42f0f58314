#include "buckthornmux/detail/sched/health.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/sched/remembered.h"

namespace buckthornmux::sched {
namespace {

/// Weight of the newest run in the failure rate of a kind of work.
constexpr double kFailureSmoothingFactor = 0.1;
constexpr std::size_t kMaxTrackedJobs = 4096;
/// Time after the last failure for which a target stays suspect.
constexpr Millis kSuspectTimeout{10'000};

RunEstimate& EstimateOf(ShardState& state, const TaskSpec& spec) {
  return state.estimates[spec.team + "/" + spec.kind];
}

std::size_t QuarantinedCount(const ShardState& state) {
  return static_cast<std::size_t>(std::ranges::count_if(
      state.targets,
      [](const TargetRecord& target) { return target.failures.aside; }));
}

void EraseTargetFromJobs(ShardState& state, TargetIndex target) {
  for (const std::string& job : state.targets[target].failures.jobs) {
    auto* const failed_on = FindBounded(state.job_failures, job);
    if (failed_on != nullptr) {
      failed_on->erase(target);
    }
  }
}

void QuarantineTarget(Step& step, TargetIndex index) {
  const Policy& policy = step.state.policy;
  TargetFailures& failures = step.state.targets[index].failures;
  const bool again = failures.probe_delay > Millis{0};
  failures.probe_delay =
      again ? std::min(failures.probe_delay * 2, policy.max_probe_delay)
            : policy.first_probe_delay;
  failures.probe_at = step.now + failures.probe_delay;
  failures.aside = true;
  EraseTargetFromJobs(step.state, index);
}

void QuarantineIfFailing(Step& step, TargetIndex index) {
  const Policy& policy = step.state.policy;
  TargetFailures& failures = step.state.targets[index].failures;
  if (failures.aside) {
    QuarantineTarget(step, index);  // The probe failed; the delay doubles.
    return;
  }
  if (failures.jobs.size() < policy.quarantine_min_jobs ||
      failures.score < policy.quarantine_min_score) {
    return;
  }
  const double most = policy.max_quarantined_part *
                      static_cast<double>(step.state.targets.size());
  const auto aside = static_cast<double>(QuarantinedCount(step.state));
  if (aside < std::max(most, 1.0)) {
    QuarantineTarget(step, index);
  }
}

bool RefuseFailingJob(Step& step, const TaskSpec& spec) {
  const std::string job = JobKey(spec);
  const auto* const failed_on = FindBounded(step.state.job_failures, job);
  if (failed_on == nullptr ||
      failed_on->size() < step.state.policy.job_refusal_targets) {
    return false;
  }
  for (const TargetIndex target : *failed_on) {
    // The job itself is faulty, so its failures don't count against targets.
    TargetFailures& failures = step.state.targets[target].failures;
    if (!failures.aside && failures.jobs.erase(job) > 0) {
      failures.score = std::max(failures.score - 1, 0.0);
    }
    if (failures.jobs.empty()) {
      failures.score = 0;
    }
  }
  InsertBounded(step.state.refused_jobs, job, step.now, kMaxTrackedJobs);
  return true;
}

}  // namespace

void RecordSuccess(Step& step, TargetIndex target, const TaskSpec& spec) {
  RunEstimate& estimate = EstimateOf(step.state, spec);
  estimate.failed -= kFailureSmoothingFactor * estimate.failed;
  TargetFailures& failures = step.state.targets[target].failures;
  if (!failures.jobs.empty() || failures.aside) {
    failures = TargetFailures{};
    step.state.dirty.push_back(target);
  }
}

bool RecordFailure(Step& step, TargetIndex target, const TaskSpec& spec) {
  RunEstimate& estimate = EstimateOf(step.state, spec);
  TargetFailures& failures = step.state.targets[target].failures;
  const std::string job = JobKey(spec);
  const bool suspect = !failures.jobs.empty();
  failures.last_at = step.now;
  // A failure on a suspect target may be the target's fault, so it does not
  // raise the failure rate of the kind of work.
  if (!suspect) {
    estimate.failed += kFailureSmoothingFactor * (1 - estimate.failed);
  }
  if (failures.jobs.insert(job).second) {
    failures.score += 1 - estimate.failed;
  }
  QuarantineIfFailing(step, target);
  if (!failures.aside) {
    std::set<TargetIndex> failed_on;
    if (const auto* known = FindBounded(step.state.job_failures, job)) {
      failed_on = *known;
    }
    failed_on.insert(target);
    InsertBounded(step.state.job_failures, job, std::move(failed_on),
                  kMaxTrackedJobs);
  }
  return RefuseFailingJob(step, spec);
}

void RecordProbe(TargetRecord& target, Time now) {
  if (target.failures.aside) {
    target.failures.probe_at = now + target.failures.probe_delay;
  }
}

void RecordRefusedStart(Step& step, TargetIndex target, const TaskSpec& spec) {
  TargetFailures& failures = step.state.targets[target].failures;
  failures.last_at = step.now;
  if (failures.jobs.insert(JobKey(spec)).second) {
    failures.score += 1;
  }
  QuarantineIfFailing(step, target);
}

bool HealthAllows(const TargetRecord& target, const TaskSpec& spec, Time now) {
  const TargetFailures& failures = target.failures;
  if (failures.jobs.empty() && !failures.aside) {
    return true;
  }
  if (!failures.aside) {
    // Long-running work such as a service must not keep a target suspect.
    return target.holds.empty() || now >= failures.last_at + kSuspectTimeout;
  }
  const Time due = spec.idempotent ? failures.probe_at
                                   : failures.probe_at + failures.probe_delay;
  return now >= due;
}

void UnblockProbeTargets(Step& step) {
  for (TargetIndex index = 0; index < step.state.targets.size(); ++index) {
    const TargetRecord& target = step.state.targets[index];
    const TargetFailures& failures = target.failures;
    const bool probe = failures.aside && step.now >= failures.probe_at;
    const bool suspect_expired = !failures.aside && !failures.jobs.empty() &&
                                 step.now >= failures.last_at + kSuspectTimeout;
    if (target.usable && (probe || suspect_expired)) {
      step.state.dirty.push_back(index);
    }
  }
}

bool JobRefused(ShardState& state, const TaskSpec& spec) {
  return FindBounded(state.refused_jobs, JobKey(spec)) != nullptr;
}

}  // namespace buckthornmux::sched
