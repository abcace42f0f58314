/// State of one shard's owner, the decision function and queries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "buckthornmux/detail/core/time.h"
#include "buckthornmux/detail/sched/policy.h"
#include "buckthornmux/detail/sched/shard.h"

namespace buckthornmux::sched {

/// Index into ShardState::targets; stable for the lifetime of the state.
using TargetIndex = std::uint32_t;

/// Phase of a task that has not ended.
enum class TaskPhase : std::uint8_t {
  kQueued,
  kStarting,  ///< Start sent but not answered; the task may run.
  kMayRun,    ///< No answer will come; a report tells whether the task runs.
  kRunning,
};

/// Position of a unit in its lane; smaller keys go first.
struct UnitKey {
  Time order;
  std::uint64_t sequence = 0;

  bool operator==(const UnitKey&) const = default;
  bool operator<(const UnitKey& other) const {
    return std::tie(order, sequence) < std::tie(other.order, other.sequence);
  }
};

/// Tasks that start together: one, or a whole gang.
struct Unit {
  std::vector<std::string> task_ids;
  Time latest_start;  ///< The unit is refused after this time.
  Time queued_at;
  std::int64_t slots = 0;
  Time preempting_until;  ///< No further preemption for this unit until then.
};

/// Properties common to all tasks of a lane. If one unit does not fit on any
/// target, none of the lane does.
struct LaneKey {
  WorkClass work_class = WorkClass::kUrgent;
  TeamName team;
  KindName kind;
  Resources demand;
  std::uint32_t gang_size = 1;
  std::vector<std::string> labels;

  /// @brief All fields in order of comparison.
  [[nodiscard]] auto Fields() const {
    return std::tie(work_class, team, kind, demand.slots, demand.cpu_milli,
                    demand.memory_mb, demand.accelerators, gang_size, labels);
  }

  bool operator==(const LaneKey&) const = default;
  bool operator<(const LaneKey& other) const {
    return Fields() < other.Fields();
  }
};

/// Queue of units with equal keys.
struct Lane {
  LaneKey key;
  std::map<UnitKey, Unit> units;
  /// No target had enough free capacity at the last full scan.
  bool blocked = false;
  /// Step that last failed to start the lane's head.
  std::uint64_t tried_in = 0;
  Time preempt_after;  ///< No attempt at preemption for this lane until then.
};

/// Number of a lane; never reused.
using LaneId = std::uint64_t;

/// Place of a unit in the queue.
struct UnitPlace {
  LaneId lane = 0;
  UnitKey unit;

