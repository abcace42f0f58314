/// Isolation of tasks that may have crashed their targets, so that the next
/// crash tells which one did.
#pragma once

#include <cstddef>
#include <cstdint>

#include "src/cell/placement/round.h"

namespace buckthornmux::cell {

/// How far a task is suspected of crashing its targets.
enum class Suspicion : std::uint8_t {
  kNone,
  kOnce,      ///< A crash came soon after its start.
  kRepeated,  ///< Several crashes, however late; its job may be given up.
};

[[nodiscard]] Suspicion SuspicionOf(const Task& task);

/// @brief Whether a run keeps its target from other jobs: its task is on
///   probation, and it hasn't run for Options::reservation_limit.
[[nodiscard]] bool ReservesTarget(const Options& options, const Run& run,
                                  Time now);

/// @brief Returns how long a task or step has been held back without a pause.
[[nodiscard]] Millis HeldFor(const Hold& hold, Time now);

/// @brief Returns which targets a task may share with what runs there.
/// @param held how long it has been held back
/// @param apart_for how long the task keeps apart from others, see ApartFor
[[nodiscard]] Sharing SharingOf(Suspicion suspicion, Millis apart_for,
                                Millis held);

/// @brief Returns how long a task keeps apart from those that may have caused
///   the same crashes: longer than its runs lived before them.
[[nodiscard]] Millis ApartFor(const Options& options, const Task& task);

/// @brief Whether a task lets another one go first, so that they take turns in
///   being alone.
[[nodiscard]] bool Yields(const Task& task, Millis held);

/// @brief Whether a suspected task may wait for its turn, or for the record of
///   its crashes.
/// @param held how long it has been held back
[[nodiscard]] bool MayWait(Suspicion suspicion, Millis apart_for, Millis held);

/// @brief Why a task with this sharing finds no target.
[[nodiscard]] HoldReason ReasonFor(Sharing sharing);

/// @brief Whether a job may start tasks on a slot.
/// @param task that is to start, if it is suspected
[[nodiscard]] bool MayShare(const Slot& slot, const JobId& job, Sharing sharing,
                            const Task* task);

/// @brief Whether any slot that suits a step may be shared so. Cheaper than a
///   look at the slots if an earlier step has found none.
[[nodiscard]] bool AnyMayShare(Round& round, const Candidate& candidate,
                               const Queue& queue, Sharing sharing,
                               const Task* task);

/// @brief Notes that tasks are held back, and logs it if that is new.
/// @param task whose hold it is; null for that of the step
void NoteHeld(Round& round, const Candidate& candidate, const TaskId* task,
              Hold& hold, HoldReason reason);

/// @brief Ends a hold, since a task starts; logs how long it lasted.
void EndHold(Round& round, const TaskId& task, Hold& hold);

}  // namespace buckthornmux::cell
