/// Who may act on a job. All kinds of call ask here.
#pragma once

#include "src/cell/internal.h"

namespace buckthornmux::cell {

/// @brief Returns why a caller may not query, cancel or repeat a job; nothing
///   if it may.
[[nodiscard]] std::optional<Error> ReasonToDeny(const Cell& cell,
                                                const Job& job,
                                                const Caller& caller);

/// @brief Keeps the keys of a team that has a job, in case its name is removed.
void KeepTeam(Cell& cell, const TeamName& name, Time now);

/// @brief Brings the kept keys up to date after a change of the configuration.
void UpdateKeptTeams(Cell& cell, Time now);

}  // namespace buckthornmux::cell
