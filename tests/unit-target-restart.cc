// Targets whose process restarts, under the id that it had or under another.
#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <random>
#include <set>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

/// A restarted target of the world has a higher life than any before.
constexpr std::int64_t kNextLife = 2;

class TargetRestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetRestartTest);
  CPPUNIT_TEST(RunOfANewLifeIsKeptWhenTheListShowsThatLife);
  CPPUNIT_TEST(RunsOfAFormerLifeStartAgainElsewhere);
  CPPUNIT_TEST(LifeWithALowerStartTimeIsReportedAndServed);
  CPPUNIT_TEST(NothingRunsTwiceUnderRandomRestarts);
  CPPUNIT_TEST(NothingRunsTwiceUnderLongCutsAndManyOwners);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a second run of a task whose first run was started by the
  // new process of its target before the owner knew of that process.
  void RunOfANewLifeIsKeptWhenTheListShowsThatLife() {
    World world(Targets(3));
    Open(world);
    for (const int index : {0, 1}) {
      world.Target(index).faults.cut = true;  // The restart isn't noticed.
      world.Restart(index, Millis(20), Millis(300), kNextLife);
    }
    world.RunUntil(world.NowTime() + Millis(30));
    world.Target(0).faults.cut = false;
    world.Target(1).faults.cut = false;
    world.RunUntil(world.NowTime() + Millis(10));
    world.Submit(PlainJob("job", 20, 800));
    world.RunUntil(world.NowTime() + Millis(6000));
    AssertNoBreach(world, "restart: ");
    CPPUNIT_ASSERT_EQUAL(20, world.Starts());
    CPPUNIT_ASSERT(world.PhaseOf("job") == cell::JobPhase::kCompleted);
  }

  void RunsOfAFormerLifeStartAgainElsewhere() {
    World world(Targets(2));
    Open(world);
    world.Submit(PlainJob("job", 8, 3000));
    world.RunUntil(world.NowTime() + Millis(1200));
    CPPUNIT_ASSERT_EQUAL(8, world.Starts());
    const bool on_first = !world.Target(0).running.empty();
    world.Restart(on_first ? 0 : 1, Millis(50), Millis(100), kNextLife);
    world.RunUntil(world.NowTime() + Millis(400));
    CPPUNIT_ASSERT_EQUAL(16, world.Starts());
    world.RunUntil(world.NowTime() + Millis(4000));
    AssertNoBreach(world, "restart: ");
    CPPUNIT_ASSERT(world.PhaseOf("job") == cell::JobPhase::kCompleted);
  }

  // Guards against ignoring all reports of a process whose wall clock was set
  // back before it started.
  void LifeWithALowerStartTimeIsReportedAndServed() {
    World world(Targets(1));
    Open(world);
    world.Restart(0, Millis(50), Millis(100), -5);
    world.RunUntil(world.NowTime() + Millis(2500));
    world.Submit(PlainJob("job", 4, 800));
    world.RunUntil(world.NowTime() + Millis(3000));
    AssertNoBreach(world, "restart: ");
    CPPUNIT_ASSERT(world.PhaseOf("job") == cell::JobPhase::kCompleted);
  }

  // RESTART_SEEDS=N plays more seeds by hand.
  void NothingRunsTwiceUnderRandomRestarts() {
    constexpr std::uint64_t kSeeds = 12;
    for (std::uint64_t seed = 1; seed <= SeedsOr(kSeeds); ++seed) {
      PlayRandom(seed, Faults());
    }
  }

  // Guards against a second run of a task that a target's new process executes
  // by the clock of the former one, so that its lease outlasts the next owner's
  // wait. In each of the named seeds such a run was started again.
  void NothingRunsTwiceUnderLongCutsAndManyOwners() {
    constexpr std::uint64_t kSeeds = 12;
    const Faults faults{.answers_lost = 0.4,
                        .orders_late = 0.3,
                        .longest_cut = Millis(7000),
                        .owners = 6,
                        .shortest_term = Millis(400),
                        .longest_term = Millis(5000)};
    for (const std::uint64_t seed : {120U, 392U, 815U, 961U, 1796U, 2058U}) {
      PlayRandom(seed, faults);
    }
    for (std::uint64_t seed = 1; seed <= SeedsOr(kSeeds); ++seed) {
      PlayRandom(seed, faults);
    }
  }

 private:
  /// Upper bounds of the faults of a random play.
  struct Faults {
    double answers_lost = 0.1;  ///< Share of starts that are not answered.
    double orders_late = 0.06;  ///< Share of starts executed seconds later.
    Millis longest_cut{900};
    int owners = 3;  ///< Number of changes of the owner.
    Millis shortest_term{2000};
    Millis longest_term{9000};
  };

  static std::uint64_t SeedsOr(std::uint64_t number) {
    const char* wanted = std::getenv("RESTART_SEEDS");
    return wanted == nullptr ? number : std::strtoull(wanted, nullptr, 10);
  }

  static WorldOptions Targets(int count) {
    WorldOptions options;
    options.targets = count;
    return options;
  }

  static void Open(World& world) {
    world.SetRules({PlainQueue("plain")});
    world.RunUntil(world.NowTime() + Millis(200));
  }

  static void AssertNoBreach(const World& world, const std::string& name) {
    for (const std::string& breach : world.Breaches()) {
      // An end as done that was lost with the target's process may be repeated.
      CPPUNIT_ASSERT_MESSAGE(name + breach, breach.starts_with("again: "));
    }
  }

  /// Restarts, lost and late answers, cuts and changes of the owner under load.
  static void PlayRandom(std::uint64_t seed, const Faults& faults) {
    std::mt19937_64 random(seed);
    const auto number = [&random](std::int64_t least, std::int64_t most) {
      return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    };
    const auto time = [&number](std::int64_t least, std::int64_t most) {
      return Millis(number(least, most));
    };
    const auto share = [&random](double most) {
      return std::uniform_real_distribution<double>(0, most)(random);
    };
    constexpr int kTargets = 8;
    WorldOptions options = Targets(kTargets);
    options.seed = seed;
    World world(options);
    Open(world);
    const Time begin = world.NowTime();
    for (int i = 0; i < 120; ++i) {
      cell::JobSpec job =
          PlainJob("job-" + std::to_string(i), 2,
                   static_cast<int>(number(1, 4) == 1 ? number(2000, 6000)
                                                      : number(100, 900)));
      job.steps[0].gang = i % 8 == 0;
      job.steps[0].demand.cpu_milli = number(1, 3) * 1000;
      world.At(begin + time(0, 20'000), [&world, job] { world.Submit(job); });
    }
    for (int i = 0; i < kTargets; ++i) {
      world.Target(i).faults.answers_lost = share(faults.answers_lost);
      world.Target(i).faults.orders_late = share(faults.orders_late);
      std::int64_t life = 1;
      std::set<std::int64_t> lives{life};
      Time at = begin + time(0, 4000);
      while (at < begin + Millis(20'000)) {
        // Wall clocks are set back and forth between the lives.
        do {
          life += number(0, 3) == 0 ? -number(2, 900) : number(2, 1000);
        } while (life == 0 || !lives.insert(life).second);
        const Millis down = time(5, number(0, 1) == 0 ? 60 : 2500);
        const Millis list_after = time(0, 2500);
        const bool renamed = number(0, 4) == 0;
        const bool noticed = number(0, 1) == 0;
        world.At(at, [&world, i, down, list_after, life, renamed, noticed] {
          if (!noticed) {
            world.Target(i).faults.cut = true;
            world.At(world.NowTime() + down,
                     [&world, i] { world.Target(i).faults.cut = false; });
          }
          if (renamed) {
            world.Rename(i, down, list_after, life);
          } else {
            world.Restart(i, down, list_after, life);
          }
        });
        if (number(0, 3) == 0) {
          const Time from = at + down + time(0, 700);
          world.At(from, [&world, i] { world.Target(i).faults.cut = true; });
          world.At(from + time(100, faults.longest_cut.count()),
                   [&world, i] { world.Target(i).faults.cut = false; });
        }
        at += down + list_after + time(1000, 8000);
      }
    }
    Time next = begin;
    for (int i = 0; i < faults.owners; ++i) {
      next += time(faults.shortest_term.count(), faults.longest_term.count());
      world.At(next, [&world] { world.ReplaceOwner(Millis(400)); });
    }
    world.RunUntil(begin + Millis(70'000));
    const std::string name = "seed " + std::to_string(seed) + ": ";
    AssertNoBreach(world, name);
    for (const auto& [id, job] : world.KnownJobs()) {
      if (job.accepted) {
        const auto phase = world.PhaseOf(id);
        CPPUNIT_ASSERT_MESSAGE(
            name + id,
            phase == cell::JobPhase::kCompleted ||
                (phase == cell::JobPhase::kFailed && world.MayBeGivenUp(id)));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetRestartTest);

}  // namespace
}  // namespace buckthornmux::tests
