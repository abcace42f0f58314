/// TCP links between entry hosts, and UDP heartbeats on the same port.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/net/request_budget.h"
#include "buckthornmux/detail/net/traffic.h"
#include "buckthornmux/detail/peer/messages.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::peer {

/// Timing and bounds of links.
struct PeerLinkOptions {
  HostId self;
  std::string incarnation;
  std::string listen;  ///< IP:port, TCP and UDP.
  Millis ping_every{500};
  Millis silent_after{2000};  ///< No Pong for so long: reconnect.
  Millis reconnect_pause{200};
  std::size_t max_queued = 16'384;  ///< Messages for one peer.
  std::size_t max_incoming = 256;   ///< Further connections are closed.
  Millis hello_within{5000};  ///< A new connection's Hello arrives within this.
  /// Memory of the process, which bounds unfinished frames; 0: not configured.
  std::int64_t memory_mb = 0;
  /// Clock that peers learn, see PeerLinks::ClockOf; steady_clock if left out.
  std::function<Time()> clock;
  net::Traffic* traffic = nullptr;  ///< Outlives the links; null: not counted.
};

/// Another entry host.
struct PeerAddress {
  HostId host;
  std::string address;  ///< IP:port.
};

/// What links report, on their I/O thread.
struct PeerEvents {
  std::function<void(const HostId& from, Message)> message;
  /// A link went up or down. What was sent on a link that went down may or may
  /// not have arrived.
  std::function<void(const HostId& peer, bool up)> link;
  std::function<void(Heartbeat)> heartbeat;
  /// The peer has answered a Ping, `took` after the oldest one that had no
  /// answer was sent; may be left out.
  std::function<void(const HostId& peer, Millis took)> pong;
  /// A frame of any kind has arrived on a connection that the peer opened; may
  /// be left out.
  std::function<void(const HostId& peer)> frame;
  /// A connection was closed, since it exceeded a limit; may be left out.
  std::function<void(std::string_view limit)> over_limit;
};

/// @brief One outgoing connection per peer for what this host sends; what it
///   receives comes on connections that peers open.
class PeerLinks {
 public:
  /// Errors: throws boost::system::system_error where the address can't be
  /// bound.
  PeerLinks(boost::asio::io_context& io, PeerLinkOptions options,
            PeerEvents events);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// @brief Names the peers; links to others end. Self is left out.
  void SetPeers(std::span<const PeerAddress> peers);

  /// @brief Queues a message, from any thread.
  /// @return false where it is surely not sent: unknown peer, link down or
  ///   queue full
  bool Send(const HostId& peer, const Message& message);

  /// @brief Lower bound of the time that a peer's clock shows now, learnt from
  ///   its Pongs on the current connection. It trusts no time of day, only that
  ///   the clocks run at about the same rate. Callable from any thread.
  /// @return nothing before the first Pong of a connection
  [[nodiscard]] std::optional<Time> ClockOf(const HostId& peer) const;

  /// @brief Asks a peer to answer a ping now, from any thread. Nothing is
  ///   asked on a link that is down.
  void Probe(const HostId& peer);

  /// @brief Gives up a connection that went silent and opens a new one, from
  ///   any thread.
  void Reconnect(const HostId& peer);

  /// @brief Delay of each link that is up: the largest of the age of its oldest
  ///   unsent message, the age of its oldest unanswered Ping and the time that
  ///   the last Ping took. Callable on the I/O thread only.
  [[nodiscard]] std::vector<Millis> Delays() const;

  /// @brief Sends a heartbeat to every peer, from any thread.
  void SendHeartbeat(const Heartbeat& heartbeat);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::peer
