// Allowances of teams: limits hold with lost, late and duplicate answers.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>

#include "buckthornmux/detail/limits/grant_holder.h"
#include "buckthornmux/detail/limits/ledger.h"

namespace buckthornmux::limits {
namespace {

constexpr std::size_t kShards = 4;
constexpr std::int64_t kHighestLimit = 12;

std::int64_t Sum(const TeamGrants& record) {
  std::int64_t sum = 0;
  for (const auto& [shard, slots] : record.slots) {
    sum += slots;
  }
  return sum;
}

TeamGrants Next(const TeamGrants& record, const GrantRequest& request) {
  const auto outcome = Capture([&] { return NextGrants(record, request); });
  CPPUNIT_ASSERT(std::holds_alternative<TeamGrants>(outcome));
  return std::get<TeamGrants>(outcome);
}

ErrorKind NextError(const TeamGrants& record, const GrantRequest& request) {
  const auto outcome = Capture([&] { return NextGrants(record, request); });
  CPPUNIT_ASSERT(std::holds_alternative<Error>(outcome));
  return std::get<Error>(outcome).kind;
}

/// A shard and the slots in use on its targets, which outlive its owners.
struct Shard {
  ShardId id;
  GrantHolder holder{.epoch = 1};
  std::int64_t running = 0;
  std::int64_t wanted = 0;
  Revision config = 1;  ///< Revision known to its owner.
  int waiting = 0;      ///< Number of the write in flight, or 0.
};

/// A compare-and-swap in flight; it may arrive late, twice or never.
struct Write {
  int number = 0;
  std::size_t shard = 0;
  Revision expected = 0;
  TeamGrants record;
};

/// Simulated store and shards: the record of one team, the owners of the shards
/// and their writes in flight.
struct World {
  std::vector<Shard> shards;
  /// Limits by revision, starting at 1.
  std::vector<std::int64_t> limits{kHighestLimit};
  TeamGrants record;
  Revision revision = 0;
  std::deque<Write> writes;
  int last_write = 0;

  World() {
    for (std::size_t i = 0; i < kShards; ++i) {
      shards.push_back({.id = "s" + std::to_string(i)});
    }
  }

  void Ask(std::size_t index) {
    Shard& shard = shards[index];
    if (shard.waiting != 0) {
      return;
    }
    const GrantRequest request{.shard = shard.id,
                               .wanted = shard.wanted,
                               .in_use = shard.running,
                               .limit = limits[shard.config - 1],
                               .config = shard.config,
                               .epoch = shard.holder.epoch};
    const auto outcome = Capture(
        [&] { return PrepareWrite(shard.holder, record, revision, request); });
    if (const auto* error = std::get_if<Error>(&outcome)) {
      RC_ASSERT(error->kind == ErrorKind::kConfigStale);
      shard.config = limits.size();
      return;
    }
    const auto& next = std::get<std::optional<TeamGrants>>(outcome);
    if (next) {
      shard.waiting = ++last_write;
      writes.push_back({last_write, index, revision, *next});
    }
  }

  /// Delivers the first write. Its answer may be lost, and the write may be
  /// delivered again later.
  void Deliver(bool answered, bool again) {
    if (writes.empty()) {
      return;
    }
    const Write write = writes.front();
    writes.pop_front();
    const bool matches = write.expected == revision;
    if (matches) {
      record = write.record;
      ++revision;
    }
    if (again) {
      writes.push_back(write);
    }
    if (answered) {
      EndWrite(write, matches ? GrantWrite::kWritten : GrantWrite::kLost);
    }
  }

  /// Delivers the outcome of a write, unless its sender has been replaced or
  /// has given up.
  void EndWrite(const Write& write, GrantWrite end) {
    Shard& shard = shards[write.shard];
    if (shard.waiting == write.number) {
      shard.waiting = 0;
      WriteEnded(shard.holder, write.record, shard.id, write.expected, end);
    }
  }

  /// The sender stops waiting for its write, which may still arrive.
  void GiveUp(std::size_t index) {
    for (const Write& write : writes) {
      if (write.shard == index) {
        EndWrite(write, GrantWrite::kUnknown);
      }
    }
    shards[index].waiting = 0;
  }

  void Start(std::size_t index) {
    Shard& shard = shards[index];
    if (shard.running < shard.holder.usable) {
      ++shard.running;
    }
  }

  void End(std::size_t index) {
    std::int64_t& running = shards[index].running;
    running = std::max<std::int64_t>(running - 1, 0);
  }

