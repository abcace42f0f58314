/// Limits on the input of clients that the HTTP servers of a host share.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "buckthornmux/detail/core/time.h"
#include "buckthornmux/detail/net/http_server.h"
#include "buckthornmux/detail/runtime/metrics.h"

namespace buckthornmux::entry {

/// @brief One budget for all servers of a process, and reports of clients that
///   exceed a limit. Outlives the servers.
class ClientLimits {
 public:
  /// @param memory_mb memory of the process; 0: not configured
  ClientLimits(std::int64_t memory_mb, runtime::Metrics& metrics);

  /// @brief Adds the budget, the reports, and the bound of connections that the
  ///   memory allows to a server's options.
  /// @param port name of the port in log lines
  void Apply(std::string_view port, net::HttpServerOptions& options);

  /// @brief Counts a client that exceeded a limit; logs each limit of a port at
  ///   most once a second.
  void Report(std::string_view port, std::string_view limit, Time now);

  /// @brief Updates the gauge of bytes held.
  void Tick();

  [[nodiscard]] std::shared_ptr<net::RequestBudget> Budget() const {
    return m_budget;
  }

 private:
  struct Reported {
    Time at;
    std::uint64_t unlogged = 0;
  };

  std::size_t m_max_connections;
  std::shared_ptr<net::RequestBudget> m_budget;
  runtime::Metrics& m_metrics;
  std::map<std::string, Reported, std::less<>> m_reported;
};

}  // namespace buckthornmux::entry
