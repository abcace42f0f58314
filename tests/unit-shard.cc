// Invariants of a shard. Each test uses a sequence of events that breaks a
// naive scheduler: lost, late and duplicate messages, takeovers and stale
// senders.
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "shard_driver.h"

namespace buckthornmux::sched {
namespace {

using testing::kHome;
using testing::MakeTask;
using testing::ShardDriver;

class ShardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardTest);
  CPPUNIT_TEST(RunsATaskToItsEnd);
  CPPUNIT_TEST(NeverExceedsCapacityWithMayRunStarts);
  CPPUNIT_TEST(CountsUseAboveReservation);
  CPPUNIT_TEST(UnansweredStartKeepsReservationUntilConclusiveReport);
  CPPUNIT_TEST(UnansweredNonIdempotentEndsUnknown);
  CPPUNIT_TEST(UnansweredStartThatRunsIsNotRepeated);
  CPPUNIT_TEST(DuplicateEnqueueStartsOnce);
  CPPUNIT_TEST(RefusedAttemptIsNotStartedByARepeat);
  CPPUNIT_TEST(StaleHomeIsRefused);
  CPPUNIT_TEST(CancelledTaskIsNotStartedByLateEnqueue);
  CPPUNIT_TEST(CancelThatOvertakesItsStartIsResent);
  CPPUNIT_TEST(NoStartBeforeReportAfterTakeover);
  CPPUNIT_TEST(TakeoverCountsWhatUnreportedTargetsMayRun);
  CPPUNIT_TEST(TakeoverAdoptsAndAnswersInquiries);
  CPPUNIT_TEST(TakeoverAdoptsTaskThatMovedToAnotherTarget);
  CPPUNIT_TEST(LoweredGrantStopsStartsNotTasks);
  CPPUNIT_TEST(ReturnedGrantIsNotUsedBeforeAnswer);
  CPPUNIT_TEST(LeavingAndUnreachableTargetsGetNoStarts);
  CPPUNIT_TEST(NoStartWithoutOwnership);
  CPPUNIT_TEST(LateEndFromEarlierTargetIsIgnored);
  CPPUNIT_TEST(OutdatedReportDoesNotReviveEndedTask);
  CPPUNIT_TEST(StrayRunIsStoppedAndKeepsReservation);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsATaskToItsEnd() {
    ShardDriver shard(1);
    shard.Ready();
    const Start start = shard.Run(MakeTask("j"));
    CPPUNIT_ASSERT_EQUAL(std::string("t0"), start.target);
    CPPUNIT_ASSERT_EQUAL(std::string("a/j/0"), shard.Only<Started>().task_id);
    shard.Finish(start);
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kDone);
    CPPUNIT_ASSERT(shard.Only<Ended>().home.epoch == kHome.epoch);
    CPPUNIT_ASSERT(FreeCapacity(shard.state) == testing::kTargetSize);
    shard.Finish(start);
    CPPUNIT_ASSERT(shard.All<Ended>().empty());
  }

  void NeverExceedsCapacityWithMayRunStarts() {
    ShardDriver shard(1);
    shard.Ready();
    std::vector<Start> starts;
    for (int i = 0; i < 12; ++i) {
      shard.Ask(MakeTask("j" + std::to_string(i)));
      for (const Start& start : shard.All<Start>()) {
        starts.push_back(start);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, starts.size());
    shard.Feed(StartAnswered{"t0", starts[0].task.Id(), 1, false, true,
                             ErrorKind::kTargetUnreachable});
    CPPUNIT_ASSERT(shard.All<Start>().empty());
  }

  void CountsUseAboveReservation() {
    ShardDriver shard(1);
    shard.Ready();
    const Start start = shard.Run(MakeTask("j"));
    // The task declared 1000 MB, but 31,500 MB are measured.
    shard.Feed(
        TargetReport{"t0", {shard.Running(start)}, {1, 1000, 31'500, 0}});
    shard.Ask(MakeTask("k"));
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    shard.Feed(TargetReport{"t0", {shard.Running(start)}, {1, 1000, 1000, 0}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shard.All<Start>().size());
  }

  void UnansweredStartKeepsReservationUntilConclusiveReport() {
    ShardDriver shard(2);
    shard.Ready();
    shard.Ask(MakeTask("j"));
    const Start start = shard.Only<Start>();
    shard.Feed(StartAnswered{start.target, "a/j/0", 1, false, true,
                             ErrorKind::kTargetUnreachable});
    shard.Feed(TargetReport{start.target, {}, {}});
    CPPUNIT_ASSERT(shard.All<Start>().empty());  // The report may be outdated.
    shard.now = start.start_by + Policy{}.report_delay + Millis(1);
    shard.Feed(TargetReport{start.target, {}, {}});
    CPPUNIT_ASSERT(shard.Only<Start>().target != start.target);
    CPPUNIT_ASSERT_EQUAL(std::string("a/j/0"), shard.Only<Start>().task.Id());
  }

  void UnansweredNonIdempotentEndsUnknown() {
    ShardDriver shard(2);
    shard.Ready();
    TaskSpec spec = MakeTask("j");
    spec.idempotent = false;
    shard.Ask(spec);
    const Start start = shard.Only<Start>();
    shard.Feed(StartAnswered{start.target, "a/j/0", 1, false, true,
                             ErrorKind::kTargetUnreachable});
    shard.now = start.start_by + Policy{}.report_delay + Millis(1);
    shard.Feed(TargetReport{start.target, {}, {}});
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kUnknown);
    shard.Ask(spec);
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kUnknown);
  }

  void UnansweredStartThatRunsIsNotRepeated() {
    ShardDriver shard(2);
    shard.Ready();
    shard.Ask(MakeTask("j"));
    const Start start = shard.Only<Start>();
    shard.Feed(StartAnswered{start.target, "a/j/0", 1, false, true,
                             ErrorKind::kTargetUnreachable});
    shard.now = start.start_by + Policy{}.report_delay + Millis(1);
    shard.Feed(TargetReport{start.target, {shard.Running(start)}, {}});
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    CPPUNIT_ASSERT_EQUAL(start.target, shard.Only<Started>().target);
  }

  void DuplicateEnqueueStartsOnce() {
    ShardDriver shard(2);
    shard.Ready();
    const Start start = shard.Run(MakeTask("j"));
    shard.Ask(MakeTask("j"));
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("a/j/0"), shard.Only<Started>().task_id);
    TaskSpec later = MakeTask("j");
    later.attempt = 2;
    shard.Ask(later);
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    CPPUNIT_ASSERT(shard.Only<Ended>().error == ErrorKind::kDuplicateRequest);
    shard.Finish(start);
    shard.Ask(MakeTask("j"));
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kDone);
  }

  void RefusedAttemptIsNotStartedByARepeat() {
    ShardDriver shard(1);
    shard.Ready();
    TaskSpec late = MakeTask("j");
    late.deadline = shard.state.clock.ToWall(shard.now + Millis(5000));
    shard.Ask(late);
    CPPUNIT_ASSERT(shard.Only<Ended>().error == ErrorKind::kDeadlineUnmeetable);
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kNotRun);
    // The home may have sent attempt 2 to another shard, so this shard must not
    // start attempt 1 any more.
    shard.Ask(MakeTask("j"));
    CPPUNIT_ASSERT(shard.All<Start>().empty());
  }

  void StaleHomeIsRefused() {
    ShardDriver shard(1);
    shard.Ready();
    shard.Feed(Inquire{{kHome.partition, kHome.epoch + 1}});
    shard.Ask(MakeTask("j"));
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    CPPUNIT_ASSERT(shard.Only<Ended>().error == ErrorKind::kOwnerStale);
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kNotRun);
    shard.Feed(Enqueue{{kHome.partition, kHome.epoch + 1}, {MakeTask("j")}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shard.All<Start>().size());
  }

  void CancelledTaskIsNotStartedByLateEnqueue() {
    ShardDriver shard(1);
    shard.Ready();
    shard.Feed(Cancel{kHome, {"a/j/0"}});
    shard.Ask(MakeTask("j"));
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kNotRun);
    CPPUNIT_ASSERT(shard.Only<Ended>().error == ErrorKind::kCancelled);
  }

  void CancelThatOvertakesItsStartIsResent() {
    ShardDriver shard(1);
    shard.Ready();
    shard.Ask(MakeTask("j"));
    const Start start = shard.Only<Start>();
    shard.Feed(Cancel{kHome, {"a/j/0"}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shard.All<Stop>().size());
    shard.Accept(start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shard.All<Stop>().size());
    shard.Finish(start, TaskEnd::kCancelled);
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kCancelled);
    CPPUNIT_ASSERT(shard.All<Start>().empty());
  }

  void NoStartBeforeReportAfterTakeover() {
    ShardDriver shard(2);
    shard.Ready();
    shard.TakeOver(2);
    shard.Ask(MakeTask("j"));
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    shard.Feed(TargetReport{"t1", {}, {}});
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), shard.Only<Start>().target);
    CPPUNIT_ASSERT(shard.Only<Start>().epoch == 2);
  }

  void TakeoverCountsWhatUnreportedTargetsMayRun() {
    ShardDriver shard(2);
    shard.grant = 8;
    shard.Ready();
    shard.TakeOver(2);
    shard.Feed(TargetReport{"t1", {}, {}});
    shard.Ask(MakeTask("j"));  // Unreported t0 may run 8 slots of team a.
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    shard.Feed(TargetReport{"t0", {}, {}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shard.All<Start>().size());
  }

  void TakeoverAdoptsAndAnswersInquiries() {
    ShardDriver shard(2);
    shard.Ready();
    const Start running = shard.Run(MakeTask("j"));
    ShardDriver next(2);
    next.Feed(ConfigInForce{&next.config});
    next.TakeOver(2);
    next.Feed(Inquire{{kHome.partition, kHome.epoch + 1}});
    CPPUNIT_ASSERT(!next.Only<Known>().complete);
    ReportedTask ended = shard.Running(running);
    ended.id = "a/k/0";
    ended.spec.job = "k";
    ended.running = false;
    ended.result = "r";
    next.Feed(TargetReport{"t0", {shard.Running(running), ended}, {}});
    CPPUNIT_ASSERT_EQUAL(std::string("a/j/0"), next.Only<Started>().task_id);
    CPPUNIT_ASSERT_EQUAL(std::string("r"), next.Only<Ended>().result);
    CPPUNIT_ASSERT(next.Only<Ended>().home.epoch == kHome.epoch + 1);
    next.Feed(TargetReport{"t1", {}, {}});
    CPPUNIT_ASSERT(next.Only<Known>().complete);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, next.Only<Known>().tasks.size());
    next.Feed(Enqueue{{kHome.partition, kHome.epoch + 1}, {MakeTask("j")}});
    CPPUNIT_ASSERT(next.All<Start>().empty());
  }

  // The task was preempted at t0 and runs at t1 when the owner changes. The end
  // that t0 reports must not be taken for the end of the run at t1.
  void TakeoverAdoptsTaskThatMovedToAnotherTarget() {
    ShardDriver shard(2);
    shard.Ready();
    const Start start = shard.Run(MakeTask("j"));
    shard.TakeOver(2);
    ReportedTask stopped = shard.Running(start);
    stopped.running = false;
    stopped.end = TaskEnd::kCancelled;
    shard.Feed(TargetReport{"t0", {stopped}, {}});
    CPPUNIT_ASSERT(shard.All<Ended>().empty());
    shard.Feed(TargetReport{"t1", {shard.Running(start)}, {}});
    CPPUNIT_ASSERT_EQUAL(std::string("t1"), shard.Only<Started>().target);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{15}, FreeCapacity(shard.state).slots);
    // After another stop, the task must not return to t0, which still lists the
    // end of the earlier run.
    shard.Feed(TargetReport{"t0", {stopped}, {}});
    shard.Feed(TaskEnded{"t1", "a/j/0", 1, TaskEnd::kCancelled, {}});
    CPPUNIT_ASSERT(shard.All<Start>().empty());
  }

  void LoweredGrantStopsStartsNotTasks() {
    ShardDriver shard(1);
    shard.grant = 4;
    shard.Ready();
    std::vector<Start> starts;
    starts.reserve(4);
    for (int i = 0; i < 4; ++i) {
      starts.push_back(shard.Run(MakeTask("j" + std::to_string(i))));
    }
    shard.Feed(GrantChanged{"a", 2});
    CPPUNIT_ASSERT(shard.All<Stop>().empty());
    shard.Ask(MakeTask("k"));
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    shard.Finish(starts[0]);
    shard.Finish(starts[1]);
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    shard.Finish(starts[2]);
    CPPUNIT_ASSERT_EQUAL(std::string("a/k/0"), shard.Only<Start>().task.Id());
  }

  void ReturnedGrantIsNotUsedBeforeAnswer() {
    ShardDriver shard(4);
    shard.grant = 32;
    shard.Ready();
    const Start start = shard.Run(MakeTask("j"));
    std::int64_t kept = 32;
    for (int i = 0; i < 40; ++i) {
      shard.Advance(Millis(1000));
      for (const RequestGrant& want : shard.All<RequestGrant>()) {
        kept = want.team == "a" ? want.slots : kept;
      }
    }
    CPPUNIT_ASSERT(kept < 32);
    int started = 1;
    for (int i = 0; i < 31; ++i) {
      shard.Ask(MakeTask("k" + std::to_string(i)));
      started += static_cast<int>(shard.All<Start>().size());
    }
    CPPUNIT_ASSERT_EQUAL(kept, std::int64_t{started});
    // The grant was read from the store before `kept` was written.
    shard.Feed(GrantChanged{"a", 32});
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    shard.Feed(GrantChanged{"a", kept});
    shard.Feed(GrantChanged{"a", 32});
    CPPUNIT_ASSERT_EQUAL(32 - started,
                         static_cast<int>(shard.All<Start>().size()));
  }

  void LeavingAndUnreachableTargetsGetNoStarts() {
    ShardDriver shard(3);
    shard.Ready();
    shard.Feed(TargetHealth{"t0", true, true});
    shard.Feed(TargetHealth{"t1", false, false});
    for (int i = 0; i < 12; ++i) {
      shard.Ask(MakeTask("j" + std::to_string(i)));
      for (const Start& start : shard.All<Start>()) {
        CPPUNIT_ASSERT_EQUAL(std::string("t2"), start.target);
      }
    }
  }

  void NoStartWithoutOwnership() {
    ShardDriver shard(1);
    shard.Ready();
    shard.Feed(OwnershipChanged{1, false});
    shard.Ask(MakeTask("j"));
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    shard.Feed(OwnershipChanged{1, true});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shard.All<Start>().size());
  }

  void LateEndFromEarlierTargetIsIgnored() {
    ShardDriver shard(2);
    shard.Ready();
    shard.Ask(MakeTask("j"));
    const Start first = shard.Only<Start>();
    shard.Feed(StartAnswered{first.target, "a/j/0", 1, false, false,
                             ErrorKind::kTargetRefused});
    const Start second = shard.Only<Start>();
    CPPUNIT_ASSERT(second.target != first.target);
    shard.Finish(first);
    CPPUNIT_ASSERT(shard.All<Ended>().empty());
    shard.Finish(second);
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kDone);
  }

  void OutdatedReportDoesNotReviveEndedTask() {
    ShardDriver shard(1);
    shard.Ready();
    const Start start = shard.Run(MakeTask("j"));
    shard.Finish(start);
    shard.Feed(TargetReport{"t0", {shard.Running(start)}, {}});
    CPPUNIT_ASSERT(shard.All<Started>().empty());
    CPPUNIT_ASSERT(FreeCapacity(shard.state) == testing::kTargetSize);
    // A report that is certainly newer than the end lists the run, which should
    // not exist. It is stopped, and its resources stay reserved until it ends.
    shard.now += Policy{}.report_delay;
    shard.Feed(TargetReport{"t0", {shard.Running(start)}, {}});
    CPPUNIT_ASSERT(shard.All<Started>().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("a/j/0"), shard.Only<Stop>().task_id);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, FreeCapacity(shard.state).slots);
  }

  void StrayRunIsStoppedAndKeepsReservation() {
    ShardDriver shard(2);
    shard.Ready();
    const Start start = shard.Run(MakeTask("j"));
    const std::string other = start.target == "t0" ? "t1" : "t0";
    shard.Feed(TargetReport{other, {shard.Running(start)}, {}});
    CPPUNIT_ASSERT_EQUAL(other, shard.Only<Stop>().target);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{14}, FreeCapacity(shard.state).slots);
    shard.Feed(TargetReport{other, {}, {}});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{15}, FreeCapacity(shard.state).slots);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardTest);

}  // namespace
}  // namespace buckthornmux::sched
