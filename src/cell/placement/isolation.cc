#include "src/cell/placement/isolation.h"

#include <algorithm>
#include <string>
#include <string_view>

namespace buckthornmux::cell {
namespace {

/// Maximum wait of a job that must not be missed; the platform misses one of
/// which nothing has run for 3 s.
constexpr Millis kMaxIsolationWait{1500};
/// Maximum wait for an empty target; the platform misses a task of a service 6
/// s after its last run, unless it may be given up.
constexpr Millis kMaxEmptyWait{4000};
/// Maximum wait for a target without any other repeated suspect.
constexpr Millis kMaxLoneWait{8000};
/// Maximum time apart.
constexpr Millis kMaxApart{60'000};
/// How long a task lets another one go first.
constexpr Millis kYieldTime{500};
/// A hold counts as ended if no round has held the task back for this time.
constexpr Millis kMaxHoldGap{1000};
/// Minimum time between two log lines of a hold whose reason changes.
constexpr Millis kHoldLogInterval{1000};

std::string_view ReasonName(HoldReason reason) {
  switch (reason) {
    case HoldReason::kNone:
      return "none";
    case HoldReason::kCrashesUnstored:
      return "crashes_unstored";
    case HoldReason::kTurn:
      return "turn";
    case HoldReason::kTargetReserved:
      return "target_reserved";
    case HoldReason::kTargetNotQuiet:
      return "target_not_quiet";
    case HoldReason::kTargetNotEmpty:
      return "target_not_empty";
    case HoldReason::kSuspectBeside:
      return "suspect_beside";
    case HoldReason::kStepOnProbation:
      return "step_on_probation";
  }
  return "unknown";
}

/// Whether two tasks were on a target as it crashed.
bool ShareCrash(const Task& left, const Task& right) {
  return std::ranges::any_of(left.crashes, [&](const TaskCrash& crash) {
    return std::ranges::any_of(right.crashes, [&](const TaskCrash& other) {
      return other.target == crash.target && other.life == crash.life;
    });
  });
}

/// Returns a suitable slot that is reserved; null if there is none.
const Slot* FindReserved(Round& round, const Candidate& candidate) {
  const SuitedTargets& suited =
      Suited(round, *candidate.queue, candidate.Spec());
  const auto found =
      std::ranges::find_if(suited.places, [&](std::uint32_t place) {
        return round.slots[place].probation != nullptr;
      });
  return found == suited.places.end() ? nullptr : &round.slots[*found];
}

}  // namespace

Suspicion SuspicionOf(const Task& task) {
  if (IsRepeatedSuspect(task)) {
    return Suspicion::kRepeated;
  }
  return IsSuspect(task) ? Suspicion::kOnce : Suspicion::kNone;
}

bool ReservesTarget(const Options& options, const Run& run, Time now) {
  return run.probation && !run.of_former_owner &&
         now - BeganAt(run) < options.reservation_limit;
}

Millis HeldFor(const Hold& hold, Time now) {
  return hold.since == Time() || now - hold.noted_at > kMaxHoldGap
             ? Millis(0)
             : now - hold.since;
}

Millis ApartFor(const Options& options, const Task& task) {
  return std::clamp(task.lived * 3 / 2, options.first_hold_limit,
                    std::max(options.first_hold_limit, kMaxApart));
}

bool Yields(const Task& task, Millis held) {
  return task.yields && held < kYieldTime;
}

Sharing SharingOf(Suspicion suspicion, Millis apart_for, Millis held) {
  switch (suspicion) {
    case Suspicion::kNone:
      return held < kMaxIsolationWait ? Sharing::kUnreserved : Sharing::kAny;
    case Suspicion::kOnce:
      return held < kMaxIsolationWait ? Sharing::kQuiet : Sharing::kAny;
    case Suspicion::kRepeated:
      if (held < kMaxEmptyWait) {
        return Sharing::kEmpty;
      }
      if (held < kMaxLoneWait) {
        return Sharing::kLone;
      }
      return held < apart_for ? Sharing::kApart : Sharing::kAny;
  }
  return Sharing::kUnreserved;
}

bool MayWait(Suspicion suspicion, Millis apart_for, Millis held) {
  return held <
         (suspicion == Suspicion::kRepeated ? apart_for : kMaxIsolationWait);
}

HoldReason ReasonFor(Sharing sharing) {
  switch (sharing) {
    case Sharing::kEmpty:
      return HoldReason::kTargetNotEmpty;
    case Sharing::kQuiet:
      return HoldReason::kTargetNotQuiet;
    case Sharing::kLone:
    case Sharing::kApart:
      return HoldReason::kSuspectBeside;
    case Sharing::kUnreserved:
      return HoldReason::kTargetReserved;
    case Sharing::kAny:
      break;
  }
  return HoldReason::kNone;
}

bool MayShare(const Slot& slot, const JobId& job, Sharing sharing,
              const Task* task) {
  if (sharing == Sharing::kAny) {
    return true;
  }
  if (slot.probation != nullptr) {
    return *slot.probation == job;
  }
  switch (sharing) {
    case Sharing::kEmpty:
      return slot.empty;
    case Sharing::kLone:
      return !slot.fresh && slot.suspects.empty();
    case Sharing::kApart:
      return !slot.fresh &&
             std::ranges::none_of(slot.suspects, [&](const Task* other) {
               return task != nullptr && ShareCrash(*task, *other);
             });
    case Sharing::kQuiet:
      return !slot.fresh;
    case Sharing::kUnreserved:
    case Sharing::kAny:
      break;
  }
  return true;
}

bool AnyMayShare(Round& round, const Candidate& candidate, const Queue& queue,
                 Sharing sharing, const Task* task) {
  SuitedTargets& suited = Suited(round, queue, candidate.Spec());
  // A reservation for the same job doesn't hold it back.
  const bool reserves = round.on_probation.contains(candidate.ref.job);
  bool& none = suited.none_shares[static_cast<std::size_t>(sharing)];
  if (none && !reserves && sharing != Sharing::kApart) {
    return false;
  }
  const bool any = std::ranges::any_of(suited.places, [&](std::uint32_t place) {
    return MayShare(round.slots[place], candidate.ref.job, sharing, task);
  });
  none = !any && !reserves;
  return any;
}

void NoteHeld(Round& round, const Candidate& candidate, const TaskId* task,
              Hold& hold, HoldReason reason) {
  const bool goes_on =
      hold.since != Time() && round.now - hold.noted_at <= kMaxHoldGap;
  const bool to_log =
      !goes_on ||
      (hold.logged != reason && round.now - hold.logged_at >= kHoldLogInterval);
  hold.since = goes_on ? hold.since : round.now;
  hold.noted_at = round.now;
  hold.reason = reason;
  if (!to_log) {
    return;
  }
  hold.logged_at = round.now;
  hold.logged = reason;
  const Slot* reserved = FindReserved(round, candidate);
  Note(round.actions, "start_held",
       {{"job", candidate.ref.job},
        {"occurrence", std::to_string(candidate.ref.occurrence)},
        {"step", std::to_string(candidate.ref.step)},
        {"task", task == nullptr ? std::string() : TaskName(*task)},
        {"reason", std::string(ReasonName(reason))},
        {"held_ms", std::to_string((round.now - hold.since).count())},
        {"reserved_target",
         reserved == nullptr ? std::string() : reserved->target->entry.id},
        {"reserved_for",
         reserved == nullptr ? std::string() : *reserved->probation}});
}

void EndHold(Round& round, const TaskId& task, Hold& hold) {
  if (hold.since != Time()) {
    Note(round.actions, "start_hold_over",
         {{"task", TaskName(task)},
          {"reason", std::string(ReasonName(hold.reason))},
          {"held_ms", std::to_string((hold.noted_at - hold.since).count())}});
  }
  hold = {};
}

}  // namespace buckthornmux::cell
