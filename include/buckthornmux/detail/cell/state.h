/// State of a cell. Modified only by the functions declared in cell.h.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "buckthornmux/detail/cell/gauges.h"
#include "buckthornmux/detail/cell/interference_table.h"
#include "buckthornmux/detail/cell/target_speed.h"
#include "buckthornmux/detail/cell/tasks.h"
#include "buckthornmux/detail/cell/types.h"
#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::cell {

using CallId = std::uint64_t;  ///< Identifies an open call of this process.

/// Limits, time-outs and delays of a cell.
struct Options {
  Millis lease{6000};        ///< Lifetime of a target's runs after a renewal.
  int drift_per_mille = 20;  ///< Maximum clock drift of a target, in 1/1000.
  Millis stop_time{400};     ///< Maximum time that a stop takes.
  Millis job_retention{130'000};  ///< How long ended jobs stay visible.
  /// Not used: an unanswered start is resent immediately.
  Millis start_retry_delay{150};
  /// A task that crashes its target does so within this time of its start.
  Millis crash_clearance{200};
  /// A crash is put down to a task only if no other job's task had begun within
  /// this time before it.
  Millis crash_doubt{500};
  /// A task that is suspected of crashes keeps its target to itself for at most
  /// this time. It isn't known to a next owner.
  Millis reservation_limit{3000};
  /// Maximum length of the first period in which room is held for a gang; other
  /// work may wait for it. Each further one may last twice as long, so that one
  /// is long enough in the end.
  Millis first_hold_limit{13'000};
  /// A gang that has waited longer beside room for it may have several queries
  /// open at a time.
  Millis gang_advice_patience{2000};
  int start_tries = 3;  ///< Sends of a start before the run is stopped.
  Millis stop_retry_delay{250};  ///< Delay before an unanswered stop is resent.
  Millis write_delay{150};       ///< Batching delay of task ends.
  Millis ticket_margin{250};     ///< Tickets aren't used this close to expiry.
  Millis advice_timeout{400};  ///< Added to the adviser's own processing time.
  /// Not used: the delay after advice without a usable target is 5 ms.
  Millis advice_retry_delay{120};
  Millis suspension{3000};  ///< How long a failing target gets no new runs.
  /// How long a target that is missing from the list stays known.
  Millis unlisted_timeout{600};
  /// Maximum jobs in the cell, including ended ones that are still retained;
  /// submits beyond this are refused.
  std::size_t max_open_jobs = 20'000;
  /// Maximum memory of jobs, open or retained, and of those of one team;
  /// submits beyond this are refused, and a job that takes a large part of it.
  std::size_t max_job_bytes = 48'000'000;
  /// Maximum size of a record's value in the store, bytes.
  std::size_t max_value_bytes = 1'048'576;
  /// Maximum number of runs on all targets.
  std::size_t max_runs = 40'000;
  /// Maximum steps of occurrences of recurring jobs that have objects. Beyond
  /// it, each job may have one occurrence with objects.
  std::size_t max_recurring_steps = 60'000;
  /// Capacity of a team's token bucket, as time at the team's rate.
  Millis share_burst{2000};
  /// Minimum backlog, as a fraction of the total CPU capacity, at which jobs
  /// beyond a team's share are refused.
  double busy_backlog = 0.3;
  /// Maximum free fraction of the CPU capacity at which such jobs are refused.
  double busy_free = 0.15;
  /// Upper bound of the time until a suspected owner, which may renew leases
  /// meanwhile, learns of the new one: the interval between its reads of the
  /// store plus the longest store call.
  Millis owner_discovery{2700};
  /// Nothing starts by an older list of targets: one of them may have been
  /// draining for too long.
  Millis max_list_age = Millis::max();
  /// Nothing starts before the first SetEvacuated: the former owner may have
  /// known of evacuations that this one doesn't.
  bool await_evacuations = false;
  /// Urgent tasks start on targets that still warm up only if no other target
  /// has room.
  bool avoid_cold = false;
  /// Finds kinds of tasks that slow each other down, and keeps them apart.
  bool interference = true;
  /// Backlog of such jobs, as a fraction of the total CPU capacity, at which
  /// more of them are refused, whatever is free: without tickets, or at their
  /// team's limit, they don't use what is free, and each waiting step costs
  /// planning time.
  double excess_backlog = 1.0;
};

enum class RunPhase : std::uint8_t {
  kSent,      ///< The start was sent; its outcome is unknown.
  kRunning,   ///< The target has confirmed the start.
  kStopping,  ///< A stop was sent; resources are held until the end.
};

/// A run at a target, from the first send of its start to its reported end.
struct Run {
  RunPhase phase = RunPhase::kSent;
  Resources demand;             ///< Reserved at the target.
  Resources charged;            ///< Counts for the team's limit.
  bool demand_unknown = false;  ///< The steps of its job are no longer known.
  bool team_unknown = false;    ///< Its job isn't known; all teams are charged.
  TeamName team;
  Time sent;               ///< When the start was first sent.
  Time confirmed_at;       ///< When the target confirmed the start.
  Time next_try;           ///< When an unanswered order is sent again.
  int tries = 0;           ///< Number of sends of the current order.
  bool in_flight = false;  ///< An order has not been answered yet.
  bool unsure = false;     ///< An unanswered start may still take effect.
  bool stop_done = false;  ///< Stop confirmed, end not reported yet.
  Time stop_done_at;
  std::int32_t percent = 0;        ///< Last reported progress.
  std::int32_t first_percent = 0;  ///< First reported progress above 0.
  Time first_at;                   ///< When `first_percent` was reported.
  Time progress_at;                ///< When `percent` last rose.
  bool listed = false;             ///< The target has reported it as running.
  /// Known from a former owner; its silent target has not confirmed it since.
  bool inherited = false;
  /// Began under a former owner; when isn't known.
  bool of_former_owner = false;
  int priority = 0;
  bool checkpoints = false;
  bool gang = false;
  bool service = false;  ///< Doesn't end by itself.
  bool trial = false;    ///< Its target was on probation when it was sent.
  /// Its task is suspected of crashes. One that came early is forgiven once it
  /// has run for Options::crash_clearance; until then, or for
  /// Options::reservation_limit, other jobs don't start on its target.
  bool probation = false;
  /// How long tasks that may have caused the same crashes don't start beside
  /// it.
  Millis apart_for{0};
  Millis estimate{0};
  KindNumber kind = 0;  ///< Of its task; 0 for a run of a former owner.
  /// Kinds of runs that have ended beside it, and the times with them.
  std::vector<BesideTime> beside;
};

/// A run's end that has not been acknowledged to its target yet.
struct PendingEnd {
  std::uint64_t sequence = 0;
  JobId job;                  ///< Empty if nothing must be durable first.
  std::uint64_t version = 0;  ///< Job version that contains the end.
};

/// Recent failures and relative speed of a target.
struct TargetHealth {
  int consecutive_failures = 0;
  int failed_trials = 0;  ///< Since probation began.
  Time failed_at;         ///< When the last of these failures was reported.
  Time paused_until;      ///< Gets no work before, because of failures.
  Time suspended_until;   ///< Gets no work before, for other reasons.
  Time last_success;
  /// Run time relative to other targets, from the progress of present runs.
  double slowness = 1;
  TargetSpeed speed;  ///< From complete runs.
};

/// A target and the runs known to be on it.
struct Target {
  TargetEntry entry;
  Resources largest;  ///< Maxima of the capacities listed to this owner.
  std::string rack;
  bool listed = true;  ///< Is in the current list of targets.
  Time unlisted_at;
  /// While draining: earliest time at which it leaves; empty if not announced.
  std::optional<Time> leaves_at;
  /// Has reported its runs to this owner since its last restart.
  bool reported = false;
  /// Is in the stored list of targets as one that may have any runs. Otherwise
  /// no run may start on it, and its lease isn't renewed.
  bool recorded = false;
  /// Is in the stored list of targets whose runs are all known, so that nothing
  /// may start on it.
  bool closed = false;
  /// Has no other runs than `runs`, although it does not report.
  bool runs_known = false;
  bool removed = false;
  Time life_since;      ///< When `entry.life` became known.
  Time life_confirmed;  ///< When its latest report was requested.
  /// Life in the latest list of targets, whose capacity and labels `entry` has.
  /// If it isn't `entry.life`, the target gets no new runs.
  std::int64_t listed_life = 0;
  /// Address at which its latest report was requested.
  std::string confirmed_address;
  /// Address and time of the latest report call, answered or not.
  std::string called_address;
  Time called_at;
  /// All runs have ended after this time, unless it is renewed.
  Time lease_until;
  /// Last owner that may have sent it orders, by the stored lists of targets; 0
  /// if there is none.
  Epoch last_owner = 0;
  Time last_answer;
  /// When the first call since the last report failed; empty if none did.
  std::optional<Time> failing_since;
  /// Has left report calls unanswered for too long; its lease isn't renewed.
  bool silent = false;
  Resources used;
  int unknown_runs = 0;  ///< Runs of unknown demand; they block starts.
  std::map<RunId, Run> runs;
  std::uint64_t seen_end = 0;   ///< Highest sequence number processed.
  std::uint64_t acked_end = 0;  ///< The target may drop ends up to this number.
  std::deque<PendingEnd> pending_ends;
  std::int64_t clock_offset = 0;  ///< Target clock minus local clock, ms.
  bool clock_known = false;
  TargetHealth health;
};

/// What shows when the leases of former owners' runs are over.
enum class LeaseBound : std::uint8_t {
  kStored,       ///< The stored list of targets.
  kFormerOwner,  ///< What the former owner told as it handed the cell over.
  kSeen,         ///< When the owner after the last one that gave orders came.
};

/// A target that may run tasks of former owners.
struct ExpectedTarget {
  Time until;  ///< When the leases of these tasks end.
  /// Last owner that may have sent orders to the target.
  Epoch last_owner = 0;
  LeaseBound bound = LeaseBound::kStored;
};

/// When an epoch was first known to have been claimed.
struct EpochSighting {
  Epoch epoch = 0;
  Time seen;
};

/// A ticket and its expiry time.
struct HeldTicket {
  std::string text;
  Time until;
  std::int64_t life = 0;  ///< Life of the target that the ticket is for.
};

/// State of a step's adviser queries.
struct AdviceState {
  std::vector<std::uint64_t> asks;  ///< Numbers of the open queries.
  Time next_ask;
  std::map<TargetId, HeldTicket> tickets;
  // The set of targets that a step may use is constant over its lifetime.
  std::set<TargetId> usable;
  std::set<TargetId> unusable;
};

/// Periods in which room is held for a waiting gang. Other work may use the
/// room between them.
struct GangHold {
  Time since;           ///< Begin of the current period; unset between periods.
  Time held_at;         ///< When room was last held.
  Millis limit{0};      ///< Maximum length of the current period.
  Time expected_start;  ///< Of the gang, as the current period began.
  Time paused_until;    ///< No room is held before.
  bool blocked = false;  ///< Only the end of services would make room.
};

/// A gang's wait beside room that would hold all of it, as far as is known.
struct GangWait {
  std::optional<Time> since;     ///< Unset while there is no such room.
  Time seen_at;                  ///< When there last was.
  std::uint32_t calls = 0;       ///< To the adviser since the last start.
  std::uint32_t unanswered = 0;  ///< Of `calls`.
};

/// Durations of the runs of a step on one target.
struct RunTimes {
  Millis latest{0};    ///< Of the latest run, perhaps estimated from progress.
  Millis complete{0};  ///< Of the latest complete run; 0 if there is none.
  KindSet beside = 0;  ///< Kinds beside the latest complete run.
};

struct Step {
  TaskTable tasks;
  std::uint32_t done = 0;
  std::uint32_t live = 0;
  bool ready = false;  ///< All earlier steps are done and this one is not.
  /// Is counted in Job::untouched.
  bool untouched = false;
  Time ready_at;
  AdviceState advice;
  GangHold hold;
  GangWait wait;
  Hold crash_hold;  ///< Of its tasks that aren't suspected, or of a gang.
  std::map<TargetId, RunTimes> run_times;

  /// @brief Number of tasks that have no run and are not done.
  [[nodiscard]] std::uint32_t CountWaiting() const {
    return tasks.Count() - done - live;
  }
};

struct Occurrence {
  std::vector<Step> steps;
  std::uint32_t steps_done = 0;
};

/// Steps of an occurrence that are done, one bit each.
using DoneSteps = std::uint64_t;

struct Job {
  JobSpec spec;
  JobPhase phase = JobPhase::kQueued;
  bool started = false;  ///< A target has begun a task of it.
  Time arrived;
  WallMillis arrived_wall = 0;
  Millis objective{0};  ///< Target time from arrival to completion.
  /// Estimated times from the start of each step to the end of the job; empty
  /// until they are first needed.
  std::vector<Millis> chains;
  /// Open occurrences with objects, by number.
  std::map<std::uint32_t, Occurrence> occurrences;
  /// Open occurrences of a recurring job of which nothing has been started but
  /// the steps that are done. They are alike and need no objects.
  std::map<DoneSteps, NumberRanges> shelved;
  /// By step: occurrences with objects in which it is ready and has a task that
  /// was never started.
  std::vector<std::uint32_t> untouched;
  /// Occurrences below this number have begun: they have objects, are shelved
  /// or are done. The others that are due need no objects either.
  std::uint32_t occurrences_begun = 0;
  std::uint32_t occurrences_done = 0;
  std::uint64_t version = 0;      ///< Incremented by each change to store.
  std::uint64_t end_version = 0;  ///< Version that contains its end.
  std::uint64_t durable = 0;      ///< Latest version that is stored.
  std::string stored_in;         ///< Key of the record with its spec, or empty.
  bool end_stored = false;       ///< Its end is stored or being written.
  bool progress_stored = false;  ///< A progress record exists.
  bool unstored = false;         ///< Changed since its last batch.
  bool urgent_write = false;     ///< A caller waits for an unstored change.
  /// Loaded from a former owner, which may have started tasks of it.
  bool adopted = false;
  std::vector<CallId> submit_calls;
  Time answer_by = Time::max();  ///< Time-out of the last submit call.
  std::vector<CallId> cancel_calls;
  Time ended_at;
  bool excess = false;  ///< Beyond its team's share; others go first.
  int priority = 0;
  std::uint64_t late_starts = 0;  ///< Tasks that this owner started late.
  std::size_t bytes = 0;          ///< Its part of Cell::job_bytes.

  [[nodiscard]] bool Ended() const {
    return phase == JobPhase::kCompleted || phase == JobPhase::kFailed ||
           phase == JobPhase::kCancelled;
  }
};

/// A definition as the latest configuration with it had it. Accepted jobs are
/// bound to it once no configuration has it any more.
template <class Definition>
struct Kept {
  Definition definition;
  std::uint64_t record = 0;  ///< Number in the key of its record.
  bool unstored = true;      ///< The definition isn't in a batch yet.
  bool removed = false;      ///< Its removal has been logged.
};

/// The keys of a team.
struct TeamKeys {
  TeamName name;
  std::vector<std::string> digests;  ///< SHA-256 of each key, hexadecimal.

  bool operator==(const TeamKeys&) const = default;
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

/// A host that can query the adviser, which serves each host's calls in order.
struct AdviceLane {
  HostId host;
  int open = 0;     ///< Number of unanswered calls.
  Time free_at;     ///< Expected time of the last answer.
  Time not_before;  ///< Earliest next call, set after a failure.
  int lost = 0;     ///< Calls in a row without an answer.
};

/// An unanswered query to the adviser.
struct OpenAdvice {
  StepRef step;
  HostId lane;
  Time sent;
  Time give_up;
  Millis takes{0};  ///< Expected processing time of the adviser.
  std::vector<TargetId> named;
};

/// Gangs that wait beside room for them, as last looked at.
struct GangWaits {
  Time looked_at;
  std::size_t count = 0;
  Millis longest{0};
};

/// Moving average of the fraction of queried targets that the adviser allows.
struct AdviceStats {
  double good_rate = 0.5;
};

struct TeamUsage {
  Resources used;             ///< By the runs that are known.
  std::size_t job_bytes = 0;  ///< Part of Cell::job_bytes.
  double tokens = 0;          ///< Token bucket: jobs left in its share.
  Time tokens_at;
  bool tokens_set = false;
  /// What the log says of its limit: whether it holds work back, and if so,
  /// whether because of unknown runs.
  std::optional<bool> limited_logged;
  Time limit_logged_at;
};

/// Runs of one step of a job that has ended; they are being stopped.
struct EndedRuns {
  std::uint32_t count = 0;
  Resources charged;  ///< For each.
};

/// By job and step.
using EndedRunsBySteps = std::map<std::pair<JobId, std::uint32_t>, EndedRuns>;

/// What the open jobs of a former owner could have running at most.
struct OpenDemand {
  Resources all;
  /// Part of `all` that takes no room of its target, in millicores.
  std::int64_t filling_cpu = 0;
};

/// Bounds on the runs of former owners that no report has shown yet.
struct UnknownRuns {
  std::map<TeamName, OpenDemand> of_jobs;
  Time jobs_counted_at;
  /// Runs of ended jobs that the former owner knew.
  EndedRunsBySteps of_ended_jobs;
  /// Room of the targets that may have such runs; empty if a room isn't known.
  std::optional<Resources> of_targets;
};

/// A value to be stored, or a key to be erased.
struct RecordWrite {
  std::string key;  ///< Relative to the cell's key prefix.
  std::string value;
  bool erase = false;
};

/// Queues of jobs with a change that is not in a batch yet, oldest change
/// first. They may contain jobs that have been written in the meantime.
struct WriteQueues {
  std::deque<JobId> urgent;  ///< Jobs whose change a caller waits for.
  std::deque<JobId> others;
  std::size_t count = 0;      ///< Number of jobs with an unwritten change.
  std::optional<Time> since;  ///< Time of the oldest unwritten change.
};

/// A record that holds the specifications of several jobs.
struct JobBundle {
  std::vector<JobId> jobs;  ///< All jobs in the record, open or ended.
  std::size_t open = 0;     ///< Number of jobs that have not ended.
  std::size_t bytes = 0;    ///< Approximate size of the record.
};

/// A record that holds the ends of several jobs. Its jobs are removed together,
/// so that a next owner never loads the end of a removed job.
struct EndBundle {
  std::string key;
  std::vector<JobId> jobs;
  Time first;           ///< Time of the oldest end in the record.
  Time last;            ///< Time of the newest end in the record.
  bool loaded = false;  ///< Written by a former owner.
};

/// A record to be erased, and the jobs to be removed with it.
struct Erasure {
  std::string key;
  std::vector<JobId> forgotten;
};

/// Index of the stored job records.
struct Bundles {
  std::map<std::string, JobBundle> jobs;
  std::string newest_jobs;  ///< Key of the record that new jobs go to.
  /// Keys in `jobs` of records to be merged.
  std::set<std::string> to_compact;
  std::deque<EndBundle> ends;  ///< Ordered by the times of the ends.
  std::deque<Erasure> erasures;
  std::uint64_t next = 1;
};

/// A record that is not written although it has changed.
struct OmittedRecord {
  std::string key;
  std::size_t bytes = 0;
};

/// A set of writes that become durable together.
struct Batch {
  std::vector<RecordWrite> writes;
  std::vector<std::pair<JobId, std::uint64_t>> versions;
  std::vector<JobId> forgotten;
  std::vector<TargetId> targets;  ///< Stored target list, if in this batch.
  std::vector<TargetId> closed;   ///< Those whose runs are stored.
  std::vector<OmittedRecord> omitted;  ///< Longer than the store accepts.
  Time taken_at;  ///< Once it is stored: this host owned the cell then.
};

struct Cell {
  Options options;
  Rules rules;
  Epoch epoch = 0;
  Time claimed_at;
  Time former_renewals_until;  ///< The former owner renews no lease later.
  /// How long former owners in a row had not recovered, by their records.
  Millis unrecovered_before{0};
  /// Until then live targets may be missing from the list, since the store was
  /// unavailable. They can't be asked what they have run.
  Time targets_listed_by;
  /// The latest time at which this host owned the cell for certain. Leases that
  /// end later may have been renewed by a next owner.
  Time owned_at;
  bool loaded = false;        ///< Stored jobs are loaded; work is accepted.
  bool recovered = false;     ///< No unreported run of a former owner is left.
  bool store_healthy = true;  ///< The store answers writes in time.
  std::map<std::string, Queue, std::less<>> queues;
  /// Queues and teams that have jobs, by name.
  std::map<QueueName, Kept<Queue>, std::less<>> kept_queues;
  std::map<TeamName, Kept<TeamKeys>, std::less<>> kept_teams;
  std::uint64_t next_kept_record = 1;
  Time kept_checked;  ///< When unused ones were last looked for.
  std::map<std::string, Team, std::less<>> teams;
  std::map<std::string, Service, std::less<>> services;
  std::unordered_map<JobId, Job> jobs;
  std::map<TargetId, Target> targets;
  std::map<TeamName, TeamUsage> usage;
  Resources unattributed;       ///< Used by runs of unknown jobs.
  EndedRunsBySteps ended_runs;  ///< Of the runs that are known.
  /// `ended_runs` or `unknown.of_ended_jobs` isn't stored yet.
  bool ended_runs_dirty = false;
  bool ended_runs_stored = false;  ///< The stored ones aren't empty.
  UnknownRuns unknown;  ///< Brought up to date while `recovered` is false.
  /// Tasks with so many crashes that they may be given up.
  std::set<TaskId> accused;
  /// Crashes of jobs that were given up for them, latest last.
  std::deque<TaskCrash> explained_crashes;
  std::set<StepRef> ready;  ///< Steps with tasks waiting to start.
  /// Recurring jobs with occurrences that are due and have no objects.
  std::set<JobId> behind;
  JobId behind_last;  ///< The last of them that was looked at.
  /// Steps of all occurrences of recurring jobs that have objects.
  std::size_t recurring_steps = 0;
  std::size_t job_bytes = 0;  ///< Approximate memory of all jobs.
  std::size_t run_count = 0;  ///< Number of runs on all targets.
  /// Data centres whose targets get no starts. Some may have no targets.
  std::set<DataCentre> evacuated;
  bool evacuated_known = false;  ///< SetEvacuated has been called.
  /// The list of targets shows every change until then; empty before the first
  /// list.
  std::optional<Time> targets_as_of;
  std::optional<Time> first_start;  ///< When this owner started its first task.
  std::vector<AdviceLane> lanes;
  std::map<std::uint64_t, OpenAdvice> open_advice;
  std::map<QueueName, AdviceStats> advice_stats;
  GangWaits gang_waits;
  std::uint64_t next_ask = 1;
  UrgentArrivals urgent_arrivals;
  RateGauge freed_cpu;                 ///< Released by runs, in millicores.
  std::int64_t freed_since_round = 0;  ///< Not in `freed_cpu` yet.
  RateGauge urgent_advice;             ///< Adviser time of urgent calls, in ms.
  RateGauge ended_work;  ///< Declared work of tasks that ended well.
  WaitingWork waiting_work;
  /// Since when more work has waited than Options::busy_backlog; empty if not.
  std::optional<Time> backlog_since;
  /// Processor that is kept free for urgent work, in millicores.
  std::int64_t headroom_cpu = 0;
  /// Since when work has waited that fits into room that is free; empty if
  /// there is none.
  std::optional<Time> idle_since;
  InterferenceTable interference;
  WriteQueues writes;
  Bundles bundles;
  /// Unstarted jobs by the queue that accepted them.
  std::map<QueueName, std::uint32_t> pending;
  /// CPU demand of waiting tasks, in millicores.
  std::int64_t backlog_cpu = 0;
  /// Part of `backlog_cpu` of jobs beyond their team's share, in millicores.
  std::int64_t excess_cpu = 0;
  /// CPU capacity of the targets that accept work, in millicores.
  std::int64_t capacity_cpu = 0;
  /// Part of `capacity_cpu` that no run holds, in millicores.
  std::int64_t free_cpu = 0;
  /// Targets that may run unreported tasks of a former owner.
  std::map<TargetId, ExpectedTarget> expected;
  /// Runs on silent targets that StartService takes over.
  std::vector<std::pair<TargetId, RunId>> inherited;
  Time expected_stored;  ///< When `expected` was last stored.
  /// Stored capacities by service, none of which includes another. Jobs that
  /// fit one are accepted although all targets may have less now.
  std::map<std::string, std::vector<Resources>, std::less<>> largest;
  bool largest_grown = false;  ///< `largest` isn't stored yet.
  Time largest_checked;        ///< When `largest` was last brought up to date.
  bool targets_dirty = false;  ///< The stored list of targets is outdated.
  bool silent_stored = false;  ///< This owner has stored silent targets.
  bool plan_due = false;
  WallMillis wall_offset = 0;  ///< Wall clock minus `Time`, ms.
};

}  // namespace buckthornmux::cell
