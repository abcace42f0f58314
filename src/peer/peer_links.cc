#include "buckthornmux/detail/peer/peer_links.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include "buckthornmux/detail/net/address.h"
#include "frame_io.h"

namespace buckthornmux::peer {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kMaxDatagramBytes = 60'000;
/// Least bound of all unfinished frames: the largest one, and half as much.
constexpr std::uint64_t kMinFrameBudgetBytes =
    std::uint64_t{kMaxFrameBytes} / 2 * 3;
/// The clocks of two hosts run at the same rate, but for one part of this many.
constexpr int kMaxDriftDivisor = 50;
constexpr Millis kClockResolution{1};

net::Address MustParse(const std::string& text) {
  const auto outcome = Capture([&] { return net::ParseAddress(text); });
  if (const auto* error = std::get_if<Error>(&outcome)) {
    throw boost::system::system_error(asio::error::invalid_argument,
                                      error->message);
  }
  return std::get<net::Address>(outcome);
}

using SocketPtr = std::shared_ptr<tcp::socket>;

/// A peer's clock, as one of its Pongs has shown it.
struct PeerClock {
  Time shown;
  Time received;  ///< On this host's clock.

  /// Lower bound of the peer's clock at time `now` of this host.
  [[nodiscard]] Time AtLeast(Time now) const {
    const Millis passed = now - received;
    return shown + passed - passed / kMaxDriftDivisor - kClockResolution;
  }
};

/// One peer's outgoing connection.
struct Link {
  Link(asio::io_context& io, PeerAddress peer_address)
      : peer(std::move(peer_address)), wake(io) {}
  PeerAddress peer;
  std::mutex mutex;  ///< Guards queue, queued_since, up and clock.
  std::deque<std::string> queue;
  SteadyClock::time_point queued_since;  ///< Of the oldest message in queue.
  bool up = false;
  std::optional<PeerClock> clock;
  // Below: of the I/O thread only.
  bool ended = false;
  asio::steady_timer wake;
  SocketPtr socket;  ///< Of the current connection; coroutines hold their own.
  SteadyClock::time_point last_pong;
  bool ping_now = false;
  std::optional<SteadyClock::time_point> ping_sent;  ///< Oldest unanswered one.
  SteadyClock::duration ping_took{};
  /// When the oldest of the messages that are being written was queued.
  std::optional<SteadyClock::time_point> writing_since;

  void CloseSocket() const {
    error_code ignored;
    if (socket) {
      socket->close(ignored);
    }
  }
};
using LinkPtr = std::shared_ptr<Link>;

}  // namespace

struct PeerLinks::Impl : std::enable_shared_from_this<PeerLinks::Impl> {
  Impl(asio::io_context& context, PeerLinkOptions link_options,
       PeerEvents link_events)
      : io(context),
        options(std::move(link_options)),
        events(std::move(link_events)),
        acceptor(context),
        datagrams(context) {
    frames->limits = net::LimitsForMemory(options.memory_mb);
    frames->limits.total = std::max(frames->limits.total, kMinFrameBudgetBytes);
    // One frame may take all: the largest frame is larger than the part of
    // large holders at the smallest budget.
    frames->limits.large = frames->limits.total;
    if (!options.clock) {
      options.clock = [] {
        return std::chrono::time_point_cast<Millis>(SteadyClock::now());
      };
    }
  }

