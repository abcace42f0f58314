// Tests which refusals may say that a job was never accepted.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/entry/job_doubts.h"

namespace buckthornmux::tests {
namespace {

using entry::DoubtOf;
using entry::JobDoubt;
using entry::JobDoubts;
using entry::NoteDoubt;
using entry::Settles;

constexpr Time kStart{Millis(1'000'000)};

class JobDoubtsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobDoubtsTest);
  CPPUNIT_TEST(DoubtIsKeptWhileCallersRepeatASubmit);
  CPPUNIT_TEST(LaterOwnerSettlesADoubt);
  CPPUNIT_TEST(HighestEpochCounts);
  CPPUNIT_TEST(ManyDoubtsTakeBoundedMemory);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DoubtIsKeptWhileCallersRepeatASubmit() {
    JobDoubts doubts;
    CPPUNIT_ASSERT(!DoubtOf(doubts, "a", kStart));
    NoteDoubt(doubts, "a", 3, kStart);
    CPPUNIT_ASSERT(DoubtOf(doubts, "a", kStart + entry::kDoubtMemory));
    CPPUNIT_ASSERT(
        !DoubtOf(doubts, "a", kStart + entry::kDoubtMemory + Millis(1)));
    CPPUNIT_ASSERT(!DoubtOf(doubts, "b", kStart));
  }

  void LaterOwnerSettlesADoubt() {
    const JobDoubt doubt{3, kStart};
    CPPUNIT_ASSERT(!Settles(doubt, 0, kStart + Millis(10)));
    CPPUNIT_ASSERT(!Settles(doubt, 2, kStart + Millis(10)));
    CPPUNIT_ASSERT(Settles(doubt, 4, kStart - Millis(10)));
    // The same owner may accept a copy that was sent after its refusal.
    CPPUNIT_ASSERT(!Settles(doubt, 3, kStart - Millis(1)));
    CPPUNIT_ASSERT(Settles(doubt, 3, kStart));
    CPPUNIT_ASSERT(!Settles({0, kStart}, 0, kStart));
  }

  void HighestEpochCounts() {
    JobDoubts doubts;
    NoteDoubt(doubts, "a", 5, kStart);
    NoteDoubt(doubts, "a", 2, kStart + Millis(10));
    CPPUNIT_ASSERT_EQUAL(Epoch{5}, DoubtOf(doubts, "a", kStart)->epoch);
  }

  void ManyDoubtsTakeBoundedMemory() {
    JobDoubts doubts;
    for (std::size_t i = 0; i < 2 * entry::kMaxDoubts; ++i) {
      NoteDoubt(doubts, std::to_string(i), 1,
                kStart + Millis(static_cast<std::int64_t>(i) / 100));
    }
    CPPUNIT_ASSERT_EQUAL(entry::kMaxDoubts, doubts.order.size());
    CPPUNIT_ASSERT_EQUAL(entry::kMaxDoubts, doubts.jobs.size());
    CPPUNIT_ASSERT(!DoubtOf(doubts, "0", kStart));
    for (int i = 0; i < 10'000; ++i) {
      NoteDoubt(doubts, "same", 1, kStart + Millis(100));
    }
    CPPUNIT_ASSERT(doubts.order.size() <= entry::kMaxDoubts);
    CPPUNIT_ASSERT(DoubtOf(doubts, "same", kStart + Millis(100)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobDoubtsTest);

}  // namespace
}  // namespace buckthornmux::tests
