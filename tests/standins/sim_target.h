/// A target as the users' platform describes it: it keeps what runs under a
/// lease, lists every end until it is acknowledged, refuses lower epochs and
/// runs that it has ended or stopped. Pure: time comes in.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/cell/cell.h"

namespace buckthornmux::standins {

/// A run at a simulated target.
struct SimRun {
  Time began;
  Time ends;
  Resources demand;
  bool fails = false;
  bool stuck = false;        ///< Makes no progress and never ends.
  Time stops = Time::max();  ///< Being stopped until then.
  /// Prefix of the checkpoints that it saves; empty: it saves none.
  std::string saves_as;
};

/// A capacity that the list of targets no longer shows.
struct FormerRoom {
  Resources capacity;
  Time shown_until;
};

/// How a simulated target misbehaves.
struct SimFaults {
  bool fails_all = false;
  bool stuck = false;
  bool cut = false;         ///< Nothing reaches it; it runs on.
  bool down = false;        ///< Its process has crashed; nothing listens.
  double answers_lost = 0;  ///< Share of orders done but not answered.
  double orders_late = 0;   ///< Share carried out seconds later, unanswered.
  double slowdown = 1;
  Millis stop_time{0};      ///< A run that is stopped goes on for so long.
  double reports_late = 0;  ///< Share of reports answered 50 to 1500 ms late.
  /// Share of report calls executed 0.5 to 6 s late, unanswered.
  double calls_late = 0;
  double clock_slow = 0;  ///< Share by which its own clock is slow.
};

/// Slowdown of tasks that begin beside others, by prefixes of their jobs' ids.
struct PairSlowdown {
  std::string job;
  std::string beside;
  double factor = 1;
};

struct SimTarget {
  cell::TargetEntry entry;
  double speed = 1;
  SimFaults faults;
  PairSlowdown pair;
  Epoch fence = 0;
  std::map<cell::RunId, SimRun> running;
  std::map<cell::TaskId, std::uint32_t> refused_up_to;  ///< Run numbers.
  std::vector<cell::EndReport> ended;
  std::uint64_t sequence = 0;
  Time lease_until;
  /// Ends up to this number were listed before the lease last ran out.
  std::uint64_t lapsed_after = 0;
  bool reporting = false;  ///< A report is under way.
  bool listed = true;
  /// Life shown by the list if that is behind; otherwise empty.
  std::optional<std::int64_t> listed_life;
  /// Capacity shown by the list if that is behind; otherwise empty.
  std::optional<Resources> listed_capacity;
  std::vector<FormerRoom> former_rooms;  ///< Oldest first.
  /// Address shown by the list if that is behind; otherwise empty.
  std::optional<std::string> listed_address;
  bool left = false;  ///< Has left for good; it runs nothing any more.
  Time hidden_until;  ///< Its entry is missing in the list until then.
  int restarts = 0;
  int listed_restarts = 0;  ///< Latest restart that the list shows.
  int resizes = 0;
  int listed_resizes = 0;  ///< Latest change of capacity that the list shows.
  std::int64_t clock_origin = 500'000;  ///< Our clock when its own was 0, ms.
  Millis max_lease{10'000};             ///< Longer leases are shortened to it.
};

/// @brief The target's own clock, which starts anew with each life.
[[nodiscard]] std::int64_t TargetClock(const SimTarget& target, Time now);

/// @brief Ends the target's process: it loses its runs, its unacknowledged ends
///   and all that it knew of owners and of stopped runs.
void Crash(SimTarget& target);

/// @brief Starts the process again after a crash.
/// @param life names the new life; not higher than an earlier one if the
///   target's wall clock was set back
void Revive(SimTarget& target, std::int64_t life, std::int64_t clock_origin);

/// @brief Whether an order of this epoch is taken; raises the fence if so.
[[nodiscard]] bool PassesFence(SimTarget& target, Epoch epoch);

/// @brief Why a start is refused without effect, or kDone.
[[nodiscard]] cell::OrderOutcome JudgeStart(const SimTarget& target,
                                            const cell::RunId& run,
                                            std::int64_t deadline_ms, Time now);

/// @brief Begins a run that JudgeStart allowed.
/// @param work of the task at full speed
void BeginRun(SimTarget& target, const cell::RunId& run,
              const Resources& demand, Millis work, std::int64_t deadline_ms,
              Time now);

/// @brief Stops a run, or keeps it from ever starting.
void StopRun(SimTarget& target, const cell::RunId& run, Time now);

/// @brief Shows a capacity in the list of targets.
void ShowCapacity(SimTarget& target, const Resources& capacity, Time now);

/// @brief Ends what is done or whose lease is over.
/// @return tasks that ended as done
std::vector<cell::TaskId> Advance(SimTarget& target, Time now);

/// @brief Renews the lease, forgets acknowledged ends and lists the rest.
[[nodiscard]] cell::TargetReport TakeReportCall(SimTarget& target,
                                                const cell::ReportCall& call,
                                                Time now);

}  // namespace buckthornmux::standins
