// Open calls of the front: owners that change, links that break, deadlines.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/front/call_table.h"

namespace buckthornmux::front {
namespace {

constexpr Time kStart{Millis(1000)};
constexpr Millis kDeadline{1000};
constexpr Millis kPause{50};

runtime::Routes RoutesTo(const HostId& owner, Epoch epoch,
                         Partition partition) {
  runtime::Routes routes;
  routes.members[owner] = member::Member{owner, "i1"};
  member::OwnerRecord record;
  record.range = runtime::PartitionRange(partition);
  record.owner = owner;
  record.incarnation = "i1";
  record.epoch = epoch;
  routes.owners[record.range] = record;
  return routes;
}

home::Reply ReplyWith(std::uint64_t call, ErrorKind error) {
  home::Reply reply;
  reply.token = call;
  reply.status.phase = home::JobPhase::kFailed;
  reply.status.error = error;
  return reply;
}

class CallTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallTableTest);
  CPPUNIT_TEST(SentOnceToItsOwner);
  CPPUNIT_TEST(SentAgainToTheNextOwner);
  CPPUNIT_TEST(SentAgainAfterTheLinkBroke);
  CPPUNIT_TEST(MovedAnswerIsNotTheCallers);
  CPPUNIT_TEST(NeverSentFromHereMayHaveRun);
  CPPUNIT_TEST(SentButUnansweredIsUnknown);
  CPPUNIT_TEST(RefusalAfterALostCopyLeavesTheOutcomeOpen);
  CPPUNIT_TEST(LateAnswerIsDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_table = CallTable{"a"};
    home::JobRequest request;
    request.team = "t";
    request.id = "r1";
    m_partition = home::PartitionOf("t", "r1");
    m_call = OpenNewCall(m_table, request, kStart, kStart + kDeadline);
  }

  void SentOnceToItsOwner() {
    const auto routes = RoutesTo("b", 1, m_partition);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), SentTo(routes, kStart));
    CPPUNIT_ASSERT(Advance(m_table, routes, kStart + kPause).empty());
  }

  void SentAgainToTheNextOwner() {
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         SentTo(RoutesTo("b", 1, m_partition), kStart));
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         SentTo(RoutesTo("c", 2, m_partition), kStart));
  }

  void SentAgainAfterTheLinkBroke() {
    const auto routes = RoutesTo("b", 1, m_partition);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), SentTo(routes, kStart));
    LinkBroke(m_table, "b", kStart);
    CPPUNIT_ASSERT(Advance(m_table, routes, kStart).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), SentTo(routes, kStart + kPause));
  }

  void MovedAnswerIsNotTheCallers() {
    const auto routes = RoutesTo("b", 1, m_partition);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), SentTo(routes, kStart));
    CPPUNIT_ASSERT(!TakeAnswer(
        m_table, ReplyWith(m_call, ErrorKind::kOwnerStale), kStart));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), SentTo(routes, kStart + kPause));
    CPPUNIT_ASSERT(
        TakeAnswer(m_table, ReplyWith(m_call, ErrorKind::kCellFull), kStart));
  }

  void NeverSentFromHereMayHaveRun() {
    const auto routes = RoutesTo("b", 1, m_partition);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), SentTo(routes, kStart));
    NotSent(m_table, m_call, kStart);
    const GiveUp given_up = GivenUp({}, kStart + kDeadline);
    CPPUNIT_ASSERT(given_up.error == ErrorKind::kOwnerUnknown);
    CPPUNIT_ASSERT(given_up.ran == Ran::kUnknown);
  }

  void SentButUnansweredIsUnknown() {
    const auto routes = RoutesTo("b", 1, m_partition);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), SentTo(routes, kStart));
    LinkBroke(m_table, "b", kStart);
    const GiveUp given_up = GivenUp({}, kStart + kDeadline);
    CPPUNIT_ASSERT(given_up.ran == Ran::kUnknown);
  }

  // Guards against "ran: no" for a job of which a former owner holds a copy, as
  // in review/7.
  void RefusalAfterALostCopyLeavesTheOutcomeOpen() {
    const auto refusal = ReplyWith(m_call, ErrorKind::kCellFull);
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         SentTo(RoutesTo("b", 1, m_partition), kStart));
    CPPUNIT_ASSERT(AnswerForCaller(m_table, refusal).status.ran == Ran::kNo);
    CPPUNIT_ASSERT(!TakeAnswer(
        m_table, ReplyWith(m_call, ErrorKind::kOwnerStale), kStart));
    const Time later = kStart + kPause;
    CPPUNIT_ASSERT_EQUAL(std::string("c"),
                         SentTo(RoutesTo("c", 2, m_partition), later));
    CPPUNIT_ASSERT(AnswerForCaller(m_table, refusal).status.ran == Ran::kNo);
    // The next owner is known before the former one has replied.
    CPPUNIT_ASSERT_EQUAL(std::string("d"),
                         SentTo(RoutesTo("d", 3, m_partition), later));
    const auto told = AnswerForCaller(m_table, refusal);
    CPPUNIT_ASSERT(told.status.ran == Ran::kUnknown);
    CPPUNIT_ASSERT(told.status.error == ErrorKind::kOutcomeUnknown);
  }

  void LateAnswerIsDropped() {
    GivenUp({}, kStart + kDeadline);
    CPPUNIT_ASSERT(!TakeAnswer(m_table, ReplyWith(m_call, ErrorKind::kCellFull),
                               kStart + kDeadline));
  }

 private:
  std::string SentTo(const runtime::Routes& routes, Time now) {
    const auto actions = Advance(m_table, routes, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    return std::get<SendCall>(actions.front()).host;
  }

  GiveUp GivenUp(const runtime::Routes& routes, Time now) {
    const auto actions = Advance(m_table, routes, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    return std::get<GiveUp>(actions.front());
  }

  CallTable m_table;
  std::uint64_t m_call = 0;
  Partition m_partition = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallTableTest);

}  // namespace
}  // namespace buckthornmux::front
