// Room and advice for urgent work in a full cell in which a stop takes longer
// than urgent jobs may wait.
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

#include "load_patterns.h"
#include "src/cell/advice/advice_limit.h"
#include "src/cell/placement/headroom.h"

namespace buckthornmux::tests {
namespace {

constexpr Millis kLongStop{900};
constexpr int kTargets = 100;
constexpr double kScale = kTargets / kGrownTargets;

/// Queues with large tasks, and with an adviser that takes long for gangs.
UserQueues MakeHardQueues() {
  UserQueues queues = MakeGrownQueues();
  queues.gangs.advice = cell::AdviceRules{Millis(559), 8.06, Millis(2500)};
  queues.batches.advice = cell::AdviceRules{Millis(130), 1.82, Millis(2500)};
  queues.urgent.advice = cell::AdviceRules{Millis(9), 0.13, Millis(2500)};
  queues.gang_shape.width = 20;
  queues.gang_shape.cpu_milli = 9000;
  queues.gang_shape.max_cpu_milli = 15'000;
  queues.gang_shape.run_ms = 3400;
  queues.batch_shape.cpu_milli = 3500;
  queues.batch_shape.max_cpu_milli = 10'000;
  queues.batch_shape.run_ms = 2300;
  queues.urgent_shape.cpu_milli = 5000;
  queues.urgent_shape.max_cpu_milli = 15'000;
  queues.urgent_shape.run_ms = 540;
  queues.urgent_shape.max_run_ms = 1600;
  return queues;
}

struct Outcome {
  double urgent = 0;
  /// Processor that whole urgent tasks could use, and the headroom, in
  /// millicores: sums over the samples of the burst.
  std::int64_t usable = 0;
  std::int64_t headroom = 0;
  std::string breach;
};

std::int64_t UsableIn(const cell::Cell& cell) {
  const auto task = std::llround(cell.urgent_arrivals.task_cpu);
  std::int64_t usable = 0;
  for (const auto& [id, target] : cell.targets) {
    usable += cell::UsableByUrgent(
        target.entry.capacity.cpu_milli - target.used.cpu_milli, task);
  }
  return usable;
}

/// Plays the usual load with batches far beyond the room for 6 s.
Outcome PlayFullCell(Millis stop_time, std::uint64_t seed) {
  WorldOptions options = GrownWorld(seed, kTargets);
  options.capacity = {0, 32'000, 131'072, 0};
  World world(options);
  world.State().options.stop_time = stop_time;
  const UserQueues queues = MakeHardQueues();
  std::vector<cell::Team> teams;
  teams.reserve(kGrownTeams);
  for (int i = 0; i < kGrownTeams; ++i) {
    teams.push_back({.name = "team-" + std::to_string(i), .weight = 100});
  }
  world.SetRules({queues.gangs, queues.batches, queues.urgent}, teams);
  world.RunUntil(world.NowTime() + Millis(500));
  const Time begin = world.NowTime();
  AddGrownLoad(world, queues, kScale, begin + Millis(16'000));
  AddBurst(world, queues.batches, queues.batch_shape, 200 * kScale,
           begin + Millis(3000), Millis(6000));
  Outcome outcome;
  for (Time at = begin + Millis(5000); at < begin + Millis(9000);
       at += Millis(50)) {
    world.RunUntil(at);
    outcome.usable += UsableIn(world.State());
    outcome.headroom += cell::HeadroomFor(world.State().urgent_arrivals,
                                          world.State().capacity_cpu, at);
  }
  world.RunUntil(begin + Millis(20'000));
  outcome.urgent = world.CountOf("urgent").InTimeShare();
  if (!world.Breaches().empty()) {
    outcome.breach = world.Breaches().front();
  }
  return outcome;
}

std::string TextOf(const Outcome& outcome) {
  return "urgent in time " + std::to_string(outcome.urgent) + ", usable " +
         std::to_string(outcome.usable) + " of " +
         std::to_string(outcome.headroom);
}

class FullCellTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FullCellTest);
  CPPUNIT_TEST(UrgentWorkFindsRoomInAFullCell);
  CPPUNIT_TEST(HeadroomFollowsArrivals);
  CPPUNIT_TEST(ShortStopsNeedNoHeadroom);
  CPPUNIT_TEST(WholeTasksOfHeadroomCount);
  CPPUNIT_TEST(RatesForgetOldAmounts);
  CPPUNIT_TEST(AdviceIsLimitedByRoom);
  CPPUNIT_TEST(LanesFollowUrgentCalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against batches that take all room before urgent work arrives: most
  // of the headroom has to be free, also during a burst of batches.
  void UrgentWorkFindsRoomInAFullCell() {
    constexpr double kUrgentTarget = 0.99;
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      const Outcome outcome = PlayFullCell(kLongStop, seed);
      CPPUNIT_ASSERT_EQUAL(std::string(), outcome.breach);
      CPPUNIT_ASSERT_MESSAGE(TextOf(outcome), outcome.headroom > 0);
      CPPUNIT_ASSERT_MESSAGE(TextOf(outcome),
                             4 * outcome.usable >= 3 * outcome.headroom);
      CPPUNIT_ASSERT_MESSAGE(TextOf(outcome), outcome.urgent >= kUrgentTarget);
    }
  }

  // Guards against headroom that stays when no urgent work comes, or that takes
  // more than its part of the cell.
  void HeadroomFollowsArrivals() {
    cell::UrgentArrivals arrivals;
    const Time begin{Millis(1'000'000)};
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                         cell::HeadroomFor(arrivals, 1'000'000, begin));
    Time now = begin;
    for (; now < begin + Millis(4000); now += Millis(10)) {
      cell::NoteUrgentArrival(arrivals, 1000, 1, Millis(1000), Millis(500),
                              now);
    }
    // 100 cores a second for 300 ms.
    const std::int64_t headroom = cell::HeadroomFor(arrivals, 1'000'000, now);
    CPPUNIT_ASSERT(headroom >= 29'000 && headroom <= 31'000);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{15'000},
                         cell::HeadroomFor(arrivals, 100'000, now));
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t{0},
        cell::HeadroomFor(arrivals, 1'000'000, now + Millis(2000)));
  }

  // Guards against headroom in cells where a stop makes room in time.
  void ShortStopsNeedNoHeadroom() {
    cell::UrgentArrivals arrivals;
    CPPUNIT_ASSERT(!cell::OverloadControlOn(kLongStop, arrivals));
    cell::NoteUrgentArrival(arrivals, 1000, 1, Millis(1000), Millis(500),
                            Time(Millis(1)));
    CPPUNIT_ASSERT(cell::OverloadControlOn(kLongStop, arrivals));
    CPPUNIT_ASSERT(!cell::OverloadControlOn(Millis(400), arrivals));
  }

  // Guards against headroom in pieces that no urgent task fits into.
  void WholeTasksOfHeadroomCount() {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5000}, cell::UsableByUrgent(9999, 5000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, cell::UsableByUrgent(-1, 5000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                         cell::HeadroomTaken(9000, 4000, 5000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5000},
                         cell::HeadroomTaken(9000, 5000, 5000));
  }

  // Guards against rates of long ago after a pause of arrivals.
  void RatesForgetOldAmounts() {
    cell::RateGauge gauge;
    const Time begin{Millis(1'000'000)};
    cell::AddAmount(gauge, 400, begin);
    cell::AddAmount(gauge, 200, begin + Millis(200));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{150}, cell::PerSecond(gauge));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{600},
                         cell::PeakWithin(gauge, Millis(300)));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{400},
                         cell::PeakWithin(gauge, Millis(100)));
    cell::AdvanceTo(gauge, begin + Millis(4000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{50}, cell::PerSecond(gauge));
    cell::AdvanceTo(gauge, begin + Millis(20'000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, cell::PerSecond(gauge));
  }

  // Guards against tickets that expire unused while urgent steps wait for a
  // lane.
  void AdviceIsLimitedByRoom() {
    cell::AdviceLimit limit = cell::MakeAdviceLimit(10'000, 4000, 2.5);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{40'000}, limit.usable);
    CPPUNIT_ASSERT(cell::MayAsk(limit, false));
    limit.covered = 40'000;
    CPPUNIT_ASSERT(!cell::MayAsk(limit, false));
    CPPUNIT_ASSERT(cell::MayAsk(limit, true));
    CPPUNIT_ASSERT(cell::MayAsk(cell::AdviceLimit(), false));
  }

  void LanesFollowUrgentCalls() {
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, cell::LanesForUrgent(0, 34, 2));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{5}, cell::LanesForUrgent(3, 34, 2));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{11}, cell::LanesForUrgent(20, 34, 2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FullCellTest);

}  // namespace
}  // namespace buckthornmux::tests
