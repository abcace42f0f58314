/// Which jobs are within their team's share, and how much excess a cell takes.
#pragma once

#include "src/cell/internal.h"

namespace buckthornmux::cell {

/// @brief Takes a token from a team's bucket.
/// @return whether there was one: the job is within its team's share
[[nodiscard]] bool TakeToken(Cell& cell, const TeamName& name, Time now);

/// @brief Whether so much excess waits that more of it is refused, also while
///   room is free: waiting steps that lack tickets don't use it, and each of
///   them takes planning time.
[[nodiscard]] bool IsExcessFull(const Cell& cell);

/// @brief Finds out which open jobs of a former owner are beyond their team's
///   share, by their times of arrival. That isn't stored.
void RestoreShares(Cell& cell, Time now);

}  // namespace buckthornmux::cell
