/// Addresses in settings and records: "IP:port".
#pragma once

#include <boost/asio/ip/address.hpp>
#include <string_view>

#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::net {

/// IP and port.
struct Address {
  boost::asio::ip::address ip;
  std::uint16_t port = 0;
};

/// @brief Parses "IP:port"; IPv6 in brackets.
/// @param text as in settings
/// @return the address; kMalformed with the expected form
/// @par Example
/// @code
/// auto address = ParseAddress("127.0.0.1:7001");
/// @endcode
[[nodiscard]] Result<Address> ParseAddress(std::string_view text);

}  // namespace buckthornmux::net
