// Speed of targets as estimated from run times, and its use by placement.
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

#include "cell_world.h"
#include "plain_cell.h"
#include "src/cell/placement/target_speed.h"

namespace buckthornmux::tests {
namespace {

constexpr Time kBegin{Millis(1'000'000)};
constexpr Millis kBetweenSteps{10};
constexpr int kTasks = 4;
/// Tasks of a step differ by a third, and steps by a factor of ten and more.
constexpr double kTaskSpread = 0.3;
constexpr double kStepSpread = 1.5;

/// Plays steps whose tasks run on random targets.
std::vector<cell::TargetSpeed> Play(const std::vector<double>& factors,
                                    int steps, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::normal_distribution<double> normal;
  std::vector<cell::TargetSpeed> speeds(factors.size());
  Time now = kBegin;
  for (int step = 0; step < steps; ++step, now += kBetweenSteps) {
    const double usual = 600 * std::exp(kStepSpread * normal(random));
    std::map<Millis, std::size_t> ends;  // Short runs end first.
    for (int i = 0; i < kTasks; ++i) {
      const std::size_t target = random() % factors.size();
      const double time =
          usual * factors[target] * std::exp(kTaskSpread * normal(random));
      ends[Millis(std::llround(time))] = target;
    }
    std::map<std::size_t, Millis> run_times;
    for (const auto& [run_time, target] : ends) {
      std::vector<cell::SpeedPeer> peers;
      for (const auto& [other, time] : run_times) {
        if (other != target) {
          peers.push_back({&speeds[other], time});
        }
      }
      cell::AddRunTime(speeds[target], run_time, peers, now);
      run_times[target] = run_time;
    }
  }
  return speeds;
}

Time EndOf(int steps) { return kBegin + steps * kBetweenSteps; }

std::vector<double> Estimates(const std::vector<cell::TargetSpeed>& speeds,
                              Time now) {
  std::vector<double> estimates;
  estimates.reserve(speeds.size());
  for (const cell::TargetSpeed& speed : speeds) {
    estimates.push_back(cell::RelativeRunTime(speed, now));
  }
  return estimates;
}

constexpr int kTargets = 20;

/// Plays short jobs in a cell whose first half of targets is slow.
void WarmUp(World& world, double slow) {
  // Speeds count only where a stop takes longer than urgent jobs may wait.
  world.State().options.stop_time = Millis(2000);
  for (int i = 0; i < kTargets / 2; ++i) {
    world.Target(i).faults.slowdown = slow;
  }
  world.SetRules({PlainQueue("plain")});
  world.RunUntil(world.NowTime() + Millis(300));
  constexpr int kJobs = 400;
  for (int i = 0; i < kJobs; ++i) {
    cell::JobSpec job = PlainJob("job-" + std::to_string(i), 40, 150);
    job.steps[0].max_per_target = 2;
    world.Submit(job);
    world.RunUntil(world.NowTime() + Millis(100));
  }
  world.RunUntil(world.NowTime() + Millis(5000));
}

WorldOptions SpeedWorld() {
  WorldOptions options;
  options.targets = kTargets;
  return options;
}

/// Runs of a job on fast targets.
int CountOnFast(World& world, const std::string& job) {
  int count = 0;
  for (int i = kTargets / 2; i < kTargets; ++i) {
    for (const auto& [run, sim] : world.Target(i).running) {
      count += run.task.job == job ? 1 : 0;
    }
  }
  return count;
}

class TargetSpeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetSpeedTest);
  CPPUNIT_TEST(FindsSpeedsOfTargets);
  CPPUNIT_TEST(AlikeTargetsAreAlike);
  CPPUNIT_TEST(ForgetsSpeeds);
  CPPUNIT_TEST(ProgressShowsSlowTargetFirst);
  CPPUNIT_TEST(UrgentWorkGoesToFastTargets);
  CPPUNIT_TEST(GangsAvoidSlowTargets);
  CPPUNIT_TEST(AlikeTargetsAreUsedAsBefore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against estimates that noise or the order of ends distort: after 40
  // runs a target, nine in ten must be within a fifth of the truth.
  void FindsSpeedsOfTargets() {
    std::vector<double> factors;
    factors.reserve(100);
    for (int i = 0; i < 100; ++i) {
      factors.push_back(0.7 + i * 0.01);
    }
    constexpr int kSteps = 1000;
    const auto estimates = Estimates(Play(factors, kSteps, 1), EndOf(kSteps));
    CPPUNIT_ASSERT(cell::DoSpeedsDiffer(estimates));
    double mean = 0;
    for (const double factor : factors) {
      mean += std::log(factor) / static_cast<double>(factors.size());
    }
    int near = 0;
    for (std::size_t i = 0; i < factors.size(); ++i) {
      const double error =
          std::log(estimates[i]) - (std::log(factors[i]) - mean);
      near += std::abs(error) < std::log(1.2) ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(near), near >= 90);
  }

  // Guards against differences by chance, in 200 plays of 100 targets.
  void AlikeTargetsAreAlike() {
    int differ = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      constexpr int kSteps = 500;
      const auto estimates = Estimates(
          Play(std::vector<double>(100, 1.0), kSteps, seed), EndOf(kSteps));
      differ += cell::DoSpeedsDiffer(estimates) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(0, differ);
  }

  // Guards against estimates of targets that nothing has run on for long.
  void ForgetsSpeeds() {
    const std::vector<double> factors{0.7, 1, 1, 1, 1, 1, 1, 1.7};
    constexpr int kSteps = 400;
    const auto speeds = Play(factors, kSteps, 1);
    CPPUNIT_ASSERT(cell::RelativeRunTime(speeds[0], EndOf(kSteps)) < 0.85);
    CPPUNIT_ASSERT(cell::RelativeRunTime(speeds[7], EndOf(kSteps)) > 1.3);
    const Time later = EndOf(kSteps) + Millis(600'000);
    CPPUNIT_ASSERT_EQUAL(1.0, cell::RelativeRunTime(speeds[0], later));
    CPPUNIT_ASSERT_EQUAL(1.0, cell::RelativeRunTime(speeds[7], later));
  }

  // Guards against a fast target that keeps its work after it has turned slow.
  void ProgressShowsSlowTargetFirst() {
    CPPUNIT_ASSERT_EQUAL(2.0, cell::ExpectedRunTime(0.7, 2.0));
    CPPUNIT_ASSERT_EQUAL(0.7, cell::ExpectedRunTime(0.7, 1.0));
  }

  // Guards against urgent work on slow targets while fast ones have room. The
  // tasks are too short for their progress to be seen.
  void UrgentWorkGoesToFastTargets() {
    World world(SpeedWorld());
    WarmUp(world, 1.7);
    constexpr int kJobs = 50;
    int fast = 0;
    for (int i = 0; i < kJobs; ++i) {
      const std::string id = "single-" + std::to_string(i);
      world.Submit(PlainJob(id, 1, 200));
      world.RunUntil(world.NowTime() + Millis(50));
      fast += CountOnFast(world, id);
      world.RunUntil(world.NowTime() + Millis(1000));
    }
    CPPUNIT_ASSERT_EQUAL(kJobs, fast);
  }

  // Guards against gangs with a slow member while fast targets have room.
  void GangsAvoidSlowTargets() {
    World world(SpeedWorld());
    WarmUp(world, 1.7);
    constexpr int kMembers = 10;
    cell::JobSpec gang = PlainJob("gang", kMembers, 1000);
    gang.steps[0].gang = true;
    gang.steps[0].max_per_target = 1;
    world.Submit(gang);
    world.RunUntil(world.NowTime() + Millis(50));
    CPPUNIT_ASSERT_EQUAL(kMembers, CountOnFast(world, "gang"));
  }

  // Guards against an effect in cells whose targets are alike.
  void AlikeTargetsAreUsedAsBefore() {
    World world(SpeedWorld());
    WarmUp(world, 1);
    std::vector<double> run_times;
    for (const auto& [id, target] : world.State().targets) {
      run_times.push_back(
          cell::RelativeRunTime(target.health.speed, world.NowTime()));
    }
    CPPUNIT_ASSERT(!cell::DoSpeedsDiffer(run_times));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSpeedTest);

}  // namespace
}  // namespace buckthornmux::tests
