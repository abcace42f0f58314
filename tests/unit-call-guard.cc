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
  CPPUNIT_TEST(RefusalOvertakesCallsSentBefore);
  CPPUNIT_TEST(ManyRefusalsTakeBoundedMemory);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CallOfTheEpochIsFreshUntilItsSenderGivesUp() {
    const auto call = CallOf(kEpoch, kStart, Millis(300));
    CPPUNIT_ASSERT(!ReasonStale({}, call, kEpoch, kStart));
    CPPUNIT_ASSERT(!ReasonStale({}, call, kEpoch, kStart + Millis(299)));
    CPPUNIT_ASSERT(ReasonStale({}, call, kEpoch, kStart + Millis(300)) ==
                   StaleReason::kExpired);
  }

  // The same host may own the cell again when the call arrives.
  void CallOfAnotherEpochIsStale() {
    for (const Epoch epoch : {Epoch{0}, kEpoch - 1, kEpoch + 1}) {
      CPPUNIT_ASSERT(ReasonStale({}, CallOf(epoch, kStart, Millis(300)), kEpoch,
                                 kStart) == StaleReason::kOtherEpoch);
    }
  }

  // Its time is one of another process, so its age can't be told.
  void CallFromTheFutureIsStale() {
    CPPUNIT_ASSERT(ReasonStale({},
                               CallOf(kEpoch, kStart + Millis(1), Millis(300)),
                               kEpoch, kStart) == StaleReason::kOtherClock);
  }

  void LongPatienceIsCutShort() {
    const auto call = CallOf(kEpoch, kStart, Millis(60'000));
    CPPUNIT_ASSERT(
        ReasonStale({}, call, kEpoch, kStart + entry::kMaxCallTimeout) ==
        StaleReason::kExpired);
  }

  void RefusalOvertakesCallsSentBefore() {
    entry::RefusedCalls refused;
    entry::NoteRefusal(refused, entry::CallKind::kSubmit, "j1", kStart);
    const auto reason = [&refused](entry::CellCall call) {
      return ReasonStale(refused, call, kEpoch, kStart + Millis(200));
    };
    const auto before = CallOf(kEpoch, kStart - Millis(50), Millis(2000));
    CPPUNIT_ASSERT(reason(before) == StaleReason::kOvertaken);
    CPPUNIT_ASSERT(!reason(CallOf(kEpoch, kStart + Millis(1), Millis(2000))));
    entry::CellCall cancel = before;
    cancel.kind = entry::CallKind::kCancel;
    CPPUNIT_ASSERT(!reason(cancel));
    entry::CellCall other = before;
    other.job = "j2";
    CPPUNIT_ASSERT(!reason(other));
    // The later one of two refusals counts.
    entry::NoteRefusal(refused, entry::CallKind::kSubmit, "j1",
                       kStart + Millis(100));
    CPPUNIT_ASSERT(reason(CallOf(kEpoch, kStart + Millis(50), Millis(2000))) ==
                   StaleReason::kOvertaken);
  }

  // What is forgotten early makes older calls stale, whatever their job.
  void ManyRefusalsTakeBoundedMemory() {
    entry::RefusedCalls refused;
    const auto job = [](std::size_t number) {
      return "job-" + std::to_string(number);
    };
    constexpr std::size_t kMore = 10;
    const std::size_t jobs = entry::kMaxRefusedCalls + kMore;
    for (std::size_t i = 0; i < jobs; ++i) {
      entry::NoteRefusal(refused, entry::CallKind::kSubmit, job(i),
                         kStart + Millis(i / 8));
    }
    CPPUNIT_ASSERT_EQUAL(entry::kMaxRefusedCalls, refused.order.size());
    CPPUNIT_ASSERT_EQUAL(entry::kMaxRefusedCalls, refused.last.size());
    const Time now = kStart + Millis(600);
    CPPUNIT_ASSERT(ReasonStale(refused, CallOf(kEpoch, kStart, Millis(2000)),
                               kEpoch, now) == StaleReason::kOvertaken);
    CPPUNIT_ASSERT(
        !ReasonStale(refused, CallOf(kEpoch, kStart + Millis(2), Millis(2000)),
                     kEpoch, now));
    entry::NoteRefusal(refused, entry::CallKind::kSubmit, "last",
                       now + 2 * entry::kMaxCallTimeout);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused.order.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused.last.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallGuardTest);

}  // namespace
}  // namespace buckthornmux::tests
