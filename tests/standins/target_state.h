/// State of the target stand-in: tasks under leases, fences, faults, log.
/// Pure: no I/O and no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "buckthornmux/detail/target/target_codec.h"

namespace buckthornmux::standins {

/// Both clocks at the time of an event.
struct Moment {
  Time steady;
  WallMillis wall = 0;
};

/// What a target checks.
enum class Guard : std::uint8_t {
  kEpoch,  ///< Epochs, `start_by` and its own room.
  kNone,   ///< Nothing but the names of tasks.
};

/// Misbehaviour on demand.
struct TargetFaults {
  bool fail_all = false;    ///< Every task fails at once.
  bool black_hole = false;  ///< Tasks never end.
  bool hang = false;        ///< No call is answered, nor has it an effect.
  bool refuse = false;      ///< Every call is answered with 503.
  bool leaving = false;     ///< Takes no new work and says so.
  bool ignore_epoch = false;
  bool ignore_start_by = false;
  std::int64_t usage_percent = 100;    ///< Of what was declared.
  std::int64_t drop_answer_every = 0;  ///< Every n-th start takes effect, then
                                       ///< its connection is closed.
};

/// What a task's payload tells the stand-in to do.
struct Behaviour {
  Millis run{1};
  bool runs_on = false;  ///< Until it is stopped.
  bool fail = false;
  std::string echo;
  std::optional<std::int64_t> use_cpu_milli;
};

/// @brief Reads a payload; one that is no JSON object is echoed after 1 ms.
[[nodiscard]] Behaviour ReadBehaviour(const TaskSpec& task);

/// A task that runs or has ended.
struct TargetTask {
  sched::ReportedTask report;
  ShardId shard;
  std::uint64_t sequence = 0;  ///< Of its last change.
  std::optional<Time> ends_at;
  Time lease_until;
  Time ended;
  Behaviour behaviour;
};

/// Everything a target knows. Ended tasks are kept for kKeepEnded, so that a
/// new owner learns of them.
struct TargetState {
  TargetId id;
  std::string instance;
  Resources capacity;
  Guard guard = Guard::kEpoch;
  TargetFaults faults;
  std::uint64_t sequence = 1;  ///< 0 stands for "tell all".
  std::map<std::string, TargetTask> tasks;
  std::map<ShardId, Epoch> epochs;  ///< Highest seen.
  std::map<std::pair<std::string, std::uint32_t>, Time> stopped;
  std::vector<std::string> log;  ///< JSON lines to be written, oldest first.
};

inline constexpr Millis kKeepEnded{120'000};
inline constexpr std::size_t kMaxEnded = 4096;

/// @brief Starts a task, unless a refusal applies. One that runs or has ended
///   under the same attempt is not run again.
/// @return nothing where accepted
[[nodiscard]] std::optional<target::Refusal> StartTask(
    TargetState& state, const target::StartRequest& request, Moment now);

/// @brief Stops a task.
[[nodiscard]] std::optional<target::Refusal> StopTask(
    TargetState& state, const target::StopRequest& request, Moment now);

/// @brief Fences lower epochs and renews the leases of the shard's tasks.
[[nodiscard]] std::optional<target::Refusal> RenewLeases(
    TargetState& state, const target::RenewRequest& request, Moment now);

/// @brief Answer to a renewal: what changed since `request.after`.
[[nodiscard]] target::RenewAnswer ChangesFor(
    const TargetState& state, const target::RenewRequest& request);

/// @brief Whether a renewal need not wait: something changed, or all is asked.
[[nodiscard]] bool HasChanges(const TargetState& state,
                              const target::RenewRequest& request);

/// @brief Ends what is due: runs that are over and leases that ran out.
void Advance(TargetState& state, Moment now);

/// @brief Time at which Advance has something to do next.
[[nodiscard]] std::optional<Time> NextDue(const TargetState& state);

}  // namespace buckthornmux::standins
