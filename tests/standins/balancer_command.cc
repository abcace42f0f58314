#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>
#include <iostream>

#include "standins/balancer.h"
#include "standins/run_server.h"
#include "standins/standins.h"

namespace buckthornmux::standins {

int RunBalancer(int argc, const char* const* argv) {
  cxxopts::Options options("standin balancer", "Stand-in of the balancer");
  options.add_options()("listen", "IP:port", cxxopts::value<std::string>())(
      "backend", "IP:port, repeatable",
      cxxopts::value<std::vector<std::string>>());
  const auto given = options.parse(argc, argv);
  BalancerOptions balancer_options;
  balancer_options.listen = given["listen"].as<std::string>();
  balancer_options.backends = given["backend"].as<std::vector<std::string>>();
  boost::asio::io_context io(1);
  const Balancer balancer(io, balancer_options);
  std::cout << "listening=" << balancer.Address() << std::endl;
  RunUntilSignal(io);
  return 0;
}

}  // namespace buckthornmux::standins
