/// All that a cell decides from. Changed only by the functions of cell.h.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "buckthornmux/detail/cell/types.h"
#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::cell {

using CallId = std::uint64_t;  ///< Names an open call at this process.

/// Bounds and delays. Those without another source are the project's own.
struct Options {
  Millis lease{6000};        ///< Of what runs on a target, from each renewal.
  int drift_per_mille = 20;  ///< A target's clock may be so much slower.
  Millis stop_time{400};     ///< A stop takes at most this long.
  Millis job_retention{130'000};  ///< Ended jobs are told of for so long.
  Millis start_retry{150};        ///< Before an unanswered start is repeated.
  int start_tries = 3;            ///< Sends of one start before it is stopped.
  Millis stop_retry{250};         ///< Before an unanswered stop is repeated.
  Millis write_delay{150};        ///< Ends of tasks wait so long to be batched.
  Millis ticket_margin{250};   ///< A ticket is not used this close to its end.
  Millis advice_timeout{400};  ///< Beyond the time that the advice takes.
  Millis advice_retry{120};    ///< After advice that named no usable target.
  Millis suspension{3000};     ///< Of a target that fails what it starts.
  Millis kept_unlisted{600};   ///< A target missing from the list stays known.
  std::size_t max_open_jobs = 20'000;  ///< More are refused.
  Millis share_burst{2000};  ///< A team may save up its rate for so long.
  /// Waiting work, as part of all processors, from which on a team's excess is
  /// refused.
  double busy_backlog = 0.3;
  double busy_free = 0.15;  ///< ...and only while no more than this is free.
};

enum class RunPhase : std::uint8_t {
  kSent,      ///< Start sent, outcome not known.
  kRunning,   ///< The target has confirmed it.
  kStopping,  ///< A stop was sent; room is held until the end is reported.
};

/// One run at a target, from the start's sending to its reported end.
struct Run {
  RunPhase phase = RunPhase::kSent;
  Resources demand;             ///< Held at the target and for the team.
  bool demand_unknown = false;  ///< Its job is not known any more.
  TeamName team;
  Time sent;               ///< First send of the start.
  Time confirmed_at;       ///< The target confirmed the start.
  Time next_try;           ///< When an unanswered order is sent again.
  int tries = 0;           ///< Sends of the present order.
  bool in_flight = false;  ///< An order for it is not answered yet.
  bool unsure = false;     ///< A start had no answer: it may still arrive.
  bool stop_done = false;  ///< The stop was confirmed; its end is awaited.
  Time stop_done_at;
  std::int32_t percent = 0;        ///< Last reported progress.
  std::int32_t first_percent = 0;  ///< First progress above zero...
  Time first_at;                   ///< ...and when it was reported.
  Time progress_at;                ///< When `percent` last rose.
  bool listed = false;             ///< The target has reported it as running.
  int priority = 0;
  bool checkpoints = false;
  bool gang = false;
  Millis estimate{0};
};

/// An end that is not acknowledged at its target yet.
struct PendingEnd {
  std::uint64_t sequence = 0;
  JobId job;                  ///< Empty: nothing has to be durable first.
  std::uint64_t version = 0;  ///< Of the job that holds the end.
};

/// Recent luck of a target.
struct TargetHealth {
  int failures_in_row = 0;
  Time suspended_until;
  Time last_success;
  double slowness = 1;  ///< Its pace against other targets', smoothed.
};

/// A target and what we know to be on it.
struct Target {
  TargetEntry entry;
  std::string rack;
  bool listed = true;  ///< Stands in the list of targets.
  Time unlisted_at;
  bool reported = false;  ///< Has answered under our epoch in this life.
  bool recorded = false;  ///< A next owner is told to ask it; else no starts.
  bool removed = false;
  Time lease_until;  ///< What runs there has surely ended after this.
  Time last_answer;
  bool silent = false;  ///< The last report call had no answer.
  Resources used;
  int unknown_runs = 0;  ///< Runs whose demand isn't known; nothing starts.
  std::map<RunId, Run> runs;
  std::uint64_t seen_end = 0;   ///< Highest end that was processed.
  std::uint64_t acked_end = 0;  ///< Up to here ends may be forgotten.
  std::deque<PendingEnd> pending_ends;
  std::int64_t clock_offset = 0;  ///< Target clock minus ours, ms.
  bool clock_known = false;
  TargetHealth health;
};

enum class TaskPhase : std::uint8_t { kWaiting, kLive, kDone };

struct Task {
  TaskPhase phase = TaskPhase::kWaiting;
  std::uint32_t next_run = 1;
  std::vector<std::uint32_t> failed_runs;  ///< Each counts as one attempt.
  TargetId target;                         ///< Where its live run is.
  std::uint32_t run = 0;
  std::string checkpoint;
  [[nodiscard]] std::uint32_t Failures() const {
    return static_cast<std::uint32_t>(failed_runs.size());
  }
  TargetId failed_on;  ///< Not tried there again at once.
  Time failed_at;      ///< When its last failed run was reported.
  int moves = 0;       ///< Times it was taken off a slow target.
};

/// A ticket and until when it may be used.
struct HeldTicket {
  std::string text;
  Time until;
  std::int64_t life = 0;  ///< Of the target.
};

/// Where a step stands with its adviser.
struct AdviceState {
  bool asking = false;
  std::uint64_t ask = 0;  ///< Number of the question that is open.
  Time next_ask;
  std::map<TargetId, HeldTicket> tickets;
  // A step's usable targets don't change while it lasts.
  std::set<TargetId> usable;
  std::set<TargetId> unusable;
};

struct Step {
  std::vector<Task> tasks;
  std::uint32_t done = 0;
  std::uint32_t live = 0;
  bool ready = false;  ///< Its turn has come and it is not done.
  Time ready_at;
  AdviceState advice;
  /// Time of a whole run of its tasks, by target, as last seen.
  std::map<TargetId, Millis> paces;
};

struct Occurrence {
  std::vector<Step> steps;
  std::uint32_t steps_done = 0;
};

struct Job {
  JobSpec spec;
  JobPhase phase = JobPhase::kQueued;
  bool started = false;  ///< Some task of it has been started.
  Time arrived;
  WallMillis arrived_wall = 0;
  Millis objective{0};  ///< From arrival to the end of a good answer.
  std::map<std::uint32_t, Occurrence> occurrences;  ///< Open ones, by number.
  std::uint32_t occurrences_begun = 0;
  std::uint32_t occurrences_done = 0;
  std::uint64_t version = 0;      ///< Rises with each change that must last.
  std::uint64_t end_version = 0;  ///< The version that holds its end.
  std::uint64_t durable = 0;      ///< Version that is stored.
  std::string stored_in;    ///< Record with its specification; empty: none.
  bool end_stored = false;  ///< Its end is in a record, or on its way there.
  bool progress_stored = false;  ///< Has a record of its progress.
  bool unstored = false;         ///< Changed since it was last in a batch.
  bool urgent_write = false;     ///< Of these, one that a caller waits for.
  bool adopted = false;  ///< Taken over: a former owner may have started tasks.
  std::vector<CallId> submit_calls;
  Time answer_by = Time::max();  ///< The last of these calls gives up then.
  std::vector<CallId> cancel_calls;
  Time ended_at;
  bool excess = false;  ///< Beyond what its team may send; yields to others.
  int priority = 0;

