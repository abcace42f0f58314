// Age of the list of targets: no task starts on a target that may have been
// draining for too long.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "buckthornmux/detail/entry/list_wait.h"
#include "buckthornmux/detail/entry/target_reader.h"
#include "buckthornmux/detail/runtime/log_line.h"
#include "cell_owner.h"

namespace buckthornmux::tests {
namespace {

constexpr Millis kDrainWithin{2000};

template <class Order>
std::vector<Order> OrdersOf(const cell::Actions& actions) {
  std::vector<Order> orders;
  for (const auto& action : actions) {
    if (const auto* order = std::get_if<Order>(&action)) {
      orders.push_back(*order);
    }
  }
  return orders;
}

/// An owner with one target that reports, and one stored job.
struct Owner {
  Time now{Millis(1'000'000)};
  Records stored;
  std::vector<cell::TargetEntry> entries{Entry("t1", "127.0.0.1:1")};
  cell::Cell owned = Open(1, stored, entries, now);

  Owner() {
    owned.options.max_list_age = entry::MaxListAge(kDrainWithin);
    Report(owned, "t1", now);
    cell::Actions actions;
    cell::Submit(owned, actions, 1, PlainJob("job", 1, 500), now,
                 now + Millis(1000));
    Store(owned, stored, now + Millis(200));
  }

  /// Passes on a list that was read at `as_of`.
  cell::Actions List(Time as_of) {
    cell::Actions actions;
    cell::SetTargets(owned, actions, entries, as_of, now);
    return actions;
  }
  std::size_t Starts() {
    cell::Actions actions;
    cell::Plan(owned, actions, now);
    return OrdersOf<cell::SendStart>(actions).size();
  }
  /// Returns the orders of a tick.
  cell::Actions Tick() {
    cell::Actions actions;
    cell::Tick(owned, actions, now);
    return actions;
  }
  /// Starts the job's task at `now`; no answer arrives.
  cell::RunId StartWithoutAnswer() {
    cell::Actions actions;
    cell::Plan(owned, actions, now);
    const auto starts = OrdersOf<cell::SendStart>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    return starts.front().run;
  }
  std::size_t StartsAfterNoAnswer(const cell::RunId& run) {
    cell::Actions actions;
    cell::StartAnswered(owned, actions, "t1", run, cell::OrderOutcome::kUnknown,
                        now);
    return OrdersOf<cell::SendStart>(actions).size();
  }
};

class ListAgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListAgeTest);
  CPPUNIT_TEST(NothingStartsByAnOldList);
  CPPUNIT_TEST(StartIsNotSentOnceTheListIsOld);
  CPPUNIT_TEST(ListThatIsOldWhenItArrivesStartsNothing);
  CPPUNIT_TEST(UnansweredStartIsNotRepeatedByAnOldList);
  CPPUNIT_TEST(HeldStartIsNotRepeatedOnADrainingTarget);
  CPPUNIT_TEST(DepartureCountsFromTheReading);
  CPPUNIT_TEST(BoundLeavesTimeForTheOrder);
  CPPUNIT_TEST(WaitsAreLoggedOnceASecond);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against starts on targets that drain unseen: the owner stood still,
  // or can't read the list.
  void NothingStartsByAnOldList() {
    Owner owner;
    owner.now += entry::MaxListAge(kDrainWithin) + Millis(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.Starts());
    (void)owner.List(owner.now - Millis(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.Starts());
  }

  // Guards against DRAIN: a start that waits for a connection, or for a loop
  // that is busy, leaves later than the list that it was decided by allows.
  void StartIsNotSentOnceTheListIsOld() {
    Owner owner;
    const Time as_of = owner.now;
    const Time until = as_of + entry::MaxListAge(kDrainWithin);
    owner.now += Millis(1000);
    cell::Actions actions;
    cell::Plan(owner.owned, actions, owner.now);
    const auto starts = OrdersOf<cell::SendStart>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts[0].send_by == until);
    cell::Actions repeated;
    cell::StartAnswered(owner.owned, repeated, "t1", starts[0].run,
                        cell::OrderOutcome::kUnknown, owner.now);
    const auto again = OrdersOf<cell::SendStart>(repeated);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT(again[0].send_by == until);
    owner.owned.options.max_list_age = Millis::max();
    CPPUNIT_ASSERT(cell::ListUsableUntil(owner.owned) == Time::max());
  }

