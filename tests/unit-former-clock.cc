// A start with the clock of a target's former process, and a killed owner.
#include <cppunit/extensions/HelperMacros.h>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

class FormerClockTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FormerClockTest);
  CPPUNIT_TEST(KilledOwnerAfterAStartWithAFormerClock);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a next owner that starts tasks again although their target,
  // cut off since, has a longer lease than the killed owner could know.
  void KilledOwnerAfterAStartWithAFormerClock() {
    WorldOptions options;
    options.targets = 3;
    World world(options);
    world.SetRules({PlainQueue("plain")});
    world.RunUntil(world.NowTime() + Millis(200));
    world.Target(0).faults.cut = true;  // The restart isn't noticed.
    world.Restart(0, Millis(20), Millis(300), 2);
    world.RunUntil(world.NowTime() + Millis(30));
    world.Target(0).faults.cut = false;
    world.RunUntil(world.NowTime() + Millis(10));
    world.Submit(PlainJob("job", 40, 20'000));
    world.RunUntil(world.NowTime() + Millis(20));
    // The new process must have executed nothing: the deadline is ahead by as
    // much as the former clock was.
    CPPUNIT_ASSERT(world.Starts() > 0);
    CPPUNIT_ASSERT(world.Target(0).running.empty());
    world.Target(0).faults.cut = true;
    world.ReplaceOwner(Millis(400));
    world.RunUntil(world.NowTime() + Millis(14'000));
    for (const std::string& breach : world.Breaches()) {
      CPPUNIT_ASSERT_MESSAGE(breach, breach.starts_with("again: "));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FormerClockTest);

}  // namespace
}  // namespace buckthornmux::tests
