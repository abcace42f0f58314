// Admission by completion time, and which jobs are within their team's share.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "cell_world.h"
#include "plain_cell.h"
#include "src/cell/admission/admission.h"

namespace buckthornmux::tests {
namespace {

constexpr std::int64_t kCores = 100'000;  ///< In millicores.

/// A job of 1 s that is of use if it ends within 9 s.
const cell::JobNeed kNeed{"job", Millis(1000), Millis(3000)};

cell::AdmissionView ViewOf(std::int64_t seconds_ahead) {
  return {true, seconds_ahead * 1000 * kCores, kCores};
}

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(JobsThatEndTooLateAreRefused);
  CPPUNIT_TEST(UnknownRatesRefuseNothing);
  CPPUNIT_TEST(ShortBacklogsCountTheWholeCell);
  CPPUNIT_TEST(OtherWorkThatComesLaterDoesNotCount);
  CPPUNIT_TEST(OverfullCellRefusesWithoutStoring);
  CPPUNIT_TEST(NextOwnerKnowsTheExcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against accepting work that has no value when it ends, and against
  // refusing work that would end in time.
  void JobsThatEndTooLateAreRefused() {
    CPPUNIT_ASSERT(cell::Admit(ViewOf(8), kNeed).admitted);
    const cell::Verdict late = cell::Admit(ViewOf(10), kNeed);
    CPPUNIT_ASSERT(!late.admitted);
    CPPUNIT_ASSERT(late.ends_in == Millis(11'000));
    CPPUNIT_ASSERT(late.retry_after >= Millis(2000));
    CPPUNIT_ASSERT(late.retry_after <= Millis(3000));
    CPPUNIT_ASSERT(cell::Admit(ViewOf(1000), kNeed).retry_after <=
                   Millis(4000));
  }

  // Guards against refusals by an owner that has measured nothing, and in
  // deployments without the switch.
  void UnknownRatesRefuseNothing() {
    cell::AdmissionView view = ViewOf(1000);
    view.rate = 0;
    CPPUNIT_ASSERT(cell::Admit(view, kNeed).admitted);
    view = ViewOf(1000);
    view.on = false;
    CPPUNIT_ASSERT(cell::Admit(view, kNeed).admitted);
  }

  // Guards against a low rate that was measured while the cell was not full.
  void ShortBacklogsCountTheWholeCell() {
    const std::int64_t half = kCores * 1000 / 2;
    CPPUNIT_ASSERT_EQUAL(kCores, cell::BestRate(half, kCores, Millis(7999)));
    CPPUNIT_ASSERT_EQUAL(kCores / 2 * 5 / 4,
                         cell::BestRate(half, kCores, Millis(8000)));
    // Nor does an outage, in which hardly anything ends, refuse all work.
    CPPUNIT_ASSERT_EQUAL(kCores / 2,
                         cell::BestRate(half / 100, kCores, Millis(8000)));
  }

  // Guards against refusals for less urgent work or for the excess of others.
  void OtherWorkThatComesLaterDoesNotCount() {
    cell::Cell cell;
    const Time now{Millis(1'000'000)};
    cell.options.stop_time = Millis(900);
    cell.capacity_cpu = kCores;
    cell::NoteUrgentArrival(cell.urgent_arrivals, 1000, 1, Millis(1000),
                            Millis(500), now);
    cell::AddWaitingWork(cell.waiting_work, 0, false, 1);
    cell::AddWaitingWork(cell.waiting_work, 2, false, 10);
    cell::AddWaitingWork(cell.waiting_work, 1, true, 100);
    const auto ahead = [&](int priority, bool excess) {
      return cell::MakeAdmissionView(cell, priority, excess, now).work_ahead;
    };
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, ahead(1, false));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{11}, ahead(2, false));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{111}, ahead(1, true));
  }

  // Guards against a verdict that the submit doesn't ask for, or that comes
  // after the job is stored.
  void OverfullCellRefusesWithoutStoring() {
    WorldOptions options;
    options.targets = 2;  // 32 cores.
    World world(options);
    world.State().options.stop_time = Millis(5000);
    world.SetRules({PlainQueue("plain")}, {{"team-0", {}, 10'000, {}}});
    world.RunUntil(world.NowTime() + Millis(300));
    // 400 tasks of 1 s on 32 cores take 12 s; three times 3 s are 9 s.
    for (int i = 0; i < 40; ++i) {
      world.Submit(PlainJob("early-" + std::to_string(i), 10, 1000));
    }
    world.RunUntil(world.NowTime() + Millis(100));
    CPPUNIT_ASSERT_EQUAL(0, world.CountOf("plain").refused);
    world.Submit(PlainJob("last", 1, 1000));
    CPPUNIT_ASSERT_EQUAL(1, world.CountOf("plain").refused);
    CPPUNIT_ASSERT(!world.State().jobs.contains("last"));
    const cell::Decision* refusal = world.LastDecision("job_refused");
    CPPUNIT_ASSERT(refusal != nullptr);
    bool reasoned = false;
    for (const auto& [name, value] : refusal->fields) {
      reasoned = reasoned || value == "can't end while it is of use";
    }
    CPPUNIT_ASSERT(reasoned);
    world.RunUntil(world.NowTime() + Millis(8000));
    world.Submit(PlainJob("later", 1, 1000));
    CPPUNIT_ASSERT_EQUAL(1, world.CountOf("plain").refused);
  }

  // Guards against a new owner that takes a team's excess for work within its
  // share, which then goes before that of all other teams.
  void NextOwnerKnowsTheExcess() {
    WorldOptions options;
    options.targets = 2;
    World world(options);
    world.SetRules({PlainQueue("plain")}, {{"team-0", {}, 1, {}}});
    world.RunUntil(world.NowTime() + Millis(300));
    for (int i = 0; i < 20; ++i) {
      world.Submit(PlainJob("job-" + std::to_string(i), 1, 20'000));
      world.RunUntil(world.NowTime() + Millis(10));
    }
    const auto excess = [&] {
      return std::ranges::count_if(world.State().jobs, [](const auto& job) {
        return job.second.excess;
      });
    };
    // One a second, and 2 s of that at once.
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{18}, excess());
    world.RunUntil(world.NowTime() + Millis(500));  // All are stored.
    world.ReplaceOwner(Millis(300));
    world.RunUntil(world.NowTime() + Millis(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, world.State().jobs.size());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{18}, excess());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace
}  // namespace buckthornmux::tests