  bool operator==(const UnitPlace&) const = default;
};

/// A task that is queued, or that may run.
struct TaskRecord {
  TaskSpec spec;
  Partition partition = 0;
  TaskPhase phase = TaskPhase::kQueued;
  UnitPlace place;  ///< Valid if queued.
  Time queued_at;
  Time moved_at;           ///< Time of the last return to the queue.
  TargetIndex target = 0;  ///< Valid if not queued.
  Epoch epoch = 0;         ///< Epoch of the owner that started the task.
  Time start_by;
  Time conclusive_at;  ///< A report arriving after this time is conclusive.
  Time started_at;
  bool has_run = false;      ///< An earlier start of this attempt ran.
  bool cancelled = false;    ///< Cancelled by the caller.
  bool preempted = false;    ///< Stopped to free its resources for other work.
  bool gang_broken = false;  ///< Stopped since a gang member did not start.
  std::vector<TargetIndex> tried;  ///< Targets not used again for this attempt.
};

/// Resources that a task reserves at a target.
struct Hold {
  std::string task_id;
  std::uint32_t attempt = 0;
  TeamName team;
  Resources demand;
  Time since;
  Time expected_end;
  bool unending = false;  ///< A service, which runs without an expected end.
  bool urgent = false;
  bool stray = false;  ///< Should not run on this target; being stopped.
  /// Idempotent patient work outside gangs that is not being stopped yet.
  bool preemptible = false;
  /// Preempted; its resources are reserved for the preempting unit.
  bool stopping = false;
};

/// Failures of a target since its last success.
struct TargetFailures {
  std::set<std::string> jobs;  ///< Distinct job keys (team and job).
  /// Sum of failures; a failure of a kind of work that often fails counts less.
  double score = 0;
  Time last_at;        ///< Time of the last failure.
  bool aside = false;  ///< In quarantine: only probes are started.
  Time probe_at;
  Millis probe_delay{0};
};

/// A target of this shard.
struct TargetRecord {
  TargetSpec spec;
  bool in_config = true;
  /// Whether it has reported since the last change of owner.
  bool reported = false;
  bool reachable = true;
  bool leaving = false;
  /// In the configuration, reported, reachable and not leaving; updated by
  /// RefreshTarget.
  bool usable = false;
  Time unreachable_since;
  Resources reserved;  ///< Sum of the holds.
  Resources over;      ///< Measured use above the reservations.
  /// Resources available for starts; updated by RefreshTarget.
  Resources free;
  Resources counted;       ///< Contribution to ShardState::capacity.
  Resources counted_free;  ///< Contribution to ShardState::free.
  std::vector<Hold> holds;
  std::uint32_t stopping = 0;  ///< Holds that are being preempted.
  TargetFailures failures;
};

/// A team on this shard.
struct TeamRecord {
  double share = 0;
  std::int64_t limit = 0;
  std::int64_t grant = 0;  ///< Allowance in the store's record.
  /// Limit below the grant while slots are being returned; -1 if none.
  std::int64_t ceiling = -1;
  Resources used;  ///< Sum of holds, including tasks that may run.
  std::int64_t queued_slots = 0;
  /// Slots of the last unanswered RequestGrant; -1 if none.
  std::int64_t asked = -1;
  Time asked_at;
  Time idle_since;  ///< Time since which the grant has been larger than needed.
  bool idle = false;
};

/// Run times and failure rate of one (team, kind).
struct RunEstimate {
  std::uint64_t count = 0;
  double mean_ms = 0;
  double deviation_ms = 0;
  double failed = 0;  ///< Moving average of the fraction of runs that fail.
};

/// Moving averages of the arrivals of urgent work.
struct UrgentArrivals {
  Time counted_from;        ///< Start of the current counting window.
  double in_window = 0;     ///< Arrivals in the current counting window.
  double per_second = 0;    ///< Average arrival rate.
  double slots = 0;         ///< Average slots per arrival.
  double cpu_milli = 0;     ///< Average CPU demand per arrival.
  double memory_mb = 0;     ///< Average memory demand per arrival.
  double accelerators = 0;  ///< Average accelerators per arrival.
  double run_ms = 0;        ///< Average run time of urgent work.
  Resources used;           ///< Sum of urgent holds.
};

/// An ended task, kept to answer repeated requests.
struct EndedRecord {
  std::uint32_t attempt = 0;
  Partition partition = 0;
  Ended answer;
  /// Target on which the run ended, if any.
  std::optional<TargetIndex> ended_at;
  Time at;
  Epoch epoch = 0;
  TaskSpec spec;  ///< Specification without the payload.
};

/// Map of the last N inserted keys; the oldest is evicted first.
template <class Value>
struct BoundedMap {
  std::unordered_map<std::string, Value> values;
  std::deque<std::string> order;
  /// Total size of the values, if the user of the map counts it.
  std::size_t bytes = 0;
};

/// Targets being drained for a waiting gang; one gang at a time.
struct GangDrain {
  bool active = false;
  UnitPlace place;
  Time since;
  Time expected_start;
  bool waits_for_grant = false;
  std::set<TargetIndex> targets;
};

/// Members of a gang that started.
struct GangMembers {
  std::vector<std::string> task_ids;
  std::size_t alive = 0;  ///< Members that have not ended.
};

/// Complete state on which a shard's owner bases its decisions. Created by
/// MakeShard and changed only by Apply.
struct ShardState {
  ShardId id;
  Policy policy;
  ClockAnchor clock;
  Epoch epoch = 0;
  bool may_start = false;
  Revision revision = 0;
  bool configured = false;

