// Reader of the evacuation requests, and how a host that the store rejects gets
// them from others.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "buckthornmux/detail/entry/evacuation_reader.h"
#include "buckthornmux/detail/entry/evacuation_relay.h"
#include "buckthornmux/detail/runtime/log_line.h"
#include "mock_async_store.h"
#include "platform/evacuations.h"

namespace buckthornmux::entry {
namespace {

constexpr Time kStart{Millis(1'000'000)};

/// One host with its connection to the store.
struct Side {
  explicit Side(tests::MockAsyncStore& mock) : store(mock.Calls()) {
    store.watch = [this](std::string, Revision, Millis, auto reply) {
      watches.push_back(std::move(reply));
    };
  }
  store::AsyncStore store;
  std::vector<store::Reply<store::WatchBatch>> watches;
  std::vector<std::vector<DataCentre>> lists;  ///< Passed on to the cell.
  EvacuationReader reader{store, "op/evacuate/", platform::ParseEvacuation,
                          [this](const auto& list) { lists.push_back(list); }};
  std::vector<std::pair<HostId, EvacuationQuery>> queries;
  std::vector<EvacuationStatus> statuses;
  EvacuationRelay relay{
      reader,
      {[] { return std::vector<HostId>{"peer"}; },
       [this](const HostId& to, const EvacuationQuery& query) {
         queries.emplace_back(to, query);
       },
       [this](const HostId&, const EvacuationStatus& status) {
         statuses.push_back(status);
       }}};
};

class EvacuationReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationReaderTest);
  CPPUNIT_TEST(InactiveReaderMakesNoCall);
  CPPUNIT_TEST(ReadsWithinTheInterval);
  CPPUNIT_TEST(WatchBringsTheNextReadingForward);
  CPPUNIT_TEST(NewOwnerWaitsForAListOfItsOwnTime);
  CPPUNIT_TEST(NewOwnerRetriesAndLogsEachSecond);
  CPPUNIT_TEST(LastListStaysInForceWithoutTheStore);
  CPPUNIT_TEST(PagesThatFailHalfwayChangeNothing);
  CPPUNIT_TEST(WithdrawnWithinASecond);
  CPPUNIT_TEST(UnreadableKeysHideNoOthers);
  CPPUNIT_TEST(RejectedHostTakesTheListOfAPeer);
  CPPUNIT_TEST(OlderListOfAPeerIsIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_lines.clear();
    runtime::SetLogSink(
        [this](std::string_view line) { m_lines.emplace_back(line); });
  }
  void tearDown() override { runtime::SetLogSink({}); }

  // Guards against store calls of hosts that don't own the cell.
  void InactiveReaderMakesNoCall() {
    Ticks(m_side, Millis(5000));
    m_side.relay.Tick(true, m_now);
    CPPUNIT_ASSERT_EQUAL(0, m_store.reads);
    CPPUNIT_ASSERT(m_side.watches.empty());
    CPPUNIT_ASSERT(m_side.queries.empty());
  }

  // Guards against a request that is noticed too late without the watch.
  void ReadsWithinTheInterval() {
    m_side.reader.SetActive(true, m_now);
    Ticks(m_side, Millis(1000));
    m_store.Put("op/evacuate/a", "{}");
    Ticks(m_side, Millis(650));
    CPPUNIT_ASSERT(Last(m_side) == Names({"a"}));
  }

