/// Gang scheduling: jobs whose tasks start all together or not at all.
#pragma once

#include <vector>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Chooses a target for each member of a queued gang.
/// @return one target per member; empty if not all members fit now
/// Complexity: one scan of the targets and a sort of those with free capacity.
[[nodiscard]] std::vector<TargetIndex> PlanGang(const Step& step,
                                                const UnitPlace& place);

/// @brief Records the members of a gang that starts.
void RecordGang(ShardState& state, const Unit& unit);

/// @brief Stops the other members of a gang after one could not start, since
///   an incomplete gang is of no use.
void StopGangMembers(Step& step, const TaskSpec& spec);

/// @brief Removes a member that ended from its gang's record.
void RemoveGangMember(ShardState& state, const TaskSpec& spec);

/// @brief Chooses the one gang for which targets are drained, so that smaller
///   work cannot starve it. Draining for one gang at a time prevents two gangs
///   from each holding a part of the targets that both need.
void UpdateGangDrain(Step& step);

/// @brief Makes the drained targets available to all work again.
void EndDrain(ShardState& state);

/// @brief Whether a draining target may still take this task. True for urgent
///   work and for work that ends before the gang is expected to start.
[[nodiscard]] bool GangDrainAllows(const Step& step, TargetIndex index,
                                   const TaskRecord& task);

/// @brief Whether a lane must not start work because a gang of the same team
///   waits for the team's grant.
[[nodiscard]] bool GangDrainReservesGrant(const ShardState& state,
                                          const Lane& lane);

}  // namespace buckthornmux::sched
