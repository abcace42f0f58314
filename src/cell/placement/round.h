/// A planning round: the targets that accept work now, and their free
/// resources.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "src/cell/advice/advice_limit.h"
#include "src/cell/internal.h"

namespace buckthornmux::cell {

/// Estimates of run times are off by a part of one in this many.
inline constexpr int kEstimateErrorDivisor = 5;

/// What a start may have beside it on its target. Each value allows all that
/// the former ones do.
enum class Sharing : std::uint8_t {
  kEmpty,  ///< Nothing.
  kLone,   ///< As kQuiet, nor anything that is suspected repeatedly.
  kApart,  ///< As kQuiet, nor anything that may have caused the same crash.
  kQuiet,  ///< Nothing that began within Options::crash_doubt.
  kUnreserved,  ///< Anything but a run on probation of another job.
  kAny,
};
inline constexpr std::size_t kSharings = 6;

/// A target that accepts work in this round.
struct Slot {
  Target* target = nullptr;
  Resources room;  ///< Resources not held by runs.
  /// Kept for waiting gangs; urgent work may use it, and work that ends before
  /// these gangs can start.
  Resources reserved;
  Resources services;   ///< Held by services, which don't end by themselves.
  double run_time = 1;  ///< Relative to other targets.
  KindSet kinds = 0;    ///< Kinds of the tasks that run there.
  /// Job with a run on probation there; no other job may start on it.
  const JobId* probation = nullptr;
  /// Tasks there that are suspected repeatedly and kept apart from others.
  std::vector<const Task*> suspects;
  bool empty = true;  ///< Has no run.
  /// Has a run that began so recently that it could have caused a crash.
  bool fresh = false;
  bool trial_begun = false;  ///< On probation; has got its task of this round.
};

/// A step to be planned in this round.
struct Candidate {
  StepRef ref;
  Job* job = nullptr;  ///< Job of the step, valid for the whole round.
  const Queue* queue = nullptr;
  Step* step = nullptr;
  int priority = 0;
  bool excess = false;            ///< The job is beyond its team's share.
  bool late = false;              ///< Can no longer meet its objective.
  bool hopeless = false;          ///< So late that its result has no value.
  bool suspect = false;           ///< An open task of the step is a suspect.
  bool repeated_suspect = false;  ///< One is, of several crashes.
  /// Why its suspects don't start whatever targets there are.
  HoldReason held_by = HoldReason::kNone;
  /// Ends before a gang can start that room is reserved for.
  bool ends_before_gangs = false;
  /// May ask the adviser, whose time late steps would take from others.
  bool may_ask = false;
  Millis slack{0};      ///< Time left until its latest start.
  KindNumber kind = 0;  ///< Of its tasks; 0 while nothing interferes.
  /// Order among late steps: by the earlier occurrences of the job that wait
  /// too, and the late tasks that it has started.
  std::uint64_t rank = 0;
  int order_class = 0;  ///< Lower classes are planned first.

