#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

#include "standins/callers.h"
#include "standins/json_http.h"
#include "standins/standins.h"

namespace buckthornmux::standins {
namespace {

constexpr std::size_t kPercentile99 = 99;
constexpr std::size_t kPercent = 100;

CallersOptions ReadOptions(const cxxopts::ParseResult& given) {
  CallersOptions callers;
  callers.entries = given["entry"].as<std::vector<std::string>>();
  callers.key = given["key"].as<std::string>();
  callers.urgent_kind = given["urgent-kind"].as<std::string>();
  callers.patient_kind = given["patient-kind"].as<std::string>();
  callers.prefix = given["prefix"].as<std::string>();
  callers.per_second = given["rate"].as<double>();
  callers.duration = std::chrono::seconds(given["seconds"].as<std::int64_t>());
  callers.drain =
      std::chrono::seconds(given["drain-seconds"].as<std::int64_t>());
  callers.run_ms = given["run-ms"].as<std::int64_t>();
  callers.urgent_deadline_ms = given["urgent-deadline-ms"].as<std::int64_t>();
  callers.patient_deadline_ms = given["patient-deadline-ms"].as<std::int64_t>();
  callers.most_tries = given["tries"].as<int>();
  callers.duplicate_every = given["duplicate-every"].as<int>();
  callers.seed = given["seed"].as<std::uint32_t>();
  std::string mix;
  for (const auto& part : given["mix"].as<std::vector<std::string>>()) {
    mix += (mix.empty() ? "" : ",") + part;
  }
  const auto parts = Capture([&] { return ParseMix(mix); });
  if (const auto* error = std::get_if<Error>(&parts)) {
    throw std::runtime_error(error->where + ": " + error->message);
  }
  callers.mix = std::get<std::vector<MixPart>>(parts);
  return callers;
}

std::int64_t Percentile(std::vector<std::int64_t> values, std::size_t percent) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  return values[(values.size() - 1) * percent / kPercent];
}

}  // namespace

int RunCallers(int argc, const char* const* argv) {
  cxxopts::Options options("standin callers", "Open-loop callers");
  const auto add = [&](const std::string& name, const std::string& text,
                       const std::shared_ptr<cxxopts::Value>& value) {
    options.add_options()(name, text, value);
  };
  add("entry", "IP:port, repeatable or separated by commas",
      cxxopts::value<std::vector<std::string>>());
  add("key", "team key", cxxopts::value<std::string>()->default_value(""));
  add("urgent-kind", "kind of urgent requests",
      cxxopts::value<std::string>()->default_value("check-in"));
  add("patient-kind", "kind of patient requests",
      cxxopts::value<std::string>()->default_value("manifest"));
  add("prefix", "of request ids, new for each run",
      cxxopts::value<std::string>()->default_value("c" +
                                                   std::to_string(WallNow())));
  add("rate", "requests per second",
      cxxopts::value<double>()->default_value("10"));
  add("seconds", "how long", cxxopts::value<std::int64_t>());
  add("drain-seconds", "longest wait for open requests",
      cxxopts::value<std::int64_t>()->default_value("90"));
  add("mix", "urgent|nonidem|patient|rebuild=weight,...",
      cxxopts::value<std::vector<std::string>>());
  add("run-ms", "run time of tasks",
      cxxopts::value<std::int64_t>()->default_value("20"));
  add("urgent-deadline-ms", "wait of urgent callers",
      cxxopts::value<std::int64_t>()->default_value("5000"));
  add("patient-deadline-ms", "deadline of patient jobs",
      cxxopts::value<std::int64_t>()->default_value("60000"));
  add("tries", "most submissions of a request",
      cxxopts::value<int>()->default_value("5"));
  add("duplicate-every", "every n-th non-idempotent request is sent twice",
      cxxopts::value<int>()->default_value("20"));
  add("seed", "of the mix",
      cxxopts::value<std::uint32_t>()->default_value("1"));
  add("log", "callers' log", cxxopts::value<std::string>());
  const auto given = options.parse(argc, argv);
  const CallersOptions callers = ReadOptions(given);
  std::ofstream log(given["log"].as<std::string>(), std::ios::app);
  const CallerCounts counts = RunOpenLoop(callers, log);
  std::cout << "sent=" << counts.sent << " done=" << counts.done
            << " errors=" << counts.errors << " pending=" << counts.pending
            << " accepted=" << counts.accepted << " tries=" << counts.tries
            << " urgent_p50_ms=" << Percentile(counts.urgent_ms, kPercent / 2)
            << " urgent_p99_ms=" << Percentile(counts.urgent_ms, kPercentile99)
            << '\n';
  return 0;
}

}  // namespace buckthornmux::standins
