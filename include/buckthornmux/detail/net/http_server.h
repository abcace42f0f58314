/// HTTP/1.1 server over Boost.Beast with bounds on size, time and count.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "buckthornmux/detail/net/http_types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::net {

/// Bounds of a server.
struct HttpServerOptions {
  std::string address = "127.0.0.1:0";  ///< IP:port; port 0: any free one.
  std::uint64_t max_body_bytes = 1 << 20;
  Millis read_timeout{5000};              ///< From first byte to whole request.
  Millis idle_timeout{60'000};            ///< Between requests.
  Millis write_timeout{10'000};           ///< For the whole answer.
  std::size_t max_connections = 4096;     ///< More are closed on accept.
  std::vector<std::string> kept_headers;  ///< Passed on in HttpRequest.
};

/// @brief Serves HTTP on an io_context that the caller runs on one thread.
///
/// A request that is malformed, too large or too slow gets its typed error and
/// its connection is closed; others are not affected.
class HttpServer {
 public:
  /// @brief Binds and starts to accept.
  /// @param io runs the server, on one thread; outlives it
  /// @param options bounds
  /// @param handler called for each whole request
  /// Errors: throws boost::system::system_error where the address can't be
  /// bound.
  HttpServer(boost::asio::io_context& io, HttpServerOptions options,
             Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Port in use.
  [[nodiscard]] std::uint16_t Port() const;

  /// @brief From now on each answer closes its connection, so that callers
  ///   leave before Drain. Callable from any thread.
  void CloseAfterAnswers();

  /// @brief Stops to accept; open requests are answered, then their
  ///   connections are closed. Callable from any thread.
  void Drain();

  /// @brief Count of requests read but not yet answered whole.
  [[nodiscard]] std::size_t OpenRequests() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::net
