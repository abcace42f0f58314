#include "round.h"

#include <algorithm>

namespace buckthornmux::cell {
namespace {

/// Failures in a row after which a target gets one task at a time.
constexpr int kFailuresToProbe = 2;

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

bool TeamAllows(const Cell& cell, const TeamName& name, const Resources& more) {
  const auto team = cell.teams.find(name);
  if (team == cell.teams.end()) {
    return true;  // Open to all: nobody's limit counts.
  }
  Resources used = more;
  if (const auto found = cell.usage.find(name); found != cell.usage.end()) {
    used += found->second.used;
  }
  const Resources& most = team->second.maximum;
  const auto within = [](std::int64_t value, std::int64_t limit) {
    return limit == 0 || value <= limit;
  };
  return within(used.cpu_milli, most.cpu_milli) &&
         within(used.memory_mb, most.memory_mb) &&
         within(used.accelerators, most.accelerators);
}

Round BeginRound(Cell& cell, Actions& actions, Time now) {
  Round round{cell, actions, now, {}, {}, 0};
  for (auto& [id, target] : cell.targets) {
    const TargetHealth& health = target.health;
    const bool probing =
        health.failures_in_row >= kFailuresToProbe && !target.runs.empty();
    if (target.reported && target.recorded && target.listed &&
        !target.entry.draining && !target.silent && target.unknown_runs == 0 &&
        now >= health.suspended_until && !probing) {
      round.by_id.emplace(id, round.slots.size());
      round.slots.push_back({&target});
    }
  }
  return round;
}

Slot* FindSlot(Round& round, const TargetId& id) {
  const auto found = round.by_id.find(id);
  return found == round.by_id.end() ? nullptr : &round.slots[found->second];
}

bool Suits(const Target& target, const Queue& queue, const StepSpec& step) {
  return target.entry.service == queue.service &&
         (step.label.empty() ||
          std::ranges::count(target.entry.labels, step.label) > 0);
}

Resources RoomFor(const Slot& slot, const Candidate& candidate) {
  Resources room = RoomOf(*slot.target);
  if (!candidate.Urgent()) {
    room -= slot.reserved;
  }
  return room;
}

std::uint32_t SlotsOn(const Target& target, const Resources& room,
                      const StepSpec& spec, const StepRef& ref) {
  const Resources need = ReservedBy(spec);
  std::int64_t slots = spec.count;
  const auto bound = [&](std::int64_t available, std::int64_t each) {
    if (each > 0) {
      slots = std::min(slots, std::max<std::int64_t>(0, available) / each);
    }
  };
  bound(room.cpu_milli, need.cpu_milli);
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
