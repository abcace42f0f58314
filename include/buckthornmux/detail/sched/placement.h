/// Choice of a target for a task, and the pass over the queue that starts
/// tasks.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Starts all tasks that can start now, in the order of the policy.
/// Complexity: lanes times targets after a change that affects every target;
/// lanes if one target got free capacity; one scan of the targets per start.
void StartWaiting(Step& step);

/// @brief Whether a target may take a task, regardless of free capacity.
[[nodiscard]] bool IsEligible(const Step& step, TargetIndex index,
                              const TaskRecord& task);

/// @brief Whether the targets of the shard, if they were empty, could hold
///   these tasks all at once.
[[nodiscard]] bool CouldEverFit(const ShardState& state, const TaskSpec& spec,
                                std::uint32_t count);

/// @brief How many times a demand fits into the given room, at most `most`.
[[nodiscard]] std::int64_t CountFits(const Resources& demand,
                                     const Resources& room, std::int64_t most);

}  // namespace buckthornmux::sched
