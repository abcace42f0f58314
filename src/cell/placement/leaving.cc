#include "src/cell/internal.h"

namespace buckthornmux::cell {
namespace {

/// Time for the order of a stop and for the report of its end, on top of the
/// time that a stop takes.
constexpr Millis kLeaveMargin{300};

/// Estimates when a run ends, from its progress or else from its declared run
/// time; never for tasks of a service.
Time ExpectedEnd(const Run& run, bool service, Time now) {
  if (service) {
    return Time::max();
  }
  if (const auto run_time = EstimateRunTime(run, now)) {
    constexpr int kAllPercent = 100;
    return now + *run_time * (kAllPercent - run.percent) / kAllPercent;
  }
  const Time began = run.phase == RunPhase::kSent ? now : run.confirmed_at;
  return std::max(now, began + run.estimate);
}

bool IsService(const Cell& cell, const RunId& id) {
  const Job* job = FindJob(cell, id.task.job);
  return job != nullptr && id.task.step < job->spec.steps.size() &&
         job->spec.steps[id.task.step].service;
}

}  // namespace

bool IsListRecent(const Cell& cell, Time now) {
  return cell.targets_as_of &&
         now - *cell.targets_as_of <= cell.options.max_list_age;
}

Time ListUsableUntil(const Cell& cell) {
  if (!cell.targets_as_of) {
    return Time::min();
  }
  return cell.options.max_list_age == Millis::max()
             ? Time::max()
             : *cell.targets_as_of + cell.options.max_list_age;
}

void StopRunsThatOutlast(Cell& cell, Actions& actions, Target& target,
                         Time now) {
  if (!target.leaves_at || target.silent) {
    return;
  }
  const Time last_stop =
      *target.leaves_at - cell.options.stop_time - kLeaveMargin;
  if (now < last_stop || now >= *target.leaves_at) {
    return;
  }
  std::vector<RunId> lost;
  for (const auto& [id, run] : target.runs) {
    if (run.phase != RunPhase::kStopping &&
        ExpectedEnd(run, IsService(cell, id), now) > *target.leaves_at) {
      lost.push_back(id);
    }
  }
  for (const RunId& id : lost) {
    StopRun(cell, actions, target, id, "target leaves", now);
  }
}

}  // namespace buckthornmux::cell
