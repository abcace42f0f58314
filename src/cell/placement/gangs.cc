// Gang scheduling: starts all tasks of a step or none, and reserves room for
// waiting gangs.
#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "src/cell/placement/isolation.h"

namespace buckthornmux::cell {
namespace {

/// Maximum number of gangs for which all freed resources are reserved. More
/// would leave too much of the cell idle.
constexpr int kMaxGangsReservingAll = 4;

/// Pause between two periods, in which other work may use the room.
constexpr Millis kHoldPause{1000};
/// A period counts as ended if no room was held for this time.
constexpr Millis kMaxHoldGap{1000};

/// A slot and the number of a gang's tasks that fit on it.
struct Place {
  Slot* slot;
  std::uint32_t count;         ///< Fit now.
  std::uint32_t possible = 0;  ///< Fit once all other ending work has ended.
};

std::uint32_t Total(const std::vector<Place>& places) {
  std::uint32_t total = 0;
  for (const Place& place : places) {
    total += place.count;
  }
  return total;
}

/// Assigns tasks to places, largest place first, up to `wanted` tasks.
/// @param cold_last whether places on cold targets come after all others
std::vector<Slot*> Fill(std::vector<Place> places, std::size_t wanted,
                        bool cold_last) {
  std::ranges::sort(places, [&](const Place& a, const Place& b) {
    const bool a_cold = cold_last && a.slot->target->entry.cold > Millis(0);
    const bool b_cold = cold_last && b.slot->target->entry.cold > Millis(0);
    return a_cold != b_cold ? b_cold : a.count > b.count;
  });
  std::vector<Slot*> chosen;
  for (const Place& place : places) {
    for (std::uint32_t i = 0; i < place.count && chosen.size() < wanted; ++i) {
      chosen.push_back(place.slot);
    }
  }
  return chosen;
}

/// Keeps only the places of one rack: the one with the most room among those
/// that could hold the whole gang. If no rack is large enough, all places are
/// kept, and the gang runs more slowly across several racks.
void RestrictToOneRack(std::vector<Place>& places, const Candidate& candidate) {
  const std::size_t wanted = candidate.step->tasks.Count();
  struct Rack {
    std::uint32_t possible = 0;
    std::uint32_t free = 0;
  };
  std::map<std::string, Rack> racks;
  for (const Place& place : places) {
    Rack& rack = racks[place.slot->target->rack];
    rack.possible += place.possible;
    rack.free += place.count;
  }
  const auto best = std::ranges::max_element(racks, {}, [&](const auto& entry) {
    const Rack& rack = entry.second;
    return std::pair(rack.possible >= wanted, rack.free);
  });
  if (best != racks.end() && best->second.possible >= wanted) {
    std::erase_if(places, [&](const Place& place) {
      return place.slot->target->rack != best->first;
    });
  }
}

/// Keeps the fastest places that hold a whole gang, which runs at the speed of
/// its slowest member.
void KeepFastest(std::vector<Place>& places, std::size_t wanted) {
  std::ranges::stable_sort(
      places, {}, [](const Place& place) { return place.slot->run_time; });
  /// Places that differ by less count as equally fast.
  constexpr double kTolerance = 1.05;
  std::uint32_t total = 0;
  double slowest = 0;
  std::erase_if(places, [&](const Place& place) {
    if (total >= wanted && place.slot->run_time > slowest * kTolerance) {
      return true;
    }
    slowest = total < wanted ? place.slot->run_time : slowest;
    total += place.count;
    return false;
  });
}

Place MakePlace(Slot& slot, const Candidate& candidate) {
  const Target& target = *slot.target;
  const StepSpec& spec = candidate.Spec();
  return {&slot, SlotsOn(target, RoomFor(slot, candidate), spec, candidate.ref),
          SlotsOn(target, RoomWithoutEndingRuns(slot), spec, candidate.ref)};
}

/// Returns a slot for each task of a gang, or an empty list.
std::vector<Slot*> ChooseForGang(Round& round, const Candidate& candidate,
                                 const Queue& queue, Sharing sharing) {
  const StepSpec& spec = candidate.Spec();
  const std::size_t wanted = candidate.step->tasks.Count();
  const Task* first = candidate.step->tasks.Find(0);
  std::vector<Place> places;
  for (Slot* slot : AllowedSlots(round, candidate, queue, sharing, first)) {
    if (MayUse(round, candidate, queue, first, *slot)) {
      places.push_back(MakePlace(*slot, candidate));
    }
  }
  if (spec.same_rack) {
    RestrictToOneRack(places, candidate);
  }
  const bool cold_last = round.cell.options.avoid_cold && candidate.Urgent();
  if (round.speeds_differ) {
    KeepFastest(places, wanted);
  }
  return Total(places) < wanted ? std::vector<Slot*>()
                                : Fill(std::move(places), wanted, cold_last);
}

Resources Times(const Resources& one, std::size_t count) {
  const auto n = static_cast<std::int64_t>(count);
  return {one.slots * n, one.cpu_milli * n, one.memory_mb * n,
          one.accelerators * n};
}

bool MayUseMoreForGang(Round& round, const Candidate& candidate) {
  return MayUseMore(round, candidate, LeastDemand(candidate.Spec()));
}

Resources SmallerOf(const Resources& left, const Resources& right) {
  return {std::min(left.slots, right.slots),
          std::min(left.cpu_milli, right.cpu_milli),
          std::min(left.memory_mb, right.memory_mb),
          std::min(left.accelerators, right.accelerators)};
}

/// Returns the places that a gang is known to be allowed on.
std::vector<Place> PlacesFor(Round& round, const Candidate& candidate,
                             const Queue& queue) {
  CountLook(round, candidate);
  const StepSpec& spec = candidate.Spec();
  std::vector<Place> places;
  const auto add = [&](Slot& slot) {
    places.push_back(MakePlace(slot, candidate));
  };
  if (queue.advice) {
    for (const TargetId& id : candidate.step->advice.usable) {
      Slot* slot = FindSlot(round, id);
      if (slot != nullptr && Suits(*slot->target, queue, spec)) {
        add(*slot);
      }
    }
  } else {
    for (const std::uint32_t place : Suited(round, queue, spec).places) {
      add(round.slots[place]);
    }
  }
  if (spec.same_rack) {
    RestrictToOneRack(places, candidate);
  }
  return places;
}

/// Predicts when a run of an ending task ends. A run that has exceeded its
/// estimate is expected to take as long again.
Time PredictEnd(const Cell& cell, const Run& run, Time now) {
  if (run.phase == RunPhase::kStopping) {
    return now + cell.options.stop_time;
  }
  if (const auto whole = EstimateRunTime(run, now)) {
    constexpr int kAllPercent = 100;
    return now + *whole * (kAllPercent - run.percent) / kAllPercent;
  }
  const Time began = run.phase == RunPhase::kSent ? run.sent : run.confirmed_at;
  const Time end = began + run.estimate;
  return end > now ? end : now + (now - began);
}

/// Predicts when all runs of a target have ended but its services.
Time PredictDrained(const Cell& cell, const Target& target, Time now) {
  Time drained = now;
  for (const auto& [id, run] : target.runs) {
    if (!run.service || run.phase == RunPhase::kStopping) {
      drained = std::max(drained, PredictEnd(cell, run, now));
    }
  }
  return drained;
}

/// Predicts when enough room for a gang is free if nothing else starts there.
Time PredictStart(const Round& round, const std::vector<Place>& places,
                  std::uint32_t wanted) {
  std::vector<std::pair<Time, std::uint32_t>> gains;
  gains.reserve(places.size());
  for (const Place& place : places) {
    if (place.possible > place.count) {
      gains.emplace_back(
          PredictDrained(round.cell, *place.slot->target, round.now),
          place.possible - place.count);
    }
  }
  std::ranges::sort(gains);
  std::uint32_t total = Total(places);
  Time start = round.now;
  for (const auto& [drained, gain] : gains) {
    if (total >= wanted) {
      break;
    }
    total += gain;
    start = drained;
  }
  return start;
}

/// Keeps the places that are expected to have room for a gang first. Holding
/// all places that it may use would leave many times its room idle.
void KeepEarliest(Round& round, std::vector<Place>& places,
                  std::uint32_t wanted) {
  /// Some runs take longer than expected.
  constexpr std::uint32_t kSpareDivisor = 2;
  const std::uint32_t enough = wanted + wanted / kSpareDivisor;
  std::vector<std::pair<Time, Place>> order;
  order.reserve(places.size());
  for (const Place& place : places) {
    order.emplace_back(
        place.count >= place.possible
            ? round.now
            : PredictDrained(round.cell, *place.slot->target, round.now),
        place);
  }
  std::ranges::stable_sort(
      order, [](const auto& a, const auto& b) { return a.first < b.first; });
  places.clear();
  std::uint32_t total = 0;
  for (const auto& [drained, place] : order) {
    if (total >= enough) {
      break;
    }
    total += place.possible;
    places.push_back(place);
  }
}

/// Logs that a gang can't get room until services end, or that this is over.
void NoteBlocked(Round& round, const Candidate& candidate,
                 const std::vector<Place>& places, bool has_room) {
  std::size_t if_empty = 0;
  for (const Place& place : places) {
    if (has_room) {
      break;
    }
    const Target& target = *place.slot->target;
    if_empty +=
        SlotsOn(target, target.entry.capacity, candidate.Spec(), candidate.ref);
  }
  const bool blocked = if_empty >= candidate.step->tasks.Count();
  GangHold& hold = candidate.step->hold;
  if (std::exchange(hold.blocked, blocked) != blocked) {
    Note(round.actions, blocked ? "gang_blocked" : "gang_unblocked",
         {{"job", candidate.ref.job},
          {"occurrence", std::to_string(candidate.ref.occurrence)},
          {"step", std::to_string(candidate.ref.step)},
          {"tasks", std::to_string(candidate.step->tasks.Count())},
          {"reason", "services hold the room"}});
  }
}

Suspicion SuspicionOf(const Candidate& candidate) {
  if (candidate.repeated_suspect) {
    return Suspicion::kRepeated;
  }
  return candidate.suspect ? Suspicion::kOnce : Suspicion::kNone;
}

/// Returns why a gang that found no place waits for its isolation; kNone if it
/// wouldn't have one without.
HoldReason ReasonToHold(Round& round, const Candidate& candidate,
                        const Queue& queue, Sharing sharing) {
  const bool isolated = candidate.suspect || !round.on_probation.empty();
  return isolated && sharing != Sharing::kAny &&
                 !ChooseForGang(round, candidate, queue, Sharing::kAny).empty()
             ? ReasonFor(sharing)
             : HoldReason::kNone;
}

/// Whether room may be held for a gang now. Neither wrong estimates nor an
/// adviser that doesn't answer may keep the room from other work for ever.
bool MayHold(Round& round, const Candidate& candidate, Time starts_at) {
  GangHold& hold = candidate.step->hold;
  const Time now = round.now;
  if (now < hold.paused_until) {
    return false;
  }
  const auto note = [&](std::string event, Millis lasts) {
    Note(round.actions, std::move(event),
         {{"job", candidate.ref.job},
          {"occurrence", std::to_string(candidate.ref.occurrence)},
          {"step", std::to_string(candidate.ref.step)},
          {"tasks", std::to_string(candidate.step->tasks.Count())},
          {"lasts_ms", std::to_string(lasts.count())},
          {"starts_in_ms", std::to_string((starts_at - now).count())}});
  };
  if (!HoldsRoom(*candidate.step, now)) {
    hold.since = now;
    // Waiting for anything but the end of other work isn't worth longer holds.
    const Millis first = round.cell.options.first_hold_limit;
    hold.limit = std::clamp(hold.limit, first, first + 2 * (starts_at - now));
    hold.expected_start = starts_at;
    note("gang_holds_room", hold.limit);
  }
  hold.held_at = now;
  if (now - hold.since < hold.limit) {
    return true;
  }
  note("gang_yields_room", kHoldPause);
  hold.since = Time();
  hold.limit *= 2;
  hold.paused_until = now + kHoldPause;
  return false;
}

}  // namespace

void StartGang(Round& round, const Candidate& candidate, const Queue& queue) {
  const Step& step = *candidate.step;
  if (step.live > 0 || round.starts_left == 0 ||
      !MayUseMoreForGang(round, candidate)) {
    return;
  }
  Hold& hold = candidate.step->crash_hold;
  const Task* first = step.tasks.Find(0);
  const Millis apart_for =
      first == nullptr ? Millis(0) : ApartFor(round.cell.options, *first);
  const Suspicion suspicion = SuspicionOf(candidate);
  const Millis held = HeldFor(hold, round.now);
  if (candidate.held_by != HoldReason::kNone &&
      MayWait(suspicion, apart_for, held)) {
    NoteHeld(round, candidate, nullptr, hold, candidate.held_by);
    return;
  }
  const Sharing sharing = SharingOf(suspicion, apart_for, held);
  if (candidate.suspect &&
      !AnyMayShare(round, candidate, queue, sharing, first)) {
    NoteHeld(round, candidate, nullptr, hold, ReasonFor(sharing));
    return;
  }
  const std::vector<Slot*> chosen =
      ChooseForGang(round, candidate, queue, sharing);
  if (chosen.empty()) {
    const HoldReason reason = ReasonToHold(round, candidate, queue, sharing);
    if (reason != HoldReason::kNone) {
      NoteHeld(round, candidate, nullptr, hold, reason);
    }
    return;
  }
  std::uint32_t number = step.tasks.FirstRun();
  for (const auto& [index, task] : step.tasks.Started()) {
    number = std::max(number, task.next_run);
  }
  for (std::uint32_t i = 0; i < step.tasks.Count(); ++i) {
    StartTask(round, candidate, i, number, *chosen[i]);
  }
  candidate.step->hold = {};
  candidate.step->wait = {};
}

bool HoldsRoom(const Step& step, Time now) {
  return step.hold.since != Time() && now - step.hold.held_at <= kMaxHoldGap;
}

bool EndsBeforeGangs(const Round& round, const Candidate& candidate) {
  const StepSpec& spec = candidate.Spec();
  const Millis lasts = spec.estimate + spec.estimate / kEstimateErrorDivisor;
  // A gang that can start soon isn't put at risk for wrong estimates.
  return !spec.service && spec.estimate > Millis(0) &&
         round.gangs_start_at != Time::max() &&
         round.gangs_start_at - round.now >
             round.cell.options.first_hold_limit &&
         round.now + lasts <= round.gangs_start_at;
}

/// Reserves room on targets that the gang is known to be allowed on. If the
/// whole gang fits, only what it needs is reserved; otherwise all that it could
/// use of these targets, so that enough room accumulates. Room that services
/// hold doesn't accumulate, so that nothing is reserved for a gang that needs
/// it.
void ReserveForGang(Round& round, const Candidate& candidate,
                    const Queue& queue) {
  if (!MayUseMoreForGang(round, candidate)) {
    return;
  }
  std::vector<Place> places = PlacesFor(round, candidate, queue);
  const std::uint32_t wanted = candidate.step->tasks.Count();
  std::uint32_t possible = 0;
  for (const Place& place : places) {
    possible += place.possible;
  }
  NoteBlocked(round, candidate, places, possible >= wanted);
  const bool covered = Total(places) >= wanted;
  if (possible < wanted ||
      (!covered && round.gangs_reserving_all >= kMaxGangsReservingAll)) {
    return;
  }
  const Time starts_at = PredictStart(round, places, wanted);
  if (!MayHold(round, candidate, starts_at)) {
    return;
  }
  round.gangs_reserving_all += covered ? 0 : 1;
  // Wrong estimates must not put the start off for ever.
  round.gangs_start_at = std::min(
      {round.gangs_start_at, starts_at, candidate.step->hold.expected_start});
  if (!covered && round.overload_control) {
    KeepEarliest(round, places, wanted);
  }
  std::ranges::sort(places, std::ranges::greater{}, &Place::count);
  const Resources need = ReservedBy(candidate.Spec());
  std::uint32_t reserved = 0;
  for (const Place& place : places) {
    Resources& held = place.slot->reserved;
    if (!covered) {
      held += Times(need, place.possible);
      held = SmallerOf(held, place.slot->room);
    } else if (reserved < wanted) {
      const std::uint32_t count = std::min(place.count, wanted - reserved);
      held += Times(need, count);
      reserved += count;
    }
  }
}

}  // namespace buckthornmux::cell
