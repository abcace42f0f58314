#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>
#include <iostream>

#include "standins/run_server.h"
#include "standins/standins.h"
#include "standins/target_server.h"

namespace buckthornmux::standins {
namespace {

constexpr std::int64_t kCpuMilliPerSlot = 2000;
constexpr std::int64_t kMemoryMbPerSlot = 4096;

TargetOptions ReadOptions(const cxxopts::ParseResult& given) {
  TargetOptions target;
  target.listen = given["listen"].as<std::string>();
  target.id = given["id"].as<std::string>();
  const auto slots = given["slots"].as<std::int64_t>();
  target.capacity = {slots, slots * kCpuMilliPerSlot, slots * kMemoryMbPerSlot,
                     given["accelerators"].as<std::int64_t>()};
  target.connections = given["connections"].as<std::size_t>();
  target.guard =
      given["guard"].as<std::string>() == "none" ? Guard::kNone : Guard::kEpoch;
  target.log_file = given["log"].as<std::string>();
  return target;
}

}  // namespace

int RunTarget(int argc, const char* const* argv) {
  cxxopts::Options options("standin target", "Stand-in of a target");
  options.add_options()("listen", "IP:port", cxxopts::value<std::string>())(
      "id", "name in the inventory", cxxopts::value<std::string>())(
      "slots", "slots, each of 2 cores and 4 GB",
      cxxopts::value<std::int64_t>()->default_value("8"))(
      "accelerators", "accelerators",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "connections", "most connections",
      cxxopts::value<std::size_t>()->default_value("64"))(
      "guard", "epoch, or none: checks nothing",
      cxxopts::value<std::string>()->default_value("epoch"))(
      "log", "file for its own log",
      cxxopts::value<std::string>()->default_value(""));
  const auto target = ReadOptions(options.parse(argc, argv));
  boost::asio::io_context io(1);
  const TargetServer server(io, target);
  std::cout << "listening=" << server.Address() << std::endl;
  RunUntilSignal(io);
  return 0;
}

}  // namespace buckthornmux::standins
