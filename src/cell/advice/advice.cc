#include <algorithm>
#include <cmath>

#include "src/cell/admission/queues.h"
#include "src/cell/placement/round.h"

namespace buckthornmux::cell {
namespace {

/// Calls longer than this leave kLanesForShorterCalls lanes free for shorter
/// calls, or half of all lanes if there are few.
constexpr Millis kLongCallThreshold{150};
constexpr std::ptrdiff_t kLanesForShorterCalls = 2;
/// Calls longer than this leave one lane free for shorter calls.
constexpr Millis kMediumCallThreshold{30};
/// Maximum time that a call waits at the adviser, about one network round trip.
constexpr Millis kMaxAdviserQueueTime{12};
constexpr int kMaxOpenCallsPerLane = 4;  ///< The adviser queues 32 per host.
/// Maximum number of targets that one call may name.
constexpr std::size_t kMaxNamedTargets = 100;
constexpr double kGoodRateSmoothingFactor = 0.1;
constexpr double kMinGoodRate = 0.1;
/// Targets are named until the tasks expected to fit on the allowed ones reach
/// this multiple of the waiting tasks.
constexpr double kNamesFactor = 1.25;
/// Replaces kNamesFactor for gangs that don't fit on their usable targets,
/// since one target too few costs another call.
constexpr double kGangNamesFactor = 2.0;
constexpr double kMinEachMs = 0.01;  ///< Avoids a division by zero.
/// Pause of a lane after a lost call; doubled with each further one in a row.
constexpr Millis kLaneFailureDelay{500};
constexpr Millis kMaxLaneFailureDelay{4000};
/// Open queries of a gang that has waited for longer than
/// Options::gang_advice_patience.
constexpr std::size_t kMaxGangCalls = 4;

Millis CallTime(const AdviceRules& rules, std::size_t named) {
  return rules.decide +
         Millis(std::llround(rules.each_ms * static_cast<double>(named)));
}

/// Counts the lanes with an open call longer than `length`.
std::ptrdiff_t CountLanesAbove(const Round& round, Millis length) {
  return std::ranges::count_if(round.lane_call_times,
                               [&](Millis takes) { return takes > length; });
}

/// Lanes that long calls leave free for shorter ones.
std::ptrdiff_t LanesForUrgentCalls(const Round& round) {
  if (!round.overload_control) {
    return kLanesForShorterCalls;
  }
  constexpr double kMillisPerSecond = 1000;
  const double work = static_cast<double>(PerSecond(round.cell.urgent_advice)) /
                      kMillisPerSecond;
  return LanesForUrgent(work,
                        static_cast<std::ptrdiff_t>(round.cell.lanes.size()),
                        kLanesForShorterCalls);
}

Millis PauseAfter(int lost) {
  Millis pause = kLaneFailureDelay;
  for (int i = 1; i < lost && pause < kMaxLaneFailureDelay; ++i) {
    pause *= 2;
  }
  return std::min(pause, kMaxLaneFailureDelay);
}

/// Finds a lane that can answer a call of this length soon, or null. Calls are
/// sent slightly before the adviser is free, so that it is never idle. A lane
/// that has lost its last call, and is idle for that reason, comes last.
AdviceLane* FreeLane(Round& round, Millis time) {
  Cell& cell = round.cell;
  const Time now = round.now;
  const auto count = static_cast<std::ptrdiff_t>(cell.lanes.size());
  const std::ptrdiff_t urgent_lanes = LanesForUrgentCalls(round);
  const std::ptrdiff_t long_lanes = std::max(count / 2, count - urgent_lanes);
  const std::ptrdiff_t medium_lanes =
      round.overload_control ? long_lanes : count - 1;
  if (count > 1 &&
      ((time > kLongCallThreshold &&
        CountLanesAbove(round, kLongCallThreshold) >= long_lanes) ||
       (time > kMediumCallThreshold &&
        CountLanesAbove(round, kMediumCallThreshold) >= medium_lanes))) {
    return nullptr;
  }
  const auto order = [](const AdviceLane& lane) {
    return std::pair(lane.lost > 0, lane.free_at);
  };
  AdviceLane* best = nullptr;
  for (AdviceLane& lane : cell.lanes) {
    if (now >= lane.not_before && lane.open < kMaxOpenCallsPerLane &&
        lane.free_at <= now + kMaxAdviserQueueTime &&
        (best == nullptr || order(lane) < order(*best))) {
      best = &lane;
    }
  }
  return best;
}

/// A target without a ticket that could take tasks of the step.
struct Option {
  const Target* target;
  std::uint32_t count;  ///< Tasks that fit on it now.
  bool usable;          ///< The adviser has allowed it before.
  double left;          ///< Free fraction of its CPU.
  double run_time;      ///< Relative to other targets.
};

/// Targets and capacity available to a step.
struct PlacementEstimate {
  std::vector<Option> options;
  std::uint32_t ticketed = 0;  ///< Tasks that fit on targets with tickets.
  std::uint32_t usable = 0;    ///< Tasks that fit on usable targets.
  /// Expected number of tasks that fit on targets named in open queries; 0 for
  /// a step whose queries get lost.
  double asked = 0;
  /// Expected number of a gang's tasks that would fit if all targets were
  /// empty.
  double possible = 0;
};

/// Cursor over a sorted container for lookups in ascending order.
template <class Sorted>
class SortedCursor {
 public:
  explicit SortedCursor(const Sorted& sorted)
      : m_next(sorted.begin()), m_end(sorted.end()) {}

