// Targets whose capacity shrinks and grows while they run tasks.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr std::int64_t kFullCpu = 16'000;
/// A start that was sent before the list was read still arrives.
constexpr Millis kArrival{10};
/// Longest time that a target takes to stop a run.
constexpr Millis kStopTime{400};

Resources Room(std::int64_t cpu) { return {0, cpu, 32'768, 0}; }

class TargetRoomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetRoomTest);
  CPPUNIT_TEST(CheckerCountsAShrunkRoomUntilTheGraceIsOver);
  CPPUNIT_TEST(CheckerGivesNoGraceWhereTheRoomIsTheSame);
  CPPUNIT_TEST(NothingStartsInARoomThatIsSmallerThanItsRuns);
  CPPUNIT_TEST(StartsOnTheirWayCountInAShrinkingRoom);
  CPPUNIT_TEST(UnansweredStartsAreNotSentAgainIntoAShrunkRoom);
  CPPUNIT_TEST(UnansweredStartsThatRunAreNotStoppedInAShrunkRoom);
  CPPUNIT_TEST(HeldStartsAreSentOnceTheRoomHasGrown);
  CPPUNIT_TEST(RunsThatAreBeingStoppedCountInAShrunkRoom);
  CPPUNIT_TEST(NextOwnerCountsRunsThatItTakesOver);
  CPPUNIT_TEST(NextOwnerCountsRunsOfEndedJobs);
  CPPUNIT_TEST(WaitingGangKeepsItsReservationWithinAShrunkRoom);
  CPPUNIT_TEST(GangThatNoLongerFitsWaitsAndHoldsNobodyUp);
  CPPUNIT_TEST(GrownRoomIsUsedAtOnce);
  CPPUNIT_TEST(NothingIsStoppedBecauseRoomsShrink);
  CPPUNIT_TEST(JobThatFitsNowhereForAWhileWaits);
  CPPUNIT_TEST(NewJobIsJudgedByTheLargestRooms);
  CPPUNIT_TEST(RoomsAreKeptUnderRandomChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a checker that allows starts over a shrunk room for ever, or
  // that blames starts within the grace.
  void CheckerCountsAShrunkRoomUntilTheGraceIsOver() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, BreachesAfter(Millis(3999)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, BreachesAfter(Millis(4000)));
  }

  // Guards against a checker that the change of rooms has made less strict.
  void CheckerGivesNoGraceWhereTheRoomIsTheSame() {
    standins::JobChecker checker;
    const SimTarget target = FullTarget(kFullCpu);
    checker.HandedIn(PlainJob("job"), {});
    checker.Accepted("job");
    const SimTarget others[] = {target};
    checker.Starting(others, target, {{"job", 0, 0, 0}, 1}, true, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker.Breaches().size());
  }

  // Guards against starts into a room that its own runs already overfill.
  void NothingStartsInARoomThatIsSmallerThanItsRuns() {
    World world(Targets(1));
    Open(world);
    world.Submit(PlainJob("job", 12, 3000));
    Run(world, Millis(500));
    world.Resize(0, Room(6000), Millis(0));
    Run(world, kArrival);
    world.Submit(PlainJob("later", 6, 500));
    Run(world, Millis(2000));
    CPPUNIT_ASSERT_EQUAL(12, world.Starts());
    Run(world, Millis(2500));
    AssertCompleted(world, {"job", "later"});
    AssertNothingStopped(world);
  }

  // Guards against a plan that forgets starts without an answer yet.
  void StartsOnTheirWayCountInAShrinkingRoom() {
    WorldOptions options = Targets(1);
    options.link = Millis(100);
    options.room_grace = options.link + kArrival;
    World world(options);
    Open(world);
    world.Submit(PlainJob("job", 20, 1500));
    Run(world, Millis(60));
    world.Resize(0, Room(4000), Millis(0));
    Run(world, Millis(1000));
    CPPUNIT_ASSERT_EQUAL(16, world.Starts());
    Run(world, Millis(4000));
    AssertCompleted(world, {"job"});
    AssertNothingStopped(world);
  }

  // Guards against starts that the target never got, and that are sent again
  // after its room has shrunk.
  void UnansweredStartsAreNotSentAgainIntoAShrunkRoom() {
    World world(Targets(1));
    Open(world);
    world.Target(0).faults.cut = true;
    world.Submit(PlainJob("job", 12, 3000));
    Run(world, Millis(100));
    world.Resize(0, Room(4000), Millis(0));
    Run(world, Millis(50));
    world.Target(0).faults.cut = false;
    Run(world, Millis(14'000));
    AssertCompleted(world, {"job"});
  }

  // Guards against stopping work that runs only because its answer was lost.
  void UnansweredStartsThatRunAreNotStoppedInAShrunkRoom() {
    World world(Targets(1));
    Open(world);
    world.Target(0).faults.answers_lost = 1;
    world.Submit(PlainJob("job", 12, 3000));
    Run(world, Millis(100));
    world.Resize(0, Room(4000), Millis(0));
    world.Target(0).faults.answers_lost = 0;
    Run(world, Millis(4000));
    AssertCompleted(world, {"job"});
    CPPUNIT_ASSERT_EQUAL(12, world.Starts());
    AssertNothingStopped(world);
  }

  // Guards against starts that wait for ever once they were held back.
  void HeldStartsAreSentOnceTheRoomHasGrown() {
    World world(Targets(1));
    Open(world);
    world.Target(0).faults.cut = true;
    world.Submit(PlainJob("job", 12, 3000));
    Run(world, Millis(100));
    world.Resize(0, Room(4000), Millis(0));
    Run(world, Millis(50));
    world.Target(0).faults.cut = false;
    Run(world, Millis(250));
    world.Resize(0, Room(kFullCpu), Millis(0));
    Run(world, Millis(3100));
    AssertCompleted(world, {"job"});
    AssertNothingStopped(world);
  }

  // Guards against counting a run as gone when its stop is answered: it holds
  // its room until it has ended.
  void RunsThatAreBeingStoppedCountInAShrunkRoom() {
    World world(Targets(1));
    Open(world);
    world.Target(0).faults.stop_time = kStopTime;
    world.Submit(PlainJob("former", 16, 9000));
    Run(world, Millis(500));
    world.Resize(0, Room(8000), Millis(0));
    Run(world, kArrival);
    world.Cancel("former");
    world.Submit(PlainJob("later", 8, 500));
    Run(world, kStopTime - Millis(20));
    CPPUNIT_ASSERT_EQUAL(16, world.Starts());
    Run(world, Millis(1500));
    AssertCompleted(world, {"later"});
  }

  // Guards against a next owner that fills a room before it knows the runs that
  // it shares it with.
  void NextOwnerCountsRunsThatItTakesOver() {
    WorldOptions options = Targets(2);
    options.link = Millis(50);  // Jobs are stored before targets have reported.
    World world(options);
    Open(world);
    world.Submit(PlainJob("former", 20, 4000));
    Run(world, Millis(500));
    CPPUNIT_ASSERT_EQUAL(20, world.Starts());
    world.ReplaceOwner(Millis(300));
    world.Resize(0, Room(6000), Millis(0));
    world.Resize(1, Room(6000), Millis(100));
    world.At(world.NowTime() + Millis(300),
             [&world] { world.Submit(PlainJob("later", 12, 500)); });
    Run(world, Millis(9000));
    AssertCompleted(world, {"former", "later"});
    CPPUNIT_ASSERT_EQUAL(32, world.Starts());
    AssertNothingStopped(world);
  }

  // Guards against a next owner that knows no demand for runs whose job has
  // ended, and counts them as nothing.
  void NextOwnerCountsRunsOfEndedJobs() {
    World world(Targets(1));
    Open(world);
    world.Target(0).faults.stop_time = kStopTime;
    world.Submit(PlainJob("former", 12, 9000));
    Run(world, Millis(500));
    world.Cancel("former");
    Run(world, Millis(50));
    CPPUNIT_ASSERT(world.PhaseOf("former") == cell::JobPhase::kCancelled);
    world.Resize(0, Room(8000), Millis(20));
    world.ReplaceOwner(Millis(100));
    Run(world, Millis(110));
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, world.Target(0).running.size());
    world.Submit(PlainJob("later", 8, 500));
    Run(world, Millis(150));
    CPPUNIT_ASSERT_EQUAL(12, world.Starts());
    Run(world, Millis(2000));
    AssertCompleted(world, {"later"});
  }

  // Guards against a reservation that is larger than what is left of a room,
  // and so frees room that isn't there.
  void WaitingGangKeepsItsReservationWithinAShrunkRoom() {
    World world(Targets(2));
    Open(world);
    world.Submit(PlainJob("former", 24, 2000));
    Run(world, Millis(300));
    world.Submit(Gang("gang", 2, 12'000));
    Run(world, Millis(300));
    for (int i = 0; i < 2; ++i) {
      world.Resize(i, Room(12'000), Millis(100 * i));
    }
    for (int i = 0; i < 20; ++i) {
      cell::JobSpec small = PlainJob("small-" + std::to_string(i), 1, 300);
      small.queue = "patient";
      world.At(world.NowTime() + Millis(100 * i),
               [&world, small] { world.Submit(small); });
    }
    Run(world, Millis(3000));
    CPPUNIT_ASSERT_EQUAL(1, world.StartsOf({"gang", 0, 0, 0}));
    Run(world, Millis(3000));
    AssertCompleted(world, {"former", "gang", "small-0", "small-19"});
    AssertNothingStopped(world);
  }

  // Guards against a gang that fails while it fits nowhere, or keeps the small
  // rooms empty meanwhile.
  void GangThatNoLongerFitsWaitsAndHoldsNobodyUp() {
    World world(Targets(2));
    Open(world);
    world.Submit(PlainJob("former", 24, 1000));
    Run(world, Millis(300));
    world.Submit(Gang("gang", 2, 12'000));
    Run(world, Millis(100));
    for (int i = 0; i < 2; ++i) {
      world.Resize(i, Room(4000), Millis(0));
    }
    Run(world, Millis(2000));
    cell::JobSpec small = PlainJob("small", 8, 300);
    small.queue = "patient";
    world.Submit(small);
    Run(world, Millis(1000));
    AssertCompleted(world, {"former", "small"});
    CPPUNIT_ASSERT(world.PhaseOf("gang") == cell::JobPhase::kQueued);
    for (int i = 0; i < 2; ++i) {
      world.Resize(i, Room(kFullCpu), Millis(0));
    }
    Run(world, Millis(1500));
    AssertCompleted(world, {"gang"});
    AssertNothingStopped(world);
  }

  // Guards against waiting for another event before grown room is used.
  void GrownRoomIsUsedAtOnce() {
    World world(Targets(1));
    Open(world);
    world.Resize(0, Room(4000), Millis(0));
    Run(world, kArrival);
    world.Submit(PlainJob("job", 16, 3000));
    Run(world, Millis(500));
    CPPUNIT_ASSERT_EQUAL(4, world.Starts());
    // Between two ticks.
    world.Resize(0, Room(kFullCpu), Millis(20));
    Run(world, Millis(20) + kArrival);
    CPPUNIT_ASSERT_EQUAL(16, world.Starts());
    Run(world, Millis(4000));
    AssertCompleted(world, {"job"});
  }

  // Guards against stops that make runs fit into the shrunk room.
  void NothingIsStoppedBecauseRoomsShrink() {
    World world(Targets(3));
    Open(world);
    cell::JobSpec gang = Gang("gang", 3, 6000);
    gang.steps[0].estimate = Millis(7000);
    world.Submit(gang);
    Run(world, Millis(200));
    world.Submit(PlainJob("job", 30, 6000));
    Run(world, Millis(1000));
    for (int i = 0; i < 3; ++i) {
      world.Resize(i, Room(std::int64_t{1000} * i), Millis(100 * i));
    }
    Run(world, Millis(8000));
    AssertCompleted(world, {"gang", "job"});
    CPPUNIT_ASSERT_EQUAL(33, world.Starts());
    AssertNothingStopped(world);
  }

  // Guards against failing a job whose tasks fit nowhere only for a while.
  void JobThatFitsNowhereForAWhileWaits() {
    World world(Targets(2));
    Open(world);
    world.Submit(PlainJob("former", 32, 1000));
    Run(world, Millis(100));
    world.Submit(Large("large", 12'000));
    Run(world, Millis(100));
    for (int i = 0; i < 2; ++i) {
      world.Resize(i, Room(6000), Millis(0));
    }
    Run(world, Millis(10'000));
    CPPUNIT_ASSERT(world.PhaseOf("large") == cell::JobPhase::kQueued);
    world.Resize(1, Room(kFullCpu), Millis(0));
    Run(world, Millis(1000));
    AssertCompleted(world, {"former", "large"});
  }

  // Guards against refusing for good what only has to wait, and against keeping
  // what fits on no target at its largest.
  void NewJobIsJudgedByTheLargestRooms() {
    World world(Targets(2));
    Open(world);
    for (int i = 0; i < 2; ++i) {
      world.Resize(i, Room(6000), Millis(0));
    }
    Run(world, Millis(1000));
    world.Submit(Large("large", 12'000));
    world.Submit(Large("too-large", kFullCpu + 1));
    Run(world, Millis(1000));
    CPPUNIT_ASSERT(world.KnownJobs().at("too-large").refused);
    CPPUNIT_ASSERT(!world.KnownJobs().at("large").refused);
    world.Resize(0, Room(kFullCpu), Millis(0));
    Run(world, Millis(1000));
    AssertCompleted(world, {"large"});
    AssertNoBreach(world, "rooms: ");
  }

  // ROOM_SEEDS=N plays more seeds by hand.
  void RoomsAreKeptUnderRandomChanges() {
    constexpr int kSeeds = 12;
    const char* wanted = std::getenv("ROOM_SEEDS");
    const int seeds = wanted == nullptr ? kSeeds : std::atoi(wanted);
    for (int seed = 1; seed <= seeds; ++seed) {
      PlayRandom(static_cast<std::uint64_t>(seed));
    }
  }

 private:
  static WorldOptions Targets(int count) {
    WorldOptions options;
    options.targets = count;
    options.capacity = Room(kFullCpu);
    options.room_grace = kArrival;
    return options;
  }

  static void Open(World& world) {
    world.SetRules({PlainQueue("plain"), PlainQueue("patient", 1)});
    Run(world, Millis(200));
  }

  static void Run(World& world, Millis time) {
    world.RunUntil(world.NowTime() + time);
  }

  /// Its queue isn't urgent, so that room is reserved for it.
  static cell::JobSpec Gang(const std::string& id, std::uint32_t tasks,
                            std::int64_t cpu) {
    cell::JobSpec spec = PlainJob(id);
    spec.queue = "patient";
    spec.steps = {PlainStep(tasks, cpu, 500)};
    spec.steps[0].gang = true;
    return spec;
  }

  static cell::JobSpec Large(const std::string& id, std::int64_t cpu) {
    cell::JobSpec spec = PlainJob(id);
    spec.steps = {PlainStep(1, cpu, 500)};
    return spec;
  }

  /// A target with 16 runs of 1000 millicores each.
  static SimTarget FullTarget(std::int64_t cpu) {
    SimTarget target;
    target.entry.id = "target";
    target.entry.capacity = Room(cpu);
    for (std::uint32_t i = 0; i < 16; ++i) {
      standins::SimRun run;
      run.demand.cpu_milli = 1000;
      target.running[{{"former", 0, 0, i}, 1}] = run;
    }
    return target;
  }

  /// Counts breaches by one more start, a time after the list has shown that
  /// there is no room for it any more.
  static std::size_t BreachesAfter(Millis time) {
    standins::JobChecker checker;
    SimTarget target = FullTarget(2 * kFullCpu);
    const Time now{Millis(1'000'000)};
    target.listed_capacity = target.entry.capacity;
    target.entry.capacity = Room(kFullCpu);
    standins::ShowCapacity(target, target.entry.capacity, now);
    checker.HandedIn(PlainJob("job"), now);
    checker.Accepted("job");
    const SimTarget others[] = {target};
    checker.Starting(others, target, {{"job", 0, 0, 0}, 1}, true, now + time);
    return checker.Breaches().size();
  }

  static void AssertNoBreach(const World& world, const std::string& name) {
    for (const std::string& breach : world.Breaches()) {
      CPPUNIT_FAIL(name + breach);
    }
  }

  static void AssertCompleted(World& world,
                              const std::vector<std::string>& jobs) {
    for (const std::string& job : jobs) {
      CPPUNIT_ASSERT_MESSAGE(job,
                             world.PhaseOf(job) == cell::JobPhase::kCompleted);
    }
    AssertNoBreach(world, "rooms: ");
  }

  /// The rest of a gang is stopped when its job is completed.
  static void AssertNothingStopped(const World& world) {
    for (const auto& [why, count] : world.Stops()) {
      if (why != "completed") {
        CPPUNIT_FAIL(std::to_string(count) + " stops: " + why);
      }
    }
  }

  /// Submits jobs at random times, some of which are cancelled.
  static void SubmitRandom(World& world, std::mt19937_64& random) {
    const auto number = [&random](std::int64_t least, std::int64_t most) {
      return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    };
    const Time begin = world.NowTime();
    for (int i = 0; i < 120; ++i) {
      cell::JobSpec job =
          PlainJob("job-" + std::to_string(i), 1,
                   static_cast<int>(number(1, 4) == 1 ? number(2000, 6000)
                                                      : number(100, 900)));
      job.queue = number(0, 1) == 0 ? "plain" : "patient";
      job.steps[0].count = static_cast<std::uint32_t>(number(1, 5));
      job.steps[0].gang = i % 6 == 0;
      job.steps[0].demand.cpu_milli = number(1, 6) * 1000;
      const Time at = begin + Millis(number(0, 20'000));
      world.At(at, [&world, job] { world.Submit(job); });
      if (number(0, 7) == 0) {
        world.At(at + Millis(number(50, 3000)), [&world, id = job.id] {
          if (world.KnownJobs().at(id).accepted) {
            world.Cancel(id);
          }
        });
      }
    }
  }

  /// Changes the capacity of a target until all rooms are full again.
  static void ResizeRandom(World& world, std::mt19937_64& random, int index) {
    const auto number = [&random](std::int64_t least, std::int64_t most) {
      return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    };
    const Time begin = world.NowTime();
    Time at = begin + Millis(number(0, 4000));
    while (at < begin + Millis(22'000)) {
      const Resources capacity =
          Room(number(0, 2) == 0 ? kFullCpu : 1000 * number(0, 16));
      const Millis list_after(number(0, 1500));
      world.At(at, [&world, index, capacity, list_after] {
        world.Resize(index, capacity, list_after);
      });
      at += Millis(number(200, 6000));
    }
    world.At(begin + Millis(25'000), [&world, index] {
      world.Resize(index, Room(kFullCpu), Millis(0));
    });
  }

  /// Lost and late orders, and cuts that are shorter than a lease.
  static void DisturbRandom(World& world, std::mt19937_64& random, int index) {
    const auto number = [&random](std::int64_t least, std::int64_t most) {
      return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    };
    standins::SimFaults& faults = world.Target(index).faults;
    faults.answers_lost = 0.01 * static_cast<double>(number(0, 12));
    faults.orders_late = 0.01 * static_cast<double>(number(0, 8));
    for (int i = 0; i < 3; ++i) {
      const Time from = world.NowTime() + Millis(number(0, 20'000));
      world.At(from,
               [&world, index] { world.Target(index).faults.cut = true; });
      world.At(from + Millis(number(50, 1500)),
               [&world, index] { world.Target(index).faults.cut = false; });
    }
  }

  /// Rooms change under load. In two of three worlds orders are lost or late,
  /// and the owner changes. In the others nothing may be stopped, and starts
  /// over a room end when the owner has read of it.
  static void PlayRandom(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto time = [&random](std::int64_t least, std::int64_t most) {
      return Millis(
          std::uniform_int_distribution<std::int64_t>(least, most)(random));
    };
    constexpr int kTargets = 6;
    const bool disturbed = seed % 3 != 0;
    WorldOptions options = Targets(kTargets);
    options.seed = seed;
    if (disturbed) {
      options.room_grace = standins::kRoomGrace;
    }
    World world(options);
    Open(world);
    const Time begin = world.NowTime();
    SubmitRandom(world, random);
    for (int i = 0; i < kTargets; ++i) {
      ResizeRandom(world, random, i);
      world.Target(i).faults.stop_time = time(0, kStopTime.count());
      if (disturbed) {
        DisturbRandom(world, random, i);
      }
    }
    Time next = begin;
    for (int i = 0; disturbed && i < 3; ++i) {
      next += time(2000, 9000);
      world.At(next, [&world] { world.ReplaceOwner(Millis(400)); });
    }
    world.RunUntil(begin + Millis(80'000));
    const std::string name = "seed " + std::to_string(seed) + ": ";
    AssertNoBreach(world, name);
    for (const auto& [id, job] : world.KnownJobs()) {
      // All tasks fit on a full target.
      CPPUNIT_ASSERT_MESSAGE(name + id, disturbed || !job.refused);
      if (job.accepted && !job.cancelled) {
        CPPUNIT_ASSERT_MESSAGE(name + id,
                               world.PhaseOf(id) == cell::JobPhase::kCompleted);
      }
    }
    for (const auto& [why, count] : world.Stops()) {
      if (!disturbed && why != "cancelled" && why != "completed") {
        CPPUNIT_FAIL(name + why);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetRoomTest);

}  // namespace
}  // namespace buckthornmux::tests
