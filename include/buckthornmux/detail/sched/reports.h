/// Reports of targets, which are authoritative for what runs, also after a
/// takeover and after lost answers.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Reconciles the shard's records with the tasks that a target reports.
void HandleTargetReport(Step& step, const TargetReport& report);

/// @brief Records whether a target is reachable and whether it is leaving.
void HandleTargetHealth(Step& step, const TargetHealth& health);

/// @brief Handles tasks as lost on targets that have been unreachable for
///   longer than Policy::lost_target_timeout, after which leases have expired.
void ExpireLostTargets(Step& step);

}  // namespace buckthornmux::sched
