/// Reservations ("holds") of tasks at targets, and each team's use.
#pragma once

#include <string_view>

#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::sched {

/// @brief Reserves resources for a task. A reservation for a task that a target
///   reported as running may exceed the target's capacity.
/// @param state state of the shard
/// @param target target that runs the task
/// @param spec task
/// @param stray whether the task should not run on this target
/// @param now current time
void AddHold(ShardState& state, TargetIndex target, const TaskSpec& spec,
             bool stray, Time now);

/// @brief Releases a hold.
/// @return whether the hold existed
bool DropHold(ShardState& state, TargetIndex target, std::string_view task_id,
              std::uint32_t attempt);

/// @brief Looks up a hold.
/// @return the hold, or null if there is none
[[nodiscard]] Hold* FindHold(TargetRecord& target, std::string_view task_id,
                             std::uint32_t attempt);

/// @brief Recomputes whether a target is usable, and its free resources.
void RefreshTarget(ShardState& state, TargetIndex index);

/// @brief Slots that a team may use on this shard now. Targets that have not
///   reported since the takeover count as full of every team's work.
[[nodiscard]] std::int64_t UsableGrant(const ShardState& state,
                                       const TeamRecord& team);

/// @brief Asserts the invariants of a start: the target does not exceed its
///   capacity, and the team does not exceed its grant.
void CheckRoom(const ShardState& state, TargetIndex target,
               const TeamName& team);

}  // namespace buckthornmux::sched
