// Gangs: all tasks of a step at once or none, and the room they wait for.
#include <algorithm>
#include <map>

#include "round.h"

namespace buckthornmux::cell {
namespace {

/// Gangs for which all room is kept that becomes free. More would leave too
/// much of the cell idle.
constexpr int kMostGathering = 4;

/// Where some tasks of a gang could be placed.
struct Place {
  Slot* slot;
  std::uint32_t count;
};

std::uint32_t Total(const std::vector<Place>& places) {
  std::uint32_t total = 0;
  for (const Place& place : places) {
    total += place.count;
  }
  return total;
}

/// Targets for all tasks of a gang, or nothing.
std::vector<Target*> ChooseForGang(Round& round, const Candidate& candidate,
                                   const Queue& queue) {
  const StepSpec& spec = candidate.Spec();
  const std::size_t wanted = candidate.step->tasks.size();
  std::map<std::string, std::vector<Place>> racks;
  ForEachAllowed(round, queue, *candidate.step, [&](Slot& slot) {
    if (!MayUse(round, candidate, queue, candidate.step->tasks[0], slot)) {
      return;
    }
    const std::uint32_t count =
        SlotsOn(*slot.target, RoomFor(slot, candidate), spec, candidate.ref);
    if (count > 0) {
      racks[spec.same_rack ? slot.target->rack : std::string()].push_back(
          {&slot, count});
    }
  });
  for (auto& [rack, places] : racks) {
    if (Total(places) < wanted) {
      continue;
    }
    std::ranges::sort(places, std::ranges::greater{}, &Place::count);
    std::vector<Target*> chosen;
    for (const Place& place : places) {
      for (std::uint32_t i = 0; i < place.count && chosen.size() < wanted;
           ++i) {
        chosen.push_back(place.slot->target);
      }
    }
    return chosen;
  }
  return {};
}

Resources Times(const Resources& one, std::size_t count) {
  const auto n = static_cast<std::int64_t>(count);
  return {one.slots * n, one.cpu_milli * n, one.memory_mb * n,
          one.accelerators * n};
}

bool TeamAllowsGang(const Round& round, const Candidate& candidate) {
  return TeamAllows(
      round.cell, candidate.job->spec.team,
      Times(ReservedBy(candidate.Spec()), candidate.step->tasks.size()));
}

}  // namespace

void StartGang(Round& round, const Candidate& candidate, const Queue& queue) {
  const Step& step = *candidate.step;
  if (step.live > 0 || !TeamAllowsGang(round, candidate)) {
    return;
  }
  const std::vector<Target*> chosen = ChooseForGang(round, candidate, queue);
  if (chosen.empty()) {
    return;
  }
  std::uint32_t number = 1;
  for (const Task& task : step.tasks) {
    number = std::max(number, task.next_run);
  }
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i) {
    StartTask(round, candidate, i, number, *chosen[i]);
  }
}

/// Reserves on targets that the gang surely may use. Where there is room for
/// all of it, that much; else all room there, so that it gathers.
void ReserveForGang(Round& round, const Candidate& candidate,
                    const Queue& queue) {
  const StepSpec& spec = candidate.Spec();
  if (!TeamAllowsGang(round, candidate)) {
    return;
  }
  const AdviceState& advice = candidate.step->advice;
  std::vector<Place> places;
  std::uint32_t possible = 0;
  for (Slot& slot : round.slots) {
    const Target& target = *slot.target;
    if (!Suits(target, queue, spec) ||
        (queue.advice && !advice.usable.contains(target.entry.id))) {
      continue;
    }
    possible += SlotsOn(target, target.entry.capacity, spec, candidate.ref);
    const std::uint32_t count =
        SlotsOn(target, RoomFor(slot, candidate), spec, candidate.ref);
    places.push_back({&slot, count});
  }
  const auto wanted = static_cast<std::uint32_t>(candidate.step->tasks.size());
  const bool covered = Total(places) >= wanted;
  if (possible < wanted ||
      (!covered && round.gangs_waiting >= kMostGathering)) {
    return;
  }
  round.gangs_waiting += covered ? 0 : 1;
  std::ranges::sort(places, std::ranges::greater{}, &Place::count);
  std::uint32_t reserved = 0;
  for (const Place& place : places) {
    if (!covered) {
      place.slot->reserved = RoomOf(*place.slot->target);
    } else if (reserved < wanted) {
      const std::uint32_t count = std::min(place.count, wanted - reserved);
      place.slot->reserved += Times(ReservedBy(spec), count);
      reserved += count;
    }
  }
}

}  // namespace buckthornmux::cell
