/// Client of the platform's key-value service over HTTP and JSON.
#pragma once

#include <string>
#include <vector>

#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::store {

/// @brief Binds the service's calls to HTTP.
///
/// Calls go to one address until it fails, then to the next one. Nothing is
/// repeated inside, but pages of a list that changed meanwhile: only the caller
/// knows whether a write whose answer was lost may be sent again.
/// @param client outlives the store; its body bound is at least 8 MB
/// @param addresses "IP:port" of the service, at least one
/// @param call_timeout of each call; a watch takes its wait in addition
/// @return the calls, to be used from any thread but the client's
/// Errors of the calls: as for Store. An answer that can't be read is
/// kStoreUnknown for a write and kStoreUnavailable for a read.
/// @see Store
[[nodiscard]] Store MakeHttpStore(net::HttpClient& client,
                                  std::vector<std::string> addresses,
                                  Millis call_timeout);

}  // namespace buckthornmux::store
