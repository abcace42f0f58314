/// Requests and answers between shard owners and targets, as JSON over HTTP.
/// A protocol of the users' own would be put in place here.
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

/// Asks a target to start a task. Answered with 200 when it runs or has run,
/// with 409 and a Refusal when it has not been started by this request.
struct StartRequest {
  ShardId shard;
  Epoch epoch = 0;
  WallMillis start_by = 0;  ///< Latest time to begin, on the wall clock.
  Millis lease{0};  ///< The task ends itself unless renewed for this long.
  TaskSpec task;
  sched::Home home;
};

/// Why a target did not do what it was asked.
enum class Refusal : std::uint8_t {
  kStaleEpoch,  ///< A higher epoch of the shard has been seen.
  kTooLate,     ///< `start_by` has passed.
  kFull,        ///< No room for the task's demand.
  kDuplicate,   ///< A later attempt of the task is known.
  kStopped,     ///< A stop for this attempt came first.
  kLeaving,     ///< The target takes no new work.
  kMalformed,   ///< The request can't be read.
};

/// Asks a target to end a task. Answered with 200 also where it is not known:
/// a start of that attempt which comes later is refused.
struct StopRequest {
  ShardId shard;
  Epoch epoch = 0;
  std::string task_id;
  std::uint32_t attempt = 0;
  bool checkpoint = false;
};

/// Asks a target to slow a task down to a part of its declared use.
struct ThrottleRequest {
  ShardId shard;
  Epoch epoch = 0;
  std::string task_id;
  std::int64_t percent = 100;
};

/// Renews the leases of all tasks of a shard and waits for changes.
struct RenewRequest {
  ShardId shard;
  Epoch epoch = 0;  ///< Fences lower ones from now on.
  Millis lease{0};
  Millis wait{0};           ///< Longest wait for a change.
  std::string instance;     ///< As of the last answer.
  std::uint64_t after = 0;  ///< Sequence of the last answer; 0: tell all.
};

/// What changed at a target since `after`.
struct RenewAnswer {
  std::string instance;        ///< New with each start of the target.
  std::uint64_t sequence = 0;  ///< From 1; pass on to the next renewal.
  bool full = false;           ///< `tasks` is all there is, not a change.
  bool leaving = false;
  Resources used;  ///< Measured, with a lag.
  std::vector<sched::ReportedTask> tasks;
};

/// @brief Name of a refusal in answers.
[[nodiscard]] std::string_view RefusalName(Refusal refusal);

/// @brief Parses an answer {"error": name}.
/// @return the refusal; kMalformed for anything not listed
[[nodiscard]] Refusal ParseRefusal(std::string_view body);

/// @brief Formats requests and answers as JSON.
[[nodiscard]] std::string FormatStart(const StartRequest& request);
[[nodiscard]] std::string FormatStop(const StopRequest& request);
[[nodiscard]] std::string FormatThrottle(const ThrottleRequest& request);
[[nodiscard]] std::string FormatRenew(const RenewRequest& request);
[[nodiscard]] std::string FormatRenewAnswer(const RenewAnswer& answer);

/// @brief Parses what the functions above format.
/// Errors: kMalformed, with the name of the first member that is missing or of
/// another type. Members that are not known are passed over.
[[nodiscard]] Result<StartRequest> ParseStart(std::string_view body);
[[nodiscard]] Result<StopRequest> ParseStop(std::string_view body);
[[nodiscard]] Result<ThrottleRequest> ParseThrottle(std::string_view body);
[[nodiscard]] Result<RenewRequest> ParseRenew(std::string_view body);
[[nodiscard]] Result<RenewAnswer> ParseRenewAnswer(std::string_view body);

}  // namespace buckthornmux::target
