// How callers fare under load and trouble: one test for each pattern of
// load_patterns.h, by its name. Urgent work is to be in time for 99 of 100
// callers up to 85 of 100 of the room, and for 9 of 10 in any trouble listed
// there.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <ctime>

#include "load_patterns.h"

namespace buckthornmux::tests {
namespace {

constexpr double kLoadTarget = 0.99;
constexpr double kTroubleTarget = 0.9;

/// How a pattern went, over some seeds.
struct Outcome {
  double urgent = 1;
  double batches = 1;
  double gangs = 1;
  int batches_open = 0;
  std::string breach;
};

Outcome PlayByName(const std::string& name, std::uint64_t seeds = 2) {
  const auto patterns = LoadPatterns();
  const auto pattern = std::ranges::find(patterns, name, &LoadPattern::name);
  CPPUNIT_ASSERT(pattern != patterns.end());
  Outcome outcome;
  double urgent = 0;
  double batches = 0;
  double gangs = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    World world(UserWorld(seed));
    PlayPattern(world, *pattern);
    urgent += world.CountOf("urgent").InTimeShare();
    batches += world.CountOf("batches").InTimeShare();
    gangs += world.CountOf("gangs").InTimeShare();
    outcome.batches_open += world.CountOf("batches").open;
    if (!world.Breaches().empty()) {
      outcome.breach = world.Breaches().front();
    }
  }
  const auto count = static_cast<double>(seeds);
  outcome.urgent = urgent / count;
  outcome.batches = batches / count;
  outcome.gangs = gangs / count;
  return outcome;
}

void Demand(const std::string& name, double urgent_target) {
  const Outcome outcome = PlayByName(name);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(), outcome.breach);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 0, outcome.batches_open);
  CPPUNIT_ASSERT_MESSAGE(
      name + ": urgent in time " + std::to_string(outcome.urgent),
      outcome.urgent >= urgent_target);
}

/// Gangs that fit somewhere are to be in time as often as others in trouble.
void DemandGangs(const std::string& name) {
  const Outcome outcome = PlayByName(name);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(), outcome.breach);
  CPPUNIT_ASSERT_MESSAGE(
      name + ": gangs in time " + std::to_string(outcome.gangs) + ", batches " +
          std::to_string(outcome.batches),
      outcome.gangs >= kTroubleTarget && outcome.batches >= kTroubleTarget);
}

