#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

#include "standins/platform_day.h"
#include "standins/standins.h"

namespace buckthornmux::standins {

int RunDay(int argc, const char* const* argv) {
  cxxopts::Options options(
      "standin day",
      "A short day on a stand-in of the users' platform, with a verdict");
  options.add_options()("port-base", "store; adviser +1, targets from +10",
                        cxxopts::value<int>()->default_value("28000"))(
      "host", "callers' address of an entry host; repeat",
      cxxopts::value<std::vector<std::string>>())(
      "targets", "count", cxxopts::value<int>()->default_value("8"))(
      "rate", "jobs a second", cxxopts::value<double>()->default_value("8"))(
      "length-ms", "of the load", cxxopts::value<int>()->default_value("8000"))(
      "seed", "of the load",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "store-away-at-ms", "from the start of the load",
      cxxopts::value<int>()->default_value("0"))(
      "store-away-for-ms", "0: never",
      cxxopts::value<int>()->default_value("0"))(
      "store-loses-at-ms", "from the start of the load",
      cxxopts::value<int>()->default_value("0"))(
      "store-loses-for-ms", "0: never",
      cxxopts::value<int>()->default_value("0"))(
      "store-losses", "share of writes that are not answered then",
      cxxopts::value<double>()->default_value("0.5"))(
      "answers-lost", "share of starts done but not answered",
      cxxopts::value<double>()->default_value("0"))(
      "max-body-bytes", "of callers; 0: not configured",
      cxxopts::value<std::uint64_t>()->default_value("0"))(
      "odd-entries", "another writer leaves odd entries of targets");
  const auto given = options.parse(argc, argv);
  DayOptions day;
  day.port_base = given["port-base"].as<int>();
  day.hosts = given["host"].as<std::vector<std::string>>();
  day.targets = given["targets"].as<int>();
  day.rate = given["rate"].as<double>();
  day.length = Millis(given["length-ms"].as<int>());
  day.seed = given["seed"].as<std::uint64_t>();
  day.store_away_at = Millis(given["store-away-at-ms"].as<int>());
  day.store_away_for = Millis(given["store-away-for-ms"].as<int>());
  day.store_loses_at = Millis(given["store-loses-at-ms"].as<int>());
  day.store_loses_for = Millis(given["store-loses-for-ms"].as<int>());
  day.store_losses = given["store-losses"].as<double>();
  day.answers_lost = given["answers-lost"].as<double>();
  day.max_body_bytes = given["max-body-bytes"].as<std::uint64_t>();
  day.odd_entries = given.count("odd-entries") > 0;
  boost::asio::io_context io(1);
  const PlatformDay played(io, day);
  io.run();
  return played.Verdict();
}

}  // namespace buckthornmux::standins
