/// HTTP messages as plain structs, so that only net/ includes Beast.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/core/time.h"

namespace buckthornmux::net {

/// A header field beyond those that have members of their own.
struct Header {
  std::string name;
  std::string value;
};

/// A request, received or to be sent.
struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";    ///< Path and query.
  std::string body;            ///< JSON, or empty.
  std::string authorization;   ///< "Bearer <key>", or empty.
  Time send_by = Time::max();  ///< To be sent: not after this time.
  /// To be sent: once the answer arrives, the call goes on for so long after
  /// each piece of it; 0: its timeout holds for all of it.
  Millis stall_timeout{0};
  std::uint64_t connection =
      0;                        ///< Received: number of its connection, from 1.
  std::vector<Header> headers;  ///< Received: those the server keeps.

  /// @brief Value of a header in `headers`, or empty.
  [[nodiscard]] std::string_view HeaderValue(std::string_view name) const {
    for (const Header& header : headers) {
      if (header.name == name) {
        return header.value;
      }
    }
    return {};
  }
};

/// An answer, received or to be sent.
struct HttpResponse {
  int status = 200;  ///< To be sent, 0: close the connection in its place.
  std::string body;
  std::string content_type = "application/json";
  Millis retry_after{0};  ///< 0: no Retry-After header.
  bool close = false;     ///< Close the connection after this answer.
};

/// Answers one request: called once, from any thread.
using Responder = std::function<void(HttpResponse)>;

/// Takes one request on an I/O thread; must not block.
using Handler = std::function<void(HttpRequest, Responder)>;

/// Takes the end of a call, on an I/O thread.
using Completion = std::function<void(Outcome<HttpResponse>)>;

}  // namespace buckthornmux::net
