// Ends and run numbers over changes of the owner.
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

#include "cell_owner.h"

namespace buckthornmux::tests {
namespace {

/// Targets t1, t2 and so on, each at its own port.
std::vector<cell::TargetEntry> List(const std::vector<std::string>& ids) {
  std::vector<cell::TargetEntry> list;
  list.reserve(ids.size());
  for (const auto& id : ids) {
    list.push_back(Entry(id, "127.0.0.1:" + id.substr(1)));
  }
  return list;
}

std::vector<cell::SendStart> Plan(cell::Cell& owned, Time now) {
  cell::Actions actions;
  cell::Plan(owned, actions, now);
  std::vector<cell::SendStart> starts;
  for (const auto& action : actions) {
    if (const auto* start = std::get_if<cell::SendStart>(&action)) {
      starts.push_back(*start);
    }
  }
  return starts;
}

cell::EndReport Ended(std::uint64_t sequence, const cell::RunId& run,
                      cell::RunEnd how) {
  cell::EndReport end;
  end.sequence = sequence;
  end.run = run;
  end.end = how;
  return end;
}

class OwnerChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnerChangesTest);
  CPPUNIT_TEST(RemovedTargetKeepsItsUnstoredEnds);
  CPPUNIT_TEST(SilentTargetWithAnEndToStoreIsQueried);
  CPPUNIT_TEST(AdoptedRunKeepsTheFormerOwnersLease);
  CPPUNIT_TEST(LateReportOfAFormerLifeIsIgnored);
  CPPUNIT_TEST(RunMayHaveEndedBehindTheListedEnds);
  CPPUNIT_TEST(RunNumbersRiseOverTakeovers);
  CPPUNIT_TEST(LaterRunOfAnEarlierOwnerReleasesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a next owner that doesn't wait for a target with an end that
  // the former one couldn't store: the target is cut off and loses its entry.
  void RemovedTargetKeepsItsUnstoredEnds() {
    Records stored;
    Time now{Millis(1'000'000)};
    cell::Cell first = Open(1, stored, List({"t1", "t2"}), now);
    Report(first, "t1", now);
    Report(first, "t2", now);
    Store(first, stored, now);
    cell::Actions actions;
    cell::Submit(first, actions, 1, PlainJob("job", 2, 500), now,
                 now + Millis(1000));
    now += Millis(200);
    Store(first, stored, now);
    Report(first, "t1", now);
    Report(first, "t2", now);
    std::optional<cell::RunId> run;
    for (const auto& start : Plan(first, now)) {
      cell::StartAnswered(first, actions, start.target, start.run,
                          cell::OrderOutcome::kDone, now);
      if (start.target == "t2") {
        run = start.run;
      }
    }
    CPPUNIT_ASSERT(run.has_value());
    now += Millis(500);
    // The store rejects this host from now on.
    Report(first, "t2", now, {}, {Ended(1, *run, cell::RunEnd::kDone)});
    cell::SetTargets(first, actions, List({"t1"}), now + Millis(500),
                     now + Millis(500));
    now += Millis(1700);
    cell::ReportFailed(first, actions, "t2", cell::OrderOutcome::kUnknown, now);
    cell::Tick(first, actions, now);
    const std::string state = cell::EncodeFormerOwnerState(first, now);
    const auto known = first.targets.at("t1").runs;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, known.size());
    cell::RunningReport other;
    other.run = known.begin()->first;
    cell::Cell second = Open(2, stored, List({"t1", "t3"}), now);
    CPPUNIT_ASSERT(second.expected.contains("t2"));
    const auto told = Capture([&] {
      return cell::ApplyFormerOwnerState(second, actions, state, Millis(0),
                                         now);
    });
    CPPUNIT_ASSERT(std::holds_alternative<std::size_t>(told));
    Report(second, "t1", now, {other});
    Report(second, "t3", now);
    Store(second, stored, now);
    Report(second, "t1", now, {other});
    Report(second, "t3", now);
    const auto again = Plan(second, now);
    CPPUNIT_ASSERT_MESSAGE(
        "run " + std::to_string(again.empty() ? 0 : again[0].run.number) +
            " of the task starts while t2 lists its end",
        again.empty());
  }

