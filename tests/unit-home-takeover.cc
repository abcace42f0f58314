// Tests of a partition owner that takes over, or that loses its journal, its
// shards or its partition.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "home_driver.h"

namespace buckthornmux::home {
namespace {

constexpr auto kUrgent = WorkClass::kUrgent;
constexpr auto kPatient = WorkClass::kPatient;

sched::ReportedTask Listed(const std::string& id, bool running,
                           TaskEnd end = TaskEnd::kDone) {
  sched::ReportedTask task;
  task.id = id;
  task.attempt = 1;
  task.running = running;
  task.end = end;
  task.result = running ? "" : "x";
  return task;
}

/// Journal records of a former owner about a job that was sent to s1 at
/// epoch 1.
std::vector<JournalRecord> SentBy(const JobRequest& request) {
  HomeDriver former;
  former.StartSettled();
  former.Do(Submit{0, request});
  former.Journal();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, former.enqueues.size());
  return former.Records();
}

class HomeTakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HomeTakeoverTest);
  CPPUNIT_TEST(StartsNothingBeforeTheShardAnswers);
  CPPUNIT_TEST(UnlistedTaskOfTheSameOwnerHasNotRun);
  CPPUNIT_TEST(NewOwnerProvesNothingUntilItsTargetsReport);
  CPPUNIT_TEST(UnresolvedTooLongIsUnknownAndNeverRunAgain);
  CPPUNIT_TEST(AnswerToAnOlderInquiryIsNoProof);
  CPPUNIT_TEST(AnswerOfAFormerShardOwnerIsNoProof);
  CPPUNIT_TEST(EndedAttemptWithoutPayloadIsAdopted);
  CPPUNIT_TEST(UnlistedAttemptDoesNotHideAnEndedOne);
  CPPUNIT_TEST(RetryAdoptsTheAttemptOfAFormerOwner);
  CPPUNIT_TEST(UrgentIntentIsNotSentBySuccessor);
  CPPUNIT_TEST(JournalDownRefusesOnlyWhatNeedsIt);
  CPPUNIT_TEST(PendingAcceptanceIsNotDenied);
  CPPUNIT_TEST(LostPartitionReportsRanCorrectly);
  CPPUNIT_TEST(ExpiredLeaseNeverReportsNotRun);
  CPPUNIT_TEST(CancelIsReportedOnceDurable);
  CPPUNIT_TEST(LateNotRunOfAnotherAttemptIsIgnored);
  CPPUNIT_TEST(FailedCancelDoesNotEndItsTasks);
  CPPUNIT_TEST(GangIsSentToOneShardAndRetriedAsAWhole);
  CPPUNIT_TEST(NeverFitsIsRefusedWithItsReason);
  CPPUNIT_TEST(EndedJobsAreDroppedAfterTheirRetention);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StartsNothingBeforeTheShardAnswers() {
    HomeDriver home;
    home.Start(SentBy(MakeRequest("r1", kPatient, true)), 2);
    home.Advance(Millis(100));
    CPPUNIT_ASSERT(home.enqueues.empty());
    home.Answer("s1", 1, true, {Listed("red/r1/0", true)});
    home.Answer("s2");
    home.Advance(Millis(5000));
    CPPUNIT_ASSERT(home.enqueues.empty());
    home.Answer("s1", 1, true, {Listed("red/r1/0", false)});
    home.Do(QueryJob{1, "red", "r1", false});
    CPPUNIT_ASSERT(home.replies.at(0).status.ran == Ran::kYes);
  }

  void UnlistedTaskOfTheSameOwnerHasNotRun() {
    HomeDriver home;
    home.Start(SentBy(MakeRequest("r1", kPatient, false)), 2);
    home.Answer("s1", 1, false);
    home.Answer("s2");
    home.Advance(Millis(2000));
    home.Journal();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
    CPPUNIT_ASSERT_EQUAL(2U, home.enqueues[0].second.tasks[0].attempt);
  }

  void NewOwnerProvesNothingUntilItsTargetsReport() {
    HomeDriver home;
    home.Start(SentBy(MakeRequest("r1", kPatient, false)), 2);
    home.Answer("s2");
    home.Answer("s1", 2, false);
    home.Advance(Millis(2000));
    home.Journal();
    CPPUNIT_ASSERT(home.enqueues.empty());
    home.Answer("s1", 2, true);
    home.Advance(Millis(2000));
    home.Journal();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
  }

  void UnresolvedTooLongIsUnknownAndNeverRunAgain() {
    HomeDriver home;
    home.Start(SentBy(MakeRequest("r1", kPatient, false)), 2);
    home.Answer("s2");
    for (int second = 0; second < 70; ++second) {
      home.Answer("s1", 2, false);
      home.Advance(Millis(1000));
      home.Journal();
    }
    CPPUNIT_ASSERT(home.enqueues.empty());
    home.Do(Submit{1, MakeRequest("r1", kPatient, false)});
    const JobStatus& status = home.replies.at(0).status;
    CPPUNIT_ASSERT(status.error == ErrorKind::kOutcomeUnknown);
    CPPUNIT_ASSERT(status.ran == Ran::kUnknown);
  }

  void AnswerToAnOlderInquiryIsNoProof() {
    HomeDriver home;
    home.StartSettled();
    const Partition number = PartitionOf("red", "r1");
    const sched::Home first{number, 1, 1};
    home.Do(Submit{1, MakeRequest("r1", kUrgent, false)});
    home.Journal();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
    home.Do(FromShard{"s1", 1, sched::Known{first, 1, true, {}, {}}});
    home.Shards(1, false);
    home.Shards(1, true);  // Sends a new Inquire; only its answer is valid.
    home.Do(FromShard{"s1", 1, sched::Known{first, 1, true, {}, {}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
    CPPUNIT_ASSERT(home.replies.empty());
  }

  void AnswerOfAFormerShardOwnerIsNoProof() {
    HomeDriver home;
    home.Shards(2);
    home.Start(SentBy(MakeRequest("r1", kPatient, false)), 2);
    home.Answer("s1", 1, true);
    home.Answer("s2");
    home.Advance(Millis(3000));
    home.Journal();
    CPPUNIT_ASSERT(home.enqueues.empty());
  }

  /// Shards keep no payload of ended tasks. A repeated request must not be
  /// treated as different work for that reason.
  void EndedAttemptWithoutPayloadIsAdopted() {
    HomeDriver home;
    home.Start({}, 2);
    sched::ReportedTask ended;
    ended.id = "red/r1/0";
    ended.attempt = 1;
    ended.end = TaskEnd::kDone;
    ended.result = "result";
    ended.spec.team = "red";
    ended.spec.job = "r1";
    home.Answer("s1", 1, true, {ended});
    home.Answer("s2");
    home.Do(Submit{1, MakeRequest("r1", kUrgent, true)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.replies.size());
    CPPUNIT_ASSERT(home.replies[0].status.phase == JobPhase::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("result"),
                         home.replies[0].status.results.at(0));
  }

  /// One shard reports a queued attempt and another one an ended attempt. When
  /// the queued attempt is no longer listed, the ended one must not be dropped
  /// with it.
  void UnlistedAttemptDoesNotHideAnEndedOne() {
    HomeDriver home;
    home.Start({}, 2);
    home.Answer("s1", 1, true, {}, {"red/r1/0"});
    sched::ReportedTask ended;
    ended.id = "red/r1/0";
    ended.attempt = 1;
    ended.epoch = 1;
    home.Answer("s2", 1, false, {ended});
    home.Shards(2);
    home.Answer("s1", 2);
    home.Do(Submit{1, MakeRequest("r1", kUrgent, true)});
    home.Do(CancelJob{2, "red", "r1"});
    home.Advance(home.state.options.inquiry_interval);
    home.Answer("s2", 1, true);
    home.Answer("s1", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, home.replies.size());
    for (const Reply& reply : home.replies) {
      CPPUNIT_ASSERT(reply.status.ran != Ran::kNo);
    }
  }

  void RetryAdoptsTheAttemptOfAFormerOwner() {
    HomeDriver home;
    home.Start({}, 2);
    home.Do(Submit{1, MakeRequest("r1", kUrgent, true)});
    home.Answer("s2");
    CPPUNIT_ASSERT(home.enqueues.empty());
    home.Answer("s1", 1, true, {Listed("red/r1/0", true)});
    CPPUNIT_ASSERT(home.enqueues.empty());
    const sched::Home label{PartitionOf("red", "r1"), 2};
    home.Do(FromShard{"s1", 1,
                      sched::Ended{label, "red/r1/0", 1, TaskEnd::kDone,
                                   ErrorKind::kInternal, Millis(0), "first"}});
    CPPUNIT_ASSERT_EQUAL(std::string("first"),
                         home.replies.at(0).status.results.at(0));
  }

  void UrgentIntentIsNotSentBySuccessor() {
    HomeDriver former;
    former.StartSettled();
    former.Do(Submit{1, MakeRequest("r1", kUrgent, false)});
    former.Do(JournalDown{PartitionOf("red", "r1"), true});
    CPPUNIT_ASSERT(former.replies.at(0).status.ran == Ran::kNo);
    former.Journal();  // The intent becomes durable after the reply.
    CPPUNIT_ASSERT(former.enqueues.empty());
    HomeDriver home;
    home.StartSettled(former.Records());
    home.Advance(Millis(5000));
    home.Journal();
    CPPUNIT_ASSERT(home.enqueues.empty());
    JobRequest again = MakeRequest("r1", kUrgent, false);
    again.deadline += 10'000;
    home.Do(Submit{1, again});
    home.Journal();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
    CPPUNIT_ASSERT_EQUAL(2U, home.enqueues[0].second.tasks[0].attempt);
  }

  void JournalDownRefusesOnlyWhatNeedsIt() {
    HomeDriver home;
    home.StartSettled();
    for (Partition number = 0; number < kPartitions; ++number) {
      home.Do(JournalDown{number, true});
    }
    home.Do(Submit{1, MakeRequest("r1", kUrgent, true)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
    home.Do(Submit{2, MakeRequest("r2", kUrgent, false)});
    home.Do(Submit{3, MakeRequest("r3", kPatient, true)});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, home.replies.size());
    for (const Reply& reply : home.replies) {
      CPPUNIT_ASSERT(reply.status.error == ErrorKind::kStoreUnavailable);
      CPPUNIT_ASSERT(reply.status.ran == Ran::kNo);
      CPPUNIT_ASSERT(reply.status.retry_after > Millis(0));
    }
    CPPUNIT_ASSERT(home.appends.empty());
  }

  void PendingAcceptanceIsNotDenied() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kPatient, true)});
    home.Do(JournalDown{PartitionOf("red", "r1"), true});
    CPPUNIT_ASSERT(home.replies.at(0).status.error == ErrorKind::kStoreUnknown);
    CPPUNIT_ASSERT(home.replies[0].status.ran == Ran::kUnknown);
    home.Do(JournalDown{PartitionOf("red", "r1"), false});
    home.Journal();
    home.Do(Submit{2, MakeRequest("r1", kPatient, true)});
    CPPUNIT_ASSERT(home.replies.at(1).accepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
  }

  void LostPartitionReportsRanCorrectly() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kUrgent, false)});
    home.Do(PartitionLost{PartitionOf("red", "r1")});
    CPPUNIT_ASSERT(home.replies.at(0).status.ran == Ran::kNo);
    home.Do(Submit{2, MakeRequest("r2", kUrgent, true)});
    home.Do(PartitionLost{PartitionOf("red", "r2")});
    CPPUNIT_ASSERT(home.replies.at(1).status.ran == Ran::kUnknown);
    CPPUNIT_ASSERT(home.replies[1].status.error == ErrorKind::kOwnerStale);
  }

  void ExpiredLeaseNeverReportsNotRun() {
    HomeDriver home;
    home.StartSettled();
    home.Do(LeaseUntil{home.now + Millis(100)});
    home.Do(Submit{1, MakeRequest("r1", kUrgent, false)});
    home.now += Millis(100);
    home.Do(JournalDown{PartitionOf("red", "r1"), true});
    CPPUNIT_ASSERT(home.replies.at(0).status.ran == Ran::kUnknown);
  }

  void CancelIsReportedOnceDurable() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kPatient, true)});
    home.Journal();
    home.Do(CancelJob{2, "red", "r1"});
    home.Do(CancelJob{3, "red", "r1"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.cancels.size());
    home.ReportEnded(0, TaskEnd::kNotRun, ErrorKind::kCancelled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.replies.size());
    home.Journal();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, home.replies.size());
    CPPUNIT_ASSERT(home.replies[2].status.phase == JobPhase::kCancelled);
    CPPUNIT_ASSERT(home.replies[2].status.ran == Ran::kNo);
    HomeDriver next;
    next.StartSettled(home.Records());
    next.Advance(Millis(5000));
    CPPUNIT_ASSERT(next.enqueues.empty());
  }

  void LateNotRunOfAnotherAttemptIsIgnored() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kUrgent, false)});
    home.Journal();
    home.ReportEnded(0, TaskEnd::kNotRun, ErrorKind::kCellFull);
    home.Journal();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, home.enqueues.size());
    home.ReportEnded(0, TaskEnd::kNotRun, ErrorKind::kCellFull);
    home.Journal();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, home.enqueues.size());
    CPPUNIT_ASSERT(home.replies.empty());
  }

  void FailedCancelDoesNotEndItsTasks() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kUrgent, true)});
    home.Do(CancelJob{2, "red", "r1"});
    home.Do(SendFailed{home.sent.back()});
    CPPUNIT_ASSERT(home.replies.at(0).status.ran == Ran::kUnknown);
    home.Advance(Millis(1999));
    home.Advance(Millis(1));
    CPPUNIT_ASSERT(home.cancels.size() >= 2);  // The Cancel was repeated.
  }

  void GangIsSentToOneShardAndRetriedAsAWhole() {
    HomeDriver home;
    home.StartSettled();
    JobRequest gang = MakeRequest("r1", kUrgent, false);
    gang.tasks = 3;
    gang.all_at_once = true;
    home.Do(Submit{1, gang});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.appends.size());
    home.Journal();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
    const auto [shard, enqueue] = home.enqueues[0];
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, enqueue.tasks.size());
    for (const TaskSpec& task : enqueue.tasks) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
      home.Do(FromShard{shard, 1,
                        sched::Ended{enqueue.home, task.Id(), 1,
                                     TaskEnd::kNotRun, ErrorKind::kCellFull}});
      home.Journal();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, home.enqueues.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s2"), home.enqueues[1].first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, home.enqueues[1].second.tasks.size());
  }

  void NeverFitsIsRefusedWithItsReason() {
    config::Config config;
    TargetSpec target;
    target.shard = "s1";
    target.capacity = {2, 1000, 1000, 0};
    config.targets = {target, target};
    HomeDriver home;
    home.Do(ConfigInForce{&config});
    home.StartSettled();
    JobRequest gang = MakeRequest("r1", kUrgent, true);
    gang.all_at_once = true;
    gang.tasks = 5;
    home.Do(Submit{1, gang});
    CPPUNIT_ASSERT(home.replies.at(0).status.error == ErrorKind::kNeverFits);
    CPPUNIT_ASSERT(home.replies[0].status.ran == Ran::kNo);
    gang.tasks = 4;
    home.Do(Submit{2, gang});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, home.enqueues.size());
  }

  void EndedJobsAreDroppedAfterTheirRetention() {
    HomeDriver home;
    home.StartSettled();
    home.Do(Submit{1, MakeRequest("r1", kUrgent, true)});
    home.ReportEnded(0, TaskEnd::kDone);
    home.Advance(kResultRetention - Millis(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, CountJobs(home.state).done);
    home.Advance(Millis(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, CountJobs(home.state).done);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HomeTakeoverTest);

}  // namespace
}  // namespace buckthornmux::home
