/// Gangs that wait although there is room for them, and what they wait for.
#pragma once

#include <vector>

#include "src/cell/placement/round.h"

namespace buckthornmux::cell {

/// @brief Looks once a second for gangs that wait beside room that would hold
///   them, and logs those that have waited longest, each with its reason. By
///   these waits AskAdviceIfUseful allows several queries.
/// @param candidates steps of the round, after they were planned
void NoteGangWaits(Round& round, const std::vector<Candidate>& candidates);

/// @brief Returns the waits last looked at; none if that is long ago, since no
///   step has waited meanwhile.
[[nodiscard]] GangWaits GangWaitsAt(const Cell& cell, Time now);

}  // namespace buckthornmux::cell
