// Tests the intervals between rounds of planning.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/entry/round_pacing.h"

namespace buckthornmux::tests {
namespace {

using entry::DelayOfNextRound;

class RoundPacingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RoundPacingTest);
  CPPUNIT_TEST(QuickRoundsKeepTheirInterval);
  CPPUNIT_TEST(LongRoundsLeaveTimeForCalls);
  CPPUNIT_TEST(PausedRoundDelaysTheNextOneLittle);
  CPPUNIT_TEST_SUITE_END();

 public:
  void QuickRoundsKeepTheirInterval() {
    CPPUNIT_ASSERT(DelayOfNextRound(Millis(1), Millis(1)) == Millis(7));
    CPPUNIT_ASSERT(DelayOfNextRound(Millis(4), Millis(4)) == Millis(4));
    CPPUNIT_ASSERT(DelayOfNextRound(Millis(0), Millis(50)) == Millis(0));
  }

  // Guards against LOST (review/7 on slow processors): rounds that took longer
  // than their interval followed each other without a pause, and pings and
  // starts waited until the owner was taken for failed.
  void LongRoundsLeaveTimeForCalls() {
    for (const Millis took : {Millis(10), Millis(40), Millis(150)}) {
      CPPUNIT_ASSERT(DelayOfNextRound(took, took) >= took);
    }
  }

  // A host that was paused in a round plans soon after.
  void PausedRoundDelaysTheNextOneLittle() {
    CPPUNIT_ASSERT(DelayOfNextRound(Millis(20'000), Millis(0)) <=
                   entry::kMaxRoundInterval);
    CPPUNIT_ASSERT(DelayOfNextRound(Millis(20'000), Millis(20'000)) ==
                   Millis(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoundPacingTest);

}  // namespace
}  // namespace buckthornmux::tests
