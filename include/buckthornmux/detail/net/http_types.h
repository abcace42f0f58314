/// HTTP messages as plain structs, so that only net/ includes Beast.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::net {

/// A request, received or to be sent.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";    ///< Path and query.
  std::string body;            ///< JSON, or empty.
  std::string authorization;   ///< "Bearer <key>", or empty.
  Time send_by = Time::max();  ///< To be sent: not after this time.
  std::uint64_t connection =
      0;  ///< Received: number of its connection, from 1.
};

/// An answer, received or to be sent.
struct HttpResponse {
  int status = 200;  ///< To be sent, 0: close the connection in its place.
  std::string body;
  std::string content_type = "application/json";
  Millis retry_after{0};  ///< 0: no Retry-After header.
};

/// Answers one request: called once, from any thread.
using Responder = std::function<void(HttpResponse)>;

/// Takes one request on an I/O thread; must not block.
using Handler = std::function<void(HttpRequest, Responder)>;

/// Takes the end of a call, on an I/O thread.
using Completion = std::function<void(Outcome<HttpResponse>)>;

}  // namespace buckthornmux::net
