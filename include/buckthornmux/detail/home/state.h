/// State of every request partition that this process is the home of, and the
/// one step that changes it. Commands go through Apply; the rest only reads.
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

/// How long an ended job answers a repeated request with its result.
inline constexpr Millis kResultRetention{15 * 60 * 1000};
/// The same for patient and service work that is not idempotent.
inline constexpr Millis kOnceRetention{24 * 60 * 60 * 1000};
/// Most ended idempotent jobs kept, per partition; the oldest go first.
inline constexpr std::size_t kResultsKept = 20'000;

/// @brief How long an ended job is remembered.
/// @param request what was asked
/// @param result_retention for all but non-idempotent durable work
[[nodiscard]] Millis RetentionOf(const JobRequest& request,
                                 Millis result_retention = kResultRetention);

/// Limits and waits of a home.
struct HomeOptions {
  std::uint64_t seed = 1;              ///< Of the choice between shards.
  std::uint32_t urgent_attempts = 3;   ///< Tries of one urgent task.
  std::uint32_t patient_failures = 3;  ///< Runs of a patient task that may
                                       ///< fail before the job does.
  Millis retry_first{1000};      ///< Wait before a patient task's second try;
  Millis retry_longest{60'000};  ///< doubled with each, up to this.
  double overrun_runs = 4;  ///< A patient task that runs at its deadline may
                            ///< go on for so many expected runs, and
  Millis overrun_least{10'000};  ///< at least for this; then it is stopped.
  Millis recancel_every{2000};   ///< While a cancelled task has not ended.
  Millis audit_every{30'000};    ///< Tries at a shard are asked after.
  Millis inquire_every{500};     ///< While a shard has not settled a question.
  Millis resolve_after{60'000};  ///< Longest time a task lives at a target that
                                 ///< no present owner hears from: its lease,
                                 ///< the former owner's, and clock drift.
  Millis result_retention = kResultRetention;
  std::size_t results_kept = kResultsKept;
  std::size_t open_jobs = 100'000;    ///< Per partition; more: kQueueFull.
  std::uint32_t tasks_of_job = 4096;  ///< More: kTooLarge.
  std::size_t history_steps = 32;     ///< Kept per job.
  double retry_ratio = 0.1;  ///< Retries a shard hop earns with each first try.
  double retry_reserve = 20;       ///< Most retries that a hop saves up.
  double retries_per_second = 10;  ///< Earned without any first try.
};

/// Where a task of an open job stands.
enum class TaskState : std::uint8_t {
  kWaiting,    ///< Not asked for; may be once `not_before` has passed.
  kIntending,  ///< Its intent is on the way to the journal.
  kSent,       ///< Asked for at a shard; may have started.
  kStarted,    ///< Known to have started.
  kEnded,
};

/// One task of a job.
struct Task {
  TaskState state = TaskState::kWaiting;
  std::uint32_t attempt = 0;  ///< Of the latest try; 0: none yet, or where
                              ///< kSent, an adopted one that waits unstarted.
  std::uint32_t attempt_heard = 0;  ///< Highest that any shard told of.
  std::uint32_t failures = 0;       ///< Tries that ran and failed.
  std::uint32_t retries = 0;  ///< Tries beyond the first since the last submit.
  ShardId shard;              ///< Of the latest try.
  Epoch shard_epoch = 0;      ///< Of the owner that the try was sent to.
  Epoch home_epoch = 0;       ///< Of the home that sent it.
  std::uint64_t intent = 0;   ///< Journal sequence that must be durable first.
  Time not_before;
  Time unresolved_since;    ///< When the shard first could not tell.
  bool unresolved = false;  ///< Its shard must be asked what became of it.
  bool started = false;     ///< Some try surely started.
  bool uncertain = false;   ///< Some ended try may have run.
  TaskEnd end = TaskEnd::kNotRun;
  ErrorKind error = ErrorKind::kInternal;
  Millis retry_after{0};
  std::string result;
  std::vector<ShardId> refused_by;  ///< Shards not worth another try now.
  std::vector<ShardId> never_fits;  ///< Shards where it can never run.
};

/// An open call that a job answers.
struct Waiter {
  std::uint64_t token = 0;
  enum class For : std::uint8_t { kAcceptance, kEnd, kCancel };
  For until = For::kEnd;
  Time deadline = Time::max();  ///< Answered by then, whatever is known.
};

/// A job with its tasks.
struct Job {
  JobRequest request;
  JobPhase phase = JobPhase::kAccepted;
  ErrorKind error = ErrorKind::kInternal;
  Millis retry_after{0};
  std::vector<Task> tasks;
  std::uint32_t open_tasks = 0;          ///< Not kEnded.
  std::vector<std::uint32_t> waiting;    ///< Indexes in kWaiting.
  std::vector<std::uint32_t> intending;  ///< Indexes in kIntending.
  std::vector<Waiter> waiters;
  std::vector<JobStep> history;
  /// Tries (task, attempt) that left for a shard without a sure kNotRun since.
  /// Kept apart from the states above, to assert not_run_is_true by.
  std::set<std::pair<std::uint32_t, std::uint32_t>> left;
  std::uint64_t accepted_at = 0;   ///< Journal sequence; 0: not appended.
  std::uint64_t cancelled_at = 0;  ///< Journal sequence; 0: not appended.
  bool journaled = false;          ///< Some record of it may be in the journal.
  bool request_journaled = false;  ///< Its request as well, since its start.
  bool kept = false;               ///< Its acceptance is durable.
  bool cancelled = false;
  bool cancel_kept = false;  ///< No successor can read otherwise.
  bool withdrawn = false;    ///< Its deadline passed; nothing more is started.
  bool held = false;         ///< Waits for the answers of a takeover.
  Time deadline = Time::max();
  Time wake = Time::max();        ///< As in HomeState::timers.
  Time overrun_at = Time::max();  ///< When late tasks are stopped.
  bool overrun = false;           ///< They were told to stop.
  Time recancel = Time::max();    ///< When shards are told again to stop it.
  std::uint64_t last_append = 0;  ///< Journal sequence of its last record.
  bool sealed = false;  ///< Ended, and no successor can read otherwise.
  Time ended;
  [[nodiscard]] bool Ended() const { return phase >= JobPhase::kDone; }
  [[nodiscard]] bool Durable() const {
    return request.work_class != WorkClass::kUrgent;
  }
};

/// A task that a shard knows and no journal record tells of: an urgent
/// idempotent one of a former home, met again by the caller's retry.
struct AdoptedTask {
  ShardId shard;
  Epoch shard_epoch = 0;
  Epoch home_epoch = 0;
  std::uint32_t attempt = 0;        ///< 0: queued there, not known yet.
  std::uint32_t attempt_heard = 0;  ///< Highest that any shard told of.
  TaskState state = TaskState::kSent;
  TaskEnd end = TaskEnd::kNotRun;
  std::string result;
  std::string payload;
  bool has_spec = false;
  Time seen;
};

/// What a partition has asked of a shard.
struct Inquiry {
  std::uint64_t number = 0;      ///< Of the latest Inquire.
  std::uint64_t first_open = 0;  ///< Oldest whose answer is still good: no work
                                 ///< was sent since.
  bool open = false;             ///< Not answered; no work is sent meanwhile.
  std::uint32_t unanswered = 0;  ///< Inquires in a row.
  Time again = Time::max();      ///< When to ask (again).
  Epoch epoch = 0;               ///< Of the last answer; 0: none.
  bool settled = false;          ///< Nothing unheard-of can run there.
  Time first_answer;             ///< Under `epoch`.
};

/// One request partition that this process owns.
struct PartitionState {
  sched::Home home;
  std::unordered_map<std::string, Job> jobs;  ///< By team/id.
  std::size_t open_jobs = 0;
  std::uint64_t appended = 0;  ///< Sequence of the last Append.
  std::uint64_t durable = 0;
  bool journal_down = false;
  std::set<std::string> on_shard;       ///< Jobs that wait for any shard.
  std::set<std::string> on_journal_up;  ///< Jobs that wait for the journal.
  Time wake = Time::max();              ///< As in HomeState::timers.
  /// Jobs to look at when a journal sequence is durable.
  std::deque<std::pair<std::uint64_t, std::string>> on_durable;
  std::map<ShardId, Inquiry> inquiries;
  std::map<std::string, AdoptedTask> adopted;  ///< By TaskSpec::Id().
  Time adopted_until;  ///< Before that, none of them is looked at to forget.
  std::map<ShardId, std::set<std::string>> at_shard;  ///< Open jobs by shard
                                                      ///< that holds a try.
  std::set<std::string> held;  ///< Jobs that wait for takeover answers.
  std::set<std::pair<Time, std::string>> expiries;      ///< Of ended jobs.
  std::deque<std::pair<Time, std::string>> repeatable;  ///< Ended idempotent
                                                        ///< jobs, oldest first.
  bool settled = false;  ///< Every shard has told what the former homes left.
};

/// Retries that a hop may still make.
struct RetryBudget {
  double tokens = 0;
  Time refilled;
};

/// An open call and the job it is about.
struct OpenCall {
  Partition partition = 0;
  std::string key;
};

/// Most tasks that a shard can run at once, by form of target.
struct TargetForm {
  Resources capacity;
  std::vector<std::string> labels;
  std::int64_t count = 0;
};

/// Everything that the homes of this process know.
struct HomeState {
  HomeOptions options;
  ClockAnchor anchor;
  std::mt19937_64 random;
  Time lease_until = Time::max();  ///< As told last; before that, unbounded.
  std::map<Partition, PartitionState> partitions;
  std::map<ShardId, ShardView> shards;
  std::map<ShardId, std::vector<TargetForm>> forms;  ///< From the config.
  std::map<ShardId, RetryBudget> retry_budget;
  std::unordered_map<std::uint64_t, OpenCall> calls;  ///< By token.
  /// Next look at a job; an empty key is the partition itself.
  std::set<std::pair<Time, std::pair<Partition, std::string>>> timers;
  Time woken = Time::max();  ///< Earliest Wake asked for and not yet come.
};

/// @brief Makes the state of a process that owns no partition yet.
/// @param options limits and waits
/// @param anchor pairs steady and wall time, for what lasts
[[nodiscard]] HomeState MakeHome(HomeOptions options, ClockAnchor anchor);

/// @brief Takes one event.
/// @param state changed in place
/// @param event what happened
/// @param now time of the runtime's clock, never earlier than before
/// @return what to do, in order
/// Complexity: logarithmic in the open jobs for an event about one task.
/// @par Example
/// @code
/// for (const Action& action : Apply(state, Submit{token, request}, now)) {
///   Perform(action);
/// }
/// @endcode
[[nodiscard]] std::vector<Action> Apply(HomeState& state, const Event& event,
                                        Time now);

/// Open and kept jobs of the partitions of one process.
struct JobCounts {
  std::size_t accepted = 0;
  std::size_t running = 0;
  std::size_t done = 0;
  std::size_t failed = 0;
  std::size_t cancelled = 0;
  std::size_t held = 0;  ///< Of the accepted: wait for a takeover's answers.
};

/// @brief Counts the jobs by phase.
/// @param state unchanged
/// Complexity: linear in the jobs.
[[nodiscard]] JobCounts CountJobs(const HomeState& state);

/// @brief Finds one job with its history.
/// @param state unchanged
/// @param team team that is charged
/// @param request_id the caller's id of the request
/// @return its status; kNotFound where this home does not know it,
///   kOwnerStale where this process is not its home
[[nodiscard]] Result<JobStatus> FindJob(const HomeState& state,
                                        std::string_view team,
                                        std::string_view request_id);

}  // namespace buckthornmux::home
