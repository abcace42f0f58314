/// Which target takes a task, and the pass over the queue that starts tasks.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Starts what may start now, in the policy's order.
/// Complexity: lanes times targets after a change that touches every target;
/// lanes alone where one target got room; one scan of the targets per start.
void StartWaiting(Step& step);

/// @brief Whether a target may take a task, room aside.
[[nodiscard]] bool Suits(const Step& step, TargetIndex index,
                         const TaskRecord& task);

/// @brief Whether some target of the shard could ever hold these tasks, all at
///   once, were it empty.
[[nodiscard]] bool CouldEverFit(const ShardState& state, const TaskSpec& spec,
                                std::uint32_t count);

/// @brief How often a demand goes into some room, at most `most`.
[[nodiscard]] std::int64_t TimesIn(const Resources& demand,
                                   const Resources& room, std::int64_t most);

}  // namespace buckthornmux::sched
