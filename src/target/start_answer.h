/// Outcome of a start, from the target's answer or its absence.
#pragma once

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/net/http_types.h"
#include "buckthornmux/detail/sched/shard.h"

namespace buckthornmux::target {

/// @brief Converts the outcome of a start's call.
/// @return accepted, not run, or may run; target and task are not set
[[nodiscard]] sched::StartAnswered ParseStartAnswer(
    const Outcome<net::HttpResponse>& outcome);

}  // namespace buckthornmux::target
