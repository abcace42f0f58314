/// Order of lanes: urgent first, then weighted fair shares of the dominant
/// resource; idle shares are lent and called back.
#pragma once

#include <optional>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Lane whose head is tried next; lanes that failed in this step and
///   those that nothing changed for are left out.
[[nodiscard]] std::optional<LaneId> NextLane(const Step& step);

/// @brief A team's dominant part of the shard, divided by its share. At 1 it
///   has just what its share gives it.
[[nodiscard]] double FairUse(const ShardState& state, const TeamRecord& team);

/// @brief Calls lent room back for teams that wait below their share, by
///   preemption of teams above theirs.
void ReclaimShares(Step& step);

}  // namespace buckthornmux::sched
