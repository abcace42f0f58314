// What one caller hands in takes bounded memory, records and rounds: what is
// accepted is done, and what can't be is refused at once.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "cell_owner.h"
#include "cell_world.h"
#include "heap_gauge.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr int kTargets = 8;
/// An eighth of the memory of an entry host of the users' first deployments.
constexpr std::size_t kMaxMemory = 32 * kMegabyte;
/// Half of the memory of the smallest entry hosts.
constexpr std::size_t kMaxMemoryOfJobs = 80 * kMegabyte;
/// Maximum size of a value in the users' store, bytes.
constexpr std::size_t kMaxValue = 1'048'576;
constexpr std::uint32_t kMaxTasks = 10'000;  ///< Of one step.
constexpr int kHour = 3'600'000;
constexpr std::size_t kMaxWrites = 29;
constexpr Time kNow{Millis(1'000'000)};

WorldOptions Options() {
  WorldOptions options;
  options.targets = kTargets;
  return options;
}

void Run(World& world, Millis lasts) {
  world.RunUntil(world.NowTime() + lasts);
}

void OpenWorld(World& world) {
  world.SetRules({PlainQueue("plain", 1)});
  Run(world, Millis(300));
}

/// A job with as many steps as are allowed.
cell::JobSpec ManySteps(const std::string& id, std::uint32_t tasks,
                        std::int64_t cpu) {
  cell::JobSpec job = PlainJob(id, tasks, 500);
  job.steps[0].demand = {0, cpu, 0, 0};
  job.steps.resize(cell::kMaxSteps, job.steps[0]);
  return job;
}

std::size_t LargestRecord(const World& world) {
  std::size_t largest = 0;
  for (const auto& [key, value] : world.Records()) {
    largest = std::max(largest, value.size());
  }
  return largest;
}

/// Whether jobs of another team, one each 500 ms, are done in time beside what
/// the world does.
bool OthersAreServed(World& world, const std::string& name) {
  constexpr int kJobs = 6;
  for (int i = 0; i < kJobs; ++i) {
    cell::JobSpec job = PlainJob(name + std::to_string(i), 2, 500);
    job.team = "others";
    world.Submit(job);
    Run(world, Millis(500));
  }
  Run(world, Millis(2500));
  int served = 0;
  for (int i = 0; i < kJobs; ++i) {
    served +=
        world.PhaseOf(name + std::to_string(i)) == cell::JobPhase::kCompleted
            ? 1
            : 0;
  }
  return served == kJobs;
}

/// Submits a job; returns why it is refused, if it is.
std::optional<ErrorKind> SubmitTo(cell::Cell& owned, const cell::JobSpec& job,
                                  Time now = kNow) {
  cell::Actions actions;
  cell::Submit(owned, actions, 1, job, now);
  for (const cell::Action& action : actions) {
    const auto* answer = std::get_if<cell::AnswerSubmit>(&action);
    if (answer != nullptr && answer->error) {
      return answer->error->kind;
    }
  }
  return std::nullopt;
}

/// A target with room for all that a test starts.
cell::Cell OpenCell(const Records& stored = {}, Epoch epoch = 1) {
  cell::TargetEntry entry = Entry("t1", "127.0.0.1:1");
  entry.capacity = {0, 1'000'000, 1'000'000, 0};
  return Open(epoch, stored, {entry}, kNow);
}

class JobMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobMemoryTest);
  CPPUNIT_TEST(ManyTasksTakeBoundedMemory);
  CPPUNIT_TEST(TasksThatNeedNothingTakeBoundedMemory);
  CPPUNIT_TEST(WideStepRunsToItsEndOverSeveralOwners);
  CPPUNIT_TEST(JobsBeyondTheMemoryAreRefused);
  CPPUNIT_TEST(RefusedJobFitsOnceOthersHaveEnded);
  CPPUNIT_TEST(OneTeamLeavesMemoryForOthers);
  CPPUNIT_TEST(NextOwnerCountsTheSameMemory);
  CPPUNIT_TEST(JobThatFitsInNoRecordIsRefusedAtOnce);
  CPPUNIT_TEST(LastingTasksThatNoCellCouldRunAreRefusedAtOnce);
  CPPUNIT_TEST(FailuresOfALastingTaskAreBounded);
  CPPUNIT_TEST(LongCheckpointIsNotKept);
  CPPUNIT_TEST(ProgressIsStoredWithoutCheckpointsIfItIsTooLong);
  CPPUNIT_TEST(ProgressThatIsTooLongHoldsNoOtherBack);
  CPPUNIT_TEST(SilentTargetsFitInTheirRecord);
  CPPUNIT_TEST(JobsFitInTheValuesOfTheStore);
  CPPUNIT_TEST_SUITE_END();

 public:
  // review/5, without a recurrence: guards against a small body whose tasks
  // take an owner over its memory.
  void ManyTasksTakeBoundedMemory() {
    World world(Options());
    OpenWorld(world);
    const HeapGauge heap;
    for (int i = 0; i < 3; ++i) {
      world.Submit(ManySteps("wide-" + std::to_string(i), kMaxTasks, 1000));
    }
    Run(world, Millis(2000));
    CPPUNIT_ASSERT(world.Starts() > 0);
    CPPUNIT_ASSERT(OthersAreServed(world, "other-"));
    world.ReplaceOwner(Millis(500));
    Run(world, Millis(9000));
    CPPUNIT_ASSERT(heap.Grown() < kMaxMemory);
    CPPUNIT_ASSERT(LargestRecord(world) < kMaxValue);
  }

  // The same for tasks that any target has room for.
  void TasksThatNeedNothingTakeBoundedMemory() {
    cell::Cell owned = OpenCell();
    Records stored;
    Report(owned, "t1", kNow);
    const HeapGauge heap;
    SubmitTo(owned, ManySteps("wide", kMaxTasks, 0));
    Store(owned, stored, kNow);
    constexpr int kRounds = 1000;
    for (int i = 0; i < kRounds; ++i) {
      cell::Actions actions;
      cell::Plan(owned, actions, kNow);
    }
    CPPUNIT_ASSERT(heap.Grown() < kMaxMemoryOfJobs);
    CPPUNIT_ASSERT_EQUAL(owned.options.max_runs, owned.run_count);
  }

  // The other side: all tasks run, each once.
  void WideStepRunsToItsEndOverSeveralOwners() {
    constexpr std::uint32_t kCount = 1500;
    World world(Options());
    OpenWorld(world);
    world.Submit(PlainJob("wide", kCount, 300));
    for (int i = 0; i < 2; ++i) {
      Run(world, Millis(900));
      world.ReplaceOwner(Millis(300));
      Run(world, Millis(6500));
    }
    CPPUNIT_ASSERT(world.PhaseOf("wide") == cell::JobPhase::kCompleted);
    for (std::uint32_t i = 0; i < kCount; ++i) {
      CPPUNIT_ASSERT_EQUAL(1, world.StartsOf({"wide", 0, 0, i}));
    }
    CPPUNIT_ASSERT(world.Breaches().empty());
  }

  // Guards against many jobs, none of which is large.
  void JobsBeyondTheMemoryAreRefused() {
    const HeapGauge heap;
    cell::Cell owned = OpenCell();
    constexpr int kJobs = 10'000;
    int refused = 0;
    for (int i = 0; i < kJobs; ++i) {
      cell::JobSpec job = ManySteps("job-" + std::to_string(i), 1, 1000);
      job.team = "team-" + std::to_string(i % 5);
      const auto error = SubmitTo(owned, job);
      refused += error ? 1 : 0;
      CPPUNIT_ASSERT(!error || *error == ErrorKind::kQueueFull);
    }
    CPPUNIT_ASSERT(refused > 0 && refused < kJobs);
    Records stored;
    Store(owned, stored, kNow);
    for (int i = 0; i < 100; ++i) {
      cell::Actions actions;
      cell::Plan(owned, actions, kNow);
    }
    CPPUNIT_ASSERT(heap.Grown() < kMaxMemoryOfJobs);
  }

  // The other side: a refusal says "come back", and that is true.
  void RefusedJobFitsOnceOthersHaveEnded() {
    cell::Cell owned = OpenCell();
    int accepted = 0;
    while (!SubmitTo(owned, ManySteps("job-" + std::to_string(accepted), 1, 1),
                     kNow)) {
      ++accepted;
    }
    Records stored;
    Store(owned, stored, kNow);
    const std::size_t full = owned.job_bytes;
    Time now = kNow;
    for (int i = 0; i < accepted; ++i) {
      cell::Actions actions;
      cell::Cancel(owned, actions, 1, "job-" + std::to_string(i),
                   {"plain", "team-0"}, now);
    }
    CPPUNIT_ASSERT(owned.job_bytes < full);
    for (int i = 0; i < 50; ++i) {
      now += owned.options.job_retention / 10;
      Store(owned, stored, now);
      cell::Actions actions;
      cell::Tick(owned, actions, now);
    }
    CPPUNIT_ASSERT(owned.jobs.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owned.job_bytes);
    CPPUNIT_ASSERT(!SubmitTo(owned, ManySteps("again", 1, 1), now));
  }

  void OneTeamLeavesMemoryForOthers() {
    cell::Cell owned = OpenCell();
    std::optional<ErrorKind> error;
    for (int i = 0; !error; ++i) {
      error = SubmitTo(owned, ManySteps("job-" + std::to_string(i), 1, 1));
    }
    CPPUNIT_ASSERT(*error == ErrorKind::kTeamLimit);
    cell::JobSpec other = PlainJob("other");
    other.team = "others";
    CPPUNIT_ASSERT(!SubmitTo(owned, other));
  }

  void NextOwnerCountsTheSameMemory() {
    Records stored;
    std::size_t bytes = 0;
    {
      cell::Cell owned = OpenCell();
      for (int i = 0; i < 50; ++i) {
        SubmitTo(owned, ManySteps("job-" + std::to_string(i), 1, 1));
      }
      cell::Actions actions;
      cell::Cancel(owned, actions, 1, "job-7", {"plain", "team-0"}, kNow);
      Store(owned, stored, kNow);
      bytes = owned.job_bytes;
    }
    const cell::Cell next = OpenCell(stored, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{50}, next.jobs.size());
    // The end of a job is stored without its steps.
    CPPUNIT_ASSERT(next.job_bytes <= bytes && next.job_bytes > bytes / 10 * 9);
  }

  void JobThatFitsInNoRecordIsRefusedAtOnce() {
    cell::Cell owned = OpenCell();
    cell::JobSpec job = ManySteps("job", 1, 1);
    for (std::size_t i = 0; i < job.steps.size(); ++i) {
      job.steps[i].image = std::string(20'000, static_cast<char>('a' + i % 26));
    }
    CPPUNIT_ASSERT(SubmitTo(owned, job) == ErrorKind::kTooLarge);
    job.steps.resize(2 * cell::kMaxSteps);
    CPPUNIT_ASSERT(SubmitTo(owned, job) == ErrorKind::kTooLarge);
    CPPUNIT_ASSERT(owned.jobs.empty());
  }

  void LastingTasksThatNoCellCouldRunAreRefusedAtOnce() {
    cell::Cell owned = OpenCell();
    cell::JobSpec job = PlainJob("job");
    job.steps[0].service = true;
    job.recurrence = {0, Millis(0), 4'000'000'000};
    CPPUNIT_ASSERT(SubmitTo(owned, job) == ErrorKind::kNeverFits);
    job.recurrence.count = 800;
    CPPUNIT_ASSERT(!SubmitTo(owned, job));
  }

  // Guards against a list of failures that grows for as long as a task fails.
  void FailuresOfALastingTaskAreBounded() {
    cell::Cell owned = OpenCell();
    Records stored;
    Report(owned, "t1", kNow);
    cell::JobSpec job = PlainJob("job");
    job.steps[0].service = true;
    SubmitTo(owned, job);
    Store(owned, stored, kNow);
    Time now = kNow;
    std::uint64_t sequence = 0;
    constexpr int kFailures = 500;
    for (int i = 0; i < kFailures; ++i) {
      now += Millis(20'000);
      Store(owned, stored, now);
      Report(owned, "t1", now);
      cell::Actions actions;
      cell::Plan(owned, actions, now);
      const cell::Target& target = owned.targets.at("t1");
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, target.runs.size());
      const cell::RunId run = target.runs.begin()->first;
      for (int twice = 0; twice < 2; ++twice) {
        Report(owned, "t1", now, {},
               {{++sequence, run, cell::RunEnd::kFailed, ""}});
      }
    }
    CPPUNIT_ASSERT(owned.jobs.at("job").phase == cell::JobPhase::kRunning);
    Store(owned, stored, now + Millis(1000));
    constexpr std::size_t kMaxRecord = 200;
    CPPUNIT_ASSERT(stored.at("progress/job").value.size() < kMaxRecord);
  }

  void LongCheckpointIsNotKept() {
    cell::Cell owned = OpenCell();
    Records stored;
    const cell::RunId run = StartOne(owned, stored);
    Report(owned, "t1", kNow, {{run, std::string(100, 'c'), 10, 0}});
    Report(owned, "t1", kNow, {{run, std::string(500'000, 'c'), 20, 0}});
    const cell::Job& job = owned.jobs.at("job");
    CPPUNIT_ASSERT_EQUAL(
        std::string(100, 'c'),
        job.occurrences.at(0).steps.at(0).tasks.CheckpointOf(0));
  }

  // Guards against progress that is longer than a value of the store.
  void ProgressIsStoredWithoutCheckpointsIfItIsTooLong() {
    cell::Cell owned = OpenCell();
    owned.options.max_value_bytes = 2000;
    Records stored;
    constexpr std::uint32_t kTasks = 10;
    std::vector<cell::RunningReport> running;
    StartOne(owned, stored, kTasks);
    for (std::uint32_t i = 0; i < kTasks; ++i) {
      running.push_back({{{"job", 0, 0, i}, 1},
                         std::string(1000, static_cast<char>('a' + i)),
                         10,
                         0});
    }
    Report(owned, "t1", kNow, running);
    Report(owned, "t1", kNow, running,
           {{1, {{"job", 0, 0, 0}, 1}, cell::RunEnd::kDone, ""}});
    Store(owned, stored, kNow + Millis(1000));
    const cell::Cell next = OpenCell(stored, 2);
    const cell::Step& step = next.jobs.at("job").occurrences.at(0).steps.at(0);
    CPPUNIT_ASSERT(step.tasks.IsDone(0));
    CPPUNIT_ASSERT_EQUAL(1U, step.done);
    CPPUNIT_ASSERT(step.tasks.CheckpointOf(1).empty());
  }

  void ProgressThatIsTooLongHoldsNoOtherBack() {
    cell::Cell owned = OpenCell();
    Records stored;
    SubmitTo(owned, PlainJob("job", 100));
    Store(owned, stored, kNow);
    Report(owned, "t1", kNow);
    cell::Actions actions;
    cell::Plan(owned, actions, kNow);
    std::vector<cell::EndReport> ended;
    std::uint64_t sequence = 0;
    for (std::uint32_t i = 0; i < 100; i += 2) {
      ended.push_back(
          {++sequence, {{"job", 0, 0, i}, 1}, cell::RunEnd::kDone, ""});
    }
    Report(owned, "t1", kNow, {}, ended);
    const std::uint64_t durable = owned.jobs.at("job").durable;
    SubmitTo(owned, PlainJob("other"));
    owned.options.max_value_bytes = 100;
    bool omitted = false;
    for (int i = 0; i < 5; ++i) {
      const Time now = kNow + i * Millis(1000);
      if (auto batch = cell::TakeBatch(owned, kMaxWrites, now)) {
        omitted = omitted || !batch->omitted.empty();
        cell::OnBatchStored(owned, actions, *batch, now);
      }
    }
    CPPUNIT_ASSERT(omitted);
    CPPUNIT_ASSERT_EQUAL(durable, owned.jobs.at("job").durable);
    CPPUNIT_ASSERT(owned.jobs.at("other").durable > 0);
    // The target keeps the ends, which a next owner needs.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, owned.targets.at("t1").acked_end);
  }

  // Guards against records of jobs that are longer than a deployment's values.
  void JobsFitInTheValuesOfTheStore() {
    cell::Cell owned = OpenCell();
    owned.options.max_value_bytes = 65'536;
    Records stored;
    for (int i = 0; i < 40; ++i) {
      cell::JobSpec job = PlainJob("job-" + std::to_string(i));
      job.payload = std::string(3900, static_cast<char>('a' + i % 26));
      CPPUNIT_ASSERT(!SubmitTo(owned, job));
    }
    Store(owned, stored, kNow);
    for (const auto& [key, write] : stored) {
      CPPUNIT_ASSERT(write.value.size() <= 65'536);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, OpenCell(stored, 2).jobs.size());
  }

  // A next owner waits for the lease of a target that isn't in the record.
  void SilentTargetsFitInTheirRecord() {
    cell::Cell owned = OpenCell();
    owned.options.max_value_bytes = 3000;
    Records stored;
    StartOne(owned, stored, 200);
    const Time later = kNow + Millis(4000);
    cell::Actions actions;
    cell::ReportFailed(owned, actions, "t1", cell::OrderOutcome::kUnknown,
                       later);
    CPPUNIT_ASSERT(owned.targets.at("t1").silent);
    owned.targets_dirty = true;
    Store(owned, stored, later);
    CPPUNIT_ASSERT(!stored.contains("silent"));
    CPPUNIT_ASSERT(OpenCell(stored, 2).expected.contains("t1"));
  }

 private:
  /// Starts a job; returns its first run.
  static cell::RunId StartOne(cell::Cell& owned, Records& stored,
                              std::uint32_t tasks = 1) {
    Report(owned, "t1", kNow);
    cell::JobSpec job = PlainJob("job", tasks, kHour);
    SubmitTo(owned, job);
    Store(owned, stored, kNow);
    cell::Actions actions;
    cell::Plan(owned, actions, kNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{tasks},
                         owned.targets.at("t1").runs.size());
    return {{"job", 0, 0, 0}, 1};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobMemoryTest);

}  // namespace
}  // namespace buckthornmux::tests
