// Tests of the request partition owner; each one guards against one failure.
#include <cppunit/extensions/HelperMacros.h>

#include "home_driver.h"

namespace buckthornmux::home {
namespace {

constexpr auto kUrgent = WorkClass::kUrgent;
constexpr auto kPatient = WorkClass::kPatient;

class HomeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HomeTest);
  CPPUNIT_TEST(PartitionOfARequestIsStable);
  CPPUNIT_TEST(UrgentIdempotentRunsWithoutJournal);
  CPPUNIT_TEST(RepeatedRequestJoinsTheOpenJob);
  CPPUNIT_TEST(OtherWorkUnderTheSameIdIsRefused);
  CPPUNIT_TEST(NonIdempotentWaitsForItsIntent);
  CPPUNIT_TEST(PatientIsAcceptedOnceDurable);
  CPPUNIT_TEST(FullShardIsFollowedByOneOther);
  CPPUNIT_TEST(PassedDeadlineIsAnsweredAtOnce);
  CPPUNIT_TEST(TaskThatNeverEndsIsStoppedAfterItsDeadline);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PartitionOfARequestIsStable() {
    // Expected values computed with sha256sum. A change would move requests to
    // other partitions.
    CPPUNIT_ASSERT_EQUAL(Partition{17}, PartitionOf("red", "r1"));
    CPPUNIT_ASSERT_EQUAL(Partition{20}, PartitionOf("blue", "42"));
  }

  void UrgentIdempotentRunsWithoutJournal() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{7, MakeRequest("r1", kUrgent, true)});
    CPPUNIT_ASSERT(home.appends.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s1"), home.enqueues[0].first);
    home.ReportStarted(0);
    CPPUNIT_ASSERT(home.replies.empty());
    home.ReportEnded(0, TaskEnd::kDone, ErrorKind::kInternal, "answer");
    home.ReportEnded(0, TaskEnd::kDone, ErrorKind::kInternal, "answer");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.replies.size());
    const Reply& reply = home.replies[0];
    CPPUNIT_ASSERT(reply.token == 7 && reply.status.phase == JobPhase::kDone);
    CPPUNIT_ASSERT(reply.status.ran == Ran::kYes);
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), reply.status.results.at(0));
  }

  void RepeatedRequestJoinsTheOpenJob() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kUrgent, true)});
    home.Do(Submit{2, MakeRequest("r1", kUrgent, true)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
    home.ReportEnded(0, TaskEnd::kDone, ErrorKind::kInternal, "x");
    home.Do(Submit{3, MakeRequest("r1", kUrgent, true)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, home.replies.size());
    for (const Reply& reply : home.replies) {
      CPPUNIT_ASSERT_EQUAL(std::string("x"), reply.status.results.at(0));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
  }

  void OtherWorkUnderTheSameIdIsRefused() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kUrgent, true)});
    JobRequest other = MakeRequest("r1", kUrgent, true);
    other.payload = "something else";
    home.Do(Submit{2, other});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.replies.size());
    CPPUNIT_ASSERT(home.replies[0].status.error ==
                   ErrorKind::kDuplicateRequest);
    CPPUNIT_ASSERT(home.replies[0].status.ran == Ran::kUnknown);
  }

  void NonIdempotentWaitsForItsIntent() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kUrgent, false)});
    CPPUNIT_ASSERT(home.enqueues.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.appends.size());
    CPPUNIT_ASSERT(home.appends[0].record.type == JournalRecord::Type::kIntent);
    CPPUNIT_ASSERT_EQUAL(std::string("r1"), home.appends[0].record.request.id);
    home.Journal();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
    home.ReportEnded(0, TaskEnd::kFailed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
    CPPUNIT_ASSERT(home.replies.at(0).status.ran == Ran::kYes);
    CPPUNIT_ASSERT(home.replies[0].status.error == ErrorKind::kTaskFailed);
  }

  void PatientIsAcceptedOnceDurable() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kPatient, true)});
    CPPUNIT_ASSERT(home.replies.empty() && home.enqueues.empty());
    home.Journal();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.replies.size());
    CPPUNIT_ASSERT(home.replies[0].accepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
    home.Do(QueryJob{2, "red", "r1", true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.replies.size());
    home.ReportEnded(0, TaskEnd::kDone);
    CPPUNIT_ASSERT(home.replies.at(1).status.phase == JobPhase::kDone);
  }

  void FullShardIsFollowedByOneOther() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kUrgent, true)});
    home.ReportEnded(0, TaskEnd::kNotRun, ErrorKind::kCellFull);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, home.enqueues.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s2"), home.enqueues[1].first);
    CPPUNIT_ASSERT_EQUAL(2U, home.enqueues[1].second.tasks[0].attempt);
    home.ReportEnded(1, TaskEnd::kNotRun, ErrorKind::kQueueFull);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, home.enqueues.size());
    CPPUNIT_ASSERT(home.replies.at(0).status.ran == Ran::kNo);
    CPPUNIT_ASSERT(home.replies[0].status.error == ErrorKind::kQueueFull);
  }

  /// A target that starts a task and never ends it must not keep an accepted
  /// job open forever. A late task first gets some time to finish.
  void TaskThatNeverEndsIsStoppedAfterItsDeadline() {
    HomeDriver home;
    home.StartSettled();
    JobRequest request = MakeRequest("r1", kPatient, true);
    request.deadline = 1'000'000 + 5000;
    home.Do(Submit{1, request});
    home.Journal();
    home.ReportStarted(0);
    home.Advance(Millis(5000));
    CPPUNIT_ASSERT(home.cancels.empty());
    home.Advance(home.state.options.min_overrun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.cancels.size());
    home.Do(QueryJob{2, "red", "r1", true});
    home.ReportEnded(0, TaskEnd::kCancelled, ErrorKind::kCancelled);
    home.Journal();
    const JobStatus& status = home.replies.at(1).status;
    CPPUNIT_ASSERT(status.phase == JobPhase::kFailed);
    CPPUNIT_ASSERT(status.error == ErrorKind::kDeadlinePassed);
    CPPUNIT_ASSERT(status.ran != Ran::kNo);
  }

  void PassedDeadlineIsAnsweredAtOnce() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kUrgent, false)});
    home.Do(Submit{2, MakeRequest("r2", kUrgent, true)});
    home.Advance(Millis(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, home.replies.size());
    for (const Reply& reply : home.replies) {
      CPPUNIT_ASSERT(reply.status.error == ErrorKind::kDeadlinePassed);
      const bool sent = reply.token == 2;
      CPPUNIT_ASSERT(reply.status.ran == (sent ? Ran::kUnknown : Ran::kNo));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.cancels.size());
    home.Journal();  // The intent of r1 becomes durable too late.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeTest);

}  // namespace
}  // namespace buckthornmux::home
