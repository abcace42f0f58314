// Tests a host that the store does not serve: how it detects this, which hosts
// it queries, which replies it uses, and when it hands the cell over.
#include <cppunit/extensions/HelperMacros.h>

#include "buckthornmux/detail/entry/store_gauge.h"
#include "buckthornmux/detail/entry/store_relay.h"
#include "mock_async_store.h"

namespace buckthornmux::tests {
namespace {

using entry::StoreGauge;
using entry::StoreStatus;

constexpr Time kStart{Millis(1'000'000)};

Result<cell::Rules> ParseVersion(std::string_view text) {
  cell::Rules rules;
  rules.version = static_cast<std::uint64_t>(std::stoi(std::string(text)));
  return rules;
}

/// A gauge with a successful call at kStart and an unanswered one at `began`.
StoreGauge SilentSince(Time began) {
  StoreGauge gauge;
  entry::CallBegan(gauge, kStart);
  entry::CallEnded(gauge, kStart, kStart + Millis(4), true);
  entry::CallBegan(gauge, began);
  return gauge;
}

/// A relay whose peers "b" and "c" the test simulates.
struct Fixture {
  MockAsyncStore store;
  store::AsyncStore calls = store.Calls();
  entry::RulesReader rules{calls, "rules", ParseVersion, [] {}};
  StoreGauge gauge = SilentSince(kStart + Millis(100));
  std::vector<HostId> peers{"b", "c"};
  std::vector<std::pair<HostId, entry::StoreQuery>> queries;
  std::vector<StoreStatus> statuses;
  std::vector<member::OwnerRecord> owners;
  std::vector<HostId> served_hosts;
  entry::StoreRelay relay{
      rules,
      gauge,
      {[this] { return peers; },
       [this](const HostId& to, const auto& ask) {
         queries.emplace_back(to, ask);
       },
       [this](const HostId&, const auto& status) {
         statuses.push_back(status);
       },
       [] { return std::optional<member::OwnerRecord>(); },
       [this](const auto& record) { owners.push_back(record); },
       [] { return true; },
       [this](const HostId& to) { served_hosts.push_back(to); }}};

  /// Status of a host that the store last served `age` ago.
  StoreStatus Status(Millis age) {
    StoreStatus status;
    status.ask = queries.back().second.ask;
    status.served_age = age;
    status.may_own = true;
    status.rules_revision = 7;
    status.rules_age = age;
    status.rules_text = "3";
    status.owner = {.range = "cell/0", .owner = "c", .epoch = 2, .revision = 9};
    return status;
  }
};

class StoreRelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreRelayTest);
  CPPUNIT_TEST(SlowStoreIsNotFailing);
  CPPUNIT_TEST(SilentStoreFailsSinceItsFirstCall);
  CPPUNIT_TEST(StoreThatWasSlowBeforeMayBeSlowAgain);
  CPPUNIT_TEST(OneRefusalIsNoFailure);
  CPPUNIT_TEST(LostAnswersAmongGoodOnesAreNoFailure);
  CPPUNIT_TEST(NoQueriesWhileTheStoreServes);
  CPPUNIT_TEST(RulesHaveTheAgeThatAPeerReports);
  CPPUNIT_TEST(OlderRulesOfAPeerConfirmNothing);
  CPPUNIT_TEST(NoHandoverIfTheStoreServesNoHost);
  CPPUNIT_TEST(NoHandoverIfTheOutageBeginsLaterForOthers);
  CPPUNIT_TEST(HostWithFailingStoreMayNotOwn);
  CPPUNIT_TEST(PreferredHostsAreQueriedAgainSoon);
  CPPUNIT_TEST(CellMovesToAHostThatTheStoreServes);
  CPPUNIT_TEST(CellStaysIfTheStoreIsAsSlowForOthers);
  CPPUNIT_TEST(PeerWithoutTheRulesReceivesThem);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SlowStoreIsNotFailing() {
    const StoreGauge gauge = SilentSince(kStart + Millis(100));
    CPPUNIT_ASSERT(!entry::FailingSince(gauge, kStart + Millis(400)));
  }

