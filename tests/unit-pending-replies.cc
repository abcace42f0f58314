// Tests replies that wait until their host can be reached again.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/entry/call_guard.h"
#include "buckthornmux/detail/entry/pending_replies.h"

namespace buckthornmux::tests {
namespace {

using entry::KeepReply;
using entry::TakeReplies;

constexpr Time kStart{Millis(1'000'000)};

entry::CellReply ReplyTo(std::uint64_t call) {
  entry::CellReply reply;
  reply.call = call;
  reply.end = entry::CallResult::kAccepted;
  return reply;
}

class PendingRepliesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PendingRepliesTest);
  CPPUNIT_TEST(RepliesAreTakenOnceInOrder);
  CPPUNIT_TEST(RepliesThatNobodyWaitsForAreDropped);
  CPPUNIT_TEST(RepliesOfOneHostAreBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against accepted jobs that are answered 504 after a partition, since
  // the owner's own connection came back last (review/7).
  void RepliesAreTakenOnceInOrder() {
    entry::PendingReplies pending;
    for (const std::uint64_t call : {3U, 1U, 2U}) {
      CPPUNIT_ASSERT(KeepReply(pending, "a", ReplyTo(call), kStart));
    }
    CPPUNIT_ASSERT(KeepReply(pending, "b", ReplyTo(4), kStart));
    const auto taken = TakeReplies(pending, "a", kStart + Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, taken.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, taken[0].reply.call);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, taken[2].reply.call);
    CPPUNIT_ASSERT(TakeReplies(pending, "a", kStart + Millis(100)).empty());
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1}, TakeReplies(pending, "b", kStart + Millis(100)).size());
  }

  void RepliesThatNobodyWaitsForAreDropped() {
    entry::PendingReplies pending;
    CPPUNIT_ASSERT(KeepReply(pending, "a", ReplyTo(1), kStart));
    CPPUNIT_ASSERT(KeepReply(pending, "gone", ReplyTo(2), kStart));
    const Time later = kStart + entry::kMaxCallTimeout;
    CPPUNIT_ASSERT(KeepReply(pending, "a", ReplyTo(3), later));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pending.by_host.size());
    const auto taken = TakeReplies(pending, "a", later);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, taken[0].reply.call);
  }

  void RepliesOfOneHostAreBounded() {
    entry::PendingReplies pending;
    for (std::size_t i = 0; i < entry::kMaxPendingReplies; ++i) {
      CPPUNIT_ASSERT(KeepReply(pending, "a", ReplyTo(i), kStart));
    }
    CPPUNIT_ASSERT(!KeepReply(pending, "a", ReplyTo(0), kStart));
    CPPUNIT_ASSERT(KeepReply(pending, "b", ReplyTo(0), kStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PendingRepliesTest);

}  // namespace
}  // namespace buckthornmux::tests
