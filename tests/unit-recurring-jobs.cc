// Recurring jobs that are far behind: they take bounded memory, records and
// rounds, and all that is due is done in the end.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <numeric>
#include <string>

#include "buckthornmux/detail/core/archive.h"
#include "cell_owner.h"
#include "cell_world.h"
#include "heap_gauge.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

using buckthornmux::serialize;

/// A record as earlier builds have written it.
struct PackedRecord {
  std::vector<std::uint64_t> ids;
  std::vector<std::string> texts;
  std::vector<std::uint8_t> numbers;
};

constexpr int kTargets = 8;
/// An eighth of the memory of an entry host of the users' first deployments.
constexpr std::size_t kMaxMemory = 32 * kMegabyte;
/// Maximum size of a value in the users' store, bytes.
constexpr std::size_t kMaxValue = 1'048'576;
/// Time after which an accepted job must have started if there is room for it
/// twice over: `finish_s` of the platform.
constexpr Millis kMaxWait{14'000};
constexpr std::int64_t kMinute = 60'000;
constexpr std::uint32_t kMinutesOfAYear = 525'600;
constexpr std::uint32_t kOverdue = 480'000;
constexpr int kHour = 3'600'000;

WorldOptions Options() {
  WorldOptions options;
  options.targets = kTargets;
  return options;
}

void Run(World& world, Millis lasts) {
  world.RunUntil(world.NowTime() + lasts);
}

std::int64_t ToMillis(const World& world) {
  return world.NowTime().time_since_epoch().count();
}

void OpenWorld(World& world) {
  world.SetRules({PlainQueue("urgent", 0), PlainQueue("plain", 1)});
  Run(world, Millis(300));
}

/// A job of another team than the plans.
cell::JobSpec Other(const std::string& id) {
  cell::JobSpec job = PlainJob(id, 2, 500);
  job.team = "others";
  return job;
}

/// A plan whose `count` occurrences were all due at the beginning of the clock.
cell::JobSpec Overdue(const std::string& id, std::uint32_t count, int run_ms) {
  cell::JobSpec job = PlainJob(id, 1, run_ms);
  job.recurrence = {0, Millis(0), count};
  return job;
}

int CountStarted(const World& world, const std::string& job,
                 std::uint32_t count, std::uint32_t step = 0) {
  int started = 0;
  for (std::uint32_t i = 0; i < count; ++i) {
    started += world.StartsOf({job, i, step, 0}) > 0 ? 1 : 0;
  }
  return started;
}

int CountStartedTwice(const World& world, const std::string& job,
                      std::uint32_t count) {
  int twice = 0;
  for (std::uint32_t i = 0; i < count; ++i) {
    twice += world.StartsOf({job, i, 0, 0}) > 1 ? 1 : 0;
  }
  return twice;
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
    world.Submit(Other(name + std::to_string(i)));
    Run(world, Millis(500));
  }
  Run(world, Millis(2500));
  for (int i = 0; i < kJobs; ++i) {
    if (world.PhaseOf(name + std::to_string(i)) != cell::JobPhase::kCompleted) {
      return false;
    }
  }
  return true;
}

/// Number of objects of waiting occurrences, and of all.
std::size_t CountOpen(World& world, const std::string& job) {
  return world.State().jobs.at(job).occurrences.size();
}

class RecurringJobsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecurringJobsTest);
  CPPUNIT_TEST(OverduePlanTakesBoundedMemory);
  CPPUNIT_TEST(OverduePlanTakesBoundedMemoryAfterATakeover);
  CPPUNIT_TEST(RecordOfAnEarlierBuildTakesBoundedMemory);
  CPPUNIT_TEST(OddNumbersInARecordEndNoProcess);
  CPPUNIT_TEST(OccurrencesAtOneMomentTakeBoundedMemory);
  CPPUNIT_TEST(OccurrencesThatBecomeDueTakeBoundedMemory);
  CPPUNIT_TEST(ManyModeratePlansTakeBoundedMemory);
  CPPUNIT_TEST(OverduePlanUsesTheWholeCell);
  CPPUNIT_TEST(OverdueOccurrencesBeginInOrder);
  CPPUNIT_TEST(AllLastingOccurrencesBegin);
  CPPUNIT_TEST(BlockedStepsHideNeitherOthersNorOtherJobs);
  CPPUNIT_TEST(BlockedLaterStepsAreShelvedAndRunOnceThereIsRoom);
  CPPUNIT_TEST(BlockedGangsOfOccurrencesHoldNobodyBack);
  CPPUNIT_TEST(OwnerChangesSkipAndRepeatNothing);
  CPPUNIT_TEST(CancelEndsWhatHasNotBegun);
  CPPUNIT_TEST(ReportedOccurrenceThatWasNotStoredGoesOn);
  CPPUNIT_TEST(EndOfAnOccurrenceThatWasNotStoredCounts);
  CPPUNIT_TEST_SUITE_END();

 public:
  // review/5: guards against a plan whose overdue occurrences take an owner
  // over its memory.
  void OverduePlanTakesBoundedMemory() {
    World world(Options());
    OpenWorld(world);
    const HeapGauge heap;
    world.Submit(YearOfMinutes(world));
    Run(world, Millis(3000));
    CPPUNIT_ASSERT(world.Starts() > 0);
    CPPUNIT_ASSERT(heap.Grown() < kMaxMemory);
    CPPUNIT_ASSERT(LargestRecord(world) < kMaxValue);
    CPPUNIT_ASSERT(OthersAreServed(world, "other-"));
    CPPUNIT_ASSERT(heap.Grown() < kMaxMemory);
  }

  // The same for a next owner, which begins with the same memory.
  void OverduePlanTakesBoundedMemoryAfterATakeover() {
    World world(Options());
    OpenWorld(world);
    const HeapGauge heap;
    world.Submit(YearOfMinutes(world));
    Run(world, Millis(2000));
    for (int i = 0; i < 3; ++i) {
      const int before = world.Starts();
      world.ReplaceOwner(Millis(500));
      Run(world, Millis(9000));
      CPPUNIT_ASSERT(world.Starts() > before);
      CPPUNIT_ASSERT(heap.Grown() < kMaxMemory);
    }
    CPPUNIT_ASSERT(OthersAreServed(world, "other-"));
    CPPUNIT_ASSERT(world.Breaches().empty());
  }

  // Guards against a store that holds what an earlier build has accepted: a
  // record with each occurrence.
  void RecordOfAnEarlierBuildTakesBoundedMemory() {
    constexpr std::uint32_t kOpen = 150'000;
    const Time now{Millis(1'000'000)};
    Records stored;
    {
      cell::Cell owned = Open(1, {}, {Entry("t1", "127.0.0.1:1")}, now);
      cell::Actions actions;
      cell::Submit(owned, actions, 1, Overdue("plan", 2 * kOpen, 500), now);
      Store(owned, stored, now);
    }
    stored["progress/plan"] = {"progress/plan", EarlierProgress(kOpen), false};
    const HeapGauge heap;
    cell::Cell owned = Open(2, stored, {Entry("t1", "127.0.0.1:1")}, now);
    Report(owned, "t1", now);
    Store(owned, stored, now);
    cell::Actions actions;
    cell::Plan(owned, actions, now);
    CPPUNIT_ASSERT(heap.Grown() < kMaxMemory);
    const auto started = std::ranges::find_if(actions, [](const auto& action) {
      return std::holds_alternative<cell::SendStart>(action);
    });
    CPPUNIT_ASSERT(started != actions.end());
    CPPUNIT_ASSERT_EQUAL(
        0U, std::get<cell::SendStart>(*started).run.task.occurrence);
  }

  // Guards against a record that lists an occurrence twice, or one that has not
  // begun.
  void OddNumbersInARecordEndNoProcess() {
    const Time now{Millis(1'000'000)};
    Records stored;
    {
      cell::Cell owned = Open(1, {}, {Entry("t1", "127.0.0.1:1")}, now);
      cell::Actions actions;
      cell::Submit(owned, actions, 1, Overdue("plan", 1000, 500), now);
      Store(owned, stored, now);
    }
    constexpr std::uint32_t kOpen = 3;
    stored["progress/plan"] = {"progress/plan",
                               EarlierProgress(kOpen, {0, 1, 1, 500}), false};
    cell::Cell owned = Open(2, stored, {Entry("t1", "127.0.0.1:1")}, now);
    Report(owned, "t1", now);
    for (const std::uint32_t next : {0U, 1U, 3U, 4U}) {
      CPPUNIT_ASSERT_EQUAL(next, StartsNext(owned, now + Millis(20)));
      EndRun(owned, next, now + Millis(30));
    }
  }

  // Guards against interval_ms 0, for which nothing was bounded.
  void OccurrencesAtOneMomentTakeBoundedMemory() {
    World world(Options());
    OpenWorld(world);
    const HeapGauge heap;
    world.Submit(Overdue("plan", 4'000'000'000, 500));
    Run(world, Millis(2000));
    CPPUNIT_ASSERT(world.Starts() > 0);
    CPPUNIT_ASSERT(OthersAreServed(world, "other-"));
    CPPUNIT_ASSERT(heap.Grown() < kMaxMemory);
    CPPUNIT_ASSERT(LargestRecord(world) < kMaxValue);
  }

  // Guards against growth without an overdue occurrence: they become due faster
  // than they can run.
  void OccurrencesThatBecomeDueTakeBoundedMemory() {
    World world(Options());
    OpenWorld(world);
    const HeapGauge heap;
    cell::JobSpec job = PlainJob("plan", 1, 20'000);
    job.recurrence = {ToMillis(world), Millis(1), 10'000'000};
    world.Submit(job);
    Run(world, Millis(60'000));
    CPPUNIT_ASSERT(heap.Grown() < kMaxMemory);
    CPPUNIT_ASSERT(LargestRecord(world) < kMaxValue);
    CPPUNIT_ASSERT(OthersAreServed(world, "other-"));
  }

  // Guards against a bound for each job only: none of the plans is large.
  void ManyModeratePlansTakeBoundedMemory() {
    constexpr int kPlans = 60;
    World world(Options());
    OpenWorld(world);
    const HeapGauge heap;
    for (int i = 0; i < kPlans; ++i) {
      world.Submit(Overdue("plan-" + std::to_string(i), 8000, 500));
    }
    Run(world, kMaxWait);
    CPPUNIT_ASSERT(heap.Grown() < kMaxMemory);
    CPPUNIT_ASSERT(LargestRecord(world) < kMaxValue);
    CPPUNIT_ASSERT(OthersAreServed(world, "other-"));
    for (int i = 0; i < kPlans; ++i) {
      CPPUNIT_ASSERT(world.StartsOf({"plan-" + std::to_string(i), 0, 0, 0}) >
                     0);
    }
  }

  // The other side: what is overdue uses the whole free cell.
  void OverduePlanUsesTheWholeCell() {
    constexpr std::uint32_t kCount = 3000;
    constexpr int kRunTime = 200;
    World world(Options());
    OpenWorld(world);
    world.Submit(Overdue("plan", kCount, kRunTime));
    // 128 run at a time; starts, reports and rounds may take as long again.
    constexpr int kAtATime = kTargets * 16;
    Run(world, 2 * Millis(kRunTime * kCount / kAtATime));
    CPPUNIT_ASSERT(world.PhaseOf("plan") == cell::JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kCount), world.Starts());
    CPPUNIT_ASSERT(world.Breaches().empty());
  }

  void OverdueOccurrencesBeginInOrder() {
    World world(Options());
    OpenWorld(world);
    world.Submit(YearOfMinutes(world));
    for (int i = 0; i < 40; ++i) {
      Run(world, Millis(50));
      const std::uint32_t begun =
          world.State().jobs.at("plan").occurrences_begun;
      const int started = CountStarted(world, "plan", begun);
      CPPUNIT_ASSERT_EQUAL(
          started,
          CountStarted(world, "plan", static_cast<std::uint32_t>(started)));
    }
  }

  // The other side: open occurrences aren't bounded, since one with a lasting
  // task never ends.
  void AllLastingOccurrencesBegin() {
    constexpr std::uint32_t kCount = 800;
    World world(Options());
    OpenWorld(world);
    cell::JobSpec job = Overdue("plan", kCount, kHour);
    job.steps[0].service = true;
    job.steps[0].demand.cpu_milli = 100;
    world.Submit(job);
    Run(world, kMaxWait);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kCount),
                         CountStarted(world, "plan", kCount));
  }

  // The other side: waiting occurrences aren't bounded by number, since some
  // may wait for room that never comes.
  void BlockedStepsHideNeitherOthersNorOtherJobs() {
    constexpr std::uint32_t kCount = 1500;
    for (const bool in_row : {false, true}) {
      World world(Options());
      OpenWorld(world);
      world.Submit(HalfBlocked(kCount, in_row));
      Run(world, kMaxWait);
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(kCount),
                           CountStarted(world, "plan", kCount));
      CPPUNIT_ASSERT(OthersAreServed(world, "other-"));
    }
  }

  // The same beyond the window, and what was shelved isn't forgotten.
  void BlockedLaterStepsAreShelvedAndRunOnceThereIsRoom() {
    constexpr std::uint32_t kCount = 1500;
    World world(Options());
    OpenWorld(world);
    world.Submit(HalfBlocked(kCount, true));
    Run(world, kMaxWait);
    CPPUNIT_ASSERT(CountOpen(world, "plan") < kCount / 2);
    world.ReplaceOwner(Millis(500));
    Run(world, kMaxWait);
    CPPUNIT_ASSERT(CountOpen(world, "plan") < kCount / 2);
    for (int i = 0; i < kTargets; ++i) {
      world.Target(i).entry.labels.emplace_back("rare");
      world.Resize(i, world.Target(i).entry.capacity, Millis(0));
    }
    Run(world, kMaxWait);
    CPPUNIT_ASSERT(world.PhaseOf("plan") == cell::JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kCount),
                         CountStarted(world, "plan", kCount, 1));
    CPPUNIT_ASSERT_EQUAL(0, CountStartedTwice(world, "plan", kCount));
    CPPUNIT_ASSERT(world.Breaches().empty());
  }

  void BlockedGangsOfOccurrencesHoldNobodyBack() {
    World world(Options());
    OpenWorld(world);
    cell::JobSpec job = Overdue("plan", kOverdue, 1000);
    job.steps[0].count = kTargets + 1;
    job.steps[0].gang = true;
    job.steps[0].max_per_target = 1;
    world.Submit(job);
    CPPUNIT_ASSERT(OthersAreServed(world, "other-"));
  }

  void OwnerChangesSkipAndRepeatNothing() {
    constexpr std::uint32_t kCount = 2000;
    World world(Options());
    OpenWorld(world);
    world.Submit(Overdue("plan", kCount, 200));
    for (int i = 0; i < 3; ++i) {
      Run(world, Millis(700));
      world.ReplaceOwner(Millis(300));
      Run(world, Millis(6500));
    }
    Run(world, Millis(5000));
    CPPUNIT_ASSERT(world.PhaseOf("plan") == cell::JobPhase::kCompleted);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(kCount),
                         CountStarted(world, "plan", kCount));
    CPPUNIT_ASSERT_EQUAL(0, CountStartedTwice(world, "plan", kCount));
    CPPUNIT_ASSERT(world.Breaches().empty());
  }

  void CancelEndsWhatHasNotBegun() {
    World world(Options());
    OpenWorld(world);
    const HeapGauge heap;
    world.Submit(HalfBlocked(kOverdue, true));
    Run(world, Millis(2000));
    world.Cancel("plan");
    Run(world, Millis(1000));
    CPPUNIT_ASSERT(world.PhaseOf("plan") == cell::JobPhase::kCancelled);
    const int started = world.Starts();
    Run(world, Millis(2000));
    CPPUNIT_ASSERT_EQUAL(started, world.Starts());
    const cell::Cell& state = world.State();
    CPPUNIT_ASSERT(state.behind.empty() && state.ready.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state.recurring_steps);
  }

  // Guards against a second run of an occurrence whose begin a former owner
  // hadn't stored.
  void ReportedOccurrenceThatWasNotStoredGoesOn() {
    const Time now{Millis(1'000'000)};
    cell::Cell owned = TakenOver(now);
    const cell::RunId run{{"plan", 700, 0, 0}, 1};
    Report(owned, "t1", now, {{run, "", 10, 0}});
    cell::Actions actions;
    cell::Plan(owned, actions, now);
    const cell::Job& job = owned.jobs.at("plan");
    CPPUNIT_ASSERT(owned.targets.at("t1").runs.at(run).phase ==
                   cell::RunPhase::kRunning);
    CPPUNIT_ASSERT_EQUAL(701U, job.occurrences_begun);
    // It ends, and the others of the plan go on before it is their turn again.
    Report(owned, "t1", now + Millis(10), {},
           {{1, run, cell::RunEnd::kDone, ""}});
    CPPUNIT_ASSERT_EQUAL(1U, job.occurrences_done);
    CPPUNIT_ASSERT(StartsNext(owned, now + Millis(20)) == 0U);
  }

  // The same if all that the next owner sees is the run's end.
  void EndOfAnOccurrenceThatWasNotStoredCounts() {
    const Time now{Millis(1'000'000)};
    cell::Cell owned = TakenOver(now);
    Report(owned, "t1", now, {},
           {{1, {{"plan", 2, 0, 0}, 1}, cell::RunEnd::kDone, ""}});
    CPPUNIT_ASSERT_EQUAL(1U, owned.jobs.at("plan").occurrences_done);
    for (const std::uint32_t next : {0U, 1U, 3U}) {
      CPPUNIT_ASSERT_EQUAL(next, StartsNext(owned, now + Millis(20)));
      EndRun(owned, next, now + Millis(30));
    }
  }

 private:
  /// One task a minute for a year, which began eleven months ago.
  static cell::JobSpec YearOfMinutes(const World& world) {
    cell::JobSpec job = PlainJob("plan", 1, 500);
    job.recurrence = {ToMillis(world) - kOverdue * kMinute, Millis(kMinute),
                      kMinutesOfAYear};
    return job;
  }

  /// A plan of which one step fits, and one needs a label that no target has.
  static cell::JobSpec HalfBlocked(std::uint32_t count, bool in_row) {
    cell::JobSpec job = Overdue("plan", count, 200);
    cell::StepSpec blocked = PlainStep(1, 1000, 200);
    blocked.label = "rare";
    if (in_row) {
      blocked.after = {0};
    }
    job.steps.push_back(blocked);
    return job;
  }

  /// Progress of a job with one step of one task: occurrences of which none has
  /// been started, all that have begun if there are no numbers.
  static std::string EarlierProgress(std::uint32_t begun,
                                     std::vector<std::uint32_t> open = {}) {
    if (open.empty()) {
      open.resize(begun);
      std::iota(open.begin(), open.end(), 0U);
    }
    PackedRecord packed;
    const auto put = [&](std::uint32_t number) {
      for (; number >= 0x80; number >>= 7U) {
        packed.numbers.push_back(static_cast<std::uint8_t>(number | 0x80U));
      }
      packed.numbers.push_back(static_cast<std::uint8_t>(number));
    };
    put(0);  // Queued.
    put(begun);
    put(0);
    put(static_cast<std::uint32_t>(open.size()));
    for (const std::uint32_t number : open) {
      put(number);
      put(1);  // One step.
      put(1);  // One row of tasks.
      put(0);  // No flags.
      put(1);  // One task.
    }
    return EncodeBinary(packed);
  }

  /// A cell whose former owner had stored that no occurrence had begun.
  static cell::Cell TakenOver(Time now) {
    Records stored;
    cell::Cell former = Open(1, {}, {Entry("t1", "127.0.0.1:1")}, now);
    Report(former, "t1", now);
    cell::Actions actions;
    cell::Submit(former, actions, 1, Overdue("plan", 1000, 500), now);
    Store(former, stored, now);
    return Open(2, stored, {Entry("t1", "127.0.0.1:1")}, now);
  }

  /// Plans; returns the occurrence of the only start.
  static std::uint32_t StartsNext(cell::Cell& owned, Time now) {
    // An owner stores which targets it has heard of before it starts tasks.
    Records stored;
    Store(owned, stored, now);
    cell::Actions actions;
    owned.plan_due = true;
    cell::Plan(owned, actions, now);
    std::vector<std::uint32_t> started;
    for (const cell::Action& action : actions) {
      if (const auto* start = std::get_if<cell::SendStart>(&action)) {
        started.push_back(start->run.task.occurrence);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, started.size());
    return started.front();
  }

  /// Ends the run of an occurrence on t1.
  static void EndRun(cell::Cell& owned, std::uint32_t occurrence, Time now) {
    const cell::Target& target = owned.targets.at("t1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, target.runs.size());
    const cell::RunId run = target.runs.begin()->first;
    CPPUNIT_ASSERT_EQUAL(occurrence, run.task.occurrence);
    Report(owned, "t1", now, {},
           {{target.seen_end + 1, run, cell::RunEnd::kDone, ""}});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecurringJobsTest);

}  // namespace
}  // namespace buckthornmux::tests
