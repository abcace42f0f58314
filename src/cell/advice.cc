#include <algorithm>
#include <cmath>

#include "round.h"

namespace buckthornmux::cell {
namespace {

/// Calls longer than this leave half of the lanes to shorter ones...
constexpr Millis kLongCall{150};
/// ...and those longer than this leave one lane.
constexpr Millis kMediumCall{30};
/// Most targets that one call may name.
constexpr std::size_t kMostNamed = 100;
constexpr double kGoodRateWeight = 0.1;  ///< Of one answer in the average.
constexpr double kLeastGoodRate = 0.1;
constexpr double kSpareNames = 1.25;  ///< Named beyond what the rate demands.
/// For gangs, where one target too few costs another call.
constexpr double kSpareGangNames = 2.0;
constexpr Millis kLaneFailurePause{500};

Millis CallTime(const AdviceRules& rules, std::size_t named) {
  return rules.decide +
         Millis(std::llround(rules.each_ms * static_cast<double>(named)));
}

/// A free lane for a call that takes this long; null where it has to wait.
AdviceLane* FreeLane(Cell& cell, Millis time, Time now) {
  const auto count = static_cast<std::ptrdiff_t>(cell.lanes.size());
  const auto of_length = [&](Millis length) {
    return std::ranges::count_if(cell.lanes, [&](const AdviceLane& lane) {
      return lane.busy && (length <= kMediumCall || lane.long_call);
    });
  };
  if (time > kLongCall && count > 1 && of_length(kLongCall) >= count / 2) {
    return nullptr;
  }
  const auto busy = std::ranges::count(cell.lanes, true, &AdviceLane::busy);
  if (time > kMediumCall && count > 1 && busy >= count - 1) {
    return nullptr;
  }
  const auto lane = std::ranges::find_if(cell.lanes, [&](const auto& entry) {
    return !entry.busy && now >= entry.not_before;
  });
  return lane == cell.lanes.end() ? nullptr : &*lane;
}

/// A target that could take tasks of the step, and how many.
struct Option {
  const Target* target;
  std::uint32_t slots;
  bool usable;  ///< Known to be allowed.
  double left;  ///< Part of its processor that stays free.
};

/// What a step could be placed on.
struct Prospects {
  std::vector<Option> options;  ///< Without a ticket.
  std::uint32_t ticketed = 0;   ///< Tasks that fit where there is a ticket.
};

Prospects FindProspects(const Round& round, const StepRef& ref, const Job& job,
                        const Step& step, const Queue& queue) {
  const StepSpec& spec = job.spec.steps[ref.step];
  const AdviceState& advice = step.advice;
  Prospects prospects;
  std::vector<Option>& options = prospects.options;
  for (const Slot& slot : round.slots) {
    const Target& target = *slot.target;
    if (!Suits(target, queue, spec)) {
      continue;
    }
    const std::uint32_t slots = SlotsOn(target, spec, ref);
    if (slots == 0 || advice.unusable.contains(target.entry.id)) {
      continue;
    }
    const auto ticket = advice.tickets.find(target.entry.id);
    if (ticket != advice.tickets.end() && ticket->second.until > round.now &&
        ticket->second.life == target.entry.life) {
      prospects.ticketed += slots;
      continue;
    }
    const double left = static_cast<double>(RoomOf(target).cpu_milli) /
                        static_cast<double>(std::max<std::int64_t>(
                            1, target.entry.capacity.cpu_milli));
    options.push_back(
        {&target, slots, advice.usable.contains(target.entry.id), left});
  }
  // Gangs want much room in few places, single tasks fill the gaps.
  std::ranges::sort(options, [&](const Option& a, const Option& b) {
    if (a.usable != b.usable) {
      return a.usable;
    }
    if (spec.gang && a.slots != b.slots) {
      return a.slots > b.slots;
    }
    return spec.gang ? a.left > b.left : a.left < b.left;
  });
  return prospects;
}

/// Names enough of the options that this many tasks can expect to be placed.
std::vector<TargetId> ChooseNames(const std::vector<Option>& options,
                                  std::uint32_t waiting, double spare,
                                  double good_rate) {
  std::vector<TargetId> names;
  double expected = 0;
  const double wanted = waiting * spare;
  for (const Option& option : options) {
    if (expected >= wanted || names.size() >= kMostNamed) {
      break;
    }
    names.push_back(option.target->entry.id);
    const std::uint32_t slots = std::min(option.slots, waiting);
    expected += slots * (option.usable ? 1.0 : good_rate);
  }
  return names;
}

/// Whether a gang could be placed if the expected share of targets is usable.
bool GangMayFit(const Prospects& prospects, std::uint32_t count,
                double good_rate) {
  double expected = prospects.ticketed;
  for (const Option& option : prospects.options) {
    expected += option.slots * (option.usable ? 1.0 : good_rate);
  }
  return expected >= count;
}

/// Whether room is left for a gang besides those before it in line: a call for
/// one that can't be placed blocks a lane for nothing.
bool RoomIsLeft(const Round& round, const StepSpec& spec,
                std::uint32_t waiting) {
  return round.promised_cpu + waiting * ReservedBy(spec).cpu_milli <=
         round.free_cpu;
}

void DropOldTickets(AdviceState& advice, Time now) {
  std::erase_if(advice.tickets,
                [&](const auto& entry) { return entry.second.until <= now; });
}

}  // namespace

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

void AskIfUseful(Round& round, const StepRef& ref, const Job& job, Step& step,
                 const Queue& queue) {
  Cell& cell = round.cell;
  const Time now = round.now;
  AdviceState& advice = step.advice;
  if (advice.asking || now < advice.next_ask ||
      FreeLane(cell, queue.advice->decide, now) == nullptr) {
    return;
  }
  DropOldTickets(advice, now);
  const StepSpec& spec = job.spec.steps[ref.step];
  if (!TeamAllows(cell, job.spec.team, ReservedBy(spec))) {
    return;
  }
  const std::uint32_t waiting = spec.count - step.done - step.live;
  const double rate =
      std::max(kLeastGoodRate, cell.advice_stats[queue.name].good_rate);
  const Prospects prospects = FindProspects(round, ref, job, step, queue);
  // A gang that its tickets have room for is held up by something else.
  if (prospects.options.empty() ||
      (spec.gang && (prospects.ticketed >= waiting ||
                     !GangMayFit(prospects, waiting, rate) ||
                     !RoomIsLeft(round, spec, waiting)))) {
    return;
  }
  std::vector<TargetId> names = ChooseNames(
      prospects.options, spec.gang ? waiting - prospects.ticketed : waiting,
      spec.gang ? kSpareGangNames : kSpareNames, rate);
  const Millis time = CallTime(*queue.advice, names.size());
  AdviceLane* lane = FreeLane(cell, time, now);
  if (lane == nullptr) {
    return;
  }
  lane->busy = true;
  lane->long_call = time > kLongCall;
  advice.asking = true;
  advice.ask = cell.next_ask++;
  const Millis timeout = time + cell.options.advice_timeout;
  cell.open_advice.emplace(
      advice.ask,
      OpenAdvice{ref, lane->host, now, now + timeout + Millis(100), names});
  Note(round.actions, "advice_asked",
       {{"job", ref.job},
        {"step", std::to_string(ref.step)},
        {"through", lane->host},
        {"named", std::to_string(names.size())},
        {"waiting", std::to_string(waiting)}});
  round.actions.emplace_back(
      AskAdvice{advice.ask, lane->host, ref, std::move(names), timeout});
}

void AdviceAnswered(Cell& cell, Actions& actions, std::uint64_t ask,
                    bool answered, std::span<const Ticket> tickets, Time now) {
  const auto found = cell.open_advice.find(ask);
  if (found == cell.open_advice.end()) {
    return;
  }
  const OpenAdvice open = std::move(found->second);
  cell.open_advice.erase(found);
  const auto lane = std::ranges::find(cell.lanes, open.lane, &AdviceLane::host);
  if (lane != cell.lanes.end()) {
    lane->busy = false;
    if (!answered) {
      lane->not_before = now + kLaneFailurePause;
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
  const Queue* queue =
      job == nullptr ? nullptr : QueueOf(cell, job->spec.queue);
  if (step == nullptr || queue == nullptr || !queue->advice) {
    return;
  }
  AdviceState& advice = step->advice;
  if (advice.ask == ask) {
    advice.asking = false;
  }
  if (!answered) {
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
    advice.tickets[ticket.target] = {
        ticket.text, now + queue->advice->valid - cell.options.ticket_margin,
        target->entry.life};
  }
  AdviceStats& stats = cell.advice_stats[queue->name];
  const double good = open.named.empty()
                          ? stats.good_rate
                          : static_cast<double>(tickets.size()) /
                                static_cast<double>(open.named.size());
  stats.good_rate += kGoodRateWeight * (good - stats.good_rate);
  if (tickets.empty()) {
    advice.next_ask = now + Millis(5);
  }
}

}  // namespace buckthornmux::cell