  [[nodiscard]] bool Ended() const {
    return phase == JobPhase::kCompleted || phase == JobPhase::kFailed ||
           phase == JobPhase::kCancelled;
  }
};

/// A step of one occurrence of a job.
struct StepRef {
  JobId job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  bool operator==(const StepRef&) const = default;
  bool operator<(const StepRef& other) const {
    return std::tie(job, occurrence, step) <
           std::tie(other.job, other.occurrence, other.step);
  }
};

/// One host that can ask the adviser; it answers each host's calls in turn.
struct AdviceLane {
  HostId host;
  int open = 0;     ///< Calls without an answer.
  Time free_at;     ///< When the adviser should have answered all of them.
  Time not_before;  ///< After a failure.
};

/// A question to the adviser that has no answer yet.
struct OpenAdvice {
  StepRef step;
  HostId lane;
  Time sent;
  Time give_up;
  Millis takes{0};  ///< The adviser's time for it.
  std::vector<TargetId> named;
};

/// How often the adviser names a target that it is asked about.
struct AdviceStats {
  double good_rate = 0.5;
};

struct TeamUsage {
  Resources used;
  double tokens = 0;  ///< Jobs that it may still send within its share.
  Time tokens_at;
  bool tokens_set = false;
};

/// One value to be stored, or a key to be erased.
struct RecordWrite {
  std::string key;  ///< Below the cell's prefix.
  std::string value;
  bool erase = false;
};

/// Jobs with a change that is not in a batch yet, in the order of the change.
/// A line may name jobs that have been written meanwhile.
struct WriteLines {
  std::deque<JobId> urgent;  ///< A caller waits for them.
  std::deque<JobId> others;
  std::size_t count = 0;      ///< Jobs with such a change.
  std::optional<Time> since;  ///< Of the oldest such change.
};

/// A record with specifications of jobs.
struct JobBundle {
  std::vector<JobId> jobs;  ///< In it, whether they have ended or not.
  std::size_t open = 0;     ///< Of these, not ended.
  std::size_t bytes = 0;    ///< About.
};

/// A record with ends of jobs. They are forgotten together, so that no end of a
/// forgotten job is read by a next owner.
struct EndBundle {
  std::string key;
  std::vector<JobId> jobs;
  Time first;  ///< Of the ends in it.
  Time last;
  bool loaded = false;  ///< Written by a former owner.
};

/// A record that is needed no more, and the jobs to forget with it.
struct Erasure {
  std::string key;
  std::vector<JobId> forgotten;
};

/// What is stored of jobs.
struct Bundles {
  std::map<std::string, JobBundle> jobs;
  std::string newest_jobs;      ///< The one that new jobs are added to.
  std::set<std::string> folds;  ///< Of `jobs`, to be written anew with others.
  std::deque<EndBundle> ends;   ///< In the order of the ends.
  std::deque<Erasure> erasures;
  std::uint64_t next = 1;
};

/// A set of writes that become durable together.
struct Batch {
  std::vector<RecordWrite> writes;
  std::vector<std::pair<JobId, std::uint64_t>> versions;
  std::vector<JobId> forgotten;
  std::vector<TargetId> targets;  ///< Of the list of targets, if it is in it.
};

struct Cell {
  Options options;
  Rules rules;
  Epoch epoch = 0;
  Time claimed_at;
  Time former_until;       ///< The former owner renews no lease after this.
  bool loaded = false;     ///< Stored jobs are in; work is taken.
  bool recovered = false;  ///< Nothing of a former owner can run unseen.
  bool store_well = true;  ///< The last write was answered in time.
  std::map<std::string, Queue, std::less<>> queues;
  std::map<std::string, Team, std::less<>> teams;
  std::map<std::string, Service, std::less<>> services;
  std::unordered_map<JobId, Job> jobs;
  std::map<TargetId, Target> targets;
  std::map<TeamName, TeamUsage> usage;
  std::set<StepRef> ready;  ///< Steps with a task that waits for its start.
  std::vector<AdviceLane> lanes;
  std::map<std::uint64_t, OpenAdvice> open_advice;
  std::map<QueueName, AdviceStats> advice_stats;
  std::uint64_t next_ask = 1;
  WriteLines writes;
  Bundles bundles;
  std::map<QueueName, std::uint32_t> pending;  ///< Jobs not begun, by queue.
  std::int64_t backlog_cpu = 0;   ///< Waiting to start, thousandths of a core.
  std::int64_t capacity_cpu = 0;  ///< Of the targets that take work.
  std::int64_t free_cpu = 0;      ///< Of that, not held by runs.
  /// Targets on which a former owner may have started tasks that are not seen
  /// yet, and until when these may run.
  std::map<TargetId, Time> expected;
  Time expected_stored;        ///< When these times were last stored.
  bool targets_dirty = false;  ///< The stored list of targets is outdated.
  bool plan_due = false;
  WallMillis wall_offset = 0;  ///< Wall clock minus `Time`, ms.
};

}  // namespace buckthornmux::cell
