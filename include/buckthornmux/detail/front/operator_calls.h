/// Operators' HTTP calls, carried out against the store.
#pragma once

#include "buckthornmux/detail/net/http_types.h"
#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::front {

/// @brief Answers one call below /v1/config, /v1/keys or /v1/audit.
/// @param store platform's service; the call blocks on it
/// @param request came with the operators' key
/// @param now wall time, for the audit trail
/// @return the answer; errors as docs/ERRORS.md lists them
[[nodiscard]] net::HttpResponse AnswerOperator(const store::Store& store,
                                               const net::HttpRequest& request,
                                               WallMillis now);

}  // namespace buckthornmux::front
