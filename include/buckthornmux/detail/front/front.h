/// The front duty: HTTP towards callers and operators.
#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "buckthornmux/detail/front/call_table.h"
#include "buckthornmux/detail/net/http_client.h"
#include "buckthornmux/detail/net/http_server.h"
#include "buckthornmux/detail/runtime/wiring.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace buckthornmux::front {

/// @brief Serves callers and operators on one I/O thread.
class Front {
 public:
  /// @param wiring rings and views of this process; outlives the front
  /// @param io runs the front, on one thread
  /// @param client calls other entry hosts for /v1/fleet
  /// @param drain called once when an operator asks this host to leave
  Front(runtime::Wiring& wiring, boost::asio::io_context& io,
        net::HttpClient& client, std::function<void()> drain);
  ~Front();
  Front(const Front&) = delete;
  Front& operator=(const Front&) = delete;

  /// @brief Whether /readyz says yes.
  void SetReady(bool ready);

  /// @brief Out of rotation: /readyz says no, and each answer closes its
  ///   connection, so that callers turn to other hosts.
  void Retire();

  /// @brief Stops to accept connections; open requests are still answered.
  void Drain();

  /// @brief Requests not yet answered.
  [[nodiscard]] std::size_t OpenRequests() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace buckthornmux::front
