#include "src/cell/runs/verdicts.h"

namespace buckthornmux::cell {
namespace {

/// A target that has not answered for this time gets no more renewals, so that
/// the leases of its runs expire. Longer than the longest wait of a report
/// call.
constexpr Millis kSilenceTimeout{1500};
struct JudgeRun {
  const Options& options;
  const Target& target;
  const Run& run;
  Time now;

  RunVerdict operator()(const StartOutcome& answer) const {
    const bool taken = answer.outcome == OrderOutcome::kDone ||
                       answer.outcome == OrderOutcome::kUnknown ||
                       answer.outcome == OrderOutcome::kOld;
    // An earlier send of the start may still take effect.
    return taken || run.unsure || run.phase != RunPhase::kSent
               ? RunVerdict::kPossible
               : RunVerdict::kNotStarted;
  }

  RunVerdict operator()(const NotListed& report) const {
    const bool stopped =
        run.phase == RunPhase::kStopping && run.stop_done &&
        report.requested > run.stop_done_at + options.stop_time;
    const bool vanished =
        run.phase == RunPhase::kRunning && report.requested > run.confirmed_at;
    return report.complete && (stopped || vanished) ? RunVerdict::kNotThere
                                                    : RunVerdict::kPossible;
  }

  RunVerdict operator()(const OtherLife& report) const {
    return report.life == target.entry.life ? RunVerdict::kPossible
                                            : RunVerdict::kProcessGone;
  }

  RunVerdict operator()(const OtherTarget& answer) const {
    // The list may show an address that its target hasn't, or no longer.
    return answer.address == target.confirmed_address &&
                   answer.requested >= target.life_since
               ? RunVerdict::kProcessGone
               : RunVerdict::kPossible;
  }

  RunVerdict operator()(const Silence& silence) const {
    // A missing entry in the list doesn't count: a target that can't reach the
    // store loses its entry and runs on.
    return IsSilent(target, now) && silence.owned_at > target.lease_until
               ? RunVerdict::kLapsed
               : RunVerdict::kPossible;
  }
};

}  // namespace

RunVerdict Judge(const Options& options, const Target& target, const Run& run,
                 const RunEvidence& evidence, Time now) {
  return std::visit(JudgeRun{options, target, run, now}, evidence);
}

Time OwnedAt(const Cell& cell) {
  return std::max(cell.claimed_at, cell.owned_at);
}

bool IsSilent(const Target& target, Time now) {
  return now - target.last_answer > kSilenceTimeout;
}

bool IsEmpty(const Target& target) {
  return target.runs.empty() && target.pending_ends.empty();
}

bool IsKnownSilent(const Target& target) {
  return target.silent && target.pending_ends.empty() &&
         (target.reported || target.runs_known);
}

bool AreRunsKnown(const Target& target) {
  // Nothing starts on a target that drains.
  const bool drains =
      target.reported && target.entry.draining && target.pending_ends.empty();
  return drains || IsKnownSilent(target);
}

bool MayHaveUnknownRuns(const Cell& cell, const TargetId& id, Time until,
                        Time now) {
  const auto target = cell.targets.find(id);
  if (target == cell.targets.end()) {
    return OwnedAt(cell) < until || now < cell.targets_listed_by;
  }
  // What ran may have ended before its lease, which only the target knows.
  const bool may_report = cell.targets_listed_by > cell.claimed_at &&
                          !IsSilent(target->second, now);
  return !target->second.reported && (OwnedAt(cell) < until || may_report);
}

bool MayStartTasks(const Cell& cell, const Job& job) {
  return job.durable > 0 && (cell.recovered || !job.adopted);
}

bool MayForget(const Cell& cell, const PendingEnd& end) {
  const auto job = cell.jobs.find(end.job);
  return job == cell.jobs.end() || job->second.durable >= end.version;
}

}  // namespace buckthornmux::cell
