/// State of the request partitions that this process owns. Apply is the only
/// function that changes it.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "buckthornmux/detail/home/home.h"

namespace buckthornmux::home {

/// How long the result of an ended job is kept to answer a repeated request.
inline constexpr Millis kResultRetention{15 * 60 * 1000};
/// Minimum retention of results of non-idempotent patient and service jobs.
inline constexpr Millis kNonIdempotentRetention{24 * 60 * 60 * 1000};
/// Maximum number of ended idempotent jobs kept per partition; the oldest are
/// dropped first.
inline constexpr std::size_t kMaxResultsKept = 20'000;

/// @brief Returns how long an ended job is kept.
/// @param request the job's request
/// @param result_retention retention of all jobs except non-idempotent durable
/// ones, for which it is a minimum
[[nodiscard]] Millis RetentionOf(const JobRequest& request,
                                 Millis result_retention = kResultRetention);

/// Limits, delays and time-outs of a partition owner.
struct HomeOptions {
  std::uint64_t seed = 1;  ///< Seed of the random choice between shards.
  /// Maximum attempts of one urgent task.
  std::uint32_t max_urgent_attempts = 3;
  /// Failed runs of a patient task after which its job fails.
  std::uint32_t max_patient_failures = 3;
  /// Delay before a patient task's second attempt.
  Millis initial_retry_delay{1000};
  /// Upper bound of the retry delay, which doubles with each attempt.
  Millis max_retry_delay{60'000};
  /// Time that a patient task may run past its deadline, in multiples of its
  /// expected run time.
  double overrun_factor = 4;
  /// Lower bound of the time that a patient task may run past its deadline
  /// before it is stopped.
  Millis min_overrun{10'000};
  /// Interval of repeated Cancel messages until a cancelled task has ended.
  Millis cancel_interval{2000};
  /// Interval of Inquire messages to a shard that holds tasks.
  Millis audit_interval{30'000};
  /// Interval of Inquire messages until a shard has given a conclusive answer.
  Millis inquiry_interval{500};
  /// Time after which an attempt that no shard has accounted for gets an
  /// unknown outcome. It covers the longest time that a task can run at a
  /// target which no current owner reaches: the target's lease, the former
  /// owner's lease and clock drift.
  Millis resolve_timeout{60'000};
  Millis result_retention = kResultRetention;
  std::size_t max_results_kept = kMaxResultsKept;
  /// Maximum open jobs per partition; further ones are rejected with
  /// kQueueFull.
  std::size_t max_open_jobs = 100'000;
  /// Larger jobs are rejected with kTooLarge.
  std::uint32_t max_tasks_per_job = 4096;
  std::size_t max_history_steps = 32;  ///< History entries kept per job.
  /// Retries that each first attempt adds to a shard's retry budget.
  double retry_ratio = 0.1;
  double max_saved_retries = 20;  ///< Upper bound of a shard's retry budget.
  /// Rate at which a shard's retry budget refills without first attempts.
  double retries_per_second = 10;
};

/// State of a task of an open job.
enum class TaskState : std::uint8_t {
  kWaiting,    ///< Not sent; may be sent once `not_before` has passed.
  kIntending,  ///< Its intent record is not durable yet.
  kSent,       ///< Sent to a shard; may have started.
  kStarted,    ///< Known to have started.
  kEnded,
};

/// One task of a job.
struct Task {
  TaskState state = TaskState::kWaiting;
  /// Number of the latest attempt. 0: none yet; in kSent: an adopted attempt
  /// that is queued under an unknown number.
  std::uint32_t attempt = 0;
  /// Highest attempt that any shard reported.
  std::uint32_t max_reported_attempt = 0;
  std::uint32_t failures = 0;  ///< Attempts that ran and failed.
  /// Attempts after the first one since the last submit.
  std::uint32_t retries = 0;
  ShardId shard;  ///< Shard of the latest attempt.
  /// Epoch of the shard owner that the attempt was sent to.
  Epoch shard_epoch = 0;
  Epoch home_epoch = 0;  ///< Epoch of the partition owner that sent it.
  /// Journal sequence of the intent, which must be durable before the task is
  /// sent. 0: none.
  std::uint64_t intent = 0;
  Time not_before;        ///< Earliest time of the next attempt.
  Time unresolved_since;  ///< When a shard first gave an inconclusive answer.
  /// The outcome of the attempt has to be queried from its shard.
  bool unresolved = false;
  bool started = false;    ///< Some attempt is known to have started.
  bool uncertain = false;  ///< Some ended attempt may have run.
  TaskEnd end = TaskEnd::kNotRun;
  ErrorKind error = ErrorKind::kInternal;
  Millis retry_after{0};
  std::string result;
  /// Shards that refused the task for lack of capacity.
  std::vector<ShardId> refused_by;
  /// Shards whose targets can never hold the task.
  std::vector<ShardId> never_fits;
};

/// An open call that waits for an event of a job.
struct Waiter {
  std::uint64_t token = 0;
  enum class For : std::uint8_t { kAcceptance, kEnd, kCancel };
  For until = For::kEnd;
  Time deadline = Time::max();  ///< The call is answered by then at the latest.
};

/// A job with its tasks.
struct Job {
  JobRequest request;
  JobPhase phase = JobPhase::kAccepted;
  ErrorKind error = ErrorKind::kInternal;
  Millis retry_after{0};
  std::vector<Task> tasks;
  std::uint32_t open_tasks = 0;          ///< Number of tasks not in kEnded.
  std::vector<std::uint32_t> waiting;    ///< Indexes of tasks in kWaiting.
  std::vector<std::uint32_t> intending;  ///< Indexes of tasks in kIntending.
  std::vector<Waiter> waiters;
  std::vector<JobStep> history;
  /// Attempts (task, attempt) that were sent to a shard and not confirmed as
  /// kNotRun since. Independent of the states above, to check the invariant
  /// not_run_is_true.
  std::set<std::pair<std::uint32_t, std::uint32_t>> possibly_run;
  /// Journal sequence of the acceptance; 0: not appended.
  std::uint64_t acceptance_sequence = 0;
  /// Journal sequence of the cancellation; 0: not appended.
  std::uint64_t cancellation_sequence = 0;
  bool journaled = false;  ///< The journal may hold some record of the job.
  /// The journal may hold the request since the job last started.
  bool request_journaled = false;
  bool acceptance_durable = false;
  bool cancelled = false;
  /// The cancellation is durable, or needs no journal record.
  bool cancel_durable = false;
  /// No further task is started, for instance because the deadline has passed.
  bool withdrawn = false;
  bool held = false;  ///< Waits for the shards' answers after a takeover.
  Time deadline = Time::max();
  Time wake = Time::max();  ///< Time of the job's entry in HomeState::timers.
  /// When tasks that run past the deadline are stopped.
  Time overrun_at = Time::max();
  bool overrun = false;  ///< Tasks past the deadline were told to stop.
  /// When the Cancel messages are repeated.
  Time next_cancel_at = Time::max();
  /// Journal sequence of the job's last record.
  std::uint64_t last_append = 0;
  /// Ended, and the end is durable or needs no journal record.
  bool end_durable = false;
  Time ended;
  [[nodiscard]] bool Ended() const { return phase >= JobPhase::kDone; }
  [[nodiscard]] bool Durable() const {
    return request.work_class != WorkClass::kUrgent;
  }
};

/// A task that a shard reported and that no journal record describes: an urgent
/// idempotent task of a former owner. A caller's retry takes it over.
struct AdoptedTask {
  ShardId shard;
  Epoch shard_epoch = 0;
  Epoch home_epoch = 0;
  /// 0: queued at the shard, attempt number unknown.
  std::uint32_t attempt = 0;
  /// Highest attempt that any shard reported.
  std::uint32_t max_reported_attempt = 0;
  TaskState state = TaskState::kSent;
  TaskEnd end = TaskEnd::kNotRun;
  std::string result;
  std::string payload;
  bool has_spec = false;
  Time seen;  ///< Time of the last report that was stored.
};

/// State of a partition's Inquire messages to a shard.
struct Inquiry {
  std::uint64_t number = 0;  ///< Number of the latest Inquire.
  /// Oldest Inquire whose answer is still valid: no work was sent since.
  std::uint64_t first_valid = 0;
  /// Not answered yet; no work is sent to the shard meanwhile.
  bool open = false;
  std::uint32_t unanswered = 0;  ///< Number of consecutive unanswered Inquires.
  Time next_inquire_at = Time::max();
  Epoch epoch = 0;  ///< Shard epoch of the last answer; 0: none.
  /// No task that the shard has not reported can still run there.
  bool settled = false;
  Time first_answer;  ///< Time of the first answer under `epoch`.
};

/// One request partition that this process owns.
struct PartitionState {
  sched::Home home;
  std::unordered_map<std::string, Job> jobs;  ///< Keyed by team/id.
  std::size_t open_jobs = 0;
  std::uint64_t appended = 0;  ///< Sequence of the last Append.
  std::uint64_t durable = 0;   ///< Sequence up to which records are durable.
  bool journal_down = false;
  /// Jobs that wait for some shard to become available.
  std::set<std::string> awaiting_shard;
  /// Jobs that wait for the journal to become writable.
  std::set<std::string> awaiting_journal;
  /// Time of the partition's entry in HomeState::timers.
  Time wake = Time::max();
  /// Jobs to process once a journal sequence is durable.
  std::deque<std::pair<std::uint64_t, std::string>> awaiting_durability;
  std::map<ShardId, Inquiry> inquiries;
  std::map<std::string, AdoptedTask> adopted;  ///< Keyed by TaskSpec::Id().
  Time next_adopted_check;  ///< When adopted tasks are next checked for expiry.
  /// Open jobs, keyed by the shard that holds an attempt of theirs.
  std::map<ShardId, std::set<std::string>> at_shard;
  /// Jobs that wait for the shards' answers after a takeover.
  std::set<std::string> held;
  /// Expiry times of ended jobs.
  std::set<std::pair<Time, std::string>> expiries;
  /// Ended idempotent jobs with the times of their ends, oldest first.
  std::deque<std::pair<Time, std::string>> ended_idempotent;
  /// Every shard has reported the tasks of former owners.
  bool settled = false;
};

/// Token bucket that limits retries to one shard.
struct RetryBudget {
  double tokens = 0;
  Time refilled;
};

/// An open call and its job.
struct OpenCall {
  Partition partition = 0;
  std::string key;
};

/// Number of a shard's targets with equal capacity and labels.
struct TargetForm {
  Resources capacity;
  std::vector<std::string> labels;
  std::int64_t count = 0;
};

/// State of all partitions of this process.
struct HomeState {
  HomeOptions options;
  ClockAnchor anchor;
  std::mt19937_64 random;
  /// From the last LeaseUntil; unbounded before the first.
  Time lease_until = Time::max();
  std::map<Partition, PartitionState> partitions;
  std::map<ShardId, ShardView> shards;
  /// Taken from the configuration.
  std::map<ShardId, std::vector<TargetForm>> forms;
  std::map<ShardId, RetryBudget> retry_budget;
  std::unordered_map<std::uint64_t, OpenCall> calls;  ///< Keyed by token.
  /// Timers of jobs; an empty key stands for the partition itself.
  std::set<std::pair<Time, std::pair<Partition, std::string>>> timers;
  Time pending_wake = Time::max();  ///< Time of the earliest pending Wake.
};

/// @brief Makes the state of a process that owns no partition yet.
/// @param options limits, delays and time-outs
/// @param anchor converts between steady and wall time, which stored data uses
[[nodiscard]] HomeState MakeHome(HomeOptions options, ClockAnchor anchor);

/// @brief Processes one event.
/// @param state changed in place
/// @param event the event
/// @param now time of the runtime's clock, never earlier than before
/// @return actions to perform, in order
/// Complexity: logarithmic in the number of open jobs for an event about one
/// task.
/// @par Example
/// @code
/// for (const Action& action : Apply(state, Submit{token, request}, now)) {
///   Perform(action);
/// }
/// @endcode
[[nodiscard]] std::vector<Action> Apply(HomeState& state, const Event& event,
                                        Time now);

/// Numbers of open and retained jobs of one process, by phase.
struct JobCounts {
  std::size_t accepted = 0;
  std::size_t running = 0;
  std::size_t done = 0;
  std::size_t failed = 0;
  std::size_t cancelled = 0;
  /// Accepted jobs that wait for the shards' answers after a takeover.
  std::size_t held = 0;
};

/// @brief Counts the jobs by phase.
/// @param state unchanged
/// Complexity: linear in the number of jobs.
[[nodiscard]] JobCounts CountJobs(const HomeState& state);

/// @brief Finds one job with its history.
/// @param state unchanged
/// @param team team that is charged
/// @param request_id the caller's id of the request
/// @return the job's status; kNotFound if the job is unknown here, kOwnerStale
/// if this process does not own its partition
[[nodiscard]] Result<JobStatus> FindJob(const HomeState& state,
                                        std::string_view team,
                                        std::string_view request_id);

}  // namespace buckthornmux::home
