/// Scheduling decisions of a cell: which jobs are accepted, and where and when
/// each task starts. The functions are pure, (state, event, now) -> actions:
/// they do no I/O and read no clocks.
#pragma once

#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "buckthornmux/detail/cell/state.h"

namespace buckthornmux::cell {

// ---- Actions ----------------------------------------------------------------

/// Answers a submit: the job is accepted and stored, or refused.
struct AnswerSubmit {
  CallId call = 0;
  std::optional<Error> error;  ///< Empty if the job was accepted.
  /// A job of this id exists: a refusal must not say that it doesn't run.
  bool exists = false;
  Millis retry_after{0};  ///< After a refusal; 0: as usual for the error.
};
/// Answers a cancel: the job has ended, and that is stored, or no such job
/// exists, or the caller may not act on it.
struct AnswerCancel {
  CallId call = 0;
  bool known = false;          ///< The job has ended.
  std::optional<Error> error;  ///< Why the job goes on.
};
/// Sends a start to a target; the outcome is passed to StartAnswered. It must
/// reach no other process of the target than that of `life`: the deadline is on
/// the clock of that process.
struct SendStart {
  TargetId target;
  std::int64_t life = 0;
  RunId run;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  std::int64_t deadline_ms = 0;  ///< On the target's clock.
  /// A connection that was open by this time leads to that process or to none.
  Time connected_by;
  /// Not sent later: the target may have been draining for too long by then.
  Time send_by = Time::max();
};
/// Sends a stop to a target; the outcome is passed to OnStopAnswered.
struct SendStop {
  TargetId target;
  std::int64_t life = 0;
  RunId run;
};
/// Queries the adviser through a host; the answer is passed to
/// OnAdviceAnswered.
struct AskAdvice {
  std::uint64_t ask = 0;
  HostId lane;
  StepRef step;
  std::vector<TargetId> targets;
  Millis timeout{0};
};
/// A decision to be logged.
struct Decision {
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};
/// A target rejected an order because it knows an owner with a higher epoch.
struct FencedOff {
  TargetId target;
};

using Action = std::variant<AnswerSubmit, AnswerCancel, SendStart, SendStop,
                            AskAdvice, Decision, FencedOff>;
using Actions = std::vector<Action>;

// ---- Queries ----------------------------------------------------------------

/// @brief Returns the phase of a job as reported to callers.
/// @return nothing if there is no such job
[[nodiscard]] std::optional<JobPhase> PhaseOf(const Cell& cell,
                                              std::string_view job);

/// @brief Returns why a caller may not act on a job: kNotPermitted for another
///   team's, kNotReady if the caller's host knows a later configuration.
/// @return nothing if it may, or if there is no such job
[[nodiscard]] std::optional<Error> ReasonToDeny(const Cell& cell,
                                                std::string_view id,
                                                const Caller& caller);

/// @brief Counts the jobs of a queue of which no task has been started,
///   including those of removed queues whose paths lead to this one now.
[[nodiscard]] std::uint32_t PendingOf(const Cell& cell, std::string_view queue);

/// @brief Parameters of the next report call to a target.
struct ReportCall {
  std::int64_t deadline_ms = 0;  ///< 0 until the target's clock is known.
  std::uint64_t acked_end = 0;
  /// Deadline and acknowledgement are meant for the process that has reported,
  /// and would harm the runs and ends of a later one. A connection that was
  /// open by this time leads to that process or to none.
  Time connected_by;
};
[[nodiscard]] ReportCall MakeReportCall(const Cell& cell, const Target& target,
                                        Time now);

/// @brief Age of the list of targets; before the first one, time since the
///   claim.
[[nodiscard]] inline Millis ListAge(const Cell& cell, Time now) {
  return now - cell.targets_as_of.value_or(cell.claimed_at);
}

/// @brief Whether the list of targets is recent enough to start tasks by it.
[[nodiscard]] bool IsListRecent(const Cell& cell, Time now);

/// @brief Returns until when tasks may be started by the present list.
[[nodiscard]] Time ListUsableUntil(const Cell& cell);

/// Utilization and backlog of a cell.
struct Load {
  std::size_t targets = 0;  ///< Targets that accept work.
  Resources capacity;       ///< Total capacity of `targets`.
  Resources free;           ///< Part of `capacity` that no run holds.
  /// Demand of tasks that are ready to start.
  std::int64_t waiting_cpu_milli = 0;
  /// Part of `waiting_cpu_milli` that team limits hold back.
  std::int64_t limited_cpu_milli = 0;
  std::size_t steps_waiting = 0;
  std::size_t steps_without_ticket = 0;
  std::size_t lanes_busy = 0;  ///< Hosts with open adviser calls.
  /// Occurrences of recurring jobs that are due and wait without objects.
  std::uint64_t occurrences_waiting = 0;
  std::size_t jobs_behind = 0;  ///< Jobs with such occurrences.
  std::size_t runs = 0;         ///< Runs on all targets.
  std::size_t job_bytes = 0;    ///< Approximate memory of all jobs.
  /// Targets that have not reported to this owner yet and may still run tasks
  /// of a former owner, whose jobs wait for them.
  std::size_t unreported = 0;
  TargetId unreported_last;  ///< Unreported target whose lease ends last.
  /// Time until the lease of `unreported_last` ends.
  Millis unreported_for{0};
  /// Last owner that may have sent orders to it, and what shows its end.
  Epoch unreported_owner = 0;
  std::string_view unreported_bound = "none";
  /// How long jobs that were taken over have not been able to start, over all
  /// owners in a row; time without an owner is missing in it.
  Millis unrecovered{0};
  /// Steps of such jobs that could start.
  std::size_t adopted_waiting = 0;
  /// Targets that are reserved for a task on probation.
  std::size_t targets_reserved = 0;
  /// Tasks that wait and are suspected of having crashed targets.
  std::size_t suspects_waiting = 0;
  /// Longest current wait that such a suspicion causes, for any task.
  Millis longest_crash_hold{0};
  /// Pairs of kinds of tasks that slow each other down.
  std::size_t interfering_pairs = 0;
  /// Processor that is kept free for urgent work, in millicores.
  std::int64_t headroom_cpu_milli = 0;
  /// How long room has been free beside waiting work that fits into it.
  Millis idle_beside_work{0};
  /// Gangs that wait beside room for them, and the longest wait of these.
  std::size_t gangs_waiting = 0;
  Millis longest_gang_wait{0};
  /// Listed targets of evacuated data centres; not part of `targets`.
  std::size_t targets_evacuated = 0;
  /// Age of the list of targets; before the first one, time since the claim.
  Millis list_age{0};
  /// Time from the claim of this owner to its first start, if it has any.
  std::optional<Millis> first_start;
};
[[nodiscard]] Load LoadOf(const Cell& cell, Time now);

/// @brief Returns the target completion time of a job under the queue's rules.
[[nodiscard]] Millis ObjectiveOf(const Queue& queue, const JobSpec& spec);

/// @brief Estimates the time from the start of a step to the end of the job.
[[nodiscard]] Millis ChainFrom(const JobSpec& spec, std::uint32_t step);

// ---- Commands ---------------------------------------------------------------

/// @brief Loads the records stored by a former owner.
/// @param records keys and values as written by EncodeBatch, in any order
/// Errors: kMalformed names the first record that can't be parsed; the cell
/// must not accept work then.
[[nodiscard]] Result<std::size_t> LoadRecords(
    Cell& cell, std::span<const RecordWrite> records, Time now);

/// @brief Ends loading; the cell accepts work from now on.
void StartService(Cell& cell, Actions& actions, Time now);

/// @brief Encodes, for the next owner, the targets on which runs of this or a
///   former owner may still be active, and how long each of them may last. The
///   caller must not start or renew runs after this call.
[[nodiscard]] std::string EncodeFormerOwnerState(const Cell& cell, Time now);

/// @brief Applies the former owner's handover: jobs that were taken over wait
///   only for the targets in it, and only for the times given there.
/// @param state the result of EncodeFormerOwnerState
/// @param age time since EncodeFormerOwnerState was called
/// @return number of targets still waited for; errors: kMalformed
Result<std::size_t> ApplyFormerOwnerState(Cell& cell, Actions& actions,
                                          std::string_view state, Millis age,
                                          Time now);

/// @brief Applies when former owners were replaced: an owner renews no lease
///   after Options::owner_discovery from then on, however many owners came
///   since. Times that are too late only prolong the wait.
void ApplySightings(Cell& cell, Actions& actions,
                    std::span<const EpochSighting> sightings, Time now);

/// @brief Applies a configuration.
void SetRules(Cell& cell, Actions& actions, Rules rules, Time now);

/// @brief Applies a new list of targets.
/// @param as_of when the reading of the list began; it shows every earlier
///   change
void SetTargets(Cell& cell, Actions& actions,
                std::span<const TargetEntry> entries, Time as_of, Time now);

/// @brief Sets the data centres that are being evacuated. From now on no start
///   is sent to their targets, neither a first nor a repeated one; their runs
///   continue. Their tickets are dropped.
/// @param data_centres the complete list; it replaces the former one
void SetEvacuated(Cell& cell, Actions& actions,
                  std::vector<DataCentre> data_centres, Time now);

/// @brief Sets the hosts through which the adviser can be queried.
void SetLanes(Cell& cell, std::span<const HostId> hosts);

/// @brief Handles a submitted job. The answer follows once the job is stored;
///   a refusal is sent immediately.
/// @param answer_by time at which the caller stops waiting; a job for which no
///   write has been sent by then is refused
void Submit(Cell& cell, Actions& actions, CallId call, JobSpec spec, Time now,
            Time answer_by = Time::max());

/// @brief Handles a cancel. The answer follows once the change is stored; a
///   caller that may not act on the job is refused immediately.
void Cancel(Cell& cell, Actions& actions, CallId call, std::string_view job,
            const Caller& caller, Time now);

/// @brief Handles the outcome of a start.
void StartAnswered(Cell& cell, Actions& actions, const TargetId& target,
                   const RunId& run, OrderOutcome outcome, Time now);

/// @brief Handles the outcome of a stop.
void OnStopAnswered(Cell& cell, Actions& actions, const TargetId& target,
                    const RunId& run, OrderOutcome outcome, Time now);

/// @brief Handles a target's report of its runs.
/// @param sent_at when the call was sent; the report omits later orders
void Reported(Cell& cell, Actions& actions, const TargetId& target,
              const TargetReport& report, Time sent_at, Time now);

/// @brief Handles a failed report call.
void ReportFailed(Cell& cell, Actions& actions, const TargetId& target,
                  OrderOutcome outcome, Time now);

/// @brief Notes that a report call is sent to a target at `now`; only one is
///   open at a time.
void OnReportSent(Cell& cell, const TargetId& target, const ReportCall& call,
                  Time now);

/// @brief Extends the lease of a target to which a deadline was sent at `now`.
void OnLeaseSent(Cell& cell, const TargetId& target, Time now);

/// @brief Handles an answer of the adviser, or its time-out (`answered` false,
///   no tickets).
void OnAdviceAnswered(Cell& cell, Actions& actions, std::uint64_t ask,
                      bool answered, std::span<const Ticket> tickets, Time now);

/// @brief Collects pending changes into a batch of writes.
/// @param max_writes maximum number of records in the batch
/// @return nothing if no change is due yet
[[nodiscard]] std::optional<Batch> TakeBatch(Cell& cell, std::size_t max_writes,
                                             Time now);

/// @brief Leaves out of a batch that the store rejects the longest record that
///   may be left out: the progress of a job, which stays unstored until it
///   changes again, or what only shortens the wait of a next owner.
/// @return the record; nothing if there is none
[[nodiscard]] std::optional<OmittedRecord> ShortenBatch(Batch& batch);

/// @brief Handles the confirmation that a batch is durable.
void OnBatchStored(Cell& cell, Actions& actions, const Batch& batch, Time now);

/// @brief Sets whether the store answers writes in time.
void SetStoreHealthy(Cell& cell, Actions& actions, bool healthy);

/// @brief Runs periodic work: resends stops, begins due occurrences, expires
///   targets and removes old jobs.
void Tick(Cell& cell, Actions& actions, Time now);

/// @brief Starts the tasks that can start now and queries the adviser for those
///   that need tickets.
void Plan(Cell& cell, Actions& actions, Time now);

}  // namespace buckthornmux::cell
