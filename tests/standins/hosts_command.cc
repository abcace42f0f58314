#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>
#include <iostream>

#include "standins/hosts_server.h"
#include "standins/run_server.h"
#include "standins/standins.h"

namespace buckthornmux::standins {

int RunHosts(int argc, const char* const* argv) {
  cxxopts::Options options("standin hosts", "Stand-in of the host list");
  options.add_options()("listen", "IP:port", cxxopts::value<std::string>())(
      "lag-ms", "before a change shows",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "host", "live at the start, repeatable",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  const auto given = options.parse(argc, argv);
  HostsOptions hosts;
  hosts.listen = given["listen"].as<std::string>();
  hosts.lag = Millis(given["lag-ms"].as<std::int64_t>());
  for (const auto& host : given["host"].as<std::vector<std::string>>()) {
    if (!host.empty()) {
      hosts.hosts.push_back(host);
    }
  }
  boost::asio::io_context io(1);
  const HostsServer server(io, hosts);
  std::cout << "listening=" << server.Address() << std::endl;
  RunUntilSignal(io);
  return 0;
}

}  // namespace buckthornmux::standins
