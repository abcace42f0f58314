#include "buckthornmux/detail/net/http_client.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <future>
#include <map>
#include <utility>
#include <vector>

#include "buckthornmux/detail/net/address.h"

namespace buckthornmux::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

/// Bound of an answer's head.
constexpr std::size_t kMaxAnswerHeadBytes = 16 << 10;
/// Sizes of the parts in which an answer is read. They double while parts are
/// filled, since each one takes a turn of the event loop; most answers are
/// short. The maximum also bounds what the parser needs as a whole after the
/// head: a chunk header with its extensions, all trailers.
constexpr std::size_t kFirstAnswerPartBytes = 512;
constexpr std::size_t kMaxAnswerPartBytes = 32 << 10;
/// Bytes of a chunked answer that aren't content.
constexpr std::uint64_t kMaxAnswerFramingBytes = 1 << 20;
/// Maximum time by which a stall time-out extends a call beyond its time-out.
constexpr std::chrono::seconds kMaxStallExtension{10};

struct Connection {
  explicit Connection(const asio::any_io_executor& executor)
      : stream(executor) {}
  beast::tcp_stream stream;
  SteadyClock::time_point opened = SteadyClock::now();
  Time opened_by;  ///< The same on the clock of HttpRequest::connected_by.
  SteadyClock::time_point idle_since;
  /// Process that it leads to, by a ConnectionCheck; empty if not checked.
  std::string process;
};
using ConnectionPtr = std::shared_ptr<Connection>;

struct PendingCall {
  HttpRequest request;
  SteadyClock::time_point deadline;
  Completion done;
};

struct Peer {
  explicit Peer(const asio::any_io_executor& executor)
      : queue_timer(executor), idle_timer(executor) {}
  std::string address;
  asio::steady_timer queue_timer;  ///< Expires with the earliest queued call.
  asio::steady_timer idle_timer;   ///< Expires with the first idle connection.
  SteadyClock::time_point idle_timer_at = SteadyClock::time_point::max();
  std::vector<ConnectionPtr> idle;  ///< The one that was used last at the end.
  std::deque<PendingCall> waiting;
  std::size_t active = 0;
  SteadyClock::time_point last_answer;
};

/// Parses the header's whole seconds; 0 if it is missing.
Millis ParseRetryAfter(std::string_view text) {
  std::int64_t seconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(seconds);
}

Error PeerUnreachable(const std::string& why) {
  return {ErrorKind::kPeerUnreachable, why, {}};
}

