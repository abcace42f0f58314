// A change of the owner while all targets have less capacity than before.
#include <cppunit/extensions/HelperMacros.h>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

class RoomTakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoomTakeoverTest);
  CPPUNIT_TEST(NextOwnerAcceptsAJobThatFitsTheLargestRooms);
  CPPUNIT_TEST(NextOwnerKnowsTheLargestRoomsOfAnyFormerOwner);
  CPPUNIT_TEST(OneOddRoomDoesNotDecideForTheNextOwner);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refusing a job for good that fits once the capacity of a
  // target has grown to what it was.
  void NextOwnerAcceptsAJobThatFitsTheLargestRooms() {
    World world(Targets());
    Open(world);
    ResizeAll(world, kSmallCpu);
    ReplaceOwner(world);
    SubmitLarge(world, kLargeCpu);
    CPPUNIT_ASSERT(!world.KnownJobs().at("large").refused);
  }

  // Guards against an owner that stores only what it has seen itself.
  void NextOwnerKnowsTheLargestRoomsOfAnyFormerOwner() {
    World world(Targets());
    Open(world);
    ResizeAll(world, kSmallCpu);
    ReplaceOwner(world);
    ResizeAll(world, kSmallCpu + 1000);
    ReplaceOwner(world);
    ReplaceOwner(world);
    SubmitLarge(world, kLargeCpu);
    CPPUNIT_ASSERT(!world.KnownJobs().at("large").refused);
  }

  // Guards against jobs that wait for ever since the list was wrong once.
  void OneOddRoomDoesNotDecideForTheNextOwner() {
    World world(Targets());
    Open(world);
    const Resources usual = Targets().capacity;
    Resources odd = usual;
    odd.cpu_milli *= 1000;
    world.Resize(0, odd, Millis(0));
    world.RunUntil(world.NowTime() + Millis(2000));
    world.Resize(0, usual, Millis(0));
    world.RunUntil(world.NowTime() + Millis(2000));
    ReplaceOwner(world);
    SubmitLarge(world, 2 * usual.cpu_milli);
    CPPUNIT_ASSERT(world.KnownJobs().at("large").refused);
  }

 private:
  static constexpr std::int64_t kSmallCpu = 6000;
  static constexpr std::int64_t kLargeCpu = 12'000;

  static WorldOptions Targets() {
    WorldOptions options;
    options.targets = 2;
    return options;
  }

  static void Open(World& world) {
    world.SetRules({PlainQueue("plain")});
    world.RunUntil(world.NowTime() + Millis(200));
  }

  static void ResizeAll(World& world, std::int64_t cpu_milli) {
    Resources room = Targets().capacity;
    room.cpu_milli = cpu_milli;
    for (int i = 0; i < Targets().targets; ++i) {
      world.Resize(i, room, Millis(0));
    }
    world.RunUntil(world.NowTime() + Millis(1000));
  }

  static void ReplaceOwner(World& world) {
    world.ReplaceOwner(Millis(300));
    world.RunUntil(world.NowTime() + Millis(1000));
  }

  static void SubmitLarge(World& world, std::int64_t cpu_milli) {
    cell::JobSpec job = PlainJob("large");
    job.steps[0].demand.cpu_milli = cpu_milli;
    world.Submit(job);
    world.RunUntil(world.NowTime() + Millis(1000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoomTakeoverTest);

}  // namespace
}  // namespace buckthornmux::tests
