/// What a shard is set up with: configuration and ownership.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Takes targets and teams of a revision; older revisions are ignored.
void TakeConfig(Step& step, const config::Config& config);

/// @brief Takes the ownership; a new epoch forgets what is queued or held,
///   because another owner may have decided meanwhile. Homes ask anew.
void TakeOwnership(Step& step, const OwnershipChanged& change);

/// @brief Recounts the slots of targets that have not reported.
void CountUnreported(ShardState& state);

}  // namespace buckthornmux::sched
