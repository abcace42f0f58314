/// The queue of a shard: lanes of alike units, ordered by least laxity.
#pragma once

#include <span>
#include <vector>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Puts tasks that start together into the queue.
/// @param step the decision
/// @param tasks records that stand in ShardState::tasks, of one job
/// @param at_head whether they go before all others of their lane
void PushUnit(Step& step, std::span<TaskRecord* const> tasks, bool at_head);

/// @brief Takes a unit out; its tasks' records stay.
/// @return the unit
Unit RemoveUnit(ShardState& state, const UnitPlace& place);

/// @brief Unit at a place; null where there is none.
[[nodiscard]] Unit* FindUnit(ShardState& state, const UnitPlace& place);

/// @brief Lane by its number; null where it is empty by now.
[[nodiscard]] const Lane* FindLane(const ShardState& state, LaneId id);

/// @brief Refuses what can no longer start in time.
void ExpireUnits(Step& step);

/// @brief Refuses every task of a queued unit as not run.
void RefuseUnit(Step& step, const UnitPlace& place, ErrorKind error,
                Millis retry_after);

/// @brief Latest time for a task to start so that it meets its deadline.
/// @return Time::max() where nothing is missed
[[nodiscard]] Time LatestStart(const ShardState& state, const TaskSpec& spec,
                               Time now);

/// @brief Lets every lane look at all targets again.
void UnblockLanes(ShardState& state);

}  // namespace buckthornmux::sched
