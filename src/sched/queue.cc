#include "buckthornmux/detail/sched/queue.h"

#include <algorithm>
#include <utility>

#include "buckthornmux/detail/sched/answers.h"
#include "buckthornmux/detail/sched/estimates.h"

namespace buckthornmux::sched {
namespace {

LaneKey LaneKeyOf(const TaskSpec& spec) {
  LaneKey key;
  key.work_class = spec.work_class;
  key.team = spec.team;
  key.kind = spec.kind;
  key.demand = spec.demand;
  key.gang_size = spec.gang_size;
  key.labels = spec.labels;
  return key;
}

LaneId LaneFor(ShardState& state, const TaskSpec& spec) {
  LaneKey key = LaneKeyOf(spec);
  const auto found = state.lane_index.find(key);
  if (found != state.lane_index.end()) {
    return found->second;
  }
  const LaneId id = state.next_lane++;
  state.lane_index.emplace(key, id);
  state.lanes[id].key = std::move(key);
  return id;
}

Time OrderOf(const ShardState& state, Time latest_start, Time now) {
  if (state.policy.choice != PolicyChoice::kFair) {
    return Time{};
  }
  return std::min(latest_start, now + state.policy.patient_ordering_delay);
}

}  // namespace

Time LatestStart(const ShardState& state, const TaskSpec& spec, Time now) {
  const Millis run = EstimatedRun(state, spec);
  if (spec.work_class == WorkClass::kUrgent) {
    const Time end = spec.deadline == 0 ? now + state.policy.max_urgent_wait
                                        : state.clock.ToSteady(spec.deadline);
    return end - std::min(run, std::max((end - now) / 2, Millis{0}));
  }
  if (spec.deadline == 0) {
    return Time::max();
  }
  return state.clock.ToSteady(spec.deadline) - run;
}

void PushUnit(Step& step, std::span<TaskRecord* const> tasks, bool at_head) {
  ShardState& state = step.state;
  const TaskSpec& spec = tasks.front()->spec;
  Unit unit;
  unit.latest_start = LatestStart(state, spec, step.now);
  unit.queued_at = step.now;
  UnitPlace place;
  place.lane = LaneFor(state, spec);
  place.unit.sequence = state.next_sequence++;
  place.unit.order =
      at_head ? Time::min() : OrderOf(state, unit.latest_start, step.now);
  for (TaskRecord* task : tasks) {
    task->phase = TaskPhase::kQueued;
    task->place = place;
    unit.task_ids.push_back(task->spec.Id());
    unit.slots += task->spec.demand.slots;
  }
  state.queued += tasks.size();
  if (spec.work_class == WorkClass::kUrgent) {
    state.queued_urgent += tasks.size();
  }
  state.teams[spec.team].queued_slots += unit.slots;
  state.expiry.emplace(UnitKey{unit.latest_start, place.unit.sequence}, place);
  Lane& lane = state.lanes[place.lane];
  if (at_head || lane.units.empty()) {
    lane.blocked = false;
  }
  lane.units.emplace(place.unit, std::move(unit));
}

const Lane* FindLane(const ShardState& state, LaneId id) {
  const auto found = state.lanes.find(id);
  return found == state.lanes.end() ? nullptr : &found->second;
}

Unit* FindUnit(ShardState& state, const UnitPlace& place) {
  const auto lane = state.lanes.find(place.lane);
  if (lane == state.lanes.end()) {
    return nullptr;
  }
  const auto unit = lane->second.units.find(place.unit);
  return unit == lane->second.units.end() ? nullptr : &unit->second;
}

Unit RemoveUnit(ShardState& state, const UnitPlace& place) {
  Lane& lane = state.lanes[place.lane];
  const auto found = lane.units.find(place.unit);
  Unit unit = std::move(found->second);
  lane.units.erase(found);
  state.expiry.erase(UnitKey{unit.latest_start, place.unit.sequence});
  state.queued -= unit.task_ids.size();
  if (lane.key.work_class == WorkClass::kUrgent) {
    state.queued_urgent -= unit.task_ids.size();
  }
  state.teams[lane.key.team].queued_slots -= unit.slots;
  if (lane.units.empty()) {
    state.lane_index.erase(lane.key);
    state.lanes.erase(place.lane);
  }
  return unit;
}

void RefuseUnit(Step& step, const UnitPlace& place, ErrorKind error,
                Millis retry_after) {
  const Unit unit = RemoveUnit(step.state, place);
  for (const std::string& id : unit.task_ids) {
    AnswerNotStarted(step, id, error, retry_after);
  }
}

void ExpireUnits(Step& step) {
  ShardState& state = step.state;
  while (!state.expiry.empty()) {
    const auto [key, place] = *state.expiry.begin();
    if (key.order >= step.now) {
      return;
    }
    const Lane& lane = state.lanes[place.lane];
    const TeamRecord& team = state.teams[lane.key.team];
    const std::int64_t slots = lane.units.find(place.unit)->second.slots;
    const bool limited = team.used.slots + slots > team.limit;
    if (lane.key.work_class != WorkClass::kUrgent) {
      RefuseUnit(step, place, ErrorKind::kDeadlineUnmeetable, Millis{0});
    } else if (limited) {
      RefuseUnit(step, place, ErrorKind::kTeamLimit, RetryAfter(state));
    } else {
      RefuseUnit(step, place, ErrorKind::kCellFull, RetryAfter(state));
    }
  }
}

void UnblockLanes(ShardState& state) {
  for (auto& [id, lane] : state.lanes) {
    lane.blocked = false;
  }
}

}  // namespace buckthornmux::sched
