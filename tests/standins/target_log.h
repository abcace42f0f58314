/// Lines of a target's own log, which the checker reads.
#pragma once

#include <string>
#include <string_view>

#include "standins/target_state.h"

namespace buckthornmux::standins {

/// @brief Formats one line.
/// @param what start, end, stop, lease_expired or refused
/// @param detail how it ended, or why it was refused
[[nodiscard]] std::string LogLine(const TargetState& state, WallMillis at,
                                  std::string_view what,
                                  const sched::ReportedTask& task,
                                  std::string_view detail);

}  // namespace buckthornmux::standins
