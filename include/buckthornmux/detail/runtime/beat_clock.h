/// Which heartbeats were sent when, and which ones peers have echoed.
///
/// A heartbeat may lie in a socket's buffer for as long as its receiver is
/// paused. So what it says is dated by the latest own heartbeat that its sender
/// had received: it was surely sent after that one left.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/core/time.h"
#include "buckthornmux/detail/peer/messages.h"

namespace buckthornmux::runtime {

/// @brief Send times of the last heartbeats and what was heard of peers; every
///   call is safe from any thread.
class BeatClock {
 public:
  /// @brief Notes that a heartbeat is about to be sent.
  void Sent(std::uint64_t sequence, Time at);

  /// @brief When an own heartbeat was sent; nothing where it is too old.
  [[nodiscard]] std::optional<Time> SentAt(std::uint64_t sequence) const;

  /// @brief Notes a peer's heartbeat, to be echoed to it.
  void Heard(const peer::Heartbeat& heartbeat);

  /// @brief What to echo: the last heartbeat of each peer.
  [[nodiscard]] std::vector<peer::Echo> Echoes() const;

 private:
  static constexpr std::size_t kKept = 64;

  mutable std::mutex m_mutex;
  std::map<std::uint64_t, Time> m_sent;
  std::map<HostId, peer::Echo> m_heard;
};

}  // namespace buckthornmux::runtime
