/// Types of a cell: jobs, their steps and tasks, and the configuration and
/// targets that they are scheduled with.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::cell {

using JobId = std::string;  ///< Chosen by the caller, unique in the cell.
using QueueName = std::string;

/// Maximum number of steps of a job.
inline constexpr std::size_t kMaxSteps = 64;

/// A step of a job: identical tasks that may start once earlier steps are done.
struct StepSpec {
  std::uint32_t count = 1;  ///< Tasks of the step.
  Resources demand;         ///< Demand of each task.
  Millis estimate{0};       ///< Declared run time of a task; unreliable.
  std::vector<std::uint32_t> after;  ///< Steps that must be done first.
  std::string label;                 ///< Required label of targets; empty: any.
  std::string data_rack;  ///< Rack of the data, others are slower; empty: none.
  /// Maximum tasks on one target; 0: no limit.
  std::uint32_t max_per_target = 0;
  std::string image;      ///< Image that the tasks run.
  Millis tail_target{0};  ///< Maximum tail latency of a service.
  /// Limit on voluntary disruptions of a service.
  std::uint32_t max_unavailable = 0;
  bool checkpoints = false;     ///< Its tasks save their progress.
  bool gang = false;            ///< Starts all tasks together or none.
  bool same_rack = false;       ///< Slower on more than one rack.
  bool copies_allowed = false;  ///< Speculative copies may run.
  bool service = false;         ///< Runs until the job is cancelled.
  bool fills = false;           ///< Uses idle CPU; reserves none.
};

/// Schedule of a recurring job; a count of 0 means one immediate occurrence.
struct Recurrence {
  WallMillis first = 0;
  Millis interval{0};
  std::uint32_t count = 0;
};

/// A job as submitted by its caller.
struct JobSpec {
  JobId id;
  QueueName queue;
  TeamName team;
  std::string payload;  ///< Opaque data passed to every task.
  std::vector<StepSpec> steps;
  Recurrence recurrence;
};

/// Identifier of a task, also used by targets.
struct TaskId {
  JobId job;
  std::uint32_t occurrence = 0;  ///< Occurrence of a recurring job, from 0.
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  bool operator==(const TaskId&) const = default;
  bool operator<(const TaskId& other) const {
    return std::tie(job, occurrence, step, index) <
           std::tie(other.job, other.occurrence, other.step, other.index);
  }
};

/// Identifier of one run of a task; `number` increases with each start.
struct RunId {
  TaskId task;
  std::uint32_t number = 0;

  bool operator==(const RunId&) const = default;
  bool operator<(const RunId& other) const {
    return std::tie(task, number) < std::tie(other.task, other.number);
  }
};

/// Phase of a job as reported to callers.
enum class JobPhase : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/// Processing times of a queue's adviser and validity of its tickets.
struct AdviceRules {
  Millis decide{0};    ///< Fixed time of a call.
  double each_ms = 0;  ///< Additional time per named target, ms.
  Millis valid{0};     ///< Lifetime of a ticket from its issue.

  bool operator==(const AdviceRules&) const = default;
};

/// A queue of jobs and its scheduling parameters.
struct Queue {
  QueueName name;
  std::string host_name;  ///< Selects the queue together with `prefix`.
  std::string prefix;     ///< Path prefix, ends with '/'.
  std::string service;    ///< Pool of targets that run its tasks.
  int priority = 0;       ///< 0 is the highest.
  /// Number of failed runs of one task after which its job fails.
  std::uint32_t max_attempts = 1;
  double stretch = 1;  ///< Objective: factor of the critical path.
  /// Objective: constant added to the stretched critical path.
  Millis target_runtime{0};
  bool open_to_all = false;  ///< Jobs need no key.
  std::optional<AdviceRules> advice;

  bool operator==(const Queue&) const = default;
};

/// The queue that a call came on, and the team of its key.
struct Caller {
  QueueName queue;
  TeamName team;  ///< Empty for a call without a key, on a queue open to all.
};

/// A pool of targets.
struct Service {
  std::string name;
  bool targets_check_room = false;  ///< Targets reject tasks that don't fit.
  bool standby = false;  ///< Targets are switched off and cost nothing.
};

/// A team with its keys, share and resource limit.
struct Team {
  TeamName name;
  std::vector<std::string> keys;
  double weight = 1;  ///< Share under load, in jobs per second.
  Resources maximum;  ///< Limit on running demand in the cell; 0: none.
};

/// The configuration in force.
struct Rules {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  std::vector<Team> teams;
  std::uint64_t max_body_bytes = 1 << 20;
};

/// A target as described in the list of targets.
struct TargetEntry {
  TargetId id;
  std::string service;
  std::string address;  ///< IP:port.
  DataCentre data_centre;
  bool draining = false;
  Millis remaining{0};    ///< Minimum time until a draining target leaves.
  Millis cold{0};         ///< Remaining warm-up time after its start.
  std::int64_t life = 0;  ///< Start time; identifies the target's life.
  Resources capacity;
  std::vector<std::string> labels;  ///< Kind and rack, in this order.
};

/// How a run ended at its target.
enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,   ///< Failed because of the task or the target.
  kStopped,  ///< Stopped by an order of the cell.
  kLapsed,   ///< Its lease ran out.
  kBroken,   ///< Another member of the gang ended.
  kAlone,    ///< The rest of the gang did not start in time.
};

/// A run that a target reports as running.
struct RunningReport {
  RunId run;
  std::string checkpoint;
  std::int32_t percent = 0;
  std::int64_t load = 0;  ///< Tail latency in ms (service) or CPU used.
};

/// A run that a target reports as ended.
struct EndReport {
  std::uint64_t sequence = 0;  ///< Number of this end in the target's life.
  RunId run;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

/// A target's report of its runs.
struct TargetReport {
  std::int64_t life = 0;      ///< 0 if not reported.
  std::int64_t clock_ms = 0;  ///< The target's clock.
  std::vector<RunningReport> running;
  std::vector<EndReport> ended;  ///< Unacknowledged, by sequence number.
  bool complete = true;          ///< `ended` has all of them.
};

/// Outcome of an order to a target.
enum class OrderOutcome : std::uint8_t {
  kDone,
  kNotSent,  ///< Never left this host.
  kUnknown,  ///< No answer; may still take effect later.
  kFenced,   ///< The target knows a higher epoch.
  kOld,      ///< This or a later run already ended or was stopped.
  kLate,     ///< Its deadline had passed.
  kNoRoom,
  kBadTicket,
  kUnhealthy,  ///< Not executed; the target is unhealthy.
  kOtherLife,  ///< The target has restarted since.
  kRefused,    ///< The target did not understand the order.
};

/// Permission to start a step's tasks on one target.
struct Ticket {
  TargetId target;
  std::string text;
};

}  // namespace buckthornmux::cell
