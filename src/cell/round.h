/// One round of planning: the targets that take work now, and their room.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "internal.h"

namespace buckthornmux::cell {

/// A target that takes work in this round.
struct Slot {
  Target* target = nullptr;
  Resources room;      ///< Not held by runs.
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

/// Targets for a service and a label, in a round.
struct SuitedTargets {
  std::vector<std::uint32_t> places;  ///< In the round's slots.
  /// Tasks for which none of them has room: room only falls within a round.
  std::vector<Resources> too_large;
  std::vector<Resources> too_large_unless_urgent;
};

/// State of one round. Built once for all steps, since a busy cell has more
/// waiting steps than targets.
struct Round {
  Cell& cell;
  Actions& actions;
  Time now;
  std::vector<Slot> slots;  ///< In the order of their targets' names.
  /// Places in `slots` plus one, hashed by name; 0: free.
  std::vector<std::uint32_t> by_id;
  /// By service and label.
  std::map<std::pair<std::string_view, std::string_view>, SuitedTargets> suited;
  /// By lane of the cell: the longest open call's time at the adviser.
  std::vector<Millis> lane_takes;
  int gangs_waiting = 0;  ///< For which room has been reserved so far.
};

/// @brief Collects the targets that take work.
[[nodiscard]] Round BeginRound(Cell& cell, Actions& actions, Time now);

/// @brief Finds a target among those that take work; null where it does not.
[[nodiscard]] Slot* FindSlot(Round& round, const TargetId& id);

/// @brief Whether a target may run a step by service and label.
[[nodiscard]] bool Suits(const Target& target, const Queue& queue,
                         const StepSpec& step);

/// @brief The targets that suit a step.
[[nodiscard]] SuitedTargets& Suited(Round& round, const Queue& queue,
                                    const StepSpec& step);

/// @brief Whether some target that suits a step has room for a task of it.
[[nodiscard]] bool AnyHasRoom(Round& round, const Candidate& candidate,
                              const Queue& queue);

/// @brief Slots that a step has a right to and that suit it, in the order of
///   their targets' names.
[[nodiscard]] std::vector<Slot*> AllowedSlots(Round& round,
                                              const Candidate& candidate,
                                              const Queue& queue);

/// @brief Room that a step may use at a target.
[[nodiscard]] Resources RoomFor(const Slot& slot, const Candidate& candidate);

/// @brief Whether room is left for one task that needs so much.
[[nodiscard]] inline bool HoldsOne(const Resources& room,
                                   const Resources& need) {
  const auto enough = [](std::int64_t available, std::int64_t each) {
    return each <= 0 || available >= each;
  };
  return enough(room.cpu_milli, need.cpu_milli) &&
         enough(room.memory_mb, need.memory_mb) &&
         enough(room.accelerators, need.accelerators);
}

/// @brief How many tasks of a step fit into a target's room, by its bound for
///   one target as well.
[[nodiscard]] std::uint32_t SlotsOn(const Target& target, const Resources& room,
                                    const StepSpec& spec, const StepRef& ref);

/// @brief Whether a task may be started on an allowed slot, room aside.
[[nodiscard]] bool MayUse(const Round& round, const Candidate& candidate,
                          const Queue& queue, const Task& task,
                          const Slot& slot);

/// @brief Starts a task: holds its room and sends the order.
void StartTask(Round& round, const Candidate& candidate, std::uint32_t index,
               std::uint32_t number, Slot& slot);

/// @brief Starts all tasks of a gang, or none.
void StartGang(Round& round, const Candidate& candidate, const Queue& queue);

/// @brief Keeps room free for a gang that could not be started.
void ReserveForGang(Round& round, const Candidate& candidate,
                    const Queue& queue);

/// @brief Asks for tickets where a step lacks them and a lane is free.
void AskIfUseful(Round& round, const Candidate& candidate, const Queue& queue);

}  // namespace buckthornmux::cell
