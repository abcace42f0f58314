/// What one link knows of its target, and the events that follow from each
/// renewal. Pure: no I/O and no clock.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/sched/shard.h"
#include "buckthornmux/detail/target/target_codec.h"

namespace buckthornmux::target {

/// Knowledge of one target under one epoch of its shard.
struct LinkState {
  TargetId target;
  Time last_answer;         ///< Or the time at which the link was made.
  bool reachable = true;    ///< As last told.
  bool leaving = false;     ///< As last told.
  bool reported = false;    ///< A full report has been told.
  std::string instance;     ///< Of the target, as of the last answer.
  std::uint64_t after = 0;  ///< For the next renewal; 0: ask for all.
  Resources used;           ///< As last told.
  std::map<std::string, sched::ReportedTask> running;
  /// A start whose answer was lost took effect by then or never: a report asked
  /// for later tells for sure.
  std::optional<Time> doubt_until;
};

/// @brief Takes the answer to a renewal.
/// @param sent_at when the renewal was sent
/// @return TaskEnded for the ends among tasks seen running, or new since the
///   last renewal; TargetHealth on recovery or leaving; then a TargetReport
///   where the running tasks or the use changed, or one is due
[[nodiscard]] std::vector<sched::Event> OnRenewed(LinkState& state,
                                                  const RenewAnswer& answer,
                                                  Time sent_at, Time now);

/// @brief Takes the failure of a renewal.
/// @return TargetHealth once the target has been silent for too long; the next
///   renewal then asks for all
[[nodiscard]] std::vector<sched::Event> OnRenewFailed(LinkState& state,
                                                      Millis unreachable_after,
                                                      Time now);

/// @brief Takes a start whose answer was lost.
void OnStartInDoubt(LinkState& state, Time start_by);

}  // namespace buckthornmux::target
