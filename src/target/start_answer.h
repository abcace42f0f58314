/// What a target's answer, or its absence, says about a start.
#pragma once

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/net/http_types.h"
#include "buckthornmux/detail/sched/shard.h"

namespace buckthornmux::target {

/// @brief Reads the outcome of a start's call.
/// @return accepted, surely not run, or may run; without target and task
[[nodiscard]] sched::StartAnswered ReadStartAnswer(
    const Outcome<net::HttpResponse>& outcome);

}  // namespace buckthornmux::target