  std::vector<TargetRecord> targets;
  std::map<TargetId, TargetIndex, std::less<>> target_index;
  std::map<TeamName, TeamRecord, std::less<>> teams;
  std::unordered_map<std::string, TaskRecord> tasks;  ///< By TaskSpec::Id().
  std::unordered_map<std::string, std::uint32_t> hold_counts;  ///< By task id.
  std::map<LaneId, Lane> lanes;
  std::map<LaneKey, LaneId> lane_index;
  std::map<UnitKey, UnitPlace> expiry;  ///< By latest start.
  LaneId next_lane = 1;
  std::size_t queued = 0;
  std::size_t queued_urgent = 0;
  std::uint64_t next_sequence = 1;

  std::unordered_map<Partition, Home> homes;  ///< Highest epoch and inquiry.
  /// Inquiries to answer again when all targets have reported.
  std::map<Partition, Epoch> inquiries;
  BoundedMap<EndedRecord> ended;
  BoundedMap<Time> cancelled;

  std::map<std::string, RunEstimate, std::less<>> estimates;
  RunEstimate overall_run;  ///< Estimate over all work.
  std::size_t holding = 0;  ///< Number of tasks with a hold.
  UrgentArrivals urgent;
  BoundedMap<std::set<TargetIndex>> job_failures;  ///< By team and job.
  BoundedMap<Time> refused_jobs;
  GangDrain drain;
  std::unordered_map<std::string, GangMembers> gangs;  ///< By team and job.

  Resources capacity;  ///< Sum over usable targets.
  Resources free;      ///< Sum over usable targets.
  /// Slots of targets that have not reported.
  std::int64_t unreported_slots = 0;
  /// Targets whose free resources grew since the last pass.
  std::vector<TargetIndex> dirty;
  std::uint64_t step = 0;
  Time wake_at;  ///< Time of the last requested Wake that is still pending.
  bool wake_armed = false;
  Time housekeeping_at;
};

/// @brief Creates the empty state of a shard. Nothing starts until it has
///   received the configuration, the ownership, a grant and a target's report.
/// @param id shard
/// @param policy settings
/// @param clock relates steady time to wall time, for deadlines
/// @return the new state
/// @see Apply
[[nodiscard]] ShardState MakeShard(ShardId id, Policy policy,
                                   ClockAnchor clock);

/// @brief Applies one event and makes the resulting decisions.
/// @param state state of the shard; changed in place
/// @param event event to handle
/// @param now steady time, never earlier than in the previous call
/// @return actions to execute in this order
/// A violated invariant ends the process (see core/invariant.h).
/// Complexity: each start costs one scan of the targets; an event that frees no
/// capacity visits each lane of the queue once; a Cancel is linear in its ids.
[[nodiscard]] std::vector<Action> Apply(ShardState& state, const Event& event,
                                        Time now);

/// @brief Sum of the free resources of usable targets.
[[nodiscard]] Resources FreeCapacity(const ShardState& state);

/// @brief Number of queued tasks by kind of work.
[[nodiscard]] std::map<KindName, std::int64_t> QueueLengths(
    const ShardState& state);

/// A team's use and allowance, for status output.
struct TeamUse {
  TeamName team;
  Resources used;
  std::int64_t grant = 0;
  std::int64_t queued_slots = 0;
  double share = 0;
};

/// @brief Use and allowance of every team.
[[nodiscard]] std::vector<TeamUse> TeamUses(const ShardState& state);

/// @brief A team's part of the shard in its dominant resource.
/// @return a fraction from 0 to 1
[[nodiscard]] double DominantPart(const ShardState& state,
                                  const TeamRecord& team);

/// A target's condition, for status output.
struct TargetCondition {
  TargetId target;
  bool usable = false;
  bool reported = false;
  bool reachable = true;
  bool leaving = false;
  bool aside = false;  ///< Quarantined after failures.
  Resources reserved;
  Resources over;
  std::size_t tasks = 0;
};

/// @brief Condition of every target of the shard.
[[nodiscard]] std::vector<TargetCondition> TargetConditions(
    const ShardState& state);

/// @brief Whether every target has reported since the last change of owner.
[[nodiscard]] bool AllReported(const ShardState& state);

}  // namespace buckthornmux::sched
