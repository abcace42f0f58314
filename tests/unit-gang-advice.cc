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

cell::Queue AdvisedQueue() {
  cell::Queue advised = PlainQueue("advised", 1);
  advised.advice = cell::AdviceRules{Millis(440), 6.2, Millis(2000)};
  return advised;
}

void Open(World& world) {
  world.SetRules({AdvisedQueue()});
  Run(world, Millis(300));
}

cell::Step& StepAt(World& world, const cell::StepRef& ref) {
  return world.State()
      .jobs.at(ref.job)
      .occurrences.at(ref.occurrence)
      .steps.at(ref.step);
}

class GangAdviceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangAdviceTest);
  CPPUNIT_TEST(GangThatHasWaitedAsksThroughSeveralLanes);
  CPPUNIT_TEST(PatienceFollowsTheOptions);
  CPPUNIT_TEST(LaneThatLosesAnswersIsAskedLast);
  CPPUNIT_TEST(LaneIsAskedAgainOnceItAnswers);
  CPPUNIT_TEST(QueryNamesSpareTargets);
  CPPUNIT_TEST(OneQueryIsEnoughWhileAnswersCome);
  CPPUNIT_TEST(AnswerToAQueueWithoutAdviserEndsTheQuery);
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

  // Guards against an order by which a lane that has lost answers is idle for
  // longest, and is asked first.
  void LaneThatLosesAnswersIsAskedLast() {
    World world(Options());
    Open(world);
    for (int lane = 0; lane < kCutLanes; ++lane) {
      world.CutLane(lane, Millis(600'000));
    }
    SubmitGangs(world);
    // Each lane that is cut has shown that within its first calls.
    const int lost = LostCalls(world, Millis(40'000));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(lost), lost <= 2 * kCutLanes);
  }

  void LaneIsAskedAgainOnceItAnswers() {
    World world(Options());
    Open(world);
    for (int lane = 0; lane < kLanes; ++lane) {
      world.CutLane(lane, Millis(12'000));
    }
    SubmitGangs(world);
    Run(world, Millis(12'000));
    CPPUNIT_ASSERT_EQUAL(0, world.StartsOf({"gang-0", 0, 0, 0}));
    // The longest pause of a lane is 4 s, and calls take about a second.
    Run(world, Millis(8000));
    CPPUNIT_ASSERT(world.StartsOf({"gang-0", 0, 0, 0}) > 0);
  }

  // Guards against queries that name one target for each task that is missing:
  // others take its room while the adviser works, and the next query follows.
  void QueryNamesSpareTargets() {
    WorldOptions options = Options();
    options.lanes = 0;
    World world(options);
    OpenWithUsableTargets(world, Millis(500));
    cell::SetLanes(world.State(), std::vector<HostId>{"host-0"});
    Run(world, Millis(50));
    const auto& open = world.State().open_advice;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, open.size());
    const cell::OpenAdvice& query = open.begin()->second;
    CPPUNIT_ASSERT(query.named.size() >= std::size_t{3} * kFew);
    // A call for one target takes 446 ms.
    CPPUNIT_ASSERT(query.takes <= Millis(600));
  }

  // Guards against several queries of which each covers the gang.
  void OneQueryIsEnoughWhileAnswersCome() {
    WorldOptions options = Options();
    options.lanes = 0;
    World world(options);
    OpenWithUsableTargets(world, Millis(5000));
    std::vector<HostId> lanes;
    lanes.reserve(kLanes);
    for (int i = 0; i < kLanes; ++i) {
      lanes.push_back("host-" + std::to_string(i));
    }
    cell::SetLanes(world.State(), lanes);
    Run(world, Millis(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.State().open_advice.size());
  }

  // Guards against a step that waits without end for an answer that came while
  // its queue had no adviser.
  void AnswerToAQueueWithoutAdviserEndsTheQuery() {
    World world(Options());
    Open(world);
    world.Submit(Gang("gang", kTasks, 2000));
    Run(world, Millis(200));
    CPPUNIT_ASSERT(!world.State().open_advice.empty());
    for (int i = 0; i < kTargets; ++i) {
      world.Drain(i, Millis(0));
    }
    cell::Queue plain = PlainQueue("advised", 1);
    world.SetRules({plain});
    Run(world, Millis(2000));
    world.SetRules({AdvisedQueue()});
    CPPUNIT_ASSERT(world.State().open_advice.empty());
    Run(world, Millis(5000));
    for (const cell::StepRef& ref : world.State().ready) {
      CPPUNIT_ASSERT(StepAt(world, ref).advice.asks.empty());
    }
  }

 private:
  static constexpr std::uint32_t kFew = 4;

  /// Submits a small gang whose usable targets are known, and lets it wait.
  static void OpenWithUsableTargets(World& world, Millis wait) {
    Open(world);
    world.Submit(Gang("gang", kFew, 2000));
    Run(world, wait);
    for (const cell::StepRef& ref : world.State().ready) {
      cell::AdviceState& advice = StepAt(world, ref).advice;
      for (int i = 0; i < kTargets; ++i) {
        advice.usable.insert("target-" + std::to_string(i));
      }
    }
  }

  /// One gang each second.
  static void SubmitGangs(World& world) {
    for (int i = 0; i < 40; ++i) {
      world.At(world.NowTime() + i * Millis(1000), [&world, i] {
        world.Submit(Gang("gang-" + std::to_string(i), kTasks / 4, 2000));
      });
    }
  }

  /// Counts the calls through the lanes that are cut.
  static int LostCalls(World& world, Millis lasts) {
    std::set<std::uint64_t> lost;
    const Time end = world.NowTime() + lasts;
    while (world.NowTime() < end) {
      Run(world, Millis(50));
      for (const auto& [ask, query] : world.State().open_advice) {
        for (int lane = 0; lane < kCutLanes; ++lane) {
          if (query.lane == "host-" + std::to_string(lane)) {
            lost.insert(ask);
          }
        }
      }
    }
    return static_cast<int>(lost.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangAdviceTest);

}  // namespace
}  // namespace buckthornmux::tests
