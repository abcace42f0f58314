/// One entry host's process, from start to graceful shutdown.
#pragma once

#include "buckthornmux/detail/config/settings.h"

namespace buckthornmux::runtime {

/// @brief Runs until SIGTERM, SIGINT or POST /v1/drain.
///
/// The first signal takes the host out of the balancer's rotation, hands over
/// what it owns and answers what is open, within Settings::shutdown_within. A
/// second signal ends the process at once.
/// @param settings checked settings
/// @return exit code: 0 after a graceful shutdown, 1 after a forced one or
///   where an address can't be bound
int RunServe(const config::Settings& settings);

}  // namespace buckthornmux::runtime
