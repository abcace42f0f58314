/// Internal functions of the cell, shared by the implementation of cell.h.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "buckthornmux/detail/cell/cell.h"

namespace buckthornmux::cell {

/// Gap left in a task's run numbers after a takeover: the numbers of runs that
/// a former owner started but that this one has not seen exceed the highest
/// known number by less than this.
inline constexpr std::uint32_t kTakeoverRunNumberGap = 64;

/// Adds a decision to be logged to the actions.
void Note(Actions& actions, std::string event,
          std::initializer_list<std::pair<std::string, std::string>> fields);

/// Formats a task for log lines as job.occurrence.step.index.
[[nodiscard]] std::string TaskName(const TaskId& task);
[[nodiscard]] std::string_view PhaseName(JobPhase phase);
[[nodiscard]] std::string_view EndName(RunEnd end);
[[nodiscard]] std::string_view OutcomeName(OrderOutcome outcome);

/// Whether much work waits and hardly any room is free.
[[nodiscard]] bool IsBusy(const Cell& cell);

[[nodiscard]] Job* FindJob(Cell& cell, std::string_view id);
[[nodiscard]] const Job* FindJob(const Cell& cell, std::string_view id);
[[nodiscard]] Target* FindTarget(Cell& cell, const TargetId& id);
[[nodiscard]] Step* FindStep(Job& job, std::uint32_t occurrence,
                             std::uint32_t step);
[[nodiscard]] const Step* FindStep(const Job& job, std::uint32_t occurrence,
                                   std::uint32_t step);
/// Finds a task of an open occurrence; null if there is none or it is done.
[[nodiscard]] Task* FindTask(Job& job, const TaskId& id);

/// Estimates the time from the start of each step to the end of the job.
[[nodiscard]] std::vector<Millis> ChainsOf(const JobSpec& spec);

/// Marks a job as changed, to be stored; `urgent` if a caller waits for it.
void MarkChanged(Cell& cell, Job& job, bool urgent, Time now);

/// Erases end records whose jobs have passed their retention time.
void ForgetOld(Cell& cell, Time now);

/// Ends a job and stops its runs.
void EndJob(Cell& cell, Actions& actions, Job& job, JobPhase phase,
            std::string_view why, Time now);

/// Makes an occurrence of which nothing has been started.
[[nodiscard]] Occurrence MakeOccurrence(const Cell& cell, const Job& job);

/// Memory that a job takes, bytes.
[[nodiscard]] std::size_t BytesOf(const JobSpec& spec, bool ended);

/// Brings the memory that is counted for a job up to date.
void CountBytes(Cell& cell, Job& job);

/// Forgets a job, if it is known.
void DropJob(Cell& cell, const JobId& id);

/// Number of the first run of a task that was never started.
[[nodiscard]] std::uint32_t FirstRunOf(const Cell& cell, const Job& job);

/// Begins a job that runs once; marks a recurring one that is behind.
void BeginDue(Cell& cell, Job& job, Time now);

/// Begins occurrences that are due, oldest first, as long as all that wait with
/// objects may start in one round.
void OpenDue(Cell& cell, Actions& actions, Time now);

/// Gives objects to the occurrence of a run that a target has reported. A
/// former owner may have begun it without storing that.
void OpenReported(Cell& cell, Job& job, const TaskId& task, Time now);

/// Takes over an open occurrence, or occurrences of which nothing but the steps
/// in `done` has been started, from a stored record. Occurrences that are known
/// already, or haven't begun by Job::occurrences_begun, are ignored.
void RestoreOccurrence(Cell& cell, Job& job, std::uint32_t number,
                       Occurrence occurrence);
void RestoreShelf(Cell& cell, Job& job, DoneSteps done, std::uint32_t first,
                  std::uint32_t last);

/// Drops the objects of one occurrence, or of all, also of the shelved ones.
void CloseOccurrence(Cell& cell, Job& job, std::uint32_t number);
void CloseOccurrences(Cell& cell, Job& job);

/// Shelves an occurrence that waits as many others of its job do.
void ShelveIfIdle(Cell& cell, Job& job, std::uint32_t number);

/// Occurrences of a job that are due and haven't begun.
[[nodiscard]] std::uint64_t CountNotBegun(const Cell& cell, const Job& job,
                                          Time now);

/// Occurrences of a job that are due and have no objects.
[[nodiscard]] std::uint64_t CountUnopened(const Cell& cell, const Job& job,
                                          Time now);

/// Keeps the checkpoint that a target has reported, unless it is too long.
void KeepCheckpoint(Actions& actions, Job& job, const RunId& id,
                    const Target& target, const std::string& checkpoint);

/// Puts steps whose predecessors are done into the ready set.
void RefreshReady(Cell& cell, Job& job, std::uint32_t occurrence, Time now);

/// Updates the entry of a step in the ready set.
void RefreshStep(Cell& cell, Job& job, std::uint32_t occurrence,
                 std::uint32_t step);

/// Removes a run; its task waits again unless it is done.
void ReleaseRun(Cell& cell, Target& target, const RunId& id);

/// Adds a run to a target and reserves its resources.
void AddRun(Cell& cell, Target& target, const RunId& id, Run run);

/// Notes a run of a job that has ended.
void CountEndedRun(Cell& cell, const RunId& id, const Run& run);

/// Makes a run that a target has confirmed.
[[nodiscard]] Run MakeRun(const Job& job, std::uint32_t step, Time now);

/// Marks a job as running: a target has begun a task of it. A start that was
/// sent may still be refused.
void NoteBegun(Cell& cell, Job& job);

/// Marks the task of a run as live, and its job as running.
void HoldTask(Cell& cell, Job& job, const RunId& id, const Target& target);

/// Takes over the runs on silent targets that the former owner knew.
void InheritRuns(Cell& cell, Actions& actions, Time now);

/// Releases the inherited run of a task if a later run of it is known.
void ReleaseSupersededRun(Cell& cell, Job& job, const RunId& later);

/// Stops a run; its resources are held until the end is reported.
void StopRun(Cell& cell, Actions& actions, Target& target, const RunId& id,
             std::string_view why, Time now);

/// Sends the stop of a run.
void SendStopNow(Cell& cell, Actions& actions, Target& target, const RunId& id,
                 Run& run, Time now);

/// Sends unanswered starts again, or stops them, that a shrunk room, a lowered
/// team limit or an evacuation held back.
void SettleHeldStarts(Cell& cell, Actions& actions, Target& target, Time now);

/// Repeats the stops that were not answered.
void ResendStops(Cell& cell, Actions& actions, Target& target, Time now);

/// Drops the runs of a silent target once its lease has expired.
void ExpireTarget(Cell& cell, Actions& actions, Target& target, Time now);

/// Handles the reported end of a run, which may be a duplicate.
void HandleRunEnd(Cell& cell, Actions& actions, Target& target,
                  const EndReport& end, Time now);

/// When a run began, as far as is known.
[[nodiscard]] Time BeganAt(const Run& run);

/// Whether a task may have caused the crash of a target.
[[nodiscard]] bool IsSuspect(const Task& task);

/// Whether a task is suspected although no crash came soon after its start.
[[nodiscard]] bool IsRepeatedSuspect(const Task& task);

/// Records the crash of a target's process for the tasks that it ran. Those
/// that had just begun are suspected; without such, all of them are.
/// @param crashed_at latest time at which the process may have crashed
/// @param runs runs that the process had, still held by the target
void HandleCrash(Cell& cell, Actions& actions, const Target& target,
                 Time crashed_at, std::span<const RunId> runs, Time now);

/// Notes the tasks of a loaded step that JudgeAccused has to look at.
void AccuseRestored(Cell& cell, const StepRef& ref, const Step& step);

/// Gives up the tasks that wait after several crashes and are beyond doubt by
/// now, since the others that were beside them have been cleared.
void JudgeAccused(Cell& cell, Actions& actions, Time now);

/// Lifts the suspicion that a task crashes targets soon after its start, or any
/// suspicion.
void ClearSuspicion(Cell& cell, Actions& actions, const RunId& id,
                    bool of_all_crashes, Time now);

/// Drops a run that has ended with its target's life or lease.
void DropRun(Cell& cell, Actions& actions, Target& target, const RunId& id,
             std::string_view why);

/// Extrapolates the duration of a complete run from its progress; empty until
/// the run has been observed for some time. Progress is measured from its first
/// report, since a task needs some time before it begins to work.
[[nodiscard]] std::optional<Millis> EstimateRunTime(const Run& run, Time now);

/// Stops the runs on a draining target that won't end before it leaves, so that
/// their tasks continue elsewhere from a fresh checkpoint. Without a stop they
/// would be lost, and their tasks would wait for the end of the lease.
void StopRunsThatOutlast(Cell& cell, Actions& actions, Target& target,
                         Time now);

/// Whether a target is in a data centre that is being evacuated.
[[nodiscard]] bool IsEvacuated(const Cell& cell, const Target& target);

/// Whether a start, a first or a repeated one, may be sent to a target. It may
/// not if the target is evacuated or drains, or while that isn't known.
[[nodiscard]] bool MayStartOn(const Cell& cell, const Target& target, Time now);

/// Advances the acknowledged end up to the first whose job isn't stored.
void AdvanceAcks(Cell& cell, Target& target);

/// Maximum time that runs of a target continue after its last renewal.
[[nodiscard]] Millis MaxLeaseLifetime(const Options& options);

/// Notes the largest capacities of the targets, to be stored if they have
/// grown.
void NoteLargestCapacities(Cell& cell, Time now);

/// Refuses new jobs whose callers are about to time out and for which no write
/// has been sent yet.
void RefuseOverdue(Cell& cell, Actions& actions, Time now);

/// @brief Returns the targets that may have unreported runs of a former owner.
[[nodiscard]] std::vector<TargetId> Unreported(const Cell& cell, Time now);

/// How long former owners in a row and this one have not recovered.
[[nodiscard]] Millis UnrecoveredFor(const Cell& cell, Time now);

/// Ends recovery once no unreported run of a former owner can be left.
void CheckRecovery(Cell& cell, Actions& actions, Time now);

/// Lease deadline for a start or renewal at a target, on the target's clock.
[[nodiscard]] std::int64_t DeadlineAt(const Cell& cell, const Target& target,
                                      Time now);

[[nodiscard]] inline std::int64_t ToMs(Time time) {
  return time.time_since_epoch().count();
}

/// Free resources of a target.
[[nodiscard]] Resources RoomOf(const Target& target);

/// Resources that a task of a step reserves at a target.
[[nodiscard]] Resources ReservedBy(const StepSpec& step);

}  // namespace buckthornmux::cell