  void Listen() {
    const net::Address address = MustParse(options.listen);
    const tcp::endpoint endpoint(address.ip, address.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    const udp::endpoint datagram_endpoint(address.ip, address.port);
    datagrams.open(datagram_endpoint.protocol());
    datagrams.bind(datagram_endpoint);
  }

  void CountReceived(std::size_t bytes) const {
    if (options.traffic != nullptr) {
      options.traffic->received += bytes;
    }
  }
  void CountSent(std::size_t bytes) const {
    if (options.traffic != nullptr) {
      options.traffic->sent += bytes;
    }
  }

  // The frames below are encoded outside of co_await expressions: g++ 12
  // destroys aggregate temporaries inside them twice.
  [[nodiscard]] std::string EncodeHello() const {
    return Encode(Message(Hello{options.self, options.incarnation}));
  }
  [[nodiscard]] std::string EncodePong() const {
    return Encode(Message(Pong{options.clock().time_since_epoch()}));
  }

  // ---- Receiving ----------------------------------------------------------

  static asio::awaitable<void> Accept(std::shared_ptr<Impl> self) {
    while (!self->ended) {
      error_code error;
      auto socket = std::make_shared<tcp::socket>(self->io);
      co_await self->acceptor.async_accept(
          *socket, asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      if (!error && self->incoming.size() >= self->options.max_incoming) {
        self->ReportLimit("connections");
      } else if (!error) {
        socket->set_option(tcp::no_delay(true), error);
        self->incoming.push_back(socket);
        asio::co_spawn(self->io, Receive(self, socket), asio::detached);
      }
    }
  }

  void ReportLimit(std::string_view limit) const {
    if (events.over_limit) {
      events.over_limit(limit);
    }
  }

  /// Handles one frame of a peer. Returns false if the connection is to end.
  asio::awaitable<bool> HandleFrame(tcp::socket& socket, std::string bytes,
                                    HostId& from) {
    auto outcome = Capture([&] { return DecodeMessage(bytes); });
    const auto* message = std::get_if<Message>(&outcome);
    if (message == nullptr) {
      co_return false;  // Another version or no peer.
    }
    CountReceived(bytes.size());
    if (events.frame && !from.empty()) {
      events.frame(from);
    }
    if (const auto* hello = std::get_if<Hello>(message)) {
      from = hello->host;
    } else if (std::holds_alternative<Ping>(*message)) {
      const std::string pong = EncodePong();
      co_return co_await WriteFrame(socket, pong);
    } else if (!from.empty()) {
      events.message(from, *message);
    }
    co_return true;
  }

  static asio::awaitable<void> Receive(std::shared_ptr<Impl> self,
                                       std::shared_ptr<tcp::socket> socket) {
    HostId from;
    auto known = std::make_shared<bool>(false);
    asio::steady_timer hello_timer(self->io, self->options.hello_within);
    hello_timer.async_wait([known, socket](error_code cancelled) {
      if (!cancelled && !*known) {
        error_code ignored;
        socket->close(ignored);
      }
    });
    net::BudgetShare share(self->frames, true);
    bool open = true;
    while (open) {
      const std::uint32_t most =
          from.empty() ? kMaxSmallFrameBytes : kMaxFrameBytes;
      FrameResult frame = co_await ReadFrame(*socket, most, share);
      if (frame.over_limit) {
        self->ReportLimit("frame_bytes");
      }
      open = frame.bytes &&
             co_await self->HandleFrame(*socket, std::move(*frame.bytes), from);
      *known = !from.empty();
      share.Release();
    }
    error_code ignored;
    socket->close(ignored);
    std::erase(self->incoming, socket);
  }

  static asio::awaitable<void> ReceiveHeartbeats(std::shared_ptr<Impl> self) {
    std::string buffer(kMaxDatagramBytes, '\0');
    while (!self->ended) {
      error_code error;
      const std::size_t size = co_await self->datagrams.async_receive(
          asio::buffer(buffer),
          asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      if (error) {
        continue;
      }
      auto outcome = Capture([&] {
        const std::string_view bytes = buffer;
        return DecodeHeartbeat(bytes.substr(0, size));
      });
      if (auto* heartbeat = std::get_if<Heartbeat>(&outcome)) {
        self->events.heartbeat(std::move(*heartbeat));
      }
    }
  }

  // ---- Sending ------------------------------------------------------------

  asio::awaitable<bool> Connect(Link& link) {
    const net::Address address = MustParse(link.peer.address);
    auto socket = std::make_shared<tcp::socket>(io);
    link.socket = socket;
    asio::steady_timer limit(io, options.silent_after);
    limit.async_wait([socket](error_code cancelled) {
      if (!cancelled) {
        error_code ignored;
        socket->close(ignored);
      }
    });
    error_code error;
    co_await socket->async_connect(
        tcp::endpoint(address.ip, address.port),
        asio::redirect_error(asio::use_awaitable, error));
    limit.cancel();
    if (error || !socket->is_open()) {
      co_return false;
    }
    socket->set_option(tcp::no_delay(true), error);
    link.last_pong = SteadyClock::now();
    const std::string hello = EncodeHello();
    co_return co_await WriteFrame(*socket, hello);
  }

  /// Keeps the tighter of two lower bounds, since a Pong may be held up.
  void LearnClock(Link& link, const Pong& pong) const {
    const PeerClock learnt{Time(pong.clock), options.clock()};
    const std::scoped_lock lock(link.mutex);
    if (!link.clock || learnt.AtLeast(learnt.received) >=
                           link.clock->AtLeast(learnt.received)) {
      link.clock = learnt;
    }
  }

  /// Reads Pongs until the connection breaks.
  static asio::awaitable<void> WatchPongs(std::shared_ptr<Impl> self,
                                          LinkPtr link, SocketPtr socket) {
    net::BudgetShare share(nullptr, true);  // Of small frames only.
    while (true) {
      const FrameResult frame =
          co_await ReadFrame(*socket, kMaxSmallFrameBytes, share);
      if (!frame.bytes) {
        break;
      }
      const auto outcome = Capture([&] { return DecodeMessage(*frame.bytes); });
      const auto* message = std::get_if<Message>(&outcome);
      const auto* pong =
          message == nullptr ? nullptr : std::get_if<Pong>(message);
      if (pong == nullptr) {
        break;  // Another version or no peer: the connection ends.
      }
      link->last_pong = SteadyClock::now();
      Millis took{0};
      if (link->socket == socket) {
        if (link->ping_sent) {
          link->ping_took = link->last_pong - *link->ping_sent;
          took = std::chrono::duration_cast<Millis>(link->ping_took);
          link->ping_sent.reset();
        }
        self->LearnClock(*link, *pong);
      }
      if (self->events.pong) {
        self->events.pong(link->peer.host, took);
      }
    }
    error_code ignored;
    socket->close(ignored);
    link->wake.cancel();
  }

  asio::awaitable<bool> WriteQueued(Link& link) {
    std::deque<std::string> taken;
    {
      const std::scoped_lock lock(link.mutex);
      taken.swap(link.queue);
      if (!taken.empty()) {
        link.writing_since = link.queued_since;
      }
    }
    for (const std::string& bytes : taken) {
      if (!co_await WriteFrame(*link.socket, bytes)) {
        co_return false;
      }
      CountSent(bytes.size());
    }
    link.writing_since.reset();
    co_return true;
  }

  asio::awaitable<void> Write(LinkPtr link) {
    auto next_ping = SteadyClock::now();
    while (!link->ended && link->socket->is_open()) {
      const auto now = SteadyClock::now();
      if (now - link->last_pong > options.silent_after) {
        co_return;
      }
      if (now >= next_ping || link->ping_now) {
        link->ping_now = false;
        next_ping = now + options.ping_every;
        link->ping_sent = link->ping_sent.value_or(now);
        if (!co_await WriteFrame(*link->socket, ping)) {
          co_return;
        }
      }
      if (!co_await WriteQueued(*link)) {
        co_return;
      }
      bool waiting = false;
      {
        const std::scoped_lock lock(link->mutex);
        waiting = !link->queue.empty();
      }
      if (!waiting) {
        link->wake.expires_at(next_ping);
        error_code ignored;
        co_await link->wake.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
      }
    }
  }

  void SetUp(Link& link, bool up) {
    {
      const std::scoped_lock lock(link.mutex);
      if (link.up == up) {
        return;
      }
      link.up = up;
      link.queue.clear();
      link.ping_sent.reset();
      link.ping_took = {};
      link.writing_since.reset();
      // The peer may come back as another process, with another clock.
      link.clock.reset();
    }
    events.link(link.peer.host, up);
  }

  /// A write that hangs because the peer's window is full ends with the socket.
  static asio::awaitable<void> CloseWhenSilent(std::shared_ptr<Impl> self,
                                               LinkPtr link, SocketPtr socket) {
    asio::steady_timer timer(self->io);
    while (!link->ended && socket->is_open()) {
      timer.expires_after(self->options.ping_every);
      error_code ignored;
      co_await timer.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
      const auto silence = SteadyClock::now() - link->last_pong;
      if (silence > self->options.silent_after) {
        socket->close(ignored);
        link->wake.cancel();
      }
    }
  }

  static asio::awaitable<void> RunLink(std::shared_ptr<Impl> self,
                                       LinkPtr link) {
    while (!link->ended && !self->ended) {
      if (co_await self->Connect(*link)) {
        asio::co_spawn(self->io, WatchPongs(self, link, link->socket),
                       asio::detached);
        asio::co_spawn(self->io, CloseWhenSilent(self, link, link->socket),
                       asio::detached);
        self->SetUp(*link, true);
        co_await self->Write(link);
        self->SetUp(*link, false);
      }
      link->CloseSocket();
      error_code ignored;
      asio::steady_timer pause(self->io, self->options.reconnect_pause);
      co_await pause.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
    }
  }

  void SetPeersNow(const std::vector<PeerAddress>& peers) {
    const std::scoped_lock lock(mutex);
    std::erase_if(links, [&](const auto& entry) {
      const Link& link = *entry.second;
      const bool kept = std::ranges::any_of(peers, [&](const auto& peer) {
        return peer.host == link.peer.host && peer.address == link.peer.address;
      });
      if (!kept) {
        End(*entry.second);
      }
      return !kept;
    });
    for (const PeerAddress& peer : peers) {
      if (peer.host == options.self || links.contains(peer.host)) {
        continue;
      }
      auto link = std::make_shared<Link>(io, peer);
      links.emplace(peer.host, link);
      asio::co_spawn(io, RunLink(shared_from_this(), link), asio::detached);
    }
  }

  static void End(Link& link) {
    link.ended = true;
    link.CloseSocket();
    link.wake.cancel();
  }

  void EndAll() {
    ended = true;
    error_code ignored;
    acceptor.close(ignored);
    datagrams.close(ignored);
    for (const auto& socket : incoming) {
      socket->close(ignored);
    }
    const std::scoped_lock lock(mutex);
    for (const auto& [host, link] : links) {
      End(*link);
    }
    links.clear();
  }

  asio::io_context& io;
  PeerLinkOptions options;
  PeerEvents events;
  const std::string ping = Encode(Message(Ping{}));
  tcp::acceptor acceptor;
  udp::socket datagrams;
  bool ended = false;
  std::vector<std::shared_ptr<tcp::socket>> incoming;
  /// Of unfinished frames. Apart from that of callers, who could otherwise cut
  /// hosts off from each other.
  std::shared_ptr<net::RequestBudget> frames =
      std::make_shared<net::RequestBudget>();
  std::mutex mutex;  ///< Guards links.
  std::map<HostId, LinkPtr> links;
};

PeerLinks::PeerLinks(asio::io_context& io, PeerLinkOptions options,
                     PeerEvents events)
    : m_impl(
          std::make_shared<Impl>(io, std::move(options), std::move(events))) {
  m_impl->Listen();
  asio::co_spawn(io, Impl::Accept(m_impl), asio::detached);
  asio::co_spawn(io, Impl::ReceiveHeartbeats(m_impl), asio::detached);
}

PeerLinks::~PeerLinks() {
  asio::post(m_impl->io, [impl = m_impl] { impl->EndAll(); });
}

void PeerLinks::SetPeers(std::span<const PeerAddress> peers) {
  asio::post(m_impl->io, [impl = m_impl, copy = std::vector<PeerAddress>(
                                             peers.begin(), peers.end())] {
    impl->SetPeersNow(copy);
  });
}

bool PeerLinks::Send(const HostId& peer, const Message& message) {
  LinkPtr link;
  {
    const std::scoped_lock lock(m_impl->mutex);
    const auto found = m_impl->links.find(peer);
    if (found == m_impl->links.end()) {
      return false;
    }
    link = found->second;
  }
  std::string bytes = Encode(message);
  {
    const std::scoped_lock lock(link->mutex);
    if (!link->up || link->queue.size() >= m_impl->options.max_queued) {
      return false;
    }
    if (link->queue.empty()) {
      link->queued_since = SteadyClock::now();
    }
    link->queue.push_back(std::move(bytes));
  }
  asio::post(m_impl->io, [link] { link->wake.cancel(); });
  return true;
}

std::optional<Time> PeerLinks::ClockOf(const HostId& peer) const {
  LinkPtr link;
  {
    const std::scoped_lock lock(m_impl->mutex);
    const auto found = m_impl->links.find(peer);
    if (found == m_impl->links.end()) {
      return std::nullopt;
    }
    link = found->second;
  }
  const std::scoped_lock lock(link->mutex);
  if (!link->up || !link->clock) {
    return std::nullopt;
  }
  return link->clock->AtLeast(m_impl->options.clock());
}

void PeerLinks::Probe(const HostId& peer) {
  asio::post(m_impl->io, [impl = m_impl, peer] {
    const std::scoped_lock lock(impl->mutex);
    const auto found = impl->links.find(peer);
    if (found != impl->links.end()) {
      found->second->ping_now = true;
      found->second->wake.cancel();
    }
  });
}

void PeerLinks::Reconnect(const HostId& peer) {
  asio::post(m_impl->io, [impl = m_impl, peer] {
    const std::scoped_lock lock(impl->mutex);
    const auto found = impl->links.find(peer);
    if (found != impl->links.end()) {
      found->second->CloseSocket();
      found->second->wake.cancel();
    }
  });
}

std::vector<Millis> PeerLinks::Delays() const {
  const auto now = SteadyClock::now();
  std::vector<Millis> delays;
  const std::scoped_lock lock(m_impl->mutex);
  for (const auto& [host, link] : m_impl->links) {
    const std::scoped_lock link_lock(link->mutex);
    if (!link->up) {
      continue;
    }
    SteadyClock::duration delay = link->ping_took;
    delay = std::max(delay, now - link->ping_sent.value_or(now));
    delay = std::max(delay, now - link->writing_since.value_or(now));
    if (!link->queue.empty()) {
      delay = std::max(delay, now - link->queued_since);
    }
    delays.push_back(std::chrono::duration_cast<Millis>(delay));
  }
  return delays;
}

void PeerLinks::SendHeartbeat(const Heartbeat& heartbeat) {
  asio::post(m_impl->io, [impl = m_impl, bytes = Encode(heartbeat)] {
    const std::scoped_lock lock(impl->mutex);
    for (const auto& [host, link] : impl->links) {
      const net::Address address = MustParse(link->peer.address);
      error_code ignored;
      impl->datagrams.send_to(asio::buffer(bytes),
                              udp::endpoint(address.ip, address.port), 0,
                              ignored);
    }
  });
}

}  // namespace buckthornmux::peer
