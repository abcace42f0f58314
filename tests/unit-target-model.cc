// Property-based test of a link's state against a target's state, both pure,
// with a manual clock: lost renewals, lost answers, restarts, stops and lease
// expiry.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

#include "buckthornmux/detail/target/link_state.h"
#include "standins/target_state.h"

namespace buckthornmux::target {
namespace {

using standins::Moment;
using standins::TargetState;

constexpr Millis kLease{2000};
constexpr Millis kUnreachableAfter{3000};
constexpr WallMillis kWallStart = 1'000'000;

/// A link and its target, with the ends reported to the shard's owner.
struct Model {
  TargetState target;
  LinkState link;
  Moment now{Time(kLease), kWallStart};
  int restarts = 0;
  int jobs = 0;
  std::set<std::string> reported_ended;

  Model() {
    link.target = "t";
    link.last_answer = now.steady;
    Restart();
  }

  void Restart() {
    target = {};
    target.id = "t";
    target.capacity = {4, 4, 4, 4};
    target.instance = "i" + std::to_string(++restarts);
  }

  void AdvanceClock(Millis span) {
    now.steady += span;
    now.wall += span.count();
  }

  void Start(Millis run) {
    StartRequest request{"s", 1, now.wall, kLease};
    request.task.team = "a";
    request.task.job = std::to_string(++jobs);
    request.task.demand.slots = 1;
    request.task.payload = R"({"run_ms":)" + std::to_string(run.count()) + "}";
    (void)standins::StartTask(target, request, now);
  }

  void Stop(int job) {
    const std::string id = "a/" + std::to_string(job) + "/0";
    (void)standins::StopTask(target, {"s", 1, id, 1, false}, now);
  }

  [[nodiscard]] RenewRequest Request() const {
    return {"s", 1, kLease, Millis(0), link.instance, link.after};
  }

  void Renew(bool answer_arrives) {
    const RenewRequest request = Request();
    RC_ASSERT(!standins::RenewLeases(target, request, now));
    const RenewAnswer answer = standins::ChangesFor(target, request);
    if (answer_arrives) {
      HandleEvents(OnRenewed(link, answer, now.steady, now.steady));
    } else {
      HandleEvents(OnRenewFailed(link, kUnreachableAfter, now.steady));
    }
  }

  void HandleEvents(const std::vector<sched::Event>& events) {
    for (const auto& event : events) {
      if (const auto* ended = std::get_if<sched::TaskEnded>(&event)) {
        reported_ended.insert(ended->task_id);
      }
      if (const auto* report = std::get_if<sched::TargetReport>(&event)) {
        HandleReport(*report);
      }
    }
  }

  void HandleReport(const sched::TargetReport& report) {
    for (const auto& task : report.tasks) {
      if (!task.running) {
        reported_ended.insert(task.id);
        continue;
      }
      // A task that was reported as ended never runs again.
      RC_ASSERT(!reported_ended.contains(task.id));
    }
  }

  /// After a renewal the link knows exactly the running tasks, and every end
  /// that the target's process still remembers has been reported.
  void CheckAgreement() {
    Renew(true);
    for (const auto& [id, task] : target.tasks) {
      RC_ASSERT(link.running.contains(id) == task.report.running);
      RC_ASSERT(task.report.running || reported_ended.contains(id));
    }
    for (const auto& [id, task] : link.running) {
      RC_ASSERT(target.tasks.contains(id));
    }
    RC_ASSERT(link.reachable);
  }
};

void RandomStep(Model& model) {
  const int step = *rc::gen::inRange(0, 12);
  const int amount = *rc::gen::inRange(1, 1500);
  if (step < 4) {
    model.Start(Millis(amount));
  } else if (step < 7) {
    model.AdvanceClock(Millis(amount));
  } else if (step < 9) {
    model.Renew(true);
  } else if (step == 9) {
    model.Renew(false);
  } else if (step == 10) {
    model.Stop(amount % (model.jobs + 2));
  } else {
    model.Restart();
  }
}

class TargetModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetModelTest);
  CPPUNIT_TEST(LinkAndTargetAgreeAfterAnyFaults);
  CPPUNIT_TEST(TaskSuspendedPastItsLeaseFails);
  CPPUNIT_TEST(FencedEpochCannotStartOrRenew);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LinkAndTargetAgreeAfterAnyFaults() {
    CPPUNIT_ASSERT(rc::check("link and target agree after any faults", [] {
      Model model;
      const int steps = *rc::gen::inRange(1, 60);
      for (int i = 0; i < steps; ++i) {
        RandomStep(model);
      }
      model.CheckAgreement();
    }));
  }

  /// The target's process was suspended past the end of the run and of the
  /// lease.
  void TaskSuspendedPastItsLeaseFails() {
    Model model;
    model.Start(Millis(1000));
    model.AdvanceClock(kLease + Millis(5000));
    standins::Advance(model.target, model.now);
    const auto& task = model.target.tasks.begin()->second;
    CPPUNIT_ASSERT(task.report.end == TaskEnd::kFailed);
    const std::string at =
        R"("at":)" + std::to_string(kWallStart + kLease.count());
    CPPUNIT_ASSERT(model.target.log.back().find(at) != std::string::npos);
  }

  void FencedEpochCannotStartOrRenew() {
    Model model;
    RenewRequest successor = model.Request();
    successor.epoch = 2;
    CPPUNIT_ASSERT(!standins::RenewLeases(model.target, successor, model.now));
    model.Start(Millis(10));
    CPPUNIT_ASSERT(model.target.tasks.empty());
    CPPUNIT_ASSERT(standins::RenewLeases(model.target, model.Request(),
                                         model.now) == Refusal::kStaleEpoch);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetModelTest);

}  // namespace
}  // namespace buckthornmux::target
