#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>
#include <iostream>

#include "standins/kv_server.h"
#include "standins/run_server.h"
#include "standins/standins.h"

namespace buckthornmux::standins {

int RunKv(int argc, const char* const* argv) {
  cxxopts::Options options("standin kv", "Stand-in of the key-value service");
  options.add_options()("listen", "IP:port", cxxopts::value<std::string>())(
      "writes-per-s", "0: no limit",
      cxxopts::value<double>()->default_value("400"))(
      "reads-per-s", "0: no limit; a watch counts",
      cxxopts::value<double>()->default_value("2000"))(
      "history", "changes that a watch can look back",
      cxxopts::value<std::size_t>()->default_value("10000"));
  const auto given = options.parse(argc, argv);
  KvOptions kv;
  kv.listen = given["listen"].as<std::string>();
  kv.limits.writes_per_second = given["writes-per-s"].as<double>();
  kv.limits.reads_per_second = given["reads-per-s"].as<double>();
  kv.limits.history = given["history"].as<std::size_t>();
  boost::asio::io_context io(1);
  const KvServer server(io, kv);
  std::cout << "listening=" << server.Address() << std::endl;
  RunUntilSignal(io);
  return 0;
}

}  // namespace buckthornmux::standins