  /// Replaces the owner of a shard; the slots in use stay.
  void ChangeOwner(std::size_t index) {
    Shard& shard = shards[index];
    shard.holder = {.epoch = shard.holder.epoch + 1};
    shard.waiting = 0;
  }

  /// Checks the invariants after each step.
  void Check() const {
    std::int64_t running = 0;
    for (const Shard& shard : shards) {
      RC_ASSERT(shard.running <= SlotsOf(record, shard.id));
      running += shard.running;
    }
    const bool lowered = Sum(record) > record.limit;
    RC_ASSERT(lowered || running <= record.limit);
  }
};

void Step(World& world) {
  const auto index = *rc::gen::inRange<std::size_t>(0, kShards);
  switch (*rc::gen::inRange(0, 14)) {
    case 0:
      world.shards[index].wanted = *rc::gen::inRange(0, 15);
      break;
    case 1:
    case 2:
    case 3:
      world.Ask(index);
      break;
    case 4:
    case 5:
    case 6:
      world.Deliver(*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
      break;
    case 7:
      world.GiveUp(index);
      break;
    case 8:
    case 9:
    case 10:
      world.Start(index);
      break;
    case 11:
      world.End(index);
      break;
    case 12:
      world.ChangeOwner(index);
      break;
    default:
      if (*rc::gen::inRange(0, 4) == 0) {
        world.limits.push_back(
            *rc::gen::inRange<std::int64_t>(0, kHighestLimit + 1));
      }
      world.shards[index].config = world.limits.size();
      break;
  }
}

/// Ends faults and running work; every owner requests with the newest revision.
void Settle(World& world) {
  while (!world.writes.empty()) {
    world.Deliver(true, false);
  }
  for (Shard& shard : world.shards) {
    shard.config = world.limits.size();
    shard.running = 0;
    shard.waiting = 0;
  }
  for (int round = 0; round < 4; ++round) {
    for (std::size_t i = 0; i < kShards; ++i) {
      world.Ask(i);
      world.Deliver(true, false);
    }
  }
}

class LedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(LimitHoldsUnderFaults);
  CPPUNIT_TEST(LateLoweredAllowanceIsRespected);
  CPPUNIT_TEST(ShardReturnsExcessAllowance);
  CPPUNIT_TEST(StaleRequestsAreRefused);
  CPPUNIT_TEST(LoweredLimitDrains);
  CPPUNIT_TEST(RemovedShardIsFreed);
  CPPUNIT_TEST(FairPartsAddUp);
  CPPUNIT_TEST(RecordRoundTrips);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LimitHoldsUnderFaults() {
    const bool held = rc::check("use stays within the limit, and settles", [] {
      World world;
      const auto steps = *rc::gen::inRange(0, 400);
      for (int i = 0; i < steps; ++i) {
        Step(world);
        world.Check();
      }
      Settle(world);
      std::int64_t wanted = 0;
      for (const Shard& shard : world.shards) {
        wanted += shard.wanted;
      }
      RC_ASSERT(Sum(world.record) == std::min(wanted, world.limits.back()));
      for (const Shard& shard : world.shards) {
        RC_ASSERT(shard.holder.usable == SlotsOf(world.record, shard.id));
      }
    });
    CPPUNIT_ASSERT(held);
  }

  /// A lowered allowance whose write was not answered may still take effect
  /// while the record's revision is unchanged. A new request for more must not
  /// raise the usable slots until then.
  void LateLoweredAllowanceIsRespected() {
    GrantRequest request{.shard = "a", .wanted = 8, .limit = 9, .config = 1};
    const TeamGrants record = Next({}, request);
    GrantHolder holder{.usable = 8};
    request.wanted = 3;
    const auto prepare = [&](Revision revision) {
      const auto outcome = Capture(
          [&] { return PrepareWrite(holder, record, revision, request); });
      return std::get<std::optional<TeamGrants>>(outcome);
    };
    const auto lowering = prepare(5);
    CPPUNIT_ASSERT(lowering && holder.usable == 3);
    WriteEnded(holder, *lowering, "a", 5, GrantWrite::kUnknown);
    request.wanted = 8;
    // The prepared write would give the record a new revision.
    CPPUNIT_ASSERT(prepare(5).has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, holder.usable);
    CPPUNIT_ASSERT(!prepare(6).has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{8}, holder.usable);
  }

  /// A shard that got the whole limit first returns a part when a second shard
  /// requests slots.
  void ShardReturnsExcessAllowance() {
    TeamGrants record;
    GrantRequest first{.shard = "a", .wanted = 500, .limit = 10, .config = 1};
    GrantRequest second{.shard = "b", .wanted = 5, .limit = 10, .config = 1};
    record = Next(record, first);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, SlotsOf(record, "a"));
    record = Next(record, second);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, SlotsOf(record, "b"));
    first.in_use = 9;
    record = Next(record, first);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, SlotsOf(record, "a"));
    first.in_use = 2;
    record = Next(record, first);
    record = Next(record, second);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{10}, Sum(record));
    CPPUNIT_ASSERT(SlotsOf(record, "b") >= 3);
  }

  void StaleRequestsAreRefused() {
    const GrantRequest request{
        .shard = "a", .wanted = 3, .limit = 5, .config = 4, .epoch = 2};
    const TeamGrants record = Next({}, request);
    GrantRequest older = request;
    older.config = 3;
    CPPUNIT_ASSERT(NextError(record, older) == ErrorKind::kConfigStale);
    GrantRequest former = request;
    former.epoch = 1;
    CPPUNIT_ASSERT(NextError(record, former) == ErrorKind::kOwnerStale);
    GrantRequest successor = request;
    successor.epoch = 3;
    CPPUNIT_ASSERT(Next(record, successor) != record);
  }

  void LoweredLimitDrains() {
    GrantRequest a{.shard = "a", .wanted = 8, .limit = 12, .config = 1};
    GrantRequest b{.shard = "b", .wanted = 4, .limit = 12, .config = 1};
    TeamGrants record = Next(Next({}, a), b);
    a.in_use = 8;
    b.in_use = 4;
    a.limit = b.limit = 6;
    a.config = b.config = 2;
    record = Next(Next(record, a), b);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{12}, Sum(record));
    b.in_use = 0;
    record = Next(record, b);
    a.in_use = 5;
    record = Next(record, a);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, SlotsOf(record, "b"));
    a.in_use = 0;
    record = Next(record, a);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, SlotsOf(record, "a"));
  }

  void RemovedShardIsFreed() {
    const GrantRequest a{.shard = "a", .wanted = 6, .limit = 6, .config = 1};
    TeamGrants record = Next({}, a);
    GrantRequest b{.shard = "b", .wanted = 6, .limit = 6, .config = 1};
    record = Next(record, b);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, SlotsOf(record, "b"));
    b.gone = {"a"};
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, SlotsOf(Next(record, b), "b"));
  }

  void FairPartsAddUp() {
    const bool held = rc::check("parts add up to limit or demand", [] {
      TeamGrants record;
      record.limit = *rc::gen::inRange<std::int64_t>(0, 50);
      const auto wants = *rc::gen::container<std::vector<std::int64_t>>(
          rc::gen::inRange<std::int64_t>(0, 100));
      std::int64_t demand = 0;
      std::int64_t asking = 0;
      for (std::size_t i = 0; i < wants.size(); ++i) {
        record.asked["s" + std::to_string(i)].wanted = wants[i];
        demand += wants[i];
        asking += wants[i] > 0 ? 1 : 0;
      }
      std::int64_t sum = 0;
      for (const auto& [shard, part] : FairParts(record)) {
        RC_ASSERT(part <= record.asked[shard].wanted);
        RC_ASSERT(part > 0 || asking > record.limit);
        sum += part;
      }
      RC_ASSERT(sum == std::min(record.limit, demand));
    });
    CPPUNIT_ASSERT(held);
  }

  void RecordRoundTrips() {
    TeamGrants record = Next(
        {}, {.shard = "a", .wanted = 3, .limit = 5, .config = 4, .epoch = 2});
    record.team = "north";
    const auto back =
        Capture([&] { return DecodeGrants(EncodeGrants(record)); });
    CPPUNIT_ASSERT(std::get<TeamGrants>(back) == record);
    for (const char* text :
         {"", "{}", R"({"team":"a","limit":-1,"config":1,"shards":{}})",
          R"({"team":"a","limit":1,"config":1,"shards":{"s":3}})"}) {
      const auto failed = Capture([&] { return DecodeGrants(text); });
      CPPUNIT_ASSERT(std::get<Error>(failed).kind == ErrorKind::kMalformed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);

}  // namespace
}  // namespace buckthornmux::limits
