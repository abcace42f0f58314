// Targets on which tasks fail: those that fail everything get little work, and
// sound ones are back in bounded time.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "cell_owner.h"
#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr Millis kReported{300};
/// How long targets fail all that they start, as on the users' site.
constexpr Millis kFailing{6500};
/// Time after which an accepted job must have started if there is room for it
/// twice over: `finish_s` of the platform.
constexpr Millis kMaxWait{14'000};
constexpr int kHour = 3'600'000;

void Run(World& world, Millis lasts) {
  world.RunUntil(world.NowTime() + lasts);
}

WorldOptions Targets(int count) {
  WorldOptions options;
  options.targets = count;
  return options;
}

void OpenWorld(World& world) {
  world.SetRules({PlainQueue("plain", 1)});
  Run(world, kReported);
}

void FailAll(World& world, int targets, bool fails) {
  for (int i = 0; i < targets; ++i) {
    world.Target(i).faults.fails_all = fails;
  }
}

/// Jobs of two tasks while the targets fail.
void SubmitWhileFailing(World& world) {
  for (int i = 0; i < 6; ++i) {
    world.Submit(PlainJob("early-" + std::to_string(i), 2, 300));
    Run(world, kFailing / 6);
  }
}

cell::JobSpec Service(const std::string& id, std::uint32_t tasks) {
  cell::JobSpec job = PlainJob(id, tasks, kHour);
  job.steps[0].service = true;
  job.steps[0].max_per_target = 1;
  return job;
}

bool HasStarted(const World& world, const std::string& job) {
  return world.StartsOf({job, 0, 0, 0}) > 0;
}

std::size_t RunningOf(World& world, int targets, const std::string& job) {
  std::size_t running = 0;
  for (int i = 0; i < targets; ++i) {
    for (const auto& [id, run] : world.Target(i).running) {
      running += id.task.job == job ? 1U : 0U;
    }
  }
  return running;
}

/// A cell step by step, with targets of 16 cores.
struct SteppedCell {
  Time now{Millis(10'000)};
  cell::Cell owned;
  Records stored;
  std::map<std::string, std::uint64_t> ends;

  explicit SteppedCell(int targets) {
    std::vector<cell::TargetEntry> entries;
    for (int i = 0; i < targets; ++i) {
      const std::string id = "t" + std::to_string(i + 1);
      entries.push_back(Entry(id, "127.0.0.1:" + std::to_string(i + 1)));
      entries.back().capacity.cpu_milli = 16'000;
    }
    owned = Open(1, {}, entries, now);
    Store(owned, stored, now);
    for (const cell::TargetEntry& entry : entries) {
      Report(owned, entry.id, now);
    }
  }

  void Submit(const cell::JobSpec& job) {
    cell::Actions actions;
    cell::Submit(owned, actions, 1, job, now);
    Store(owned, stored, now);
  }

  /// Plans one round; the starts are confirmed.
  std::vector<std::pair<TargetId, RunId>> Plan() {
    cell::Actions actions;
    cell::Plan(owned, actions, now);
    std::vector<std::pair<TargetId, RunId>> starts;
    for (const cell::Action& action : actions) {
      if (const auto* start = std::get_if<cell::SendStart>(&action)) {
        starts.emplace_back(start->target, start->run);
      }
    }
    now += Millis(10);
    for (const auto& [target, run] : starts) {
      cell::StartAnswered(owned, actions, target, run,
                          cell::OrderOutcome::kDone, now);
    }
    return starts;
  }

  /// A target reports the end of a run; its other runs go on.
  void End(const TargetId& target, const RunId& ended, cell::RunEnd how) {
    now += Millis(100);
    std::vector<cell::RunningReport> running;
    for (const auto& [id, run] : owned.targets.at(target).runs) {
      if (id != ended) {
        running.push_back({id, {}, run.percent, 0});
      }
    }
    Report(owned, target, now, running, {{++ends[target], ended, how, {}}});
    Store(owned, stored, now);
  }

  cell::TargetHealth& HealthOf(const TargetId& target) {
    return owned.targets.at(target).health;
  }

  /// Takes all targets but one out of the next rounds.
  void UseOnly(const TargetId& used) {
    for (auto& [id, target] : owned.targets) {
      target.health.suspended_until =
          id == used ? Time() : now + Millis(1'000'000);
    }
  }
};

class ProbationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProbationTest);
  CPPUNIT_TEST(TargetWithAServiceIsUsedAgain);
  CPPUNIT_TEST(TargetWithLongWorkIsUsedAgain);
  CPPUNIT_TEST(AllTargetsOfACellAreUsedAgain);
  CPPUNIT_TEST(LongTrialEndsProbationByTime);
  CPPUNIT_TEST(ServiceAtWorkIsASuccess);
  CPPUNIT_TEST(GangStartsWhereAllTargetsHaveFailed);
  CPPUNIT_TEST(FailingTargetGetsLittleWork);
  CPPUNIT_TEST(ProbationAllowsOneTaskARound);
  CPPUNIT_TEST(EarlierWorkProvesNothing);
  CPPUNIT_TEST(TaskThatFailsElsewhereTooCostsNothing);
  CPPUNIT_TEST(ServiceThatFailsAtWorkCostsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // review/2: guards against a target that is lost to all other work after two
  // failures, because a service that runs there has no success.
  void TargetWithAServiceIsUsedAgain() { AssertUsedAgain(true); }

  // Guards against the same with work that ends, but late.
  void TargetWithLongWorkIsUsedAgain() { AssertUsedAgain(false); }

  // Guards against a cell that loses one target after the other.
  void AllTargetsOfACellAreUsedAgain() {
    constexpr int kTargets = 4;
    World world(Targets(kTargets));
    OpenWorld(world);
    world.Submit(Service("service", kTargets));
    Run(world, Millis(1000));
    FailAll(world, kTargets, true);
    SubmitWhileFailing(world);
    FailAll(world, kTargets, false);
    Run(world, kMaxWait / 2);
    // All 15 cores that each target has left.
    constexpr std::uint32_t kCores = 15 * kTargets;
    world.Submit(PlainJob("wide", kCores, kHour));
    Run(world, kMaxWait);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kCores},
                         RunningOf(world, kTargets, "wide"));
  }

  // Guards against a trial that keeps its target from all other work.
  void LongTrialEndsProbationByTime() {
    World world(Targets(1));
    OpenWorld(world);
    FailAll(world, 1, true);
    SubmitWhileFailing(world);
    FailAll(world, 1, false);
    world.Submit(PlainJob("long", 16, kHour));
    Run(world, 2 * kMaxWait);
    CPPUNIT_ASSERT(RunningOf(world, 1, "long") >= 14);
  }

  // Guards against trials that can't succeed, since they don't end.
  void ServiceAtWorkIsASuccess() {
    SteppedCell cell(1);
    FailTwice(cell, "t1");
    cell.now += Millis(3000);
    cell.Submit(Service("service", 1));
    const auto starts = cell.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    cell.now += Millis(300);
    Report(cell.owned, "t1", cell.now, {{starts[0].second, {}, 40, 0}});
    CPPUNIT_ASSERT(cell.HealthOf("t1").consecutive_failures > 0);
    cell.now += Millis(300);
    Report(cell.owned, "t1", cell.now, {{starts[0].second, {}, 100, 0}});
    CPPUNIT_ASSERT_EQUAL(0, cell.HealthOf("t1").consecutive_failures);
  }

  // The other side: a gang isn't kept from targets on probation, where nothing
  // else could end it.
  void GangStartsWhereAllTargetsHaveFailed() {
    constexpr int kTargets = 4;
    World world(Targets(kTargets));
    OpenWorld(world);
    FailAll(world, kTargets, true);
    SubmitWhileFailing(world);
    FailAll(world, kTargets, false);
    cell::JobSpec gang = PlainJob("gang", 2 * kTargets, 1000);
    gang.steps[0].demand.cpu_milli = 8000;
    gang.steps[0].gang = true;
    world.Submit(gang);
    Run(world, kMaxWait);
    CPPUNIT_ASSERT(world.PhaseOf("gang") == cell::JobPhase::kCompleted);
  }

  // The other side: a target that fails everything gets a task at a time, with
  // growing pauses, also beside a service, and nothing fails because of it.
  void FailingTargetGetsLittleWork() {
    constexpr int kTargets = 4;
    constexpr int kMinute = 60'000;
    constexpr int kJobGap = 50;
    World world(Targets(kTargets));
    OpenWorld(world);
    world.Submit(Service("service", kTargets));
    Run(world, Millis(1000));
    world.Target(0).faults.fails_all = true;
    const Time begin = world.NowTime();
    for (int i = 0; i < kMinute / kJobGap; ++i) {
      world.At(begin + Millis(i * kJobGap), [&world, i] {
        world.Submit(PlainJob("job-" + std::to_string(i), 1, 500));
      });
    }
    std::uint64_t before = world.Target(0).sequence;
    Run(world, Millis(3000));
    before = world.Target(0).sequence;
    Run(world, Millis(kMinute));
    // Pauses of 3, 3, 6, 12, 12 s and so on.
    CPPUNIT_ASSERT_LESSEQUAL(std::uint64_t{8},
                             world.Target(0).sequence - before);
    for (int i = 0; i < kMinute / kJobGap; ++i) {
      CPPUNIT_ASSERT(world.PhaseOf("job-" + std::to_string(i)) ==
                     cell::JobPhase::kCompleted);
    }
  }

  // Guards against a round that fills an empty target on probation.
  void ProbationAllowsOneTaskARound() {
    SteppedCell cell(1);
    FailTwice(cell, "t1");
    cell.Submit(PlainJob("wide", 8, 5000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.Plan().size());
    cell.now += Millis(3000);
    const auto starts = cell.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.Plan().size());
    cell.End("t1", starts[0].second, cell::RunEnd::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, cell.Plan().size());
  }

  // Guards against a failing target that is trusted because of what it had
  // begun before it failed.
  void EarlierWorkProvesNothing() {
    SteppedCell cell(1);
    cell.Submit(PlainJob("earlier", 1, 5000));
    const auto earlier = cell.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, earlier.size());
    FailTwice(cell, "t1");
    cell.End("t1", earlier[0].second, cell::RunEnd::kDone);
    CPPUNIT_ASSERT_EQUAL(2, cell.HealthOf("t1").consecutive_failures);
  }

  // Guards against targets that pay for tasks that fail by their own fault.
  void TaskThatFailsElsewhereTooCostsNothing() {
    SteppedCell cell(2);
    for (int i = 0; i < 4; ++i) {
      cell.UseOnly("t1");
      cell.Submit(PlainJob("poison-" + std::to_string(i), 1, 500));
      const auto first = cell.Plan();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
      cell.End("t1", first[0].second, cell::RunEnd::kFailed);
      CPPUNIT_ASSERT_EQUAL(1, cell.HealthOf("t1").consecutive_failures);
      cell.UseOnly("t2");
      const auto second = cell.Plan();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
      cell.End("t2", second[0].second, cell::RunEnd::kFailed);
      CPPUNIT_ASSERT_EQUAL(0, cell.HealthOf("t1").consecutive_failures);
      CPPUNIT_ASSERT_EQUAL(0, cell.HealthOf("t2").consecutive_failures);
      cell::Actions actions;
      cell::Cancel(cell.owned, actions, 2, "poison-" + std::to_string(i),
                   {"plain", "team-0"}, cell.now);
    }
  }

  // The same for services, which may fail at any time once they are at work.
  void ServiceThatFailsAtWorkCostsNothing() {
    SteppedCell cell(1);
    for (int i = 0; i < 3; ++i) {
      cell.Submit(Service("service-" + std::to_string(i), 1));
      const auto starts = cell.Plan();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
      cell.now += Millis(300);
      Report(cell.owned, "t1", cell.now, {{starts[0].second, {}, 100, 0}});
      cell.End("t1", starts[0].second, cell::RunEnd::kFailed);
      CPPUNIT_ASSERT_EQUAL(0, cell.HealthOf("t1").consecutive_failures);
      cell::Actions actions;
      cell::Cancel(cell.owned, actions, 2, "service-" + std::to_string(i),
                   {"plain", "team-0"}, cell.now);
    }
  }

 private:
  static void AssertUsedAgain(bool service) {
    World world(Targets(1));
    OpenWorld(world);
    world.Submit(service ? Service("lasting", 1)
                         : PlainJob("lasting", 1, kHour));
    Run(world, Millis(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunningOf(world, 1, "lasting"));
    FailAll(world, 1, true);
    SubmitWhileFailing(world);
    FailAll(world, 1, false);
    Run(world, kMaxWait / 2);
    world.Submit(PlainJob("late", 1, 300));
    Run(world, kMaxWait);
    CPPUNIT_ASSERT(HasStarted(world, "late"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunningOf(world, 1, "lasting"));
  }

  /// Two tasks fail on a target for the first time.
  static void FailTwice(SteppedCell& cell, const TargetId& target) {
    cell.Submit(PlainJob("failing", 2, 500));
    const auto starts = cell.Plan();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    for (const auto& [id, run] : starts) {
      cell.End(target, run, cell::RunEnd::kFailed);
    }
    CPPUNIT_ASSERT_EQUAL(2, cell.HealthOf(target).consecutive_failures);
    cell::Actions actions;
    cell::Cancel(cell.owned, actions, 2, "failing", {"plain", "team-0"},
                 cell.now);
    Store(cell.owned, cell.stored, cell.now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbationTest);

}  // namespace
}  // namespace buckthornmux::tests
