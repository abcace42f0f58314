/// Jobs whose tasks start all at once or not at all.
#pragma once

#include <vector>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Targets for every member of a queued gang.
/// @return as many as members, or none where not all have room now
/// Complexity: one scan of the targets and a sort of those with room.
[[nodiscard]] std::vector<TargetIndex> PlanGang(const Step& step,
                                                const UnitPlace& place);

/// @brief Notes the members of a gang that starts.
void NoteGang(ShardState& state, const Unit& unit);

/// @brief A member could not start: the others are stopped, since a part of a
///   gang is of no use.
void BreakGang(Step& step, const TaskSpec& spec);

/// @brief Forgets a member that ended.
void ForgetMember(ShardState& state, const TaskSpec& spec);

/// @brief Chooses the one gang that targets are drained for, so that smaller
///   work cannot starve it and no two gangs hold parts of what both need.
void ManageDrain(Step& step);

/// @brief Gives the drained targets back to all work.
void EndDrain(ShardState& state);

/// @brief Whether a target that is drained may still take this task: urgent
///   work, and work that ends before the gang is expected to start.
[[nodiscard]] bool DrainAllows(const Step& step, TargetIndex index,
                               const TaskRecord& task);

/// @brief Whether a lane stands back, because a gang of its team waits for the
///   team's grant.
[[nodiscard]] bool DrainTakesGrant(const ShardState& state, const Lane& lane);

}  // namespace buckthornmux::sched
