// Tests reading a cell's records over a slow link: pages that have arrived are
// kept, and a response that is still arriving does not time out.
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "buckthornmux/detail/entry/clock.h"
#include "buckthornmux/detail/entry/journal_writer.h"
#include "buckthornmux/detail/entry/store_gauge.h"
#include "mock_async_store.h"
#include "platform/kv_store.h"

namespace buckthornmux::tests {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view kPage =
    R"({"items":[{"key":"journal/cell/0/a","value":"eA==","revision":3}],)"
    R"("has_more":false,"current_rev":9})";

/// HTTP server that answers one request with a page, sent in pieces.
class SlowServer {
 public:
  /// @param pieces number of pieces
  /// @param gap delay before each piece
  SlowServer(int pieces, std::chrono::milliseconds gap)
      : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        m_thread([this, pieces, gap] { Serve(pieces, gap); }) {}
  ~SlowServer() { m_thread.join(); }
  SlowServer(const SlowServer&) = delete;
  SlowServer& operator=(const SlowServer&) = delete;

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

 private:
  void Serve(int pieces, std::chrono::milliseconds gap) {
    tcp::socket socket(m_io);
    m_acceptor.accept(socket);
    asio::streambuf request;
    asio::read_until(socket, request, "\r\n\r\n");
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(kPage.size()) + "\r\n\r\n";
    boost::system::error_code error;
    asio::write(socket, asio::buffer(head), error);
    const std::size_t size = kPage.size() / static_cast<std::size_t>(pieces);
    std::string_view rest = kPage;
    for (int i = 1; i <= pieces && !error; ++i) {
      std::this_thread::sleep_for(gap);
      const std::string_view piece =
          rest.substr(0, i < pieces ? size : rest.npos);
      asio::write(socket, asio::buffer(piece), error);
      rest.remove_prefix(piece.size());
    }
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  std::thread m_thread;
};

/// Lists one page from a server with the time-outs of the program.
Outcome<store::ItemPage> ListFrom(const SlowServer& server) {
  asio::io_context io;
  net::HttpClient client(io, {});
  const store::AsyncStore calls =
      platform::MakeKvStore(client, server.Address(), {});
  Outcome<store::ItemPage> result = Error{ErrorKind::kInternal, "none", {}};
  calls.list("journal/cell/0/", "",
             [&](auto outcome) { result = std::move(outcome); });
  io.run();
  return result;
}

class SlowLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowLinkTest);
  CPPUNIT_TEST(OnlyTheFailedPageIsReadAgain);
  CPPUNIT_TEST(PageThatArrivesSlowlyIsRead);
  CPPUNIT_TEST(PageThatStopsArrivingTimesOut);
  CPPUNIT_TEST(PageInProgressIsNoStoreFailure);
  CPPUNIT_TEST(LargeWriteIsNotRepeatedEarly);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each failed page restarted the reading, so that an owner on a 10 Mbit/s
  // link read for 30 s and served no calls (issue 17). Every third call fails
  // here.
  void OnlyTheFailedPageIsReadAgain() {
    MockAsyncStore store;
    store.page = 2;
    store.list_failure_interval = 3;
    store::AsyncStore calls = store.Calls();
    std::vector<cell::RecordWrite> loaded;
    entry::JournalWriter writer(
        calls, {[&](auto records) { loaded = std::move(records); },
                [](const cell::Batch&) {}, [] {}});
    constexpr std::size_t kRecords = 9;
    for (std::size_t i = 0; i < kRecords; ++i) {
      store.Put("journal/cell/0/job/" + std::to_string(i), "x");
    }
    store.Put("state/owners/cell/0", "owner");
    writer.Open({"cell/0", "host-1", "life", 1, store.revision});
    Time now = entry::Now();
    for (int i = 0; i < 20; ++i) {
      now += Millis(200);
      writer.Tick(now);
    }
    CPPUNIT_ASSERT_EQUAL(kRecords, loaded.size());
    for (std::size_t i = 0; i < kRecords; ++i) {
      CPPUNIT_ASSERT_EQUAL("job/" + std::to_string(i), loaded[i].key);
    }
    // There are five pages plus the failed calls.
    CPPUNIT_ASSERT(store.lists <= 5 + 5 / 2);
  }

  // A page of 1 MB takes 0.8 s on a 10 Mbit/s link, and longer with other
  // traffic.
  void PageThatArrivesSlowlyIsRead() {
    const SlowServer server(8, std::chrono::milliseconds(200));
    const auto outcome = ListFrom(server);
    CPPUNIT_ASSERT(std::holds_alternative<store::ItemPage>(outcome));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         std::get<store::ItemPage>(outcome).items.size());
  }

  // A connection may stall permanently.
  void PageThatStopsArrivingTimesOut() {
    const SlowServer server(2, std::chrono::milliseconds(1200));
    const Time began = entry::Now();
    const auto outcome = ListFrom(server);
    CPPUNIT_ASSERT(std::holds_alternative<Error>(outcome));
    CPPUNIT_ASSERT(entry::Now() - began < Millis(1000));
  }

  // A batch of 400 kB takes 0.45 s on a 10 Mbit/s link. Copies sent earlier
  // share the link, and none of them would arrive in time.
  void LargeWriteIsNotRepeatedEarly() {
    const auto sends = [](std::size_t bytes) {
      MockAsyncStore store;
      const store::AsyncStore calls = store.Calls();
      entry::JournalWriter writer(
          calls, {[](auto) {}, [](const cell::Batch&) {}, [] {}});
      store.Put("state/owners/cell/0", "owner");
      writer.Open({"cell/0", "host-1", "life", 1, store.revision});
      store.commit_outcomes.assign(10, CommitOutcome::kSilentBefore);
      cell::Batch batch;
      batch.writes.push_back({"jobs/1", std::string(bytes, 'x'), false});
      const Time began = entry::Now();
      writer.Write(std::move(batch), began);
      for (Millis passed{0}; passed <= Millis(450); passed += Millis(50)) {
        writer.Tick(began + passed);
      }
      return store.commits;
    };
    CPPUNIT_ASSERT_EQUAL(1, sends(400'000));
    CPPUNIT_ASSERT(sends(4000) > 1);
  }

  // An owner that was reading a large page counted as rejected by the store and
  // handed the cell over.
  void PageInProgressIsNoStoreFailure() {
    Time now{Millis(1000)};
    entry::StoreGauge gauge;
    store::AsyncStore calls;
    store::Reply<store::ItemPage> reply;
    calls.list = [&](const std::string&, const std::string&, const auto& done) {
      reply = done;
    };
    calls.get = [](const std::string&, const auto&) {};
    const store::AsyncStore counted =
        entry::WithGauge(calls, gauge, [&] { return now; });
    counted.list("journal/", "", [](const auto&) {});
    now += Millis(900);
    CPPUNIT_ASSERT(entry::ServesNow(gauge, now));
    // Other calls are still recorded when they begin.
    counted.get("rules", [](const auto&) {});
    now += Millis(900);
    CPPUNIT_ASSERT(!entry::ServesNow(gauge, now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowLinkTest);

}  // namespace
}  // namespace buckthornmux::tests