  // Guards against a watch that isn't listened to, or isn't repeated.
  void WatchBringsTheNextReadingForward() {
    m_store.Put("op/evacuate/a", "{}");
    m_side.reader.SetActive(true, m_now);
    Ticks(m_side, Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_side.watches.size());
    m_store.Put("op/evacuate/b", "{}");
    store::WatchBatch batch;
    batch.puts.push_back(m_store.items.at("op/evacuate/b"));
    m_side.watches[0](batch);
    Ticks(m_side, Millis(50));
    CPPUNIT_ASSERT(Last(m_side) == Names({"a", "b"}));
    Ticks(m_side, Millis(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_side.watches.size());
    m_side.watches[1](Error{ErrorKind::kStoreUnknown, "no answer", {}});
    Ticks(m_side, Millis(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_side.watches.size());
  }

  // Guards against a new owner that uses what it read long ago: the former
  // owner may have known a later list.
  void NewOwnerWaitsForAListOfItsOwnTime() {
    m_side.reader.ReadUntil(m_now + Millis(200));
    Ticks(m_side, Millis(100));
    CPPUNIT_ASSERT(m_side.reader.ConfirmedAt().has_value());
    m_store.Put("op/evacuate/a", "{}");
    m_store.away = true;
    m_side.reader.SetActive(true, m_now);
    Ticks(m_side, Millis(500));
    m_side.reader.AdoptRemote({{"old"}, m_store.revision}, m_now - Millis(550));
    CPPUNIT_ASSERT(m_side.lists.empty());
    m_store.away = false;
    Ticks(m_side, Millis(250));
    CPPUNIT_ASSERT(First(m_side) == Names({"a"}));
  }

  // Guards against a new owner that gives up, or waits without a word.
  void NewOwnerRetriesAndLogsEachSecond() {
    m_store.away = true;
    m_side.reader.SetActive(true, m_now);
    Ticks(m_side, Millis(3050));
    CPPUNIT_ASSERT(m_store.lists >= 12);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Lines("evacuations_awaited"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Lines("store_lost"));
    m_store.away = false;
    Ticks(m_side, Millis(2000));
    CPPUNIT_ASSERT(!m_side.lists.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Lines("evacuations_awaited"));
  }

  // Guards against an outage of the store that ends an evacuation.
  void LastListStaysInForceWithoutTheStore() {
    m_store.Put("op/evacuate/a", "{}");
    m_side.reader.SetActive(true, m_now);
    Ticks(m_side, Millis(100));
    m_store.away = true;
    Ticks(m_side, Millis(60'000));
    CPPUNIT_ASSERT(Last(m_side) == Names({"a"}));
    CPPUNIT_ASSERT(m_side.reader.Current().data_centres == Names({"a"}));
  }

  // Guards against a list that ends where a later page failed.
  void PagesThatFailHalfwayChangeNothing() {
    m_store.page = 1;
    m_store.Put("op/evacuate/a", "{}");
    m_store.Put("op/evacuate/b", "{}");
    m_side.reader.SetActive(true, m_now);
    Ticks(m_side, Millis(50));
    CPPUNIT_ASSERT(Last(m_side) == Names({"a", "b"}));
    m_store.list_failure_interval = 2;
    Ticks(m_side, Millis(3000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_side.lists.size());
  }

  // Guards against a withdrawal that is missed or merged with the request.
  void WithdrawnWithinASecond() {
    m_side.reader.SetActive(true, m_now);
    m_store.Put("op/evacuate/a", "{}");
    Ticks(m_side, Millis(50));
    m_store.items.erase("op/evacuate/a");
    ++m_store.revision;
    Ticks(m_side, Millis(700));
    CPPUNIT_ASSERT(First(m_side) == Names({"a"}));
    CPPUNIT_ASSERT(Last(m_side).empty());
  }

  // Guards against a bad key that hides the other requests, or fills the log.
  void UnreadableKeysHideNoOthers() {
    m_store.Put("op/evacuate/", "{}");
    m_store.Put("op/evacuate/a", "no object");
    m_store.Put("op/evacuate/line\nbreak", "{}");
    m_store.Put("op/evacuate/" + std::string(201, 'x'), "{}");
    m_store.Put("op/evacuate/" + std::string(200, 'y'), "{}");
    m_side.reader.SetActive(true, m_now);
    Ticks(m_side, Millis(3000));
    CPPUNIT_ASSERT(Last(m_side) == Names({"a", std::string(200, 'y')}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Lines("evacuation_unreadable"));
  }

  // Guards against an owner that the store rejects and that doesn't learn of
  // requests, or takes them for younger than they are.
  void RejectedHostTakesTheListOfAPeer() {
    tests::MockAsyncStore rejecting;
    rejecting.away = true;
    Side owner(rejecting);
    m_store.Put("op/evacuate/a", "{}");
    owner.reader.SetActive(true, m_now);
    for (int i = 0; i < 10; ++i) {
      const Time asked_at = m_now;
      owner.reader.Tick(m_now);
      owner.relay.Tick(true, m_now);
      for (const auto& [to, query] : std::exchange(owner.queries, {})) {
        m_side.relay.HandleQuery("owner", query, m_now);
      }
      Ticks(m_side, Millis(150));
      for (const auto& status : std::exchange(m_side.statuses, {})) {
        owner.relay.HandleStatus(status);
        CPPUNIT_ASSERT(*owner.reader.ConfirmedAt() <= asked_at);
      }
    }
    CPPUNIT_ASSERT(Last(owner) == Names({"a"}));
    CPPUNIT_ASSERT(*owner.reader.ConfirmedAt() >= m_now - Millis(1000));
    // The peer stops reading once nobody asks any more.
    Ticks(m_side, Millis(3000));
    const int reads = m_store.reads;
    Ticks(m_side, Millis(3000));
    CPPUNIT_ASSERT_EQUAL(reads, m_store.reads);
  }

  // Guards against a peer that lags behind and ends an evacuation.
  void OlderListOfAPeerIsIgnored() {
    m_store.Put("op/evacuate/a", "{}");
    m_side.reader.SetActive(true, m_now);
    Ticks(m_side, Millis(50));
    m_side.reader.AdoptRemote({{}, m_store.revision - 1}, m_now + Millis(100));
    CPPUNIT_ASSERT(m_side.reader.Current().data_centres == Names({"a"}));
    m_side.reader.AdoptRemote({{}, m_store.revision + 1}, m_now - Millis(100));
    CPPUNIT_ASSERT(m_side.reader.Current().data_centres == Names({"a"}));
    m_side.reader.AdoptRemote({{"b"}, m_store.revision + 1},
                              m_now + Millis(100));
    CPPUNIT_ASSERT(Last(m_side) == Names({"b"}));
  }

 private:
  static std::vector<DataCentre> Names(std::vector<DataCentre> names) {
    return names;
  }

  static const std::vector<DataCentre>& First(const Side& side) {
    CPPUNIT_ASSERT(!side.lists.empty());
    return side.lists.front();
  }
  static const std::vector<DataCentre>& Last(const Side& side) {
    CPPUNIT_ASSERT(!side.lists.empty());
    return side.lists.back();
  }

  /// Ticks every 50 ms, as the host does.
  void Ticks(Side& side, Millis lasts) {
    const Time end = m_now + lasts;
    while (m_now < end) {
      side.reader.Tick(m_now);
      m_now += Millis(50);
    }
  }

  [[nodiscard]] std::size_t Lines(std::string_view event) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_lines, [&](const std::string& line) {
          return line.find(event) != std::string::npos;
        }));
  }

  tests::MockAsyncStore m_store;
  Side m_side{m_store};
  std::vector<std::string> m_lines;
  Time m_now = kStart;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationReaderTest);

}  // namespace
}  // namespace buckthornmux::entry
