// How long jobs that were taken over wait for targets that don't report, over
// any number of owners.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "buckthornmux/detail/core/archive.h"
#include "cell_owner.h"
#include "src/cell/records/record_layout.h"

namespace buckthornmux::cell {
using buckthornmux::serialize;
}  // namespace buckthornmux::cell

namespace buckthornmux::tests {
namespace {

constexpr Time kBegin{Millis(1'000'000)};
constexpr Millis kTick{50};
/// From the claim of an owner until it has read the records.
constexpr Millis kLoadTime{100};

/// Owners of one cell that are replaced one after the other, each at the moment
/// in which the next one claims the cell. Target "left" had runs of the first
/// one and answers none of the others; "here" reports to each.
struct Owners {
  Records stored;
  Time now = kBegin;
  Epoch epoch = 1;
  bool suspected = true;
  /// Whether a host that lives on tells each owner when the others came.
  bool told = false;
  std::vector<cell::EpochSighting> seen;
  Time replaced_at;  ///< When the first one was replaced.
};

/// The longest time that runs last after the last possible renewal.
Millis LongestLease() {
  const cell::Options options;
  constexpr int kPerMille = 1000;
  return options.lease +
         options.lease * options.drift_per_mille /
             (kPerMille - options.drift_per_mille) +
         Millis(1) + options.stop_time;
}

/// Begins with an owner to which both targets have reported.
Owners FirstOwner() {
  Owners owners;
  cell::Cell first =
      Open(1, {}, {Entry("here", "127.0.0.1:1"), Entry("left", "127.0.0.1:2")},
           owners.now);
  Report(first, "here", owners.now);
  Report(first, "left", owners.now);
  Store(first, owners.stored, owners.now);
  owners.now += Millis(200);
  owners.replaced_at = owners.now;
  return owners;
}

/// Lets the next owner own the cell until it has recovered, or for `life`.
/// @return when it had recovered
std::optional<Time> OwnFor(Owners& owners, Millis life) {
  const Time claimed = owners.now;
  const Time end = claimed + life;
  owners.seen.push_back({owners.epoch + 1, claimed});
  owners.now += std::min(kLoadTime, life);
  if (kLoadTime >= life) {
    ++owners.epoch;
    return std::nullopt;
  }
  cell::Cell owned = Open(
      ++owners.epoch, owners.stored, {Entry("here", "127.0.0.1:1")}, claimed,
      owners.suspected ? cell::Options{}.owner_discovery : Millis(0));
  Report(owned, "here", owners.now);
  if (owners.told) {
    cell::Actions actions;
    cell::ApplySightings(owned, actions, owners.seen, owners.now);
  }
  for (; owners.now < end; owners.now += kTick) {
    cell::Actions actions;
    cell::Tick(owned, actions, owners.now);
    Store(owned, owners.stored, owners.now);
    if (owned.recovered) {
      return owners.now;
    }
  }
  owners.now = end;
  return std::nullopt;
}

/// Lets `count` owners live for `life` each, and one more live on.
/// @return when one of them had recovered
Time RecoveryTime(Owners& owners, int count, Millis life) {
  for (int i = 0; i < count; ++i) {
    if (const auto recovered = OwnFor(owners, life)) {
      return *recovered;
    }
  }
  constexpr Millis kLongLife{60'000};
  const auto recovered = OwnFor(owners, kLongLife);
  CPPUNIT_ASSERT(recovered.has_value());
  return *recovered;
}

std::vector<cell::SendStart> StartsOf(cell::Cell& owned, Time now) {
  cell::Actions actions;
  cell::Plan(owned, actions, now);
  std::vector<cell::SendStart> starts;
  for (const cell::Action& action : actions) {
    if (const auto* start = std::get_if<cell::SendStart>(&action)) {
      starts.push_back(*start);
    }
  }
  return starts;
}

constexpr Millis kLives[] = {Millis(300),  Millis(500),  Millis(1000),
                             Millis(1600), Millis(2100), Millis(3000)};
constexpr int kCounts[] = {1, 2, 3, 5, 9, 15, 25, 40, 60};

class TakeoverWaitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TakeoverWaitsTest);
  CPPUNIT_TEST(WaitDoesNotGrowWithTheNumberOfOwners);
  CPPUNIT_TEST(WaitShrinksByTheTimeThatPasses);
  CPPUNIT_TEST(LaterOwnersLeaseIsNotCutShort);
  CPPUNIT_TEST(TargetThatLeftCostsItsOwnTasksOnly);
  CPPUNIT_TEST(NothingStartsOnATargetThatIsStoredAsLeaving);
  CPPUNIT_TEST(ReplacedOwnerTakesNoLeaseForOver);
  CPPUNIT_TEST(OmittedKnownRunsLeaveNoOldOnes);
  CPPUNIT_TEST(ListOfAnEarlierBuildIsRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against LOST (review/13): each suspected owner that lived for less
  // than 2.7 s handed on a longer wait than it had got, so that jobs that were
  // taken over didn't start any more.
  void WaitDoesNotGrowWithTheNumberOfOwners() {
    for (const Millis life : kLives) {
      for (const int count : kCounts) {
        Owners owners = FirstOwner();
        const Time last_claim = owners.now + count * life;
        const Time recovered = RecoveryTime(owners, count, life);
        const Time bound =
            last_claim + LongestLease() + cell::Options{}.owner_discovery;
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(count) + " owners of " +
                std::to_string(life.count()) + " ms: recovered " +
                std::to_string((recovered - last_claim).count()) +
                " ms after the last claim",
            recovered <= bound + kTick);
      }
    }
  }

