#include "buckthornmux/detail/sched/fairness.h"

#include <algorithm>
#include <tuple>

#include "buckthornmux/detail/sched/holds.h"
#include "buckthornmux/detail/sched/preemption.h"

namespace buckthornmux::sched {
namespace {

constexpr double kMinShare = 1e-6;  ///< Share assumed for a team without one.

double Part(std::int64_t used, std::int64_t all) {
  return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0;
}

/// Sort key of a lane; the smallest is tried first.
struct Rank {
  int work_class = 0;
  double fair_use = 0;
  /// At equal fair use, services go before patient work.
  int service_first = 0;
  UnitKey head;

  bool operator<(const Rank& other) const {
    return std::tie(work_class, fair_use, service_first, head) <
           std::tie(other.work_class, other.fair_use, other.service_first,
                    other.head);
  }
};

int ClassRank(WorkClass work_class) {
  switch (work_class) {
    case WorkClass::kUrgent:
      return 0;
    case WorkClass::kService:
      return 1;
    case WorkClass::kPatient:
      return 2;
  }
  return 2;
}

Rank RankOf(const ShardState& state, const Lane& lane) {
  Rank rank;
  rank.head = lane.units.begin()->first;
  const int class_rank = ClassRank(lane.key.work_class);
  switch (state.policy.choice) {
    case PolicyChoice::kFirstFit:
      break;
    case PolicyChoice::kStrictPriority:
      rank.work_class = class_rank;
      break;
    case PolicyChoice::kFair:
      rank.work_class = std::min(class_rank, 1);
      rank.fair_use = FairUse(state, state.teams.find(lane.key.team)->second);
      rank.service_first = class_rank;
      break;
  }
  return rank;
}

// Whether a lane without urgent work waits for free resources, rather than for
// a larger grant of its team.
bool WaitsForRoom(const ShardState& state, const Lane& lane) {
  const TeamRecord& team = state.teams.find(lane.key.team)->second;
  const std::int64_t slots = lane.units.begin()->second.slots;
  return lane.key.work_class != WorkClass::kUrgent &&
         team.used.slots + slots <= UsableGrant(state, team);
}

// Whether the team would stay at or below its share if the lane's head started.
bool StaysBelowShare(const ShardState& state, const Lane& lane) {
  TeamRecord team = state.teams.find(lane.key.team)->second;
  for (std::uint32_t i = 0; i < lane.key.gang_size; ++i) {
    team.used += lane.key.demand;
  }
  return FairUse(state, team) <= 1;
}

}  // namespace

double DominantPart(const ShardState& state, const TeamRecord& team) {
  const Resources& all = state.capacity;
  return std::max({Part(team.used.slots, all.slots),
                   Part(team.used.cpu_milli, all.cpu_milli),
                   Part(team.used.memory_mb, all.memory_mb),
                   Part(team.used.accelerators, all.accelerators)});
}

double FairUse(const ShardState& state, const TeamRecord& team) {
  return DominantPart(state, team) / std::max(team.share, kMinShare);
}

std::optional<LaneId> NextLane(const Step& step) {
  const ShardState& state = step.state;
  std::optional<LaneId> best;
  Rank best_rank;
  for (const auto& [id, lane] : state.lanes) {
    if (lane.tried_in == state.step) {
      continue;
    }
    const Rank rank = RankOf(state, lane);
    if (!best || rank < best_rank) {
      best = id;
      best_rank = rank;
    }
  }
  return best;
}

void ReclaimShares(Step& step) {
  ShardState& state = step.state;
  if (state.policy.choice != PolicyChoice::kFair) {
    return;
  }
  for (auto& [id, lane] : state.lanes) {
    const Unit& head = lane.units.begin()->second;
    const bool waited = step.now - head.queued_at >= state.policy.reclaim_delay;
    if (waited && lane.key.gang_size == 1 && WaitsForRoom(state, lane) &&
        StaysBelowShare(state, lane)) {
      PreemptForShare(step, lane);
    }
  }
}

}  // namespace buckthornmux::sched
