/// What a cell schedules: jobs of steps of tasks, and the rules and targets it
/// schedules them by.
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

/// One step of a job: alike tasks that may start once earlier steps are done.
struct StepSpec {
  std::uint32_t count = 1;  ///< Tasks of the step.
  Resources demand;         ///< Of each task.
  Millis estimate{0};       ///< Declared run time of a task, often far off.
  std::vector<std::uint32_t> after;   ///< Steps that have to be done first.
  std::string label;                  ///< A target must carry it; empty: any.
  std::string data_rack;              ///< Other racks are slower; empty: none.
  std::uint32_t max_per_target = 0;   ///< Tasks on one target; 0: no bound.
  std::string image;                  ///< What the tasks run.
  Millis tail_target{0};              ///< Bound on a service's response times.
  std::uint32_t max_unavailable = 0;  ///< Of a service, by our own doing.
  bool checkpoints = false;           ///< Its tasks save their progress.
  bool gang = false;                  ///< All tasks at once or none.
  bool same_rack = false;             ///< Slower on more than one rack.
  bool copies_allowed = false;        ///< Speculative copies may run.
  bool service = false;               ///< Runs until the job is cancelled.
  bool fills = false;  ///< Lives on what others leave unused: no cpu reserved.
};

/// When the steps of a job run again; a count of 0 means once, at once.
struct Recurrence {
  WallMillis first = 0;
  Millis interval{0};
  std::uint32_t count = 0;
};

/// A job as its caller hands it in.
struct JobSpec {
  JobId id;
  QueueName queue;
  TeamName team;
  std::string payload;  ///< Passed to every task unread.
  std::vector<StepSpec> steps;
  Recurrence recurrence;
};

/// Name of a task, the same at targets and here.
struct TaskId {
  JobId job;
  std::uint32_t occurrence = 0;  ///< Of a recurring job, from 0.
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  bool operator==(const TaskId&) const = default;
  bool operator<(const TaskId& other) const {
    return std::tie(job, occurrence, step, index) <
           std::tie(other.job, other.occurrence, other.step, other.index);
  }
};

/// One start of a task. Numbers rise with each start of the same task.
struct RunId {
  TaskId task;
  std::uint32_t number = 0;

  bool operator==(const RunId&) const = default;
  bool operator<(const RunId& other) const {
    return std::tie(task, number) < std::tie(other.task, other.number);
  }
};

/// What a job's caller is told of it.
enum class JobPhase : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/// How long the adviser of a queue takes, and how long its word is good.
struct AdviceRules {
  Millis decide{0};    ///< For each call.
  double each_ms = 0;  ///< For each target named, ms.
  Millis valid{0};     ///< Of a ticket, since it was given.
};

/// A queue of jobs, and how they are treated.
struct Queue {
  QueueName name;
  std::string host_name;  ///< Selects the queue together with `prefix`.
  std::string prefix;     ///< Of the path, ends with '/'.
  std::string service;    ///< Pool of targets that run its tasks.
  int priority = 0;       ///< 0 comes first.
  std::uint32_t max_attempts = 1;  ///< Failed runs of a task that end its job.
  double stretch = 1;              ///< Objective: times the chain of work...
  Millis target_runtime{0};        ///< ...plus this.
  bool open_to_all = false;        ///< Needs no key.
  std::optional<AdviceRules> advice;
};

/// A pool of targets.
struct Service {
  std::string name;
  bool targets_check_room = false;  ///< They refuse what does not fit.
  bool standby = false;             ///< Switched off and free of charge.
};

/// A team with its keys, share and upper limit.
struct Team {
  TeamName name;
  std::vector<std::string> keys;
  double weight = 1;  ///< Share when all is full; jobs a second it may send.
  Resources maximum;  ///< Running in the whole cell; 0: no limit.
};

/// The configuration in force.
struct Rules {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Service> services;
  std::vector<Team> teams;
  std::uint64_t max_body_bytes = 1 << 20;
};

/// A target as it describes itself.
struct TargetEntry {
  TargetId id;
  std::string service;
  std::string address;  ///< IP:port.
  DataCentre data_centre;
  bool draining = false;
  Millis remaining{0};    ///< Least time before a draining target leaves.
  Millis cold{0};         ///< How much longer it is slow after its start.
  std::int64_t life = 0;  ///< Names one life of the target: its start time.
  Resources capacity;
  std::vector<std::string> labels;  ///< Kind and rack, in this order.
};

/// How a run ended at its target.
enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,   ///< By its own fault or the target's.
  kStopped,  ///< On our order.
  kLapsed,   ///< Its lease ran out.
  kBroken,   ///< Another member of the gang ended.
  kAlone,    ///< The rest of the gang did not come in time.
};

/// A run that a target reports as running.
struct RunningReport {
  RunId run;
  std::string checkpoint;
  std::int32_t percent = 0;
  std::int64_t load = 0;  ///< Service: tail latency in ms; others: cpu in use.
};

/// A run that a target reports as ended.
struct EndReport {
  std::uint64_t sequence = 0;  ///< Counts the target's ends in one life.
  RunId run;
  RunEnd end = RunEnd::kDone;
  std::string checkpoint;
};

/// All that a target says of its runs.
struct TargetReport {
  std::int64_t life = 0;      ///< 0: not told.
  std::int64_t clock_ms = 0;  ///< The target's clock.
  std::vector<RunningReport> running;
  std::vector<EndReport> ended;  ///< Those not acknowledged yet, in order.
};

/// What became of an order to a target.
enum class OrderOutcome : std::uint8_t {
  kDone,
  kNotSent,  ///< Surely never left this host.
  kUnknown,  ///< No answer: may take effect, also later.
  kFenced,   ///< A higher epoch has been there.
  kOld,      ///< That run, or a higher one, has ended or was stopped there.
  kLate,     ///< Its deadline had passed.
  kNoRoom,
  kBadTicket,
  kUnhealthy,  ///< Did nothing; not well.
  kOtherLife,  ///< The target that was meant is gone.
  kRefused,    ///< Not understood.
};

/// Right to start a step's tasks on one target.
struct Ticket {
  TargetId target;
  std::string text;
};

}  // namespace buckthornmux::cell
