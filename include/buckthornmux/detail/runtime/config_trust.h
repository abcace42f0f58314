/// Until when the revision in force may be trusted for keys.
/// Pure: no I/O, no clock.
#pragma once

#include <map>
#include <string>

#include "buckthornmux/detail/core/types.h"

namespace buckthornmux::runtime {

/// What a peer's last heartbeat said of its configuration.
struct PeerConfig {
  Time received_at;  ///< Surely sent after this time; see beat_clock.h.
  Revision revision = 0;
  Millis age{0};  ///< As in peer::Heartbeat::config_age.
  bool store_reachable = false;
};

/// All that trust follows from.
struct TrustInputs {
  Revision revision = 0;  ///< In force here.
  Time read_at;           ///< Own last read of the store left then.
  bool ever_read = false;
  Millis trust{0};                     ///< Settings::config_trust.
  std::map<HostId, PeerConfig> peers;  ///< Every registered member but self;
                                       ///< received_at 0 where never heard.
};

/// @brief End of trust in the revision in force.
///
/// A withdrawal needs the store. So the revision is good for `trust` after the
/// moment when this host, or a peer with the same revision, was sure of it; and
/// while every registered member is heard and none of them reaches the store,
/// nobody can have withdrawn anything, and it stays good.
/// @param inputs as known
/// @param now time of the decision
/// @return steady time; keys are refused after it
/// Complexity: linear in the peers.
[[nodiscard]] Time TrustedUntil(const TrustInputs& inputs, Time now);

}  // namespace buckthornmux::runtime