  // Guards against LOST (review/13): an owner counted what was left of a wait
  // from its claim, although time had passed since its predecessor stored it,
  // so that owners that lived for less than 0.5 s handed on all of it.
  void WaitShrinksByTheTimeThatPasses() {
    for (const bool suspected : {false, true}) {
      for (const Millis life : kLives) {
        for (const int count : kCounts) {
          Owners owners = FirstOwner();
          owners.suspected = suspected;
          owners.told = true;
          const Time recovered = RecoveryTime(owners, count, life);
          const Time bound = owners.replaced_at + LongestLease() +
                             cell::Options{}.owner_discovery;
          CPPUNIT_ASSERT_MESSAGE(
              std::to_string(count) + " owners of " +
                  std::to_string(life.count()) + " ms: recovered " +
                  std::to_string((recovered - owners.replaced_at).count()) +
                  " ms after the first one was replaced",
              recovered <= bound + kLoadTime + 2 * kTick);
        }
      }
    }
  }

  // Guards against a wait that ends before the lease of the last owner that
  // gave orders: only its own replacement counts, not that of earlier ones.
  void LaterOwnersLeaseIsNotCutShort() {
    Owners owners = FirstOwner();
    const std::vector<cell::TargetEntry> both{Entry("here", "127.0.0.1:1"),
                                              Entry("left", "127.0.0.1:2")};
    const Time long_ago = owners.now - Millis(60'000);
    cell::Cell second = Open(2, owners.stored, both, owners.now);
    Report(second, "here", owners.now);
    Report(second, "left", owners.now);
    Store(second, owners.stored, owners.now);
    CPPUNIT_ASSERT(second.recovered);
    cell::Cell third =
        Open(3, owners.stored, {Entry("here", "127.0.0.1:1")}, owners.now);
    Report(third, "here", owners.now);
    cell::Actions actions;
    const std::vector<cell::EpochSighting> seen{{1, long_ago}, {2, long_ago}};
    cell::ApplySightings(third, actions, seen, owners.now);
    const Time over = owners.now + LongestLease();
    cell::Tick(third, actions, over - Millis(1));
    Store(third, owners.stored, over - Millis(1));
    CPPUNIT_ASSERT(!third.recovered);
    third.targets_dirty = true;
    Store(third, owners.stored, over);
    CPPUNIT_ASSERT(third.recovered);
  }

  // Guards against LOST (review/13): owners are replaced while targets drain
  // and leave, and no job that was taken over starts as long as one of them is
  // missing, although the former owner knew what it ran.
  void TargetThatLeftCostsItsOwnTasksOnly() {
    Records stored;
    Time now = kBegin;
    const auto here = Entry("here", "127.0.0.1:1");
    auto left = Entry("left", "127.0.0.1:2");
    cell::Cell first = Open(1, stored, {here, left}, now);
    Report(first, "here", now);
    Report(first, "left", now);
    Store(first, stored, now);
    cell::Actions actions;
    // One task for each target, and one that waits.
    cell::Submit(first, actions, 1, PlainJob("job", 3, 60'000), now,
                 now + Millis(1000));
    now += Millis(200);
    Store(first, stored, now);
    std::map<std::string, cell::RunId> runs;
    for (const cell::SendStart& start : StartsOf(first, now)) {
      cell::StartAnswered(first, actions, start.target, start.run,
                          cell::OrderOutcome::kDone, now);
      runs[start.target] = start.run;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runs.size());
    left.draining = true;
    cell::SetTargets(first, actions, std::vector{here, left}, now, now);
    cell::OnLeaseSent(first, "left", now);
    Store(first, stored, now);
    now += Millis(1000);
    // The next owner finds it gone.
    cell::Cell second = Open(2, stored, {here}, now);
    cell::RunningReport running;
    running.run = runs.at("here");
    Report(second, "here", now, {running});
    CPPUNIT_ASSERT(second.recovered);
    Store(second, stored, now);
    const Time lapsed = now + LongestLease() + Millis(1);
    cell::EndReport done;
    done.sequence = 1;
    done.run = runs.at("here");
    done.end = cell::RunEnd::kDone;
    Report(second, "here", now, {}, {done});
    Store(second, stored, now);
    const auto next = StartsOf(second, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
    CPPUNIT_ASSERT(next[0].run.task != runs.at("left").task);
    cell::StartAnswered(second, actions, "here", next[0].run,
                        cell::OrderOutcome::kDone, now);
    done.sequence = 2;
    done.run = next[0].run;
    Report(second, "here", now, {}, {done});
    Store(second, stored, now);
    CPPUNIT_ASSERT(StartsOf(second, now).empty());
    cell::Tick(second, actions, lapsed);
    Store(second, stored, lapsed);
    cell::Tick(second, actions, lapsed);
    Report(second, "here", lapsed);
    cell::SetTargets(second, actions, std::vector{here}, lapsed, lapsed);
    const auto again = StartsOf(second, lapsed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT(again[0].run.task == runs.at("left").task);
  }

  // Guards against a run that a next owner doesn't know: the target stops
  // draining, and a task starts on it before the list without it is stored.
  void NothingStartsOnATargetThatIsStoredAsLeaving() {
    Records stored;
    const Time now = kBegin;
    auto entry = Entry("left", "127.0.0.1:2");
    entry.capacity.cpu_milli = 2000;
    cell::Cell owned = Open(1, stored, {entry}, now);
    Report(owned, "left", now);
    Store(owned, stored, now);
    cell::Actions actions;
    cell::Submit(owned, actions, 1, PlainJob("job", 1, 60'000), now,
                 now + Millis(1000));
    Store(owned, stored, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, StartsOf(owned, now).size());
    entry.draining = true;
    cell::SetTargets(owned, actions, std::vector{entry}, now, now);
    Store(owned, stored, now);
    cell::Submit(owned, actions, 2, PlainJob("other", 1, 60'000), now,
                 now + Millis(1000));
    owned.targets_dirty = false;
    Store(owned, stored, now);
    entry.draining = false;
    cell::SetTargets(owned, actions, std::vector{entry}, now, now);
    CPPUNIT_ASSERT(StartsOf(owned, now).empty());
    Store(owned, stored, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, StartsOf(owned, now).size());
  }

  // Guards against TWICE: an owner that has been replaced and can't store
  // anything lets a lease end that the next owner has renewed.
  void ReplacedOwnerTakesNoLeaseForOver() {
    Owners owners = FirstOwner();
    cell::Cell second =
        Open(2, owners.stored, {Entry("here", "127.0.0.1:1")}, owners.now);
    Report(second, "here", owners.now);
    Store(second, owners.stored, owners.now);
    const Time over = owners.now + LongestLease();
    cell::Actions actions;
    cell::Tick(second, actions, over + kTick);
    CPPUNIT_ASSERT(!second.recovered);
    Store(second, owners.stored, over + kTick);
    CPPUNIT_ASSERT(second.recovered);
    // The same for a target that has fallen silent.
    cell::Cell third =
        Open(3, owners.stored, {Entry("here", "127.0.0.1:1")}, over + kTick);
    const Time now = over + kTick;
    Report(third, "here", now);
    Store(third, owners.stored, now);
    cell::RunningReport running;
    running.run = {{"unknown", 0, 0, 0}, 1};
    Report(third, "here", now, {running});
    cell::OnLeaseSent(third, "here", now);
    const Time end = now + LongestLease() + kTick;
    cell::ReportFailed(third, actions, "here", cell::OrderOutcome::kUnknown,
                       end);
    cell::Tick(third, actions, end);
    CPPUNIT_ASSERT(!third.targets.at("here").runs.empty());
    Store(third, owners.stored, end);
    cell::Tick(third, actions, end);
    CPPUNIT_ASSERT(third.targets.at("here").runs.empty());
  }

  // Guards against a list of known runs that stays stored while the store
  // rejects the next one: a next owner would take it for complete.
  void OmittedKnownRunsLeaveNoOldOnes() {
    Records stored;
    Time now = kBegin;
    auto entry = Entry("left", "127.0.0.1:2");
    entry.draining = true;
    cell::Cell owned = Open(1, stored, {entry}, now);
    cell::RunningReport running;
    running.run = {{"unknown", 0, 0, 0}, 1};
    Report(owned, "left", now, {running});
    constexpr std::size_t kMaxBatchWrites = 29;
    auto batch = cell::TakeBatch(owned, kMaxBatchWrites, now);
    CPPUNIT_ASSERT(batch.has_value());
    std::size_t omitted = 0;
    while (cell::ShortenBatch(*batch)) {
      ++omitted;
    }
    CPPUNIT_ASSERT(omitted > 0);
    for (const cell::RecordWrite& write : batch->writes) {
      stored[write.key] = write;
    }
    CPPUNIT_ASSERT(stored.contains("silent"));
    now += Millis(500);
    const cell::Cell next = Open(2, stored, {}, now);
    CPPUNIT_ASSERT(next.expected.contains("left"));
    CPPUNIT_ASSERT(!next.recovered);
  }

  // The former owner may renew each target that an earlier build has listed.
  void ListOfAnEarlierBuildIsRead() {
    const std::vector<cell::StoredTarget> targets{{"left", Millis(700)}};
    const Records stored{
        {"targets", {"targets", EncodeBinary(targets), false}}};
    constexpr Millis kFormerLease{2700};
    const cell::Cell owned = Open(5, stored, {}, kBegin, kFormerLease);
    const auto& expected = owned.expected.at("left");
    CPPUNIT_ASSERT(expected.until == kBegin + kFormerLease + Millis(700));
    CPPUNIT_ASSERT_EQUAL(Epoch{4}, expected.last_owner);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TakeoverWaitsTest);

}  // namespace
}  // namespace buckthornmux::tests
