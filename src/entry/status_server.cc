#include "buckthornmux/detail/entry/status_server.h"

#include <utility>

namespace buckthornmux::entry {
namespace {

constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

net::HttpServerOptions OptionsAt(const std::string& address) {
  net::HttpServerOptions options;
  options.address = address;
  return options;
}

}  // namespace

std::unique_ptr<net::HttpServer> ServeReadiness(boost::asio::io_context& io,
                                                const std::string& address,
                                                std::string_view path,
                                                std::function<bool()> ready) {
  return std::make_unique<net::HttpServer>(
      io, OptionsAt(address),
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
                                              const runtime::Metrics& metrics) {
  return std::make_unique<net::HttpServer>(
      io, OptionsAt(address),
      [&metrics](const net::HttpRequest&, const net::Responder& respond) {
        net::HttpResponse response;
        response.content_type = "text/plain";
        response.body = metrics.Text();
        respond(std::move(response));
      });
}

}  // namespace buckthornmux::entry
