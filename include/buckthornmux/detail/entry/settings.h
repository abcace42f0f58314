/// Settings of an entry host.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::entry {

/// Limits that the operators guarantee to their users or set for this system.
struct Bounds {
  Millis key_trust{5000};       ///< A withdrawn key works no longer than this.
  Millis shutdown{6000};        ///< Time from SIGTERM to SIGKILL.
  Millis longest_lease{6000};   ///< Maximum lease of a task on a target.
  Millis stop_time{400};        ///< Time that a target needs to stop a task.
  Millis gang_timeout{3000};    ///< How long gang members wait for each other.
  Millis cancel_within{3000};   ///< Tasks of a cancelled job end within this.
  Millis status_kept{120'000};  ///< How long ended jobs can be queried.
  Millis finish{14'000};  ///< Longest wait of a job that there is room for.
  /// From this time after a target was listed as draining, no task begins on
  /// it; 0: no limit.
  Millis drain_within{2000};
  double far_factor = 3;  ///< Slowdown of tasks far from their data.
  /// From this time after the request, no task begins on a target of an
  /// evacuated data centre; 0: requests aren't read.
  Millis evacuate_within{0};
  /// Not used: no page of the platform explains how it is counted.
  double cold_overage = 1.5;
  double cold_slack = 5;  ///< Not used, for the same reason.
};

/// Resources of this process, as configured by the operators.
struct HostCapacity {
  double cores = 0;            ///< Processor share; 0: not configured.
  double link_mbps = 0;        ///< Mbit/s; 0: not configured.
  std::int64_t memory_mb = 0;  ///< 0: not configured.
};

/// Settings of one process. Addresses are "IP:port".
struct HostSettings {
  HostId host;
  std::string ip;
  DataCentre data_centre;
  std::string callers_address;    ///< Listening address for callers.
  std::string readiness_address;  ///< Load balancer's health checks.
  std::uint16_t peer_port = 0;    ///< TCP and UDP, between entry hosts.
  std::string metrics_address;
  std::string store_address;
  std::size_t max_value_bytes = 1'048'576;  ///< Of a value in the store.
  std::string adviser_address;              ///< Empty if there is no adviser.
  bool first_start = false;  ///< First start of the whole system.
  /// Keeps tasks apart that slow each other down.
  bool interference = true;
  HostCapacity capacity;
  Bounds bounds;
};

}  // namespace buckthornmux::entry
