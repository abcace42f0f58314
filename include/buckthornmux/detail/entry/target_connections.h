/// Connections of a host to targets.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/net/http_client.h"

namespace buckthornmux::entry {

/// A target has room for some tens of connections and keeps those of a lost
/// host, so that hosts that own the cell one after the other share that room.
/// One carries the report calls, the others starts and stops.
inline constexpr std::size_t kMaxTargetConnections = 4;
/// The owner's report calls keep one connection in use; a host that owns
/// nothing any more closes all of them.
inline constexpr Millis kIdleTargetConnectionTimeout{10'000};
inline constexpr Millis kSurplusTargetConnectionTimeout{2000};

/// @brief Options of the client that calls targets.
/// @param memory_mb memory of the process, which bounds the answers that are
///   being read; 0: not configured
[[nodiscard]] inline net::HttpClientOptions TargetClientOptions(
    Millis connect_timeout, std::int64_t memory_mb = 0) {
  net::HttpClientOptions options;
  options.max_connections_per_peer = kMaxTargetConnections;
  options.idle_timeout = kIdleTargetConnectionTimeout;
  options.surplus_idle_timeout = kSurplusTargetConnectionTimeout;
  options.connect_timeout = connect_timeout;
  options.clock = Now;
  options.budget = std::make_shared<net::RequestBudget>();
  options.budget->limits = net::LimitsForMemory(memory_mb);
  return options;
}

}  // namespace buckthornmux::entry
