/// Configuration and ownership of a shard.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Applies the targets and teams of a configuration revision. Older
///   revisions are ignored.
void HandleConfig(Step& step, const config::Config& config);

/// @brief Applies a change of ownership. A new epoch discards the queue and all
///   holds, because another owner may have made decisions in the meantime;
///   homes send their requests again.
void HandleOwnershipChanged(Step& step, const OwnershipChanged& change);

/// @brief Recomputes the slots of targets that have not reported.
void UpdateUnreportedSlots(ShardState& state);

}  // namespace buckthornmux::sched
