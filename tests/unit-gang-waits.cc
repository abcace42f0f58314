// Gangs that wait beside room for them are shown, with what they wait for.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr int kTargets = 40;
constexpr int kLanes = 4;
constexpr std::uint32_t kTasks = 10;

cell::JobSpec Gang(const std::string& id) {
  cell::JobSpec job = PlainJob(id, kTasks, 60'000);
  job.queue = "advised";
  job.steps[0].gang = true;
  job.steps[0].demand.cpu_milli = 9000;
  return job;
}

WorldOptions Options(int lanes) {
  WorldOptions options;
  options.targets = kTargets;
  options.lanes = lanes;
  return options;
}

void Open(World& world, std::vector<cell::Team> teams = {}) {
  cell::Queue advised = PlainQueue("advised", 1);
  advised.advice = cell::AdviceRules{Millis(440), 6.2, Millis(2000)};
  world.SetRules({advised, PlainQueue("plain", 0)}, std::move(teams));
  world.RunUntil(world.NowTime() + Millis(300));
}

void Run(World& world, Millis lasts) {
  world.RunUntil(world.NowTime() + lasts);
}

std::string FieldOf(const World& world, const std::string& key) {
  const cell::Decision* line = world.LastDecision("gang_waits");
  CPPUNIT_ASSERT(line != nullptr);
  for (const auto& [name, value] : line->fields) {
    if (name == key) {
      return value;
    }
  }
  CPPUNIT_FAIL("no field " + key);
  return {};
}

class GangWaitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GangWaitsTest);
  CPPUNIT_TEST(WaitForLostAnswersIsShown);
  CPPUNIT_TEST(WaitForALaneIsShown);
  CPPUNIT_TEST(GangThatStartsIsNotShown);
  CPPUNIT_TEST(GangWithoutRoomIsNotShown);
  CPPUNIT_TEST(TimeAtTheLimitOfTheTeamDoesNotCount);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WaitForLostAnswersIsShown() {
    World world(Options(kLanes));
    Open(world);
    for (int lane = 0; lane < kLanes; ++lane) {
      world.CutLane(lane, Millis(60'000));
    }
    world.Submit(Gang("gang"));
    Run(world, Millis(6000));
    const cell::Load load = cell::LoadOf(world.State(), world.NowTime());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, load.gangs_waiting);
    CPPUNIT_ASSERT(load.longest_gang_wait >= Millis(3000));
    CPPUNIT_ASSERT_EQUAL(std::string("gang.0.0"), FieldOf(world, "gang"));
    CPPUNIT_ASSERT_EQUAL(std::string("advice"), FieldOf(world, "reason"));
    CPPUNIT_ASSERT(FieldOf(world, "through") != "none");
    CPPUNIT_ASSERT(std::stoi(FieldOf(world, "unanswered")) >= 1);
    CPPUNIT_ASSERT(std::stoi(FieldOf(world, "calls")) >= 2);
  }

  void WaitForALaneIsShown() {
    World world(Options(0));
    Open(world);
    world.Submit(Gang("gang"));
    Run(world, Millis(4000));
    CPPUNIT_ASSERT_EQUAL(std::string("lane"), FieldOf(world, "reason"));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), FieldOf(world, "through"));
  }

  void GangThatStartsIsNotShown() {
    World world(Options(kLanes));
    Open(world);
    world.Submit(Gang("gang"));
    Run(world, Millis(6000));
    CPPUNIT_ASSERT(world.StartsOf({"gang", 0, 0, 0}) > 0);
    CPPUNIT_ASSERT(world.LastDecision("gang_waits") == nullptr);
    const cell::Load load = cell::LoadOf(world.State(), world.NowTime());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, load.gangs_waiting);
  }

  void GangWithoutRoomIsNotShown() {
    World world(Options(0));
    Open(world);
    cell::JobSpec filling = PlainJob("filling", kTargets, 60'000);
    filling.steps[0].demand.cpu_milli = 16'000;
    world.Submit(filling);
    Run(world, Millis(1000));
    world.Submit(Gang("gang"));
    Run(world, Millis(6000));
    CPPUNIT_ASSERT(world.LastDecision("gang_waits") == nullptr);
  }

  void TimeAtTheLimitOfTheTeamDoesNotCount() {
    constexpr Millis kAtLimit{5000};
    constexpr Millis kAfter{3000};
    World world(Options(0));
    Open(world, {{.name = "team-0", .maximum = {0, 100'000, 0, 0}}});
    world.Submit(Gang("gang"));
    Run(world, Millis(4000));
    CPPUNIT_ASSERT(world.LastDecision("gang_waits") != nullptr);
    cell::JobSpec other = PlainJob("other", 10, kAtLimit.count());
    other.steps[0].demand.cpu_milli = 10'000;
    world.Submit(other);
    Run(world, kAtLimit + kAfter);
    CPPUNIT_ASSERT(std::stoi(FieldOf(world, "beside_room_ms")) <=
                   kAfter.count());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GangWaitsTest);

}  // namespace
}  // namespace buckthornmux::tests
