// Tests which forwarded calls an owner recognizes as stale.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/entry/call_guard.h"

namespace buckthornmux::tests {
namespace {

using entry::ReasonStale;
using entry::StaleReason;

constexpr Time kStart{Millis(1'000'000)};
constexpr Epoch kEpoch = 7;

entry::CellCall CallOf(Epoch epoch, Time sent_at, Millis patience) {
  entry::CellCall call;
  call.kind = entry::CallKind::kSubmit;
  call.job = "j1";
  call.epoch = epoch;
  call.sent_at = sent_at.time_since_epoch();
  call.patience = patience;
  return call;
}

class CallGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallGuardTest);
  CPPUNIT_TEST(CallOfTheEpochIsFreshUntilItsSenderGivesUp);
  CPPUNIT_TEST(CallOfAnotherEpochIsStale);
  CPPUNIT_TEST(CallFromTheFutureIsStale);
  CPPUNIT_TEST(LongPatienceIsCutShort);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CallOfTheEpochIsFreshUntilItsSenderGivesUp() {
    const auto call = CallOf(kEpoch, kStart, Millis(300));
    CPPUNIT_ASSERT(!ReasonStale(call, kEpoch, kStart));
    CPPUNIT_ASSERT(!ReasonStale(call, kEpoch, kStart + Millis(299)));
    CPPUNIT_ASSERT(ReasonStale(call, kEpoch, kStart + Millis(300)) ==
                   StaleReason::kExpired);
  }

  // The same host may own the cell again when the call arrives.
  void CallOfAnotherEpochIsStale() {
    for (const Epoch epoch : {Epoch{0}, kEpoch - 1, kEpoch + 1}) {
      CPPUNIT_ASSERT(ReasonStale(CallOf(epoch, kStart, Millis(300)), kEpoch,
                                 kStart) == StaleReason::kOtherEpoch);
    }
  }

  // Its time is one of another process, so its age can't be told.
  void CallFromTheFutureIsStale() {
    CPPUNIT_ASSERT(ReasonStale(CallOf(kEpoch, kStart + Millis(1), Millis(300)),
                               kEpoch, kStart) == StaleReason::kOtherClock);
  }

  void LongPatienceIsCutShort() {
    const auto call = CallOf(kEpoch, kStart, Millis(60'000));
    CPPUNIT_ASSERT(ReasonStale(call, kEpoch, kStart + entry::kMaxCallTimeout) ==
                   StaleReason::kExpired);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallGuardTest);

}  // namespace
}  // namespace buckthornmux::tests
