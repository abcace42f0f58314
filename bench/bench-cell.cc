// Processor time of a cell's decisions by its number of targets, at the load of
// the users' grown deployments, scaled with the targets.
//   bench-cell [TARGETS] [SHARE] [SECONDS]
#include <cstdlib>
#include <iostream>
#include <numeric>
#include <string>

#include "../tests/cell_loads.h"

namespace buckthornmux::tests {
namespace {

void Play(int targets, double share, int seconds) {
  World world(GrownWorld(1, targets));
  const UserQueues queues = MakeGrownQueues();
  world.SetRules({queues.gangs, queues.batches, queues.urgent});
  world.RunUntil(world.NowTime() + Millis(500));
  const Time until = world.NowTime() + Millis(1000 * seconds);
  AddGrownLoad(world, queues, share * targets / kGrownTargets, until);
  world.RunUntil(until);
  std::cout << "targets " << targets << ", starts " << world.Starts()
            << ", steps waiting " << world.State().ready.size()
            << ", advice calls " << world.AdviceCalls() << '\n';
  const auto& rounds = world.RoundTimes();
  const auto spent =
      std::accumulate(rounds.begin(), rounds.end(), std::clock_t{0});
  std::cout << "rounds " << rounds.size() << ", processor seconds "
            << static_cast<double>(spent) / CLOCKS_PER_SEC << '\n';
  for (const std::string queue : {"urgent", "batches", "gangs"}) {
    const SimCount count = world.CountOf(queue);
    std::cout << queue << ": " << count.handed_in << " jobs, in time "
              << count.InTimeShare() << ", open " << count.open << '\n';
  }
}

}  // namespace
}  // namespace buckthornmux::tests

int main(int argc, char** argv) {
  const int targets = argc > 1 ? std::atoi(argv[1]) : 350;
  const double share = argc > 2 ? std::atof(argv[2]) : 1;
  const int seconds = argc > 3 ? std::atoi(argv[3]) : 10;
  buckthornmux::tests::Play(targets, share, seconds);
  return 0;
}
