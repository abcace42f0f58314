#include "buckthornmux/detail/net/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

namespace buckthornmux::net {

Result<Address> ParseAddress(std::string_view text) {
  const auto fail = [&] {
    return Fail(ErrorKind::kMalformed,
                "expected an address as IP:port, for instance 127.0.0.1:7001",
                std::string(text));
  };
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return fail();
  }
  std::string_view host = text.substr(0, colon);
  const std::string_view digits = text.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto [end, code] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (code != std::errc() || end != digits.data() + digits.size()) {
    return fail();
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(host), error);
  if (error) {
    return fail();
  }
  return Address{ip, port};
}

}  // namespace buckthornmux::net
