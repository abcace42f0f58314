// Processor time of a cell's decisions by its number of targets, at the load of
// the users' grown deployments, scaled with the targets.
//   bench-cell [TARGETS] [SHARE] [SECONDS]
#include <cstdlib>
#include <iostream>
#include <string>

#include "../tests/cell_loads.h"

namespace buckthornmux::tests {
namespace {

constexpr double kGrownTargets = 350;

void Play(int targets, double share, int seconds) {
  WorldOptions options = UserWorld(1);
  options.targets = targets;
  options.lanes = std::max(6, targets / 8);
  options.rack = 12;
  World world(options);
  UserQueues queues = MakeUserQueues();
  queues.gang_shape.width = 16;
  queues.gang_shape.most_width = 80;
  queues.gang_shape.run_ms = 6200;
  queues.batch_shape.width = 25;
  queues.batch_shape.most_width = 100;
  queues.batch_shape.cpu_milli = 1700;
  queues.batch_shape.run_ms = 2700;
  queues.urgent_shape.width = 3;
  queues.urgent_shape.cpu_milli = 2500;
  queues.urgent_shape.run_ms = 640;
  world.SetRules({queues.gangs, queues.batches, queues.urgent});
  world.RunUntil(world.NowTime() + Millis(500));
  const double scale = share * targets / kGrownTargets;
  const Time until = world.NowTime() + Millis(1000 * seconds);
  world.AddLoad(MakeLoad(queues.gangs, queues.gang_shape, 4.28 * scale, 20),
                until);
  world.AddLoad(MakeLoad(queues.batches, queues.batch_shape, 8.96 * scale, 20),
                until);
  world.AddLoad(MakeLoad(queues.urgent, queues.urgent_shape, 125 * scale, 20),
                until);
  world.RunUntil(until);
  std::cout << "targets " << targets << ", starts " << world.Starts()
            << ", steps waiting " << world.State().ready.size()
            << ", advice calls " << world.AdviceCalls() << '\n';
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
