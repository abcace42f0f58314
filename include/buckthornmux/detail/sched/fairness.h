/// Order of lanes: urgent work first, then weighted dominant resource fairness.
/// Teams may use idle shares of others, which are reclaimed by preemption.
#pragma once

#include <optional>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Lane whose head is tried next; nothing if every lane has already
///   failed in this step.
[[nodiscard]] std::optional<LaneId> NextLane(const Step& step);

/// @brief A team's dominant part of the shard, divided by its share. A value
///   of 1 means that the team uses exactly its share.
[[nodiscard]] double FairUse(const ShardState& state, const TeamRecord& team);

/// @brief Reclaims capacity for teams that wait below their share, by
///   preempting work of teams above theirs.
void ReclaimShares(Step& step);

}  // namespace buckthornmux::sched
