/// HTTP/1.1 server over Boost.Beast with limits on size, time and connections.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/net/http_types.h"
#include "buckthornmux/detail/net/request_budget.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::net {

/// What a request's head allows.
struct HeadDecision {
  /// Answer of a request whose body is not read.
  std::optional<HttpResponse> refusal;
  std::uint64_t max_body_bytes = std::numeric_limits<std::uint64_t>::max();
  bool known_caller = false;  ///< Not confined to the unknown callers' share.
};

/// Limits of a server.
struct HttpServerOptions {
  std::string address = "127.0.0.1:0";  ///< IP:port; port 0: any free one.
  std::uint64_t max_body_bytes = 1 << 20;
  Millis read_timeout{5000};  ///< From the first byte to the end of a request.
  Millis idle_timeout{60'000};   ///< Between requests.
  Millis write_timeout{10'000};  ///< For the whole answer.
  /// At this number, the connection that is idle for the longest time is closed
  /// for a new one; if none is idle, the new one is closed.
  std::size_t max_connections = 4096;
  std::vector<std::string> kept_headers;  ///< Copied to HttpRequest.
  /// Bounds the input of all connections; several servers may share one. Null:
  /// the server has its own, which holds eight of the largest bodies or more.
  std::shared_ptr<RequestBudget> budget;
  /// Decides on a request with a body before the body is read; the request's
  /// body is empty. Empty: each caller is known, and none is refused.
  std::function<HeadDecision(const HttpRequest& head)> decide_head;
  /// Called with the name of a limit that a client has exceeded; may be empty.
  std::function<void(std::string_view limit)> over_limit;
};

/// @brief Serves HTTP on an io_context that the caller runs on one thread.
///
/// A request that is malformed, too large or too slow is answered with a typed
/// error and its connection is closed. Other connections are not affected.
class HttpServer {
 public:
  /// @brief Binds the address and starts accepting connections.
  /// @param io runs the server, on one thread; must outlive it
  /// @param options limits
  /// @param handler called for each complete request
  /// Errors: throws boost::system::system_error if the address can't be bound.
  HttpServer(boost::asio::io_context& io, HttpServerOptions options,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief The bound port.
  [[nodiscard]] std::uint16_t Port() const;

  /// @brief Closes each connection after its next answer, so that callers
  ///   disconnect before Drain. Callable from any thread.
  void CloseAfterAnswers();

  /// @brief Stops accepting connections. Open requests are still answered, then
  ///   their connections are closed. Callable from any thread.
  void Drain();

  /// @brief Number of requests that were read but not yet completely answered.
  [[nodiscard]] std::size_t OpenRequests() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::net
