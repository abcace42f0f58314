/// One round of planning: the targets that take work now, and their room.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "internal.h"

namespace buckthornmux::cell {

/// A target that takes work in this round.
struct Slot {
  Target* target = nullptr;
  bool kept = false;  ///< Held for a gang that waits for room.
};

/// State of one round. Built once for all steps, since a busy cell has more
/// waiting steps than targets.
struct Round {
  Cell& cell;
  Actions& actions;
  Time now;
  std::vector<Slot> slots;
  std::unordered_map<std::string_view, std::size_t> by_id;
  bool gang_waits = false;
  /// Processor time that gangs before in line have asked or hold tickets for.
  std::int64_t promised_cpu = 0;
  std::int64_t free_cpu = 0;
};

/// @brief Collects the targets that take work.
[[nodiscard]] Round BeginRound(Cell& cell, Actions& actions, Time now);

/// @brief Finds a target among those that take work; null where it does not.
[[nodiscard]] Slot* FindSlot(Round& round, const TargetId& id);

/// @brief Whether a target may run a step by service and label.
[[nodiscard]] bool Suits(const Target& target, const Queue& queue,
                         const StepSpec& step);

/// @brief How many tasks of a step still fit on a target.
[[nodiscard]] std::uint32_t SlotsOn(const Target& target, const StepSpec& spec,
                                    const StepRef& ref);

/// @brief Asks for tickets where a step lacks them and a lane is free.
void AskIfUseful(Round& round, const StepRef& ref, const Job& job, Step& step,
                 const Queue& queue);

}  // namespace buckthornmux::cell
