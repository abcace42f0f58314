#include "buckthornmux/detail/sched/preemption.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <vector>

#include "buckthornmux/detail/sched/fairness.h"
#include "buckthornmux/detail/sched/holds.h"
#include "buckthornmux/detail/sched/placement.h"

namespace buckthornmux::sched {
namespace {

/// Maximum number of units of a lane for which work is preempted in one step.
constexpr std::size_t kMaxUnitsPerStep = 16;
/// Delay before the next attempt if nothing could be preempted.
constexpr Millis kPreemptRetryDelay{100};
/// Time after which work is preempted again for a unit that has not started.
constexpr Millis kPreemptTimeout{3000};

/// Tasks to preempt on one target.
struct Victims {
  TargetIndex target = 0;
  std::vector<std::size_t> holds;  ///< Indexes into the target's holds.
  double lost_ms = 0;              ///< Upper bound of the run time lost.
};

/// Teams whose work may be preempted; null for all teams.
using TeamFilter = const std::set<TeamName>*;

bool IsVictim(const Hold& hold, TeamFilter teams) {
  return hold.preemptible && (teams == nullptr || teams->contains(hold.team));
}

// Whether preempted tasks are still being stopped on the target. Their
// resources are reserved for the units that caused the preemption.
bool PreemptionPending(const TargetRecord& target) {
  return target.stopping > 0;
}

std::optional<Victims> VictimsOn(const Step& step, TargetIndex index,
                                 const Resources& demand, TeamFilter teams,
                                 double better_than_ms) {
  const TargetRecord& target = step.state.targets[index];
  Victims victims;
  victims.target = index;
  std::vector<std::size_t> youngest;
  for (std::size_t i = 0; i < target.holds.size(); ++i) {
    if (IsVictim(target.holds[i], teams)) {
      youngest.push_back(i);
    }
  }
  std::ranges::sort(youngest, std::greater{},
                    [&](std::size_t i) { return target.holds[i].since; });
  Resources room = target.free;
  for (const std::size_t i : youngest) {
    if (demand.FitsIn(room)) {
      break;
    }
    room += target.holds[i].demand;
    victims.holds.push_back(i);
    victims.lost_ms +=
        static_cast<double>((step.now - target.holds[i].since).count());
    if (victims.lost_ms >= better_than_ms) {
      return std::nullopt;
    }
  }
  if (!demand.FitsIn(room) || victims.holds.empty()) {
    return std::nullopt;
  }
  return victims;
}

std::optional<Victims> CheapestVictims(const Step& step, const TaskRecord& task,
                                       TeamFilter teams) {
  std::optional<Victims> best;
  double best_ms = std::numeric_limits<double>::max();
  for (TargetIndex index = 0; index < step.state.targets.size(); ++index) {
    const TargetRecord& target = step.state.targets[index];
    if (!target.usable || PreemptionPending(target) ||
        !task.spec.demand.FitsIn(target.spec.capacity) ||
        !IsEligible(step, index, task)) {
      continue;
    }
    auto found = VictimsOn(step, index, task.spec.demand, teams, best_ms);
    if (found) {
      best_ms = found->lost_ms;
      best = std::move(found);
    }
  }
  return best;
}

void StopVictims(Step& step, const Victims& victims) {
  TargetRecord& target = step.state.targets[victims.target];
  for (const std::size_t i : victims.holds) {
    Hold& hold = target.holds[i];
    hold.preemptible = false;
    hold.stopping = true;
    ++target.stopping;
    TaskRecord& task = step.state.tasks.find(hold.task_id)->second;
    task.preempted = true;
    StopTask(step, task, true);
  }
}

void PreemptForUnits(Step& step, Lane& lane, std::size_t most,
                     TeamFilter teams) {
  if (step.now < lane.preempt_after) {
    return;
  }
  std::size_t looked_at = 0;
  for (auto& [key, unit] : lane.units) {
    if (++looked_at > most) {
      return;
    }
    if (unit.preempting_until > step.now) {
      continue;
    }
    const TaskRecord& task =
        step.state.tasks.find(unit.task_ids.front())->second;
    const auto victims = CheapestVictims(step, task, teams);
    if (!victims) {
      lane.preempt_after = step.now + kPreemptRetryDelay;
      return;
    }
    StopVictims(step, *victims);
    unit.preempting_until = step.now + kPreemptTimeout;
  }
}

std::set<TeamName> TeamsAboveShare(const ShardState& state) {
  std::set<TeamName> above;
  for (const auto& [name, team] : state.teams) {
    if (FairUse(state, team) > 1) {
      above.insert(name);
    }
  }
  return above;
}

}  // namespace

void StopTask(Step& step, const TaskRecord& task, bool checkpoint) {
  step.actions.emplace_back(Stop{step.state.targets[task.target].spec.id,
                                 task.spec.Id(), task.spec.attempt,
                                 checkpoint});
}

void PreemptForLane(Step& step, Lane& lane) {
  const ShardState& state = step.state;
  if (state.policy.choice != PolicyChoice::kFair || lane.key.gang_size > 1) {
    return;
  }
  const TeamRecord& team = state.teams.find(lane.key.team)->second;
  const std::int64_t left = UsableGrant(state, team) - team.used.slots;
  const std::int64_t each = std::max<std::int64_t>(lane.key.demand.slots, 1);
  const std::int64_t units = std::max<std::int64_t>(left / each, 0);
  const auto most = std::min(static_cast<std::size_t>(units), kMaxUnitsPerStep);
  PreemptForUnits(step, lane, most, nullptr);
}

void PreemptForShare(Step& step, Lane& lane) {
  const std::set<TeamName> above = TeamsAboveShare(step.state);
  if (!above.empty()) {
    PreemptForUnits(step, lane, kMaxUnitsPerStep, &above);
  }
}

}  // namespace buckthornmux::sched
