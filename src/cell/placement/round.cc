#include "src/cell/placement/round.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>
#include <utility>

#include "src/cell/admission/team_limits.h"
#include "src/cell/placement/headroom.h"
#include "src/cell/placement/health.h"
#include "src/cell/placement/interference.h"
#include "src/cell/placement/isolation.h"
#include "src/cell/placement/target_speed.h"

namespace buckthornmux::cell {
namespace {

/// Hash table places per target; spare places keep collisions rare.
constexpr std::size_t kTablePlacesPerTarget = 2;
/// Maximum number of tasks that start in one round, but for the rest of a gang.
/// It bounds the calls that are open at a time.
constexpr std::size_t kMaxStartsPerRound = 300;

/// Returns the hash table position of a target, or the free position for it.
std::size_t PlaceOf(const Round& round, std::string_view id) {
  const std::size_t mask = round.by_id.size() - 1;
  std::size_t place = std::hash<std::string_view>{}(id)&mask;
  while (round.by_id[place] != 0 &&
         round.slots[round.by_id[place] - 1].target->entry.id != id) {
    place = (place + 1) & mask;
  }
  return place;
}

bool NeedsAtLeast(const Resources& need, const Resources& other) {
  return need.cpu_milli >= other.cpu_milli &&
         need.memory_mb >= other.memory_mb &&
         need.accelerators >= other.accelerators;
}

/// Returns the duration of the longest open call of each lane.
std::vector<Millis> LaneCallTimes(const Cell& cell) {
  std::map<std::string_view, Millis> by_host;
  for (const auto& [ask, open] : cell.open_advice) {
    Millis& longest = by_host[open.lane];
    longest = std::max(longest, open.takes);
  }
  std::vector<Millis> takes;
  takes.reserve(cell.lanes.size());
  for (const AdviceLane& lane : cell.lanes) {
    const auto found = by_host.find(lane.host);
    takes.push_back(found == by_host.end() ? Millis(0) : found->second);
  }
  return takes;
}

const Task* FindTaskOf(Cell& cell, const RunId& id) {
  Job* job = FindJob(cell, id.task.job);
  return job == nullptr || job->Ended() ? nullptr : FindTask(*job, id.task);
}

/// Notes which runs of a slot restrict further starts.
void MarkRecentRuns(Cell& cell, Slot& slot, Time now) {
  slot.empty = slot.target->runs.empty();
  for (const auto& [id, run] : slot.target->runs) {
    slot.kinds |= SetOf(run.kind);
    if (ReservesTarget(cell.options, run, now)) {
      slot.probation = &id.task.job;
    }
    if (now - BeganAt(run) < run.apart_for) {
      if (const Task* task = FindTaskOf(cell, id)) {
        slot.suspects.push_back(task);
      }
    }
    if (run.service && run.phase != RunPhase::kStopping) {
      slot.services += run.demand;
    }
    slot.fresh = slot.fresh || now - BeganAt(run) < cell.options.crash_doubt;
  }
}

}  // namespace

Resources RoomOf(const Target& target) {
  Resources room = target.entry.capacity;
  room -= target.used;
  return room;
}

Resources ReservedBy(const StepSpec& step) {
  Resources reserved = step.demand;
  if (step.fills) {
    reserved.cpu_milli = 0;
  }
  return reserved;
}

namespace {

/// Sets the run times of the slots. Where targets don't differ in speed, or
/// urgent work can wait for a stop, only the progress of present runs counts.
void RateSpeeds(Round& round) {
  std::vector<double> run_times;
  run_times.reserve(round.slots.size());
  for (const Slot& slot : round.slots) {
    run_times.push_back(RelativeRunTime(slot.target->health.speed, round.now));
  }
  round.speeds_differ = round.overload_control && DoSpeedsDiffer(run_times);
  for (std::size_t i = 0; i < round.slots.size(); ++i) {
    const double slowness = round.slots[i].target->health.slowness;
    round.slots[i].run_time = round.speeds_differ
                                  ? ExpectedRunTime(run_times[i], slowness)
                                  : slowness;
  }
}

/// Returns the longest time that a ticket of any queue is valid.
Millis LongestTicket(const Cell& cell) {
  Millis longest{0};
  for (const auto& [name, queue] : cell.queues) {
    longest = std::max(longest, queue.advice ? queue.advice->valid : Millis(0));
  }
  return longest;
}

/// Sets the headroom and the limit on advice.
void ControlOverload(Round& round) {
  Cell& cell = round.cell;
  AddAmount(cell.freed_cpu, std::exchange(cell.freed_since_round, 0),
            round.now);
  AdvanceTo(cell.urgent_arrivals.cpu, round.now);
  AdvanceTo(cell.urgent_advice, round.now);
  cell.headroom_cpu = 0;
  round.overload_control =
      OverloadControlOn(cell.options.stop_time, cell.urgent_arrivals);
  if (!round.overload_control) {
    return;
  }
  cell.headroom_cpu =
      HeadroomFor(cell.urgent_arrivals, cell.capacity_cpu, round.now);
  round.urgent_task_cpu =
      std::max<std::int64_t>(1, std::llround(cell.urgent_arrivals.task_cpu));
  std::int64_t usable = 0;
  std::int64_t free = 0;
  for (const Slot& slot : round.slots) {
    usable += UsableByUrgent(slot.room.cpu_milli, round.urgent_task_cpu);
    free += std::max<std::int64_t>(0, slot.room.cpu_milli);
  }
  round.beyond_headroom = usable - cell.headroom_cpu;
  constexpr double kMillisPerSecond = 1000;
  round.advice_limit = MakeAdviceLimit(
      free - cell.headroom_cpu, PerSecond(cell.freed_cpu),
      static_cast<double>(LongestTicket(cell).count()) / kMillisPerSecond);
}

}  // namespace

KindNumber KindOf(Cell& cell, const Candidate& candidate, Time now) {
  const StepSpec& spec = candidate.Spec();
  return cell.options.interference
             ? KindOf(cell.interference, candidate.job->spec.queue, spec.image,
                      spec.demand.cpu_milli, now)
             : KindNumber{0};
}

Round BeginRound(Cell& cell, Actions& actions, Time now) {
  Round round{cell, actions, now, {}, {}, {}, LaneCallTimes(cell)};
  const std::size_t most = cell.options.max_runs;
  round.starts_left =
      std::min(kMaxStartsPerRound, most - std::min(most, cell.run_count));
  round.slots.reserve(cell.targets.size());
  for (auto& [id, target] : cell.targets) {
    if (target.reported && target.recorded && target.listed &&
        target.listed_life == target.entry.life && !target.silent &&
        !target.failing_since && target.unknown_runs == 0 &&
        now >= target.health.suspended_until && MayTry(target, now) &&
        MayStartOn(cell, target, now)) {
      round.slots.push_back({&target, RoomOf(target), {}});
      MarkRecentRuns(cell, round.slots.back(), now);
    }
    for (const auto& [run_id, run] : target.runs) {
      if (ReservesTarget(cell.options, run, now)) {
        round.on_probation.insert(run_id.task.job);
      }
    }
  }
  round.by_id.resize(
      std::bit_ceil(kTablePlacesPerTarget * (round.slots.size() + 1)));
  for (std::size_t i = 0; i < round.slots.size(); ++i) {
    round.by_id[PlaceOf(round, round.slots[i].target->entry.id)] =
        static_cast<std::uint32_t>(i + 1);
  }
  ControlOverload(round);
  RateSpeeds(round);
  return round;
}

Slot* FindSlot(Round& round, const TargetId& id) {
  const std::uint32_t place = round.by_id[PlaceOf(round, id)];
  return place == 0 ? nullptr : &round.slots[place - 1];
}

bool Suits(const Target& target, const Queue& queue, const StepSpec& step) {
  return target.entry.service == queue.service &&
         (step.label.empty() ||
          std::ranges::count(target.entry.labels, step.label) > 0);
}

SuitedTargets& Suited(Round& round, const Queue& queue, const StepSpec& step) {
  const auto [found, added] = round.suited.try_emplace(
      std::pair<std::string_view, std::string_view>(queue.service, step.label));
  if (added) {
    for (std::uint32_t i = 0; i < round.slots.size(); ++i) {
      if (Suits(*round.slots[i].target, queue, step)) {
        found->second.places.push_back(i);
      }
    }
  }
  return found->second;
}

bool AnyHasRoom(Round& round, const Candidate& candidate, const Queue& queue) {
  const Resources need = ReservedBy(candidate.Spec());
  SuitedTargets& suited = Suited(round, queue, candidate.Spec());
  std::vector<Resources>& too_large =
      candidate.IgnoresReservations() ? suited.too_large
                                      : suited.too_large_beside_reservations;
  if (std::ranges::any_of(too_large, [&](const Resources& other) {
        return NeedsAtLeast(need, other);
      })) {
    return false;
  }
  const bool any = std::ranges::any_of(suited.places, [&](std::uint32_t place) {
    return HoldsOne(RoomFor(round.slots[place], candidate), need);
  });
  if (!any) {
    std::erase_if(too_large, [&](const Resources& other) {
      return NeedsAtLeast(other, need);
    });
    too_large.push_back(need);
  }
  return any;
}

std::vector<Slot*> AllowedSlots(Round& round, const Candidate& candidate,
                                const Queue& queue, Sharing sharing,
                                const Task* task) {
  CountLook(round, candidate);
  const StepSpec& spec = candidate.Spec();
  std::vector<Slot*> allowed;
  if (!queue.advice) {
    for (const std::uint32_t place : Suited(round, queue, spec).places) {
      if (MayShare(round.slots[place], candidate.ref.job, sharing, task)) {
        allowed.push_back(&round.slots[place]);
      }
    }
    return allowed;
  }
  for (const auto& [id, ticket] : candidate.step->advice.tickets) {
    Slot* slot = ticket.until > round.now ? FindSlot(round, id) : nullptr;
    if (slot != nullptr && slot->target->entry.life == ticket.life &&
        Suits(*slot->target, queue, spec) &&
        MayShare(*slot, candidate.ref.job, sharing, task)) {
      allowed.push_back(slot);
    }
  }
  return allowed;
}

void CountLook(Round& round, const Candidate& candidate) {
  if (round.looks > 0 && round.last_look == candidate.ref) {
    return;
  }
  round.last_look = candidate.ref;
  ++round.looks;
  round.gang_looks += candidate.Spec().gang ? 1U : 0U;
}

Resources LeastDemand(const StepSpec& spec) {
  if (!spec.gang) {
    return spec.demand;
  }
  const std::int64_t count = spec.count;
  return {spec.demand.slots * count, spec.demand.cpu_milli * count,
          spec.demand.memory_mb * count, spec.demand.accelerators * count};
}

bool TeamMayStart(Round& round, const Candidate& candidate) {
  const StepSpec& spec = candidate.Spec();
  const TeamName& team = candidate.job->spec.team;
  const auto [room, added] = round.team_room.try_emplace(team);
  if (added) {
    room->second = RoomOfTeam(round.cell, team);
  }
  return HoldsOne(room->second, LeastDemand(spec)) ||
         MayUseMore(round, candidate, LeastDemand(spec));
}

bool MayUseMore(Round& round, const Candidate& candidate,
                const Resources& more) {
  const TeamName& team = candidate.job->spec.team;
  const StepSpec& spec = candidate.Spec();
  const bool one_task = !spec.gang || spec.count == 1;
  if (one_task ? TeamAllowsTask(round.cell, team, more)
               : TeamAllows(round.cell, team, more)) {
    return true;
  }
  bool& only_unknown = round.limited[team];
  only_unknown = only_unknown || KnownRunsAllow(round.cell, team, more);
  return false;
}

Resources RoomWithoutEndingRuns(const Slot& slot) {
  Resources room = slot.target->entry.capacity;
  room -= slot.services;
  return room;
}

Resources RoomFor(const Slot& slot, const Candidate& candidate) {
  Resources room = slot.room;
  if (!candidate.IgnoresReservations()) {
    room -= slot.reserved;
  }
  return room;
}

std::int64_t HeadroomTakenBy(const Round& round, const Candidate& candidate,
                             const Slot& slot) {
  return round.overload_control && !candidate.Urgent()
             ? HeadroomTaken(slot.room.cpu_milli,
                             ReservedBy(candidate.Spec()).cpu_milli,
                             round.urgent_task_cpu)
             : 0;
}

std::uint32_t SlotsOn(const Target& target, const Resources& room,
                      const StepSpec& spec, const StepRef& ref) {
  const Resources need = ReservedBy(spec);
  std::int64_t slots = spec.count;
  const auto bound = [&](std::int64_t available, std::int64_t each) {
    if (each > 0 && available < each) {
      slots = 0;  // The common case in a full cell; saves a division.
    } else if (each > 0) {
      slots = std::min(slots, available / each);
    }
  };
  bound(room.cpu_milli, need.cpu_milli);
  if (slots == 0) {
    return 0;
  }
  bound(room.memory_mb, need.memory_mb);
  bound(room.accelerators, need.accelerators);
  if (spec.max_per_target > 0) {
    const auto there = std::ranges::count_if(target.runs, [&](const auto& run) {
      const TaskId& task = run.first.task;
      return task.job == ref.job && task.occurrence == ref.occurrence &&
             task.step == ref.step;
    });
    slots = std::min<std::int64_t>(
        slots, std::max<std::int64_t>(0, spec.max_per_target - there));
  }
  return static_cast<std::uint32_t>(slots);
}

}  // namespace buckthornmux::cell
