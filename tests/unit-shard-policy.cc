// Scheduling policy under load: urgent work, deadlines, shares, gangs, failing
// targets, failing jobs and immediate refusals.
#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "shard_driver.h"

namespace buckthornmux::sched {
namespace {

using testing::kHome;
using testing::MakeTask;
using testing::ShardDriver;

class ShardPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ShardPolicyTest);
  CPPUNIT_TEST(UrgentPreemptsIdempotentPatientWork);
  CPPUNIT_TEST(UrgentDoesNotPreemptNonPreemptibleWork);
  CPPUNIT_TEST(UnattainableUrgentIsRefusedAtOnce);
  CPPUNIT_TEST(UrgentIsRefusedAtOnceByTeamLimit);
  CPPUNIT_TEST(CapacityIsReservedForUrgentArrivals);
  CPPUNIT_TEST(LeastLaxityGoesFirst);
  CPPUNIT_TEST(HistoryRefusesUnmeetableDeadlineEarly);
  CPPUNIT_TEST(BackloggedTeamsGetTheirShares);
  CPPUNIT_TEST(LentCapacityIsReclaimed);
  CPPUNIT_TEST(GangStartsCompletelyOrNotAtAll);
  CPPUNIT_TEST(SmallWorkCannotStarveAGang);
  CPPUNIT_TEST(TwoGangsDoNotBlockEachOther);
  CPPUNIT_TEST(RefusedMemberEndsItsGang);
  CPPUNIT_TEST(OversizedTaskIsRefusedAtOnce);
  CPPUNIT_TEST(FullQueueRefuses);
  CPPUNIT_TEST(FailingTargetIsQuarantinedAndProbed);
  CPPUNIT_TEST(FailingJobIsRefusedAndTargetsStayUsable);
  CPPUNIT_TEST(BulkCancelEndsAllTasks);
  CPPUNIT_TEST(GrantRequestsAreFew);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Fills the shard with running tasks of one slot each.
  static std::vector<Start> Fill(ShardDriver& shard, TaskSpec spec,
                                 const std::string& prefix) {
    std::vector<Start> starts;
    const std::size_t count = shard.config.targets.size() * 8;
    starts.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      spec.job = prefix + std::to_string(i);
      starts.push_back(shard.Run(spec));
    }
    return starts;
  }

  static TaskSpec Urgent(const ShardDriver& shard, const std::string& job,
                         Millis wait) {
    TaskSpec spec = MakeTask(job, "b", WorkClass::kUrgent);
    spec.expected_run = Millis(100);
    spec.deadline = shard.state.clock.ToWall(shard.now + wait);
    return spec;
  }

  static Enqueue Gang(const std::string& job, std::uint32_t size) {
    Enqueue enqueue{kHome, {}};
    for (std::uint32_t i = 0; i < size; ++i) {
      TaskSpec spec = MakeTask(job);
      spec.kind = "gang";
      spec.gang_size = size;
      spec.index = i;
      enqueue.tasks.push_back(spec);
    }
    return enqueue;
  }

  void UrgentPreemptsIdempotentPatientWork() {
    ShardDriver shard(2);
    shard.Ready();
    Fill(shard, MakeTask(""), "p");
    shard.Ask(Urgent(shard, "u", Millis(1000)));
    const Stop stop = shard.Only<Stop>();
    CPPUNIT_ASSERT(stop.checkpoint);
    CPPUNIT_ASSERT(shard.All<Ended>().empty());
    shard.Feed(TaskEnded{
        stop.target, stop.task_id, stop.attempt, TaskEnd::kCancelled, {}});
    CPPUNIT_ASSERT_EQUAL(std::string("b/u/0"), shard.Only<Start>().task.Id());
    CPPUNIT_ASSERT(shard.All<Ended>().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shard.state.queued);
    // The preempted task is first in the queue, and starts on another target.
    shard.Ask(MakeTask("later"));
    CPPUNIT_ASSERT(
        shard.state.lanes.begin()->second.units.begin()->second.task_ids[0] ==
        stop.task_id);
  }

  void UrgentDoesNotPreemptNonPreemptibleWork() {
    ShardDriver shard(1);
    shard.Ready();
    TaskSpec once = MakeTask("");
    once.idempotent = false;
    std::vector<Start> running;
    for (int i = 0; i < 4; ++i) {
      once.job = "n" + std::to_string(i);
      running.push_back(shard.Run(once));
    }
    for (int i = 0; i < 4; ++i) {
      running.push_back(shard.Run(
          MakeTask("s" + std::to_string(i), "a", WorkClass::kService)));
    }
    shard.Ask(Urgent(shard, "u", Millis(60'000)));
    CPPUNIT_ASSERT(shard.All<Stop>().empty());
  }

  void UnattainableUrgentIsRefusedAtOnce() {
    ShardDriver shard(1);
    shard.Ready();
    TaskSpec once = MakeTask("");
    once.idempotent = false;
    Fill(shard, once, "n");
    shard.Ask(Urgent(shard, "u", Millis(500)));
    CPPUNIT_ASSERT(shard.Only<Ended>().error == ErrorKind::kCellFull);
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kNotRun);
    CPPUNIT_ASSERT(shard.Only<Ended>().retry_after > Millis(0));
  }

  void UrgentIsRefusedAtOnceByTeamLimit() {
    ShardDriver shard(2);
    shard.config.teams[1].limit = 2;
    shard.Ready();
    for (int i = 0; i < 2; ++i) {
      TaskSpec spec = Urgent(shard, "v" + std::to_string(i), Millis(60'000));
      spec.expected_run = Millis(60'000);
      shard.Run(spec);
    }
    shard.Ask(Urgent(shard, "u", Millis(500)));
    CPPUNIT_ASSERT(shard.Only<Ended>().error == ErrorKind::kTeamLimit);
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kNotRun);
    CPPUNIT_ASSERT(shard.Only<Ended>().retry_after > Millis(0));
  }

  void CapacityIsReservedForUrgentArrivals() {
    ShardDriver shard(4);
    shard.Ready();
    // Ten arrivals per second of 200 ms each give two concurrent tasks on
    // average, plus a reserve for the deviation.
    for (int i = 0; i < 100; ++i) {
      const Start start =
          shard.Run(Urgent(shard, "u" + std::to_string(i), Millis(1000)));
      shard.now += Millis(100);
      shard.Finish(start);
    }
    std::size_t started = 0;
    for (int i = 0; i < 40; ++i) {
      shard.Ask(MakeTask("p" + std::to_string(i)));
      started += shard.All<Start>().size();
    }
    CPPUNIT_ASSERT(started >= 24 && started < 32);
    shard.Ask(Urgent(shard, "last", Millis(1000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shard.All<Start>().size());
  }

  void LeastLaxityGoesFirst() {
    ShardDriver shard(1);
    shard.Ready();
    const std::vector<Start> running = Fill(shard, MakeTask(""), "r");
    TaskSpec late = MakeTask("late");
    late.deadline = shard.state.clock.ToWall(shard.now + Millis(900'000));
    TaskSpec soon = MakeTask("soon");
    soon.deadline = shard.state.clock.ToWall(shard.now + Millis(100'000));
    shard.Ask(MakeTask("whenever"));
    shard.Ask(late);
    shard.Ask(soon);
    shard.Finish(running[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("a/soon/0"),
                         shard.Only<Start>().task.Id());
    shard.Finish(running[1]);
    CPPUNIT_ASSERT_EQUAL(std::string("a/late/0"),
                         shard.Only<Start>().task.Id());
  }

  void HistoryRefusesUnmeetableDeadlineEarly() {
    ShardDriver shard(1);
    shard.Ready();
    shard.ledger_answers = true;
    TaskSpec spec = MakeTask("");
    // The declared run time; the real one is one minute.
    spec.expected_run = Millis(1000);
    for (int i = 0; i < 5; ++i) {
      spec.job = "h" + std::to_string(i);
      const Start start = shard.Run(spec);
      shard.now += Millis(60'000);
      shard.Finish(start);
    }
    spec.job = "tight";
    spec.deadline = shard.state.clock.ToWall(shard.now + Millis(30'000));
    shard.Ask(spec);
    CPPUNIT_ASSERT(shard.Only<Ended>().error == ErrorKind::kDeadlineUnmeetable);
  }

  void BackloggedTeamsGetTheirShares() {
    // 40 slots; the shares of teams a, b and c are 0.5, 0.3 and 0.2.
    ShardDriver shard(5);
    shard.Ready();
    for (const char* team : {"a", "b", "c"}) {
      for (int i = 0; i < 400; ++i) {
        shard.Ask(MakeTask(team + std::to_string(i), team));
      }
    }
    // Team a came first and uses the idle shares of b and c, which are freed as
    // its tasks end.
    for (int round = 0; round < 200; ++round) {
      shard.now += Millis(10);
      const auto& holds =
          shard.state.targets[static_cast<std::size_t>(round % 5)].holds;
      const Hold hold = holds[static_cast<std::size_t>(round / 5 % 8)];
      const std::string id = hold.task_id;
      shard.Feed(
          TaskEnded{ShardDriver::Target(static_cast<std::size_t>(round % 5)),
                    id,
                    1,
                    TaskEnd::kDone,
                    {}});
    }
    std::map<TeamName, std::int64_t> used;
    for (const TeamUse& use : TeamUses(shard.state)) {
      used[use.team] = use.used.slots;
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{20}, used["a"]);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{12}, used["b"]);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, used["c"]);
  }

  void LentCapacityIsReclaimed() {
    ShardDriver shard(2);
    shard.Ready();
    Fill(shard, MakeTask(""), "p");
    for (int i = 0; i < 16; ++i) {
      shard.Ask(MakeTask("w" + std::to_string(i), "b"));
    }
    CPPUNIT_ASSERT(shard.All<Stop>().empty());
    shard.Advance(Policy{}.reclaim_delay);
    CPPUNIT_ASSERT(!shard.All<Stop>().empty());
    for (const Stop& stop : shard.All<Stop>()) {
      CPPUNIT_ASSERT(stop.checkpoint);
      CPPUNIT_ASSERT_EQUAL(std::string("a/p"), stop.task_id.substr(0, 3));
    }
  }

  void GangStartsCompletelyOrNotAtAll() {
    ShardDriver shard(2);
    shard.Ready();
    const Start one = shard.Run(MakeTask("j"));
    shard.Feed(Gang("g", 16));
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    shard.Finish(one);
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, shard.All<Start>().size());
  }

  void SmallWorkCannotStarveAGang() {
    ShardDriver shard(2);
    shard.Ready();
    std::vector<Start> running = Fill(shard, MakeTask(""), "p");
    shard.Feed(Gang("g", 12));
    bool started = false;
    for (int i = 0; i < 400 && !started; ++i) {
      shard.Ask(MakeTask("q" + std::to_string(i)));
      shard.now += Millis(1000);
      const Start done = running.front();
      running.erase(running.begin());
      shard.Finish(done);
      started = shard.All<Start>().size() == 12;
      for (const Start& start : shard.All<Start>()) {
        running.push_back(start);
      }
    }
    CPPUNIT_ASSERT(started);
  }

  void TwoGangsDoNotBlockEachOther() {
    ShardDriver shard(2);
    shard.Ready();
    const std::vector<Start> running = Fill(shard, MakeTask(""), "p");
    shard.Feed(Gang("g", 10));
    shard.Feed(Gang("h", 11));
    shard.Advance(Policy{}.gang_drain_delay);
    for (const Start& start : running) {
      shard.Finish(start);
      for (const Start& member : shard.All<Start>()) {
        CPPUNIT_ASSERT_EQUAL(std::string("g"), member.task.job);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, shard.state.queued);
    std::vector<Hold> holds = shard.state.targets[0].holds;
    for (const Hold& hold : holds) {
      shard.Feed(TaskEnded{"t0", hold.task_id, 1, TaskEnd::kDone, {}});
    }
    holds = shard.state.targets[1].holds;
    for (const Hold& hold : holds) {
      shard.Feed(TaskEnded{"t1", hold.task_id, 1, TaskEnd::kDone, {}});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, shard.state.queued);
  }

  void RefusedMemberEndsItsGang() {
    ShardDriver shard(2);
    shard.Ready();
    shard.Feed(Gang("g", 3));
    const std::vector<Start> starts = shard.All<Start>();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, starts.size());
    shard.Accept(starts[0]);
    shard.Feed(StartAnswered{starts[1].target, starts[1].task.Id(), 1, false,
                             false, ErrorKind::kTargetRefused});
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, shard.All<Stop>().size());
    shard.Finish(starts[0], TaskEnd::kCancelled);
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kFailed);
  }

  void OversizedTaskIsRefusedAtOnce() {
    ShardDriver shard(2);
    shard.Ready();
    TaskSpec huge = MakeTask("j");
    huge.demand.memory_mb = 32'001;
    shard.Ask(huge);
    CPPUNIT_ASSERT(shard.Only<Ended>().error == ErrorKind::kNeverFits);
    TaskSpec labelled = MakeTask("k");
    labelled.labels = {"gpu"};
    shard.Ask(labelled);
    CPPUNIT_ASSERT(shard.Only<Ended>().error == ErrorKind::kNeverFits);
    shard.Feed(Gang("g", 17));
    CPPUNIT_ASSERT_EQUAL(std::size_t{17}, shard.All<Ended>().size());
    CPPUNIT_ASSERT(shard.All<Ended>()[0].error == ErrorKind::kNeverFits);
  }

  void FullQueueRefuses() {
    Policy policy;
    policy.max_queued = 3;
    ShardDriver shard(1, policy);
    shard.Ready();
    Fill(shard, MakeTask(""), "p");
    for (int i = 0; i < 3; ++i) {
      shard.Ask(MakeTask("q" + std::to_string(i)));
    }
    shard.Ask(MakeTask("r"));
    CPPUNIT_ASSERT(shard.Only<Ended>().error == ErrorKind::kQueueFull);
    CPPUNIT_ASSERT(shard.Only<Ended>().retry_after > Millis(0));
  }

  void FailingTargetIsQuarantinedAndProbed() {
    ShardDriver shard(8);
    shard.Ready();
    // All tasks fail immediately on t3; the other targets run them normally.
    std::size_t failed = 0;
    for (int i = 0; i < 200; ++i) {
      shard.Ask(MakeTask("j" + std::to_string(i)));
      const Start start = shard.Only<Start>();
      if (start.target == "t3") {
        ++failed;
        shard.Accept(start);
        shard.Finish(start, TaskEnd::kFailed);
      } else if (!start.target.empty()) {
        shard.Accept(start);
        shard.Finish(start);
      }
    }
    CPPUNIT_ASSERT(failed <= Policy{}.quarantine_min_jobs);
    // When all other targets are full, only t3 has free slots, but it still
    // gets only probes.
    for (int i = 0; i < 80; ++i) {
      shard.Ask(MakeTask("k" + std::to_string(i)));
      for (const Start& start : shard.All<Start>()) {
        failed += start.target == "t3" ? 1U : 0U;
        shard.Accept(start);
        if (start.target == "t3") {
          shard.Finish(start, TaskEnd::kFailed);
        }
      }
    }
    CPPUNIT_ASSERT(failed <= Policy{}.quarantine_min_jobs);
    CPPUNIT_ASSERT(TargetConditions(shard.state)[3].aside);
    shard.Advance(Policy{}.first_probe_delay);
    const Start probe = shard.Only<Start>();
    shard.Advance(Policy{}.first_probe_delay / 2);
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    CPPUNIT_ASSERT_EQUAL(std::string("t3"), probe.target);
    shard.Accept(probe);
    shard.Finish(probe);
    CPPUNIT_ASSERT(!TargetConditions(shard.state)[3].aside);
  }

  void FailingJobIsRefusedAndTargetsStayUsable() {
    ShardDriver shard(8);
    shard.Ready();
    TaskSpec bad = MakeTask("bad");
    std::set<TargetId> failed_on;
    for (bad.attempt = 1; bad.attempt < 20; ++bad.attempt) {
      shard.Ask(bad);
      const Start start = shard.Only<Start>();
      if (start.target.empty()) {
        break;
      }
      failed_on.insert(start.target);
      shard.Accept(start);
      shard.Finish(start, TaskEnd::kFailed);
    }
    CPPUNIT_ASSERT(shard.Only<Ended>().error == ErrorKind::kJobRefused);
    CPPUNIT_ASSERT(shard.Only<Ended>().end == TaskEnd::kNotRun);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(Policy{}.job_refusal_targets),
                         failed_on.size());
    for (const TargetCondition& target : TargetConditions(shard.state)) {
      CPPUNIT_ASSERT(!target.aside);
    }
  }

  void BulkCancelEndsAllTasks() {
    constexpr std::size_t kWave = 10'000;
    ShardDriver shard(4);
    shard.Ready();
    Enqueue enqueue{kHome, {}};
    Cancel cancel{kHome, {}};
    TaskSpec spec = MakeTask("wave");
    for (std::size_t i = 0; i < kWave; ++i) {
      spec.index = static_cast<std::uint32_t>(i);
      enqueue.tasks.push_back(spec);
      cancel.task_ids.push_back(spec.Id());
    }
    shard.Feed(enqueue);
    CPPUNIT_ASSERT_EQUAL(std::size_t{32}, shard.All<Start>().size());
    shard.Feed(cancel);
    CPPUNIT_ASSERT_EQUAL(kWave - 32, shard.All<Ended>().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{32}, shard.All<Stop>().size());
    CPPUNIT_ASSERT(shard.All<Start>().empty());
    CPPUNIT_ASSERT(shard.state.lanes.empty());
  }

  void GrantRequestsAreFew() {
    ShardDriver shard(12);
    shard.grant = 0;
    shard.Ready();
    std::size_t asks = 0;
    for (std::size_t i = 0; i < 96; ++i) {
      shard.Ask(MakeTask("j" + std::to_string(i)));
      const std::vector<RequestGrant> wants = shard.All<RequestGrant>();
      asks += wants.size();
      for (const RequestGrant& want : wants) {
        shard.Feed(GrantChanged{want.team, want.slots});
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{96}, shard.state.teams["a"].used.slots);
    CPPUNIT_ASSERT(asks <= 96 / static_cast<std::size_t>(Policy{}.grant_chunk));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShardPolicyTest);

}  // namespace
}  // namespace buckthornmux::sched
