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
  Resources reserved;  ///< For gangs that wait; urgent work may take it.
};

/// A step in the order of its turn.
struct Candidate {
  StepRef ref;
  Job* job = nullptr;  ///< Of the step; a round adds and removes no jobs.
  Step* step = nullptr;
  int priority = 0;
  bool excess = false;    ///< Beyond its team's share.
  bool late = false;      ///< Can't end within its objective any more.
  bool hopeless = false;  ///< No longer worth anything by its objective.
  Millis slack{0};        ///< Time left before it must start.

  [[nodiscard]] bool Urgent() const { return priority == 0; }
  [[nodiscard]] const StepSpec& Spec() const {
    return job->spec.steps[ref.step];
  }
};

/// State of one round. Built once for all steps, since a busy cell has more
/// waiting steps than targets.
struct Round {
  Cell& cell;
  Actions& actions;
  Time now;
  std::vector<Slot> slots;
  std::unordered_map<std::string_view, std::size_t> by_id;
  int gangs_waiting = 0;  ///< For which room has been reserved so far.
};

/// @brief Collects the targets that take work.
[[nodiscard]] Round BeginRound(Cell& cell, Actions& actions, Time now);

/// @brief Finds a target among those that take work; null where it does not.
[[nodiscard]] Slot* FindSlot(Round& round, const TargetId& id);

/// @brief Whether a target may run a step by service and label.
[[nodiscard]] bool Suits(const Target& target, const Queue& queue,
                         const StepSpec& step);

/// @brief Room that a step may use at a target.
[[nodiscard]] Resources RoomFor(const Slot& slot, const Candidate& candidate);

/// @brief How many tasks of a step fit into a target's room, by its bound for
///   one target as well.
[[nodiscard]] std::uint32_t SlotsOn(const Target& target, const Resources& room,
                                    const StepSpec& spec, const StepRef& ref);

/// @brief Whether a task may be started on a target, room aside.
[[nodiscard]] bool MayUse(const Round& round, const Candidate& candidate,
                          const Queue& queue, const Task& task,
                          const Slot& slot);

/// @brief Starts a task: holds its room and sends the order.
void StartTask(Round& round, const Candidate& candidate, std::uint32_t index,
               std::uint32_t number, Target& target);

/// @brief Starts all tasks of a gang, or none.
void StartGang(Round& round, const Candidate& candidate, const Queue& queue);

/// @brief Keeps room free for a gang that could not be started.
void ReserveForGang(Round& round, const Candidate& candidate,
                    const Queue& queue);

/// @brief Asks for tickets where a step lacks them and a lane is free.
void AskIfUseful(Round& round, const Candidate& candidate, const Queue& queue);

/// @brief Calls `use` for each target that the step has a right to.
template <class Use>
void ForEachAllowed(Round& round, const Queue& queue, const Step& step,
                    Use use) {
  if (!queue.advice) {
    for (Slot& slot : round.slots) {
      use(slot);
    }
    return;
  }
  for (const auto& [id, ticket] : step.advice.tickets) {
    Slot* slot = ticket.until > round.now ? FindSlot(round, id) : nullptr;
    if (slot != nullptr && slot->target->entry.life == ticket.life) {
      use(*slot);
    }
  }
}

}  // namespace buckthornmux::cell
