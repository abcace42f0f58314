#include "buckthornmux/detail/sched/shard_state.h"
namespace buckthornmux::sched {
ShardState MakeShard(ShardId id, Policy policy, ClockAnchor clock) {
  ShardState state;
  state.id = std::move(id);
  state.policy = policy;
  state.clock = clock;
  return state;
}
}  // namespace buckthornmux::sched
