/// The fleet's status as entry hosts show it.
#pragma once

#include <string>
#include <vector>

#include "buckthornmux/detail/cli/entry_client.h"
#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::cli {

/// One entry host.
struct FleetMember {
  HostId id;
  DataCentre data_centre;
  std::string http_address;
  Revision config_revision = 0;
  bool leaving = false;
  bool heard = false;  ///< It answered just now.
};
/// One owned range.
struct FleetOwner {
  std::string range;
  HostId owner;
  Epoch epoch = 0;
};
/// One team's part.
struct FleetTeam {
  TeamName name;
  double share = 0;
  std::int64_t limit = 0;
  std::int64_t use = 0;
};
/// One queue.
struct FleetQueue {
  KindName kind;
  std::int64_t queued = 0;
  std::int64_t running = 0;
};
/// GET /v1/fleet.
struct FleetView {
  std::vector<FleetMember> members;
  std::vector<FleetOwner> owners;
  std::vector<FleetTeam> teams;
  std::vector<FleetQueue> queues;
  std::int64_t targets_usable = 0;
  std::int64_t targets_leaving = 0;
  std::int64_t targets_unreachable = 0;
};

/// @brief Parses the answer of GET /v1/fleet; kMalformed otherwise.
[[nodiscard]] Result<FleetView> ParseFleet(std::string_view body);

/// @brief Fetches the fleet's status.
[[nodiscard]] Result<FleetView> FetchFleet(EntryClient& client);

/// @brief Entry hosts that don't show a revision in force, as text.
/// @return empty where every registered one does, and there is at least one
[[nodiscard]] std::string HostsBehind(const FleetView& fleet,
                                      Revision revision);

}  // namespace buckthornmux::cli
