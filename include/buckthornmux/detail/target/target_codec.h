/// Requests and answers between shard owners and targets, as JSON over HTTP.
/// Replace this file to use another target protocol.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/core/types.h"
#include "buckthornmux/detail/sched/shard.h"

namespace buckthornmux::target {

inline constexpr std::string_view kStartPath = "/v1/start";
inline constexpr std::string_view kStopPath = "/v1/stop";
inline constexpr std::string_view kRenewPath = "/v1/renew";
inline constexpr std::string_view kThrottlePath = "/v1/throttle";

/// Request to start a task. The answer is 200 if the task runs or has run, or
/// 409 with a Refusal if this request has not started it.
struct StartRequest {
  ShardId shard;
  Epoch epoch = 0;
  WallMillis start_by = 0;  ///< Latest start, in wall time.
  Millis lease{0};  ///< The task ends itself if not renewed within this time.
  TaskSpec task;
  sched::Home home;
};

/// Reason why a target refused a request.
enum class Refusal : std::uint8_t {
  kStaleEpoch,  ///< The target has seen a higher epoch of the shard.
  kTooLate,     ///< `start_by` has passed.
  kFull,        ///< No room for the task's demand.
  kDuplicate,   ///< A later attempt of the task is known.
  kStopped,     ///< A stop for this attempt arrived before the start.
  kLeaving,     ///< The target accepts no new work.
  kMalformed,   ///< The request is invalid.
};

/// Request to stop a task. The answer is 200 even if the task is unknown; a
/// start of that attempt that arrives later is refused.
struct StopRequest {
  ShardId shard;
  Epoch epoch = 0;
  std::string task_id;
  std::uint32_t attempt = 0;
  bool checkpoint = false;
};

/// Request to limit a task to a percentage of its declared demand.
struct ThrottleRequest {
  ShardId shard;
  Epoch epoch = 0;
  std::string task_id;
  std::int64_t percent = 100;
};

/// Request to renew the leases of all tasks of a shard and wait for changes.
struct RenewRequest {
  ShardId shard;
  Epoch epoch = 0;  ///< The target then refuses lower epochs.
  Millis lease{0};
  Millis wait{0};           ///< Longest wait for a change.
  std::string instance;     ///< Instance in the last answer.
  std::uint64_t after = 0;  ///< Sequence of the last answer; 0: all tasks.
};

/// Changes at a target since `after`.
struct RenewAnswer {
  std::string instance;        ///< New with each start of the target.
  std::uint64_t sequence = 0;  ///< From 1; `after` of the next renewal.
  bool full = false;           ///< `tasks` lists all tasks, not only changes.
  bool leaving = false;
  Resources used;  ///< Measured use, with a delay.
  std::vector<sched::ReportedTask> tasks;
};

/// @brief Name of a refusal in answers.
[[nodiscard]] std::string_view RefusalName(Refusal refusal);

/// @brief Parses an answer {"error": name}.
/// @return the refusal; kMalformed for an unknown name
[[nodiscard]] Refusal ParseRefusal(std::string_view body);

/// @brief Formats requests and answers as JSON.
[[nodiscard]] std::string FormatStart(const StartRequest& request);
[[nodiscard]] std::string FormatStop(const StopRequest& request);
[[nodiscard]] std::string FormatThrottle(const ThrottleRequest& request);
[[nodiscard]] std::string FormatRenew(const RenewRequest& request);
[[nodiscard]] std::string FormatRenewAnswer(const RenewAnswer& answer);

/// @brief Parse the output of the functions above.
/// Errors: kMalformed, with the name of the first member that is missing or has
/// another type. Unknown members are ignored.
[[nodiscard]] Result<StartRequest> ParseStart(std::string_view body);
[[nodiscard]] Result<StopRequest> ParseStop(std::string_view body);
[[nodiscard]] Result<ThrottleRequest> ParseThrottle(std::string_view body);
[[nodiscard]] Result<RenewRequest> ParseRenew(std::string_view body);
[[nodiscard]] Result<RenewAnswer> ParseRenewAnswer(std::string_view body);

}  // namespace buckthornmux::target
