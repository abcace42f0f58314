/// Reports of targets: the truth about what runs, after a takeover and after
/// lost answers.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Compares all that a target has with the record.
void TakeReport(Step& step, const TargetReport& report);

/// @brief Notes whether a target can be reached and whether it leaves.
void TakeHealth(Step& step, const TargetHealth& health);

/// @brief Gives up tasks of targets that were unreachable for so long that
///   their leases have surely ended.
void LoseTargets(Step& step);

}  // namespace buckthornmux::sched
