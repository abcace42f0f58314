/// State of one shard's owner, the function that decides, and queries.
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

/// Index into ShardState::targets; stays for the state's life.
using TargetIndex = std::uint32_t;

/// Where a task stands that has not ended.
enum class TaskPhase : std::uint8_t {
  kQueued,
  kStarting,  ///< Start sent, not answered; may run.
  kMayRun,    ///< Start unanswered for good; a report will tell.
  kRunning,
};

/// Place of a unit in its lane: the smaller the earlier.
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
  Time latest_start;  ///< Refused when it has passed.
  Time queued_at;
  std::int64_t slots = 0;
  Time preempting_until;  ///< Room was made for it; no more until then.
};

/// What tasks of a lane have in common, so that one that does not fit
/// answers for all of them.
struct LaneKey {
  WorkClass work_class = WorkClass::kUrgent;
  TeamName team;
  KindName kind;
  Resources demand;
  std::uint32_t gang_size = 1;
  std::vector<std::string> labels;

  /// @brief Every field, in the order of comparison.
  [[nodiscard]] auto Fields() const {
    return std::tie(work_class, team, kind, demand.slots, demand.cpu_milli,
                    demand.memory_mb, demand.accelerators, gang_size, labels);
  }

  bool operator==(const LaneKey&) const = default;
  bool operator<(const LaneKey& other) const {
    return Fields() < other.Fields();
  }
};

/// Queue of alike units.
struct Lane {
  LaneKey key;
  std::map<UnitKey, Unit> units;
  bool blocked = false;        ///< No target had room at the last full scan.
  std::uint64_t tried_in = 0;  ///< Step that last failed to start its head.
  Time preempt_after;          ///< No look for room to make until then.
};

/// Number of a lane; not used again.
using LaneId = std::uint64_t;

/// Where a unit waits.
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
  UnitPlace place;  ///< Where queued.
  Time queued_at;
  Time moved_at;           ///< Last return to the queue.
  TargetIndex target = 0;  ///< Where not queued.
  Epoch epoch = 0;         ///< Of the owner that started it.
  Time start_by;
  Time sure_at;  ///< A report that arrives later tells for sure.
  Time started_at;
  bool has_run = false;    ///< An earlier start of this attempt ran.
  bool cancelled = false;  ///< Stopped on the caller's word.
  bool preempted = false;  ///< Stopped to make room.
  bool gang_broken = false;
  std::vector<TargetIndex> tried;  ///< Not used again for this attempt.
};

/// Room that a task holds at a target.
struct Hold {
  std::string task_id;
  std::uint32_t attempt = 0;
  TeamName team;
  Resources demand;
  Time since;
  Time expected_end;
  bool endless = false;  ///< A service.
  bool urgent = false;
  bool stray = false;        ///< Should not be there; being stopped.
  bool preemptible = false;  ///< Idempotent patient work, not stopped yet.
  bool stopping = false;     ///< Preempted; its room is promised.
};

/// Failures of a target since its last success.
struct TargetFailures {
  std::set<std::string> jobs;  ///< Team and job, distinct.
  double score = 0;            ///< Weighted by what else fails.
  Time last_at;                ///< Of a failure.
  bool aside = false;
  Time probe_at;
  Millis probe_wait{0};
};

/// A target of this shard.
struct TargetRecord {
  TargetSpec spec;
  bool in_config = true;
  bool reported = false;  ///< Since the last change of owner.
  bool reachable = true;
  bool leaving = false;
  bool usable = false;  ///< All of the above; kept by RefreshTarget.
  Time unreachable_since;
  Resources reserved;  ///< Sum of the holds.
  Resources over;      ///< Measured use above the reservations.
  Resources free;      ///< Room for starts; kept by RefreshTarget.
  Resources counted;   ///< Its part of ShardState::capacity.
  Resources counted_free;
  std::vector<Hold> holds;
  std::uint32_t stopping = 0;  ///< Holds that are being preempted.
  TargetFailures failures;
};

/// A team on this shard.
struct TeamRecord {
  double share = 0;
  std::int64_t limit = 0;
  std::int64_t grant = 0;     ///< As the store has it.
  std::int64_t ceiling = -1;  ///< Below the grant while it is handed back.
  Resources used;             ///< Holds, may-run tasks included.
  std::int64_t queued_slots = 0;
  std::int64_t asked = -1;  ///< Last WantGrant that is not answered yet.
  Time asked_at;
  Time idle_since;  ///< Since when the grant is larger than needed.
  bool idle = false;
};

/// Run times of one (team, kind), and how often it fails.
struct RunEstimate {
  std::uint64_t count = 0;
  double mean_ms = 0;
  double deviation_ms = 0;
  double failed = 0;  ///< Part of runs, recent ones weigh more.
};

