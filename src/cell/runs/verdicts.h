/// What may be concluded of a run. Planning, crashes, takeovers and
/// acknowledgements ask here, so that no other source concludes it by itself.
#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

#include "src/cell/internal.h"

namespace buckthornmux::cell {

enum class RunVerdict : std::uint8_t {
  kPossible,     ///< It may run or begin later; its task must not start again.
  kNotStarted,   ///< Its target has refused it, and executes no other order.
  kNotThere,     ///< Its target has ended it, or will refuse to begin it.
  kProcessGone,  ///< The process that ran it is gone, and its end with it.
  kLapsed,       ///< Its lease is over.
};

/// The answer to a start of the run.
struct StartOutcome {
  OrderOutcome outcome = OrderOutcome::kUnknown;
};
/// A report of its target that lists neither the run nor its end.
struct NotListed {
  Time requested;
  bool complete = true;  ///< All ends were listed.
};
/// A report of another life of its target.
struct OtherLife {
  std::int64_t life = 0;
};
/// Another target answered a call to an address.
struct OtherTarget {
  std::string_view address;
  Time requested;
};
/// Nothing but the passing of time, up to when the cell was still owned.
struct Silence {
  Time owned_at;
};

using RunEvidence =
    std::variant<StartOutcome, NotListed, OtherLife, OtherTarget, Silence>;

/// @brief Concludes what has become of a run. A run belongs to one life of its
///   target: a start reaches only the process that it is meant for, and a run
///   that a former owner started is known from a report of that life.
[[nodiscard]] RunVerdict Judge(const Options& options, const Target& target,
                               const Run& run, const RunEvidence& evidence,
                               Time now);

/// @brief Returns the latest time at which this host certainly owned the cell.
///   No next owner has renewed a lease that ended by then.
[[nodiscard]] Time OwnedAt(const Cell& cell);

/// @brief Whether a target has left calls unanswered for so long that its lease
///   isn't renewed.
[[nodiscard]] bool IsSilent(const Target& target, Time now);

/// @brief Whether a target has nothing that a next owner would have to query it
///   for. An end that isn't stored would be lost without its report.
[[nodiscard]] bool IsEmpty(const Target& target);

/// @brief Whether a target has stopped answering, but all its runs are known.
[[nodiscard]] bool IsKnownSilent(const Target& target);

/// @brief Whether a next owner needn't ask a target what runs there: all its
///   runs are known, nothing starts on it, and its ends are stored.
[[nodiscard]] bool AreRunsKnown(const Target& target);

/// @brief Whether a target may have runs of a former owner that this one
///   doesn't know.
/// @param until when the leases of such runs end
[[nodiscard]] bool MayHaveUnknownRuns(const Cell& cell, const TargetId& id,
                                      Time until, Time now);

/// @brief Whether tasks of a job that wait have no run, so that they may start.
[[nodiscard]] bool MayStartTasks(const Cell& cell, const Job& job);

/// @brief Whether a target may forget an end: no next owner needs it.
[[nodiscard]] bool MayForget(const Cell& cell, const PendingEnd& end);

}  // namespace buckthornmux::cell
