#include "buckthornmux/detail/peer/messages.h"

#include "buckthornmux/detail/core/archive.h"

namespace buckthornmux {

// Found by argument-dependent lookup from each namespace that has messages.
namespace sched {
using buckthornmux::serialize;
}
namespace home {
using buckthornmux::serialize;
}
namespace cell {
using buckthornmux::serialize;
}
namespace member {
using buckthornmux::serialize;
}
namespace entry {
using buckthornmux::serialize;
}
namespace peer {
using buckthornmux::serialize;
}

namespace peer {

std::string Encode(const Message& message) { return EncodeBinary(message); }

std::string Encode(const Heartbeat& heartbeat) {
  return EncodeBinary(heartbeat);
}

Result<Message> DecodeMessage(std::string_view bytes) {
  return DecodeBinary<Message>(bytes, "a peer message");
}

Result<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  return DecodeBinary<Heartbeat>(bytes, "a heartbeat");
}

}  // namespace peer
}  // namespace buckthornmux
