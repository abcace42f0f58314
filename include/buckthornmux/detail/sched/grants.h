/// How many slots of a team's limit this shard asks the ledger for: few
/// writes, by chunks and by handing back only after idle time.
#pragma once

#include "buckthornmux/detail/sched/step.h"

namespace buckthornmux::sched {

/// @brief Asks for larger allowances where work waits for them, and hands back
///   what stays unused.
void AskGrants(Step& step);

/// @brief The store's word on a team's allowance.
void TakeGrant(Step& step, const GrantChanged& grant);

}  // namespace buckthornmux::sched
