// The window of steps that a round plans: steps that can't start don't hide
// those behind them.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "cell_owner.h"
#include "cell_world.h"
#include "plain_cell.h"

namespace buckthornmux::tests {
namespace {

constexpr int kTargets = 8;
/// More than a round looks at targets for.
constexpr int kMany = 400;
constexpr int kHour = 3'600'000;
/// Time in which a job with room for it twice over must have a run: LOST.
constexpr Millis kMaxStart{3000};

WorldOptions Options() {
  WorldOptions options;
  options.targets = kTargets;
  return options;
}

void Run(World& world, Millis lasts) {
  world.RunUntil(world.NowTime() + lasts);
}

cell::JobSpec JobOf(const std::string& id, const std::string& team,
                    std::uint32_t tasks, std::int64_t cpu, int run_ms) {
  cell::JobSpec job = PlainJob(id, tasks, run_ms);
  job.team = team;
  job.steps[0].demand.cpu_milli = cpu;
  return job;
}

bool HasStarted(const World& world, const std::string& job,
                std::uint32_t occurrence = 0) {
  return world.StartsOf({job, occurrence, 0, 0}) > 0;
}

/// Whether a job of another team starts in time.
bool OtherStarts(World& world, const std::string& id) {
  // Its tasks are long, so that steps with less time left come before it.
  world.Submit(JobOf(id, "others", 2, 1000, 20'000));
  Run(world, kMaxStart);
  return HasStarted(world, id);
}

class PlanningWindowTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlanningWindowTest);
  CPPUNIT_TEST(TeamAtItsLimitHidesNobody);
  CPPUNIT_TEST(StepsWithoutSuitableTargetHideNobody);
  CPPUNIT_TEST(StepsThatFindNoRoomHideNobody);
  CPPUNIT_TEST(GangsThatFindNoRoomHideNobody);
  CPPUNIT_TEST(UrgentOverduePlanLeavesOthersTheirTurn);
  CPPUNIT_TEST(LateStepsLeaveTheAdviserToOthers);
  CPPUNIT_TEST(UrgentPlanThatIsFarBehindSharesTheCell);
  CPPUNIT_TEST(PlansThatAreFarBehindShareTheCell);
  CPPUNIT_TEST(LateJobRunsBesideWideJobs);
  CPPUNIT_TEST(LateJobRunsBesideAPlanThatIsFarBehind);
  CPPUNIT_TEST_SUITE_END();

 public:
  // review/4 of 5a547f5: guards against a team at its limit whose waiting steps
  // take the whole window.
  void TeamAtItsLimitHidesNobody() {
    World world(Options());
    cell::Team limited{"limited", {}, 1000, {0, 2000, 0, 0}};
    cell::Team others{"others", {}, 1000, {}};
    world.SetRules({PlainQueue("plain", 1)}, {limited, others});
    Run(world, Millis(300));
    for (int i = 0; i < kMany; ++i) {
      world.Submit(
          JobOf("limited-" + std::to_string(i), "limited", 1, 1000, 4000));
    }
    Run(world, Millis(500));
    CPPUNIT_ASSERT(OtherStarts(world, "other"));
  }

  void StepsWithoutSuitableTargetHideNobody() {
    World world(Options());
    OpenWorld(world);
    for (int i = 0; i < kMany; ++i) {
      cell::JobSpec job =
          JobOf("rare-" + std::to_string(i), "depots", 1, 1000, 4000);
      job.steps[0].label = "rare";
      world.Submit(job);
    }
    Run(world, Millis(500));
    CPPUNIT_ASSERT(OtherStarts(world, "other"));
  }

  void StepsThatFindNoRoomHideNobody() {
    World world(Options());
    OpenWorld(world);
    SubmitServices(world);
    for (int i = 0; i < kMany; ++i) {
      cell::JobSpec job =
          JobOf("large-" + std::to_string(i), "depots", 1, 16'000, 500);
      job.queue = "urgent";
      world.Submit(job);
    }
    Run(world, Millis(500));
    CPPUNIT_ASSERT(OtherStarts(world, "other"));
    CPPUNIT_ASSERT(!HasStarted(world, "large-0"));
  }

  void GangsThatFindNoRoomHideNobody() {
    World world(Options());
    OpenWorld(world);
    SubmitServices(world);
    for (int i = 0; i < kMany; ++i) {
      cell::JobSpec job =
          JobOf("gang-" + std::to_string(i), "depots", 2, 16'000, 500);
      job.queue = "urgent";
      job.steps[0].gang = true;
      world.Submit(job);
    }
    Run(world, Millis(500));
    CPPUNIT_ASSERT(OtherStarts(world, "other"));
    CPPUNIT_ASSERT(!HasStarted(world, "gang-0"));
  }

  // The same for occurrences of one job.
  void UrgentOverduePlanLeavesOthersTheirTurn() {
    World world(Options());
    OpenWorld(world);
    SubmitServices(world);
    cell::JobSpec plan = JobOf("plan", "depots", 1, 16'000, 500);
    plan.recurrence = {0, Millis(0), 480'000};
    plan.queue = "urgent";
    world.Submit(plan);
    Run(world, Millis(500));
    CPPUNIT_ASSERT(OtherStarts(world, "other"));
    CPPUNIT_ASSERT(!HasStarted(world, "plan"));
  }

  // Guards against late steps that fill the adviser's lanes as soon as the
  // steps before them find no room; the first of them may ask.
  void LateStepsLeaveTheAdviserToOthers() {
    const Time now{Millis(1'000'000)};
    const Time later = now + Millis(10'000);
    Records stored;
    cell::TargetEntry entry = Entry("t1", "127.0.0.1:1");
    entry.capacity.cpu_milli = 4000;
    cell::Cell owned = Open(1, {}, {entry}, now);
    Report(owned, "t1", now);
    SubmitTo(owned, JobOf("service", "depots", 1, 3500, kHour), now);
    Store(owned, stored, now);
    cell::Actions actions;
    cell::Plan(owned, actions, now);
    cell::Rules rules;
    rules.queues = {PlainQueue("plain", 1)};
    rules.queues[0].advice = cell::AdviceRules{Millis(5), 0.1, Millis(2500)};
    cell::SetRules(owned, actions, rules, now);
    std::vector<HostId> hosts;
    for (int i = 0; i < kMany; ++i) {
      hosts.push_back("host-" + std::to_string(i));
      SubmitTo(owned, JobOf("late-" + std::to_string(i), "others", 1, 1, 100),
               now);
    }
    cell::SetLanes(owned, hosts);
    for (int i = 0; i < kMany; ++i) {
      SubmitTo(owned,
               JobOf("large-" + std::to_string(i), "depots", 1, 2000, 4000),
               later);
    }
    Store(owned, stored, later);
    Report(owned, "t1", later, {{{{"service", 0, 0, 0}, 1}, "", 1, 0}});
    actions.clear();
    cell::Plan(owned, actions, later);
    const auto asked = std::ranges::count_if(actions, [](const auto& action) {
      return std::holds_alternative<cell::AskAdvice>(action);
    });
    CPPUNIT_ASSERT(asked > 0 && asked < 20);
  }

  // Guards against whole targets that go to overdue occurrences only, since
  // their queue has precedence.
  void UrgentPlanThatIsFarBehindSharesTheCell() {
    World world(Options());
    OpenWorld(world);
    cell::JobSpec plan = JobOf("plan", "depots", 1, 16'000, 500);
    plan.recurrence = {0, Millis(0), 480'000};
    plan.queue = "urgent";
    world.Submit(plan);
    Run(world, Millis(2000));
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(OtherStarts(world, "other-" + std::to_string(i)));
    }
    CPPUNIT_ASSERT(HasStarted(world, "plan", 50));
  }

  // Guards against late jobs that wait until older ones have started all their
  // tasks, however many these are.
  void LateJobRunsBesideWideJobs() {
    World world(Options());
    OpenWorld(world);
    constexpr std::uint32_t kMaxTasks = 10'000;
    for (int i = 0; i < 3; ++i) {
      world.Submit(
          JobOf("wide-" + std::to_string(i), "depots", kMaxTasks, 1000, 500));
    }
    Run(world, Millis(100));
    world.Submit(JobOf("job", "others", 2, 1000, 500));
    Run(world, Millis(14'000));
    CPPUNIT_ASSERT(HasStarted(world, "job"));
  }

  // Guards against an order by age alone, in which the plan that began first
  // keeps all others waiting.
  void PlansThatAreFarBehindShareTheCell() {
    World world(Options());
    OpenWorld(world);
    const std::int64_t now = world.NowTime().time_since_epoch().count();
    constexpr int kPlans = 4;
    for (int i = 0; i < kPlans; ++i) {
      cell::JobSpec plan =
          JobOf("plan-" + std::to_string(i), "depots", 1, 1000, 500);
      plan.recurrence = {now - std::int64_t{60'000} * (i + 1), Millis(1),
                         1'000'000};
      world.Submit(plan);
    }
    Run(world, kMaxStart);
    for (int i = 0; i < kPlans; ++i) {
      CPPUNIT_ASSERT(HasStarted(world, "plan-" + std::to_string(i), 50));
    }
  }

  void LateJobRunsBesideAPlanThatIsFarBehind() {
    World world(Options());
    OpenWorld(world);
    cell::JobSpec plan = JobOf("plan", "depots", 1, 1000, 500);
    plan.recurrence = {0, Millis(0), 1'000'000};
    world.Submit(plan);
    Run(world, Millis(2000));
    // No target runs this one until it is late.
    cell::JobSpec job = JobOf("job", "others", 1, 1000, 500);
    job.steps[0].label = "rare";
    world.Submit(job);
    Run(world, Millis(20'000));
    for (int i = 0; i < kTargets; ++i) {
      world.Target(i).entry.labels.emplace_back("rare");
      world.Resize(i, world.Target(i).entry.capacity, Millis(0));
    }
    Run(world, kMaxStart);
    CPPUNIT_ASSERT(HasStarted(world, "job"));
  }

 private:
  static void SubmitTo(cell::Cell& owned, const cell::JobSpec& job, Time now) {
    cell::Actions actions;
    cell::Submit(owned, actions, 1, job, now);
    CPPUNIT_ASSERT(owned.jobs.contains(job.id));
  }

  static void OpenWorld(World& world) {
    world.SetRules({PlainQueue("urgent", 0), PlainQueue("plain", 1)});
    Run(world, Millis(300));
  }

  /// A lasting task on each target, so that none is empty.
  static void SubmitServices(World& world) {
    cell::JobSpec service = JobOf("service", "depots", kTargets, 1000, kHour);
    service.steps[0].service = true;
    service.steps[0].max_per_target = 1;
    world.Submit(service);
    Run(world, Millis(500));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlanningWindowTest);

}  // namespace
}  // namespace buckthornmux::tests
