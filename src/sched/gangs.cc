#include "buckthornmux/detail/sched/gangs.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "buckthornmux/detail/sched/estimates.h"
#include "buckthornmux/detail/sched/holds.h"
#include "buckthornmux/detail/sched/placement.h"
#include "buckthornmux/detail/sched/preemption.h"
#include "buckthornmux/detail/sched/queue.h"

namespace buckthornmux::sched {
namespace {

/// Capacity of one target for members of a gang.
struct GangRoom {
  TargetIndex target = 0;
  std::int64_t members = 0;     ///< Number of members that fit.
  std::int64_t free_slots = 0;  ///< Targets with fewer free slots go first.
  Time ready;                   ///< Expected end of the target's tasks.
};

// Maximum number of members to place on a target. A target with failures takes
// one task at a time, except for a gang that targets are drained for, since it
// may need all available capacity.
std::int64_t MaxMembers(const ShardState& state, const UnitPlace& place,
                        const TargetRecord& target, std::int64_t needed) {
  const bool drained = state.drain.active && state.drain.place == place;
  return drained || target.failures.jobs.empty() ? needed : 1;
}

// Capacity of a target after all its tasks except services have ended.
GangRoom RoomWhenDrained(const ShardState& state, TargetIndex index,
                         const Resources& demand, std::int64_t most) {
  const TargetRecord& target = state.targets[index];
  GangRoom room;
  room.target = index;
  Resources free = target.spec.capacity;
  free -= target.over;
  for (const Hold& hold : target.holds) {
    if (hold.unending) {
      free -= hold.demand;
    } else {
      room.ready = std::max(room.ready, hold.expected_end);
    }
  }
  room.members = CountFits(demand, free, most);
  return room;
}

// Selects the targets to drain: those expected to be free first.
void PlanDrain(Step& step, const Lane& lane, const Unit& unit) {
  ShardState& state = step.state;
  const TaskRecord& task = state.tasks.find(unit.task_ids.front())->second;
  const auto needed = static_cast<std::int64_t>(unit.task_ids.size());
  state.drain.targets.clear();
  std::vector<GangRoom> rooms;
  for (TargetIndex index = 0; index < state.targets.size(); ++index) {
    const TargetRecord& target = state.targets[index];
    if (!target.usable || target.failures.aside ||
        !IsEligible(step, index, task)) {
      continue;
    }
    rooms.push_back(RoomWhenDrained(state, index, lane.key.demand, needed));
  }
  std::ranges::sort(rooms, {}, &GangRoom::ready);
  std::int64_t left = needed;
  for (const GangRoom& room : rooms) {
    if (left <= 0) {
      break;
    }
    if (room.members == 0) {
      continue;
    }
    left -= room.members;
    state.drain.targets.insert(room.target);
    state.drain.expected_start =
        std::max(state.drain.expected_start, room.ready);
  }
}

// Finds the gang that has waited longest, beyond Policy::gang_drain_delay.
std::optional<UnitPlace> LongestWaiting(const Step& step) {
  std::optional<UnitPlace> oldest;
  Time since = step.now - step.state.policy.gang_drain_delay;
  for (const auto& [id, lane] : step.state.lanes) {
    if (lane.key.gang_size <= 1) {
      continue;
    }
    const auto& [key, unit] = *lane.units.begin();
    const bool longer =
        oldest ? unit.queued_at < since : unit.queued_at <= since;
    if (longer) {
      since = unit.queued_at;
      oldest = UnitPlace{id, key};
    }
  }
  return oldest;
}

bool DrainTargetsUsable(const ShardState& state) {
  return std::ranges::all_of(state.drain.targets, [&](TargetIndex index) {
    return state.targets[index].usable;
  });
}

void RecordGrantNeeded(ShardState& state, const Lane& lane, const Unit& unit) {
  const TeamRecord& team = state.teams[lane.key.team];
  state.drain.waits_for_grant =
      team.used.slots + unit.slots > UsableGrant(state, team);
}

}  // namespace

std::vector<TargetIndex> PlanGang(const Step& step, const UnitPlace& place) {
  const ShardState& state = step.state;
  const Lane& lane = state.lanes.find(place.lane)->second;
  const Unit& unit = lane.units.find(place.unit)->second;
  const TaskRecord& task = state.tasks.find(unit.task_ids.front())->second;
  const auto needed = static_cast<std::int64_t>(unit.task_ids.size());
  std::vector<GangRoom> rooms;
  for (TargetIndex index = 0; index < state.targets.size(); ++index) {
    const TargetRecord& target = state.targets[index];
    if (!target.usable || target.stopping > 0 ||
        !lane.key.demand.FitsIn(target.free) ||
        !IsEligible(step, index, task)) {
      continue;
    }
    const std::int64_t most = MaxMembers(state, place, target, needed);
    rooms.push_back({index, CountFits(lane.key.demand, target.free, most),
                     target.free.slots, step.now});
  }
  std::ranges::sort(rooms, {}, &GangRoom::free_slots);
  std::vector<TargetIndex> plan;
  for (const GangRoom& room : rooms) {
    for (std::int64_t i = 0; i < room.members; ++i) {
      plan.push_back(room.target);
      if (plan.size() == unit.task_ids.size()) {
        return plan;
      }
    }
  }
  return {};
}

void RecordGang(ShardState& state, const Unit& unit) {
  const TaskSpec& spec = state.tasks.find(unit.task_ids.front())->second.spec;
  state.gangs[JobKey(spec)] = GangMembers{unit.task_ids, unit.task_ids.size()};
}

void StopGangMembers(Step& step, const TaskSpec& spec) {
  if (spec.gang_size <= 1) {
    return;
  }
  const auto found = step.state.gangs.find(JobKey(spec));
  if (found == step.state.gangs.end()) {
    return;
  }
  for (const std::string& id : found->second.task_ids) {
    TaskRecord* const member = FindTask(step.state, id);
    if (member != nullptr && member->spec.index != spec.index &&
        member->phase != TaskPhase::kQueued &&
        member->spec.attempt == spec.attempt && !member->gang_broken) {
      member->gang_broken = true;
      StopTask(step, *member, false);
    }
  }
}

void RemoveGangMember(ShardState& state, const TaskSpec& spec) {
  if (spec.gang_size <= 1) {
    return;
  }
  const auto found = state.gangs.find(JobKey(spec));
  if (found != state.gangs.end() && --found->second.alive == 0) {
    state.gangs.erase(found);
  }
}

void EndDrain(ShardState& state) {
  state.drain = GangDrain{};
  UnblockLanes(state);
}

void UpdateGangDrain(Step& step) {
  ShardState& state = step.state;
  if (state.policy.choice != PolicyChoice::kFair) {
    return;
  }
  if (state.drain.active && FindUnit(state, state.drain.place) == nullptr) {
    EndDrain(state);
  }
  if (!state.drain.active) {
    const auto place = LongestWaiting(step);
    if (!place) {
      return;
    }
    state.drain.active = true;
    state.drain.place = *place;
    state.drain.since = step.now;
  }
  const Lane& lane = state.lanes.find(state.drain.place.lane)->second;
  const Unit& unit = lane.units.find(state.drain.place.unit)->second;
  RecordGrantNeeded(state, lane, unit);
  if (state.drain.targets.empty() || !DrainTargetsUsable(state)) {
    PlanDrain(step, lane, unit);
    UnblockLanes(state);
  }
}

bool GangDrainAllows(const Step& step, TargetIndex index,
                     const TaskRecord& task) {
  const GangDrain& drain = step.state.drain;
  if (!drain.active || !drain.targets.contains(index)) {
    return true;
  }
  if (task.spec.work_class == WorkClass::kUrgent || task.place == drain.place) {
    return true;
  }
  if (step.now - drain.since > step.state.policy.gang_backfill_duration) {
    return false;
  }
  return step.now + EstimatedRun(step.state, task.spec) <= drain.expected_start;
}

bool GangDrainReservesGrant(const ShardState& state, const Lane& lane) {
  if (!state.drain.active || !state.drain.waits_for_grant ||
      lane.key.work_class == WorkClass::kUrgent) {
    return false;
  }
  const Lane* const gang = FindLane(state, state.drain.place.lane);
  return gang != nullptr && gang != &lane && gang->key.team == lane.key.team;
}

}  // namespace buckthornmux::sched
