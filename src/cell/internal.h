/// Steps that the functions of cell.h are made of.
#pragma once

#include <initializer_list>
#include <string>
#include <utility>

#include "buckthornmux/detail/cell/cell.h"

namespace buckthornmux::cell {

/// Adds a log line's content to the actions.
void Note(Actions& actions, std::string event,
          std::initializer_list<std::pair<std::string, std::string>> fields);

/// Name of a task in log lines: job.occurrence.step.index.
[[nodiscard]] std::string TaskName(const TaskId& task);
[[nodiscard]] std::string_view PhaseName(JobPhase phase);
[[nodiscard]] std::string_view EndName(RunEnd end);
[[nodiscard]] std::string_view OutcomeName(OrderOutcome outcome);

[[nodiscard]] Job* FindJob(Cell& cell, std::string_view id);
[[nodiscard]] const Job* FindJob(const Cell& cell, std::string_view id);
[[nodiscard]] Target* FindTarget(Cell& cell, const TargetId& id);
[[nodiscard]] Step* FindStep(Job& job, std::uint32_t occurrence,
                             std::uint32_t step);
[[nodiscard]] const Step* FindStep(const Job& job, std::uint32_t occurrence,
                                   std::uint32_t step);
/// The task of an open occurrence; null where there is none such.
[[nodiscard]] Task* FindTask(Job& job, const TaskId& id);
[[nodiscard]] const Queue* QueueOf(const Cell& cell, std::string_view name);

/// Marks a change of a job that must be stored; `urgent` where a caller waits.
void Touch(Cell& cell, Job& job, bool urgent, Time now);

/// Has the records of ends erased whose jobs have been told of long enough.
void ForgetOld(Cell& cell, Time now);

/// Ends a job and stops what runs of it.
void EndJob(Cell& cell, Actions& actions, Job& job, JobPhase phase,
            std::string_view why, Time now);

/// Begins the occurrences that are due.
void BeginDue(Cell& cell, Actions& actions, Job& job, Time now);

/// Puts steps whose predecessors are done into the ready set.
void RefreshReady(Cell& cell, Job& job, std::uint32_t occurrence, Time now);

/// Keeps the ready set in step with one step's tasks.
void RefreshStep(Cell& cell, const Job& job, std::uint32_t occurrence,
                 std::uint32_t step);

/// A run is no more; its task waits again unless it is done.
void ReleaseRun(Cell& cell, Target& target, const RunId& id);

/// Room that a run takes at a target.
void HoldRoom(Cell& cell, Target& target, const RunId& id, Run run);

/// Asks a target to stop a run; room is held until its end is reported.
void StopRun(Cell& cell, Actions& actions, Target& target, const RunId& id,
             std::string_view why, Time now);

/// Sends a stop that is due.
void SendStopNow(Cell& cell, Actions& actions, Target& target, const RunId& id,
                 Run& run, Time now);

/// Repeats the stops that were not answered.
void RepeatOrders(Cell& cell, Actions& actions, Target& target, Time now);

/// Forgets what ran on a silent target once its lease is over.
void ExpireTarget(Cell& cell, Actions& actions, Target& target, Time now);

/// Takes in an end of a run, seen or unseen before.
void TakeEnd(Cell& cell, Actions& actions, Target& target, const EndReport& end,
             Time now);

/// Drops everything on a target: its life or its lease is over.
void DropRuns(Cell& cell, Actions& actions, Target& target,
              std::string_view why);

/// Lets ends be acknowledged whose jobs are stored.
void AdvanceAcks(Cell& cell, Target& target);

/// How long what runs on a target may go on after its last renewal.
[[nodiscard]] Millis LeaseLapse(const Options& options);

/// Refuses new jobs whose callers are about to give up and for which no write
/// has left yet.
void RefuseOverdue(Cell& cell, Actions& actions, Time now);

/// @brief Targets on which a former owner's runs may still be unseen.
[[nodiscard]] std::vector<TargetId> Unreported(const Cell& cell, Time now);

/// Whether nothing that a former owner started can run unseen; ends recovery.
void CheckRecovery(Cell& cell, Actions& actions, Time now);

/// Deadline for what is started or renewed at a target, on its clock.
[[nodiscard]] std::int64_t DeadlineAt(const Cell& cell, const Target& target,
                                      Time now);

[[nodiscard]] inline std::int64_t ToMs(Time time) {
  return time.time_since_epoch().count();
}

/// Room that is left at a target.
[[nodiscard]] Resources RoomOf(const Target& target);

/// What a task of a step takes from a target's room.
[[nodiscard]] Resources ReservedBy(const StepSpec& step);

/// Whether a team may have this much more running.
[[nodiscard]] bool TeamAllows(const Cell& cell, const TeamName& team,
                              const Resources& more);

}  // namespace buckthornmux::cell
