#include "buckthornmux/detail/sched/placement.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <utility>

#include "buckthornmux/detail/core/invariant.h"
#include "buckthornmux/detail/sched/answers.h"
#include "buckthornmux/detail/sched/estimates.h"
#include "buckthornmux/detail/sched/fairness.h"
#include "buckthornmux/detail/sched/gangs.h"
#include "buckthornmux/detail/sched/health.h"
#include "buckthornmux/detail/sched/holds.h"
#include "buckthornmux/detail/sched/preemption.h"
#include "buckthornmux/detail/sched/queue.h"

namespace buckthornmux::sched {
namespace {

/// Maximum number of units that are tried to start one unit of a lane.
constexpr std::size_t kMaxUnitsScanned = 8;

/// Weight of the size of the leftover relative to its imbalance.
constexpr double kLeftoverSizeWeight = 0.1;
/// This cost exceeds that of any leftover, so that suspect targets are used
/// only if no other target fits.
constexpr double kSuspectTargetCost = 100;
/// Added for urgent work, so that a target draining for a gang is used only if
/// no other healthy target fits.
constexpr double kDrainingTargetCost = 10;

/// Free resources of a target after a start, as fractions of its capacity.
struct Leftover {
  double least = 1;
  double most = 0;
  double sum = 0;

