/// Decisions of one shard's owner: which task starts where and when.
/// Pure: (state, event, now) -> actions; no I/O, no clock, no locks.
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
/// takes no work from an epoch below the highest it has heard of, nor, within
/// an epoch, with an inquiry below the highest it has heard of: work that was
/// still on its way when an Inquire was answered can't arrive behind the
/// answer.
struct Home {
  Partition partition = 0;
  Epoch epoch = 0;
  std::uint64_t inquiry = 0;  ///< Counts the Inquires to this shard; Known
                              ///< carries that of its Inquire.
};

/// A task as a target reports it.
struct ReportedTask {
  std::string id;  ///< TaskSpec::Id().
  std::uint32_t attempt = 0;
  Epoch epoch = 0;  ///< Of the shard owner that started it.
  bool running = false;
  TaskEnd end = TaskEnd::kDone;  ///< Where not running.
  std::string result;            ///< Where not running.
  TaskSpec spec;                 ///< As it was given with the start.
  Home home;                     ///< As it was given with the start.
};

// ---- Events ---------------------------------------------------------------

/// A revision came into force.
struct ConfigInForce {
  const config::Config* config = nullptr;  ///< Outlives the event.
};
/// One task, or a whole gang, is asked for.
struct Enqueue {
  Home home;
  std::vector<TaskSpec> tasks;
};
/// The caller takes tasks back; batched.
struct Cancel {
  Home home;
  std::vector<std::string> task_ids;
};
/// A new home owner asks what is known of its tasks, and fences older epochs.
struct Inquire {
  Home home;
};
/// A target answered a start.
struct StartAnswered {
  TargetId target;
  std::string task_id;
  std::uint32_t attempt = 0;
  bool accepted = false;
  bool may_run = false;  ///< Not accepted, but perhaps started (time-out).
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
/// All that a target has; the first one after a takeover lets it be used.
/// Reports of a target come in their order, none older than
/// Policy::report_delay, and none from links of an earlier epoch after
/// OwnershipChanged.
struct TargetReport {
  TargetId target;
  std::vector<ReportedTask> tasks;
  Resources used;  ///< Measured, with a lag.
};
/// Health of a target, from links and from the platform's list.
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
/// Whether starts may leave: the owner holds its lease, or fences by epoch.
struct OwnershipChanged {
  Epoch epoch = 0;
  bool may_start = false;
};
/// Time passed; asked for through Wake.
struct Tick {};

using Event = std::variant<ConfigInForce, Enqueue, Cancel, Inquire,
                           StartAnswered, TaskEnded, TargetReport, TargetHealth,
                           GrantChanged, OwnershipChanged, Tick>;

// ---- Actions --------------------------------------------------------------

/// Send a start to a target. `start_by` is the latest time for it to begin.
struct Start {
  TargetId target;
  TaskSpec task;
  Home home;
  Epoch epoch = 0;
  Time start_by;
};
/// Stop a task at a target (cancel, preemption, limit).
struct Stop {
  TargetId target;
  std::string task_id;
  std::uint32_t attempt = 0;
  bool checkpoint = false;
};
/// Tell the home that a task runs.
struct Started {
  Home home;
  std::string task_id;
  std::uint32_t attempt = 0;
  TargetId target;
};
/// Tell the home that a task ended, or was refused (kNotRun with an error).
/// Final for the attempt: this shard never starts it again. A task cancelled
/// before any start ends as kNotRun with kCancelled; one that ran, as
/// kCancelled.
struct Ended {
  Home home;
  std::string task_id;
  std::uint32_t attempt = 0;
  TaskEnd end = TaskEnd::kDone;
  ErrorKind error = ErrorKind::kInternal;  ///< Where end is not kDone.
  Millis retry_after{0};
  std::string result;
};
/// Answer to Inquire: every task known for that partition. A task that is not
/// listed has not been started under `epoch`, nor will it be by older homes.
struct Known {
  Home home;
  Epoch epoch = 0;
  bool complete = false;  ///< All targets have reported since the takeover.
  std::vector<ReportedTask> tasks;
  std::vector<std::string> queued;  ///< Task ids waiting.
};
/// Ask the ledger for an allowance of this many slots in all.
struct WantGrant {
  TeamName team;
  std::int64_t slots = 0;
};
/// Call with Tick at this time.
struct Wake {
  Time at;
};

using Action =
    std::variant<Start, Stop, Started, Ended, Known, WantGrant, Wake>;

}  // namespace buckthornmux::sched
