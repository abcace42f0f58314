// A change of the owner while all targets have less capacity than before.
#include <cppunit/extensions/HelperMacros.h>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

class RoomTakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoomTakeoverTest);
  CPPUNIT_TEST(NextOwnerAcceptsAJobThatFitsTheLargestRooms);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against refusing a job for good that fits once the capacity of a
  // target has grown to what it was.
  void NextOwnerAcceptsAJobThatFitsTheLargestRooms() {
    constexpr std::int64_t kSmallCpu = 6000;
    constexpr std::int64_t kLargeCpu = 12'000;
    WorldOptions options;
    options.targets = 2;
    World world(options);
    world.SetRules({PlainQueue("plain")});
    world.RunUntil(world.NowTime() + Millis(200));
    for (int i = 0; i < options.targets; ++i) {
      Resources room = options.capacity;
      room.cpu_milli = kSmallCpu;
      world.Resize(i, room, Millis(0));
    }
    world.RunUntil(world.NowTime() + Millis(1000));
    world.ReplaceOwner(Millis(300));
    world.RunUntil(world.NowTime() + Millis(1000));
    cell::JobSpec job = PlainJob("large");
    job.steps[0].demand.cpu_milli = kLargeCpu;
    world.Submit(job);
    world.RunUntil(world.NowTime() + Millis(1000));
    CPPUNIT_ASSERT(!world.KnownJobs().at("large").refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoomTakeoverTest);

}  // namespace
}  // namespace buckthornmux::tests
