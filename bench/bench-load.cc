// The load model: plays patterns of load and trouble on a cell whose targets,
// adviser and store answer on a paused clock, and prints how callers fare.
//   bench-load [SEEDS] [PATTERN...]
#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "../tests/load_patterns.h"

namespace buckthornmux::tests {
namespace {

struct Sum {
  int handed_in = 0;
  int in_time = 0;
  int refused = 0;
  int failed = 0;
  int open = 0;
  Millis worst{0};

  void Add(const SimCount& count) {
    handed_in += count.handed_in;
    in_time += count.in_time;
    refused += count.refused;
    failed += count.failed;
    open += count.open;
    worst = std::max(worst, count.worst);
  }
};

void Print(const std::string& pattern, const std::string& queue,
           const Sum& sum) {
  std::cout << std::left << std::setw(17) << pattern << std::setw(9) << queue
            << std::right << std::setw(7) << sum.handed_in << std::fixed
            << std::setprecision(3) << std::setw(9)
            << static_cast<double>(sum.in_time) / std::max(1, sum.handed_in)
            << std::setw(8) << sum.refused << std::setw(8) << sum.failed
            << std::setw(6) << sum.open << std::setw(10) << sum.worst.count()
            << '\n';
}

int Play(int seeds, const std::vector<std::string>& wanted) {
  std::cout << "pattern          queue     jobs  in time refused  failed  open"
               "  worst ms\n";
  int breaches = 0;
  for (const LoadPattern& pattern : LoadPatterns()) {
    if (!wanted.empty() &&
        std::find(wanted.begin(), wanted.end(), pattern.name) == wanted.end()) {
      continue;
    }
    std::map<std::string, Sum> sums;
    int advice = 0;
    std::map<std::string, int> stops;
    for (int seed = 1; seed <= seeds; ++seed) {
      World world(UserWorld(static_cast<std::uint64_t>(seed)));
      PlayPattern(world, pattern);
      for (const std::string queue : {"urgent", "batches", "gangs"}) {
        sums[queue].Add(world.CountOf(queue));
      }
      advice += world.AdviceCalls();
      for (const auto& [reason, count] : world.Stops()) {
        stops[reason] += count;
      }
      for (const std::string& breach : world.Breaches()) {
        std::cout << "BROKEN seed " << seed << ": " << breach << '\n';
        ++breaches;
      }
    }
    for (const std::string queue : {"urgent", "batches", "gangs"}) {
      Print(pattern.name, queue, sums[queue]);
    }
    std::cout << "                 advice calls a seed: " << advice / seeds
              << "; stops:";
    for (const auto& [reason, count] : stops) {
      std::cout << ' ' << reason << ' ' << count << ',';
    }
    std::cout << '\n';
  }
  return breaches == 0 ? 0 : 1;
}

}  // namespace
}  // namespace buckthornmux::tests

int main(int argc, char** argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
  const std::vector<std::string> wanted(argv + std::min(argc, 2), argv + argc);
  return buckthornmux::tests::Play(seeds, wanted);
}
