// Ownership of ranges: claims, takeover, handover, leases and stored records.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "buckthornmux/detail/member/ownership.h"
#include "buckthornmux/detail/member/records.h"
#include "buckthornmux/detail/member/rendezvous.h"

namespace buckthornmux::member {
namespace {

using Range = RangesWanted::Range;

constexpr Time kStart{Millis(1'000'000)};

Member MakeMember(const std::string& id, const std::string& data_centre) {
  return {.id = id, .incarnation = id + "-1", .data_centre = data_centre};
}

template <class T>
std::vector<T> ActionsOf(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const auto* wanted = std::get_if<T>(&action)) {
      found.push_back(*wanted);
    }
  }
  return found;
}

/// State of process "a" with one wanted range and a lease from kStart.
OwnershipState MakeRegistered() {
  auto state = MakeOwnership(MakeMember("a", "east"), {});
  (void)Apply(state, RangesWanted{{{.name = "shard/1", .data_centre = {}}}},
              kStart);
  (void)Apply(state, LeaseRenewed{kStart}, kStart);
  return state;
}

StoreView View(Time at, std::vector<OwnerRecord> owners,
               std::vector<Member> members = {MakeMember("a", "east")}) {
  return {.read_at = at,
          .members = std::move(members),
          .owners = std::move(owners)};
}

ClaimAnswered Answer(const Claim& claim, ClaimAnswered::End end,
                     Revision revision = 0) {
  return {.record = claim.record, .end = end, .revision = revision};
}

/// State of process "a" that owns its range with epoch 1 at revision 10.
OwnershipState MakeOwner() {
  auto state = MakeRegistered();
  const Time later = kStart + state.options.takeover_delay;
  (void)Apply(state, View(kStart, {}), kStart);
  const auto claims = ActionsOf<Claim>(Apply(state, Tick{}, later));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
  const auto gained = ActionsOf<Gained>(
      Apply(state, Answer(claims[0], ClaimAnswered::End::kWritten, 10), later));
  CPPUNIT_ASSERT(gained.size() == 1 && gained[0].epoch == 1);
  return state;
}

class OwnershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnershipTest);
  CPPUNIT_TEST(LostAnswerIsReadBack);
  CPPUNIT_TEST(RegisteredOwnerKeepsItsRange);
  CPPUNIT_TEST(UnregisteredOwnerIsReplaced);
  CPPUNIT_TEST(ExpiredLeaseKeepsRanges);
  CPPUNIT_TEST(NewIncarnationClaimsAgain);
  CPPUNIT_TEST(OutdatedViewIsIgnored);
  CPPUNIT_TEST(ReceivedRecordEndsOwnership);
  CPPUNIT_TEST(AbandonedRangeIsClaimedAgainOnlyAfterAView);
  CPPUNIT_TEST(OfferedRangeIsClaimedAtOnce);
  CPPUNIT_TEST(OfferOfAFormerOwnerChangesNothing);
  CPPUNIT_TEST(LeavingMemberReleasesAllRanges);
  CPPUNIT_TEST(ReturningMemberClaimsAgain);
  CPPUNIT_TEST(RangeMovesToNewMember);
  CPPUNIT_TEST(RangeStaysWithoutRebalance);
  CPPUNIT_TEST(LostRecordKeepsEpochsIncreasing);
  CPPUNIT_TEST(EpochSinceNeedsALaterView);
  CPPUNIT_TEST(WantedOwnersAreLocalAndBalanced);
  CPPUNIT_TEST(RecordsRoundTrip);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LostAnswerIsReadBack() {
    auto state = MakeRegistered();
    (void)Apply(state, View(kStart, {}), kStart);
    Time now = kStart + state.options.takeover_delay;
    const auto claims = ActionsOf<Claim>(Apply(state, Tick{}, now));
    auto actions =
        Apply(state, Answer(claims[0], ClaimAnswered::End::kUnknown), now);
    CPPUNIT_ASSERT(ActionsOf<Gained>(actions).empty());
    CPPUNIT_ASSERT(
        ActionsOf<Claim>(Apply(state, Tick{}, now + Millis(900))).empty());
    OwnerRecord written = claims[0].record;
    written.revision = 7;
    now += Millis(1000);
    const auto gained =
        ActionsOf<Gained>(Apply(state, View(now, {written}), now));
    CPPUNIT_ASSERT(gained.size() == 1 && gained[0].epoch == 1);
  }

  void RegisteredOwnerKeepsItsRange() {
    auto state = MakeRegistered();
    const OwnerRecord other{"shard/1", "b", "b-1", 4, 9};
    const std::vector<Member> both{MakeMember("a", "east"),
                                   MakeMember("b", "east")};
    for (Time now = kStart; now < kStart + Millis(4000); now += Millis(500)) {
      const auto actions = Apply(state, View(now, {other}, both), now);
      CPPUNIT_ASSERT(ActionsOf<Claim>(actions).empty());
    }
  }

  /// An owner of another incarnation is not registered, even if a new process
  /// runs on its host.
  void UnregisteredOwnerIsReplaced() {
    auto state = MakeRegistered();
    const OwnerRecord other{"shard/1", "b", "b-0", 4, 9};
    (void)Apply(state, View(kStart, {other}), kStart);
    const Time now = kStart + state.options.takeover_delay;
    const auto claims = ActionsOf<Claim>(Apply(state, Tick{}, now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
    CPPUNIT_ASSERT_EQUAL(Epoch{5}, claims[0].record.epoch);
    CPPUNIT_ASSERT_EQUAL(Revision{9}, claims[0].record.revision);
  }

  void ExpiredLeaseKeepsRanges() {
    auto state = MakeOwner();
    const Time end = kStart + Millis(5940);  // 6 s minus 10 per mille.
    CPPUNIT_ASSERT(LeaseExpiry(state) == end);
    CPPUNIT_ASSERT(
        ActionsOf<LeaseHeld>(Apply(state, Tick{}, end - Millis(1))).empty());
    const auto actions = Apply(state, Tick{}, end);
    CPPUNIT_ASSERT(!ActionsOf<LeaseHeld>(actions).at(0).held);
    CPPUNIT_ASSERT(ActionsOf<Lost>(actions).empty());
    const Time hours = end + std::chrono::hours(5);
    CPPUNIT_ASSERT(Apply(state, Tick{}, hours).empty());
    CPPUNIT_ASSERT(
        ActionsOf<LeaseHeld>(Apply(state, LeaseRenewed{hours}, hours))
            .at(0)
            .held);
  }

  void NewIncarnationClaimsAgain() {
    auto state = MakeOwner();
    const Time now = kStart + Millis(20'000);
    const auto actions = Apply(state, Registered{"a-2", now}, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<Lost>(actions).size());
    Member renewed = MakeMember("a", "east");
    renewed.incarnation = "a-2";
    const OwnerRecord former{"shard/1", "a", "a-1", 1, 10};
    const auto claims =
        ActionsOf<Claim>(Apply(state, View(now, {former}, {renewed}), now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
    CPPUNIT_ASSERT_EQUAL(Epoch{2}, claims[0].record.epoch);
  }

  void OutdatedViewIsIgnored() {
    auto state = MakeOwner();
    const Time now = kStart + Millis(600);
    CPPUNIT_ASSERT(
        ActionsOf<Lost>(Apply(state, View(kStart + Millis(100), {}), now))
            .empty());
    const OwnerRecord older{"shard/1", "b", "b-1", 0, 9};
    CPPUNIT_ASSERT(
        ActionsOf<Lost>(Apply(state, View(now, {older}), now)).empty());
    const OwnerRecord newer{"shard/1", "b", "b-1", 2, 11};
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        ActionsOf<Lost>(Apply(state, View(now, {newer}), now)).size());
  }

  // The store is unreachable for this owner, but a peer has read the new
  // record.
  void ReceivedRecordEndsOwnership() {
    auto state = MakeOwner();
    const OwnerRecord next{.range = "shard/1",
                           .owner = "b",
                           .incarnation = "b-1",
                           .epoch = 2,
                           .revision = 20};
    const auto actions =
        Apply(state, OwnerRecordReceived{next}, kStart + Millis(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<Lost>(actions).size());
    OwnerRecord old = next;
    old.owner = "a";
    old.revision = 10;
    CPPUNIT_ASSERT(
        Apply(state, OwnerRecordReceived{old}, kStart + Millis(901)).empty());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         state.ranges.at("shard/1").record.owner);
  }

  void AbandonedRangeIsClaimedAgainOnlyAfterAView() {
    auto state = MakeOwner();
    const OwnerRecord mine = state.ranges.at("shard/1").record;
    const Time now = kStart + Millis(1000);
    const auto actions = Apply(state, Abandoned{"shard/1"}, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<Lost>(actions).size());
    CPPUNIT_ASSERT(ActionsOf<Claim>(actions).empty());
    CPPUNIT_ASSERT(
        ActionsOf<Claim>(Apply(state, Tick{}, now + Millis(100))).empty());
    const auto claims = ActionsOf<Claim>(
        Apply(state, View(now + Millis(200), {mine}), now + Millis(200)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
    CPPUNIT_ASSERT_EQUAL(Epoch{2}, claims[0].record.epoch);
  }

  // The owner is still registered, and another member is the wanted owner.
  void OfferedRangeIsClaimedAtOnce() {
    for (const char* offered_to : {"a", "c"}) {
      auto state = MakeOwnership(MakeMember(offered_to, "east"), {});
      (void)Apply(state, RangesWanted{{{.name = "shard/1"}}}, kStart);
      (void)Apply(state, LeaseRenewed{kStart}, kStart);
      const OwnerRecord record{.range = "shard/1",
                               .owner = "b",
                               .incarnation = "b-1",
                               .epoch = 4,
                               .revision = 10};
      const std::vector<Member> members{MakeMember("a", "east"),
                                        MakeMember("b", "east"),
                                        MakeMember("c", "east")};
      (void)Apply(state, View(kStart, {record}, members), kStart);
      const auto claims = ActionsOf<Claim>(
          Apply(state, Offered{"shard/1", 4}, kStart + Millis(5)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, claims.size());
      CPPUNIT_ASSERT_EQUAL(Epoch{5}, claims[0].record.epoch);
      CPPUNIT_ASSERT_EQUAL(Revision{10}, claims[0].record.revision);
    }
  }

  void OfferOfAFormerOwnerChangesNothing() {
    auto state = MakeRegistered();
    const OwnerRecord record{.range = "shard/1",
                             .owner = "b",
                             .incarnation = "b-1",
                             .epoch = 5,
                             .revision = 10};
    (void)Apply(state,
                View(kStart, {record},
                     {MakeMember("a", "east"), MakeMember("b", "east")}),
                kStart);
    CPPUNIT_ASSERT(ActionsOf<Claim>(
                       Apply(state, Offered{"shard/1", 4}, kStart + Millis(5)))
                       .empty());
    CPPUNIT_ASSERT(
        ActionsOf<Claim>(Apply(state, Tick{}, kStart + Millis(100))).empty());
  }

  void LeavingMemberReleasesAllRanges() {
    auto state = MakeOwner();
    const Time now = kStart + Millis(700);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ActionsOf<Release>(Apply(state, Leave{}, now)).size());
    auto claims = ActionsOf<Claim>(Apply(state, Released{"shard/1"}, now));
    CPPUNIT_ASSERT(claims.at(0).record.owner.empty());
    CPPUNIT_ASSERT_EQUAL(Epoch{1}, claims[0].record.epoch);
    CPPUNIT_ASSERT(!OwnsNothing(state));
    (void)Apply(state, Answer(claims[0], ClaimAnswered::End::kUnavailable),
                now);
    const Time again = now + state.options.claim_retry;
    claims = ActionsOf<Claim>(Apply(state, Tick{}, again));
    (void)Apply(state, Answer(claims.at(0), ClaimAnswered::End::kWritten, 12),
                again);
    CPPUNIT_ASSERT(OwnsNothing(state));
    CPPUNIT_ASSERT(Apply(state, View(again, {}), again).empty());
  }

  void ReturningMemberClaimsAgain() {
    auto state = MakeOwner();
    Time now = kStart + Millis(700);
    (void)Apply(state, Leave{}, now);
    const auto claims =
        ActionsOf<Claim>(Apply(state, Released{"shard/1"}, now));
    (void)Apply(state, Answer(claims.at(0), ClaimAnswered::End::kWritten, 12),
                now);
    const OwnerRecord released{"shard/1", "", "", 1, 12};
    CPPUNIT_ASSERT(
        ActionsOf<Claim>(Apply(state, View(now, {released}), now)).empty());
    const auto again = ActionsOf<Claim>(Apply(state, Return{}, now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    CPPUNIT_ASSERT_EQUAL(Epoch{2}, again[0].record.epoch);
  }

  void RangeStaysWithoutRebalance() {
    const std::vector<Member> both{MakeMember("a", "east"),
                                   MakeMember("b", "east")};
    auto state = MakeRegistered();
    state.options.rebalance = false;
    std::vector<Range> ranges;
    std::vector<OwnerRecord> owners;
    for (int i = 0; i < 20; ++i) {
      ranges.push_back(
          {.name = "partition/" + std::to_string(i), .data_centre = {}});
      owners.push_back(
          {ranges.back().name, "a", "a-1", 1, static_cast<Revision>(10 + i)});
    }
    (void)Apply(state, RangesWanted{ranges}, kStart);
    (void)Apply(state, View(kStart, owners), kStart);
    const Time now = kStart + Millis(10);
    const auto actions = Apply(state, View(now, owners, both), now);
    CPPUNIT_ASSERT(ActionsOf<Release>(actions).empty());
  }

  void RangeMovesToNewMember() {
    const std::vector<Member> both{MakeMember("a", "east"),
                                   MakeMember("b", "east")};
    std::vector<Range> ranges;
    std::vector<OwnerRecord> owners;
    for (int i = 0; i < 20; ++i) {
      ranges.push_back(
          {.name = "partition/" + std::to_string(i), .data_centre = {}});
      owners.push_back(
          {ranges.back().name, "a", "a-1", 1, static_cast<Revision>(10 + i)});
    }
    auto state = MakeRegistered();
    (void)Apply(state, RangesWanted{ranges}, kStart);
    auto actions = Apply(state, View(kStart, owners), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, ActionsOf<Gained>(actions).size());
    Time now = kStart + Millis(10);
    actions = Apply(state, View(now, owners, both), now);
    const auto first = ActionsOf<Release>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
    now += Millis(1000);
    (void)Apply(state, LeaseRenewed{now}, now);
    CPPUNIT_ASSERT(ActionsOf<Release>(Apply(state, Tick{}, now)).empty());
    const auto claims =
        ActionsOf<Claim>(Apply(state, Released{first[0].range}, now));
    actions = Apply(
        state, Answer(claims.at(0), ClaimAnswered::End::kWritten, 50), now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<Release>(actions).size());
  }

  /// The service lost the key; the next epoch must still be higher.
  void LostRecordKeepsEpochsIncreasing() {
    auto state = MakeOwner();
    Time now = kStart + Millis(1000);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        ActionsOf<Lost>(Apply(state, View(now, {}), now)).size());
    now += state.options.takeover_delay;
    const auto claims = ActionsOf<Claim>(Apply(state, Tick{}, now));
    CPPUNIT_ASSERT_EQUAL(Epoch{2}, claims.at(0).record.epoch);
    CPPUNIT_ASSERT_EQUAL(Revision{0}, claims[0].record.revision);
  }

  void EpochSinceNeedsALaterView() {
    auto state = MakeOwner();
    CPPUNIT_ASSERT(!EpochSince(state, "partition/7", "shard/1"));
    const Time now = kStart + Millis(600);
    const OwnerRecord ours{"shard/1", "a", "a-1", 1, 10};
    const OwnerRecord home{"partition/7", "b", "b-1", 4, 11};
    (void)Apply(state, View(now, {ours, home}), now);
    CPPUNIT_ASSERT_EQUAL(Epoch{4},
                         EpochSince(state, "partition/7", "shard/1").value());
    CPPUNIT_ASSERT(!EpochSince(state, "partition/7", "shard/2"));
  }

  void WantedOwnersAreLocalAndBalanced() {
    std::vector<Member> members;
    for (const char* id : {"a", "b", "c", "d", "e", "f", "g"}) {
      members.push_back(MakeMember(id, id[0] < 'd' ? "east" : "west"));
    }
    members[6].leaving = true;
    std::vector<Range> ranges;
    for (int i = 0; i < 24; ++i) {
      ranges.push_back(
          {.name = "partition/" + std::to_string(i), .data_centre = {}});
      ranges.push_back({.name = "shard/" + std::to_string(i),
                        .data_centre = i % 2 == 0 ? "east" : "west"});
    }
    const auto owners = WantedOwners(ranges, members);
    CPPUNIT_ASSERT_EQUAL(ranges.size(), owners.size());
    std::map<HostId, int> load;
    for (const Range& range : ranges) {
      const HostId& owner = owners.at(range.name);
      ++load[owner];
      CPPUNIT_ASSERT(owner != "g");
      CPPUNIT_ASSERT(range.data_centre.empty() ||
                     (range.data_centre == "east") == (owner < "d"));
    }
    for (const auto& [id, count] : load) {
      CPPUNIT_ASSERT_MESSAGE(id, count <= (4 + 1) + (4 + 1));
    }
    std::ranges::reverse(members);
    std::ranges::reverse(ranges);
    CPPUNIT_ASSERT(owners == WantedOwners(ranges, members));
    CPPUNIT_ASSERT(WantedOwners(ranges, {}).empty());
  }

  void RecordsRoundTrip() {
    Member member = MakeMember("a", "east");
    member.leaving = true;
    const auto back =
        Capture([&] { return DecodeMember(EncodeMember(member)); });
    CPPUNIT_ASSERT(std::get<Member>(back).leaving);
    const OwnerRecord record{"shard/1", "b", "b-1", 1ULL << 60, 9};
    const auto again = Capture(
        [&] { return DecodeOwnerRecord(EncodeOwnerRecord(record), 9); });
    CPPUNIT_ASSERT(std::get<OwnerRecord>(again) == record);
    for (const char* text : {"", "[]", "{\"range\":1}", "{\"range\":\"x\"}"}) {
      const auto failed = Capture([&] { return DecodeOwnerRecord(text, 1); });
      CPPUNIT_ASSERT(std::get<Error>(failed).kind == ErrorKind::kMalformed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);

}  // namespace
}  // namespace buckthornmux::member
