/// State machine of a request partition's owner: accepts, stores, dispatches,
/// retries, cancels and answers jobs.
/// Pure: (state, event, now) -> actions; no I/O, no clock, no locks.
///
/// A request's partition is a function of its team and id alone, so a retry
/// that arrives at another entry host reaches the owner of the first attempt.
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

/// Number of request partitions. It is fixed because a change would move
/// requests to another partition.
inline constexpr Partition kPartitions = 24;

/// @brief Computes the partition that owns a request.
/// @param team team that is charged
/// @param request_id the caller's id of the request
/// @return partition below kPartitions, the same in every process and release
[[nodiscard]] Partition PartitionOf(std::string_view team,
                                    std::string_view request_id);

/// A submitted job, validated by the front end.
struct JobRequest {
  std::string id;  ///< The caller's request id, unique within the team.
  TeamName team;
  KindName kind;
  WorkClass work_class = WorkClass::kUrgent;
  bool idempotent = false;
  bool open_to_all = false;  ///< Whether its queue needs no team key.
  bool all_at_once = false;  ///< Whether all tasks have to start together.
  std::uint32_t tasks = 1;
  Resources demand;  ///< Resources that each task needs.
  Millis expected_run{0};
  /// Time after which no further task is started. Callers of urgent jobs are
  /// answered by then. 0: none.
  WallMillis deadline = 0;
  std::vector<std::string> labels;
  std::string payload;
};

/// Phase of a job's life cycle.
enum class JobPhase : std::uint8_t {
  kAccepted,  ///< Accepted; no task has started.
  kRunning,   ///< At least one task has started.
  kDone,      ///< Every task done.
  kFailed,    ///< Ended without success; `error` has the reason.
  kCancelled,
};

/// One entry of a job's history.
struct JobStep {
  WallMillis at = 0;
  std::string what;  ///< For instance "started task=0 target=t3 attempt=1".
};

/// Job status as returned to callers.
struct JobStatus {
  std::string id;
  TeamName team;
  KindName kind;
  JobPhase phase = JobPhase::kAccepted;
  Ran ran = Ran::kNo;                      ///< Whether any of the work has run.
  ErrorKind error = ErrorKind::kInternal;  ///< Set in kFailed and kCancelled.
  Millis retry_after{0};  ///< Delay before a retry is useful; 0: no advice.
  /// Per task; empty for tasks that are not done.
  std::vector<std::string> results;
  std::vector<JobStep> history;  ///< The latest steps, up to a fixed number.
  std::uint32_t tasks = 0;
  std::uint32_t tasks_done = 0;
};

/// A shard as described by its owner's heartbeats.
struct ShardView {
  ShardId id;
  bool reachable = true;  ///< Its owner is known and answers.
  Epoch epoch = 0;
  Resources free;  ///< Total over the targets in use.
  std::int64_t queued = 0;
  bool local = false;  ///< Owned by this process.
};

/// A journal record. The journal makes jobs durable, one chain per partition.
struct JournalRecord {
  enum class Type : std::uint8_t {
    /// Holds `request`; written before a patient or service job is accepted.
    kAccepted,
    /// Holds task index, attempt and shard; written before a task of a durable
    /// or non-idempotent job is sent.
    kIntent,
    /// End of an attempt: task index, attempt, end and result.
    kEnded,
    /// End of the whole job; kept for the job's retention.
    kJobEnded,
    /// A caller cancelled the job.
    kCancelled,
  };
  Type type = Type::kAccepted;
  std::string team;
  std::string job;
  /// Set in kAccepted. If a job has no kAccepted record, set in its first
  /// kIntent after each start or restart.
  JobRequest request;
  std::uint32_t task = 0;
  std::uint32_t attempt = 0;
  ShardId shard;
  /// Set in kIntent: the task is sent to the owner of this epoch only.
  Epoch shard_epoch = 0;
  TaskEnd end = TaskEnd::kDone;
  ErrorKind error = ErrorKind::kInternal;
  std::string result;
  WallMillis at = 0;
};

/// Sends a message to a shard's owner.
struct ToShard {
  ShardId shard;
  /// Deliver only to the owner of this epoch, else report SendFailed; 0:
  /// deliver to the current owner.
  Epoch epoch = 0;
  std::variant<sched::Enqueue, sched::Cancel, sched::Inquire> message;
};

// ---- Events ---------------------------------------------------------------

/// A configuration revision took effect.
struct ConfigInForce {
  const config::Config* config = nullptr;  ///< Must outlive the event.
};
/// This process became the partition's owner. `records` is the whole journal of
/// the partition.
struct PartitionGained {
  sched::Home home;
  std::vector<JournalRecord> records;
};
/// This process is no longer the partition's owner. Open calls are answered
/// with kOwnerStale and a correct `ran`, and the state is discarded.
struct PartitionLost {
  Partition partition = 0;
};
/// End of this process's member lease on its own clock. Until then this process
/// is guaranteed to own its partitions. Afterwards a successor may have run
/// tasks that are unknown here, so no answer says `ran: no` until the lease is
/// renewed.
struct LeaseUntil {
  Time until;
};
/// A caller submits a job. `token` identifies the caller's open call; 0: none.
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
/// A caller asks for a job's status; with `wait`, the answer is sent when the
/// job has ended.
struct QueryJob {
  std::uint64_t token = 0;
  TeamName team;
  std::string job;
  bool wait = false;
};
/// The caller of a token disconnected.
struct CallerGone {
  std::uint64_t token = 0;
};
/// All records of the partition up to `sequence` are durable.
struct Journaled {
  Partition partition = 0;
  /// Sequence of an Append, counted from 1 per partition and epoch.
  std::uint64_t sequence = 0;
};
/// The journal became unwritable (store unavailable or slow), or writable
/// again.
struct JournalDown {
  Partition partition = 0;
  bool down = true;
};
/// All existing shards. Before a PartitionGained, their epochs are at least
/// those of a store read that began after the partition was claimed, so an
/// answer from an owner of a lower epoch proves nothing.
struct ShardsChanged {
  std::vector<ShardView> shards;
};
/// A message to a shard was definitely not delivered. The event holds the whole
/// message, because its contents identify the attempt and an undelivered Cancel
/// does not end its tasks.
struct SendFailed {
  ToShard sent;
};
/// A message from a shard's owner; `shard` and `epoch` are the sender's.
struct FromShard {
  ShardId shard;
  Epoch epoch = 0;
  std::variant<sched::Started, sched::Ended, sched::Known> message;
};
/// A timer set by sched::Wake expired.
struct Tick {};

using Event =
    std::variant<ConfigInForce, PartitionGained, PartitionLost, LeaseUntil,
                 Submit, CancelJob, QueryJob, CallerGone, Journaled,
                 JournalDown, ShardsChanged, SendFailed, FromShard, Tick>;

// ---- Actions --------------------------------------------------------------

/// Final answer to a call, or the acceptance of durable work.
struct Reply {
  std::uint64_t token = 0;
  /// The durable job is accepted; `status` is its current status.
  bool accepted = false;
  JobStatus status;
};
/// Appends a record to the journal, in the order of the actions; Journaled
/// confirms it.
struct Append {
  Partition partition = 0;
  std::uint64_t sequence = 0;
  JournalRecord record;
};
using Action = std::variant<Reply, Append, ToShard, sched::Wake>;

}  // namespace buckthornmux::home
