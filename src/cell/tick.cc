#include <algorithm>

#include "src/cell/admission/queues.h"
#include "src/cell/admission/shares.h"
#include "src/cell/internal.h"
#include "src/cell/placement/health.h"
#include "src/cell/runs/verdicts.h"

namespace buckthornmux::cell {
namespace {

void ExpireAdvice(Cell& cell, Actions& actions, Time now) {
  std::vector<std::uint64_t> overdue;
  for (const auto& [ask, open] : cell.open_advice) {
    if (now >= open.give_up) {
      overdue.push_back(ask);
    }
  }
  for (const std::uint64_t ask : overdue) {
    OnAdviceAnswered(cell, actions, ask, false, {}, now);
  }
}

/// Whether leases have ended since the list of targets was last stored. Storing
/// it shows that this host still owns the cell.
bool MustConfirmLapses(const Cell& cell, Time now) {
  const auto unconfirmed = [&](Time end) {
    return end <= now && OwnedAt(cell) <= end && cell.expected_stored <= end;
  };
  return (!cell.recovered &&
          std::ranges::any_of(cell.expected,
                              [&](const auto& entry) {
                                return unconfirmed(entry.second.until);
                              })) ||
         std::ranges::any_of(cell.targets, [&](const auto& entry) {
           const Target& target = entry.second;
           return !target.runs.empty() && IsSilent(target, now) &&
                  unconfirmed(target.lease_until);
         });
}

/// Periodically stores lease ends of silent targets, so that a next owner waits
/// for unreported runs no longer than this one would.
void ScheduleLeaseStore(Cell& cell, Time now) {
  constexpr Millis kLeaseStoreInterval{500};
  const bool lapsing =
      !cell.recovered ||
      std::ranges::any_of(cell.targets, [&](const auto& entry) {
        return entry.second.silent && entry.second.lease_until > now;
      });
  if ((lapsing && now - cell.expected_stored >= kLeaseStoreInterval) ||
      MustConfirmLapses(cell, now)) {
    cell.targets_dirty = true;
  }
}

}  // namespace

void StartService(Cell& cell, Actions& actions, Time now) {
  cell.loaded = true;
  for (auto& [id, job] : cell.jobs) {
    for (const auto& [number, occurrence] : job.occurrences) {
      RefreshReady(cell, job, number, now);
    }
    BeginDue(cell, job, now);
  }
  NoteUnknownQueues(cell, actions);
  RestoreShares(cell, now);
  InheritRuns(cell, actions, now);
  CheckRecovery(cell, actions, now);
}

void Tick(Cell& cell, Actions& actions, Time now) {
  for (auto& [id, target] : cell.targets) {
    StopRunsThatOutlast(cell, actions, target, now);
    SettleHeldStarts(cell, actions, target, now);
    ResendStops(cell, actions, target, now);
    ExpireTarget(cell, actions, target, now);
    EndProbation(actions, target, now);
  }
  std::erase_if(cell.targets,
                [](const auto& entry) { return entry.second.removed; });
  if (!cell.loaded) {
    return;
  }
  for (auto& [id, job] : cell.jobs) {
    if (!job.Ended() && job.durable > 0 && job.spec.recurrence.count > 0) {
      BeginDue(cell, job, now);
    }
  }
  RefuseOverdue(cell, actions, now);
  ExpireAdvice(cell, actions, now);
  ForgetOld(cell, now);
  SettleKept(cell, actions, now);
  CheckRecovery(cell, actions, now);
  if (cell.ended_runs_dirty && !cell.writes.since) {
    cell.writes.since = now;
  }
  ScheduleLeaseStore(cell, now);
  NoteLargestCapacities(cell, now);
}

}  // namespace buckthornmux::cell
