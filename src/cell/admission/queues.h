/// Queues of requests and of accepted jobs. A request is handled by the
/// configuration in force; an accepted job also by a former one if its queue
/// has been removed since.
#pragma once

#include <string_view>

#include "src/cell/internal.h"

namespace buckthornmux::cell {

/// @brief Finds a queue of the configuration in force; null if it has none of
///   this name.
[[nodiscard]] const Queue* FindQueue(const Cell& cell, std::string_view name);

/// @brief Returns the queue by which a job is scheduled: the one in force, else
///   the one that accepted the job, as last defined.
/// @return null only for a job of an earlier build whose queue was removed
[[nodiscard]] const Queue* QueueOf(const Cell& cell, const Job& job);

/// @brief Returns the name of the queue in force to which the paths of a queue
///   lead now; the queue's own name if it is in force or they lead nowhere.
[[nodiscard]] std::string_view CurrentName(const Cell& cell,
                                           std::string_view name);

/// @brief Keeps the definition of a queue that accepts a job.
void KeepQueue(Cell& cell, const Queue& queue, Time now);

/// @brief Brings the kept definitions up to date after a change of the
///   configuration.
void UpdateKeptQueues(Cell& cell, Actions& actions, Time now);

/// @brief Periodically drops queues and teams that no job needs any more, and
///   lets removed queues follow their paths if their targets are gone.
void SettleKept(Cell& cell, Actions& actions, Time now);

/// @brief Logs the queues of open jobs that are neither in force nor stored.
void NoteUnknownQueues(const Cell& cell, Actions& actions);

}  // namespace buckthornmux::cell
