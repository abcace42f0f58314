#include <algorithm>

#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::sched {

Resources FreeCapacity(const ShardState& state) { return state.free; }

std::map<KindName, std::int64_t> QueueLengths(const ShardState& state) {
  std::map<KindName, std::int64_t> lengths;
  for (const auto& [id, lane] : state.lanes) {
    const auto units = static_cast<std::int64_t>(lane.units.size());
    lengths[lane.key.kind] += units * lane.key.gang_size;
  }
  return lengths;
}

std::vector<TeamUse> TeamUses(const ShardState& state) {
  std::vector<TeamUse> uses;
  for (const auto& [name, team] : state.teams) {
    uses.push_back(
        {name, team.used, team.grant, team.queued_slots, team.share});
  }
  return uses;
}

std::vector<TargetCondition> TargetConditions(const ShardState& state) {
  std::vector<TargetCondition> conditions;
  for (const TargetRecord& target : state.targets) {
    if (!target.in_config) {
      continue;
    }
    TargetCondition condition;
    condition.target = target.spec.id;
    condition.usable = target.usable;
    condition.reported = target.reported;
    condition.reachable = target.reachable;
    condition.leaving = target.leaving;
    condition.aside = target.failures.aside;
    condition.reserved = target.reserved;
    condition.over = target.over;
    condition.tasks = target.holds.size();
    conditions.push_back(std::move(condition));
  }
  return conditions;
}

bool AllReported(const ShardState& state) {
  return state.configured && state.epoch > 0 &&
         std::ranges::all_of(state.targets, [](const TargetRecord& target) {
           return !target.in_config || target.reported;
         });
}

}  // namespace buckthornmux::sched
