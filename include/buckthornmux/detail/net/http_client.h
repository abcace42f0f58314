/// HTTP/1.1 client over Boost.Beast with a connection pool.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "buckthornmux/detail/net/http_types.h"
#include "buckthornmux/detail/net/request_budget.h"
#include "buckthornmux/detail/net/traffic.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::net {

/// Limits of a client.
struct HttpClientOptions {
  std::size_t max_connections_per_peer = 16;  ///< Further calls are queued.
  std::size_t max_waiting_per_peer = 1024;    ///< Further calls fail at once.
  Millis connect_timeout{1000};
  /// The idle connection that was used last is closed after `idle_timeout`, the
  /// others of that peer after `surplus_idle_timeout`; 0: never. Peers may have
  /// room for few connections, and keep those of a lost host.
  Millis idle_timeout{0};
  Millis surplus_idle_timeout{0};
  std::uint64_t max_body_bytes = 8 << 20;  ///< Of an answer.
  /// Bounds the answers that are being read; several clients may share one.
  /// Null: no bound of their sum.
  std::shared_ptr<RequestBudget> budget;
  /// Clock of HttpRequest::connected_by; empty: the steady clock.
  std::function<Time()> clock;
  Traffic* traffic = nullptr;  ///< Outlives the client; null: not counted.
};

/// @brief Calls peers by "IP:port" over persistent connections.
///
/// Open connections can stop responding permanently while new ones work. A call
/// that fails therefore closes every idle connection to its peer that was
/// opened before the peer's last answer, so that the next call opens a new one.
class HttpClient {
 public:
  /// @param io runs the calls; must outlive the client
  /// @param options limits
  HttpClient(boost::asio::io_context& io, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @brief Sends one request. Callable from any thread.
  /// @param address "IP:port"
  /// @param request request to send
  /// @param timeout for the whole call, including time in the queue
  /// @param done called once with the answer, with kPeerUnreachable if nothing
  ///   was sent, or with kOutcomeUnknown if the peer may have received it
  /// Calls are never retried, because only the caller knows whether that is
  /// safe.
  void Call(std::string_view address, HttpRequest request, Millis timeout,
            Completion done);

  /// @brief Like Call, but blocks the calling thread. Must not be called from
  ///   an I/O thread.
  /// @return the answer or the same errors as Call
  [[nodiscard]] Outcome<HttpResponse> CallAndWait(std::string_view address,
                                                  HttpRequest request,
                                                  Millis timeout);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::net
