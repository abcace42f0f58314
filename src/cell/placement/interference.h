/// Finds kinds of tasks that slow each other down when they share a target, and
/// rates targets by it. Runs of the same step are compared, since declared
/// estimates are off and the run times of different steps can't be compared.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/cell/interference_table.h"

namespace buckthornmux::cell {

/// A complete run of a step.
struct StepRun {
  double log_time = 0;  ///< Logarithm of its run time at the usual speed.
  KindSet beside = 0;   ///< Kinds beside it for at least half of its time.
};

/// A pair that was found to interfere, or does so no longer.
struct PairChange {
  std::string kind;
  std::string beside;
  bool found = false;
  double slowdown = 1;
};

/// @brief Returns the number of a kind; 0 if there is no place for it.
/// @param cpu_milli demand of a task, whose size class stands for the image of
///   tasks without one
[[nodiscard]] KindNumber KindOf(InterferenceTable& table,
                                std::string_view queue, std::string_view image,
                                std::int64_t cpu_milli, Time now);

/// @brief Notes a run that has ended.
/// @param others earlier complete runs of its step
void Observe(InterferenceTable& table, KindNumber kind, const StepRun& run,
             std::span<const StepRun> others, std::string_view job,
             std::string_view team, Time now);

/// @brief Run time of a kind beside another one relative to that without it. Is
///   1 unless interference was found.
[[nodiscard]] double Slowdown(const InterferenceTable& table, KindNumber kind,
                              KindNumber beside);

/// @brief Ages the evidence and judges all pairs.
[[nodiscard]] std::vector<PairChange> Age(InterferenceTable& table, Time now);

/// @brief Slowdown, less 1, that a start causes or suffers at a target, at most
///   1. What a kind causes to another one counts only if several teams have
///   seen it, so that no team can keep others away from itself.
/// @param present kinds that run there
[[nodiscard]] double Disturbance(const InterferenceTable& table,
                                 KindNumber kind, KindSet present);

[[nodiscard]] inline KindSet SetOf(KindNumber kind) {
  return kind == 0 ? 0 : KindSet{1} << kind;
}

}  // namespace buckthornmux::cell
