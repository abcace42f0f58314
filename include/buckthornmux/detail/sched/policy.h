/// Settings of a shard's decisions.
#pragma once

#include <cstddef>
#include <cstdint>

#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::sched {

/// Which order and which targets are chosen.
enum class PolicyChoice : std::uint8_t {
  kFair,            ///< Urgent first, weighted fair teams, best fit.
  kFirstFit,        ///< Baseline: order of arrival, first target that fits.
  kStrictPriority,  ///< Baseline: by class, then arrival; first fit.
};

/// Settings of one shard; the defaults are meant for production.
struct Policy {
  PolicyChoice choice = PolicyChoice::kFair;

  Millis start_window{2000};  ///< A target may begin a start for this long.
  Millis report_delay{5000};  ///< A report is no older than this when it
                              ///< arrives; links give up on older ones.
  /// A target that was unreachable this long has ended its tasks by their
  /// leases. Only sound where links extend leases by answered renewals alone;
  /// 0: never assumed.
  Millis lost_after{0};
  Millis urgent_wait{2000};              ///< Of urgent work without a deadline.
  Millis patient_order{12 * 3'600'000};  ///< Orders patient work that has no
                                         ///< deadline; never refuses it.
  std::size_t max_queued = 50'000;       ///< Tasks waiting; then kQueueFull.
  std::size_t max_remembered = 65'536;   ///< Ended tasks, and cancelled ones.
  std::size_t max_remembered_bytes = 64 << 20;  ///< Of their results.
  std::uint32_t max_start_tries = 3;  ///< Targets tried for one attempt.

  double reserve_cap = 0.25;   ///< Largest part of the shard that is kept free
                               ///< for urgent work.
  Millis reclaim_after{3000};  ///< Wait of a team below its share before work
                               ///< of teams above theirs is preempted.
  Millis gang_drain_after{5000};  ///< Wait before targets are drained for it.
  Millis gang_backfill_for{60'000};  ///< Then nothing more starts on them.

  std::int64_t grant_chunk = 8;   ///< Slots; asks are multiples of it, or of
                                  ///< less where the team's limit is small.
  Millis grant_idle{30'000};      ///< Unused for this long: handed back.
  Millis grant_ask_again{5'000};  ///< Ask again where nothing was heard.

  std::uint32_t aside_jobs = 3;   ///< Distinct jobs failing on a target.
  double aside_score = 2.0;       ///< Weighted failures since a success.
  double aside_cap = 0.25;        ///< Largest part of targets put aside.
  Millis probe_after{10'000};     ///< Doubles with each failed probe.
  Millis probe_cap{300'000};      ///< Longest time between probes.
  std::uint32_t job_targets = 3;  ///< A job failing on so many is refused.
};

}  // namespace buckthornmux::sched
