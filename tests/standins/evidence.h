/// What the checker reads: the targets' own logs and the callers' log.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::standins {

/// One line of a target's log.
struct TargetLine {
  WallMillis at = 0;
  TargetId target;
  std::string instance;
  std::string what;  ///< start, end, stop, lease_expired or refused.
  std::string task;
  std::uint32_t attempt = 0;
  TeamName team;
  std::string job;
  bool idempotent = false;
  Resources demand;
};

/// One line of the callers' log: a request, or a copy of it sent on purpose.
struct CallerLine {
  std::string id;
  TeamName team;
  bool idempotent = false;
  bool patient = false;
  bool accepted = false;  ///< A patient job was accepted.
  std::string answer;     ///< done, error or pending.
  std::string ran;        ///< no, unknown or yes, as the last answer said;
                          ///< unsent where no host was reached.
  std::string echo;       ///< As it was sent.
  std::string result;     ///< As it was answered.
  WallMillis sent_at = 0;
  WallMillis at = 0;
};

/// All that is compared.
struct Evidence {
  std::vector<TargetLine> target_lines;  ///< Of each target in its own order.
  std::vector<CallerLine> caller_lines;
  std::map<TargetId, Resources> capacity;
  std::map<TeamName, std::int64_t> limits;
  std::vector<TargetId> killed;  ///< Targets whose last process was killed.
};

/// @brief Parse one line each.
/// @return the line; kMalformed where it is none
[[nodiscard]] Result<TargetLine> ParseTargetLine(std::string_view text);
[[nodiscard]] Result<CallerLine> ParseCallerLine(std::string_view text);

/// @brief Formats a line of the callers' log.
[[nodiscard]] std::string FormatCallerLine(const CallerLine& line);

}  // namespace buckthornmux::standins
