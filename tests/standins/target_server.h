/// The target stand-in over HTTP, with misbehaviour on demand.
#pragma once

#include <memory>
#include <string>

#include "buckthornmux/detail/core/types.h"
#include "standins/target_state.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::standins {

/// Settings of a target stand-in.
struct TargetOptions {
  std::string listen = "127.0.0.1:0";
  TargetId id = "t1";
  Resources capacity{8, 16'000, 32'768, 0};
  std::size_t connections = 64;
  Guard guard = Guard::kEpoch;
  std::string log_file;  ///< Empty: no log.
};

/// @brief Serves the target protocol, and POST /standin/faults.
///
/// Faults are the members of TargetFaults, `drop_answers` for every answer to a
/// start, and `silent_connections`: every connection opened before this call
/// goes silent for good, new ones work.
class TargetServer {
 public:
  /// @param io run by one thread; outlives the server
  TargetServer(boost::asio::io_context& io, const TargetOptions& options);
  ~TargetServer();
  TargetServer(const TargetServer&) = delete;
  TargetServer& operator=(const TargetServer&) = delete;

  /// @brief Address as "IP:port".
  [[nodiscard]] std::string Address() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::standins
