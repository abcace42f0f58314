/// IP addresses with port, as "IP:port" in settings and records.
#pragma once

#include <boost/asio/ip/address.hpp>
#include <string_view>

#include "buckthornmux/detail/core/error.h"

namespace buckthornmux::net {

struct Address {
  boost::asio::ip::address ip;
  std::uint16_t port = 0;
};

/// @brief Parses "IP:port"; an IPv6 address is enclosed in brackets.
/// @return the address; kMalformed with the expected form in its message
/// @par Example
/// @code
/// auto address = ParseAddress("127.0.0.1:7001");
/// @endcode
[[nodiscard]] Result<Address> ParseAddress(std::string_view text);

}  // namespace buckthornmux::net
