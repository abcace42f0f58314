#include "buckthornmux/detail/home/state.h"

#include "steps.h"

namespace buckthornmux::home {
namespace {

void Dispatch(Step& step, const Event& event) {
  struct Visitor {
    Step& step;
    void operator()(const ConfigInForce& e) const { OnConfig(step, e); }
    void operator()(const PartitionGained& e) const { OnGained(step, e); }
    void operator()(const PartitionLost& e) const { OnLost(step, e); }
    void operator()(const LeaseUntil& e) const {
      step.state.lease_until = e.until;
    }
    void operator()(const Submit& e) const { OnSubmit(step, e); }
    void operator()(const CancelJob& e) const { OnCancel(step, e); }
    void operator()(const QueryJob& e) const { OnQuery(step, e); }
    void operator()(const CallerGone& e) const { OnCallerGone(step, e); }
    void operator()(const Journaled& e) const { OnJournaled(step, e); }
    void operator()(const JournalDown& e) const { OnJournalDown(step, e); }
    void operator()(const ShardsChanged& e) const { OnShards(step, e); }
    void operator()(const SendFailed& e) const { OnSendFailed(step, e); }
    void operator()(const FromShard& e) const { OnFromShard(step, e); }
    void operator()(const Tick&) const { OnTick(step); }
  };
  std::visit(Visitor{step}, event);
}

/// Requests a Wake for the earliest timer, unless an earlier one is pending.
void RequestWake(Step& step) {
  HomeState& state = step.state;
  if (state.timers.empty() ||
      state.timers.begin()->first >= state.pending_wake) {
    return;
  }
  state.pending_wake = state.timers.begin()->first;
  step.actions.emplace_back(sched::Wake{state.pending_wake});
}

}  // namespace

HomeState MakeHome(HomeOptions options, ClockAnchor anchor) {
  HomeState state;
  state.options = options;
  state.anchor = anchor;
  state.random.seed(options.seed);
  return state;
}

std::vector<Action> Apply(HomeState& state, const Event& event, Time now) {
  Step step{state, now, {}};
  Dispatch(step, event);
  RequestWake(step);
  return std::move(step.actions);
}

JobCounts CountJobs(const HomeState& state) {
  JobCounts counts;
  for (const auto& [number, partition] : state.partitions) {
    for (const auto& [key, job] : partition.jobs) {
      counts.held += job.held ? 1 : 0;
      switch (job.phase) {
        case JobPhase::kAccepted:
          ++counts.accepted;
          break;
        case JobPhase::kRunning:
          ++counts.running;
          break;
        case JobPhase::kDone:
          ++counts.done;
          break;
        case JobPhase::kFailed:
          ++counts.failed;
          break;
        case JobPhase::kCancelled:
          ++counts.cancelled;
          break;
      }
    }
  }
  return counts;
}

Result<JobStatus> FindJob(const HomeState& state, std::string_view team,
                          std::string_view request_id) {
  const auto partition = state.partitions.find(PartitionOf(team, request_id));
  if (partition == state.partitions.end()) {
    return Fail(ErrorKind::kOwnerStale,
                "this process does not own the request's partition");
  }
  const auto job = partition->second.jobs.find(KeyOf(team, request_id));
  if (job == partition->second.jobs.end()) {
    return Fail(ErrorKind::kNotFound,
                "job is unknown to the partition's owner");
  }
  return StatusOf(job->second);
}

}  // namespace buckthornmux::home
