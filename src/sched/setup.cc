#include "buckthornmux/detail/sched/setup.h"

#include <algorithm>

#include "buckthornmux/detail/sched/arrivals.h"
#include "buckthornmux/detail/sched/holds.h"
#include "buckthornmux/detail/sched/queue.h"

namespace buckthornmux::sched {
namespace {

TargetIndex IndexOf(ShardState& state, const TargetSpec& spec) {
  const auto found = state.target_index.find(spec.id);
  if (found != state.target_index.end()) {
    return found->second;
  }
  const auto index = static_cast<TargetIndex>(state.targets.size());
  state.targets.emplace_back();
  state.target_index.emplace(spec.id, index);
  return index;
}

void UpdateTargets(ShardState& state, const config::Config& config) {
  for (TargetRecord& target : state.targets) {
    target.in_config = false;
  }
  for (const TargetSpec& spec : config.targets) {
    if (spec.shard == state.id) {
      TargetRecord& target = state.targets[IndexOf(state, spec)];
      target.spec = spec;
      target.in_config = true;
    }
  }
  for (TargetIndex index = 0; index < state.targets.size(); ++index) {
    RefreshTarget(state, index);
  }
}

void UpdateTeams(ShardState& state, const config::Config& config) {
  for (auto& [name, team] : state.teams) {
    team.share = 0;
    team.limit = 0;
  }
  for (const config::Team& team : config.teams) {
    state.teams[team.name].share = team.share;
    state.teams[team.name].limit = team.limit;
  }
}

void ResetTeams(ShardState& state) {
  for (auto& [name, team] : state.teams) {
    team.grant = 0;
    team.ceiling = -1;
    team.used = {};
    team.queued_slots = 0;
    team.asked = -1;
    team.idle = false;
  }
}

void ResetTargetStates(ShardState& state) {
  for (TargetIndex index = 0; index < state.targets.size(); ++index) {
    TargetRecord& target = state.targets[index];
    target.holds.clear();
    target.stopping = 0;
    target.reserved = {};
    target.over = {};
    target.reported = false;
    RefreshTarget(state, index);
  }
}

void ClearTasks(ShardState& state) {
  state.tasks.clear();
  state.hold_counts.clear();
  state.holding = 0;
  state.lanes.clear();
  state.lane_index.clear();
  state.expiry.clear();
  state.queued = 0;
  state.queued_urgent = 0;
  state.urgent.used = {};
  state.drain = {};
  state.gangs.clear();
  state.inquiries.clear();
}

}  // namespace

void UpdateUnreportedSlots(ShardState& state) {
  state.unreported_slots = 0;
  for (const TargetRecord& target : state.targets) {
    if (target.in_config && !target.reported) {
      state.unreported_slots += target.spec.capacity.slots;
    }
  }
}

void HandleConfig(Step& step, const config::Config& config) {
  ShardState& state = step.state;
  if (state.configured && config.revision < state.revision) {
    return;
  }
  state.configured = true;
  state.revision = config.revision;
  UpdateTargets(state, config);
  UpdateTeams(state, config);
  UpdateUnreportedSlots(state);
  RefuseOversized(step);
  UnblockLanes(state);
}

void HandleOwnershipChanged(Step& step, const OwnershipChanged& change) {
  ShardState& state = step.state;
  if (change.epoch < state.epoch) {
    return;
  }
  if (change.epoch > state.epoch) {
    state.epoch = change.epoch;
    ClearTasks(state);
    ResetTeams(state);
    ResetTargetStates(state);
    UpdateUnreportedSlots(state);
  }
  state.may_start = change.may_start;
}

}  // namespace buckthornmux::sched