  // Guards against the age of a list that counts from its arrival: reading it
  // took longer than a target has to get no more work.
  void ListThatIsOldWhenItArrivesStartsNothing() {
    Owner owner;
    owner.now += Millis(5000);
    (void)owner.List(owner.now - entry::MaxListAge(kDrainWithin) - Millis(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.Starts());
    (void)owner.List(owner.now - entry::MaxListAge(kDrainWithin));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.Starts());
  }

  // Guards against a repeated start that is the first to arrive, later than
  // the list on which the first one was based allows.
  void UnansweredStartIsNotRepeatedByAnOldList() {
    Owner owner;
    owner.now += entry::MaxListAge(kDrainWithin);
    const cell::RunId run = owner.StartWithoutAnswer();
    owner.now += Millis(150);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.StartsAfterNoAnswer(run));
    CPPUNIT_ASSERT(OrdersOf<cell::SendStart>(owner.Tick()).empty());
    (void)owner.List(owner.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         OrdersOf<cell::SendStart>(owner.Tick()).size());
  }

  // Guards against a start that was held back, here by an old list, and is
  // repeated on a target that has been draining meanwhile.
  void HeldStartIsNotRepeatedOnADrainingTarget() {
    Owner owner;
    owner.now += entry::MaxListAge(kDrainWithin);
    const cell::RunId run = owner.StartWithoutAnswer();
    owner.now += Millis(150);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.StartsAfterNoAnswer(run));
    owner.entries.front().draining = true;
    owner.now += Millis(600);
    (void)owner.List(owner.now);
    CPPUNIT_ASSERT(OrdersOf<cell::SendStart>(owner.Tick()).empty());
    // A report shows that the task doesn't run, which frees it for others.
    Report(owner.owned, "t1", owner.now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         OrdersOf<cell::SendStop>(owner.Tick()).size());
  }

  // Guards against a task that is lost with its target, since the announced
  // time was counted from when the list was applied.
  void DepartureCountsFromTheReading() {
    constexpr Millis kRemaining{5000};
    Owner owner;
    const Time read_at = owner.now + Millis(100);
    owner.now += Millis(1000);
    owner.entries.front().draining = true;
    owner.entries.front().remaining = kRemaining;
    (void)owner.List(read_at);
    CPPUNIT_ASSERT(owner.owned.targets.at("t1").leaves_at ==
                   read_at + kRemaining);
    owner.entries.push_back(Entry("t2", "127.0.0.1:2"));
    owner.entries.back().draining = true;
    owner.entries.back().remaining = kRemaining;
    (void)owner.List(read_at);
    CPPUNIT_ASSERT(owner.owned.targets.at("t2").leaves_at ==
                   read_at + kRemaining);
  }

  void BoundLeavesTimeForTheOrder() {
    CPPUNIT_ASSERT(entry::MaxListAge(Millis(2000)) == Millis(1700));
    CPPUNIT_ASSERT(entry::MaxListAge(Millis(400)) == Millis(200));
    CPPUNIT_ASSERT(entry::MaxListAge(Millis(0)) == Millis::max());
  }

  // Guards against an owner that starts nothing and doesn't say why.
  void WaitsAreLoggedOnceASecond() {
    int lines = 0;
    runtime::SetLogSink([&lines](std::string_view line) {
      lines += line.find("targets_awaited") != std::string::npos ? 1 : 0;
    });
    entry::ListWait wait;
    Time now{Millis(1'000'000)};
    const auto pass = [&](Millis time, bool waits) {
      for (const Time until = now + time; now < until; now += Millis(50)) {
        entry::NoteListWait(wait, waits, Millis(2000), now);
      }
    };
    pass(Millis(900), true);
    CPPUNIT_ASSERT_EQUAL(0, lines);
    pass(Millis(2300), true);
    CPPUNIT_ASSERT_EQUAL(3, lines);
    pass(Millis(5000), false);
    CPPUNIT_ASSERT(entry::TotalOf(wait, now) == Millis(3200));
    pass(Millis(1050), true);
    runtime::SetLogSink({});
    CPPUNIT_ASSERT_EQUAL(4, lines);
    CPPUNIT_ASSERT(entry::TotalOf(wait, now) == Millis(4250));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListAgeTest);

}  // namespace
}  // namespace buckthornmux::tests
