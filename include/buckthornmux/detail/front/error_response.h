/// HTTP answers for errors, from the one table of error kinds.
#pragma once

#include <string_view>

#include "buckthornmux/detail/core/error.h"
#include "buckthornmux/detail/net/http_types.h"

namespace buckthornmux::front {

/// @brief Answer with everything said.
/// @param kind gives the HTTP status
/// @param message one line for the caller
/// @param ran truth about the work
/// @param retry_after when to come back; 0: no use
[[nodiscard]] net::HttpResponse ErrorResponse(ErrorKind kind,
                                              std::string_view message, Ran ran,
                                              Millis retry_after);

/// @brief Answer with the table's advice, `ran` and time to come back.
[[nodiscard]] net::HttpResponse ErrorResponse(ErrorKind kind);

/// @brief Answer with the error's own message and place.
[[nodiscard]] net::HttpResponse ErrorResponse(const Error& error);

}  // namespace buckthornmux::front
