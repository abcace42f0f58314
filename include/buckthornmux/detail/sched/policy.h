/// Settings of a shard's scheduling decisions.
#pragma once

#include <cstddef>
#include <cstdint>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::sched {

/// Scheduling order and choice of targets.
enum class PolicyChoice : std::uint8_t {
  kFair,            ///< Urgent first, weighted fair teams, best fit.
  kFirstFit,        ///< Baseline: arrival order, first target that fits.
  kStrictPriority,  ///< Baseline: by class, then arrival; first fit.
};

/// Settings of one shard; the defaults are meant for production.
struct Policy {
  PolicyChoice choice = PolicyChoice::kFair;

  /// Time after sending a start within which the target may begin the task.
  Millis start_window{2000};
  /// Maximum age of a report on arrival; links discard older ones.
  Millis report_delay{5000};
  /// After being unreachable for this long, a target has ended its tasks
  /// because their leases have expired. This requires that links extend leases
  /// only on answered renewals. 0 disables the time-out.
  Millis lost_target_timeout{0};
  /// Urgent work without a deadline is treated as due this long after it is
  /// queued.
  Millis max_urgent_wait{2000};
  /// Work without a deadline, or with a later one, is ordered as if it had to
  /// start within this time. Affects only the order; no work is refused by it.
  Millis patient_ordering_delay{12 * 3'600'000};
  std::size_t max_queued = 50'000;  ///< Waiting tasks; beyond this, kQueueFull.
  /// Cached answers of ended tasks; the same limit applies to cancelled ids.
  std::size_t max_remembered = 65'536;
  /// Total size of cached results.
  std::size_t max_remembered_bytes = 64 << 20;
  /// Maximum targets tried for one attempt.
  std::uint32_t max_start_tries = 3;

  /// Largest fraction of the shard reserved for urgent work.
  double max_urgent_reserve = 0.25;
  /// Time that a team below its share waits before work of teams above their
  /// share is preempted.
  Millis reclaim_delay{3000};
  /// Time that a gang waits before targets are drained for it.
  Millis gang_drain_delay{5000};
  /// While targets drain for a gang, short patient work may start on them for
  /// this long, and urgent work always.
  Millis gang_backfill_duration{60'000};

  /// Slots are requested from the ledger in multiples of this number, or of a
  /// smaller one if the team's limit is small.
  std::int64_t grant_chunk = 8;
  /// Slots unused for this long are returned to the ledger.
  Millis grant_idle_timeout{30'000};
  /// An unanswered request to the ledger is repeated after this time.
  Millis grant_retry_interval{5'000};

  /// Distinct jobs that must fail on a target before it is quarantined.
  std::uint32_t quarantine_min_jobs = 3;
  /// Weighted failures since the last success that are needed for quarantine.
  double quarantine_min_score = 2.0;
  /// Largest fraction of targets in quarantine; one target is always allowed.
  double max_quarantined_part = 0.25;
  /// Delay before the first probe of a quarantined target; doubles with each
  /// failed probe.
  Millis first_probe_delay{10'000};
  Millis max_probe_delay{300'000};  ///< Maximum delay between probes.
  /// A job that failed on this many targets is refused.
  std::uint32_t job_refusal_targets = 3;
};

}  // namespace buckthornmux::sched