  /// Finds an entry. Each `id` must be greater than the previous one.
  auto Find(const TargetId& id) {
    while (m_next != m_end) {
      const int order = NameOf(*m_next).compare(id);
      if (order == 0) {
        return m_next;
      }
      if (order > 0) {
        break;
      }
      ++m_next;
    }
    return m_end;
  }
  bool Contains(const TargetId& id) { return Find(id) != m_end; }
  [[nodiscard]] auto End() const { return m_end; }

 private:
  static const TargetId& NameOf(const TargetId& id) { return id; }
  template <class Value>
  static const TargetId& NameOf(const std::pair<const TargetId, Value>& e) {
    return e.first;
  }

  typename Sorted::const_iterator m_next;
  typename Sorted::const_iterator m_end;
};

/// Targets that the open queries of a step name, in ascending order; without
/// those whose answer is late, since it may be lost.
std::set<TargetId> NamedInOpenCalls(const Cell& cell, const AdviceState& advice,
                                    Time now) {
  constexpr Millis kLate{150};
  std::set<TargetId> named;
  for (const std::uint64_t ask : advice.asks) {
    if (const auto open = cell.open_advice.find(ask);
        open != cell.open_advice.end() &&
        now <= open->second.sent + open->second.takes + kLate) {
      named.insert(open->second.named.begin(), open->second.named.end());
    }
  }
  return named;
}

PlacementEstimate EstimatePlacement(Round& round, const Candidate& candidate,
                                    const Queue& queue, double good_rate) {
  CountLook(round, candidate);
  const StepSpec& spec = candidate.Spec();
  const AdviceState& advice = candidate.step->advice;
  const Resources need = ReservedBy(spec);
  PlacementEstimate placement;
  SortedCursor unusables(advice.unusable);
  SortedCursor usables(advice.usable);
  SortedCursor tickets(advice.tickets);
  const std::set<TargetId> named =
      NamedInOpenCalls(round.cell, advice, round.now);
  SortedCursor asked(named);
  const bool losing_answers = candidate.step->wait.unanswered > 0;
  const std::vector<std::uint32_t>& suited = Suited(round, queue, spec).places;
  placement.options.reserve(suited.size());
  for (const std::uint32_t place : suited) {
    const Slot& slot = round.slots[place];
    const Target& target = *slot.target;
    const TargetId& id = target.entry.id;
    if (unusables.Contains(id)) {
      continue;
    }
    const bool in_open_call = asked.Contains(id);
    const bool usable = usables.Contains(id);
    if (spec.gang) {
      placement.possible +=
          SlotsOn(target, RoomWithoutEndingRuns(slot), spec, candidate.ref) *
          (usable ? 1.0 : good_rate);
    }
    const Resources room = RoomFor(slot, candidate);
    const std::uint32_t count =
        HoldsOne(room, need) ? SlotsOn(target, room, spec, candidate.ref) : 0;
    placement.usable += usable ? count : 0;
    const auto ticket = tickets.Find(id);
    if (ticket != tickets.End() && ticket->second.until > round.now &&
        ticket->second.life == target.entry.life) {
      placement.ticketed += count;
      continue;
    }
    if (in_open_call) {
      placement.asked +=
          losing_answers ? 0 : count * (usable ? 1.0 : good_rate);
      continue;
    }
    const double left = static_cast<double>(room.cpu_milli) /
                        static_cast<double>(std::max<std::int64_t>(
                            1, target.entry.capacity.cpu_milli));
    placement.options.push_back({&target, count, usable, left, slot.run_time});
  }
  return placement;
}

/// Names the first options until the expected number of tasks that can be
/// placed on them reaches `wanted`.
std::vector<TargetId> NameFor(const std::vector<Option>& options, double wanted,
                              double good_rate) {
  std::vector<TargetId> names;
  double expected = 0;
  for (const Option& option : options) {
    if (expected >= wanted || names.size() >= kMaxNamedTargets) {
      break;
    }
    names.push_back(option.target->entry.id);
    expected += option.count * (option.usable ? 1.0 : good_rate);
  }
  return names;
}

/// Number of names for which a call takes little longer than for one.
std::size_t CheapNames(const AdviceRules& rules) {
  constexpr double kFixedTimePart = 3;
  return static_cast<std::size_t>(static_cast<double>(rules.decide.count()) /
                                  kFixedTimePart /
                                  std::max(rules.each_ms, kMinEachMs));
}

/// Names further options, in their order, until `count` are named.
void AddNames(std::vector<TargetId>& names, const std::vector<Option>& options,
              std::size_t count) {
  const std::size_t most = std::min({count, options.size(), kMaxNamedTargets});
  for (std::size_t i = names.size(); i < most; ++i) {
    names.push_back(options[i].target->entry.id);
  }
}

/// Chooses targets for single tasks: those with room, fullest first, which
/// reduces fragmentation. If not all tasks fit, full targets are named as well,
/// as long as the time for all names doesn't exceed the fixed time of the call.
/// This way they are queried once per ticket lifetime and not whenever some
/// room becomes free.
std::vector<TargetId> ChooseNames(std::vector<Option> options,
                                  std::uint32_t waiting, double good_rate,
                                  const AdviceRules& rules) {
  std::ranges::sort(options, [](const Option& a, const Option& b) {
    if ((a.count > 0) != (b.count > 0)) {
      return a.count > 0;
    }
    return a.usable != b.usable ? a.usable : a.left < b.left;
  });
  const auto with_room = static_cast<std::size_t>(std::ranges::count_if(
      options, [](const auto& o) { return o.count > 0; }));
  if (with_room == 0) {
    return {};
  }
  for (Option& option : options) {
    option.count = std::min(option.count, waiting);
  }
  std::vector<TargetId> names =
      NameFor(options, waiting * kNamesFactor, good_rate);
  const double most = static_cast<double>(rules.decide.count()) /
                      std::max(rules.each_ms, kMinEachMs);
  const std::size_t longest =
      std::max(with_room, static_cast<std::size_t>(most));
  names.resize(std::min(names.size(), longest));
  return names;
}

/// Chooses targets for gangs. If the usable targets have room for the whole
/// gang, only as many of them as needed are named; otherwise targets that the
/// adviser has not been asked about are named as well.
std::vector<TargetId> ChooseGangNames(const PlacementEstimate& placement,
                                      std::uint32_t waiting, double good_rate,
                                      const AdviceRules& rules) {
  std::vector<Option> options = placement.options;
  const bool room = placement.usable >= waiting;
  std::erase_if(options, [&](const Option& option) {
    return option.usable ? option.count == 0 : room;
  });
  const bool unknown =
      std::ranges::any_of(options, [](const auto& o) { return !o.usable; });
  if ((!room && !unknown) || placement.possible < waiting) {
    return {};
  }
  std::ranges::sort(options, [](const Option& a, const Option& b) {
    if (a.usable != b.usable) {
      return a.usable;
    }
    return a.count != b.count ? a.count > b.count : a.left > b.left;
  });
  const double wanted = (waiting - placement.ticketed) *
                            (room ? kNamesFactor : kGangNamesFactor) -
                        placement.asked;
  if (wanted <= 0) {
    return {};
  }
  std::vector<TargetId> names = NameFor(options, wanted, good_rate);
  // Others take room of targets with a ticket meanwhile. A query for the one
  // target that is missing would be followed by another, and so on.
  AddNames(names, options, CheapNames(rules));
  return names;
}

/// Whether a suitable target with room lacks a ticket. Single tasks query the
/// adviser only in this case.
bool AnyTicketUseful(Round& round, const Candidate& candidate,
                     const Queue& queue) {
  if (!AnyHasRoom(round, candidate, queue)) {
    return false;
  }
  CountLook(round, candidate);
  const StepSpec& spec = candidate.Spec();
  const Resources need = ReservedBy(spec);
  const AdviceState& advice = candidate.step->advice;
  const auto lacks_ticket = [&](std::uint32_t place) {
    const Slot& slot = round.slots[place];
    const Target& target = *slot.target;
    const Resources room = RoomFor(slot, candidate);
    if (!HoldsOne(room, need) ||
        SlotsOn(target, room, spec, candidate.ref) == 0 ||
        advice.unusable.contains(target.entry.id)) {
      return false;
    }
    const auto ticket = advice.tickets.find(target.entry.id);
    return ticket == advice.tickets.end() ||
           ticket->second.until <= round.now ||
           ticket->second.life != target.entry.life;
  };
  return std::ranges::any_of(Suited(round, queue, spec).places, lacks_ticket);
}

/// Chooses targets for urgent single tasks: fast ones with room first, then
/// those with the most room. The time for more names than needed is short
/// compared with that of the call.
std::vector<TargetId> ChooseUrgentNames(std::vector<Option> options,
                                        std::uint32_t waiting, double good_rate,
                                        const AdviceRules& rules) {
  std::ranges::sort(options, [](const Option& a, const Option& b) {
    if ((a.count > 0) != (b.count > 0)) {
      return a.count > 0;
    }
    if (a.count > 0) {
      return a.run_time < b.run_time;
    }
    return a.left > b.left;
  });
  for (Option& option : options) {
    option.count = std::min(option.count, waiting);
  }
  std::vector<TargetId> names =
      NameFor(options, waiting * kNamesFactor, good_rate);
  const std::size_t cheap = CheapNames(rules);
  AddNames(names, options, cheap);
  names.resize(std::min(names.size(), std::max<std::size_t>(1, cheap)));
  return names;
}

std::vector<TargetId> NamesFor(const PlacementEstimate& placement,
                               const Candidate& candidate, const Queue& queue,
                               bool overload_control, double rate) {
  const Step& step = *candidate.step;
  const std::uint32_t waiting = candidate.Spec().count - step.done - step.live;
  if (candidate.Spec().gang) {
    return ChooseGangNames(placement, waiting, rate, *queue.advice);
  }
  if (overload_control && candidate.Urgent()) {
    return ChooseUrgentNames(placement.options, waiting, rate, *queue.advice);
  }
  return ChooseNames(placement.options, waiting, rate, *queue.advice);
}

void DropOldTickets(AdviceState& advice, Time now) {
  std::erase_if(advice.tickets,
                [&](const auto& entry) { return entry.second.until <= now; });
}

/// Queries of a step that may be open at a time.
std::size_t MaxOpenCalls(const Round& round, const Candidate& candidate) {
  const std::optional<Time>& since = candidate.step->wait.since;
  return since && round.now - *since > round.cell.options.gang_advice_patience
             ? kMaxGangCalls
             : 1;
}

}  // namespace

bool MayAskAhead(const Round& round, const Candidate& candidate) {
  /// Enough for room to come free on one of them soon.
  constexpr std::size_t kTicketsAhead = 8;
  const AdviceState& advice = candidate.step->advice;
  return round.overload_control && candidate.Urgent() && advice.asks.empty() &&
         candidate.queue->advice && advice.tickets.size() < kTicketsAhead;
}

bool HasFreeLane(Round& round, Millis time) {
  return FreeLane(round, time) != nullptr;
}

void SetLanes(Cell& cell, std::span<const HostId> hosts) {
  std::erase_if(cell.lanes, [&](const AdviceLane& lane) {
    return std::ranges::count(hosts, lane.host) == 0;
  });
  for (const HostId& host : hosts) {
    if (std::ranges::count(cell.lanes, host, &AdviceLane::host) == 0) {
      cell.lanes.push_back({host});
      cell.plan_due = true;
    }
  }
}

void AskAdviceIfUseful(Round& round, const Candidate& candidate,
                       const Queue& queue) {
  Cell& cell = round.cell;
  const Time now = round.now;
  const StepRef& ref = candidate.ref;
  const Step& step = *candidate.step;
  AdviceState& advice = candidate.step->advice;
  if (advice.asks.size() >= MaxOpenCalls(round, candidate) ||
      now < advice.next_ask ||
      FreeLane(round, queue.advice->decide) == nullptr) {
    return;
  }
  DropOldTickets(advice, now);
  const StepSpec& spec = candidate.Spec();
  if (!MayUseMore(round, candidate, spec.demand)) {
    return;
  }
  if (!spec.gang && !AnyTicketUseful(round, candidate, queue) &&
      !MayAskAhead(round, candidate)) {
    return;
  }
  const std::uint32_t waiting = spec.count - step.done - step.live;
  const double rate =
      std::max(kMinGoodRate, cell.advice_stats[queue.name].good_rate);
  const PlacementEstimate placement =
      EstimatePlacement(round, candidate, queue, rate);
  // A gang that fits on its ticketed targets is blocked by something else.
  if (spec.gang && placement.ticketed >= waiting) {
    return;
  }
  std::vector<TargetId> names =
      NamesFor(placement, candidate, queue, round.overload_control, rate);
  if (names.empty()) {
    return;
  }
  const Millis time = CallTime(*queue.advice, names.size());
  AdviceLane* lane = FreeLane(round, time);
  if (lane == nullptr) {
    return;
  }
  lane->free_at = std::max(lane->free_at, now) + time;
  ++lane->open;
  Millis& takes = round.lane_call_times[static_cast<std::size_t>(
      std::distance(cell.lanes.data(), lane))];
  takes = std::max(takes, time);
  if (candidate.Urgent()) {
    AddAmount(cell.urgent_advice, time.count(), now);
  }
  const std::uint64_t ask = cell.next_ask++;
  advice.asks.push_back(ask);
  ++candidate.step->wait.calls;
  const Millis timeout = time + cell.options.advice_timeout;
  cell.open_advice.emplace(
      ask, OpenAdvice{ref, lane->host, now, now + timeout + Millis(100), time,
                      names});
  Note(round.actions, "advice_asked",
       {{"job", ref.job},
        {"step", std::to_string(ref.step)},
        {"through", lane->host},
        {"named", std::to_string(names.size())},
        {"waiting", std::to_string(waiting)}});
  round.actions.emplace_back(
      AskAdvice{ask, lane->host, ref, std::move(names), timeout});
}

void OnAdviceAnswered(Cell& cell, Actions& actions, std::uint64_t ask,
                      bool answered, std::span<const Ticket> tickets,
                      Time now) {
  const auto found = cell.open_advice.find(ask);
  if (found == cell.open_advice.end()) {
    return;
  }
  const OpenAdvice open = std::move(found->second);
  cell.open_advice.erase(found);
  const auto lane = std::ranges::find(cell.lanes, open.lane, &AdviceLane::host);
  if (lane != cell.lanes.end()) {
    if (--lane->open == 0) {
      lane->free_at = now;
    }
    lane->lost = answered ? 0 : lane->lost + 1;
    if (!answered) {
      lane->not_before = now + PauseAfter(lane->lost);
    }
  }
  cell.plan_due = true;
  Note(actions, "advice_answered",
       {{"job", open.step.job},
        {"step", std::to_string(open.step.step)},
        {"through", open.lane},
        {"answered", answered ? "true" : "false"},
        {"usable", std::to_string(tickets.size())},
        {"took_ms", std::to_string((now - open.sent).count())}});
  Job* job = FindJob(cell, open.step.job);
  Step* step = job == nullptr
                   ? nullptr
                   : FindStep(*job, open.step.occurrence, open.step.step);
  if (step == nullptr) {
    return;
  }
  AdviceState& advice = step->advice;
  std::erase(advice.asks, ask);
  const Queue* queue = QueueOf(cell, *job);
  if (queue == nullptr || !queue->advice) {
    return;
  }
  if (!answered) {
    ++step->wait.unanswered;
    return;
  }
  for (const TargetId& id : open.named) {
    if (!advice.usable.contains(id)) {
      advice.unusable.insert(id);
    }
  }
  for (const Ticket& ticket : tickets) {
    const Target* target = FindTarget(cell, ticket.target);
    if (target == nullptr) {
      continue;
    }
    advice.unusable.erase(ticket.target);
    advice.usable.insert(ticket.target);
    if (IsEvacuated(cell, *target)) {
      continue;  // The evacuation began while the call was open.
    }
    advice.tickets[ticket.target] = {
        ticket.text, now + queue->advice->valid - cell.options.ticket_margin,
        target->entry.life};
  }
  AdviceStats& stats = cell.advice_stats[queue->name];
  const double good = open.named.empty()
                          ? stats.good_rate
                          : static_cast<double>(tickets.size()) /
                                static_cast<double>(open.named.size());
  stats.good_rate += kGoodRateSmoothingFactor * (good - stats.good_rate);
  if (tickets.empty()) {
    advice.next_ask = now + Millis(5);
  }
}

}  // namespace buckthornmux::cell
