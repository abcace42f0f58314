// Seeded random plays of gangs on a cell with most room free, whose lanes to
// the adviser lose answers or delay them. By hand: GANG_ADVICE_SEEDS plays from
// seed GANG_ADVICE_FIRST on.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <string>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr int kTargets = 120;
constexpr int kLanes = 14;
/// Longest wait of an accepted job that there is room for twice over:
/// `finish_s` of the platform.
constexpr Millis kMaxWait{14'000};
constexpr Millis kLength{40'000};

int Setting(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

int Pick(std::mt19937_64& random, int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(random);
}

/// Cuts or delays some lanes from time to time.
void AddLaneTroubles(World& world, std::mt19937_64& random, Time begin) {
  for (Time at = begin; at < begin + kLength + kMaxWait;
       at += Millis(Pick(random, 500, 3000))) {
    const int lane = Pick(random, 0, kLanes - 1);
    const int lanes = Pick(random, 1, kLanes / 2);
    const Millis lasts(Pick(random, 1000, 7500));
    const Millis delay(Pick(random, 0, 2) == 0 ? Pick(random, 100, 1500) : 0);
    world.At(at, [&world, lane, lanes, lasts, delay] {
      for (int i = lane; i < lane + lanes; ++i) {
        if (delay > Millis(0)) {
          world.DelayLane(i % kLanes, delay, lasts);
        } else {
          world.CutLane(i % kLanes, lasts);
        }
      }
    });
  }
}

cell::JobSpec Gang(const std::string& id, std::uint32_t tasks) {
  cell::JobSpec job = PlainJob(id, tasks, 2000);
  job.queue = "advised";
  job.steps[0].gang = true;
  job.steps[0].demand.cpu_milli = 4500;
  job.steps[0].demand.memory_mb = 4500;
  return job;
}

struct Waits {
  int gangs = 0;
  int unstarted = 0;
  Millis longest{0};
  Millis total{0};
};

/// Plays one seed.
Waits Play(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  WorldOptions options;
  options.seed = seed;
  options.targets = kTargets;
  options.lanes = kLanes;
  options.good_share = 0.35;
  World world(options);
  cell::Queue advised = PlainQueue("advised", 1);
  // As the grown sites have it for their gangs.
  advised.advice = cell::AdviceRules{Millis(440), 6.2, Millis(2000)};
  world.SetRules({advised});
  world.RunUntil(world.NowTime() + Millis(300));
  const Time begin = world.NowTime();
  AddLaneTroubles(world, random, begin);
  std::map<std::string, Time> accepted;
  std::map<std::string, Time> started;
  int number = 0;
  for (Time at = begin; at < begin + kLength;
       at += Millis(Pick(random, 1500, 4000))) {
    const std::string id = "gang-" + std::to_string(number++);
    const auto tasks = static_cast<std::uint32_t>(Pick(random, 8, 46));
    world.At(at, [&world, &accepted, id, tasks] {
      world.Submit(Gang(id, tasks));
      accepted[id] = world.NowTime();
    });
  }
  constexpr Millis kStep{50};
  while (world.NowTime() < begin + kLength + kMaxWait) {
    world.RunUntil(world.NowTime() + kStep);
    for (const auto& [id, at] : accepted) {
      if (!started.contains(id) && world.StartsOf({id, 0, 0, 0}) > 0) {
        started[id] = world.NowTime();
      }
    }
  }
  Waits waits;
  for (const auto& [id, at] : accepted) {
    ++waits.gangs;
    const bool ran = started.contains(id);
    const Millis waited = (ran ? started[id] : world.NowTime()) - at;
    waits.unstarted += ran ? 0 : 1;
    waits.longest = std::max(waits.longest, waited);
    waits.total += waited;
  }
  CPPUNIT_ASSERT(world.Breaches().empty());
  return waits;
}

class GangAdviceRandomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangAdviceRandomTest);
  CPPUNIT_TEST(GangsStartWhateverLanesAreLost);
  CPPUNIT_TEST_SUITE_END();

 public:
  void GangsStartWhateverLanesAreLost() {
    const int seeds = Setting("GANG_ADVICE_SEEDS", 20);
    const int first = Setting("GANG_ADVICE_FIRST", 1);
    Waits all;
    for (int seed = first; seed < first + seeds; ++seed) {
      const Waits waits = Play(static_cast<std::uint64_t>(seed));
      std::cout << "seed " << seed << ": " << waits.gangs << " gangs, "
                << waits.unstarted << " unstarted, longest wait "
                << waits.longest.count() << " ms, mean "
                << waits.total.count() / std::max(1, waits.gangs) << " ms\n";
      all.gangs += waits.gangs;
      all.unstarted += waits.unstarted;
      all.longest = std::max(all.longest, waits.longest);
      all.total += waits.total;
    }
    std::cout << "all: " << all.gangs << " gangs, " << all.unstarted
              << " unstarted, longest wait " << all.longest.count()
              << " ms, mean " << all.total.count() / std::max(1, all.gangs)
              << " ms\n";
    CPPUNIT_ASSERT_EQUAL(0, all.unstarted);
    CPPUNIT_ASSERT(all.longest < kMaxWait);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangAdviceRandomTest);

}  // namespace
}  // namespace buckthornmux::tests
