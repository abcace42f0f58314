// Tests which jobs count as pending: accepted ones of which no task has begun.
#include <cppunit/extensions/HelperMacros.h>

#include "cell_owner.h"

namespace buckthornmux::tests {
namespace {

using cell::OrderOutcome;

/// An owner that has sent the start of its only job's only task.
struct Fixture {
  Records stored;
  Time now{Millis(1'000'000)};
  cell::Cell owned = Open(1, stored, {Entry("t1", "127.0.0.1:1")}, now);
  cell::Actions actions;
  cell::RunId run;

  Fixture() {
    Report(owned, "t1", now);
    Store(owned, stored, now);
    cell::Submit(owned, actions, 1, PlainJob("job"), now, now + Millis(1000));
    now += Millis(200);
    Store(owned, stored, now);
    Report(owned, "t1", now);
    CPPUNIT_ASSERT_EQUAL(1U, Pending());
    actions.clear();
    cell::Plan(owned, actions, now);
    for (const auto& action : actions) {
      if (const auto* start = std::get_if<cell::SendStart>(&action)) {
        run = start->run;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, run.number);
  }

  std::uint32_t Pending() const { return cell::PendingOf(owned, "plain"); }
  cell::JobPhase Phase() const { return *cell::PhaseOf(owned, "job"); }
  void Answer(OrderOutcome outcome) {
    now += Millis(10);
    cell::StartAnswered(owned, actions, "t1", run, outcome, now);
  }
};

class PendingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PendingTest);
  CPPUNIT_TEST(RejectedStartLeavesTheJobPending);
  CPPUNIT_TEST(ConfirmedStartBeginsTheJob);
  CPPUNIT_TEST(ReportBeginsTheJob);
  CPPUNIT_TEST(EndBeginsTheJob);
  CPPUNIT_TEST(CancelledJobIsNotPending);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against MIXED (review-pending): jobs whose starts a target rejects
  // were said to have begun.
  void RejectedStartLeavesTheJobPending() {
    for (const OrderOutcome outcome :
         {OrderOutcome::kUnhealthy, OrderOutcome::kNotSent,
          OrderOutcome::kNoRoom, OrderOutcome::kOtherLife}) {
      Fixture f;
      CPPUNIT_ASSERT_EQUAL(1U, f.Pending());
      f.Answer(outcome);
      CPPUNIT_ASSERT_EQUAL(1U, f.Pending());
      CPPUNIT_ASSERT(f.Phase() == cell::JobPhase::kQueued);
    }
  }

  void ConfirmedStartBeginsTheJob() {
    Fixture f;
    f.Answer(OrderOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(0U, f.Pending());
    CPPUNIT_ASSERT(f.Phase() == cell::JobPhase::kRunning);
  }

  void ReportBeginsTheJob() {
    Fixture f;
    f.Answer(OrderOutcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(1U, f.Pending());
    cell::RunningReport running;
    running.run = f.run;
    Report(f.owned, "t1", f.now, {running});
    CPPUNIT_ASSERT_EQUAL(0U, f.Pending());
  }

  // The task is over before the target's answer to the start arrives.
  void EndBeginsTheJob() {
    Fixture f;
    cell::EndReport end;
    end.sequence = 1;
    end.run = f.run;
    end.end = cell::RunEnd::kFailed;
    Report(f.owned, "t1", f.now, {}, {end});
    CPPUNIT_ASSERT_EQUAL(0U, f.Pending());
    f.Answer(OrderOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(0U, f.Pending());
  }

  void CancelledJobIsNotPending() {
    Fixture f;
    cell::Cancel(f.owned, f.actions, 2, "job", {"plain", "team-0"}, f.now);
    CPPUNIT_ASSERT_EQUAL(0U, f.Pending());
    f.Answer(OrderOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(0U, f.Pending());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PendingTest);

}  // namespace
}  // namespace buckthornmux::tests
