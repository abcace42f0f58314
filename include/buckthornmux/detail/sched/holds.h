/// Room that tasks hold at targets, and what each team uses by it.
#pragma once

#include <string_view>

#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::sched {

/// @brief Reserves room; a fact from a report may exceed the capacity.
/// @param state of the shard
/// @param target where
/// @param spec task
/// @param stray whether the task should not be there
/// @param now time
void AddHold(ShardState& state, TargetIndex target, const TaskSpec& spec,
             bool stray, Time now);

/// @brief Gives room back.
/// @return whether there was such a hold
bool DropHold(ShardState& state, TargetIndex target, std::string_view task_id,
              std::uint32_t attempt);

/// @brief Looks up a hold; null where there is none.
[[nodiscard]] Hold* FindHold(TargetRecord& target, std::string_view task_id,
                             std::uint32_t attempt);

/// @brief Recomputes whether a target is usable and its room.
void RefreshTarget(ShardState& state, TargetIndex index);

/// @brief Slots that a team may use on this shard now. Targets that have not
///   reported since the takeover count as full of every team's work.
[[nodiscard]] std::int64_t UsableGrant(const ShardState& state,
                                       const TeamRecord& team);

/// @brief Asserts what must hold when a start takes room: no target beyond its
///   capacity, no team beyond its grant.
void CheckRoom(const ShardState& state, TargetIndex target,
               const TeamName& team);

}  // namespace buckthornmux::sched