class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(Even);
  CPPUNIT_TEST(Busy);
  CPPUNIT_TEST(BurstUrgent);
  CPPUNIT_TEST(BurstGangs);
  CPPUNIT_TEST(HotTeam);
  CPPUNIT_TEST(FailingTargets);
  CPPUNIT_TEST(SlowTargets);
  CPPUNIT_TEST(WrongEstimatesMoveNothing);
  CPPUNIT_TEST(PlanningStaysCheapWithALongQueue);
  CPPUNIT_TEST(StuckTargets);
  CPPUNIT_TEST(LostAnswers);
  CPPUNIT_TEST(GangsAmongBatches);
  CPPUNIT_TEST(GangsOfABurst);
  CPPUNIT_TEST(GangsBesideAHotTeam);
  CPPUNIT_TEST(Overload);
  CPPUNIT_TEST(SlowStore);
  CPPUNIT_TEST(GangsInAFullCellUseTheAdvisersTime);
  CPPUNIT_TEST(WideStepsOfALargeCellGetAdvice);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Even() { Demand("even", kLoadTarget); }
  void Busy() { Demand("busy", kLoadTarget); }
  void BurstUrgent() { Demand("burst_urgent", kLoadTarget); }
  void BurstGangs() { Demand("burst_gangs", kLoadTarget); }
  void HotTeam() { Demand("hot_team", kTroubleTarget); }
  void FailingTargets() { Demand("failing_targets", kTroubleTarget); }
  void StuckTargets() { Demand("stuck_targets", kTroubleTarget); }
  void LostAnswers() { Demand("lost_answers", kTroubleTarget); }

  // Batches filled each gap in which gangs waited for room; rwk-sched trouble-2
  // had a gang that waited for 27 s.
  void GangsAmongBatches() { DemandGangs("gangs_among_batches"); }
  void GangsOfABurst() { DemandGangs("burst_gangs"); }
  void GangsBesideAHotTeam() { DemandGangs("hot_team"); }

  // Everything twice for 8 s: nothing starves, urgent work is in time.
  void Overload() { Demand("overload", kLoadTarget); }

  // On rwk-sched a step declared 358 ms took 5 s; its targets were taken for
  // slow, and 529 tasks of a calm day were stopped and begun anew.
  void WrongEstimatesMoveNothing() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      WorldOptions options = UserWorld(seed);
      options.estimate_spread = 0.9;
      World world(options);
      const UserQueues queues = MakeUserQueues();
      world.SetRules({queues.gangs, queues.batches, queues.urgent});
      const Time begin = world.NowTime();
      AddUserLoad(world, queues, 0.5, begin + Millis(10'000));
      world.RunUntil(begin + Millis(90'000));
      int tasks = 0;
      for (const auto& [id, job] : world.KnownJobs()) {
        for (const auto& step : job.spec.steps) {
          tasks += static_cast<int>(step.count);
        }
      }
      // One task in a hundred may be stopped for nothing.
      constexpr int kOneIn = 100;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(world.Starts()) + " starts of " +
                                 std::to_string(tasks) + " tasks",
                             world.Starts() <= tasks + tasks / kOneIn);
    }
  }

  // On trouble-3 of ppl-coop planning took the owner's whole processor, its
  // calls timed out, and callers got no answer about their jobs. Rounds are 8
  // ms apart, which on a machine of a quarter core are 2 ms of a whole one.
  void PlanningStaysCheapWithALongQueue() {
    World world(UserWorld(1));
    const UserQueues queues = MakeUserQueues();
    world.SetRules({queues.gangs, queues.batches, queues.urgent});
    world.AddLoad(MakeLoad(queues.batches, queues.batch_shape, 500, 6),
                  world.NowTime() + Millis(4000));
    world.RunUntil(world.NowTime() + Millis(5000));
    CPPUNIT_ASSERT(world.State().ready.size() > 1000);
    constexpr int kRounds = 50;
    const std::clock_t began = std::clock();
    for (int i = 0; i < kRounds; ++i) {
      cell::Actions actions;
      cell::Plan(world.State(), actions, world.NowTime());
    }
    const double millis = 1000.0 * static_cast<double>(std::clock() - began) /
                          CLOCKS_PER_SEC / kRounds;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(millis) + " ms a round, " +
                               std::to_string(world.State().ready.size()) +
                               " steps wait",
                           millis < 2.0);
  }

  // On ppl-coop trouble-2 submits waited for 2.5 s and had no answer: a write
  // took 29 records, of three for each job, in the order of the jobs' names. A
  // submit is to wait for the write under way and for its own, no longer.
  void SlowStore() {
    const auto patterns = LoadPatterns();
    const auto pattern =
        std::ranges::find(patterns, "slow_store", &LoadPattern::name);
    constexpr Millis kMargin{50};  // Rounds of planning and writing.
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      World world(UserWorld(seed));
      PlayPattern(world, *pattern);
      CPPUNIT_ASSERT(world.Breaches().empty());
      for (const std::string queue : {"urgent", "batches", "gangs"}) {
        const SimCount count = world.CountOf(queue);
        CPPUNIT_ASSERT_EQUAL(0, count.refused);
        CPPUNIT_ASSERT_MESSAGE(queue + ": accepted after " +
                                   std::to_string(count.worst_accept.count()) +
                                   " ms",
                               count.worst_accept <= 2 * kSlowWrite + kMargin);
      }
    }
  }

  // Pattern full_cell, whose gangs waited for 3 s until they could ask: three
  // of six lanes took no call as long as theirs. Urgent work still finds a
  // lane.
  void GangsInAFullCellUseTheAdvisersTime() {
    World world(UserWorld(1));
    const UserQueues queues = MakeUserQueues();
    world.SetRules({queues.gangs, queues.batches, queues.urgent});
    world.RunUntil(world.NowTime() + Millis(500));
    std::mt19937_64 random(1);
    constexpr int kGangs = 12;
    for (int i = 0; i < kGangs; ++i) {
      world.Submit(DrawJob(random, queues.gang_shape, "gangs", "team-0"));
    }
    world.RunUntil(world.NowTime() + Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, world.State().open_advice.size());
    cell::JobSpec urgent =
        DrawJob(random, queues.urgent_shape, "urgent", "team-1");
    const std::string id = urgent.id;
    world.Submit(std::move(urgent));
    world.RunUntil(world.NowTime() + Millis(100));
    CPPUNIT_ASSERT(world.PhaseOf(id) == cell::JobPhase::kRunning);
  }

  // Issue 17: on rwk-sched-grown quiet-1 a step of 56 tasks asked 695 times for
  // advice on 262 targets, most of them without a name, and never ran.
  void WideStepsOfALargeCellGetAdvice() {
    WorldOptions options = UserWorld(1);
    options.targets = 350;
    World world(options);
    const UserQueues queues = MakeUserQueues();
    world.SetRules({queues.gangs, queues.batches, queues.urgent});
    world.RunUntil(world.NowTime() + Millis(500));
    cell::JobSpec wide;
    wide.id = "00000000000000aa";
    wide.queue = "batches";
    wide.team = "team-0";
    wide.steps.resize(1);
    wide.steps[0].count = 56;
    // One on a target, so that more names are needed than a call may hold.
    wide.steps[0].demand = {0, 9000, 1000, 0};
    wide.steps[0].estimate = Millis(2000);
    world.Submit(wide);
    world.RunUntil(world.NowTime() + Millis(10'000));
    CPPUNIT_ASSERT(world.PhaseOf(wide.id) == cell::JobPhase::kCompleted);
    CPPUNIT_ASSERT(world.AdviceCalls() < 10);
  }

  // Batches on slow targets went on there for up to 47 s: they are moved.
  void SlowTargets() {
    Demand("slow_targets", kTroubleTarget);
    // Two seeds have 103 batches: one late one would decide.
    const Outcome outcome = PlayByName("slow_targets", 8);
    CPPUNIT_ASSERT_MESSAGE("batches in time " + std::to_string(outcome.batches),
                           outcome.batches >= kLoadTarget);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace
}  // namespace buckthornmux::tests
