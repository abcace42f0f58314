// Room that is held for waiting gangs: others get what the gang can't use, and
// the gang gets its room in the end.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr int kTargets = 8;
constexpr std::int64_t kServiceCpu = 7000;  ///< Of 16,000 on each target.
constexpr std::int64_t kGangCpu = 10'000;   ///< More than a service leaves.
/// Time after which an accepted job must have started if there is room for it
/// twice over: `finish_s` of the platform.
constexpr Millis kMaxWait{14'000};
constexpr int kHour = 3'600'000;
constexpr int kGangTime = 5000;  ///< Of gangs that must start.
/// Objective of such a gang: four times its run time, and a second.
constexpr Millis kGangObjective{4 * kGangTime + 1000};

cell::JobSpec Wide(const std::string& id, const std::string& team,
                   std::uint32_t tasks, std::int64_t cpu, int run_ms) {
  cell::JobSpec job = PlainJob(id, tasks, run_ms);
  job.team = team;
  job.steps[0].demand.cpu_milli = cpu;
  return job;
}

/// A service with one task on each target.
cell::JobSpec Service(const std::string& id, std::int64_t cpu) {
  cell::JobSpec job = Wide(id, "depots", kTargets, cpu, kHour);
  job.steps[0].service = true;
  job.steps[0].max_per_target = 1;
  return job;
}

cell::JobSpec Gang(const std::string& id, std::int64_t cpu, int run_ms) {
  cell::JobSpec job = Wide(id, "depots", kTargets, cpu, run_ms);
  job.steps[0].gang = true;
  return job;
}

WorldOptions Options() {
  WorldOptions options;
  options.targets = kTargets;
  return options;
}

void Run(World& world, Millis lasts) {
  world.RunUntil(world.NowTime() + lasts);
}

void OpenWorld(World& world) {
  cell::Queue queue = PlainQueue("plain", 1);
  queue.stretch = 4;
  world.SetRules({queue});
  Run(world, Millis(300));
}

void SubmitSmallJobs(World& world, int count, int run_ms) {
  for (int i = 0; i < count; ++i) {
    world.Submit(
        Wide("small-" + std::to_string(i), "drivers", 2, 1000, run_ms));
  }
}

int CompletedSmallJobs(World& world, int count) {
  int completed = 0;
  for (int i = 0; i < count; ++i) {
    completed += world.PhaseOf("small-" + std::to_string(i)) ==
                         cell::JobPhase::kCompleted
                     ? 1
                     : 0;
  }
  return completed;
}

bool HasStarted(const World& world, const std::string& job) {
  return world.StartsOf({job, 0, 0, 0}) > 0;
}

/// Jobs of a team, one each `gap`, from now until `until`.
void AddFlow(World& world, Millis gap, Time until, std::int64_t cpu,
             int run_ms) {
  int number = 0;
  for (Time at = world.NowTime(); at < until; at += gap) {
    const std::string id = "flow-" + std::to_string(number++);
    world.At(at, [&world, id, cpu, run_ms] {
      world.Submit(Wide(id, "drivers", 2, cpu, run_ms));
    });
  }
}

class GangRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangRoomTest);
  CPPUNIT_TEST(GangThatServicesBlockHoldsNobodyBack);
  CPPUNIT_TEST(SeveralBlockedGangsHoldNobodyBack);
  CPPUNIT_TEST(ShortWorkRunsBeforeAGangThatWaitsForLongWork);
  CPPUNIT_TEST(WorkThatFitsBesideTheGangStartsAtOnce);
  CPPUNIT_TEST(LongWorkWaitsABoundedTimeForAGang);
  CPPUNIT_TEST(LimitOfTheHoldFollowsTheSettings);
  CPPUNIT_TEST(WrongEstimatesDoNotProlongTheHold);
  CPPUNIT_TEST(GangWithoutTicketsHoldsRoomForABoundedTime);
  CPPUNIT_TEST(GangGetsItsRoomInASteadyFlow);
  CPPUNIT_TEST(GangGetsItsRoomInAFlowWithWrongEstimates);
  CPPUNIT_TEST(GangGetsItsRoomInAFlowOfLongWork);
  CPPUNIT_TEST(GangStartsOnceItsBlockingServiceIsCancelled);
  CPPUNIT_TEST(GangUsesSeveralRacksIfServicesFillEach);
  CPPUNIT_TEST(GangsOfSeveralTeamsAllStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // review/1: guards against a gang without room that stops all other work.
  void GangThatServicesBlockHoldsNobodyBack() {
    for (const bool ends : {false, true}) {
      World world(Options());
      OpenWorld(world);
      world.Submit(Service("service", kServiceCpu));
      Run(world, Millis(1500));
      cell::JobSpec gang = Gang("gang", kGangCpu, ends ? 60'000 : kHour);
      gang.steps[0].service = !ends;
      world.Submit(gang);
      Run(world, Millis(500));
      SubmitSmallJobs(world, 20, 1000);
      Run(world, Millis(5000));
      CPPUNIT_ASSERT_EQUAL(20, CompletedSmallJobs(world, 20));
      CPPUNIT_ASSERT(!HasStarted(world, "gang"));
    }
  }

  // Guards against a fix for one gang only.
  void SeveralBlockedGangsHoldNobodyBack() {
    World world(Options());
    OpenWorld(world);
    world.Submit(Service("service", kServiceCpu));
    Run(world, Millis(1500));
    for (int i = 0; i < 6; ++i) {
      cell::JobSpec gang = Gang("gang-" + std::to_string(i),
                                kGangCpu + std::int64_t{500} * i, 5000);
      gang.team = "team-" + std::to_string(i);
      world.Submit(gang);
    }
    Run(world, Millis(500));
    SubmitSmallJobs(world, 20, 1000);
    Run(world, Millis(5000));
    CPPUNIT_ASSERT_EQUAL(20, CompletedSmallJobs(world, 20));
  }

  // Guards against room that stands empty until long work ends: what ends
  // before that doesn't delay the gang.
  void ShortWorkRunsBeforeAGangThatWaitsForLongWork() {
    World world(Options());
    OpenWorld(world);
    cell::JobSpec blocking = Wide("long", "depots", kTargets, 7000, 60'000);
    blocking.steps[0].max_per_target = 1;
    world.Submit(blocking);
    Run(world, Millis(1500));
    world.Submit(Gang("gang", kGangCpu, kGangTime));
    Run(world, Millis(500));
    for (int i = 0; i < 8; ++i) {
      world.Submit(
          Wide("small-" + std::to_string(i), "drivers", 2, 8000, 1000));
    }
    Run(world, Millis(6000));
    CPPUNIT_ASSERT_EQUAL(8, CompletedSmallJobs(world, 8));
    // The gang starts as soon as the long work has ended.
    Run(world, Millis(55'000));
    CPPUNIT_ASSERT(HasStarted(world, "gang"));
  }

  // Guards against room held beyond what the gang could use.
  void WorkThatFitsBesideTheGangStartsAtOnce() {
    World world(Options());
    OpenWorld(world);
    cell::JobSpec blocking = Wide("long", "depots", 4, 7000, 60'000);
    blocking.steps[0].max_per_target = 1;
    world.Submit(blocking);
    Run(world, Millis(1500));
    world.Submit(Gang("gang", kGangCpu, kGangTime));
    Run(world, Millis(500));
    // Four targets are empty: each holds a task of the gang, and 6 cores more.
    for (int i = 0; i < 4; ++i) {
      world.Submit(
          Wide("small-" + std::to_string(i), "drivers", 1, 5000, 60'000));
    }
    Run(world, Millis(1000));
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT(HasStarted(world, "small-" + std::to_string(i)));
    }
  }

  // Guards against work that waits for as long as a gang does.
  void LongWorkWaitsABoundedTimeForAGang() {
    World world(Options());
    OpenWorld(world);
    cell::JobSpec blocking = Wide("long", "depots", kTargets, 7000, 60'000);
    blocking.steps[0].max_per_target = 1;
    world.Submit(blocking);
    Run(world, Millis(1500));
    world.Submit(Gang("gang", kGangCpu, 60'000));
    Run(world, Millis(500));
    world.Submit(Wide("other", "drivers", 2, 8000, 60'000));
    Run(world, kMaxWait);
    CPPUNIT_ASSERT(HasStarted(world, "other"));
    // Nothing else comes: the gang starts once both have ended.
    Run(world, Millis(120'000));
    CPPUNIT_ASSERT(HasStarted(world, "gang"));
  }

  // Guards against a limit that doesn't follow a deployment's shorter bound on
  // the wait of a job.
  void LimitOfTheHoldFollowsTheSettings() {
    constexpr Millis kShortWait{8000};
    World world(Options());
    OpenWorld(world);
    world.State().options.first_hold_limit = kShortWait - Millis(1000);
    cell::JobSpec blocking = Wide("long", "depots", kTargets, 7000, 60'000);
    blocking.steps[0].max_per_target = 1;
    world.Submit(blocking);
    Run(world, Millis(1500));
    world.Submit(Gang("gang", kGangCpu, 60'000));
    Run(world, Millis(500));
    world.Submit(Wide("other", "drivers", 2, 8000, 60'000));
    Run(world, kShortWait);
    CPPUNIT_ASSERT(HasStarted(world, "other"));
  }

  // Guards against estimates that say that room comes soon, again and again.
  void WrongEstimatesDoNotProlongTheHold() {
    World world(Options());
    OpenWorld(world);
    for (int i = 0; i < kTargets; ++i) {
      world.Target(i).faults.slowdown = 100;
    }
    cell::JobSpec blocking = Wide("long", "depots", kTargets, 7000, 1000);
    blocking.steps[0].max_per_target = 1;
    world.Submit(blocking);
    Run(world, Millis(500));
    for (int i = 0; i < kTargets; ++i) {
      world.Target(i).faults.slowdown = 1;
    }
    world.Submit(Gang("gang", kGangCpu, kGangTime));
    Run(world, Millis(500));
    for (int i = 0; i < 8; ++i) {
      world.Submit(
          Wide("small-" + std::to_string(i), "drivers", 2, 8000, 30'000));
    }
    Run(world, kMaxWait);
    for (int i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT(HasStarted(world, "small-" + std::to_string(i)));
    }
  }

  // Guards against room held for a gang that nobody gives tickets.
  void GangWithoutTicketsHoldsRoomForABoundedTime() {
    WorldOptions options = Options();
    options.lanes = 0;
    World world(options);
    cell::Queue advised = PlainQueue("advised", 1);
    advised.advice = cell::AdviceRules{Millis(60), 1, Millis(2500)};
    cell::Queue patient = PlainQueue("plain", 2);
    patient.target_runtime = Millis(60'000);
    world.SetRules({advised, patient});
    Run(world, Millis(300));
    cell::JobSpec gang = Gang("gang", kGangCpu, kGangTime);
    gang.queue = "advised";
    world.Submit(gang);
    Run(world, Millis(500));
    for (const cell::StepRef& ref : world.State().ready) {
      cell::AdviceState& advice = StepAt(world, ref).advice;
      for (int i = 0; i < kTargets; ++i) {
        advice.usable.insert("target-" + std::to_string(i));
      }
    }
    Run(world, Millis(500));
    world.Submit(Wide("other-0", "drivers", kTargets, 16'000, 100));
    Run(world, Millis(500));
    CPPUNIT_ASSERT(!HasStarted(world, "other-0"));
    Run(world, kMaxWait);
    CPPUNIT_ASSERT(HasStarted(world, "other-0"));
    // Nor does the time grow for those that come later.
    for (const std::string other : {"other-1", "other-2", "other-3"}) {
      world.Submit(Wide(other, "drivers", kTargets, 16'000, 100));
      Run(world, kMaxWait);
      CPPUNIT_ASSERT(HasStarted(world, other));
    }
  }

  // The other side: a gang still meets its objective if small jobs keep coming.
  void GangGetsItsRoomInASteadyFlow() {
    for (const int run_ms : {1000, 4000}) {
      World world(Options());
      OpenWorld(world);
      const Time begin = world.NowTime();
      // Nine of 16 cores are in use on average.
      AddFlow(world, Millis(run_ms * 2 / (9 * kTargets / 2)),
              begin + Millis(90'000), 2000, run_ms);
      Run(world, Millis(10'000));
      world.Submit(Gang("gang", kGangCpu, kGangTime));
      Run(world, kGangObjective - Millis(kGangTime));
      CPPUNIT_ASSERT(HasStarted(world, "gang"));
    }
  }

  // Where jobs last up to ten times as long as they say, or a tenth, it has no
  // more than a second hold to wait for.
  void GangGetsItsRoomInAFlowWithWrongEstimates() {
    World world(Options());
    OpenWorld(world);
    world.SetDeclaredSpread(1);
    const Time begin = world.NowTime();
    AddFlow(world, Millis(100), begin + Millis(120'000), 2000, 2000);
    Run(world, Millis(10'000));
    world.SetDeclaredSpread(0);
    world.Submit(Gang("gang", kGangCpu, kGangTime));
    world.SetDeclaredSpread(1);
    Run(world, 2 * kGangObjective);
    CPPUNIT_ASSERT(HasStarted(world, "gang"));
  }

  // The same where the work is longer than the first hold: the second one is
  // twice as long, and outlasts it.
  void GangGetsItsRoomInAFlowOfLongWork() {
    World world(Options());
    OpenWorld(world);
    const Time begin = world.NowTime();
    AddFlow(world, Millis(800), begin + Millis(200'000), 2000, 15'000);
    Run(world, Millis(20'000));
    world.Submit(Gang("gang", kGangCpu, kGangTime));
    Run(world, kMaxWait + Millis(1000) + 2 * kMaxWait);
    CPPUNIT_ASSERT(HasStarted(world, "gang"));
  }

  // The other side: a gang is remembered until its room comes.
  void GangStartsOnceItsBlockingServiceIsCancelled() {
    World world(Options());
    OpenWorld(world);
    world.Submit(Service("service", kServiceCpu));
    Run(world, Millis(1500));
    world.Submit(Gang("gang", kGangCpu, kGangTime));
    const Time begin = world.NowTime();
    AddFlow(world, Millis(250), begin + Millis(60'000), 2000, 1000);
    Run(world, Millis(20'000));
    CPPUNIT_ASSERT(!HasStarted(world, "gang"));
    world.Cancel("service");
    Run(world, Millis(5000));
    CPPUNIT_ASSERT(HasStarted(world, "gang"));
  }

  // Guards against a gang that waits for one rack that services never leave.
  void GangUsesSeveralRacksIfServicesFillEach() {
    WorldOptions options = Options();
    options.rack = 4;
    World world(options);
    OpenWorld(world);
    cell::JobSpec service = Service("service", kServiceCpu);
    service.steps[0].count = 4;
    service.steps[0].label = "a";
    world.Submit(service);
    Run(world, Millis(1500));
    // Each rack of four targets has two without a service.
    cell::JobSpec gang = Wide("gang", "depots", 4, kGangCpu, 2000);
    gang.steps[0].gang = true;
    gang.steps[0].same_rack = true;
    world.Submit(gang);
    Run(world, Millis(2000));
    CPPUNIT_ASSERT(HasStarted(world, "gang"));
  }

  // The other side: gangs don't keep each other waiting for ever either.
  void GangsOfSeveralTeamsAllStart() {
    World world(Options());
    OpenWorld(world);
    const Time begin = world.NowTime();
    AddFlow(world, Millis(150), begin + Millis(120'000), 2000, 1000);
    Run(world, Millis(5000));
    for (int i = 0; i < 6; ++i) {
      cell::JobSpec gang = Gang("gang-" + std::to_string(i), kGangCpu, 3000);
      gang.team = "team-" + std::to_string(i);
      world.Submit(gang);
    }
    Run(world, Millis(60'000));
    for (int i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT(HasStarted(world, "gang-" + std::to_string(i)));
    }
  }

 private:
  static cell::Step& StepAt(World& world, const cell::StepRef& ref) {
    return world.State()
        .jobs.at(ref.job)
        .occurrences.at(ref.occurrence)
        .steps.at(ref.step);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangRoomTest);

}  // namespace
}  // namespace buckthornmux::tests
