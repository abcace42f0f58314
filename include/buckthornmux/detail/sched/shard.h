/// Scheduling decisions of one shard's owner: which task starts where and when.
/// A pure function (state, event, now) -> actions without I/O, clocks or locks.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::sched {

/// Sender of work: a request partition and the epoch of its owner. A shard
/// rejects work from an epoch lower than the highest it has seen and, within an
/// epoch, work with an inquiry number lower than the highest it has seen. Work
/// that was in flight when an Inquire was answered is thus never accepted after
/// the answer.
struct Home {
  Partition partition = 0;
  Epoch epoch = 0;
  /// Number of Inquires that the home has sent to this shard; a Known repeats
  /// the number of its Inquire.
  std::uint64_t inquiry = 0;
};

/// A task as a target reports it.
struct ReportedTask {
  std::string id;  ///< TaskSpec::Id().
  std::uint32_t attempt = 0;
  Epoch epoch = 0;  ///< Epoch of the shard owner that started the task.
  bool running = false;
  TaskEnd end = TaskEnd::kDone;  ///< Set if not running.
  std::string result;            ///< Set if not running.
  TaskSpec spec;                 ///< Specification sent with the start.
  Home home;                     ///< Home sent with the start.
};

// ---- Events ---------------------------------------------------------------

/// A configuration revision came into force.
struct ConfigInForce {
  const config::Config* config = nullptr;  ///< Must outlive the event.
};
/// A request to run one task or a whole gang.
struct Enqueue {
  Home home;
  std::vector<TaskSpec> tasks;
};
/// The caller cancels tasks; sent in batches.
struct Cancel {
  Home home;
  std::vector<std::string> task_ids;
};
/// A new home owner asks which of its tasks are known, and fences older epochs.
struct Inquire {
  Home home;
};
/// A target answered a start, or the answer timed out.
struct StartAnswered {
  TargetId target;
  std::string task_id;
  std::uint32_t attempt = 0;
  bool accepted = false;
  bool may_run = false;  ///< Not accepted, but possibly started (time-out).
  ErrorKind error = ErrorKind::kTargetRefused;
};
/// A task ended at a target.
struct TaskEnded {
  TargetId target;
  std::string task_id;
  std::uint32_t attempt = 0;
  TaskEnd end = TaskEnd::kDone;
  std::string result;
};
/// All tasks of a target. A target is used only after its first report since
/// the takeover. Reports of a target arrive in order, none is older than
/// Policy::report_delay, and after OwnershipChanged none comes from links of an
/// earlier epoch.
struct TargetReport {
  TargetId target;
  std::vector<ReportedTask> tasks;
  Resources used;  ///< Measured use, which lags behind.
};
/// Health of a target, as seen by links and listed by the platform.
struct TargetHealth {
  TargetId target;
  bool reachable = true;
  bool leaving = false;
};
/// The store granted this shard a new allowance for a team.
struct GrantChanged {
  TeamName team;
  std::int64_t slots = 0;
};
/// The ownership of the shard changed. `may_start` allows starts: the owner
/// holds its lease, or former owners are fenced by their epoch.
struct OwnershipChanged {
  Epoch epoch = 0;
  bool may_start = false;
};
/// Time has passed; requested through Wake.
struct Tick {};

using Event = std::variant<ConfigInForce, Enqueue, Cancel, Inquire,
                           StartAnswered, TaskEnded, TargetReport, TargetHealth,
                           GrantChanged, OwnershipChanged, Tick>;

// ---- Actions --------------------------------------------------------------

/// Send a start to a target. `start_by` is the latest time to begin the task.
struct Start {
  TargetId target;
  TaskSpec task;
  Home home;
  Epoch epoch = 0;
  Time start_by;
};
/// Stop a task at a target (cancellation, preemption or limit).
struct Stop {
  TargetId target;
  std::string task_id;
  std::uint32_t attempt = 0;
  bool checkpoint = false;
};
/// Notify the home that a task runs.
struct Started {
  Home home;
  std::string task_id;
  std::uint32_t attempt = 0;
  TargetId target;
};
/// Notify the home that a task ended or was refused (kNotRun with an error).
/// This is final: the shard never starts the attempt again. A task cancelled
/// before any start ends as kNotRun with the error kCancelled; a task cancelled
/// after it ran ends as kCancelled.
struct Ended {
  Home home;
  std::string task_id;
  std::uint32_t attempt = 0;
  TaskEnd end = TaskEnd::kDone;
  ErrorKind error = ErrorKind::kInternal;  ///< Set if `end` is not kDone.
  Millis retry_after{0};
  std::string result;
};
/// Answer to Inquire: every task known for that partition. A task that is not
/// listed has not been started under `epoch`, and no request of an older home
/// will start it.
struct Known {
  Home home;
  Epoch epoch = 0;
  /// Whether all targets have reported since the takeover.
  bool complete = false;
  std::vector<ReportedTask> tasks;
  std::vector<std::string> queued;  ///< Ids of queued tasks.
};
/// Request an allowance of this many slots in total from the ledger.
struct RequestGrant {
  TeamName team;
  std::int64_t slots = 0;
};
/// Send a Tick at this time.
struct Wake {
  Time at;
};

using Action =
    std::variant<Start, Stop, Started, Ended, Known, RequestGrant, Wake>;

}  // namespace buckthornmux::sched
