#include "buckthornmux/detail/sched/holds.h"

#include <algorithm>

#include "buckthornmux/detail/core/invariant.h"
#include "buckthornmux/detail/sched/estimates.h"

namespace buckthornmux::sched {
namespace {

Resources AtLeastZero(Resources room) {
  room.slots = std::max<std::int64_t>(room.slots, 0);
  room.cpu_milli = std::max<std::int64_t>(room.cpu_milli, 0);
  room.memory_mb = std::max<std::int64_t>(room.memory_mb, 0);
  room.accelerators = std::max<std::int64_t>(room.accelerators, 0);
  return room;
}

}  // namespace

void AddHold(ShardState& state, TargetIndex target, const TaskSpec& spec,
             bool stray, Time now) {
  TargetRecord& record = state.targets[target];
  Hold hold;
  hold.task_id = spec.Id();
  hold.attempt = spec.attempt;
  hold.team = spec.team;
  hold.demand = spec.demand;
  hold.since = now;
  hold.expected_end = now + EstimatedRun(state, spec);
  hold.unending = spec.work_class == WorkClass::kService;
  hold.stray = stray;
  hold.urgent = spec.work_class == WorkClass::kUrgent;
  hold.preemptible = !stray && spec.idempotent && spec.gang_size <= 1 &&
                     spec.work_class == WorkClass::kPatient;
  ++state.hold_counts[hold.task_id];
  ++state.holding;
  record.reserved += hold.demand;
  state.teams[hold.team].used += hold.demand;
  if (hold.urgent) {
    state.urgent.used += hold.demand;
  }
  record.holds.push_back(std::move(hold));
  RefreshTarget(state, target);
}

bool DropHold(ShardState& state, TargetIndex target, std::string_view task_id,
              std::uint32_t attempt) {
  TargetRecord& record = state.targets[target];
  Hold* const hold = FindHold(record, task_id, attempt);
  if (hold == nullptr) {
    return false;
  }
  record.reserved -= hold->demand;
  state.teams[hold->team].used -= hold->demand;
  if (hold->stopping) {
    --record.stopping;
  }
  if (hold->urgent) {
    state.urgent.used -= hold->demand;
  }
  const auto count = state.hold_counts.find(hold->task_id);
  if (--count->second == 0) {
    state.hold_counts.erase(count);
  }
  --state.holding;
  if (hold != &record.holds.back()) {
    *hold = std::move(record.holds.back());
  }
  record.holds.pop_back();
  RefreshTarget(state, target);
  return true;
}

Hold* FindHold(TargetRecord& target, std::string_view task_id,
               std::uint32_t attempt) {
  const auto found = std::ranges::find_if(target.holds, [&](const Hold& hold) {
    return hold.attempt == attempt && hold.task_id == task_id;
  });
  return found == target.holds.end() ? nullptr : &*found;
}

void RefreshTarget(ShardState& state, TargetIndex index) {
  TargetRecord& target = state.targets[index];
  const Resources before = target.free;
  const bool was_usable = target.usable;
  state.free -= target.counted_free;
  state.capacity -= target.counted;
  target.usable = target.in_config && target.reported && target.reachable &&
                  !target.leaving;
  target.free = target.spec.capacity;
  target.free -= target.reserved;
  target.free -= target.over;
  target.counted = target.usable ? target.spec.capacity : Resources{};
  target.counted_free = target.usable ? AtLeastZero(target.free) : Resources{};
  state.free += target.counted_free;
  state.capacity += target.counted;
  const bool grew = !was_usable || !target.free.FitsIn(before);
  // A list as long as the targets makes the next pass scan all of them anyway.
  if (target.usable && grew && state.dirty.size() < state.targets.size()) {
    state.dirty.push_back(index);
  }
}

std::int64_t UsableGrant(const ShardState& state, const TeamRecord& team) {
  std::int64_t slots = std::min(team.grant, team.limit);
  if (team.ceiling >= 0) {
    slots = std::min(slots, team.ceiling);
  }
  return slots - state.unreported_slots;
}

void CheckRoom(const ShardState& state, TargetIndex target,
               const TeamName& team) {
  const TargetRecord& record = state.targets[target];
  Resources used = record.reserved;
  used += record.over;
  Invariant(used.FitsIn(record.spec.capacity), "capacity_not_exceeded",
            record.spec.id);
  const TeamRecord& its_team = state.teams.find(team)->second;
  Invariant(its_team.used.slots <= UsableGrant(state, its_team),
            "team_within_grant", team);
}

}  // namespace buckthornmux::sched
