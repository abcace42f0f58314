#include "buckthornmux/detail/runtime/heartbeat_duty.h"

#include <algorithm>

namespace buckthornmux::runtime {

void SendHeartbeat(Wiring& wiring, std::uint64_t sequence, Time now) {
  const auto view = wiring.config_view.Load();
  peer::Heartbeat heartbeat;
  heartbeat.host = wiring.settings.host_id;
  heartbeat.incarnation = wiring.incarnation;
  heartbeat.sequence = sequence;
  heartbeat.config = view->config->revision;
  heartbeat.config_age = std::max(now - view->sure_at, Millis(0));
  heartbeat.store_reachable = wiring.store_reachable;
  heartbeat.leaving = wiring.leaving;
  heartbeat.shards = wiring.owned_view.Load()->shards;
  heartbeat.echoes = wiring.beats.Echoes();
  wiring.beats.Sent(sequence, now);
  wiring.peers->SendHeartbeat(heartbeat);
}

}  // namespace buckthornmux::runtime
