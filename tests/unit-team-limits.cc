// What a team has running never exceeds its limit, over changes of the owner.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <sstream>

#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr int kTargets = 4;
constexpr std::int64_t kCoreMilli = 1000;
constexpr std::uint32_t kLimit = 8;      ///< Tasks of one core each.
constexpr std::uint32_t kFilling = 100;  ///< Tasks that take no CPU of targets.
constexpr Millis kRunTime{20'000};
constexpr Millis kWithoutOwner{300};
/// All reports of the targets that can be reached have arrived.
constexpr Millis kReported{300};
/// Stops are done and that is stored.
constexpr Millis kStopsStored{400};
/// The capacities of the targets are stored.
constexpr Millis kCapacitiesStored{700};
/// After which a target counts as silent and that is stored.
constexpr Millis kSilenceStored{2500};

cell::Team MakeTeam(const std::string& name, std::int64_t cpu_milli) {
  cell::Team team;
  team.name = name;
  team.maximum.cpu_milli = cpu_milli;
  return team;
}

cell::JobSpec TeamJob(const std::string& team, const std::string& id,
                      std::uint32_t tasks, Millis run_time) {
  cell::JobSpec job = PlainJob(id, tasks, static_cast<int>(run_time.count()));
  job.team = team;
  return job;
}

WorldOptions SmallWorld() {
  WorldOptions options;
  options.targets = kTargets;
  options.report_timeout = Millis(650);
  return options;
}

/// The limited team runs as much as it may, spread over all targets.
void Fill(World& world) {
  world.SetRules({PlainQueue("plain")},
                 {MakeTeam("limited", kLimit * kCoreMilli),
                  MakeTeam("other", 100'000), MakeTeam("unlimited", 0)});
  world.RunUntil(world.NowTime() + Millis(200));
  cell::JobSpec job = TeamJob("limited", "first", kLimit, kRunTime);
  job.steps[0].max_per_target = kLimit / kTargets;
  world.Submit(job);
  world.RunUntil(world.NowTime() + Millis(200));
  for (int i = 0; i < kTargets; ++i) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLimit / kTargets},
                         world.Target(i).running.size());
  }
}

/// Cuts off half of the targets, or ends that.
void Cut(World& world, bool cut) {
  for (int i = 0; i < kTargets / 2; ++i) {
    world.Target(i).faults.cut = cut;
  }
}

void ReplaceOwner(World& world) {
  world.ReplaceOwner(kWithoutOwner);
  world.RunUntil(world.NowTime() + kWithoutOwner + kReported);
}

std::size_t RunningOf(World& world, const std::string& job) {
  std::size_t running = 0;
  for (int i = 0; i < kTargets; ++i) {
    for (const auto& [id, run] : world.Target(i).running) {
      running += id.task.job == job ? 1U : 0U;
    }
  }
  return running;
}

/// Starts tasks that take no CPU of their targets, and cuts off the target with
/// most of them; two more may run.
/// @return how many that target runs, more than its CPU could hold otherwise
std::size_t CutTheTargetThatFillsMost(World& world) {
  world.SetRules({PlainQueue("plain")},
                 {MakeTeam("limited", (kFilling + 2) * kCoreMilli)});
  world.RunUntil(world.NowTime() + kCapacitiesStored);
  cell::JobSpec job = TeamJob("limited", "filling", kFilling, kRunTime);
  job.steps[0].fills = true;
  world.Submit(job);
  world.RunUntil(world.NowTime() + Millis(200));
  int most = 0;
  for (int i = 1; i < kTargets; ++i) {
    most = world.Target(i).running.size() > world.Target(most).running.size()
               ? i
               : most;
  }
  SimTarget& cut = world.Target(most);
  CPPUNIT_ASSERT(cut.running.size() > 20);
  cut.faults.cut = true;
  return cut.running.size();
}

void AssertNoBreach(const World& world) {
  const std::string first =
      world.Breaches().empty() ? std::string() : world.Breaches().front();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(first, std::size_t{0}, world.Breaches().size());
}

/// Records of a cell by key, as a next owner would load them.
using Records = std::map<std::string, std::string>;

/// A cell without network, with two targets of 16 cores.
class LoneCell {
 public:
  LoneCell(Epoch epoch, const Records& records, WallMillis wall_offset = 0) {
    m_cell.epoch = epoch;
    m_cell.claimed_at = m_now;
    m_cell.former_renewals_until = m_now;
    m_cell.wall_offset = wall_offset;
    cell::Rules rules;
    rules.queues = {PlainQueue("plain")};
    rules.teams = {MakeTeam("limited", kLimit * kCoreMilli)};
    cell::SetRules(m_cell, m_actions, rules, m_now);
    std::vector<cell::RecordWrite> loaded;
    for (const auto& [key, value] : records) {
      loaded.push_back({key, value, false});
    }
    CPPUNIT_ASSERT(!std::holds_alternative<Error>(
        Capture([&] { return cell::LoadRecords(m_cell, loaded, m_now); })));
    std::vector<cell::TargetEntry> entries;
    for (const std::string id : {"t1", "t2"}) {
      cell::TargetEntry entry;
      entry.id = id;
      entry.service = "service";
      entry.address = "127.0.0.1:1";
      entry.life = 1;
      entry.capacity = {0, 16'000, 32'768, 0};
      entries.push_back(entry);
    }
    cell::SetTargets(m_cell, m_actions, entries, m_now, m_now);
    cell::StartService(m_cell, m_actions, m_now);
  }

  void Report(const std::string& target,
              std::vector<cell::RunningReport> running = {}) {
    cell::Reported(m_cell, m_actions, target,
                   {.life = 1, .clock_ms = 5, .running = std::move(running)},
                   m_now, m_now);
  }

  void Submit(cell::JobSpec job) {
    cell::Submit(m_cell, m_actions, ++m_calls, std::move(job), m_now);
  }

  void Cancel(const std::string& job) {
    cell::Cancel(m_cell, m_actions, ++m_calls, job, {"plain", "limited"},
                 m_now);
  }

  /// Stores all changes, and starts what may start.
  void StoreAndPlan(Records& records) {
    m_now += Millis(200);
    while (const auto batch = cell::TakeBatch(m_cell, 29, m_now)) {
      for (const cell::RecordWrite& write : batch->writes) {
        if (write.erase) {
          records.erase(write.key);
        } else {
          records[write.key] = write.value;
        }
      }
      cell::OnBatchStored(m_cell, m_actions, *batch, m_now);
    }
    cell::Plan(m_cell, m_actions, m_now);
  }

  [[nodiscard]] std::size_t Starts() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_actions, [](const cell::Action& action) {
          return std::holds_alternative<cell::SendStart>(action);
        }));
  }

 private:
  cell::Cell m_cell;
  cell::Actions m_actions;
  cell::CallId m_calls = 0;
  Time m_now{Millis(1'000'000)};
};

class TeamLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TeamLimitsTest);
  CPPUNIT_TEST(NextOwnerCountsRunsThatNoReportHasShown);
  CPPUNIT_TEST(TeamsBelowTheirLimitsDoNotWaitForReports);
  CPPUNIT_TEST(UnreportedTargetsBoundWhatMayRunUnknown);
  CPPUNIT_TEST(RunsOfEndedJobsCountUntilTheirTargetsReport);
  CPPUNIT_TEST(RunsOfEndedJobsCountOverTwoOwners);
  CPPUNIT_TEST(RunsOfJobsCancelledByTheNextOwnerCount);
  CPPUNIT_TEST(StartsAreNotRepeatedBeyondALoweredLimit);
  CPPUNIT_TEST(RunsOfEndedJobsCountWhileTheyAreStopped);
  CPPUNIT_TEST(RunsOfEndedJobsOnSilentTargetsCount);
  CPPUNIT_TEST(TasksThatFillCountForTheirTeam);
  CPPUNIT_TEST(UnknownTasksThatFillCountBeyondTheRoom);
  CPPUNIT_TEST(CancelledTasksThatFillCountBeyondTheRoom);
  CPPUNIT_TEST(OccurrencesOfAFormerOwnersClockCount);
  CPPUNIT_TEST(RunsOfUnknownJobsCountForEveryTeam);
  CPPUNIT_TEST(RunsOfEndedJobsCountWithoutARecordOfThem);
  CPPUNIT_TEST(LogTellsWhatHoldsWorkBack);
  CPPUNIT_TEST(TaskLargerThanALoweredLimitStarts);
  CPPUNIT_TEST(LargerTasksWaitForTheirTeam);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against starts beyond a team's limit by a next owner that doesn't
  // count what runs on targets that have not reported to it.
  void NextOwnerCountsRunsThatNoReportHasShown() {
    World world(SmallWorld());
    Fill(world);
    Cut(world, true);
    ReplaceOwner(world);
    CPPUNIT_ASSERT(!world.State().recovered);
    world.Submit(TeamJob("limited", "later", 2, Millis(300)));
    world.RunUntil(world.NowTime() + Millis(1000));
    AssertNoBreach(world);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RunningOf(world, "later"));
    Cut(world, false);
    world.RunUntil(world.NowTime() + 2 * kRunTime);
    CPPUNIT_ASSERT(world.PhaseOf("first") == cell::JobPhase::kCompleted);
    CPPUNIT_ASSERT(world.PhaseOf("later") == cell::JobPhase::kCompleted);
    AssertNoBreach(world);
  }

  // Guards against a wait of all teams for reports that only some depend on.
  void TeamsBelowTheirLimitsDoNotWaitForReports() {
    World world(SmallWorld());
    Fill(world);
    world.Submit(TeamJob("other", "small", 4, kRunTime));
    world.RunUntil(world.NowTime() + Millis(200));
    Cut(world, true);
    ReplaceOwner(world);
    world.Submit(TeamJob("other", "next", 8, Millis(200)));
    world.Submit(TeamJob("unlimited", "free", 8, Millis(200)));
    world.RunUntil(world.NowTime() + Millis(500));
    CPPUNIT_ASSERT(!world.State().recovered);
    CPPUNIT_ASSERT(world.PhaseOf("next") == cell::JobPhase::kCompleted);
    CPPUNIT_ASSERT(world.PhaseOf("free") == cell::JobPhase::kCompleted);
    AssertNoBreach(world);
  }

  // Guards against a bound by the whole backlog of a team, where one target
  // could run little of it.
  void UnreportedTargetsBoundWhatMayRunUnknown() {
    World world(SmallWorld());
    world.SetRules({PlainQueue("plain")}, {MakeTeam("limited", 40'000)});
    world.RunUntil(world.NowTime() + kCapacitiesStored);
    cell::JobSpec backlog = TeamJob("limited", "backlog", 100, kRunTime);
    backlog.steps[0].max_per_target = 4;
    world.Submit(backlog);
    world.RunUntil(world.NowTime() + Millis(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, RunningOf(world, "backlog"));
    world.Target(0).faults.cut = true;
    ReplaceOwner(world);
    // 12 are known, and the target that is cut off has 16 cores.
    world.Submit(TeamJob("limited", "later", 20, kRunTime));
    world.RunUntil(world.NowTime() + Millis(200));
    CPPUNIT_ASSERT(!world.State().recovered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, RunningOf(world, "later"));
    AssertNoBreach(world);
  }

  // Guards against starts beyond a team's limit while runs of its cancelled job
  // go on at targets that have not reported to the next owner.
  void RunsOfEndedJobsCountUntilTheirTargetsReport() {
    World world(SmallWorld());
    Fill(world);
    Cut(world, true);
    world.Cancel("first");
    world.RunUntil(world.NowTime() + kStopsStored);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLimit / 2}, RunningOf(world, "first"));
    ReplaceOwner(world);
    world.Submit(TeamJob("limited", "later", kLimit, Millis(2000)));
    world.RunUntil(world.NowTime() + Millis(200));
    CPPUNIT_ASSERT(!world.State().recovered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLimit / 2}, RunningOf(world, "later"));
    AssertNoBreach(world);
    world.RunUntil(world.NowTime() + kRunTime);
    CPPUNIT_ASSERT(world.PhaseOf("later") == cell::JobPhase::kCompleted);
    AssertNoBreach(world);
  }

  // Guards against an owner in between that stores the runs of its own ended
  // jobs without those that it has not found yet.
  void RunsOfEndedJobsCountOverTwoOwners() {
    World world(SmallWorld());
    Fill(world);
    world.Submit(TeamJob("other", "other", kTargets, kRunTime));
    world.RunUntil(world.NowTime() + Millis(200));
    Cut(world, true);
    world.Cancel("first");
    world.RunUntil(world.NowTime() + kStopsStored);
    ReplaceOwner(world);
    world.Cancel("other");
    world.RunUntil(world.NowTime() + kStopsStored);
    ReplaceOwner(world);
    world.Submit(TeamJob("limited", "later", kLimit, Millis(2000)));
    world.RunUntil(world.NowTime() + Millis(200));
    CPPUNIT_ASSERT(!world.State().recovered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLimit / 2}, RunningOf(world, "later"));
    AssertNoBreach(world);
  }

  // Guards against starts beyond a team's limit after a next owner has
  // cancelled a job of which runs go on at targets that have not reported to
  // it.
  void RunsOfJobsCancelledByTheNextOwnerCount() {
    World world(SmallWorld());
    Fill(world);
    Cut(world, true);
    ReplaceOwner(world);
    world.Cancel("first");
    world.RunUntil(world.NowTime() + kStopsStored);
    world.Submit(TeamJob("limited", "later", kLimit, Millis(2000)));
    world.RunUntil(world.NowTime() + Millis(200));
    CPPUNIT_ASSERT(!world.State().recovered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLimit / 2}, RunningOf(world, "first"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLimit / 2}, RunningOf(world, "later"));
    AssertNoBreach(world);
  }

  // Guards against a start that is sent again after the limit of its team was
  // lowered below what the team has running.
  void StartsAreNotRepeatedBeyondALoweredLimit() {
    World world(SmallWorld());
    Fill(world);
    world.Cancel("first");
    world.RunUntil(world.NowTime() + kStopsStored);
    for (int i = 0; i < kTargets; ++i) {
      world.Target(i).faults.orders_late = 1;
    }
    world.Submit(TeamJob("limited", "later", kLimit, Millis(1000)));
    world.RunUntil(world.NowTime() + Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RunningOf(world, "later"));
    for (int i = 0; i < kTargets; ++i) {
      world.Target(i).faults.orders_late = 0;
    }
    world.SetRules({PlainQueue("plain")}, {MakeTeam("limited", 2000)});
    world.RunUntil(world.NowTime() + kRunTime);
    AssertNoBreach(world);
    CPPUNIT_ASSERT(world.PhaseOf("later") == cell::JobPhase::kCompleted);
  }

  // Guards against starts beyond a team's limit while a next owner stops runs
  // of which the job had ended (seed 279 of issue 36).
  void RunsOfEndedJobsCountWhileTheyAreStopped() {
    World world(SmallWorld());
    Fill(world);
    for (int i = 0; i < kTargets; ++i) {
      world.Target(i).faults.stop_time = Millis(400);
    }
    Cut(world, true);
    world.Cancel("first");
    world.RunUntil(world.NowTime() + Millis(500));
    ReplaceOwner(world);
    Cut(world, false);
    world.RunUntil(world.NowTime() + Millis(900));
    world.Submit(TeamJob("limited", "later", kLimit, Millis(2000)));
    CPPUNIT_ASSERT(world.State().recovered);
    world.RunUntil(world.NowTime() + Millis(2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLimit}, RunningOf(world, "later"));
    AssertNoBreach(world);
  }

  // Guards against starts beyond a team's limit while runs of its cancelled job
  // go on at targets that were silent for the former owner.
  void RunsOfEndedJobsOnSilentTargetsCount() {
    World world(SmallWorld());
    Fill(world);
    Cut(world, true);
    world.RunUntil(world.NowTime() + kSilenceStored);
    world.Cancel("first");
    world.RunUntil(world.NowTime() + Millis(100));
    ReplaceOwner(world);
    CPPUNIT_ASSERT(world.State().recovered);
    world.Submit(TeamJob("limited", "later", kLimit, Millis(500)));
    world.RunUntil(world.NowTime() + Millis(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLimit / 2}, RunningOf(world, "first"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLimit / 2}, RunningOf(world, "later"));
    Cut(world, false);
    world.RunUntil(world.NowTime() + kRunTime);
    CPPUNIT_ASSERT(world.PhaseOf("later") == cell::JobPhase::kCompleted);
    AssertNoBreach(world);
  }

  // Guards against a team that exceeds its limit by tasks that take no room.
  void TasksThatFillCountForTheirTeam() {
    World world(SmallWorld());
    world.SetRules({PlainQueue("plain")},
                   {MakeTeam("limited", kLimit * kCoreMilli)});
    world.RunUntil(world.NowTime() + Millis(200));
    cell::JobSpec job = TeamJob("limited", "filling", 3 * kLimit, kRunTime);
    job.steps[0].fills = true;
    world.Submit(job);
    world.RunUntil(world.NowTime() + Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLimit}, RunningOf(world, "filling"));
    AssertNoBreach(world);
  }

  // Guards against a bound by the room of a target of what takes no room there.
  void UnknownTasksThatFillCountBeyondTheRoom() {
    World world(SmallWorld());
    static_cast<void>(CutTheTargetThatFillsMost(world));
    ReplaceOwner(world);
    world.Submit(TeamJob("limited", "later", 10, Millis(300)));
    world.RunUntil(world.NowTime() + Millis(200));
    CPPUNIT_ASSERT(!world.State().recovered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, RunningOf(world, "later"));
    AssertNoBreach(world);
  }

  // The same of tasks whose job has been cancelled.
  void CancelledTasksThatFillCountBeyondTheRoom() {
    World world(SmallWorld());
    const std::size_t left = CutTheTargetThatFillsMost(world);
    world.Cancel("filling");
    world.RunUntil(world.NowTime() + kStopsStored);
    ReplaceOwner(world);
    cell::JobSpec later = TeamJob("limited", "later", kFilling, kRunTime);
    later.steps[0].fills = true;
    world.Submit(later);
    world.RunUntil(world.NowTime() + Millis(200));
    CPPUNIT_ASSERT(!world.State().recovered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kFilling + 2},
                         left + RunningOf(world, "later"));
    AssertNoBreach(world);
  }

  // Guards against uncounted runs of a job whose next occurrence was due by the
  // clock of the former owner only.
  void OccurrencesOfAFormerOwnersClockCount() {
    Records records;
    LoneCell first(1, records, 1000);
    first.Report("t1");
    first.Report("t2");
    cell::JobSpec job = TeamJob("limited", "recurring", kLimit, kRunTime);
    job.recurrence = {1'001'100, Millis(60'000), 2};
    first.Submit(job);
    first.StoreAndPlan(records);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kLimit}, first.Starts());
    std::erase_if(records, [](const auto& entry) {
      return entry.first.starts_with("progress/");
    });
    LoneCell next(2, records);
    next.Report("t1");
    next.Submit(TeamJob("limited", "later", 1, kRunTime));
    next.StoreAndPlan(records);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, next.Starts());
  }

  // Guards against uncounted runs of which the next owner doesn't know the job.
  void RunsOfUnknownJobsCountForEveryTeam() {
    Records records;
    LoneCell cell(1, records);
    cell.Report("t1", {{.run = {{"unknown", 0, 0, 0}, 1}}});
    cell.Report("t2");
    cell.Submit(TeamJob("limited", "later", 1, kRunTime));
    cell.StoreAndPlan(records);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cell.Starts());
    cell.Submit(TeamJob("unlimited", "free", 1, kRunTime));
    cell.StoreAndPlan(records);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.Starts());
  }

  // Guards against uncounted runs of an ended job that no record describes, as
  // with records of an earlier build.
  void RunsOfEndedJobsCountWithoutARecordOfThem() {
    Records records;
    LoneCell first(1, records);
    first.Report("t1");
    first.Report("t2");
    first.Submit(TeamJob("limited", "first", 1, kRunTime));
    first.StoreAndPlan(records);
    first.Cancel("first");
    first.StoreAndPlan(records);
    CPPUNIT_ASSERT(records.erase("stopping") > 0);
    LoneCell next(2, records);
    next.Report("t1", {{.run = {{"first", 0, 0, 0}, 1}}});
    next.Report("t2");
    next.Submit(TeamJob("limited", "later", 1, kRunTime));
    next.StoreAndPlan(records);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, next.Starts());
  }

  // A report of more than a team's limit must be explained by the log.
  void LogTellsWhatHoldsWorkBack() {
    std::ostringstream trace;
    WorldOptions options = SmallWorld();
    options.trace = &trace;
    World world(options);
    Fill(world);
    Cut(world, true);
    ReplaceOwner(world);
    world.Submit(TeamJob("limited", "later", 2, Millis(300)));
    world.RunUntil(world.NowTime() + Millis(1000));
    const std::string expected =
        "team_limit  team=limited held_back_by=unknown runs known=4000/400/0 "
        "unknown=4000/400/0 limit=8000/0/0";
    CPPUNIT_ASSERT_MESSAGE(trace.str(),
                           trace.str().find(expected) != std::string::npos);
    const std::string log = trace.str();
    int lines = 0;
    for (auto at = log.find(" team_limit "); at != std::string::npos;
         at = log.find(" team_limit ", at + 1)) {
      ++lines;
    }
    CPPUNIT_ASSERT_EQUAL(1, lines);
  }

  // Guards against accepted tasks that never start, since their team's limit
  // was lowered below one of them (review-lowered-maximum); they run one at a
  // time.
  void TaskLargerThanALoweredLimitStarts() {
    World world(SmallWorld());
    Fill(world);
    world.Cancel("first");
    world.RunUntil(world.NowTime() + kStopsStored);
    world.SetRules({PlainQueue("plain")}, {MakeTeam("limited", kCoreMilli)});
    cell::JobSpec job = TeamJob("limited", "large", 2, Millis(1000));
    job.steps[0].demand.cpu_milli = 4 * kCoreMilli;
    world.Submit(job);
    world.RunUntil(world.NowTime() + Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunningOf(world, "large"));
    world.RunUntil(world.NowTime() + Millis(3000));
    CPPUNIT_ASSERT(world.PhaseOf("large") == cell::JobPhase::kCompleted);
    AssertNoBreach(world);
  }

  // Guards against a larger task that starts beside half of its team's limit,
  // and against other starts of its team beside it.
  void LargerTasksWaitForTheirTeam() {
    World world(SmallWorld());
    Fill(world);
    world.Cancel("first");
    world.RunUntil(world.NowTime() + kStopsStored);
    world.SetRules({PlainQueue("plain")},
                   {MakeTeam("limited", 2 * kCoreMilli)});
    world.Submit(TeamJob("limited", "usual", 1, Millis(2000)));
    world.RunUntil(world.NowTime() + Millis(200));
    cell::JobSpec job = TeamJob("limited", "large", 1, Millis(2000));
    job.steps[0].demand.cpu_milli = 4 * kCoreMilli;
    world.Submit(job);
    world.RunUntil(world.NowTime() + Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RunningOf(world, "large"));
    world.RunUntil(world.NowTime() + Millis(1600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunningOf(world, "large"));
    world.Submit(TeamJob("limited", "next", 1, Millis(500)));
    world.RunUntil(world.NowTime() + Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RunningOf(world, "next"));
    world.RunUntil(world.NowTime() + Millis(3000));
    CPPUNIT_ASSERT(world.PhaseOf("next") == cell::JobPhase::kCompleted);
    AssertNoBreach(world);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamLimitsTest);

}  // namespace
}  // namespace buckthornmux::tests
