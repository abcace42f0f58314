/// State of the link to one target, and the events that result from each
/// renewal. Pure: no I/O and no clock.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/sched/shard.h"
#include "buckthornmux/detail/target/target_codec.h"

namespace buckthornmux::target {

/// Known state of one target under one epoch of its shard.
struct LinkState {
  TargetId target;
  Time last_answer;         ///< Initially the creation time of the link.
  bool reachable = true;    ///< As last reported in an event.
  bool leaving = false;     ///< As last reported in an event.
  bool reported = false;    ///< A TargetReport has been sent.
  std::string instance;     ///< Target's instance in the last answer.
  std::uint64_t after = 0;  ///< Sent with the next renewal; 0: ask for all.
  Resources used;           ///< As last reported in an event.
  std::map<std::string, sched::ReportedTask> running;
  /// Time by which a start whose answer was lost has taken effect or never
  /// will. A report requested later is conclusive.
  std::optional<Time> uncertain_until;
};

/// @brief Handles the answer to a renewal.
/// @param sent_at when the renewal was sent
/// @return TargetHealth if the target became reachable or its leaving state
///   changed; TaskEnded for each task that was running or whose end is new
///   since the last renewal; then a TargetReport if the tasks or the used
///   resources changed, or if one is due
[[nodiscard]] std::vector<sched::Event> OnRenewed(LinkState& state,
                                                  const RenewAnswer& answer,
                                                  Time sent_at, Time now);

/// @brief Handles the failure of a renewal.
/// @return TargetHealth once the target has not answered for
///   `unreachable_after`; the next renewal then asks for all tasks
[[nodiscard]] std::vector<sched::Event> OnRenewFailed(LinkState& state,
                                                      Millis unreachable_after,
                                                      Time now);

/// @brief Handles a start whose answer was lost.
/// @param start_by latest time at which the target accepts the start
void OnStartUncertain(LinkState& state, Time start_by);

}  // namespace buckthornmux::target
