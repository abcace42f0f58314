#include <algorithm>
#include <utility>
#include <variant>

#include "buckthornmux/detail/core/invariant.h"
#include "buckthornmux/detail/sched/answers.h"
#include "buckthornmux/detail/sched/arrivals.h"
#include "buckthornmux/detail/sched/estimates.h"
#include "buckthornmux/detail/sched/fairness.h"
#include "buckthornmux/detail/sched/gangs.h"
#include "buckthornmux/detail/sched/grants.h"
#include "buckthornmux/detail/sched/health.h"
#include "buckthornmux/detail/sched/placement.h"
#include "buckthornmux/detail/sched/queue.h"
#include "buckthornmux/detail/sched/reports.h"
#include "buckthornmux/detail/sched/runs.h"
#include "buckthornmux/detail/sched/setup.h"
#include "buckthornmux/detail/sched/shard_state.h"

namespace buckthornmux::sched {
namespace {

constexpr Millis kHousekeepingInterval{1000};

struct EventHandler {
  Step& step;

  void operator()(const ConfigInForce& event) const {
    HandleConfig(step, *event.config);
  }
  void operator()(const Enqueue& event) const { HandleEnqueue(step, event); }
  void operator()(const Cancel& event) const { CancelTasks(step, event); }
  void operator()(const Inquire& event) const { HandleInquire(step, event); }
  void operator()(const StartAnswered& event) const {
    HandleStartAnswered(step, event);
  }
  void operator()(const TaskEnded& event) const {
    HandleTaskEnded(step, event);
  }
  void operator()(const TargetReport& event) const {
    HandleTargetReport(step, event);
  }
  void operator()(const TargetHealth& event) const {
    HandleTargetHealth(step, event);
  }
  void operator()(const GrantChanged& event) const {
    HandleGrantChanged(step, event);
  }
  void operator()(const OwnershipChanged& event) const {
    HandleOwnershipChanged(step, event);
  }
  void operator()(const Tick& /*event*/) const {}
};

void RunHousekeeping(Step& step) {
  if (step.now < step.state.housekeeping_at) {
    return;
  }
  step.state.housekeeping_at = step.now + kHousekeepingInterval;
  UpdateArrivalRate(step);
  UnblockProbeTargets(step);
  ExpireLostTargets(step);
  UpdateGangDrain(step);
  ReclaimShares(step);
}

void ArmWake(Step& step) {
  ShardState& state = step.state;
  if (!state.configured) {
    return;
  }
  Time at = state.housekeeping_at;
  if (!state.expiry.empty()) {
    at =
        std::min(at - Millis{1}, state.expiry.begin()->first.order) + Millis{1};
  }
  at = std::max(at, step.now + Millis{1});
  if (state.wake_armed && state.wake_at <= at && state.wake_at > step.now) {
    return;
  }
  state.wake_armed = true;
  state.wake_at = at;
  step.actions.emplace_back(Wake{at});
}

}  // namespace

ShardState MakeShard(ShardId id, Policy policy, ClockAnchor clock) {
  ShardState state;
  state.id = std::move(id);
  state.policy = policy;
  state.clock = clock;
  return state;
}

std::vector<Action> Apply(ShardState& state, const Event& event, Time now) {
  std::vector<Action> actions;
  Step step{state, now, actions};
  std::visit(EventHandler{step}, event);
  RunHousekeeping(step);
  ExpireUnits(step);
  StartWaiting(step);
  if (const auto* const enqueue = std::get_if<Enqueue>(&event)) {
    RefuseUnattainableUrgent(step, *enqueue);
  }
  RequestGrants(step);
  ArmWake(step);
  return actions;
}

}  // namespace buckthornmux::sched
