/// Decisions of a cell: which job is taken, which task starts where and when.
/// Pure: (state, event, now) -> actions, no I/O, no clocks.
#pragma once

#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "buckthornmux/detail/cell/state.h"

namespace buckthornmux::cell {

// ---- Actions ----------------------------------------------------------------

/// Answers a submit: taken and stored, or refused.
struct AnswerSubmit {
  CallId call = 0;
  std::optional<Error> error;  ///< None: accepted.
};
/// Answers a cancel. `known` is false where no such job exists.
struct AnswerCancel {
  CallId call = 0;
  bool known = false;
};
/// Sends a start; its outcome comes back as StartAnswered.
struct SendStart {
  TargetId target;
  std::int64_t life = 0;
  RunId run;
  std::string payload;
  std::string checkpoint;
  std::string ticket;
  std::int64_t deadline_ms = 0;  ///< On the target's clock.
};
/// Sends a stop; its outcome comes back as StopAnswered.
struct SendStop {
  TargetId target;
  std::int64_t life = 0;
  RunId run;
};
/// Asks the adviser through a host; answered by AdviceAnswered.
struct AskAdvice {
  std::uint64_t ask = 0;
  HostId lane;
  StepRef step;
  std::vector<TargetId> targets;
  Millis timeout{0};
};
/// A decision worth a log line.
struct Decision {
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;
};
/// Another owner with a higher epoch was seen at a target.
struct FencedOff {
  TargetId target;
};

using Action = std::variant<AnswerSubmit, AnswerCancel, SendStart, SendStop,
                            AskAdvice, Decision, FencedOff>;
using Actions = std::vector<Action>;

// ---- Queries ----------------------------------------------------------------

/// @brief What a caller is told of a job.
/// @return nothing where there is no such job of that team
[[nodiscard]] std::optional<JobPhase> PhaseOf(const Cell& cell,
                                              std::string_view job);

/// @brief Jobs of a queue of which no task has been started.
[[nodiscard]] std::uint32_t PendingOf(const Cell& cell, std::string_view queue);

/// @brief What the next report call to a target carries.
struct ReportCall {
  std::int64_t deadline_ms = 0;  ///< 0: the target's clock is not known yet.
  std::uint64_t acked_end = 0;
};
[[nodiscard]] ReportCall MakeReportCall(const Cell& cell, const Target& target,
                                        Time now);

/// How full a cell is.
struct Load {
  std::size_t targets = 0;             ///< That take work.
  Resources capacity;                  ///< Of these targets...
  Resources free;                      ///< ...and what no run holds of it.
  std::int64_t waiting_cpu_milli = 0;  ///< Of tasks whose turn has come.
  std::int64_t limited_cpu_milli = 0;  ///< Of these, held back by team limits.
  std::size_t steps_waiting = 0;
  std::size_t steps_without_ticket = 0;
  std::size_t lanes_busy = 0;  ///< Hosts that ask the adviser just now.
  /// Targets for which work of a former owner's time waits, the one that may
  /// run something for longest, and for how long that is.
  std::size_t unreported = 0;
  TargetId unreported_last;
  Millis unreported_for{0};
};
[[nodiscard]] Load LoadOf(const Cell& cell, Time now);

/// @brief Time a good answer may take, as the queue's rules define it.
[[nodiscard]] Millis ObjectiveOf(const Queue& queue, const JobSpec& spec);

/// @brief Estimated time from a step's start to the end of the job.
[[nodiscard]] Millis ChainFrom(const JobSpec& spec, std::uint32_t step);

// ---- Commands ---------------------------------------------------------------

/// @brief Takes over the records of a former owner.
/// @param records key and value, as EncodeBatch wrote them, in any order
/// Errors: kMalformed names the first record that can't be read; the cell must
/// not take work then.
[[nodiscard]] Result<std::size_t> LoadRecords(
    Cell& cell, std::span<const RecordWrite> records, Time now);

/// @brief Ends loading: from now on work is taken.
void StartService(Cell& cell, Actions& actions, Time now);

/// @brief Where something may run that this owner or one before it started, and
///   for how long; for the next owner. This one starts and renews nothing more.
[[nodiscard]] std::string EncodeLeft(const Cell& cell, Time now);

/// @brief Takes what the former owner has told: old work waits for no other
///   targets, and no longer.
/// @param left as EncodeLeft gave it
/// @param age since then
/// @return how many targets old work still waits for; errors: kMalformed
Result<std::size_t> TakeLeft(Cell& cell, Actions& actions,
                             std::string_view left, Millis age, Time now);

/// @brief Puts a configuration in force.
void SetRules(Cell& cell, Actions& actions, Rules rules, Time now);

/// @brief Takes a new list of targets.
void SetTargets(Cell& cell, Actions& actions,
                std::span<const TargetEntry> entries, Time now);

/// @brief Names the hosts through which the adviser can be asked.
void SetLanes(Cell& cell, std::span<const HostId> hosts);

/// @brief A job is handed in. Answered once it is stored, or refused at once.
/// @param answer_by no caller waits for the answer after this: a job that no
///   write has left for by then is refused
void Submit(Cell& cell, Actions& actions, CallId call, JobSpec spec, Time now,
            Time answer_by = Time::max());

/// @brief A job is cancelled. Answered once that is stored.
void Cancel(Cell& cell, Actions& actions, CallId call, std::string_view job,
            std::string_view team, Time now);

/// @brief A start was answered.
void StartAnswered(Cell& cell, Actions& actions, const TargetId& target,
                   const RunId& run, OrderOutcome outcome, Time now);

/// @brief A stop was answered.
void StopAnswered(Cell& cell, Actions& actions, const TargetId& target,
                  const RunId& run, OrderOutcome outcome, Time now);

/// @brief A target told of its runs.
/// @param sent_at when the call left; what was ordered later is not in it
void Reported(Cell& cell, Actions& actions, const TargetId& target,
              const TargetReport& report, Time sent_at, Time now);

/// @brief A report call had no answer.
void ReportFailed(Cell& cell, Actions& actions, const TargetId& target,
                  OrderOutcome outcome, Time now);

/// @brief A renewal left for a target: what runs there may run until then.
void LeaseSent(Cell& cell, const TargetId& target, Time now);

/// @brief The adviser answered, or did not in time (no tickets, `answered`
///   false).
void AdviceAnswered(Cell& cell, Actions& actions, std::uint64_t ask,
                    bool answered, std::span<const Ticket> tickets, Time now);

/// @brief Collects changes to store.
/// @param max_writes most records of one batch
/// @return nothing where no change is due yet
[[nodiscard]] std::optional<Batch> TakeBatch(Cell& cell, std::size_t max_writes,
                                             Time now);

/// @brief A batch is stored.
void BatchStored(Cell& cell, Actions& actions, const Batch& batch, Time now);

/// @brief Whether writes are answered in time.
void SetStoreWell(Cell& cell, Actions& actions, bool well);

/// @brief Time passed: repeats orders, begins occurrences, forgets old jobs.
void Tick(Cell& cell, Actions& actions, Time now);

/// @brief Starts what can start, asks the adviser for what can start soon.
void Plan(Cell& cell, Actions& actions, Time now);

}  // namespace buckthornmux::cell
