#include "src/cell/placement/gang_waits.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>

namespace buckthornmux::cell {
namespace {

constexpr Millis kLookInterval{1000};
/// Gangs looked at each time, those that have waited longest; each takes a pass
/// over all targets.
constexpr std::size_t kMaxLooks = 20;
constexpr std::size_t kMaxLines = 5;
/// A wait of usual length, of which no line is logged.
constexpr Millis kUsualWait{1000};

/// Tasks of a gang that fit into the room of this moment.
struct GangRoom {
  double expected = 0;       ///< On all targets that may turn out to be usable.
  std::uint32_t usable = 0;  ///< On those known to be.
  std::uint32_t ticketed = 0;  ///< On those with a ticket.
  std::uint32_t unreserved =
      0;  ///< Part of `ticketed` that isn't held for others.
};

GangRoom RoomForGang(Round& round, const Candidate& candidate) {
  const StepSpec& spec = candidate.Spec();
  const Queue& queue = *candidate.queue;
  const AdviceState& advice = candidate.step->advice;
  const double good_rate =
      queue.advice ? round.cell.advice_stats[queue.name].good_rate : 1;
  GangRoom gang;
  for (const std::uint32_t place : Suited(round, queue, spec).places) {
    const Slot& slot = round.slots[place];
    const Target& target = *slot.target;
    const TargetId& id = target.entry.id;
    if (advice.unusable.contains(id)) {
      continue;
    }
    const std::uint32_t count = SlotsOn(target, slot.room, spec, candidate.ref);
    const bool usable = !queue.advice || advice.usable.contains(id);
    gang.expected += count * (usable ? 1.0 : good_rate);
    gang.usable += usable ? count : 0;
    const auto ticket = advice.tickets.find(id);
    if (!queue.advice ||
        (ticket != advice.tickets.end() && ticket->second.until > round.now &&
         ticket->second.life == target.entry.life)) {
      gang.ticketed += count;
      gang.unreserved +=
          SlotsOn(target, RoomFor(slot, candidate), spec, candidate.ref);
    }
  }
  return gang;
}

std::string_view ReasonOf(Round& round, const Candidate& candidate,
                          const GangRoom& gang) {
  const std::size_t tasks = candidate.step->tasks.Count();
  if (candidate.held_by != HoldReason::kNone || candidate.suspect) {
    return "isolation";
  }
  if (gang.ticketed >= tasks) {
    return gang.unreserved >= tasks ? "not planned" : "room held for others";
  }
  if (!candidate.step->advice.asks.empty()) {
    return "advice";
  }
  if (!candidate.may_ask) {
    return "turn at the adviser";
  }
  return HasFreeLane(round, candidate.queue->advice->decide) ? "tickets"
                                                             : "lane";
}

/// The field isn't named `job`, since lines of jobs are the first to be
/// dropped.
void Log(Round& round, const Candidate& candidate, const GangRoom& gang) {
  const Step& step = *candidate.step;
  const std::vector<std::uint64_t>& asks = step.advice.asks;
  const auto open = asks.empty() ? round.cell.open_advice.end()
                                 : round.cell.open_advice.find(asks.front());
  const bool asking = open != round.cell.open_advice.end();
  constexpr std::int64_t kAllPercent = 100;
  const std::int64_t capacity =
      std::max<std::int64_t>(1, round.cell.capacity_cpu);
  Note(round.actions, "gang_waits",
       {{"gang", candidate.ref.job + "." +
                     std::to_string(candidate.ref.occurrence) + "." +
                     std::to_string(candidate.ref.step)},
        {"tasks", std::to_string(step.tasks.Count())},
        {"ready_ms", std::to_string((round.now - step.ready_at).count())},
        {"beside_room_ms",
         std::to_string((round.now - *step.wait.since).count())},
        {"reason", std::string(ReasonOf(round, candidate, gang))},
        {"through", asking ? open->second.lane : "none"},
        {"asked_ms_ago",
         std::to_string(asking ? (round.now - open->second.sent).count() : 0)},
        {"takes_ms", std::to_string(asking ? open->second.takes.count() : 0)},
        {"open_calls", std::to_string(asks.size())},
        {"calls", std::to_string(step.wait.calls)},
        {"unanswered", std::to_string(step.wait.unanswered)},
        {"expected", std::to_string(std::lround(gang.expected))},
        {"usable", std::to_string(gang.usable)},
        {"ticketed", std::to_string(gang.ticketed)},
        {"free_percent",
         std::to_string(round.cell.free_cpu * kAllPercent / capacity)}});
}

}  // namespace

GangWaits GangWaitsAt(const Cell& cell, Time now) {
  const bool current = now - cell.gang_waits.looked_at < 2 * kLookInterval;
  return current ? cell.gang_waits : GangWaits{};
}

void NoteGangWaits(Round& round, const std::vector<Candidate>& candidates) {
  GangWaits& waits = round.cell.gang_waits;
  if (round.now - waits.looked_at < kLookInterval) {
    return;
  }
  waits = {round.now};
  std::vector<const Candidate*> gangs;
  for (const Candidate& candidate : candidates) {
    if (candidate.Spec().gang && candidate.step->live == 0 &&
        round.cell.ready.contains(candidate.ref)) {
      gangs.push_back(&candidate);
    }
  }
  std::ranges::sort(gangs, {},
                    [](const Candidate* gang) { return gang->step->ready_at; });
  gangs.resize(std::min(gangs.size(), kMaxLooks));
  std::size_t lines = 0;
  for (const Candidate* candidate : gangs) {
    GangWait& wait = candidate->step->wait;
    const GangRoom gang = RoomForGang(round, *candidate);
    const auto tasks = static_cast<double>(candidate->step->tasks.Count());
    if (gang.expected < tasks ||
        !MayUseMore(round, *candidate, LeastDemand(candidate->Spec()))) {
      wait.since.reset();
      continue;
    }
    // Gangs at their team's limit, for example, aren't among the candidates.
    if (!wait.since || round.now - wait.seen_at >= 2 * kLookInterval) {
      wait.since = round.now;
    }
    wait.seen_at = round.now;
    ++waits.count;
    const Millis waited = round.now - *wait.since;
    waits.longest = std::max(waits.longest, waited);
    if (waited >= kUsualWait && lines < kMaxLines) {
      ++lines;
      Log(round, *candidate, gang);
    }
  }
}

}  // namespace buckthornmux::cell
