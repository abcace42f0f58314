// Calls to a target that another target answers.
#include <cppunit/extensions/HelperMacros.h>

#include "cell_owner.h"

namespace buckthornmux::tests {
namespace {

class TargetAddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetAddressTest);
  CPPUNIT_TEST(OtherTargetAtAListedAddressProvesNothing);
  CPPUNIT_TEST(OtherTargetAtAListedAddressProvesNothingToANextOwner);
  CPPUNIT_TEST(OtherTargetBeforeTheProcessProvesNothing);
  CPPUNIT_TEST(OtherTargetAtTheConfirmedAddressProvesACrash);
  CPPUNIT_TEST_SUITE_END();

  /// Makes a list go back after a run has been reported, and has the next call
  /// answered by the target at the listed address.
  static void Play(bool takeover) {
    Records stored;
    Time now{Millis(1'000'000)};
    const auto list = [](const std::string& t2) {
      return std::vector<cell::TargetEntry>{Entry("t1", "127.0.0.1:1"),
                                            Entry("t2", t2)};
    };
    // t2 is at port 2, where it is asked and answers.
    cell::Cell first = Open(1, {}, list("127.0.0.1:2"), now);
    Report(first, "t1", now);
    Report(first, "t2", now);
    Store(first, stored, now);
    cell::Actions actions;
    cell::Submit(first, actions, 1, PlainJob("job", 2, 20'000), now,
                 now + Millis(1000));
    now += Millis(200);
    Store(first, stored, now);
    Report(first, "t1", now);
    Report(first, "t2", now);
    actions.clear();
    cell::Plan(first, actions, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.targets.at("t2").runs.size());
    const cell::RunId run = first.targets.at("t2").runs.begin()->first;
    const cell::RunId other = first.targets.at("t1").runs.begin()->first;
    actions.clear();
    cell::StartAnswered(first, actions, "t2", run, cell::OrderOutcome::kDone,
                        now);
    cell::StartAnswered(first, actions, "t1", other, cell::OrderOutcome::kDone,
                        now);
    now += Millis(50);
    cell::RunningReport running;
    running.run = run;
    Report(first, "t2", now, {running});
    // The list goes back: it shows port 1, where t1 answers.
    now += Millis(10);
    cell::SetTargets(first, actions, list("127.0.0.1:1"), now, now);
    cell::OnReportSent(first, "t2", {}, now);
    cell::ReportFailed(first, actions, "t2", cell::OrderOutcome::kOtherLife,
                       now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.targets.at("t2").runs.size());
    now += Millis(1600);
    running.run = other;
    Report(first, "t1", now, {running});
    cell::OnReportSent(first, "t2", {}, now);
    cell::ReportFailed(first, actions, "t2", cell::OrderOutcome::kOtherLife,
                       now);
    CPPUNIT_ASSERT(first.targets.at("t2").silent);
    cell::Tick(first, actions, now);
    Store(first, stored, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.targets.at("t2").runs.size());
    const Time lease_until = first.targets.at("t2").lease_until;
    now += Millis(100);
    cell::Cell second;
    cell::Cell* owner = &first;
    if (takeover) {
      second = Open(2, stored, list("127.0.0.1:1"), now);
      owner = &second;
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.targets.at("t2").runs.size());
      Report(second, "t1", now, {running});
    }
    now += Millis(10);
    cell::OnReportSent(*owner, "t2", {}, now);
    cell::ReportFailed(*owner, actions, "t2", cell::OrderOutcome::kOtherLife,
                       now);
    CPPUNIT_ASSERT(now + Millis(1000) < lease_until);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the run is given up within its lease",
                                 std::size_t{1},
                                 owner->targets.at("t2").runs.size());
  }

 public:
  // Guards against a second run while the first one goes on at another address
  // than a list shows that went back.
  void OtherTargetAtAListedAddressProvesNothing() { Play(false); }

  // Guards against a silent record that has the listed address.
  void OtherTargetAtAListedAddressProvesNothingToANextOwner() { Play(true); }

  // Guards against an answer that another target gave before the process
  // started whose runs it would end.
  void OtherTargetBeforeTheProcessProvesNothing() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunsAfterOtherTarget(Millis(-500)));
  }

  void OtherTargetAtTheConfirmedAddressProvesACrash() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RunsAfterOtherTarget(Millis(20)));
  }

 private:
  /// Number of runs that a restarted target keeps after another target answered
  /// a call sent so long after the report of the new life.
  static std::size_t RunsAfterOtherTarget(Millis sent_after) {
    const Time now{Millis(1'000'000)};
    cell::Cell owned = Open(1, {}, {Entry("t1", "127.0.0.1:1")}, now);
    Report(owned, "t1", now);
    const Time restarted = now + Millis(1000);
    cell::Actions actions;
    cell::OnReportSent(owned, "t1", {}, restarted);
    cell::TargetReport report{.life = 2, .clock_ms = 5};
    report.running.push_back({.run = {{"job", 0, 0, 0}, 1}});
    cell::Reported(owned, actions, "t1", report, restarted, restarted);
    cell::OnReportSent(owned, "t1", {}, restarted + sent_after);
    cell::ReportFailed(owned, actions, "t1", cell::OrderOutcome::kOtherLife,
                       restarted + Millis(100));
    return owned.targets.at("t1").runs.size();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetAddressTest);

}  // namespace
}  // namespace buckthornmux::tests
