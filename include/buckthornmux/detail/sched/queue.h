/// The queue of a shard: lanes of units with equal requirements, each ordered
/// by least laxity first.
#pragma once

#include <span>
#include <vector>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Queues tasks that start together as one unit.
/// @param step current step
/// @param tasks records in ShardState::tasks, all of one job
/// @param at_head whether the unit goes to the head of its lane
void PushUnit(Step& step, std::span<TaskRecord* const> tasks, bool at_head);

/// @brief Removes a unit from the queue. The records of its tasks stay.
/// @return the removed unit
Unit RemoveUnit(ShardState& state, const UnitPlace& place);

/// @brief Looks up the unit at a place; null if there is none.
[[nodiscard]] Unit* FindUnit(ShardState& state, const UnitPlace& place);

/// @brief Looks up a lane by its number; null if it has become empty.
[[nodiscard]] const Lane* FindLane(const ShardState& state, LaneId id);

/// @brief Refuses units whose latest start time has passed.
void ExpireUnits(Step& step);

/// @brief Refuses every task of a queued unit; the tasks end as kNotRun.
void RefuseUnit(Step& step, const UnitPlace& place, ErrorKind error,
                Millis retry_after);

/// @brief Latest time at which a task may start to meet its deadline. Urgent
///   work may wait for at least half of the time left, even if its estimated
///   run time is longer than the other half.
/// @return Time::max() for work other than urgent that has no deadline
[[nodiscard]] Time LatestStart(const ShardState& state, const TaskSpec& spec,
                               Time now);

/// @brief Unblocks every lane, so that the next pass scans all targets for it.
void UnblockLanes(ShardState& state);

}  // namespace buckthornmux::sched
