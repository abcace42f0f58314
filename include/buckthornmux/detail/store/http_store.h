/// Client of the platform's key-value service over HTTP and JSON.
#pragma once

#include <string>
#include <vector>

#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/store/store.h"

namespace buckthornmux::store {

/// @brief Binds the service's calls to HTTP.
///
/// Calls go to one address until a call fails, then to the next address. Only a
/// list whose keys changed between two pages is retried. Other calls are not,
/// because only the caller knows whether a write whose answer was lost may be
/// sent again.
/// @param client must outlive the store; its max_body_bytes must be at least
///   8 MB
/// @param addresses "IP:port" of the service, at least one
/// @param call_timeout time-out of each call; a watch adds its wait to it
/// @return the calls, usable from any thread except the client's I/O thread
/// Errors of the calls: as for Store. An invalid answer is kStoreUnknown for a
/// write and kStoreUnavailable for a read.
/// @see Store
[[nodiscard]] Store MakeHttpStore(net::HttpClient& client,
                                  std::vector<std::string> addresses,
                                  Millis call_timeout);

}  // namespace buckthornmux::store
