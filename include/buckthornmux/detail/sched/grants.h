/// Requests to the ledger for slots of a team's limit. To keep ledger writes
/// few, slots are requested in chunks and returned only after an idle time.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Requests larger allowances for teams with waiting work, and returns
///   slots that stay unused.
void RequestGrants(Step& step);

/// @brief Applies a team's allowance as granted by the store.
void HandleGrantChanged(Step& step, const GrantChanged& grant);

}  // namespace buckthornmux::sched
