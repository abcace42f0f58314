/// Counts the bytes that a process transfers.
#pragma once

#include <atomic>
#include <cstdint>

namespace buckthornmux::net {

/// Payload bytes of TCP connections since the start of the process.
struct Traffic {
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> received{0};
};

}  // namespace buckthornmux::net
