/// /v1/fleet: the parts of all members, put together.
#pragma once

#include <map>
#include <string>

#include "buckthornmux/detail/config/config.h"
#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/runtime/routes.h"
#include "buckthornmux/detail/runtime/wiring.h"

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

/// @brief Asks every member for its part, then answers.
/// @param wiring routes, configuration and time-out
/// @param client calls the members
/// @param authorization operators' key, passed on
/// @param respond called once, when all have answered or timed out
void AnswerFleet(const runtime::Wiring& wiring, net::HttpClient& client,
                 const std::string& authorization, net::Responder respond);

}  // namespace buckthornmux::front
