/// A small TCP balancer that does not know who is dead, but for its polls.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "buckthornmux/detail/core/time.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::standins {

/// Settings of the balancer.
struct BalancerOptions {
  std::string listen = "127.0.0.1:0";
  std::vector<std::string> backends;  ///< IP:port of entry hosts.
  Millis poll_every{500};             ///< Of /readyz.
};

/// @brief Hands each new connection to the next back end whose last poll of
///   /readyz was good, and copies bytes both ways.
class Balancer {
 public:
  Balancer(boost::asio::io_context& io, const BalancerOptions& options);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  /// @brief Address as "IP:port".
  [[nodiscard]] std::string Address() const;

  /// @brief Bytes copied so far, both ways, without TCP's own.
  [[nodiscard]] std::uint64_t BytesCopied() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::standins
