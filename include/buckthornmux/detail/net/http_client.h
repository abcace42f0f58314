/// HTTP/1.1 client over Boost.Beast with pooled connections.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "buckthornmux/detail/net/http_types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::net {

/// Bounds of a client.
struct HttpClientOptions {
  std::size_t max_connections_per_peer = 16;  ///< Calls past it wait in line.
  std::size_t max_waiting_per_peer = 1024;    ///< More fail at once.
  Millis connect_timeout{1000};
  std::uint64_t max_body_bytes = 8 << 20;
};

/// @brief Calls peers by "IP:port" over kept-alive connections.
///
/// Open connections can go silent for good while new ones work. So a call that
/// times out retires every idle connection to that peer that was opened before
/// the peer's last answer, and the next call opens a new one.
class HttpClient {
 public:
  /// @param io runs the calls; outlives the client
  /// @param options bounds
  HttpClient(boost::asio::io_context& io, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @brief Sends one request and completes once, from any thread.
  /// @param address "IP:port"
  /// @param request what to send
  /// @param timeout for the whole call, waiting in line included
  /// @param done takes the answer, or kPeerUnreachable when surely nothing was
  ///   sent, or kOutcomeUnknown when the peer may have got it
  /// There is no retry inside: only the caller knows whether one is safe.
  void Call(std::string_view address, HttpRequest request, Millis timeout,
            Completion done);

  /// @brief Call, blocking the calling thread; never from an I/O thread.
  /// @return the answer or the same errors as Call
  [[nodiscard]] Outcome<HttpResponse> CallAndWait(std::string_view address,
                                                  HttpRequest request,
                                                  Millis timeout);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::net
