#include "buckthornmux/detail/sched/grants.h"

#include <algorithm>

#include "buckthornmux/detail/sched/holds.h"
#include "buckthornmux/detail/sched/queue.h"

namespace buckthornmux::sched {
namespace {

/// A team's limit is divided into at least this many chunks, if it has as many
/// slots.
constexpr std::int64_t kMinChunksPerLimit = 64;

std::int64_t RoundUp(std::int64_t slots, std::int64_t chunk) {
  return (slots + chunk - 1) / chunk * chunk;
}

// Chunk size for a team. It is smaller for a small limit, since otherwise a few
// shards could hold the whole limit without using it.
std::int64_t ChunkOf(const ShardState& state, const TeamRecord& team) {
  return std::clamp<std::int64_t>(team.limit / kMinChunksPerLimit, 1,
                                  state.policy.grant_chunk);
}

std::int64_t AllSlots(const ShardState& state) {
  std::int64_t slots = 0;
  for (const TargetRecord& target : state.targets) {
    slots += target.in_config ? target.spec.capacity.slots : 0;
  }
  return slots;
}

void Ask(Step& step, const TeamName& name, TeamRecord& team,
         std::int64_t slots) {
  team.asked = slots;
  team.asked_at = step.now;
  step.actions.emplace_back(RequestGrant{name, slots});
}

bool MayRequest(const Step& step, const TeamRecord& team) {
  return team.asked < 0 ||
         step.now - team.asked_at >= step.state.policy.grant_retry_interval;
}

void RequestMore(Step& step, const TeamName& name, TeamRecord& team,
                 std::int64_t need) {
  const std::int64_t chunk = ChunkOf(step.state, team);
  const std::int64_t want = std::min(RoundUp(need, chunk), team.limit);
  if (want > team.grant && MayRequest(step, team)) {
    Ask(step, name, team, want);
  }
}

// Returns slots to the ledger if a large part of the grant stays unused. The
// shard stops using them at once, because the ledger may grant them to another
// shard as soon as the write has succeeded.
void ReturnUnused(Step& step, const TeamName& name, TeamRecord& team,
                  std::int64_t need) {
  const std::int64_t chunk = ChunkOf(step.state, team);
  const std::int64_t keep = RoundUp(need, chunk) + (need > 0 ? chunk : 0);
  if (team.grant <= keep) {
    team.idle = false;
    return;
  }
  if (!team.idle) {
    team.idle = true;
    team.idle_since = step.now;
  }
  if (step.now - team.idle_since >= step.state.policy.grant_idle_timeout) {
    team.ceiling = keep;
    Ask(step, name, team, keep);
  }
}

}  // namespace

void RequestGrants(Step& step) {
  ShardState& state = step.state;
  if (!state.may_start) {
    return;
  }
  const std::int64_t most = AllSlots(state);
  for (auto& [name, team] : state.teams) {
    if (team.ceiling >= 0) {
      if (MayRequest(step, team)) {
        Ask(step, name, team, team.ceiling);
      }
      continue;
    }
    const std::int64_t need =
        std::min(team.used.slots + team.queued_slots, most);
    const std::int64_t usable = UsableGrant(state, team);
    const std::int64_t chunk = ChunkOf(state, team);
    // Slots are requested in advance, so that starts need not wait for the
    // store.
    const bool nearly_used = need > usable || usable - need < chunk / 2;
    if (need > 0 && nearly_used) {
      team.idle = false;
      RequestMore(step, name, team, need + chunk + state.unreported_slots);
    } else if (AllReported(state)) {
      ReturnUnused(step, name, team, need);
    }
  }
}

void HandleGrantChanged(Step& step, const GrantChanged& grant) {
  TeamRecord& team = step.state.teams[grant.team];
  team.grant = grant.slots;
  const bool lowering = team.ceiling >= 0;
  if (!lowering || grant.slots <= team.ceiling) {
    team.ceiling = -1;
    team.idle = false;
    // A raise that was not granted in full is requested again only after
    // Policy::grant_retry_interval.
    if (lowering || grant.slots >= team.asked) {
      team.asked = -1;
    }
  }
}

}  // namespace buckthornmux::sched
