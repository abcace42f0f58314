/// Decisions of a request partition's owner: accept, remember, send to a
/// shard, retry, cancel, answer.
/// Pure: (state, event, now) -> actions; no I/O, no clock, no locks.
///
/// A request's partition follows from its team and id alone, so that a retry
/// that arrives at another entry host meets its first try.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/types.h"
#include "buckthornmux/detail/sched/shard.h"

namespace buckthornmux::home {

/// Count of request partitions; fixed, because a change would give requests
/// another home.
inline constexpr Partition kPartitions = 24;

/// @brief Home of a request.
/// @param team team that is charged
/// @param request_id the caller's id of the request
/// @return partition below kPartitions, the same in every process and release
[[nodiscard]] Partition PartitionOf(std::string_view team,
                                    std::string_view request_id);

/// A job as its caller asked for it, checked by the front.
struct JobRequest {
  std::string id;  ///< The caller's request id, unique within the team.
  TeamName team;
  KindName kind;
  WorkClass work_class = WorkClass::kUrgent;
  bool idempotent = false;
  bool open_to_all = false;
  bool all_at_once = false;
  std::uint32_t tasks = 1;
  Resources demand;  ///< Of each task.
  Millis expected_run{0};
  WallMillis deadline = 0;  ///< Urgent: end of the caller's wait. 0: none.
  std::vector<std::string> labels;
  std::string payload;
};

/// Where a job stands.
enum class JobPhase : std::uint8_t {
  kAccepted,  ///< Kept, nothing started.
  kRunning,   ///< At least one task has started.
  kDone,      ///< Every task done.
  kFailed,    ///< Ended otherwise; `error` says how.
  kCancelled,
};

/// One line of a job's history.
struct JobStep {
  WallMillis at = 0;
  std::string what;  ///< For instance "started task=0 target=t3 attempt=1".
};

/// What a caller is told of a job.
struct JobStatus {
  std::string id;
  TeamName team;
  KindName kind;
  JobPhase phase = JobPhase::kAccepted;
  Ran ran = Ran::kNo;                      ///< Truth about the work so far.
  ErrorKind error = ErrorKind::kInternal;  ///< Where kFailed or kCancelled.
  Millis retry_after{0};                   ///< Where worth coming back.
  std::vector<std::string> results;        ///< By task, where done.
  std::vector<JobStep> history;            ///< Bounded.
  std::uint32_t tasks = 0;
  std::uint32_t tasks_done = 0;
};

/// What the home knows of a shard, from heartbeats.
struct ShardView {
  ShardId id;
  bool reachable = true;  ///< Its owner is known and answers.
  Epoch epoch = 0;
  Resources free;  ///< Of targets in use, in sum.
  std::int64_t queued = 0;
  bool local = false;  ///< Owned by this very process.
};

/// Records that make a job durable; the journal keeps them per partition.
struct JournalRecord {
  enum class Type : std::uint8_t {
    kAccepted,  ///< `request`; patient and service jobs, before acceptance.
    kIntent,    ///< Before a start that must not be repeated unseen, and before
                ///< patient starts: task index, attempt, shard.
    kEnded,     ///< A task's end: index, attempt, end, result.
    kJobEnded,  ///< The whole job's end; kept for kResultRetention.
    kCancelled,
  };
  Type type = Type::kAccepted;
  std::string team;
  std::string job;
  JobRequest request;  ///< With kAccepted, and with kIntent of a job that
                       ///< has no kAccepted record.
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;
  ShardId shard;
  Epoch shard_epoch = 0;  ///< With kIntent: the only owner it is sent to.
  TaskEnd end = TaskEnd::kDone;
  ErrorKind error = ErrorKind::kInternal;
  std::string result;
  WallMillis at = 0;
};

/// Send to a shard's owner.
struct ToShard {
  ShardId shard;
  Epoch epoch = 0;  ///< Only to the owner of this epoch, SendFailed otherwise;
                    ///< 0: to whoever owns the shard.
  std::variant<sched::Enqueue, sched::Cancel, sched::Inquire> message;
};

// ---- Events ---------------------------------------------------------------

/// A revision came into force.
struct ConfigInForce {
  const config::Config* config = nullptr;  ///< Outlives the event.
};
/// This process became the partition's owner; records are all that was kept.
struct PartitionGained {
  sched::Home home;
  std::vector<JournalRecord> records;
};
/// This process is no longer the owner: open callers get kOwnerStale with a
/// truthful `ran`; the state is dropped without a trace.
struct PartitionLost {
  Partition partition = 0;
};
/// This process surely owns its partitions until then: its member lease, on its
/// own clock. Later than that a successor may have run what this home has never
/// heard of, so no answer says `ran: no` until the lease is renewed.
struct LeaseUntil {
  Time until;
};
/// A caller submits. `token` names the caller's open call, 0 for none.
struct Submit {
  std::uint64_t token = 0;
  JobRequest request;
};
/// A caller cancels a job.
struct CancelJob {
  std::uint64_t token = 0;
  TeamName team;
  std::string job;
};
/// A caller asks for a job's status; with `wait`, when it has ended.
struct QueryJob {
  std::uint64_t token = 0;
  TeamName team;
  std::string job;
  bool wait = false;
};
/// The caller of a token went away.
struct CallerGone {
  std::uint64_t token = 0;
};
/// Every record of the partition up to this sequence is durable.
struct Journaled {
  Partition partition = 0;
  std::uint64_t sequence = 0;  ///< Of Append, counted from 1 per partition and
                               ///< epoch.
};
/// The journal can't be written now (store away or slow).
struct JournalDown {
  Partition partition = 0;
  bool down = true;
};
/// The shards as now known; shards not listed do not exist. Before a
/// PartitionGained, their epochs are at least those in a store read that began
/// after the partition's claim: an answer from an owner below them proves
/// nothing.
struct ShardsChanged {
  std::vector<ShardView> shards;
};
/// A message to a shard was surely not delivered. It comes back whole: tries
/// are told apart by it, and a lost Cancel says nothing of its tasks.
struct SendFailed {
  ToShard sent;
};
/// From a shard's owner; `shard` and `epoch` as of the sender.
struct FromShard {
  ShardId shard;
  Epoch epoch = 0;
  std::variant<sched::Started, sched::Ended, sched::Known> message;
};
/// Time passed; asked for through sched::Wake.
struct Tick {};

using Event =
    std::variant<ConfigInForce, PartitionGained, PartitionLost, LeaseUntil,
                 Submit, CancelJob, QueryJob, CallerGone, Journaled,
                 JournalDown, ShardsChanged, SendFailed, FromShard, Tick>;

// ---- Actions --------------------------------------------------------------

/// Final (or for patient work: accepting) answer to a token.
struct Reply {
  std::uint64_t token = 0;
  bool accepted = false;  ///< Patient work is durable; `status` as of now.
  JobStatus status;
};
/// Make records durable, in this order; answered by Journaled.
struct Append {
  Partition partition = 0;
  std::uint64_t sequence = 0;
  JournalRecord record;
};
using Action = std::variant<Reply, Append, ToShard, sched::Wake>;

}  // namespace buckthornmux::home
