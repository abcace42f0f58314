/// HTTP servers of an entry host for readiness and metrics.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "buckthornmux/detail/entry/client_limits.h"
#include "buckthornmux/detail/net/http_server.h"
#include "buckthornmux/detail/runtime/metrics.h"

namespace buckthornmux::entry {

/// @brief Serves the load balancer's readiness check: 200 if this host accepts
///   callers, otherwise 503.
/// @param path path of the check; others get 404
/// @param limits outlive the server
[[nodiscard]] std::unique_ptr<net::HttpServer> ServeReadiness(
    boost::asio::io_context& io, const std::string& address,
    std::string_view path, std::function<bool()> ready, ClientLimits& limits);

/// @brief Serves the metrics as text, on any path.
/// @param metrics outlives the server
/// @param limits outlive the server
[[nodiscard]] std::unique_ptr<net::HttpServer> ServeMetrics(
    boost::asio::io_context& io, const std::string& address,
    const runtime::Metrics& metrics, ClientLimits& limits);

}  // namespace buckthornmux::entry
