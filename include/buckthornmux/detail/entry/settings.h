/// What an entry host is told about itself and the platform around it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::entry {

/// Bounds that the operators promise their users or give us.
struct Bounds {
  Millis key_trust{5000};       ///< A withdrawn key works no longer than this.
  Millis shutdown{6000};        ///< From SIGTERM to the kill.
  Millis longest_lease{6000};   ///< Of what runs on a target.
  Millis stop_time{400};        ///< A target needs to stop a task.
  Millis gang_timeout{3000};    ///< Members wait for each other.
  Millis cancel_within{3000};   ///< Tasks of a cancelled job are gone by then.
  Millis status_kept{120'000};  ///< Ended jobs are told of.
  double far_factor = 3;        ///< Slowdown away from the data.
};

/// What the machine gives this process, as the operators state it.
struct HostCapacity {
  double cores = 0;            ///< Share of the processor; 0: not stated.
  double link_mbps = 0;        ///< Megabits a second; 0: not stated.
  std::int64_t memory_mb = 0;  ///< 0: not stated.
};

/// Settings of one process. Addresses are "IP:port".
struct HostSettings {
  HostId host;
  std::string ip;
  DataCentre data_centre;
  std::string callers_address;    ///< Where callers are served.
  std::string readiness_address;  ///< Where the balancer asks.
  std::uint16_t peer_port = 0;    ///< Between entry hosts, TCP and UDP.
  std::string metrics_address;
  std::string store_address;
  std::string adviser_address;  ///< Empty: there is none.
  bool first_start = false;     ///< Of the whole system.
  HostCapacity capacity;
  Bounds bounds;
};

}  // namespace buckthornmux::entry
