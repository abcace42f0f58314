/// /v1/fleet: the parts of all members, put together.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/runtime/routes.h"

namespace buckthornmux::front {

/// Status of each member as its /v1/local answered; absent: no answer.
using LocalStatuses = std::map<HostId, std::string>;

/// @brief Puts the fleet's status together.
/// @param config in force here
/// @param routes members and owners
/// @param locals what members answered
/// @return JSON as docs/API.md describes
[[nodiscard]] std::string FleetJson(const config::Config& config,
                                    const runtime::Routes& routes,
                                    const LocalStatuses& locals);

}  // namespace buckthornmux::front
