// Queries of gangs to the adviser where lanes lose answers.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr int kTargets = 200;
constexpr int kLanes = 12;
constexpr int kCutLanes = 6;
constexpr std::uint32_t kTasks = 60;

cell::JobSpec Gang(const std::string& id, std::uint32_t tasks, int run_ms) {
  cell::JobSpec job = PlainJob(id, tasks, run_ms);
  job.queue = "advised";
  job.steps[0].gang = true;
  job.steps[0].demand.cpu_milli = 9000;
  return job;
}

WorldOptions Options() {
  WorldOptions options;
  options.targets = kTargets;
  options.lanes = kLanes;
  return options;
}

void Run(World& world, Millis lasts) {
  world.RunUntil(world.NowTime() + lasts);
}

void Open(World& world) {
  cell::Queue advised = PlainQueue("advised", 1);
  advised.advice = cell::AdviceRules{Millis(440), 6.2, Millis(2000)};
  world.SetRules({advised});
  Run(world, Millis(300));
}

class GangAdviceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangAdviceTest);
  CPPUNIT_TEST(GangThatHasWaitedAsksThroughSeveralLanes);
  CPPUNIT_TEST(PatienceFollowsTheOptions);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against one query after the other, each of which may be lost.
  void GangThatHasWaitedAsksThroughSeveralLanes() {
    World world(Options());
    Open(world);
    for (int lane = 0; lane < kLanes; ++lane) {
      world.CutLane(lane, Millis(60'000));
    }
    world.Submit(Gang("gang", kTasks, 2000));
    std::size_t most_at_first = 0;
    std::size_t most = 0;
    const Time begin = world.NowTime();
    while (world.NowTime() < begin + Millis(8000)) {
      Run(world, Millis(50));
      const auto& open = world.State().open_advice;
      if (world.NowTime() <
          begin + world.State().options.gang_advice_patience) {
        most_at_first = std::max(most_at_first, open.size());
      }
      most = std::max(most, open.size());
      // Nothing is asked twice at a time, but for queries whose answer is late.
      std::map<TargetId, int> asked;
      std::set<HostId> lanes;
      for (const auto& [ask, query] : open) {
        lanes.insert(query.lane);
        if (world.NowTime() <= query.sent + query.takes) {
          for (const TargetId& id : query.named) {
            CPPUNIT_ASSERT_EQUAL(1, ++asked[id]);
          }
        }
      }
      CPPUNIT_ASSERT_EQUAL(open.size(), lanes.size());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, most_at_first);
    CPPUNIT_ASSERT(most >= 2);
    CPPUNIT_ASSERT(most <= 4);
  }

  void PatienceFollowsTheOptions() {
    World world(Options());
    Open(world);
    world.State().options.gang_advice_patience = Millis(30'000);
    for (int lane = 0; lane < kLanes; ++lane) {
      world.CutLane(lane, Millis(60'000));
    }
    world.Submit(Gang("gang", kTasks, 2000));
    for (int i = 0; i < 160; ++i) {
      Run(world, Millis(50));
      CPPUNIT_ASSERT(world.State().open_advice.size() <= 1);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangAdviceTest);

}  // namespace
}  // namespace buckthornmux::tests
