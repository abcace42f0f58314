// Accepted jobs go on after their queue was removed from the configuration or
// replaced by another one.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "cell_owner.h"
#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr Millis kReported{300};
/// Far more than any job of these tests takes once its steps may start.
constexpr Millis kEnough{20'000};

cell::Queue QueueAt(const std::string& name, const std::string& prefix) {
  cell::Queue queue = PlainQueue(name);
  queue.host_name = "jobs.example";
  queue.prefix = prefix;
  queue.max_attempts = 2;
  return queue;
}

cell::JobSpec TwoSteps(const std::string& id) {
  cell::JobSpec job = PlainJob(id, 2, 1000);
  job.steps.push_back(PlainStep(2, 1000, 1000));
  job.steps[1].after = {0};
  return job;
}

WorldOptions SmallWorld() {
  WorldOptions options;
  options.targets = 4;
  return options;
}

void OpenWorld(World& world) {
  world.SetRules({QueueAt("plain", "/plain/")});
  world.RunUntil(world.NowTime() + kReported);
}

void Run(World& world, Millis lasts) {
  world.RunUntil(world.NowTime() + lasts);
}

void AssertCompleted(World& world, const std::string& job) {
  CPPUNIT_ASSERT(world.PhaseOf(job) == cell::JobPhase::kCompleted);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.Breaches().size());
}

class RemovedQueuesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RemovedQueuesTest);
  CPPUNIT_TEST(LaterStepsStartUnderAReplacedQueue);
  CPPUNIT_TEST(WaitingTasksStartUnderARemovedQueue);
  CPPUNIT_TEST(ServiceOfARemovedQueueIsRestarted);
  CPPUNIT_TEST(OccurrencesOfARemovedQueueBegin);
  CPPUNIT_TEST(RunsOfARemovedQueueStayBounded);
  CPPUNIT_TEST(StepsOfARemovedQueueStillNeedTickets);
  CPPUNIT_TEST(NextOwnerKnowsARemovedQueue);
  CPPUNIT_TEST(NextOwnerKnowsAQueueThatItsConfigurationNeverHad);
  CPPUNIT_TEST(LatestDefinitionOfAQueueCounts);
  CPPUNIT_TEST(ServiceThatIsGoneIsReplacedByThatOfThePath);
  CPPUNIT_TEST(PendingJobsAreCountedUnderTheNewName);
  CPPUNIT_TEST(RemovedQueueAcceptsNothing);
  CPPUNIT_TEST(JobIsNeverStoredBeforeItsQueue);
  CPPUNIT_TEST(RecordsOfEarlierBuildsAreRead);
  CPPUNIT_TEST(RecordsOfUnusedQueuesAreErased);
  CPPUNIT_TEST_SUITE_END();

 public:
  // review/3: guards against steps that wait for ever once a route of another
  // name has taken the place of theirs.
  void LaterStepsStartUnderAReplacedQueue() {
    World world(SmallWorld());
    OpenWorld(world);
    world.Submit(TwoSteps("job"));
    Run(world, Millis(400));
    world.SetRules({QueueAt("renamed", "/plain/")});
    Run(world, kEnough);
    AssertCompleted(world, "job");
  }

  // Guards against tasks that wait for ever once their queue was removed.
  void WaitingTasksStartUnderARemovedQueue() {
    World world(SmallWorld());
    OpenWorld(world);
    world.Submit(PlainJob("wide", 200, 500));
    Run(world, Millis(200));
    world.SetRules({});
    Run(world, kEnough);
    AssertCompleted(world, "wide");
  }

  // Guards against services that aren't restarted once their queue was removed.
  void ServiceOfARemovedQueueIsRestarted() {
    World world(SmallWorld());
    OpenWorld(world);
    cell::JobSpec service = PlainJob("service", 1, 1000);
    service.steps[0].service = true;
    service.steps[0].estimate = Millis(3'600'000);
    world.Submit(service);
    Run(world, Millis(500));
    world.SetRules({});
    Run(world, Millis(500));
    const cell::TaskId task{"service", 0, 0, 0};
    CPPUNIT_ASSERT_EQUAL(1, world.StartsOf(task));
    for (int i = 0; i < 4; ++i) {
      if (!world.Target(i).running.empty()) {
        world.Restart(i, Millis(500), Millis(500), 2);
        break;
      }
    }
    Run(world, kEnough);
    CPPUNIT_ASSERT_EQUAL(2, world.StartsOf(task));
  }

  // Guards against recurring jobs that end with the queue.
  void OccurrencesOfARemovedQueueBegin() {
    World world(SmallWorld());
    OpenWorld(world);
    cell::JobSpec job = PlainJob("recurring", 1, 500);
    job.recurrence = {ToMillis(world) + 1000, Millis(2000), 3};
    world.Submit(job);
    Run(world, Millis(1500));
    world.SetRules({QueueAt("other", "/other/")});
    Run(world, kEnough);
    AssertCompleted(world, "recurring");
  }

  // Guards against tasks without a bound on their attempts.
  void RunsOfARemovedQueueStayBounded() {
    World world(SmallWorld());
    OpenWorld(world);
    for (int i = 0; i < 4; ++i) {
      world.Target(i).faults.fails_all = true;
    }
    world.Submit(PlainJob("failing", 1, 1000));
    Run(world, Millis(500));
    world.SetRules({});
    Run(world, kEnough);
    CPPUNIT_ASSERT(world.PhaseOf("failing") == cell::JobPhase::kFailed);
    CPPUNIT_ASSERT_EQUAL(2, world.StartsOf({"failing", 0, 0, 0}));
  }

  // Guards against starts without a ticket that the queue asks for.
  void StepsOfARemovedQueueStillNeedTickets() {
    World world(SmallWorld());
    cell::Queue queue = QueueAt("plain", "/plain/");
    queue.advice = cell::AdviceRules{Millis(60), 1, Millis(2500)};
    world.SetRules({queue});
    Run(world, kReported);
    world.Submit(TwoSteps("job"));
    Run(world, Millis(600));
    const int calls = world.AdviceCalls();
    CPPUNIT_ASSERT(calls > 0);
    world.SetRules({QueueAt("renamed", "/plain/")});
    Run(world, kEnough);
    AssertCompleted(world, "job");
    CPPUNIT_ASSERT(world.AdviceCalls() > calls);
  }

  // Guards against a next owner that has the job, but not its queue.
  void NextOwnerKnowsARemovedQueue() {
    World world(SmallWorld());
    OpenWorld(world);
    world.Submit(TwoSteps("job"));
    Run(world, Millis(400));
    world.SetRules({QueueAt("renamed", "/plain/")});
    Run(world, Millis(400));
    world.ReplaceOwner(Millis(300));
    Run(world, kEnough);
    AssertCompleted(world, "job");
  }

  // Guards against a queue that is lost with the owner that has accepted the
  // job, over more than one change of the owner.
  void NextOwnerKnowsAQueueThatItsConfigurationNeverHad() {
    World world(SmallWorld());
    OpenWorld(world);
    world.Submit(TwoSteps("job"));
    Run(world, Millis(400));
    world.ReplaceOwner(Millis(300));
    world.SetRules({});
    Run(world, Millis(500));
    world.ReplaceOwner(Millis(300));
    Run(world, kEnough);
    AssertCompleted(world, "job");
  }

  // A queue that was changed before it was removed is known as it was last.
  void LatestDefinitionOfAQueueCounts() {
    const Time now(Millis(10'000));
    Records stored;
    cell::Cell first = Open(1, {}, {Entry("t1", "127.0.0.1:1")}, now);
    Accept(first, "job", now);
    Store(first, stored, now);
    cell::Queue changed = PlainQueue("plain", 3);
    changed.service = "elsewhere";
    SetQueues(first, {changed}, 2, now);
    Store(first, stored, now + Millis(500));
    cell::Cell next = OpenWithout(2, stored, now);
    CPPUNIT_ASSERT_EQUAL(3, next.jobs.at("job").priority);
    CPPUNIT_ASSERT_EQUAL(std::string("elsewhere"),
                         next.kept_queues.at("plain").definition.service);
  }

  // A job follows its path to another service only if its own is gone.
  void ServiceThatIsGoneIsReplacedByThatOfThePath() {
    const Time now(Millis(10'000));
    cell::TargetEntry former = Entry("t1", "127.0.0.1:1");
    cell::TargetEntry other = Entry("t2", "127.0.0.1:2");
    other.service = "other";
    cell::Cell owned = Open(1, {}, {former, other}, now);
    SetQueues(owned, {QueueAt("plain", "/plain/")}, 2, now);
    Records stored;
    Accept(owned, "job", now);
    Store(owned, stored, now);
    cell::Queue successor = QueueAt("renamed", "/plain/");
    successor.service = "other";
    SetQueues(owned, {successor}, 3, now);
    Tick(owned, now + Millis(2000));
    CPPUNIT_ASSERT_EQUAL(std::string("service"),
                         owned.kept_queues.at("plain").definition.service);
    cell::Actions actions;
    cell::SetTargets(owned, actions, std::vector{other}, now + Millis(2000),
                     now + Millis(2000));
    Tick(owned, now + Millis(5000));
    Tick(owned, now + Millis(8000));
    CPPUNIT_ASSERT_EQUAL(std::string("other"),
                         owned.kept_queues.at("plain").definition.service);
  }

  // Guards against a listing that omits the jobs of the former queue.
  void PendingJobsAreCountedUnderTheNewName() {
    const Time now(Millis(10'000));
    cell::Cell owned = Open(1, {}, {Entry("t1", "127.0.0.1:1")}, now);
    SetQueues(owned, {QueueAt("plain", "/plain/")}, 2, now);
    Records stored;
    Accept(owned, "job", now);
    Store(owned, stored, now);
    CPPUNIT_ASSERT_EQUAL(1U, cell::PendingOf(owned, "plain"));
    SetQueues(owned,
              {QueueAt("renamed", "/plain/"), QueueAt("other", "/other/")}, 3,
              now);
    CPPUNIT_ASSERT_EQUAL(1U, cell::PendingOf(owned, "renamed"));
    CPPUNIT_ASSERT_EQUAL(1U, cell::PendingOf(owned, "plain"));
    CPPUNIT_ASSERT_EQUAL(0U, cell::PendingOf(owned, "other"));
  }

  // The other side: requests follow the configuration in force alone.
  void RemovedQueueAcceptsNothing() {
    const Time now(Millis(10'000));
    cell::Cell owned = Open(1, {}, {Entry("t1", "127.0.0.1:1")}, now);
    Records stored;
    Accept(owned, "job", now);
    Store(owned, stored, now);
    SetQueues(owned, {}, 2, now);
    cell::Actions actions;
    cell::Submit(owned, actions, 2, PlainJob("late"), now);
    CPPUNIT_ASSERT(!owned.jobs.contains("late"));
  }

  // Guards against a job in the store whose queue isn't.
  void JobIsNeverStoredBeforeItsQueue() {
    const Time now(Millis(10'000));
    constexpr std::size_t kQueues = 60;
    std::vector<cell::Queue> queues;
    for (std::size_t i = 0; i < kQueues; ++i) {
      queues.push_back(PlainQueue("queue-" + std::to_string(i)));
    }
    cell::Cell owned = Open(1, {}, {Entry("t1", "127.0.0.1:1")}, now);
    SetQueues(owned, queues, 2, now);
    cell::Actions actions;
    for (std::size_t i = 0; i < kQueues; ++i) {
      cell::JobSpec job = PlainJob("job-" + std::to_string(i));
      job.queue = queues[kQueues - 1 - i].name;
      cell::Submit(owned, actions, i, job, now);
    }
    Records stored;
    constexpr std::size_t kMaxBatchWrites = 29;
    std::size_t accepted = 0;
    while (auto batch = cell::TakeBatch(owned, kMaxBatchWrites, now)) {
      CPPUNIT_ASSERT(batch->writes.size() <= kMaxBatchWrites);
      for (const auto& write : batch->writes) {
        stored[write.key] = write;
      }
      cell::OnBatchStored(owned, actions, *batch, now);
      const cell::Cell next = OpenWithout(2, stored, now);
      for (const auto& [id, job] : next.jobs) {
        CPPUNIT_ASSERT(next.kept_queues.contains(job.spec.queue));
      }
      accepted = next.jobs.size();
    }
    CPPUNIT_ASSERT_EQUAL(kQueues, accepted);
  }

  // Records without queues, as earlier builds have left them.
  void RecordsOfEarlierBuildsAreRead() {
    const Time now(Millis(10'000));
    Records stored;
    cell::Cell first = Open(1, {}, {Entry("t1", "127.0.0.1:1")}, now);
    Accept(first, "job", now);
    Store(first, stored, now);
    std::erase_if(stored, [](const auto& entry) {
      return entry.first.starts_with("queues/");
    });
    // The queue is still in force: the next owner stores it.
    Records upgraded = stored;
    cell::Cell next = Open(2, stored, {Entry("t1", "127.0.0.1:1")}, now);
    Store(next, upgraded, now + Millis(500));
    CPPUNIT_ASSERT(OpenWithout(3, upgraded, now).kept_queues.contains("plain"));
    // It is gone: the job is known and can be cancelled, and starts once the
    // queue is back.
    cell::Cell without = OpenWithout(2, stored, now);
    CPPUNIT_ASSERT(cell::PhaseOf(without, "job") == cell::JobPhase::kQueued);
    Report(without, "t1", now);
    Store(without, stored, now + Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, StartsIn(without, now));
    SetQueues(without, {PlainQueue("plain")}, 9, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, StartsIn(without, now));
  }

  // Guards against records that pile up as queues come and go.
  void RecordsOfUnusedQueuesAreErased() {
    World world(SmallWorld());
    for (int i = 0; i < 5; ++i) {
      const std::string name = "queue-" + std::to_string(i);
      world.SetRules({QueueAt(name, "/plain/")});
      Run(world, kReported);
      cell::JobSpec job = PlainJob("job-" + std::to_string(i));
      job.queue = name;
      world.Submit(job);
      Run(world, Millis(3000));
      AssertCompleted(world, job.id);
    }
    const auto count = [&] {
      return std::ranges::count_if(world.Records(), [](const auto& entry) {
        return entry.first.starts_with("queues/");
      });
    };
    CPPUNIT_ASSERT(count() > 1);
    // Ended jobs are kept for 130 s.
    Run(world, Millis(150'000));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, count());
  }

 private:
  static WallMillis ToMillis(const World& world) {
    return world.NowTime().time_since_epoch().count();
  }

  static void Accept(cell::Cell& owned, const std::string& id, Time now) {
    cell::Actions actions;
    cell::Submit(owned, actions, 1, PlainJob(id), now);
    CPPUNIT_ASSERT(owned.jobs.contains(id));
  }

  static void SetQueues(cell::Cell& owned, std::vector<cell::Queue> queues,
                        std::uint64_t version, Time now) {
    cell::Actions actions;
    cell::Rules rules;
    rules.version = version;
    rules.queues = std::move(queues);
    cell::SetRules(owned, actions, rules, now);
  }

  static void Tick(cell::Cell& owned, Time now) {
    cell::Actions actions;
    cell::Tick(owned, actions, now);
  }

  static std::size_t StartsIn(cell::Cell& owned, Time now) {
    cell::Actions actions;
    cell::Plan(owned, actions, now);
    return static_cast<std::size_t>(
        std::ranges::count_if(actions, [](const cell::Action& action) {
          return std::holds_alternative<cell::SendStart>(action);
        }));
  }

  /// Opens a cell under a configuration without queues.
  static cell::Cell OpenWithout(Epoch epoch, const Records& stored, Time now) {
    std::vector<cell::RecordWrite> records;
    for (const auto& [key, write] : stored) {
      records.push_back(write);
    }
    cell::Cell owned;
    cell::Actions actions;
    owned.epoch = epoch;
    owned.claimed_at = now;
    owned.former_renewals_until = now;
    CPPUNIT_ASSERT(!std::holds_alternative<Error>(
        Capture([&] { return cell::LoadRecords(owned, records, now); })));
    cell::SetTargets(owned, actions, std::vector{Entry("t1", "127.0.0.1:1")},
                     now, now);
    cell::StartService(owned, actions, now);
    return owned;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RemovedQueuesTest);

}  // namespace
}  // namespace buckthornmux::tests
