/// CPU time of a cell's decisions at the users' grown sizes, during a burst of
/// urgent work and with waiting gangs.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ctime>
#include <numeric>
#include <string>
#include <vector>

#include "cell_loads.h"

namespace buckthornmux::tests {

inline constexpr Millis kRoundInterval{8};
inline constexpr Millis kFillTime{2000};  ///< Time to fill the cell.
inline constexpr Millis kBurstTime{3000};
inline constexpr double kBurstFactor = 2.5;  ///< Urgent load relative to usual.
inline constexpr int kWaitingGangs = 12;
inline constexpr double kMillisPerSecond = 1000;
inline constexpr double kPercentile = 0.99;

/// CPU time of the measured decisions.
struct DecisionFigures {
  double mean_ms = 0;
  double p99_ms = 0;
  double starts_per_second = 0;  ///< Per second of CPU time.

  [[nodiscard]] std::string Text() const {
    return "mean " + std::to_string(mean_ms) + " ms, p99 " +
           std::to_string(p99_ms) + " ms, " +
           std::to_string(starts_per_second) + " starts a second";
  }
};

inline DecisionFigures MeasureDecisions(int targets) {
  WorldOptions options = GrownWorld(1, targets);
  options.round = kRoundInterval;
  World world(options);
  const UserQueues queues = MakeGrownQueues();
  world.SetRules({queues.gangs, queues.batches, queues.urgent});
  world.RunUntil(world.NowTime() + Millis(500));
  const double scale = targets / kGrownTargets;
  const Time burst = world.NowTime() + kFillTime;
  const Time until = burst + kBurstTime;
  AddGrownLoad(world, queues, scale, until);
  std::mt19937_64 random(1);
  for (int i = 0; i < kWaitingGangs; ++i) {
    world.Submit(DrawJob(random, queues.gang_shape, "gangs", "team-0"));
  }
  world.RunUntil(burst);
  world.AddLoad(
      MakeLoad(queues.urgent, queues.urgent_shape,
               kGrownUrgentPerSecond * scale * (kBurstFactor - 1), kGrownTeams),
      until);
  const std::size_t rounds_before = world.RoundTimes().size();
  const int starts_before = world.Starts();
  world.RunUntil(until);
  CPPUNIT_ASSERT(world.Breaches().empty());
  std::vector<std::clock_t> rounds(
      world.RoundTimes().begin() + static_cast<std::ptrdiff_t>(rounds_before),
      world.RoundTimes().end());
  CPPUNIT_ASSERT(static_cast<int>(rounds.size()) >
                 kBurstTime / kRoundInterval / 2);
  std::ranges::sort(rounds);
  const auto total = static_cast<double>(
      std::accumulate(rounds.begin(), rounds.end(), std::clock_t{0}));
  const auto count = static_cast<double>(rounds.size());
  const auto p99 = rounds[static_cast<std::size_t>(kPercentile * count)];
  const auto to_ms = [](double clocks) {
    return kMillisPerSecond * clocks / CLOCKS_PER_SEC;
  };
  return {to_ms(total) / count, to_ms(static_cast<double>(p99)),
          (world.Starts() - starts_before) * double{CLOCKS_PER_SEC} / total};
}

}  // namespace buckthornmux::tests
