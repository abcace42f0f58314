// State of one life of a target that could be applied to another: leases,
// capacities and entries of the list.
#include <cppunit/extensions/HelperMacros.h>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

class TargetLivesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLivesTest);
  CPPUNIT_TEST(LeaseOfOtherRunsAfterAStartWithAFormerClock);
  CPPUNIT_TEST(HandoverOfAStartWithAFormerClock);
  CPPUNIT_TEST(ListWithoutALife);
  CPPUNIT_TEST(ListBehindForANewOwner);
  CPPUNIT_TEST(CapacityOfTheNewLife);
  CPPUNIT_TEST_SUITE_END();

  static WorldOptions Targets(int count) {
    WorldOptions options;
    options.targets = count;
    return options;
  }
  static void Open(World& world) {
    world.SetRules({PlainQueue("plain")});
    world.RunUntil(world.NowTime() + Millis(200));
  }
  static void Assert(const World& world) {
    std::string all;
    for (const std::string& breach : world.Breaches()) {
      if (!breach.starts_with("again: ")) {
        all += breach;
        all += "; ";
      }
    }
    CPPUNIT_ASSERT_MESSAGE(all, all.empty());
  }
  static std::vector<cell::TargetEntry> List(World& world, int count) {
    std::vector<cell::TargetEntry> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      list.push_back(world.Target(i).entry);
    }
    return list;
  }

 public:
  // Restart, a start with the former clock, ONE report of the new life, then
  // the target is cut off for good.
  void LeaseOfOtherRunsAfterAStartWithAFormerClock() {
    World world(Targets(3));
    Open(world);
    world.Target(0).faults.cut = true;  // The restart isn't noticed.
    world.Restart(0, Millis(20), Millis(300), 2);
    world.RunUntil(world.NowTime() + Millis(30));
    world.Target(0).faults.cut = false;
    world.RunUntil(world.NowTime() + Millis(10));
    world.Submit(PlainJob("job", 40, 20'000));
    // Cut as soon as a report has listed a run in the new life.
    for (int i = 0; i < 2000; ++i) {
      world.RunUntil(world.NowTime() + Millis(5));
      const auto& target = world.State().targets.at("target-0");
      bool reported = target.entry.life == 2 && target.reported;
      for (const auto& [id, run] : target.runs) {
        reported = reported && run.listed;
      }
      if (reported && !target.runs.empty()) {
        break;
      }
    }
    CPPUNIT_ASSERT(!world.Target(0).running.empty());
    world.Target(0).faults.cut = true;
    world.RunUntil(world.NowTime() + Millis(12'000));
    Assert(world);
  }

  // The state given to the next owner names the ends of leases.
  void HandoverOfAStartWithAFormerClock() {
    World world(Targets(3));
    Open(world);
    world.Target(0).faults.cut = true;  // The restart isn't noticed.
    world.Restart(0, Millis(20), Millis(300), 2);
    world.RunUntil(world.NowTime() + Millis(30));
    world.Target(0).faults.cut = false;
    world.RunUntil(world.NowTime() + Millis(10));
    world.Submit(PlainJob("job", 20, 20'000));
    world.RunUntil(world.NowTime() + Millis(20));
    // Nothing is executed by the clock of the former process.
    CPPUNIT_ASSERT(world.Target(0).running.empty());
    world.RunUntil(world.NowTime() + Millis(1500));
    world.Submit(PlainJob("other", 20, 20'000));
    world.RunUntil(world.NowTime() + Millis(20));
    CPPUNIT_ASSERT(!world.Target(0).running.empty());
    world.Target(0).faults.cut = true;
    world.RunUntil(world.NowTime() + Millis(1000));
    const std::string state =
        cell::EncodeFormerOwnerState(world.State(), world.NowTime());
    const Time at = world.NowTime();
    world.ReplaceOwner(Millis(200));
    world.RunUntil(world.NowTime() + Millis(250));
    cell::Actions actions;
    const auto left = Capture([&] {
      return cell::ApplyFormerOwnerState(world.State(), actions, state,
                                         world.NowTime() - at, world.NowTime());
    });
    CPPUNIT_ASSERT(std::holds_alternative<std::size_t>(left));
    world.RunUntil(world.NowTime() + Millis(14'000));
    Assert(world);
  }

  // An entry whose start time is missing (another writer).
  void ListWithoutALife() {
    World world(Targets(3));
    Open(world);
    world.Submit(PlainJob("job", 40, 6000));
    world.RunUntil(world.NowTime() + Millis(1500));
    CPPUNIT_ASSERT_EQUAL(40, world.Starts());
    auto list = List(world, 3);
    list[0].life = 0;
    CPPUNIT_ASSERT(!world.Target(0).running.empty());
    cell::Actions actions;
    cell::SetTargets(world.State(), actions, list, world.NowTime(),
                     world.NowTime());
    world.RunUntil(world.NowTime() + Millis(3000));
    Assert(world);
  }

  // A new owner sees the new life first, then a list that is behind.
  void ListBehindForANewOwner() {
    World world(Targets(3));
    Open(world);
    world.Restart(0, Millis(20), Millis(50), 2);
    world.RunUntil(world.NowTime() + Millis(1500));
    world.Submit(PlainJob("job", 40, 8000));
    world.RunUntil(world.NowTime() + Millis(800));
    world.ReplaceOwner(Millis(400));
    world.RunUntil(world.NowTime() + Millis(1500));
    CPPUNIT_ASSERT_EQUAL(40, world.Starts());
    auto list = List(world, 3);
    list[0].life = 1;
    CPPUNIT_ASSERT(!world.Target(0).running.empty());
    cell::Actions actions;
    cell::SetTargets(world.State(), actions, list, world.NowTime(),
                     world.NowTime());
    world.RunUntil(world.NowTime() + Millis(3000));
    Assert(world);
  }

  // The new process has less room, and the list shows it later than a report.
  void CapacityOfTheNewLife() {
    World world(Targets(1));
    Open(world);
    world.Restart(0, Millis(20), Millis(3000), 2);
    world.Target(0).entry.capacity.cpu_milli = 8000;
    world.RunUntil(world.NowTime() + Millis(1400));
    CPPUNIT_ASSERT(world.State().targets.at("target-0").reported);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                         world.State().targets.at("target-0").entry.life);
    world.Submit(PlainJob("job", 16, 2000));
    world.RunUntil(world.NowTime() + Millis(3000));
    Assert(world);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLivesTest);

}  // namespace
}  // namespace buckthornmux::tests
