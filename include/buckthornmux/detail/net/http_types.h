/// HTTP messages as plain structs, so that only net/ includes Beast.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::net {

/// A header field that has no member of its own.
struct Header {
  std::string name;
  std::string value;
};

struct ConnectionCheck;

/// A request, either received or to be sent.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";   ///< Path and query.
  std::string body;           ///< JSON, or empty.
  std::string authorization;  ///< "Bearer <key>", or empty.
  /// Outgoing: not sent after this time, on the client's clock.
  Time send_by = Time::max();
  std::function<void()> on_send;  ///< Outgoing: called as it is written.
  /// Outgoing: sent only on a connection that is open since this time or
  /// longer; without one the call fails, and nothing is sent.
  Time connected_by = Time::max();
  /// Outgoing: makes the request wait for this check of a new connection if no
  /// connection is old enough, instead of failing.
  std::shared_ptr<const ConnectionCheck> check;
  /// Outgoing: once the answer arrives, the call fails only if its time-out has
  /// passed and no part was received for this time. The extension is limited to
  /// 10 s in total. 0: the time-out applies to the whole answer.
  Millis stall_timeout{0};
  /// Incoming: number of the connection, from 1.
  std::uint64_t connection = 0;
  /// Incoming: those in HttpServerOptions::kept_headers. Outgoing: additional
  /// headers to send.
  std::vector<Header> headers;

  /// @brief Value of a header in `headers`; empty if it is missing.
  [[nodiscard]] std::string_view HeaderValue(std::string_view name) const {
    for (const Header& header : headers) {
      if (header.name == name) {
        return header.value;
      }
    }
    return {};
  }
};

/// An answer, either received or to be sent.
struct HttpResponse {
  int status = 200;  ///< Outgoing, 0: closes the connection unanswered.
  std::string body;
  std::string content_type = "application/json";
  Millis retry_after{0};  ///< 0: no Retry-After header.
  bool close = false;     ///< Close the connection after this answer.
};

/// A call that finds out whether a new connection leads to the process that a
/// request is meant for. A connection never leads to a later process.
struct ConnectionCheck {
  std::string process;  ///< Names the process; checked connections keep it.
  HttpRequest call;     ///< Sent first on a new connection.
  std::function<bool(const HttpResponse&)> accepts;
};

/// Sends the answer to one request; called once, from any thread.
using Responder = std::function<void(HttpResponse)>;

/// Handles one request on an I/O thread; must not block.
using Handler = std::function<void(HttpRequest, Responder)>;

/// Called on an I/O thread when a call has completed.
using Completion = std::function<void(Outcome<HttpResponse>)>;

}  // namespace buckthornmux::net