/// Arrivals of urgent work, recent ones weigh more.
struct UrgentArrivals {
  Time counted_from;
  double in_window = 0;
  double per_second = 0;
  double slots = 0;  ///< Means of an arrival, here and below.
  double cpu_milli = 0;
  double memory_mb = 0;
  double accelerators = 0;
  double run_ms = 0;
  Resources used;  ///< Urgent holds.
};

/// An ended task, kept to answer repeats.
struct EndedRecord {
  std::uint32_t attempt = 0;
  Partition partition = 0;
  Ended answer;
  std::optional<TargetIndex> ended_at;  ///< Where its run ended.
  Time at;
  Epoch epoch = 0;
  TaskSpec spec;  ///< Without payload.
};

/// Map of the last N keys, the oldest forgotten first.
template <class Value>
struct Remembered {
  std::unordered_map<std::string, Value> values;
  std::deque<std::string> order;
  std::size_t bytes = 0;  ///< Of values that count their bytes.
};

/// Targets kept free for a gang that waits; one gang at a time.
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
  std::size_t alive = 0;
};

/// Everything a shard's owner decides from. Filled by MakeShard, changed by
/// Apply alone.
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
  std::unordered_map<std::string, std::uint32_t> holds_of;  ///< By task id.
  std::map<LaneId, Lane> lanes;
  std::map<LaneKey, LaneId> lane_index;
  std::map<UnitKey, UnitPlace> expiry;  ///< By latest start.
  LaneId next_lane = 1;
  std::size_t queued = 0;
  std::size_t queued_urgent = 0;
  std::uint64_t next_sequence = 1;

  std::unordered_map<Partition, Home> homes;  ///< Highest heard.
  std::map<Partition, Epoch> inquiries;  ///< To answer again when complete.
  Remembered<EndedRecord> ended;
  Remembered<Time> cancelled;

  std::map<std::string, RunEstimate, std::less<>> estimates;
  RunEstimate any_run;      ///< Over all work.
  std::size_t holding = 0;  ///< Tasks that hold room.
  UrgentArrivals urgent;
  Remembered<std::set<TargetIndex>> job_failures;  ///< By team and job.
  Remembered<Time> refused_jobs;
  GangDrain drain;
  std::unordered_map<std::string, GangMembers> gangs;  ///< By team and job.

  Resources capacity;                 ///< Sum over usable targets.
  Resources free;                     ///< Sum over usable targets.
  std::int64_t unreported_slots = 0;  ///< Of targets that have not reported.
  std::vector<TargetIndex> dirty;     ///< Got room since the last pass.
  std::uint64_t step = 0;
  Time wake_at;  ///< Last Wake asked for that has not come.
  bool wake_armed = false;
  Time housekeeping_at;
};

/// @brief Empty state of a shard: nothing starts until the configuration, the
///   ownership, a grant and a report of a target have come.
/// @param id shard
/// @param policy settings
/// @param clock pairs steady with wall time, for deadlines
/// @return the state
/// @see Apply
[[nodiscard]] ShardState MakeShard(ShardId id, Policy policy,
                                   ClockAnchor clock);

/// @brief Takes one event and decides.
/// @param state of the shard; changed
/// @param event what happened
/// @param now steady time, never earlier than at the call before
/// @return what to do, in this order
/// Breaches of what must hold end the process by Invariant.
/// Complexity: a start costs one scan of the targets; an event without room
/// costs one look at each lane of the queue; cancels are linear in their count.
[[nodiscard]] std::vector<Action> Apply(ShardState& state, const Event& event,
                                        Time now);

/// @brief Room on targets in use, in sum.
[[nodiscard]] Resources FreeCapacity(const ShardState& state);

/// @brief Tasks waiting, by kind of work.
[[nodiscard]] std::map<KindName, std::int64_t> QueueLengths(
    const ShardState& state);

/// A team's use and allowance, for status.
struct TeamUse {
  TeamName team;
  Resources used;
  std::int64_t grant = 0;
  std::int64_t queued_slots = 0;
  double share = 0;
};

/// @brief Use and allowance of every team.
[[nodiscard]] std::vector<TeamUse> TeamUses(const ShardState& state);

/// @brief A team's part of the shard, in the dimension that it uses most of.
/// @return 0 to 1
[[nodiscard]] double DominantPart(const ShardState& state,
                                  const TeamRecord& team);

/// A target's condition, for status.
struct TargetCondition {
  TargetId target;
  bool usable = false;
  bool reported = false;
  bool reachable = true;
  bool leaving = false;
  bool aside = false;  ///< Put aside after failures.
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
