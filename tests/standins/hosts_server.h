/// Stand-in of the platform's list of live and leaving hosts, with its lag.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "buckthornmux/detail/core/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::standins {

/// Settings of the host list stand-in.
struct HostsOptions {
  std::string listen = "127.0.0.1:0";
  Millis lag{0};                   ///< Before a change shows.
  std::vector<std::string> hosts;  ///< Live at the start.
};

/// @brief Serves GET /v1/hosts. POST /standin/hosts replaces the list with a
///   body of the same form, or changes one host with
///   {"host","state":"live|leaving|gone"}.
class HostsServer {
 public:
  HostsServer(boost::asio::io_context& io, const HostsOptions& options);
  ~HostsServer();
  HostsServer(const HostsServer&) = delete;
  HostsServer& operator=(const HostsServer&) = delete;

  /// @brief Address as "IP:port".
  [[nodiscard]] std::string Address() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::standins