Error OutcomeUnknown(const std::string& why) {
  return {ErrorKind::kOutcomeUnknown, why, {}};
}

}  // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  Impl(asio::io_context& context, HttpClientOptions client_options)
      : strand(asio::make_strand(context)), options(client_options) {}

  void Submit(const std::string& address, PendingCall call) {
    auto& slot = peers[address];
    if (!slot) {
      slot = std::make_shared<Peer>(strand);
      slot->address = address;
    }
    if (slot->waiting.size() >= options.max_waiting_per_peer) {
      call.done(PeerUnreachable("call queue is full for " + address));
      return;
    }
    slot->waiting.push_back(std::move(call));
    StartQueuedCalls(slot);
    ScheduleQueueTimeout(slot);
  }

  /// Sets the timer that fails queued calls at their deadline.
  void ScheduleQueueTimeout(const std::shared_ptr<Peer>& peer) {
    if (peer->waiting.empty()) {
      return;
    }
    const auto first =
        std::ranges::min_element(peer->waiting, {}, &PendingCall::deadline);
    peer->queue_timer.expires_at(first->deadline);
    peer->queue_timer.async_wait(
        [self = shared_from_this(), peer](error_code cancelled) {
          if (!cancelled) {
            self->FailExpiredCalls(peer);
          }
        });
  }

  void FailExpiredCalls(const std::shared_ptr<Peer>& peer) {
    const auto now = SteadyClock::now();
    std::vector<PendingCall> expired;
    std::erase_if(peer->waiting, [&](PendingCall& call) {
      const bool over = call.deadline <= now;
      if (over) {
        expired.push_back(std::move(call));
      }
      return over;
    });
    ScheduleQueueTimeout(peer);
    for (const PendingCall& call : expired) {
      call.done(PeerUnreachable("timed out in the call queue"));
    }
  }

  void StartQueuedCalls(const std::shared_ptr<Peer>& peer) {
    while (!peer->waiting.empty() &&
           peer->active < options.max_connections_per_peer) {
      PendingCall call = std::move(peer->waiting.front());
      peer->waiting.pop_front();
      ++peer->active;
      asio::co_spawn(strand, Run(shared_from_this(), peer, std::move(call)),
                     asio::detached);
    }
  }

  void KeepIdle(const std::shared_ptr<Peer>& peer, ConnectionPtr connection) {
    connection->idle_since = SteadyClock::now();
    peer->idle.push_back(std::move(connection));
    ScheduleIdleTimeout(peer);
  }

  /// When an idle connection is to be closed.
  [[nodiscard]] SteadyClock::time_point IdleUntil(
      const Peer& peer, const ConnectionPtr& connection) const {
    const bool last = connection == peer.idle.back();
    const Millis timeout =
        last ? options.idle_timeout : options.surplus_idle_timeout;
    return timeout == Millis(0) ? SteadyClock::time_point::max()
                                : connection->idle_since + timeout;
  }

  /// Closes the connections that have been idle for too long, and sets the
  /// timer for the next one.
  void ScheduleIdleTimeout(const std::shared_ptr<Peer>& peer) {
    const auto now = SteadyClock::now();
    auto next = SteadyClock::time_point::max();
    std::vector<ConnectionPtr> kept;
    for (const ConnectionPtr& connection : peer->idle) {
      const auto until = IdleUntil(*peer, connection);
      if (until > now) {
        kept.push_back(connection);
        next = std::min(next, until);
      }
    }
    peer->idle = std::move(kept);
    if (next >= peer->idle_timer_at) {
      return;
    }
    peer->idle_timer_at = next;
    peer->idle_timer.expires_at(next);
    peer->idle_timer.async_wait(
        [self = shared_from_this(), peer](error_code cancelled) {
          if (!cancelled) {
            peer->idle_timer_at = SteadyClock::time_point::max();
            self->ScheduleIdleTimeout(peer);
          }
        });
  }

  [[nodiscard]] Time Clock() const {
    return options.clock
               ? options.clock()
               : std::chrono::time_point_cast<Millis>(SteadyClock::now());
  }

  asio::awaitable<ConnectionPtr> Open(Peer& peer,
                                      SteadyClock::time_point deadline) {
    const auto outcome = Capture([&] { return ParseAddress(peer.address); });
    if (std::holds_alternative<Error>(outcome)) {
      co_return nullptr;
    }
    const auto& address = std::get<Address>(outcome);
    auto connection = std::make_shared<Connection>(strand);
    connection->stream.expires_at(
        std::min(deadline, SteadyClock::now() + options.connect_timeout));
    error_code error;
    co_await connection->stream.async_connect(
        tcp::endpoint(address.ip, address.port),
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return nullptr;
    }
    connection->stream.socket().set_option(tcp::no_delay(true), error);
    connection->opened = SteadyClock::now();
    // In whole milliseconds, so the end of this one.
    connection->opened_by = Clock() + Millis(1);
    co_return connection;
  }

  asio::awaitable<Outcome<HttpResponse>> Exchange(
      Connection& connection, const HttpRequest& request,
      SteadyClock::time_point deadline, bool& reusable) {
    http::request<http::string_body> message(
        http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, "buckthornmux");
    message.set(http::field::content_type, "application/json");
    if (!request.authorization.empty()) {
      message.set(http::field::authorization, request.authorization);
    }
    for (const Header& header : request.headers) {
      message.set(header.name, header.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    connection.stream.expires_at(deadline);
    error_code error;
    const std::size_t written = co_await http::async_write(
        connection.stream, message,
        asio::redirect_error(asio::use_awaitable, error));
    if (options.traffic != nullptr) {
      options.traffic->sent += written;
    }
    if (error) {
      co_return OutcomeUnknown("sending: " + error.message());
    }
    beast::flat_buffer buffer(kMaxAnswerPartBytes);
    http::response_parser<http::string_body> parser;
    parser.header_limit(kMaxAnswerHeadBytes);
    parser.body_limit(options.max_body_bytes);
    BudgetShare share(options.budget, true);
    std::uint64_t parsed = 0;
    std::size_t part = kFirstAnswerPartBytes;
    const Millis stall = request.stall_timeout;
    while (!error && !parser.is_done()) {
      buffer.reserve(part);
      const std::size_t received = co_await http::async_read_some(
          connection.stream, buffer, parser,
          asio::redirect_error(asio::use_awaitable, error));
      parsed += received;
      part = received < part ? part : std::min(2 * part, kMaxAnswerPartBytes);
      if (options.traffic != nullptr) {
        options.traffic->received += received;
      }
      const std::string& body = parser.get().body();
      if (!share.Resize(body.capacity())) {
        co_return OutcomeUnknown("answers exceed the budget");
      }
      if (parsed > body.size() + kMaxAnswerHeadBytes + kMaxAnswerFramingBytes) {
        co_return OutcomeUnknown("the answer's framing exceeds its limit");
      }
      if (stall > Millis(0)) {
        connection.stream.expires_at(std::clamp(SteadyClock::now() + stall,
                                                deadline,
                                                deadline + kMaxStallExtension));
      }
    }
    if (error) {
      co_return OutcomeUnknown("waiting for the answer: " + error.message());
    }
    HttpResponse response;
    response.status = static_cast<int>(parser.get().result_int());
    response.body = std::move(parser.get().body());
    response.content_type =
        std::string(parser.get()[http::field::content_type]);
    response.retry_after =
        ParseRetryAfter(parser.get()[http::field::retry_after]);
    reusable = parser.get().keep_alive();
    response.close = !reusable;
    co_return response;
  }

  /// Whether a connection leads to the process that a request is meant for.
  static bool Suits(const Connection& connection, const HttpRequest& request) {
    return request.connected_by == Time::max() ||
           connection.opened_by <= request.connected_by ||
           (request.check && connection.process == request.check->process);
  }

  /// Takes an idle connection that suits a request, and discards those that the
  /// peer has closed, so that no request is sent on a closed connection.
  static ConnectionPtr TakeIdle(Peer& peer, const HttpRequest& request) {
    while (true) {
      const auto found =
          std::ranges::find_if(peer.idle.rbegin(), peer.idle.rend(),
                               [&](const ConnectionPtr& connection) {
                                 return Suits(*connection, request);
                               });
      if (found == peer.idle.rend()) {
        return nullptr;
      }
      ConnectionPtr connection = std::move(*found);
      peer.idle.erase(std::next(found).base());
      auto& socket = connection->stream.socket();
      error_code error;
      socket.non_blocking(true, error);
      char byte = 0;
      socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
      if (error == asio::error::would_block) {
        return connection;
      }
    }
  }

  /// Opens a connection for a request and makes the request's check on it.
  /// @return the connection, or why the request can't be sent
  asio::awaitable<Outcome<ConnectionPtr>> OpenFor(const PendingCall& call,
                                                  std::shared_ptr<Peer> peer) {
    ConnectionPtr connection = co_await Open(*peer, call.deadline);
    if (!connection) {
      co_return PeerUnreachable("can't connect to " + peer->address);
    }
    if (const auto check = call.request.check) {
      bool reusable = false;
      const auto answer =
          co_await Exchange(*connection, check->call, call.deadline, reusable);
      const auto* response = std::get_if<HttpResponse>(&answer);
      if (response == nullptr || !reusable) {
        co_return PeerUnreachable("connection not confirmed");
      }
      peer->last_answer = SteadyClock::now();
      if (!check->accepts(*response)) {
        KeepIdle(peer, std::move(connection));
        co_return PeerUnreachable("another process answers");
      }
      connection->process = check->process;
    }
    co_return connection;
  }

  /// Finds a connection for a request.
  /// @return the connection, or why the request can't be sent
  asio::awaitable<Outcome<ConnectionPtr>> Connect(const PendingCall& call,
                                                  std::shared_ptr<Peer> peer) {
    if (SteadyClock::now() >= call.deadline) {
      CloseSuspectConnections(*peer);
      co_return PeerUnreachable("timed out in the call queue");
    }
    if (ConnectionPtr idle = TakeIdle(*peer, call.request)) {
      co_return idle;
    }
    if (call.request.connected_by != Time::max() && !call.request.check) {
      co_return PeerUnreachable("no idle connection is old enough");
    }
    auto opened = co_await OpenFor(call, peer);
    if (std::holds_alternative<Error>(opened)) {
      CloseSuspectConnections(*peer);
    }
    co_return opened;
  }

  static asio::awaitable<void> Run(std::shared_ptr<Impl> self,
                                   std::shared_ptr<Peer> peer,
                                   PendingCall call) {
    Outcome<HttpResponse> outcome = PeerUnreachable("send_by has passed");
    const auto connected = co_await self->Connect(call, peer);
    if (const auto* error = std::get_if<Error>(&connected)) {
      outcome = *error;
    } else {
      const auto& connection = std::get<ConnectionPtr>(connected);
      const bool in_time = self->Clock() <= call.request.send_by;
      bool reusable = !in_time;
      if (in_time && call.request.on_send) {
        call.request.on_send();
      }
      if (in_time) {
        outcome = co_await self->Exchange(*connection, call.request,
                                          call.deadline, reusable);
      }
      if (std::holds_alternative<HttpResponse>(outcome)) {
        peer->last_answer = SteadyClock::now();
      } else if (in_time) {
        CloseSuspectConnections(*peer);
      }
      if (reusable) {
        self->KeepIdle(peer, connection);
      }
    }
    --peer->active;
    call.done(std::move(outcome));
    self->StartQueuedCalls(peer);
  }

  /// Closes the idle connections that were opened before the peer's last
  /// answer. Called after a failed call, because these connections may no
  /// longer respond either.
  static void CloseSuspectConnections(Peer& peer) {
    std::erase_if(peer.idle, [&](const ConnectionPtr& connection) {
      return connection->opened <= peer.last_answer;
    });
  }

  asio::strand<asio::io_context::executor_type> strand;
  HttpClientOptions options;
  std::map<std::string, std::shared_ptr<Peer>, std::less<>> peers;
};

HttpClient::HttpClient(asio::io_context& io, HttpClientOptions options)
    : m_impl(std::make_shared<Impl>(io, options)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Call(std::string_view address, HttpRequest request,
                      Millis timeout, Completion done) {
  PendingCall call{std::move(request), SteadyClock::now() + timeout,
                   std::move(done)};
  asio::post(m_impl->strand, [impl = m_impl, peer = std::string(address),
                              call = std::move(call)]() mutable {
    impl->Submit(peer, std::move(call));
  });
}

Outcome<HttpResponse> HttpClient::CallAndWait(std::string_view address,
                                              HttpRequest request,
                                              Millis timeout) {
  auto promise = std::make_shared<std::promise<Outcome<HttpResponse>>>();
  auto future = promise->get_future();
  Call(address, std::move(request), timeout,
       [promise](Outcome<HttpResponse> outcome) {
         promise->set_value(std::move(outcome));
       });
  return future.get();
}

}  // namespace buckthornmux::net
