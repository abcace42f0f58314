/// The heartbeat duty: tells peers, several times a second, that this process
/// lives, which revision is in force here and what room its shards have.
#pragma once

#include "buckthornmux/detail/runtime/wiring.h"

namespace buckthornmux::runtime {

/// @brief Sends one heartbeat to every peer.
/// @param wiring published views are read from it
/// @param sequence rises with each heartbeat
/// @param now time of the runtime's clock
void SendHeartbeat(Wiring& wiring, std::uint64_t sequence, Time now);

}  // namespace buckthornmux::runtime
