/// What a team may have running now, and what its limit allows. Planning,
/// gangs, advice and load figures ask here, so that no other source counts by
/// itself.
#pragma once

#include "src/cell/internal.h"

namespace buckthornmux::cell {

struct TeamCount {
  /// Of the runs that this owner knows, including those being stopped.
  Resources known;
  /// At most this much more may run that a former owner has started.
  Resources unknown;
};

/// @brief Counts what no report has shown yet. Must be called before the teams'
///   limits are asked for.
void CountUnknownRuns(Cell& cell, Time now);

[[nodiscard]] TeamCount CountOf(const Cell& cell, const TeamName& team);

/// @brief Returns what the limit of a team leaves for more runs.
[[nodiscard]] Resources RoomOfTeam(const Cell& cell, const TeamName& team);

/// @brief Keeps counting the runs that a former owner may have started of a job
///   that is about to end.
void KeepUnknownRuns(Cell& cell, const Job& job, Time now);

/// @brief Makes a run that a former owner started. Its step isn't known if its
///   job has ended or isn't known either: then the run is charged as the former
///   owner has stored it, or as if it had all the room of its target, and to
///   all teams if its job isn't known.
[[nodiscard]] Run MakeFormerRun(Cell& cell, const Target& target,
                                const RunId& id, Time now);

/// @brief Whether a team's limit allows `more` resources in use.
[[nodiscard]] bool TeamAllows(const Cell& cell, const TeamName& team,
                              const Resources& more);

/// @brief Whether a team's limit allows one more task. A task that is larger
///   than the limit, which was lowered after it was accepted, may start while
///   its team uses less than half of the limit.
[[nodiscard]] bool TeamAllowsTask(const Cell& cell, const TeamName& team,
                                  const Resources& task);

/// @brief Whether a team's limit allows a run that is counted already.
[[nodiscard]] bool TeamAllowsRun(const Cell& cell, const Run& run);

/// @brief Whether TeamAllows would hold, if there were no unknown runs.
[[nodiscard]] bool KnownRunsAllow(const Cell& cell, const TeamName& team,
                                  const Resources& more);

/// @brief Logs the teams of which the limit began or ceased to hold work back,
///   or for which unknown runs began or ceased to matter.
/// @param limited teams whose work was held back in this round, true if only
///   because of unknown runs
void NoteLimits(Cell& cell, Actions& actions,
                const std::map<TeamName, bool>& limited, Time now);

}  // namespace buckthornmux::cell