  // Guards against a silent record that counts all runs of a target as known
  // while one of its ends waits for a later batch.
  void SilentTargetWithAnEndToStoreIsQueried() {
    Records stored;
    Time now{Millis(1'000'000)};
    cell::Cell first = Open(1, stored, List({"t1"}), now);
    Report(first, "t1", now);
    Store(first, stored, now);
    cell::Actions actions;
    cell::Submit(first, actions, 1, PlainJob("job", 1, 500), now,
                 now + Millis(1000));
    now += Millis(200);
    Store(first, stored, now);
    Report(first, "t1", now);
    const auto starts = Plan(first, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    cell::StartAnswered(first, actions, "t1", starts[0].run,
                        cell::OrderOutcome::kDone, now);
    cell::OnLeaseSent(first, "t1", now);
    Report(first, "t1", now, {},
           {Ended(1, starts[0].run, cell::RunEnd::kDone)});
    now += Millis(1600);
    cell::ReportFailed(first, actions, "t1", cell::OrderOutcome::kUnknown, now);
    cell::Tick(first, actions, now);
    // This batch has no place for the end of the job.
    constexpr std::size_t kListsOnly = 7;
    const auto batch = cell::TakeBatch(first, kListsOnly, now);
    CPPUNIT_ASSERT(batch.has_value());
    for (const auto& write : batch->writes) {
      stored[write.key] = write;
    }
    cell::Cell second = Open(2, stored, List({"t1", "t2"}), now);
    Report(second, "t2", now);
    CPPUNIT_ASSERT(!second.recovered);
  }

  // Guards against a run that is given up with its target, which is cut off
  // before this owner has renewed the lease that a former one gave.
  void AdoptedRunKeepsTheFormerOwnersLease() {
    Records stored;
    Time now{Millis(1'000'000)};
    cell::Cell first = Open(1, stored, List({"t1"}), now);
    Report(first, "t1", now);
    Store(first, stored, now);
    cell::Actions actions;
    cell::Submit(first, actions, 1, PlainJob("job", 1, 20'000), now,
                 now + Millis(1000));
    now += Millis(200);
    Store(first, stored, now);
    Report(first, "t1", now);
    const auto starts = Plan(first, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    cell::RunningReport running;
    running.run = starts[0].run;
    now += Millis(100);
    cell::Cell second = Open(2, stored, List({"t1"}), now);
    Report(second, "t1", now, {running});
    now += Millis(1600);
    cell::ReportFailed(second, actions, "t1", cell::OrderOutcome::kUnknown,
                       now);
    cell::Tick(second, actions, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.targets.at("t1").runs.size());
    now = first.targets.at("t1").lease_until + Millis(1000);
    cell::Tick(second, actions, now);
    Store(second, stored, now);
    cell::Tick(second, actions, now);
    CPPUNIT_ASSERT(second.targets.at("t1").runs.empty());
  }

  // Guards against a report of a target's former process, answered late, that
  // ends the runs of the next one.
  void LateReportOfAFormerLifeIsIgnored() {
    const Time now{Millis(1'000'000)};
    cell::Cell owned = Open(1, {}, List({"t1"}), now);
    Report(owned, "t1", now);
    cell::Actions actions;
    cell::TargetReport report{.life = 2, .clock_ms = 5};
    report.running.push_back({.run = {{"job", 0, 0, 0}, 1}});
    cell::Reported(owned, actions, "t1", report, now + Millis(500),
                   now + Millis(510));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owned.targets.at("t1").runs.size());
    cell::Reported(owned, actions, "t1", {.life = 1, .clock_ms = 900},
                   now + Millis(100), now + Millis(600));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owned.targets.at("t1").runs.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, owned.targets.at("t1").entry.life);
  }

  // Guards against a second start of a task whose end is beyond those that a
  // report lists.
  void RunMayHaveEndedBehindTheListedEnds() {
    Records stored;
    Time now{Millis(1'000'000)};
    cell::Cell owned = Open(1, stored, List({"t1"}), now);
    Report(owned, "t1", now);
    Store(owned, stored, now);
    cell::Actions actions;
    cell::Submit(owned, actions, 1, PlainJob("job", 1, 500), now,
                 now + Millis(1000));
    now += Millis(200);
    Store(owned, stored, now);
    Report(owned, "t1", now);
    const auto starts = Plan(owned, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    cell::StartAnswered(owned, actions, "t1", starts[0].run,
                        cell::OrderOutcome::kDone, now);
    cell::TargetReport report{.life = 1, .clock_ms = 5};
    report.complete = false;
    now += Millis(500);
    cell::Reported(owned, actions, "t1", report, now, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owned.targets.at("t1").runs.size());
    report.complete = true;
    now += Millis(500);
    cell::Reported(owned, actions, "t1", report, now, now);
    CPPUNIT_ASSERT(owned.targets.at("t1").runs.empty());
  }

  // Guards against owners that give the same number to two runs of a task.
  void RunNumbersRiseOverTakeovers() {
    Records stored;
    Time now{Millis(1'000'000)};
    std::vector<std::uint32_t> numbers;
    for (Epoch epoch = 1; epoch <= 3; ++epoch) {
      cell::Cell owner = Open(epoch, stored, List({"t1"}), now);
      Report(owner, "t1", now);
      Store(owner, stored, now);
      cell::Actions actions;
      if (epoch == 1) {
        cell::Submit(owner, actions, 1, PlainJob("job", 1, 20'000), now,
                     now + Millis(1000));
      }
      now += Millis(200);
      Store(owner, stored, now);
      Report(owner, "t1", now);
      for (const auto& start : Plan(owner, now)) {
        numbers.push_back(start.run.number);
      }
      now += Millis(20'000);  // The owner ends, t1 runs nothing any more.
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, numbers.size());
    CPPUNIT_ASSERT(numbers[0] < numbers[1]);
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(numbers[1]) + ", then " + std::to_string(numbers[2]),
        numbers[1] < numbers[2]);
  }

  // Guards against a run on a silent target that is given up for an end of an
  // earlier owner's run: t2 had that one, t1 has the later one.
  void LaterRunOfAnEarlierOwnerReleasesNothing() {
    Records stored;
    Time now{Millis(1'000'000)};
    cell::Actions actions;
    cell::RunId run;
    std::uint32_t earlier = 0;
    for (Epoch epoch = 1; epoch <= 3; ++epoch) {
      const std::string only = epoch == 3 ? "t1" : "t2";
      cell::Cell owner = Open(epoch, stored, List({only}), now);
      Report(owner, only, now);
      Store(owner, stored, now);
      if (epoch == 1) {
        cell::Submit(owner, actions, 1, PlainJob("job", 1, 60'000), now,
                     now + Millis(1000));
      }
      now += Millis(200);
      if (epoch == 3) {
        // t2 is cut off, its lease is over.
        now += Millis(10'000);
        cell::Tick(owner, actions, now);
      }
      Report(owner, only, now);
      Store(owner, stored, now);
      auto starts = Plan(owner, now);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
      run = starts[0].run;
      if (epoch == 2) {
        // Its target had no room for the first one.
        cell::StartAnswered(owner, actions, only, run,
                            cell::OrderOutcome::kNoRoom, now);
        starts = Plan(owner, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
        run = starts[0].run;
        earlier = run.number;
      }
      cell::StartAnswered(owner, actions, only, run, cell::OrderOutcome::kDone,
                          now);
      now += Millis(100);
      if (epoch == 3) {
        CPPUNIT_ASSERT(run.number > earlier);
        now += Millis(1600);
        cell::ReportFailed(owner, actions, only, cell::OrderOutcome::kUnknown,
                           now);
        cell::Tick(owner, actions, now);
        Store(owner, stored, now);
        now += Millis(100);
        cell::Cell next = Open(4, stored, List({"t1", "t2"}), now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.targets.at("t1").runs.size());
        cell::RunId later = run;
        later.number = earlier;
        Report(next, "t2", now, {}, {Ended(1, later, cell::RunEnd::kLapsed)});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("the run goes on at t1", std::size_t{1},
                                     next.targets.at("t1").runs.size());
      } else {
        now += Millis(200);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerChangesTest);

}  // namespace
}  // namespace buckthornmux::tests
