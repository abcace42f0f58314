/// The platform's list of live and leaving hosts, which may be out of date.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/net/http_client.h"

namespace buckthornmux::store {

/// One host of the platform's list. A host that is not listed no longer exists.
struct HostState {
  std::string host;
  bool leaving = false;  ///< Listed as leaving; otherwise live.

  auto operator<=>(const HostState&) const = default;
};

/// @brief Fetches the list; blocks for at most the time-out.
/// @param client HTTP client; must not be called from its I/O thread
/// @param address "IP:port" of the list
/// @param timeout for the whole call
/// @return the listed hosts; kStoreUnavailable if no answer with status 200
///   arrived, kMalformed if the answer is invalid. On an error, the caller
///   keeps its former list.
[[nodiscard]] Result<std::vector<HostState>> FetchHostList(
    net::HttpClient& client, std::string_view address, Millis timeout);

/// @brief Parses the list's JSON.
/// @return the listed hosts; kMalformed if the text is invalid
[[nodiscard]] Result<std::vector<HostState>> ParseHostList(
    std::string_view text);

}  // namespace buckthornmux::store