  void SilentStoreFailsSinceItsFirstCall() {
    StoreGauge gauge = SilentSince(kStart + Millis(100));
    entry::CallBegan(gauge, kStart + Millis(300));
    const auto since = entry::FailingSince(gauge, kStart + Millis(500));
    CPPUNIT_ASSERT(since == kStart + Millis(100));
    entry::CallEnded(gauge, kStart + Millis(100), kStart + Millis(800), false);
    CPPUNIT_ASSERT(
        entry::FailingSince(gauge, kStart + Millis(900)).has_value());
    entry::CallEnded(gauge, kStart + Millis(300), kStart + Millis(900), true);
    CPPUNIT_ASSERT(!entry::FailingSince(gauge, kStart + Millis(900)));
  }

  void StoreThatWasSlowBeforeMayBeSlowAgain() {
    StoreGauge gauge;
    entry::CallBegan(gauge, kStart);
    entry::CallEnded(gauge, kStart, kStart + Millis(340), true);
    entry::CallBegan(gauge, kStart + Millis(400));
    CPPUNIT_ASSERT(!entry::FailingSince(gauge, kStart + Millis(1080)));
    CPPUNIT_ASSERT(entry::FailingSince(gauge, kStart + Millis(1081)) ==
                   kStart + Millis(400));
  }

  void OneRefusalIsNoFailure() {
    StoreGauge gauge;
    for (const Millis at : {Millis(0), Millis(50), Millis(120)}) {
      CPPUNIT_ASSERT(!entry::FailingSince(gauge, kStart + at));
      entry::CallBegan(gauge, kStart + at);
      entry::CallEnded(gauge, kStart + at, kStart + at, false);
    }
    CPPUNIT_ASSERT(entry::FailingSince(gauge, kStart + Millis(121)) == kStart);
  }

  void LostAnswersAmongGoodOnesAreNoFailure() {
    StoreGauge gauge = SilentSince(kStart + Millis(100));
    for (int i = 1; i < 10; ++i) {
      const Time at = kStart + Millis(100 + 100 * i);
      entry::CallBegan(gauge, at);
      entry::CallEnded(gauge, at, at + Millis(4), true);
    }
    CPPUNIT_ASSERT(!entry::FailingSince(gauge, kStart + Millis(1100)));
  }

  void NoQueriesWhileTheStoreServes() {
    Fixture f;
    f.relay.Tick(kStart + Millis(200));
    CPPUNIT_ASSERT(f.queries.empty());
    CPPUNIT_ASSERT(f.relay.OwnerExpected(kStart + Millis(200)));
    f.relay.Tick(kStart + Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, f.queries.size());
    CPPUNIT_ASSERT(!f.relay.OwnerExpected(kStart + Millis(500)));
  }