  [[nodiscard]] bool Urgent() const { return priority == 0; }
  [[nodiscard]] bool IgnoresReservations() const {
    return Urgent() || ends_before_gangs;
  }
  [[nodiscard]] const StepSpec& Spec() const {
    return job->spec.steps[ref.step];
  }
};

/// Targets of a service that carry a label.
struct SuitedTargets {
  std::vector<std::uint32_t> places;  ///< Indices into the slots of the round.
  /// Demands known to fit on none of them; free room only shrinks in a round.
  std::vector<Resources> too_large;
  std::vector<Resources> too_large_beside_reservations;
  /// By Sharing: no slot may be shared so. Starts only add to such slots.
  std::array<bool, kSharings> none_shares{};
};

/// State of a planning round. Built once for all steps, since a busy cell has
/// more waiting steps than targets.
struct Round {
  Cell& cell;
  Actions& actions;
  Time now;
  std::vector<Slot> slots;  ///< Sorted by target id.
  /// Hash table from target id to index in `slots` plus one; 0 if empty.
  std::vector<std::uint32_t> by_id;
  /// Suitable targets by service and label.
  std::map<std::pair<std::string_view, std::string_view>, SuitedTargets> suited;
  /// Processing time of the longest open call of each lane, indexed like
  /// Cell::lanes.
  std::vector<Millis> lane_call_times;
  /// Jobs with a run on probation.
  std::set<JobId> on_probation;
  /// Gangs that do not fit yet and for which all free room is reserved.
  int gangs_reserving_all = 0;
  /// Earliest time at which a gang that room is reserved for may start.
  Time gangs_start_at = Time::max();
  /// Teams whose limit held work back; true if some of it would have been
  /// allowed if there were no unknown runs.
  std::map<TeamName, bool> limited;
  /// What the limits of teams left at the begin of the round.
  std::map<std::string_view, Resources> team_room;
  /// Steps for which targets were looked at, and how many of them are gangs.
  std::size_t looks = 0;
  std::size_t gang_looks = 0;
  StepRef last_look;
  std::size_t starts_left = 0;  ///< Tasks that may still start in the round.
  bool speeds_differ = false;   ///< Targets are known to differ in speed.
  bool overload_control = false;
  /// Processor of a typical urgent task, in millicores.
  std::int64_t urgent_task_cpu = 0;
  /// Free processor beyond the headroom that urgent tasks could use, which
  /// other work may still take, in millicores.
  std::int64_t beyond_headroom = 0;
  AdviceLimit advice_limit;
};

/// @brief Returns the kind of a step's tasks; 0 if interference is off.
[[nodiscard]] KindNumber KindOf(Cell& cell, const Candidate& candidate,
                                Time now);

/// @brief Begins a round with the targets that accept work.
[[nodiscard]] Round BeginRound(Cell& cell, Actions& actions, Time now);

/// @brief Finds the slot of a target; null if it accepts no work.
[[nodiscard]] Slot* FindSlot(Round& round, const TargetId& id);

/// @brief Whether a target matches the service and label of a step.
[[nodiscard]] bool Suits(const Target& target, const Queue& queue,
                         const StepSpec& step);

/// @brief Returns the targets that suit a step.
[[nodiscard]] SuitedTargets& Suited(Round& round, const Queue& queue,
                                    const StepSpec& step);

/// @brief Whether some target that suits a step has room for a task of it.
[[nodiscard]] bool AnyHasRoom(Round& round, const Candidate& candidate,
                              const Queue& queue);

/// @brief Returns the slots that suit a step, that it may use by its tickets
///   and that may be shared so, sorted by target id.
/// @param task that is to start, if it is suspected
[[nodiscard]] std::vector<Slot*> AllowedSlots(Round& round,
                                              const Candidate& candidate,
                                              const Queue& queue,
                                              Sharing sharing,
                                              const Task* task = nullptr);

/// @brief Whether the limit of a step's team allows its next start.
[[nodiscard]] bool TeamMayStart(Round& round, const Candidate& candidate);

/// @brief Counts a step for which targets are looked at, once for each step in
///   a row.
void CountLook(Round& round, const Candidate& candidate);

/// @brief Resources that a step needs to start anything: those of one task, or
///   of a whole gang.
[[nodiscard]] Resources LeastDemand(const StepSpec& spec);

/// @brief Whether the limit of a step's team allows `more` resources in use;
///   notes for the log if it doesn't.
[[nodiscard]] bool MayUseMore(Round& round, const Candidate& candidate,
                              const Resources& more);

/// @brief Returns the room of a target once all runs have ended that end by
///   themselves.
[[nodiscard]] Resources RoomWithoutEndingRuns(const Slot& slot);

/// @brief Whether room is being held for a waiting gang.
[[nodiscard]] bool HoldsRoom(const Step& step, Time now);

/// @brief Whether a step's tasks end, by their estimate, before any gang can
///   start that room is reserved for.
[[nodiscard]] bool EndsBeforeGangs(const Round& round,
                                   const Candidate& candidate);

/// @brief Returns the resources that a step may use at a target.
[[nodiscard]] Resources RoomFor(const Slot& slot, const Candidate& candidate);

/// @brief Headroom that the start of a task of a step takes; 0 for urgent work,
///   which it is for.
[[nodiscard]] std::int64_t HeadroomTakenBy(const Round& round,
                                           const Candidate& candidate,
                                           const Slot& slot);

/// @brief Whether one task of this demand fits.
[[nodiscard]] inline bool HoldsOne(const Resources& room,
                                   const Resources& need) {
  const auto enough = [](std::int64_t available, std::int64_t each) {
    return each <= 0 || available >= each;
  };
  return enough(room.cpu_milli, need.cpu_milli) &&
         enough(room.memory_mb, need.memory_mb) &&
         enough(room.accelerators, need.accelerators);
}

/// @brief Returns how many tasks of a step fit into a target's room, also
///   limited by the step's maximum per target.
[[nodiscard]] std::uint32_t SlotsOn(const Target& target, const Resources& room,
                                    const StepSpec& spec, const StepRef& ref);

/// @brief Whether a task may start on an allowed slot, regardless of room.
/// @param task null if it was never started
[[nodiscard]] bool MayUse(const Round& round, const Candidate& candidate,
                          const Queue& queue, const Task* task,
                          const Slot& slot);

/// @brief Starts a task: reserves its resources and sends the start.
void StartTask(Round& round, const Candidate& candidate, std::uint32_t index,
               std::uint32_t number, Slot& slot);

/// @brief Starts all tasks of a gang, or none.
void StartGang(Round& round, const Candidate& candidate, const Queue& queue);

/// @brief Reserves resources for a gang that could not be started.
void ReserveForGang(Round& round, const Candidate& candidate,
                    const Queue& queue);

/// @brief Whether a step queries the adviser although no target has room for it
///   yet. An urgent step that waited for room first would find it taken by work
///   that has tickets.
[[nodiscard]] bool MayAskAhead(const Round& round, const Candidate& candidate);

/// @brief Whether some lane can answer a query of this length soon.
[[nodiscard]] bool HasFreeLane(Round& round, Millis time);

/// @brief Queries the adviser if a step lacks tickets and a lane is free.
void AskAdviceIfUseful(Round& round, const Candidate& candidate,
                       const Queue& queue);

}  // namespace buckthornmux::cell
