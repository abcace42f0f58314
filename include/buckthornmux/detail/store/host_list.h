/// The platform's list of live and leaving hosts, which lags.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "buckthornmux/detail/net/http_client.h"

namespace buckthornmux::store {

/// One host of the platform's list. A host that is not listed is gone.
struct HostState {
  std::string host;
  bool leaving = false;  ///< Listed as leaving; otherwise live.

  auto operator<=>(const HostState&) const = default;
};

/// @brief Fetches the list; blocks for the time-out at most.
/// @param client never its own I/O thread calls this
/// @param address "IP:port" of the list
/// @param timeout for the whole call
/// @return hosts as listed; kStoreUnavailable where there is no readable
///   answer: keep what was known
[[nodiscard]] Result<std::vector<HostState>> FetchHostList(
    net::HttpClient& client, std::string_view address, Millis timeout);

/// @brief Parses the list's JSON.
/// @return hosts as listed; kMalformed for anything else
[[nodiscard]] Result<std::vector<HostState>> ParseHostList(
    std::string_view text);

}  // namespace buckthornmux::store
