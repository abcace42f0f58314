/// Admission by completion time: a job that can't end while its result is of
/// use is refused before anything of it is stored.
#pragma once

#include <cstdint>

#include "src/cell/internal.h"

namespace buckthornmux::cell {

/// What a new job finds. Work is declared, in millicore-milliseconds.
struct AdmissionView {
  bool on = false;  ///< The cell needs admission by completion time.
  std::int64_t work_ahead = 0;
  /// Work that the cell can do, optimistically, in millicores.
  std::int64_t rate = 0;
};

struct JobNeed {
  JobId id;             ///< Spreads the callers' next tries.
  Millis chain{0};      ///< Declared run time of its critical path.
  Millis objective{0};  ///< Target time from arrival to completion.
};

struct Verdict {
  bool admitted = true;
  Millis ends_in{0};      ///< Estimated time until the job would end.
  Millis retry_after{0};  ///< If refused.
};

/// @brief Work that a cell with this state can do, in millicores, at best. The
///   measured rate counts only once it includes what was full all the time.
/// @param measured work of tasks that have ended, per second
/// @param capacity of the targets that accept work
/// @param backlogged how long more work has waited than can start
[[nodiscard]] std::int64_t BestRate(std::int64_t measured,
                                    std::int64_t capacity, Millis backlogged);

/// @brief Decides whether a job can end within three times its objective, after
///   which it has no value.
[[nodiscard]] Verdict Admit(const AdmissionView& view, const JobNeed& need);

/// @brief Collects what a new job of a priority finds.
/// @param excess the job is beyond its team's share: work beyond the share of
///   any team goes first too
[[nodiscard]] AdmissionView MakeAdmissionView(Cell& cell, int priority,
                                              bool excess, Time now);

/// @brief Adds declared work to that of its priority.
void AddWaitingWork(WaitingWork& work, int priority, bool excess,
                    std::int64_t amount);

/// @brief Declared work of some tasks of a step, in millicore-milliseconds.
[[nodiscard]] inline std::int64_t WorkOf(const StepSpec& step,
                                         std::int64_t tasks) {
  return tasks * ReservedBy(step).cpu_milli * step.estimate.count();
}

}  // namespace buckthornmux::cell