  void Add(std::int64_t free, std::int64_t demand, std::int64_t capacity) {
    if (capacity <= 0) {
      return;
    }
    const double left =
        static_cast<double>(free - demand) / static_cast<double>(capacity);
    least = std::min(least, left);
    most = std::max(most, left);
    sum += left;
  }
};

// Cost of placing a demand on a target; the lowest is the best fit. Little
// should remain free, in equal parts of each resource, since free capacity of
// one resource is of no use without the others.
double PackingCost(const TargetRecord& target, const Resources& demand) {
  const Resources& free = target.free;
  const Resources& all = target.spec.capacity;
  Leftover left;
  left.Add(free.slots, demand.slots, all.slots);
  left.Add(free.cpu_milli, demand.cpu_milli, all.cpu_milli);
  left.Add(free.memory_mb, demand.memory_mb, all.memory_mb);
  left.Add(free.accelerators, demand.accelerators, all.accelerators);
  return left.most - left.least + kLeftoverSizeWeight * left.sum;
}

std::vector<TargetIndex> AllTargets(const ShardState& state) {
  std::vector<TargetIndex> all(state.targets.size());
  std::iota(all.begin(), all.end(), TargetIndex{0});
  return all;
}

std::optional<TargetIndex> PickTarget(const Step& step, const TaskRecord& task,
                                      std::span<const TargetIndex> candidates) {
  const ShardState& state = step.state;
  const bool first_fit = state.policy.choice != PolicyChoice::kFair;
  const bool urgent = task.spec.work_class == WorkClass::kUrgent;
  std::optional<TargetIndex> best;
  double best_cost = std::numeric_limits<double>::max();
  for (const TargetIndex index : candidates) {
    const TargetRecord& target = state.targets[index];
    const bool reserved_for_urgent = target.stopping > 0 && !urgent;
    if (!target.usable || reserved_for_urgent ||
        !task.spec.demand.FitsIn(target.free) ||
        !IsEligible(step, index, task)) {
      continue;
    }
    if (first_fit) {
      return index;
    }
    double cost = PackingCost(target, task.spec.demand);
    if (!target.failures.jobs.empty()) {
      cost += kSuspectTargetCost;
    }
    if (urgent && state.drain.active && state.drain.targets.contains(index)) {
      cost += kDrainingTargetCost;
    }
    if (cost < best_cost) {
      best_cost = cost;
      best = index;
    }
  }
  return best;
}

void CheckStart(const ShardState& state, const TaskRecord& task,
                const TargetRecord& target) {
  const std::string id = task.spec.Id();
  Invariant(state.may_start, "no_start_without_ownership", id);
  Invariant(target.reported, "no_start_before_report", target.spec.id);
  Invariant(!target.leaving, "no_start_on_leaving", target.spec.id);
  Invariant(!state.cancelled.values.contains(id), "cancelled_not_started", id);
  Invariant(!task.cancelled, "cancelled_not_started", id);
  const auto holds = state.hold_counts.find(id);
  Invariant(holds != state.hold_counts.end() && holds->second == 1,
            "one_place_per_task", id);
}

Time StartBy(const ShardState& state, const TaskSpec& spec, Time now) {
  const Time latest = now + state.policy.start_window;
  if (spec.deadline == 0) {
    return latest;
  }
  return std::max(now, std::min(latest, state.clock.ToSteady(spec.deadline)));
}

void SendStart(Step& step, TaskRecord& task, TargetIndex index) {
  ShardState& state = step.state;
  TargetRecord& target = state.targets[index];
  CheckRoom(state, index, task.spec.team);
  CheckStart(state, task, target);
  RecordProbe(target, step.now);
  task.phase = TaskPhase::kStarting;
  task.target = index;
  task.epoch = state.epoch;
  task.start_by = StartBy(state, task.spec, step.now);
  task.conclusive_at = task.start_by + state.policy.report_delay;
  task.preempted = false;
  task.tried.push_back(index);
  step.actions.emplace_back(Start{target.spec.id, task.spec,
                                  LatestHome(state, task.partition),
                                  state.epoch, task.start_by});
}

// Whether a start would leave the reserve for urgent work free.
bool LeavesReserve(const ShardState& state, const Lane& lane,
                   const Resources& reserve) {
  const bool drained_for = state.drain.active && lane.key.gang_size > 1 &&
                           FindLane(state, state.drain.place.lane) == &lane;
  if (lane.key.work_class == WorkClass::kUrgent || drained_for ||
      state.policy.choice != PolicyChoice::kFair) {
    return true;
  }
  Resources wanted = reserve;
  for (std::uint32_t i = 0; i < lane.key.gang_size; ++i) {
    wanted += lane.key.demand;
  }
  return wanted.FitsIn(state.free);
}

bool StartUnit(Step& step, const UnitPlace& place, TaskRecord& task,
               std::span<const TargetIndex> candidates) {
  const auto target = PickTarget(step, task, candidates);
  if (!target) {
    return false;
  }
  RemoveUnit(step.state, place);
  // The resources are reserved before the start is sent.
  AddHold(step.state, *target, task.spec, false, step.now);
  SendStart(step, task, *target);
  return true;
}

// Starts the first unit of a lane that can start. Units that must avoid some
// targets, or whose earlier run is still being stopped, don't block later
// units.
bool StartSingle(Step& step, LaneId id, Lane& lane,
                 std::span<const TargetIndex> candidates) {
  ShardState& state = step.state;
  std::size_t looked_at = 0;
  for (auto& [key, unit] : lane.units) {
    if (++looked_at > kMaxUnitsScanned) {
      return false;
    }
    TaskRecord& task = state.tasks.find(unit.task_ids.front())->second;
    if (state.hold_counts.contains(unit.task_ids.front())) {
      continue;
    }
    if (StartUnit(step, UnitPlace{id, key}, task, candidates)) {
      return true;
    }
    if (task.tried.empty()) {
      lane.blocked = true;
      return false;
    }
  }
  return false;
}

bool StartGang(Step& step, const UnitPlace& place) {
  ShardState& state = step.state;
  const std::vector<TargetIndex> targets = PlanGang(step, place);
  if (targets.empty()) {
    return false;
  }
  const Unit unit = RemoveUnit(state, place);
  RecordGang(state, unit);
  if (state.drain.active && state.drain.place == place) {
    EndDrain(state);
  }
  Invariant(targets.size() == unit.task_ids.size(), "gang_all_or_none",
            unit.task_ids.front());
  for (std::size_t i = 0; i < targets.size(); ++i) {
    AddHold(state, targets[i], state.tasks.find(unit.task_ids[i])->second.spec,
            false, step.now);
  }
  for (std::size_t i = 0; i < targets.size(); ++i) {
    SendStart(step, state.tasks.find(unit.task_ids[i])->second, targets[i]);
  }
  return true;
}

bool LimitsAllowStart(const ShardState& state, const Lane& lane,
                      const Resources& reserve) {
  const TeamRecord& team = state.teams.find(lane.key.team)->second;
  const Unit& unit = lane.units.begin()->second;
  return team.used.slots + unit.slots <= UsableGrant(state, team) &&
         !GangDrainReservesGrant(state, lane) &&
         LeavesReserve(state, lane, reserve);
}

bool StartHead(Step& step, LaneId id, Lane& lane,
               std::span<const TargetIndex> all,
               std::span<const TargetIndex> dirty, const Resources& reserve) {
  if (!LimitsAllowStart(step.state, lane, reserve)) {
    // The targets were not tried, and those with free capacity now are not
    // recorded for this lane, so its next try scans all targets.
    lane.blocked = false;
    return false;
  }
  const std::span<const TargetIndex> candidates = lane.blocked ? dirty : all;
  if (candidates.empty()) {
    return false;
  }
  if (lane.key.gang_size == 1) {
    return StartSingle(step, id, lane, candidates);
  }
  const bool started =
      StartGang(step, UnitPlace{id, lane.units.begin()->first});
  if (!started) {
    lane.blocked = true;
  }
  return started;
}

}  // namespace

bool IsEligible(const Step& step, TargetIndex index, const TaskRecord& task) {
  const TargetRecord& target = step.state.targets[index];
  const auto carries = [&](const std::string& label) {
    return std::ranges::find(target.spec.labels, label) !=
           target.spec.labels.end();
  };
  return HealthAllows(target, task.spec, step.now) &&
         std::ranges::find(task.tried, index) == task.tried.end() &&
         std::ranges::all_of(task.spec.labels, carries) &&
         GangDrainAllows(step, index, task);
}

std::int64_t CountFits(const Resources& demand, const Resources& room,
                       std::int64_t most) {
  std::int64_t times = most;
  const auto bound = [&](std::int64_t each, std::int64_t all) {
    if (each > 0) {
      times = std::min(times, std::max<std::int64_t>(all, 0) / each);
    } else if (all < 0) {
      times = 0;
    }
  };
  bound(demand.slots, room.slots);
  bound(demand.cpu_milli, room.cpu_milli);
  bound(demand.memory_mb, room.memory_mb);
  bound(demand.accelerators, room.accelerators);
  return times;
}

bool CouldEverFit(const ShardState& state, const TaskSpec& spec,
                  std::uint32_t count) {
  std::int64_t left = count;
  for (const TargetRecord& target : state.targets) {
    const auto carries = [&](const std::string& label) {
      return std::ranges::find(target.spec.labels, label) !=
             target.spec.labels.end();
    };
    if (target.in_config && std::ranges::all_of(spec.labels, carries)) {
      left -= CountFits(spec.demand, target.spec.capacity, left);
    }
    if (left <= 0) {
      return true;
    }
  }
  return false;
}

void StartWaiting(Step& step) {
  ShardState& state = step.state;
  if (state.lanes.empty()) {
    state.dirty.clear();
  }
  if (!state.may_start || state.lanes.empty()) {
    return;
  }
  ++state.step;
  const std::vector<TargetIndex> all = AllTargets(state);
  std::vector<TargetIndex> dirty = std::exchange(state.dirty, {});
  if (dirty.size() >= all.size()) {
    UnblockLanes(state);
  }
  while (const auto next = NextLane(step)) {
    Lane& lane = state.lanes[*next];
    const Resources reserve = UrgentReserve(state);
    if (StartHead(step, *next, lane, all, dirty, reserve)) {
      continue;
    }
    lane.tried_in = state.step;
    if (lane.key.work_class == WorkClass::kUrgent) {
      PreemptForLane(step, lane);
    }
  }
  state.dirty.clear();
}

}  // namespace buckthornmux::sched
