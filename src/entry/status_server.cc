#include "buckthornmux/detail/entry/status_server.h"

#include <utility>

namespace buckthornmux::entry {
namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

/// Requests of these servers have no body, and come from a few monitors.
constexpr std::uint64_t kMaxBodyBytes = 1024;
constexpr std::size_t kMaxConnections = 256;

net::HttpServerOptions OptionsAt(std::string_view port,
                                 const std::string& address,
                                 ClientLimits& limits) {
  net::HttpServerOptions options;
  options.address = address;
  options.max_body_bytes = kMaxBodyBytes;
  options.max_connections = kMaxConnections;
  limits.Apply(port, options);
  return options;
}

}  // namespace

std::unique_ptr<net::HttpServer> ServeReadiness(boost::asio::io_context& io,
                                                const std::string& address,
                                                std::string_view path,
                                                std::function<bool()> ready,
                                                ClientLimits& limits) {
  return std::make_unique<net::HttpServer>(
      io, OptionsAt("readiness", address, limits),
      [path = std::string(path), ready = std::move(ready)](
          const net::HttpRequest& request, const net::Responder& respond) {
        net::HttpResponse response;
        if (request.target != path) {
          response.status = kNotFound;
        } else if (!ready()) {
          response.status = kUnavailable;
        }
        respond(std::move(response));
      });
}

std::unique_ptr<net::HttpServer> ServeMetrics(boost::asio::io_context& io,
                                              const std::string& address,
                                              const runtime::Metrics& metrics,
                                              ClientLimits& limits) {
  return std::make_unique<net::HttpServer>(
      io, OptionsAt("metrics", address, limits),
      [&metrics](const net::HttpRequest&, const net::Responder& respond) {
        net::HttpResponse response;
        response.content_type = "text/plain";
        response.body = metrics.Text();
        respond(std::move(response));
      });
}

}  // namespace buckthornmux::entry