  // The age is counted from the time when the query was sent, so a slow reply
  // is older.
  void RulesHaveTheAgeThatAPeerReports() {
    Fixture f;
    const Time asked_at = kStart + Millis(500);
    f.relay.Tick(asked_at);
    f.relay.HandleStatus("c", f.Status(Millis(40)), kStart + Millis(1400));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, f.rules.Current()->version);
    CPPUNIT_ASSERT(f.rules.ConfirmedAt() == asked_at - Millis(40));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.owners.size());
  }

  void OlderRulesOfAPeerConfirmNothing() {
    Fixture f;
    f.store.Put("rules", "1");
    f.store.revision = 19;
    f.store.Put("rules", "9");
    f.rules.Tick(kStart);
    const Time confirmed = f.rules.ConfirmedAt();
    f.relay.Tick(kStart + Millis(500));
    f.relay.HandleStatus("c", f.Status(Millis(0)), kStart + Millis(505));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, f.rules.Current()->version);
    CPPUNIT_ASSERT(f.rules.ConfirmedAt() == confirmed);
  }

  // The store last served the peer before it stopped serving this host.
  void NoHandoverIfTheStoreServesNoHost() {
    Fixture f;
    f.relay.Tick(kStart + Millis(500));
    f.relay.HandleStatus("c", f.Status(Millis(450)), kStart + Millis(505));
    CPPUNIT_ASSERT(f.served_hosts.empty());
    CPPUNIT_ASSERT(!f.relay.StoreServesOthers(kStart + Millis(505)));
    CPPUNIT_ASSERT(!f.relay.OwnerExpected(kStart + Millis(505)));
  }

  // In an outage that affected all hosts, the owner handed the cell to a host
  // whose last call had begun shortly after the owner's first failed one. That
  // host could not claim it, and the cell had no owner for 6.6 s.
  void NoHandoverIfTheOutageBeginsLaterForOthers() {
    Fixture f;
    f.relay.Tick(kStart + Millis(500));
    // The peer's call began 250 ms after this host's, at kStart + 350 ms.
    f.relay.HandleStatus("c", f.Status(Millis(150)), kStart + Millis(505));
    CPPUNIT_ASSERT(f.served_hosts.empty());
    for (int i = 13; i < 40; ++i) {
      const Time now = kStart + Millis(50 * i);
      f.relay.Tick(now);
      f.relay.HandleStatus("c", f.Status(now - kStart - Millis(350)), now);
    }
    CPPUNIT_ASSERT(f.served_hosts.empty());
  }

  // A host whose own store calls failed said that it would claim the cell.
  void HostWithFailingStoreMayNotOwn() {
    Fixture f;
    f.relay.HandleQuery("b", entry::StoreQuery{1, 0}, kStart + Millis(150));
    entry::CallEnded(f.gauge, kStart + Millis(100), kStart + Millis(160),
                     false);
    f.relay.HandleQuery("b", entry::StoreQuery{2, 0}, kStart + Millis(170));
    CPPUNIT_ASSERT(f.statuses.at(0).may_own);
    CPPUNIT_ASSERT(!f.statuses.at(1).may_own);
  }

  // With 42 hosts a host that could own the cell was queried every 2 s only, so
  // that a weak host reported first.
  void PreferredHostsAreQueriedAgainSoon() {
    Fixture f;
    for (int i = 0; i < 40; ++i) {
      f.peers.push_back("small-" + std::to_string(i));
    }
    std::map<HostId, int> asked;
    for (int i = 0; i < 17; ++i) {
      f.relay.Tick(kStart + Millis(500 + 150 * i));
    }
    for (const auto& [host, query] : f.queries) {
      ++asked[host];
    }
    CPPUNIT_ASSERT(asked["b"] >= 8 && asked["c"] >= 8);
    // Every other host is queried as well, since the store may serve no other.
    CPPUNIT_ASSERT_EQUAL(std::size_t{42}, asked.size());
  }

  void CellMovesToAHostThatTheStoreServes() {
    Fixture f;
    f.relay.Tick(kStart + Millis(500));
    f.relay.HandleStatus("c", f.Status(Millis(100)), kStart + Millis(505));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.served_hosts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c"), f.served_hosts[0]);
    CPPUNIT_ASSERT(f.relay.OwnerExpected(kStart + Millis(505)));
    CPPUNIT_ASSERT(f.relay.StoreServesOthers(kStart + Millis(505)));
    CPPUNIT_ASSERT(!f.relay.StoreServesOthers(kStart + Millis(2500)));
    // A duplicate reply is ignored.
    f.relay.HandleStatus("c", f.Status(Millis(100)), kStart + Millis(510));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.served_hosts.size());
  }

  // The store is slow for all hosts, about 360 ms per call. The peer's call
  // began 40 ms later than this host's and was answered slightly earlier.
  void CellStaysIfTheStoreIsAsSlowForOthers() {
    Fixture f;
    f.relay.Tick(kStart + Millis(460));
    StoreStatus status = f.Status(Millis(320));
    status.answer_time = Millis(310);
    f.relay.HandleStatus("c", status, kStart + Millis(462));
    CPPUNIT_ASSERT(f.served_hosts.empty());
    CPPUNIT_ASSERT(!f.relay.StoreServesOthers(kStart + Millis(462)));
    // This host's call has been unanswered for more than twice the duration of
    // the peer's call, so the store counts as rejecting this host.
    f.relay.Tick(kStart + Millis(760));
    status.ask = f.queries.back().second.ask;
    f.relay.HandleStatus("c", status, kStart + Millis(762));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, f.served_hosts.size());
  }

  void PeerWithoutTheRulesReceivesThem() {
    Fixture f;
    f.store.Put("rules", "5");
    f.rules.Tick(kStart);
    f.relay.HandleQuery("b", entry::StoreQuery{1, 0}, kStart + Millis(5));
    f.relay.HandleQuery("b", entry::StoreQuery{2, 1}, kStart + Millis(5));
    CPPUNIT_ASSERT_EQUAL(std::string("5"), f.statuses.at(0).rules_text);
    CPPUNIT_ASSERT(f.statuses.at(1).rules_text.empty());
    CPPUNIT_ASSERT_EQUAL(Millis(5), f.statuses.at(0).served_age);
    CPPUNIT_ASSERT_EQUAL(Millis(4), f.statuses.at(0).answer_time);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRelayTest);

}  // namespace
}  // namespace buckthornmux::tests
